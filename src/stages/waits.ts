/** Recent queueing times of stage services, as their gatherers report them. */
import { halfLifeWeight } from "../model/decay.js";

/** Half-life in milliseconds of a reported time; queues build up and drain within seconds. */
const HALF_LIFE_MS = 1_000;

/** The latest reported queueing time of each service. */
export class RecentWaits {
    private readonly reports = new Map<string, { readonly milliseconds: number; readonly at: number }>();

    private constructor() {}

    static create(): RecentWaits {
        return new RecentWaits();
    }

    record(service: string, milliseconds: number): void {
        this.reports.set(service, { milliseconds, at: performance.now() });
    }

    /** The last reported time in milliseconds, decayed by its age; 0 for an unknown service. */
    waitMs(service: string): number {
        const report = this.reports.get(service);
        return report === undefined
            ? 0
            : report.milliseconds * halfLifeWeight(performance.now() - report.at, HALF_LIFE_MS);
    }
}
