/**
 * Forwards one event stream from a target to the caller, and finds out whether it came to its end.
 */
import type { MemoryAccount } from "../memory/index.js";
import type { ResponseBody, ResponseHead } from "./attempt.js";
import type { StreamWriter } from "./delivery.js";
import { EventSplitter } from "./eventstream.js";
import { NO_MEMORY } from "./heldbody.js";
import type { ExchangeResult, RoutedRequest } from "./routedrequest.js";

/** Bytes of an event stream without a new event after which it counts as broken; events are far shorter. */
const MAXIMUM_BYTES_BETWEEN_EVENTS = 131_072;

/** Parts of an event stream without a new event after which it counts as broken; each costs as much as a short event. */
const MAXIMUM_PARTS_BETWEEN_EVENTS = 4_096;

/** Reason of a stream that is too long without a new event. */
export const WITHOUT_NEW_EVENTS = "stream without new events";

/** Options of a stream that is forwarded. */
export interface StreamForwardingOptions {
    /** Memory held for incomplete events, and for events that the caller has not taken. */
    readonly memory: MemoryAccount;
    readonly targetName: string;
    /** Aborted when the caller leaves, or when the stream goes on at another target. */
    readonly signal: AbortSignal;
    /** Whether the stream may be written to the caller; asked before each write. `isEvent` is false for comments. */
    readonly claim: (isEvent: boolean) => boolean;
    readonly onFirstEvent: () => void;
    readonly onChunk: () => void;
    /** Called when the caller's connection is full, and when it takes more. */
    readonly onCallerBusy: (isBusy: boolean) => void;
}

/** Forwards a stream to its end. Returns undefined when the stream is complete, otherwise why it is not. */
export async function forwardStream(
    request: RoutedRequest,
    head: ResponseHead,
    body: ResponseBody,
    writer: StreamWriter,
    { memory, targetName, signal, claim, onFirstEvent, onChunk, onCallerBusy }: StreamForwardingOptions,
): Promise<ExchangeResult | undefined> {
    const splitter = EventSplitter.create(writer.lastDeliveredEventId ?? request.metadata.lastEventId);
    let isFirst = true;
    let isGivenUp = false;
    const holding = memory.open("targets", () => {
        isGivenUp = true;
        body.discard();
    });
    const outcome = await body.read({
        deadline: request.deadline,
        signal,
        onChunk: chunk => {
            onChunk();
            if (isGivenUp) return undefined;
            const events = splitter.push(chunk);
            if (!holding.resize(splitter.heldBytes)) return undefined;
            if (splitter.isMalformed || isWithoutNewEvents(splitter)) body.discard();
            const hasEvent = events.some(({ isComment }) => !isComment);
            if (events.length === 0 || !claim(hasEvent)) return undefined;
            if (isFirst && hasEvent) onFirstEvent();
            isFirst &&= !hasEvent;
            const written = writer.write(head, events);
            if (written === undefined) return undefined;
            onCallerBusy(true);
            holding.resize(splitter.heldBytes + chunk.length);
            return written.then(() => {
                onCallerBusy(false);
                holding.resize(splitter.heldBytes);
            });
        },
    });
    holding.close();
    if (isGivenUp) return { outcome: "failed", status: 502, reason: NO_MEMORY };
    if (splitter.isMalformed) {
        return { outcome: "failed", status: 502, reason: "stream has bytes that are no event" };
    }
    // A target that crashes before the first event may close the connection like one that has finished.
    if (outcome.kind === "complete" && isFirst && !body.isDelimited) {
        return { outcome: "failed", status: 502, reason: "stream ended before its first event" };
    }
    if (outcome.kind === "complete" && splitter.pendingBytes === 0 && claim(true)) {
        writer.end(head);
        return undefined;
    }
    if (isWithoutNewEvents(splitter)) {
        return { outcome: "failed", status: 502, reason: WITHOUT_NEW_EVENTS };
    }
    switch (outcome.kind) {
        case "cancelled":
            return { outcome: "cancelled", status: 200, reason: "caller left" };
        case "expired":
            return { outcome: "expired", status: 504, reason: "stream took too long" };
        case "complete":
            return { outcome: "failed", status: 502, reason: "stream ended within an event" };
        default:
            return { outcome: "failed", status: 502, reason: `stream ${outcome.kind} at ${targetName}` };
    }
}

/** Whether too much has come since the last new event. */
function isWithoutNewEvents({ bytesSinceNewEvent, partsSinceNewEvent }: EventSplitter): boolean {
    return bytesSinceNewEvent > MAXIMUM_BYTES_BETWEEN_EVENTS || partsSinceNewEvent > MAXIMUM_PARTS_BETWEEN_EVENTS;
}
