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

    private constructor(private options: BucketOptions) {
        this.tokens = options.capacity;
    }

    /** Creates a full bucket. */
    static create(options: BucketOptions): TokenBucket {
        return new TokenBucket(options);
    }

    /** Tokens gained each second. */
    get perSecond(): number {
        return this.options.perSecond;
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

    /** Milliseconds until there are `count` tokens, whether or not they fit into the bucket. */
    waitMs(count: number): number {
        this.refill();
        const missing = Math.max(0, count - this.tokens);
        return missing === 0 ? 0 : (missing / this.options.perSecond) * 1_000;
    }

    /** Changes the rate from now on; the tokens stay. */
    changeRate(perSecond: number): void {
        if (perSecond === this.options.perSecond) return;
        this.refill();
        this.options = { ...this.options, perSecond };
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

/** Milliseconds until `count` whole tokens can have been taken from buckets together. */
export function waitForTokensMs(buckets: readonly TokenBucket[], count: number): number {
    const takenFrom = buckets.map(() => 0);
    let waitMs = 0;
    for (let taken = 0; taken < count && Number.isFinite(waitMs); taken += 1) {
        const waits = buckets.map((bucket, index) => bucket.waitMs((takenFrom[index] ?? 0) + 1));
        waitMs = Math.min(...waits);
        const earliest = waits.indexOf(waitMs);
        takenFrom[earliest] = (takenFrom[earliest] ?? 0) + 1;
    }
    return waitMs;
}
