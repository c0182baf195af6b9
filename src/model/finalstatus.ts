/**
 * Which HTTP statuses are answers. The parser of Node accepts any three digits, and also 101 without an upgrade of the
 * connection. A server that sends another status than these has failed, and nothing in its answer can be relied on.
 */

/** Whether a status can be that of a final response: not provisional, and within the classes that HTTP defines. */
export function isFinalStatus(status: number | undefined): status is number {
    return status !== undefined && status >= 200 && status <= 599;
}

/** Reason of a call whose answer has a status that is none. */
export function invalidStatusReason(status: number | undefined): string {
    return `invalid status ${status ?? "missing"}`;
}
