/** Token bucket for rate limits. */

/** Rate and size of a bucket. */
export interface BucketOptions {
    readonly perSecond: number;
    /** Largest number of tokens, and the initial one. */
    readonly capacity: number;
}

/** A bucket that gains tokens over time, from which tokens are taken one at a time. */
export class TokenBucket {
    private tokens: number;
    private updatedAt = performance.now();

    private constructor(private readonly options: BucketOptions) {
        this.tokens = options.capacity;
    }

    /** Creates a full bucket. */
    static create(options: BucketOptions): TokenBucket {
        return new TokenBucket(options);
    }

    /** Whether there is a token to take. */
    available(): boolean {
        this.refill();
        return this.tokens >= 1;
    }

    /** Takes a token even if there is none; the count may become negative and recovers over time. */
    take(): void {
        this.refill();
        this.tokens -= 1;
    }

    /** Takes a token if there is one. Returns whether it did. */
    tryTake(): boolean {
        if (!this.available()) return false;
        this.tokens -= 1;
        return true;
    }

    /** Adds tokens, up to the capacity. */
    add(tokens: number): void {
        this.refill();
        this.tokens = Math.min(this.options.capacity, this.tokens + tokens);
    }

    private refill(): void {
        const now = performance.now();
        const gained = ((now - this.updatedAt) / 1_000) * this.options.perSecond;
        this.tokens = Math.min(this.options.capacity, this.tokens + gained);
        this.updatedAt = now;
    }
}
