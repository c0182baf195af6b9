/** The usual time of requests by route: the longest of the last ones, which few of the next will exceed. */

/** Number of requests of a route that are remembered. */
const REMEMBERED_REQUESTS = 32;

/** Recent durations by route. */
export class UsualTimes {
    private readonly durations = new Map<string, number[]>();

    private constructor() {}

    static create(): UsualTimes {
        return new UsualTimes();
    }

    /** Records the duration in milliseconds of a request that was served. */
    record(route: string, milliseconds: number): void {
        const recent = this.durations.get(route) ?? [];
        recent.push(milliseconds);
        if (recent.length > REMEMBERED_REQUESTS) recent.shift();
        this.durations.set(route, recent);
    }

    /** Forgets the routes that are not among `routes`. */
    keepOnly(routes: ReadonlySet<string>): void {
        for (const route of this.durations.keys()) if (!routes.has(route)) this.durations.delete(route);
    }

    /** Usual time in milliseconds; infinite if nothing is known of the route. */
    usualMs(route: string): number {
        const recent = this.durations.get(route);
        return recent === undefined ? Number.POSITIVE_INFINITY : Math.max(...recent);
    }
}
