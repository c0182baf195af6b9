/**
 * Retry budgets. Retries are limited to a fraction of the requests, for each account and for each service, so that a
 * failing service does not get a multiple of its traffic and one account cannot use up the retries of the others.
 */
import { TokenBucket } from "./tokenbucket.js";

/** Retries that each request adds to a budget. */
const FRACTION_OF_REQUESTS = 0.1;

/** Retries that a budget gains each second regardless of requests, so that rare requests can be retried at all. */
const MINIMUM_PER_SECOND = 1;

/** Size of a budget, which starts full: about the requests that one target has in flight when it is lost. */
const MAXIMUM_RETRIES = 20;

/** Growth and size of a budget. */
export interface RetryBudgetOptions {
    /** Retries that each request adds. */
    readonly fractionOfRequests: number;
    /** Retries gained each second regardless of requests. */
    readonly perSecond: number;
    /** Size of the budget, which starts full. */
    readonly maximum: number;
}

const DEFAULT_OPTIONS: RetryBudgetOptions = {
    fractionOfRequests: FRACTION_OF_REQUESTS,
    perSecond: MINIMUM_PER_SECOND,
    maximum: MAXIMUM_RETRIES,
};

/** A budget of retries. */
export class RetryBudget {
    private constructor(
        private readonly bucket: TokenBucket,
        private readonly fractionOfRequests: number,
    ) {}

    /** Creates a full budget. */
    static create(options: RetryBudgetOptions = DEFAULT_OPTIONS): RetryBudget {
        const bucket = TokenBucket.create({ perSecond: options.perSecond, capacity: options.maximum });
        return new RetryBudget(bucket, options.fractionOfRequests);
    }

    /** Adds the share of one request. */
    deposit(): void {
        this.bucket.add(this.fractionOfRequests);
    }

    /** Whether a retry is left. */
    available(): boolean {
        return this.bucket.available();
    }

    /** Takes one retry. Call only if `available` returns true. */
    take(): void {
        this.bucket.take();
    }

    /** Returns a retry that was taken and not used. */
    giveBack(): void {
        this.bucket.add(1);
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

    /** Adds the share of one stage run to both budgets. */
    deposit(account: string, service: string): void {
        budgetOf(this.accounts, account).deposit();
        budgetOf(this.services, service).deposit();
    }

    /** Takes a retry from both budgets or from neither. Returns whether the retry is granted. */
    take(account: string, service: string): boolean {
        if (!this.available(account, service)) return false;
        budgetOf(this.accounts, account).take();
        budgetOf(this.services, service).take();
        return true;
    }

    /** Whether both budgets have a retry left. */
    available(account: string, service: string): boolean {
        return budgetOf(this.accounts, account).available() && budgetOf(this.services, service).available();
    }
}

function budgetOf(budgets: Map<string, RetryBudget>, name: string): RetryBudget {
    const existing = budgets.get(name);
    if (existing !== undefined) return existing;
    const created = RetryBudget.create();
    budgets.set(name, created);
    return created;
}
