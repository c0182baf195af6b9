/**
 * How long a target may give no sign of life before an attempt counts as failed.
 *
 * The limit follows the times between answers of each stage, as a retransmission timeout follows round trips: smoothed
 * mean plus a multiple of the smoothed deviation. A silence doubles it until the next answer, so that a service that
 * became slower as a whole is not retried for ever.
 */

/** Weights of a new sample in the mean and in the deviation, as for retransmission timeouts (RFC 6298). */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;

/** Deviations above the mean; twice that of RFC 6298, since a needless retry runs the stage again. */
const DEVIATION_FACTOR = 8;

/** Shortest limit. A collection of garbage or a busy machine stops a process for some 100 ms. */
const MINIMUM_TIMEOUT_MS = 400;

/** Longest limit before any answer was seen, as a multiple of the stage's expected time. */
const INITIAL_TIMEOUT_FACTOR = 5;

interface Estimate {
    mean: number;
    deviation: number;
    backoff: number;
}

/** Silence limits of all stages at one entry. */
export class InactivityTimeouts {
    private readonly estimates = new Map<string, Estimate>();

    private constructor() {}

    static create(): InactivityTimeouts {
        return new InactivityTimeouts();
    }

    /** The limit for a stage, in milliseconds. `key` names the service and operation. */
    timeout(key: string, expectedMilliseconds: number): number {
        const estimate = this.estimates.get(key);
        if (estimate === undefined) return Math.max(MINIMUM_TIMEOUT_MS, INITIAL_TIMEOUT_FACTOR * expectedMilliseconds);
        const limit = estimate.mean + DEVIATION_FACTOR * estimate.deviation;
        return Math.max(MINIMUM_TIMEOUT_MS, limit) * estimate.backoff;
    }

    /** Takes the longest time between two answers of an attempt that was answered. */
    recordGap(key: string, gapMilliseconds: number): void {
        const estimate = this.estimates.get(key);
        if (estimate === undefined) {
            this.estimates.set(key, { mean: gapMilliseconds, deviation: gapMilliseconds / 2, backoff: 1 });
            return;
        }
        const error = gapMilliseconds - estimate.mean;
        estimate.deviation += DEVIATION_WEIGHT * (Math.abs(error) - estimate.deviation);
        estimate.mean += MEAN_WEIGHT * error;
        estimate.backoff = 1;
    }

    /** An attempt was silent for its limit. */
    recordTimeout(key: string, expectedMilliseconds: number): void {
        const estimate = this.estimates.get(key) ?? {
            mean: expectedMilliseconds,
            deviation: expectedMilliseconds / 2,
            backoff: 1,
        };
        estimate.backoff = Math.min(16, estimate.backoff * 2);
        this.estimates.set(key, estimate);
    }
}
