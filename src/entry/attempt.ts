/**
 * One attempt at one stage, from the entry's side.
 *
 * An attempt belongs to one link. It ends once: by its result, by the loss of the link, by silence, or because the entry
 * gives it up. Answers after that find no open attempt and are dropped by the link's owner.
 */
import type { Deadline, StageOutcome } from "../model/index.js";

/** How an attempt ended. */
export type AttemptOutcome =
    | StageOutcome
    /** The link closed; the attempt may have been run. */
    | { readonly kind: "lost"; readonly message: string }
    /** No answer at all for the silence limit; the attempt may have been run. */
    | { readonly kind: "silent"; readonly message: string }
    /** The entry gave the attempt up; it may have been run. */
    | { readonly kind: "abandoned"; readonly cause: "deadline" | "cancelled" };

/**
 * Silence of one attempt at a target that answers others, as a multiple of the limit. Such an attempt may wait behind
 * them, or may have been lost on the way.
 */
const ANSWERING_TARGET_FACTOR = 4;

/** What limits an attempt. */
export interface AttemptLimits {
    readonly deadline: Deadline;
    /** Longest time without any answer, in milliseconds. */
    readonly inactivityMilliseconds: number;
    /** Gives the attempt up; absent for work that has to go on. */
    readonly signal?: AbortSignal | undefined;
    /** Called for tokens in the order of their arrival. */
    readonly onTokens?: ((firstIndex: number, tokens: readonly string[]) => void) | undefined;
    /** Called with each time between two signs of life, in milliseconds. */
    readonly onAnswer?: ((gapMilliseconds: number) => void) | undefined;
}

/** An open attempt. */
export class Attempt {
    /** Resolves when the attempt has ended. */
    readonly outcome: Promise<AttemptOutcome>;
    private resolve: (outcome: AttemptOutcome) => void = () => undefined;
    private ended = false;
    private gaveUpWhileOpen = false;
    private lastAnswerAt = performance.now();
    private inactivityTimer: NodeJS.Timeout | undefined;
    private readonly deadlineTimer: NodeJS.Timeout;
    private readonly onAbort = (): void => this.giveUp({ kind: "abandoned", cause: "cancelled" });

    private constructor(
        readonly number: number,
        /** Hash of the request's content. */
        readonly fingerprint: string,
        readonly stage: string,
        private readonly limits: AttemptLimits,
        private readonly targetAnsweredAt: () => number,
    ) {
        this.outcome = new Promise(resolve => {
            this.resolve = resolve;
        });
        this.deadlineTimer = setTimeout(
            () => this.giveUp({ kind: "abandoned", cause: "deadline" }),
            limits.deadline.remainingMs(),
        );
        this.watchInactivity(limits.inactivityMilliseconds);
        limits.signal?.addEventListener("abort", this.onAbort, { once: true });
        if (limits.signal?.aborted === true) this.onAbort();
    }

    /** An attempt whose time runs from now. `targetAnsweredAt` tells when the target last answered any attempt. */
    static start(
        number: number,
        fingerprint: string,
        stage: string,
        limits: AttemptLimits,
        targetAnsweredAt: () => number,
    ): Attempt {
        return new Attempt(number, fingerprint, stage, limits, targetAnsweredAt);
    }

    /** The target has begun. */
    recordAcceptance(): void {
        this.recordAnswer();
    }

    /** Tokens arrived. */
    receiveTokens(firstIndex: number, tokens: readonly string[]): void {
        if (this.ended) return;
        this.recordAnswer();
        this.limits.onTokens?.(firstIndex, tokens);
    }

    /** Ends the attempt. Only the first end counts. */
    end(outcome: AttemptOutcome): void {
        if (this.ended) return;
        if (outcome.kind === "completed") this.recordAnswer();
        this.ended = true;
        clearTimeout(this.deadlineTimer);
        clearTimeout(this.inactivityTimer);
        this.limits.signal?.removeEventListener("abort", this.onAbort);
        this.resolve(outcome);
    }

    /** Ends the attempt although its target may still work on it. */
    giveUp(outcome: AttemptOutcome): void {
        if (this.ended) return;
        this.gaveUpWhileOpen = true;
        this.end(outcome);
    }

    /** Whether the target may still work on an attempt that ended here. */
    get mayStillRun(): boolean {
        return this.gaveUpWhileOpen;
    }

    private recordAnswer(): void {
        const now = performance.now();
        this.limits.onAnswer?.(now - this.lastAnswerAt);
        this.lastAnswerAt = now;
    }

    /** One timer for all answers: it is set again for the time that is left, instead of at each answer. */
    private watchInactivity(milliseconds: number): void {
        this.inactivityTimer = setTimeout(() => {
            const left = this.inactivityEndsAt() - performance.now();
            if (left > 0) this.watchInactivity(left);
            else this.giveUp({ kind: "silent", message: `no answer for ${this.limits.inactivityMilliseconds} ms` });
        }, milliseconds);
    }

    private inactivityEndsAt(): number {
        const limit = this.limits.inactivityMilliseconds;
        const ofTarget = Math.max(this.lastAnswerAt, this.targetAnsweredAt()) + limit;
        return Math.min(ofTarget, this.lastAnswerAt + ANSWERING_TARGET_FACTOR * limit);
    }
}
