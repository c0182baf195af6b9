/**
 * One attempt at one stage, on the entry's side.
 *
 * An attempt belongs to one link. It ends once: by its result, by loss of the link, by its inactivity timeout, or
 * because the entry gives it up. `TargetLink` drops messages for an attempt that has ended.
 */
import type { Deadline, StageOutcome } from "../model/index.js";
import { startTimeout } from "../model/timeout.js";

/** How an attempt ended. */
export type AttemptOutcome =
    | StageOutcome
    /** The link closed; the attempt may have been run. */
    | { readonly kind: "lost"; readonly message: string }
    /** No message arrived for the inactivity timeout; the attempt may have been run. */
    | { readonly kind: "silent"; readonly milliseconds: number; readonly message: string }
    /** The entry gave up the attempt; it may have been run. */
    | { readonly kind: "abandoned"; readonly cause: "deadline" | "cancelled" };

/**
 * Inactivity timeout of an attempt whose target answers other attempts, as a multiple of the usual one. The attempt may
 * be queued behind the others, or its message may have been lost.
 */
const ANSWERING_TARGET_FACTOR = 4;

/** What limits an attempt. */
export interface AttemptLimits {
    readonly deadline: Deadline;
    /** Inactivity timeout in milliseconds. */
    readonly inactivityMilliseconds: number;
    /** Aborting it gives up the attempt; absent for work that has to continue. */
    readonly signal?: AbortSignal | undefined;
    /** Called with tokens in the order of arrival. */
    readonly onTokens?: ((firstIndex: number, tokens: readonly string[]) => void) | undefined;
    /**
     * Asked when the inactivity timeout has passed, with whether the target has answered other attempts meanwhile. If it
     * returns false, the attempt goes on, and it is asked again after another timeout. Without it, the attempt ends.
     */
    readonly mayLeave?: ((answersOthers: boolean) => boolean) | undefined;
    /** Called on each message from the target with the milliseconds since the one before it, or since the start. */
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
    private cancelInactivityTimeout = (): void => undefined;
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

    /** Starts the timers of an attempt. `targetAnsweredAt` returns when the target last answered any attempt. */
    static start(
        number: number,
        fingerprint: string,
        stage: string,
        limits: AttemptLimits,
        targetAnsweredAt: () => number,
    ): Attempt {
        return new Attempt(number, fingerprint, stage, limits, targetAnsweredAt);
    }

    /** Called when the target has accepted the attempt. */
    recordAcceptance(): void {
        this.recordAnswer();
    }

    /** Passes on tokens unless the attempt has ended. */
    receiveTokens(firstIndex: number, tokens: readonly string[]): void {
        if (this.ended) return;
        this.recordAnswer();
        this.limits.onTokens?.(firstIndex, tokens);
    }

    /** Ends the attempt; does nothing if it has ended already. */
    end(outcome: AttemptOutcome): void {
        if (this.ended) return;
        if (outcome.kind === "completed") this.recordAnswer();
        this.ended = true;
        clearTimeout(this.deadlineTimer);
        this.cancelInactivityTimeout();
        this.limits.signal?.removeEventListener("abort", this.onAbort);
        this.resolve(outcome);
    }

    /** Ends the attempt although its target may still work on it. */
    giveUp(outcome: AttemptOutcome): void {
        if (this.ended) return;
        this.gaveUpWhileOpen = true;
        this.end(outcome);
    }

    /** Whether the attempt was given up, so that the target may still be working on it. */
    get mayStillRun(): boolean {
        return this.gaveUpWhileOpen;
    }

    private recordAnswer(): void {
        const now = performance.now();
        this.limits.onAnswer?.(now - this.lastAnswerAt);
        this.lastAnswerAt = now;
    }

    /** Uses one timer that is rearmed for the remaining time when it fires, instead of resetting it at each message. */
    private watchInactivity(milliseconds: number): void {
        this.cancelInactivityTimeout = startTimeout(() => {
            const left = this.inactivityEndsAt() - performance.now();
            const { inactivityMilliseconds, mayLeave } = this.limits;
            if (left > 0) this.watchInactivity(left);
            else if (mayLeave?.(this.targetAnsweredAt() > this.lastAnswerAt) === false) {
                this.watchInactivity(inactivityMilliseconds);
            } else this.giveUpSilent(inactivityMilliseconds);
        }, milliseconds);
    }

    private giveUpSilent(milliseconds: number): void {
        this.giveUp({ kind: "silent", milliseconds, message: `no answer for ${milliseconds} ms` });
    }

    private inactivityEndsAt(): number {
        const limit = this.limits.inactivityMilliseconds;
        const ofTarget = Math.max(this.lastAnswerAt, this.targetAnsweredAt()) + limit;
        return Math.min(ofTarget, this.lastAnswerAt + ANSWERING_TARGET_FACTOR * limit);
    }
}
