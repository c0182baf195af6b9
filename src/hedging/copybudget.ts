/**
 * The copies that one service may get: a fraction of its requests by number, and a fraction of its targets' time.
 *
 * Load pattern: a burst of slow answers, in which many calls are due for a copy at once. Each copy holds its part of both
 * limits from the moment at which it is sent, so that a burst cannot exceed them. Its part of the time is the longest time
 * for which it may be in progress beside the first attempt.
 *
 * Both limits are fractions of what this gateway itself has sent, so they need no division between gateways.
 */
import { SlidingCount } from "../routing/slidingcount.js";
import { WindowBudget } from "../routing/windowbudget.js";

/** Size of a budget. */
export interface CopyBudgetOptions {
    /** Length of the window in milliseconds. */
    readonly windowMs: number;
    /** Copies for each request in the window. */
    readonly fractionOfRequests: number;
    /** Time of copies relative to the time of other attempts in the window. */
    readonly fractionOfTargetTime: number;
}

/** A copy's part of the budget. It must be ended, once. */
export interface CopyGrant {
    /** Ends the copy, which was in progress for `usedMs`; undefined if nothing of it was sent. */
    end(usedMs: number | undefined): void;
}

/** The copies of one service. */
export class CopyBudget {
    private readonly copies: WindowBudget;
    /** Milliseconds that ended attempts were in progress, in the window: copies, and others. */
    private readonly copyMs: SlidingCount;
    private readonly attemptMs: SlidingCount;
    /** Milliseconds that copies in progress may take. */
    private reservedMs = 0;

    private constructor(private readonly options: CopyBudgetOptions) {
        const { windowMs, fractionOfRequests } = options;
        this.copies = WindowBudget.create({ windowMs, fractionOfRequests, allowance: () => 0 });
        this.copyMs = SlidingCount.create(windowMs);
        this.attemptMs = SlidingCount.create(windowMs);
    }

    static create(options: CopyBudgetOptions): CopyBudget {
        return new CopyBudget(options);
    }

    /** Whether it is as it was when it was created. */
    get isUnused(): boolean {
        return this.copies.isUnused && this.reservedMs === 0 && this.copyMs.sum === 0 && this.attemptMs.sum === 0;
    }

    /** Records a request to the service. */
    recordRequest(): void {
        this.copies.deposit();
    }

    /** Records for how many milliseconds an attempt was in progress that is no copy. */
    recordAttempt(milliseconds: number): void {
        this.attemptMs.add(milliseconds);
    }

    /** Whether a copy may be sent that takes at most `longestMs`. */
    available(longestMs: number): boolean {
        const limitMs = this.options.fractionOfTargetTime * this.attemptMs.sum;
        return this.copies.available() && this.copyMs.sum + this.reservedMs + longestMs <= limitMs;
    }

    /** Takes a copy's part. Call only if `available` returns true. */
    take(longestMs: number): CopyGrant {
        this.copies.take();
        this.reservedMs += longestMs;
        let isEnded = false;
        return {
            end: usedMs => {
                if (isEnded) return;
                isEnded = true;
                this.reservedMs = Math.max(0, this.reservedMs - longestMs);
                if (usedMs === undefined) return this.copies.giveBack();
                this.copies.use();
                this.copyMs.add(usedMs);
            },
        };
    }
}
