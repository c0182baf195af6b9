/**
 * How long a generation's events are waited for: how long callers wait, and after which silence an attempt is moved.
 */
import type { Route } from "./configuration.js";

/** Silence before a resumable stream's first event, as a multiple of its target latency, after which it is moved. */
const FIRST_EVENT_STALL_RATIO = 0.8;
/** Shortest such silence in milliseconds: reading a long prompt behind others takes that long. */
const SHORTEST_FIRST_EVENT_STALL_MS = 900;
/** Silence between two events, as a multiple of the route's limit for pauses, after which a stream is moved. */
const PAUSE_STALL_RATIO = 2.5;
const DEFAULT_PAUSE_STALL_MS = 2_000;

/** Callers leave a stream after the longest of these waits for an event: a time, and multiples of the route's limits. */
const CALLER_PATIENCE_MS = 2_000;
const CALLER_PATIENCE_LATENCIES = 4;
const CALLER_PATIENCE_PAUSES = 8;

/** Time in milliseconds for which a caller waits for its stream's first event. */
export function callerWaitLimitMs({
    latencyObjectiveMs: targetLatencyMs,
    eventGapLimitMs: pauseLimitMs,
}: Route): number {
    return Math.max(
        CALLER_PATIENCE_MS,
        targetLatencyMs * CALLER_PATIENCE_LATENCIES,
        (pauseLimitMs ?? 0) * CALLER_PATIENCE_PAUSES,
    );
}

/** Silence in milliseconds before the first event after which a resumable stream is moved. */
export function firstEventTimeoutMs({ latencyObjectiveMs: targetLatencyMs }: Route): number {
    return Math.max(SHORTEST_FIRST_EVENT_STALL_MS, targetLatencyMs * FIRST_EVENT_STALL_RATIO);
}

/** Silence in milliseconds between events after which a resumable stream is moved. */
export function eventGapTimeoutMs(route: Route): number {
    const { eventGapLimitMs: pauseLimitMs } = route;
    if (pauseLimitMs === undefined) return DEFAULT_PAUSE_STALL_MS;
    return Math.max(pauseLimitMs * PAUSE_STALL_RATIO, firstEventTimeoutMs(route));
}
