/**
 * Plan shares at one entry, split evenly over the seats (the configured number of entries).
 *
 * A plan's rate at an entry is its share of the common budget divided by the number of seats, in milliseconds of target
 * time a second. It depends on no other process, so the sum over the entries never exceeds the plan's share.
 */

/** Capacity of a bucket, in seconds of the plan's rate. */
const BURST_SECONDS = 1;

/** Outcome of a draw. */
export type DrawOutcome =
    | { readonly kind: "granted" }
    /** Nothing was taken; a draw can succeed after the retry time at the earliest. */
    | { readonly kind: "exceeded"; readonly retryAfterMilliseconds: number };

/** A token bucket in milliseconds of target time. */
export class ShareBucket {
    private level: number;
    private updatedAt = performance.now();

    private constructor(
        private rate: number,
        idleSeconds: number,
    ) {
        this.level = rate * Math.min(idleSeconds, BURST_SECONDS);
    }

    /**
     * Creates a bucket with a rate in target milliseconds a second, filled for the time that the entry has run. An
     * entry that has just started has no burst, as its earlier incarnation may have just spent it.
     */
    static create(rate: number, idleSeconds: number): ShareBucket {
        return new ShareBucket(rate, idleSeconds);
    }

    /** Changes the rate. The level is kept, up to the new capacity. */
    setRate(rate: number): void {
        if (rate === this.rate) return;
        this.refill();
        this.rate = rate;
        this.level = Math.min(this.level, rate * BURST_SECONDS);
    }

    /**
     * Takes the cost of a request. A cost above the capacity is granted from a full bucket and leaves a negative level,
     * as it could never be granted otherwise; the long-term rate is the same.
     */
    draw(cost: number): DrawOutcome {
        this.refill();
        const needed = Math.min(cost, this.rate * BURST_SECONDS);
        if (this.rate > 0 && this.level >= needed) {
            this.level -= cost;
            return { kind: "granted" };
        }
        const wait = this.rate > 0 ? ((needed - this.level) / this.rate) * 1_000 : Number.POSITIVE_INFINITY;
        return { kind: "exceeded", retryAfterMilliseconds: Math.min(60_000, Math.max(1, Math.ceil(wait))) };
    }

    /** Returns the cost of a request of which nothing was run. */
    refund(cost: number): void {
        this.level = Math.min(this.level + cost, this.rate * BURST_SECONDS);
    }

    private refill(): void {
        const now = performance.now();
        const gained = ((now - this.updatedAt) / 1_000) * this.rate;
        this.level = Math.min(this.level + gained, this.rate * BURST_SECONDS);
        this.updatedAt = now;
    }
}

/** Rate of a plan at one of `seats` entries, in target milliseconds a second. */
export function seatRate(share: number, budgetPerSecond: number, seats: number): number {
    return (share * budgetPerSecond) / seats;
}
