/**
 * The rate of this gateway's requests to one target: its part of the target's rate while the target is cold, and of the limit
 * that the target names.
 */
import { TokenBucket } from "../routing/index.js";

/** Fraction of a cold target's request rate that is used; the rest is a margin for requests in flight. */
const COLD_RATE_RATIO = 0.8;

/** Maximum burst of requests from one gateway to a cold target. */
const COLD_BURST = 2;

/** Maximum burst of requests from one gateway to a target that names a limit. */
const LIMIT_BURST = 1;

/** A cold period that a target begins or continues. */
export interface ColdPeriod {
    readonly remainingMs: number;
    /** Requests a second that the cold target takes from all gateways together; 0 if its service names no such rate. */
    readonly perSecond: number;
    readonly gatewayCount: number;
}

/** The rate of this gateway's requests to one target. */
export class TargetRate {
    /** Monotonic time in milliseconds. */
    private coldUntil = 0;
    /** Requests a second from all gateways together. */
    private coldPerSecond = 0;
    private coldBucket: TokenBucket | undefined;
    private limitBucket: TokenBucket | undefined;

    private constructor() {}

    /** Creates the rate to a target that is not cold and names no limit. */
    static create(): TargetRate {
        return new TargetRate();
    }

    isCold(): boolean {
        return this.coldUntil > performance.now();
    }

    /**
     * Whether the target may get a request as far as its cold period is concerned. This gateway's part of the rate follows the
     * present number of gateways.
     */
    admitsWhileCold(gatewayCount: number): boolean {
        if (!this.isCold() || this.coldBucket === undefined) return true;
        this.coldBucket.changeRate(partOfColdRate(this.coldPerSecond, gatewayCount));
        return this.coldBucket.available();
    }

    /** Counts a request to the target while it is cold. */
    takeWhileCold(): void {
        this.coldBucket?.take();
    }

    /**
     * Starts a cold period, or extends that of a target that was cold. Returns this gateway's part of the rate, in requests a
     * second, if it holds anew.
     */
    extendColdPeriod({ remainingMs, perSecond, gatewayCount }: ColdPeriod, wasCold: boolean): number | undefined {
        if (remainingMs <= 0 || perSecond <= 0) return undefined;
        const until = performance.now() + remainingMs;
        if (until <= this.coldUntil) return undefined;
        this.coldUntil = until;
        if (wasCold && this.coldBucket !== undefined) return undefined;
        this.coldPerSecond = perSecond;
        const gatewayRate = partOfColdRate(perSecond, gatewayCount);
        this.coldBucket = TokenBucket.create({
            perSecond: gatewayRate,
            capacity: Math.min(COLD_BURST, Math.max(1, gatewayRate)),
        });
        return gatewayRate;
    }

    /** The bucket of the limit, at this gateway's present part of it in requests a second; undefined without a limit. */
    limitBucketAt(perSecond: number | undefined): TokenBucket | undefined {
        if (perSecond === undefined) {
            this.limitBucket = undefined;
            return undefined;
        }
        if (this.limitBucket === undefined) {
            this.limitBucket = TokenBucket.create({ perSecond, capacity: LIMIT_BURST });
            // Requests that were sent before the limit was known have used it up.
            this.limitBucket.take();
        }
        this.limitBucket.changeRate(perSecond);
        return this.limitBucket;
    }
}

function partOfColdRate(perSecond: number, gatewayCount: number): number {
    return (perSecond * COLD_RATE_RATIO) / Math.max(1, gatewayCount);
}
