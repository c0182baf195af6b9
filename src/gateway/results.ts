/** What the outcome of an attempt means for its request. */
import type { ResponseMetadata } from "./dialect.js";
import type { ExchangeResult, RoutedRequest } from "./routedrequest.js";

/**
 * Whether a response belongs to a request. A faulty target may write a response to another request, and a refusal among
 * them says nothing about this one.
 */
export function isResponseTo({ metadata }: RoutedRequest, { requestId }: ResponseMetadata): boolean {
    return requestId === undefined || requestId === metadata.requestId;
}

/** Whether a result ends the request whatever its route allows. */
export function isFinal({ outcome }: ExchangeResult): boolean {
    return outcome === "cancelled" || outcome === "expired" || outcome === "rejected";
}

/** The result of a request that an earlier attempt may have run: never 503, which says that it was not run. */
export function withoutRefusalStatus(result: ExchangeResult): ExchangeResult {
    return result.status === 503 ? { ...result, status: 504 } : result;
}

/** The result of a request whose target found results of stages missing. */
export function inputsGone(): ExchangeResult {
    return { outcome: "failed", status: 503, reason: "results of stages are gone" };
}
