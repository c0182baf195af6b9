/** Timeouts of event streams: how long callers wait for events, and when a stalled stream moves to another target. */
import { LONGEST_SOUND_SILENCE_MS } from "../model/silence.js";
import type { Route } from "./configuration.js";

/** Timeout for the first event of a resumable stream, as a multiple of the latency objective. */
const FIRST_EVENT_TIMEOUT_RATIO = 0.8;
/** Minimum of that timeout in milliseconds: processing a long prompt behind others takes that long. */
const MINIMUM_FIRST_EVENT_TIMEOUT_MS = 900;
/** Timeout between two events of a resumable stream, as a multiple of the route's limit for event gaps. */
const EVENT_GAP_TIMEOUT_RATIO = 2.5;
const DEFAULT_EVENT_GAP_TIMEOUT_MS = 2_000;

/** Callers wait for an event as long as the longest of these: a fixed time, and multiples of the route's limits. */
const MINIMUM_CALLER_WAIT_MS = 2_000;
const CALLER_WAIT_LATENCY_RATIO = 4;
const CALLER_WAIT_EVENT_GAP_RATIO = 8;

/** Time in milliseconds in which most targets have their first event ready, with a margin for its way to the caller. */
const OTHER_FIRST_EVENT_MS = 700;

/** Time in milliseconds for which a caller waits for the first event of its stream, or for the next one. */
export function callerWaitLimitMs({
    latencyObjectiveMs: targetLatencyMs,
    eventGapLimitMs: pauseLimitMs,
}: Route): number {
    return Math.max(
        MINIMUM_CALLER_WAIT_MS,
        targetLatencyMs * CALLER_WAIT_LATENCY_RATIO,
        (pauseLimitMs ?? 0) * CALLER_WAIT_EVENT_GAP_RATIO,
    );
}

/** Time in milliseconds without a first event after which a resumable stream moves to another target. */
export function firstEventTimeoutMs({ latencyObjectiveMs: targetLatencyMs }: Route): number {
    return Math.max(MINIMUM_FIRST_EVENT_TIMEOUT_MS, targetLatencyMs * FIRST_EVENT_TIMEOUT_RATIO);
}

/** Time in milliseconds between events after which a resumable stream moves to another target. */
export function eventGapTimeoutMs(route: Route): number {
    const { eventGapLimitMs: pauseLimitMs } = route;
    if (pauseLimitMs === undefined) return DEFAULT_EVENT_GAP_TIMEOUT_MS;
    return Math.max(pauseLimitMs * EVENT_GAP_TIMEOUT_RATIO, firstEventTimeoutMs(route));
}

/** Time in milliseconds in which a stream whose target is silent from the start has its first event from another one. */
export function moveMs(route: Route): number {
    return firstEventTimeoutMs(route) + OTHER_FIRST_EVENT_MS;
}

/**
 * Silence in milliseconds after which a target may be left for another one that has not begun to answer: the other one has
 * to have its first event while the caller still waits.
 */
export function longSilenceMs(route: Route): number {
    return Math.min(LONGEST_SOUND_SILENCE_MS, callerWaitLimitMs(route) - OTHER_FIRST_EVENT_MS);
}
