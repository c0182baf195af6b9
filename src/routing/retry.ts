/**
 * Retry budgets. Retries are a fraction of the requests, for each account and for each service, so that a failing
 * service is not given a multiple of its traffic and one account cannot use up the retries of the others.
 */

/** Retries that each request adds to a budget. */
const FRACTION_OF_REQUESTS = 0.1;

/** Retries that a budget gains each second without any request, so that rare requests can be retried at all. */
const FLOOR_PER_SECOND = 1;

/** Retries that a budget holds at most, and at first: about what one target has in flight when it dies. */
const MAXIMUM_RETRIES = 20;

/** One bucket of retries. */
export class RetryBudget {
    private level = MAXIMUM_RETRIES;
    private updatedAt = performance.now();

    private constructor() {}

    /** A full budget. */
    static create(): RetryBudget {
        return new RetryBudget();
    }

    /** Counts one request. */
    deposit(): void {
        this.refill();
        this.level = Math.min(MAXIMUM_RETRIES, this.level + FRACTION_OF_REQUESTS);
    }

    /** Whether a retry is left. */
    available(): boolean {
        this.refill();
        return this.level >= 1;
    }

    /** Takes one retry. Only after `available`. */
    take(): void {
        this.level -= 1;
    }

    private refill(): void {
        const now = performance.now();
        const gained = ((now - this.updatedAt) / 1_000) * FLOOR_PER_SECOND;
        this.level = Math.min(MAXIMUM_RETRIES, this.level + gained);
        this.updatedAt = now;
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
