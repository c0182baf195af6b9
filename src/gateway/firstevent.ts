/**
 * Estimates by route how long an engine takes from receiving a generation's inputs to the first event.
 *
 * Stages have to be ready this long before the request's first event is due. Routes differ several times over, since
 * long prompts take longer to process and queue behind each other. So the estimate comes from the route's own requests:
 * their mean plus two mean deviations, which most requests do not exceed.
 */

/** Mean and mean deviation in milliseconds before the first request of a route, as of an idle engine. */
const INITIAL_MEAN_MS = 100;
const INITIAL_DEVIATION_MS = 50;

/** Limits of the estimate in milliseconds: one engine step, and half of the shortest usual latency objective. */
const MINIMUM_RESERVE_MS = 30;
const MAXIMUM_RESERVE_MS = 500;

/** Weight of the newest request in the moving mean and in the moving mean deviation. */
const MEAN_WEIGHT = 1 / 16;
const DEVIATION_WEIGHT = 1 / 8;

/** Number of mean deviations that are added to the mean. */
const RESERVE_DEVIATIONS = 2;

interface Estimate {
    readonly mean: number;
    readonly deviation: number;
}

/** Estimates of the time to the first event, by route. */
export class FirstEventTimes {
    private readonly estimates = new Map<string, Estimate>();

    private constructor() {}

    static create(): FirstEventTimes {
        return new FirstEventTimes();
    }

    /** Records the time in milliseconds that an engine took to the first event of a request. */
    record(route: string, milliseconds: number): void {
        const { mean, deviation } = this.estimateOf(route);
        const error = milliseconds - mean;
        this.estimates.set(route, {
            mean: mean + MEAN_WEIGHT * error,
            deviation: deviation + DEVIATION_WEIGHT * (Math.abs(error) - deviation),
        });
    }

    /** Forgets the routes that are not among `routes`. */
    keepOnly(routes: ReadonlySet<string>): void {
        for (const route of this.estimates.keys()) if (!routes.has(route)) this.estimates.delete(route);
    }

    /** Time in milliseconds to leave for the engine. */
    reserveMs(route: string): number {
        const { mean, deviation } = this.estimateOf(route);
        return Math.min(MAXIMUM_RESERVE_MS, Math.max(MINIMUM_RESERVE_MS, mean + RESERVE_DEVIATIONS * deviation));
    }

    private estimateOf(route: string): Estimate {
        return this.estimates.get(route) ?? { mean: INITIAL_MEAN_MS, deviation: INITIAL_DEVIATION_MS };
    }
}
