/** How long pieces of each stage service waited of late, as far as this gateway was told. */
import { halfLifeWeight } from "../model/decay.js";

/** Time in milliseconds after which a told waiting time counts half; queues build up and drain within seconds. */
const HALF_LIFE_MS = 1_000;

/** Waiting times by service. */
export class RecentWaits {
    private readonly told = new Map<string, { readonly milliseconds: number; readonly at: number }>();

    private constructor() {}

    static create(): RecentWaits {
        return new RecentWaits();
    }

    record(service: string, milliseconds: number): void {
        this.told.set(service, { milliseconds, at: performance.now() });
    }

    /** The last told time in milliseconds; it counts less the longer ago it was told, and is 0 for an unknown service. */
    waitMs(service: string): number {
        const told = this.told.get(service);
        return told === undefined ? 0 : told.milliseconds * halfLifeWeight(performance.now() - told.at, HALF_LIFE_MS);
    }
}
