/**
 * Retry times for requests that a stage service refuses.
 *
 * The queue's forecast covers only the pieces that wait now. During a burst more pieces keep arriving, and a caller
 * that retries within the burst is refused again. An overload is therefore expected to last as long again as it has
 * lasted so far. Jitter keeps callers that were refused together from retrying together.
 */

/** Time in milliseconds without a refusal after which an overload is over. */
const OVERLOAD_GAP_MS = 1_000;

/** Longest remaining duration in milliseconds expected of an overload; most callers' deadlines are no longer. */
const MAXIMUM_OVERLOAD_MS = 4_000;

/** Largest random extension of a retry time, as a fraction of it. */
const JITTER = 0.5;

/** Tracks the current overload of one stage service. */
export class Overload {
    private startedAt = Number.NEGATIVE_INFINITY;
    private lastRefusalAt = Number.NEGATIVE_INFINITY;

    private constructor(private readonly random: () => number) {}

    /** `random` returns numbers from 0 to 1. */
    static create(random: () => number = Math.random): Overload {
        return new Overload(random);
    }

    /** Records a refusal. Returns the milliseconds after which the caller may retry. */
    recordRefusal(now: number, forecastMs: number): number {
        if (now - this.lastRefusalAt > OVERLOAD_GAP_MS) this.startedAt = now;
        this.lastRefusalAt = now;
        const lastedMs = Math.min(MAXIMUM_OVERLOAD_MS, now - this.startedAt);
        return Math.max(forecastMs, lastedMs) * (1 + JITTER * this.random());
    }
}
