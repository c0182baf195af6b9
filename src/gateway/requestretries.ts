/** The retries that one request takes from the budget of its service. */
import type { WindowBudget } from "../routing/index.js";

/**
 * The budget counts requests that reach a target beyond the first attempt. A retry that was taken stays with the request
 * until an attempt was sent, and is returned if none was.
 */
export class RequestRetries {
    private isHeld = false;
    /** Whether the last attempt has used a retry. */
    private isLastRetry = false;

    private constructor(private readonly budget: WindowBudget) {}

    static create(budget: WindowBudget): RequestRetries {
        return new RequestRetries(budget);
    }

    /** Whether a retry is held or can be taken. */
    available(): boolean {
        return this.isHeld || this.budget.available();
    }

    /** Takes a retry unless one is held. Call only if `available` returns true. */
    take(): void {
        if (!this.isHeld) this.budget.take();
        this.isHeld = true;
    }

    /** Records an attempt, which uses the retry that is held. */
    recordAttempt(): void {
        if (this.isHeld) this.budget.use();
        this.isLastRetry = this.isHeld;
        this.isHeld = false;
    }

    /** Records that nothing of the last attempt was sent. */
    recordNothingSent(): void {
        if (this.isLastRetry) this.budget.holdAgain();
        this.isHeld = this.isLastRetry;
        this.isLastRetry = false;
    }

    /** Returns the retry that is held. */
    end(): void {
        if (this.isHeld) this.budget.giveBack();
        this.isHeld = false;
    }
}
