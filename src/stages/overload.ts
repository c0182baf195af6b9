/**
 * When callers that are turned away from a stage service are told to come back.
 *
 * The queue's own forecast knows how long what waits now will take, but in a burst as much arrives meanwhile, and whoever
 * comes back in the burst is turned away again. An overload that has lasted for a while is expected to last as long again.
 * Callers that were turned away together do not come back together.
 */

/** Time in milliseconds without anybody turned away after which an overload is over. */
const OVERLOAD_GAP_MS = 1_000;

/** Longest time in milliseconds that is expected of an overload; most callers' deadlines are not longer. */
const LONGEST_MS = 4_000;

/** Largest part by which a time is prolonged at random. */
const SPREAD = 0.5;

/** The overload of one stage service. */
export class Overload {
    private since = Number.NEGATIVE_INFINITY;
    private last = Number.NEGATIVE_INFINITY;

    private constructor(private readonly random: () => number) {}

    /** `random` gives numbers from 0 to 1. */
    static create(random: () => number = Math.random): Overload {
        return new Overload(random);
    }

    /** Counts a request that is turned away, and tells after how many milliseconds it may come back. */
    recordRefusal(now: number, forecastMs: number): number {
        if (now - this.last > OVERLOAD_GAP_MS) this.since = now;
        this.last = now;
        const lastedMs = Math.min(LONGEST_MS, now - this.since);
        return Math.max(forecastMs, lastedMs) * (1 + SPREAD * this.random());
    }
}
