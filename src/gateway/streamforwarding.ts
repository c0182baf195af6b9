/**
 * Forwards one event stream from a target to the caller, and finds out whether it came to its end.
 */
import type { ResponseBody, ResponseHead } from "./attempt.js";
import type { StreamWriter } from "./delivery.js";
import { EventSplitter } from "./eventstream.js";
import type { ExchangeResult, RoutedRequest } from "./routedrequest.js";
import { eventGapTimeoutMs } from "./streamtimeouts.js";
import type { Target } from "./target.js";

/** Bytes of an event stream without a new event after which it counts as broken; events are far shorter. */
const MAXIMUM_BYTES_BETWEEN_EVENTS = 131_072;

/** Callbacks of a stream that is forwarded. */
export interface StreamCallbacks {
    readonly onFirstEvent: () => void;
    /** Whether the stream may be left because its target is silent. */
    readonly mayAbandon: () => boolean;
}

/** Forwards a stream to its end. Returns undefined when the stream is complete, otherwise why it is not. */
export async function forwardStream(
    request: RoutedRequest,
    target: Target,
    head: ResponseHead,
    body: ResponseBody,
    writer: StreamWriter,
    { onFirstEvent, mayAbandon }: StreamCallbacks,
): Promise<ExchangeResult | undefined> {
    const splitter = EventSplitter.create(writer.lastDeliveredEventId ?? request.metadata.lastEventId);
    let isFirst = true;
    const { route } = request;
    const outcome = await body.read({
        deadline: request.deadline,
        signal: request.signal,
        stallTimeoutMs: route.idempotent ? eventGapTimeoutMs(route) : undefined,
        mayAbandon,
        onChunk: chunk => {
            const events = splitter.push(chunk);
            if (splitter.isMalformed || splitter.bytesSinceNewEvent > MAXIMUM_BYTES_BETWEEN_EVENTS) body.discard();
            if (events.length === 0) return undefined;
            if (isFirst) onFirstEvent();
            isFirst = false;
            return writer.write(head, events);
        },
    });
    if (splitter.isMalformed) {
        return { outcome: "failed", status: 502, reason: "stream has bytes that are no event" };
    }
    // A target that crashes before the first event may close the connection like one that has finished.
    if (outcome.kind === "complete" && isFirst && !body.isDelimited) {
        return { outcome: "failed", status: 502, reason: "stream ended before its first event" };
    }
    if (outcome.kind === "complete" && splitter.pendingBytes === 0) {
        writer.end(head);
        return undefined;
    }
    if (splitter.bytesSinceNewEvent > MAXIMUM_BYTES_BETWEEN_EVENTS) {
        return { outcome: "failed", status: 502, reason: "stream without new events" };
    }
    switch (outcome.kind) {
        case "cancelled":
            return { outcome: "cancelled", status: 200, reason: "caller left" };
        case "expired":
            return { outcome: "expired", status: 504, reason: "stream took too long" };
        case "complete":
            return { outcome: "failed", status: 502, reason: "stream ended within an event" };
        default:
            return { outcome: "failed", status: 502, reason: `stream ${outcome.kind} at ${target.name}` };
    }
}
