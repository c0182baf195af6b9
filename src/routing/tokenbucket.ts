/** A bucket that fills with time, for rates that must not be exceeded. */

/** Rate and size of a bucket. */
export interface BucketOptions {
    readonly perSecond: number;
    /** Tokens that the bucket holds at most, and at first. */
    readonly capacity: number;
}

/** Tokens that are gained over time and taken one at a time, or by larger amounts. */
export class TokenBucket {
    private level: number;
    private updatedAt = performance.now();

    private constructor(private readonly options: BucketOptions) {
        this.level = options.capacity;
    }

    /** A full bucket. */
    static create(options: BucketOptions): TokenBucket {
        return new TokenBucket(options);
    }

    available(): boolean {
        this.refill();
        return this.level >= 1;
    }

    /** Takes a token whether or not one is there; a level below zero is made up for with time. */
    take(): void {
        this.refill();
        this.level -= 1;
    }

    /** Takes a token if there is one. */
    tryTake(): boolean {
        if (!this.available()) return false;
        this.level -= 1;
        return true;
    }

    /** Adds tokens, up to the capacity. */
    add(tokens: number): void {
        this.refill();
        this.level = Math.min(this.options.capacity, this.level + tokens);
    }

    private refill(): void {
        const now = performance.now();
        const gained = ((now - this.updatedAt) / 1_000) * this.options.perSecond;
        this.level = Math.min(this.options.capacity, this.level + gained);
        this.updatedAt = now;
    }
}
