/** Pauses that targets request as they turn requests away: for how long, and when refused requests may come back. */
import type { RequestedPause } from "./dialect.js";

/** Longest pause in milliseconds that a target can request at once. */
const LONGEST_PAUSE_MS = 60_000;

/** Time in milliseconds over which requests come back, so that they do not all arrive as the first pause ends. */
const RETURN_SPREAD_MS = 1_000;

/** Length to which an unreadable value is logged. */
const MAXIMUM_LOGGED_LENGTH = 40;

/** What to make of a requested pause. */
export type PauseDecision =
    | { readonly kind: "paused"; readonly milliseconds: number; readonly requestedMs: number }
    | { readonly kind: "ignored"; readonly text: string };

/** Bounds a requested pause. */
export function decidePause(pause: RequestedPause): PauseDecision {
    if (pause.kind === "unreadable") return { kind: "ignored", text: pause.text.slice(0, MAXIMUM_LOGGED_LENGTH) };
    const requestedMs = pause.milliseconds;
    return { kind: "paused", milliseconds: Math.min(LONGEST_PAUSE_MS, requestedMs), requestedMs };
}

/** Milliseconds after which a request may come back that no target takes for `pauseMs`. */
export function pauseReturnMs(pauseMs: number): number {
    return Math.round(pauseMs + Math.random() * RETURN_SPREAD_MS);
}
