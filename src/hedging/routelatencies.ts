/**
 * The recent latencies of plain calls by route, and their 95th percentile.
 *
 * Load pattern: targets of uneven speed, where a few calls take much longer than the others of their route. The estimate
 * follows changes of load and speed, since it forgets what is older than a minute.
 *
 * A call that a copy has answered counts with the time since its first attempt was sent. That is at least the percentile
 * by which the copy was sent, so that copies do not lower the estimate.
 */

/** Quantile of a route's latencies beyond which a call counts as slow. */
const QUANTILE = 0.95;

/** Number of latencies from which a quantile is estimated at least: with fewer, it is close to the maximum. */
const MINIMUM_SAMPLES = 30;

/** Number of latencies of a route that are remembered at most, and for how long in milliseconds. */
const MAXIMUM_SAMPLES = 400;
const SAMPLE_LIFETIME_MS = 60_000;

/** Time in milliseconds for which an estimate is used again, since each one sorts all latencies of its route. */
const ESTIMATE_LIFETIME_MS = 100;

interface Sample {
    readonly at: number;
    readonly milliseconds: number;
}

interface Estimate {
    readonly at: number;
    readonly milliseconds: number | undefined;
}

/** Recent latencies by route. */
export class RouteLatencies {
    private readonly samples = new Map<string, Sample[]>();
    private readonly estimates = new Map<string, Estimate>();

    private constructor() {}

    static create(): RouteLatencies {
        return new RouteLatencies();
    }

    /** Records the time in milliseconds from sending a call until its answer was complete. */
    record(route: string, milliseconds: number): void {
        const samples = this.samples.get(route) ?? [];
        samples.push({ at: performance.now(), milliseconds });
        if (samples.length > MAXIMUM_SAMPLES) samples.shift();
        this.samples.set(route, samples);
    }

    /** Forgets the routes that are not among `routes`. */
    keepOnly(routes: ReadonlySet<string>): void {
        for (const route of this.samples.keys()) {
            if (routes.has(route)) continue;
            this.samples.delete(route);
            this.estimates.delete(route);
        }
    }

    /** The 95th percentile of a route's recent latencies in milliseconds; undefined if too few are known. */
    slowMs(route: string): number | undefined {
        const now = performance.now();
        const known = this.estimates.get(route);
        if (known !== undefined && now - known.at < ESTIMATE_LIFETIME_MS) return known.milliseconds;
        const milliseconds = quantileOf(this.recent(route, now));
        this.estimates.set(route, { at: now, milliseconds });
        return milliseconds;
    }

    private recent(route: string, now: number): readonly number[] {
        const samples = this.samples.get(route) ?? [];
        const oldest = now - SAMPLE_LIFETIME_MS;
        while (samples[0] !== undefined && samples[0].at < oldest) samples.shift();
        return samples.map(({ milliseconds }) => milliseconds);
    }
}

function quantileOf(latencies: readonly number[]): number | undefined {
    if (latencies.length < MINIMUM_SAMPLES) return undefined;
    const sorted = [...latencies].sort((left, right) => left - right);
    return sorted[Math.ceil(QUANTILE * sorted.length) - 1];
}
