/**
 * A budget of retries that holds in each window: a fraction of the requests in it, and an allowance.
 *
 * The allowance is there again once a window has passed. A budget that only requests refill would leave a service with few
 * requests without retries for long after it has used the allowance up.
 */
import { SlidingCount } from "./slidingcount.js";

/** Size of a budget. */
export interface WindowBudgetOptions {
    /** Length of the window in milliseconds. */
    readonly windowMs: number;
    /** Retries for each request in the window. */
    readonly fractionOfRequests: number;
    /** Further retries in one window; it may change with the number of those that share it. */
    readonly allowance: () => number;
    /** Called when a retry is used that the fraction of the requests alone does not allow. */
    readonly onBeyondFraction?: (use: BudgetUse) => void;
}

/** What a budget has granted in the present window. */
export interface BudgetUse {
    readonly retries: number;
    readonly requests: number;
    readonly allowance: number;
}

/** The retries of one service. */
export class WindowBudget {
    private readonly requests: SlidingCount;
    /** Retries that were used. */
    private readonly retries: SlidingCount;
    /** Retries that were taken and neither used nor given back; they may be held for longer than a window. */
    private held = 0;

    private constructor(private readonly options: WindowBudgetOptions) {
        this.requests = SlidingCount.create(options.windowMs);
        this.retries = SlidingCount.create(options.windowMs);
    }

    static create(options: WindowBudgetOptions): WindowBudget {
        return new WindowBudget(options);
    }

    /** Records a request. */
    deposit(): void {
        this.requests.add();
    }

    /** Whether it is as it was when it was created. */
    get isUnused(): boolean {
        return this.held === 0 && this.requests.sum === 0 && this.retries.sum === 0;
    }

    /** Whether a retry is left. */
    available(): boolean {
        const { fractionOfRequests, allowance } = this.options;
        return this.retries.sum + this.held + 1 <= fractionOfRequests * this.requests.sum + allowance();
    }

    /** Takes one retry, which is then held. Call only if `available` returns true. */
    take(): void {
        this.held += 1;
    }

    /** Records that a retry that was held is used, as its request is sent. */
    use(): void {
        this.held -= 1;
        this.retries.add();
        const { fractionOfRequests, allowance, onBeyondFraction } = this.options;
        if (onBeyondFraction === undefined) return;
        const [retries, requests] = [this.retries.sum, this.requests.sum];
        if (retries > fractionOfRequests * requests) onBeyondFraction({ retries, requests, allowance: allowance() });
    }

    /** Holds a retry again that was used a moment ago, as nothing was sent. */
    holdAgain(): void {
        this.retries.takeBack();
        this.held += 1;
    }

    /** Returns a retry that was held and not used. */
    giveBack(): void {
        this.held -= 1;
    }
}
