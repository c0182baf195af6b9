/**
 * Adaptive inactivity timeouts: how long a target may send nothing for an attempt before the attempt counts as failed.
 *
 * A timeout is computed from the times between messages of a stage, as a retransmission timeout is from round-trip
 * times: smoothed mean plus a multiple of the smoothed deviation. Each expiry doubles it until the next answer, so that
 * a service that has become slower as a whole is not retried forever.
 */

/** Weights of a new sample in the mean and in the deviation, as for retransmission timeouts (RFC 6298). */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;

/** Deviations above the mean; twice that of RFC 6298, since a needless retry runs the stage again. */
const DEVIATION_FACTOR = 8;

/** Garbage collection or a busy machine can pause a process for some 100 ms. */
const MINIMUM_TIMEOUT_MS = 400;

/** Timeout before the first answer, as a multiple of the stage's expected time. */
const INITIAL_TIMEOUT_FACTOR = 5;

interface Estimate {
    mean: number;
    deviation: number;
    backoff: number;
}

/** Inactivity timeouts of all stages at one entry. */
export class InactivityTimeouts {
    private readonly estimates = new Map<string, Estimate>();

    private constructor() {}

    static create(): InactivityTimeouts {
        return new InactivityTimeouts();
    }

    /** The timeout of a stage, in milliseconds. `key` names the service and operation. */
    timeout(key: string, expectedMilliseconds: number): number {
        const estimate = this.estimates.get(key);
        if (estimate === undefined) return Math.max(MINIMUM_TIMEOUT_MS, INITIAL_TIMEOUT_FACTOR * expectedMilliseconds);
        const limit = estimate.mean + DEVIATION_FACTOR * estimate.deviation;
        return Math.max(MINIMUM_TIMEOUT_MS, limit) * estimate.backoff;
    }

    /** Records the longest time between two messages of a completed attempt. */
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

    /** Doubles the timeout after an attempt exceeded it, up to 16 times the base. */
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
