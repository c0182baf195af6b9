/** A count of events in the last time. */

/** Number of parts of a window. Events are forgotten by parts, so that they count for up to one part longer. */
const PARTS = 20;

/** Counts events in a sliding window. */
export class SlidingCount {
    /** Counts of the latest part, which is incomplete, and of the whole ones before it. */
    private readonly counts = new Array<number>(PARTS + 1).fill(0);
    private latestPart: number;

    private constructor(private readonly partMs: number) {
        this.latestPart = this.currentPart();
    }

    /** `windowMs` is the length of the window in milliseconds. */
    static create(windowMs: number): SlidingCount {
        return new SlidingCount(windowMs / PARTS);
    }

    /** Number of events in the window. */
    get sum(): number {
        this.forgetOld();
        return this.counts.reduce((sum, count) => sum + count, 0);
    }

    /** Adds an event, or an amount. */
    add(amount = 1): void {
        this.forgetOld();
        this.counts[0] = (this.counts[0] ?? 0) + amount;
    }

    /** Takes back the latest event, if there is one in the window. */
    takeBack(): void {
        this.forgetOld();
        const part = this.counts.findIndex(count => count > 0);
        if (part >= 0) this.counts[part] = (this.counts[part] ?? 0) - 1;
    }

    private currentPart(): number {
        return Math.floor(performance.now() / this.partMs);
    }

    private forgetOld(): void {
        const part = this.currentPart();
        const passed = Math.min(PARTS + 1, part - this.latestPart);
        for (let index = 0; index < passed; index += 1) this.counts.unshift(0);
        this.counts.length = PARTS + 1;
        this.latestPart = part;
    }
}
