/**
 * Retry budgets. Retries are a fraction of the requests, for each account and for each service, so that a failing
 * service is not given a multiple of its traffic and one account cannot use up the retries of the others.
 */
import { TokenBucket } from "./tokenbucket.js";

/** Retries that each request adds to a budget. */
const FRACTION_OF_REQUESTS = 0.1;

/** Retries that a budget gains each second without any request, so that rare requests can be retried at all. */
const FLOOR_PER_SECOND = 1;

/** Retries that a budget holds at most, and at first: about what one target has in flight when it dies. */
const MAXIMUM_RETRIES = 20;

/** How a budget grows and how much it holds. */
export interface RetryBudgetOptions {
    /** Retries that each request adds. */
    readonly fractionOfRequests: number;
    /** Retries gained each second without any request. */
    readonly perSecond: number;
    /** Retries held at most, and at first. */
    readonly maximum: number;
}

const DEFAULT_OPTIONS: RetryBudgetOptions = {
    fractionOfRequests: FRACTION_OF_REQUESTS,
    perSecond: FLOOR_PER_SECOND,
    maximum: MAXIMUM_RETRIES,
};

/** One bucket of retries. */
export class RetryBudget {
    private constructor(
        private readonly bucket: TokenBucket,
        private readonly fractionOfRequests: number,
    ) {}

    /** A full budget. */
    static create(options: RetryBudgetOptions = DEFAULT_OPTIONS): RetryBudget {
        const bucket = TokenBucket.create({ perSecond: options.perSecond, capacity: options.maximum });
        return new RetryBudget(bucket, options.fractionOfRequests);
    }

    /** Counts one request. */
    deposit(): void {
        this.bucket.add(this.fractionOfRequests);
    }

    /** Whether a retry is left. */
    available(): boolean {
        return this.bucket.available();
    }

    /** Takes one retry. Only after `available`. */
    take(): void {
        this.bucket.take();
    }
}

/** The budgets of all accounts and services at one entry. */
export class RetryBudgets {
    private readonly accounts = new Map<string, RetryBudget>();
    private readonly services = new Map<string, RetryBudget>();

    private constructor() {}

    static create(): RetryBudgets {
        return new RetryBudgets();
    }

    /** Counts one run of a stage. */
    deposit(account: string, service: string): void {
        budgetOf(this.accounts, account).deposit();
        budgetOf(this.services, service).deposit();
    }

    /** Takes a retry from both budgets, or from neither. Returns whether it was granted. */
    take(account: string, service: string): boolean {
        const budgets = [budgetOf(this.accounts, account), budgetOf(this.services, service)];
        if (!budgets.every(budget => budget.available())) return false;
        for (const budget of budgets) budget.take();
        return true;
    }
}

function budgetOf(budgets: Map<string, RetryBudget>, name: string): RetryBudget {
    const existing = budgets.get(name);
    if (existing !== undefined) return existing;
    const created = RetryBudget.create();
    budgets.set(name, created);
    return created;
}
