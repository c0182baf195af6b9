/** Responses to callers: complete responses of targets, responses of the gateway itself, and event streams. */
import type { ServerResponse } from "node:http";
import type { ResponseHead } from "./attempt.js";
import type { StreamEvent } from "./eventstream.js";

/** Hop-by-hop headers of the connection to the target. */
const CONNECTION_HEADERS = new Set(["connection", "keep-alive", "transfer-encoding", "trailer", "upgrade", "te"]);

/** A target's response headers without those of its connection, as raw headers for the caller. */
function callerHeaders(head: ResponseHead, closesConnection: boolean): string[] {
    const headers: string[] = [];
    for (let index = 0; index + 1 < head.rawHeaders.length; index += 2) {
        const name = head.rawHeaders[index] ?? "";
        if (CONNECTION_HEADERS.has(name.toLowerCase())) continue;
        headers.push(name, head.rawHeaders[index + 1] ?? "");
    }
    if (closesConnection) headers.push("connection", "close");
    return headers;
}

/**
 * Sends a target's complete response to the caller. If the body was delimited by the end of the connection, it is sent
 * that way too: the target may have crashed in the middle of it, and an added length would claim that it is complete.
 */
export function sendTargetResponse(
    response: ServerResponse,
    head: ResponseHead,
    bytes: Buffer,
    closesConnection: boolean,
): void {
    if (hasNoBody(response, head)) {
        response.writeHead(head.status, head.statusText, callerHeaders(head, closesConnection));
        response.end();
        return;
    }
    const isDelimited = head.headers["content-length"] !== undefined || head.headers["transfer-encoding"] !== undefined;
    const headers = callerHeaders(head, closesConnection || !isDelimited);
    if (!isDelimited) response.useChunkedEncodingByDefault = false;
    else if (head.headers["content-length"] === undefined) headers.push("content-length", String(bytes.length));
    response.writeHead(head.status, head.statusText, headers);
    // Node adds a `Content-Length` header unless the body is written before the end.
    if (!isDelimited) response.write(bytes);
    response.end(isDelimited ? bytes : undefined);
}

/** Whether a response ends with its head. A length in it is that of a body which is not sent, so none may be added. */
function hasNoBody(response: ServerResponse, { status }: ResponseHead): boolean {
    return response.req.method === "HEAD" || status === 204 || status === 304;
}

/** A response of the gateway itself. */
export interface GatewayResponse {
    readonly status: number;
    readonly reason: string;
    /** Time in milliseconds after which the caller may retry. */
    readonly retryAfterMs: number | undefined;
}

/** Sends the gateway's own response, unless a response has begun or the caller has left. */
export function sendGatewayResponse(
    response: ServerResponse,
    { status, reason, retryAfterMs }: GatewayResponse,
    closesConnection: boolean,
): void {
    if (response.headersSent || response.destroyed) return;
    const body = Buffer.from(`${JSON.stringify({ reason })}\n`);
    const headers = ["content-type", "application/json", "content-length", String(body.length)];
    if (retryAfterMs !== undefined) headers.push("retry-after", (retryAfterMs / 1_000).toFixed(3));
    if (closesConnection) headers.push("connection", "close");
    response.writeHead(status, headers);
    response.end(body);
}

/** Whether a response that has begun has an end of its own; otherwise it ends with its connection. */
export function hasMarkedEnd({ chunkedEncoding }: ServerResponse): boolean {
    return chunkedEncoding;
}

/**
 * Ends a response that has begun before its end. One in chunks lacks the last chunk; one whose end is not marked, as to
 * callers of HTTP/1.0, would look complete if its connection ended in order.
 */
export function breakOff(response: ServerResponse): void {
    if (!hasMarkedEnd(response)) response.socket?.resetAndDestroy();
    response.destroy();
}

/** Ends a response after an exception, unless it has ended: with status 500, which promises nothing, or by closing it. */
export function failResponse(response: ServerResponse, reason: string): void {
    if (response.writableEnded) return;
    if (response.headersSent) breakOff(response);
    else sendGatewayResponse(response, { status: 500, reason, retryAfterMs: undefined }, true);
}

/** Writes an event stream to the caller: one head, complete events, and the id after which to resume the stream. */
export class StreamWriter {
    started = false;
    private lastEventId: string | undefined;
    private hasUnnumberedEvents = false;

    constructor(
        private readonly response: ServerResponse,
        private readonly callerLastEventId: string | undefined,
        private readonly closesConnection: () => boolean,
    ) {}

    /** Whether another target can go on after what was written: an event without an id cannot be named to it. */
    get canBeContinued(): boolean {
        return !this.hasUnnumberedEvents;
    }

    /** Id of the last event that the caller has; undefined before the stream begins. */
    get lastDeliveredEventId(): string | undefined {
        return this.started ? (this.lastEventId ?? this.callerLastEventId) : undefined;
    }

    /** Writes events. Returns a promise when the buffer is full; it resolves when more can be written. */
    write(head: ResponseHead, events: readonly StreamEvent[]): Promise<void> | undefined {
        this.sendHead(head);
        for (const { id, isComment } of events) {
            this.lastEventId = id ?? this.lastEventId;
            this.hasUnnumberedEvents ||= id === undefined && !isComment;
        }
        const hasCapacity = this.response.write(Buffer.concat(events.map(({ bytes }) => bytes)));
        if (hasCapacity) return undefined;
        return new Promise(resolve => {
            const finish = (): void => {
                this.response.off("drain", finish).off("close", finish);
                resolve();
            };
            this.response.on("drain", finish).on("close", finish);
        });
    }

    end(head: ResponseHead): void {
        this.sendHead(head);
        this.response.end();
    }

    private sendHead(head: ResponseHead): void {
        if (this.started) return;
        this.started = true;
        const headers = callerHeaders(head, this.closesConnection());
        // A resumed stream may differ in length from what its first target announced.
        const lengthIndex = headers.findIndex(
            (name, index) => index % 2 === 0 && name.toLowerCase() === "content-length",
        );
        if (lengthIndex >= 0) headers.splice(lengthIndex, 2);
        this.response.writeHead(head.status, head.statusText, headers);
    }
}
