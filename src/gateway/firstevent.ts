/**
 * How long engines take from a generation's inputs to its first event, by route.
 *
 * Stages have to be ready this much before the request's first event is due. Routes differ by several times, since long
 * prompts take longer to read and wait for each other, so the time is estimated from the route's own requests: their mean
 * plus two mean deviations, which nine in ten do not exceed.
 */

/** Estimate in milliseconds before the first request of a route. */
const FIRST_ESTIMATE_MS = 200;

/** Limits of the estimate in milliseconds: a step of an engine, and half of the shortest usual target latency. */
const SHORTEST_MS = 30;
const LONGEST_MS = 500;

/** Weight of the newest request in the mean, and in the mean deviation. */
const MEAN_WEIGHT = 1 / 16;
const DEVIATION_WEIGHT = 1 / 8;

/** Mean deviations that are added to the mean. */
const DEVIATIONS = 2;

interface Estimate {
    mean: number;
    deviation: number;
}

/** Estimates by route. */
export class FirstEventTimes {
    private readonly estimates = new Map<string, Estimate>();

    private constructor() {}

    static create(): FirstEventTimes {
        return new FirstEventTimes();
    }

    /** Counts a request whose engine took this time in milliseconds. */
    note(route: string, milliseconds: number): void {
        const estimate = this.estimates.get(route);
        if (estimate === undefined) {
            // Half of the distance to the first estimate keeps one request from deciding alone.
            const mean = (milliseconds + FIRST_ESTIMATE_MS / 2) / 2;
            this.estimates.set(route, { mean, deviation: FIRST_ESTIMATE_MS / 4 });
            return;
        }
        const error = milliseconds - estimate.mean;
        estimate.mean += MEAN_WEIGHT * error;
        estimate.deviation += DEVIATION_WEIGHT * (Math.abs(error) - estimate.deviation);
    }

    /** Time in milliseconds to leave for the engine. */
    reserveMs(route: string): number {
        const estimate = this.estimates.get(route);
        if (estimate === undefined) return FIRST_ESTIMATE_MS;
        const { mean, deviation } = estimate;
        return Math.min(LONGEST_MS, Math.max(SHORTEST_MS, mean + DEVIATIONS * deviation));
    }
}
