/**
 * How long engines take from a generation's inputs to its first event, by route.
 *
 * Stages have to be ready this much before the request's first event is due. Routes differ by several times, since long
 * prompts take longer to read and wait for each other, so the time is estimated from the route's own requests: their mean
 * plus two mean deviations, which most do not exceed.
 */

/** Mean and mean deviation in milliseconds before the first request of a route: an engine that is not loaded. */
const FIRST_MEAN_MS = 100;
const FIRST_DEVIATION_MS = 50;

/** Limits of the estimate in milliseconds: a step of an engine, and half of the shortest usual target latency. */
const SHORTEST_MS = 30;
const LONGEST_MS = 500;

/** Weight of the newest request in the mean, and in the mean deviation. */
const MEAN_WEIGHT = 1 / 16;
const DEVIATION_WEIGHT = 1 / 8;

/** Mean deviations that are added to the mean. */
const DEVIATIONS = 2;

interface Estimate {
    readonly mean: number;
    readonly deviation: number;
}

/** Estimates by route. */
export class FirstEventTimes {
    private readonly estimates = new Map<string, Estimate>();

    private constructor() {}

    static create(): FirstEventTimes {
        return new FirstEventTimes();
    }

    /** Counts a request whose engine took this time in milliseconds. */
    record(route: string, milliseconds: number): void {
        const { mean, deviation } = this.estimateOf(route);
        const error = milliseconds - mean;
        this.estimates.set(route, {
            mean: mean + MEAN_WEIGHT * error,
            deviation: deviation + DEVIATION_WEIGHT * (Math.abs(error) - deviation),
        });
    }

    /** Time in milliseconds to leave for the engine. */
    reserveMs(route: string): number {
        const { mean, deviation } = this.estimateOf(route);
        return Math.min(LONGEST_MS, Math.max(SHORTEST_MS, mean + DEVIATIONS * deviation));
    }

    private estimateOf(route: string): Estimate {
        return this.estimates.get(route) ?? { mean: FIRST_MEAN_MS, deviation: FIRST_DEVIATION_MS };
    }
}
