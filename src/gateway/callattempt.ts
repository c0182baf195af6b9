/** One attempt of a plain call: sends it, reads the answer to its end, and records what both say about the target. */
import type { StageResult } from "../stages/index.js";
import type { AttemptOutcome, ResponseHead } from "./attempt.js";
import type { Attempts } from "./attempts.js";
import type { GatewayContext } from "./gateway.js";
import { bodyFailureReason, HeldBody, type HeldBodyOutcome } from "./heldbody.js";
import { RESPONDING } from "./requesttrial.js";
import { isFinal, isResponseTo } from "./results.js";
import type { ExchangeResult, RoutedRequest } from "./routedrequest.js";
import type { Target } from "./target.js";

/** Size limit in bytes of a response that is buffered until it is complete. */
const MAXIMUM_RESPONSE_BYTES = 4_194_304;

/** An answer to a plain call. The bodies of answers that are not passed on are not read. */
type CallAnswer =
    | { readonly kind: "read"; readonly outcome: HeldBodyOutcome; readonly body: HeldBody }
    /** The target states that it has not run the request. */
    | { readonly kind: "declined"; readonly wrongTarget: boolean }
    /** The target has sent the answer to another request. */
    | { readonly kind: "misdirected" };

/** How an attempt ended, and what that means for its request. */
export type CallEnd =
    /** A complete answer, with a status below 500 or of a failure. Its body is held. */
    | { readonly kind: "answered" | "targetFailed"; readonly head: ResponseHead; readonly body: HeldBody }
    /** Nothing was sent. */
    | { readonly kind: "unsent" }
    /** The target states that it has not run the request. */
    | { readonly kind: "declined" }
    /** The target may have run the request. */
    | { readonly kind: "failed"; readonly result: ExchangeResult }
    /** The request ends, whatever its route allows. */
    | { readonly kind: "final"; readonly result: ExchangeResult }
    /** The attempt was left for another one. */
    | { readonly kind: "left"; readonly wasSent: boolean };

/** What an attempt depends on. */
export interface CallAttemptOptions {
    readonly context: GatewayContext;
    readonly request: RoutedRequest;
    readonly attempts: Attempts;
    readonly target: Target;
    readonly inputs: readonly StageResult[];
}

/** One attempt of a plain call. */
export class CallAttempt {
    readonly startedAt = performance.now();
    /** Resolves when the request was sent, or the attempt ended before. */
    readonly sent: Promise<void>;
    /** Rejects if handling the attempt throws. */
    readonly ended: Promise<CallEnd>;
    /** Resolves when the attempt has ended, also by an exception. */
    readonly settled: Promise<void>;
    private sentAtValue: number | undefined;
    private isSettledValue = false;
    private isLeft = false;
    private readonly abortController = new AbortController();

    private constructor(private readonly options: CallAttemptOptions) {
        const signal = AbortSignal.any([options.request.signal, this.abortController.signal]);
        let reportSent = (): void => undefined;
        this.sent = new Promise(resolve => (reportSent = resolve));
        const onSending = (): void => {
            this.sentAtValue = performance.now();
            reportSent();
        };
        this.ended = this.run(signal, onSending)
            .then(end => (this.isLeft ? this.asLeft(end) : end))
            .finally(() => {
                this.isSettledValue = true;
                reportSent();
            });
        this.settled = this.ended.then(
            () => undefined,
            () => undefined,
        );
    }

    static start(options: CallAttemptOptions): CallAttempt {
        return new CallAttempt(options);
    }

    get target(): Target {
        return this.options.target;
    }

    get isSettled(): boolean {
        return this.isSettledValue;
    }

    /** Monotonic time in milliseconds at which the request was sent; undefined while it was not. */
    get sentAt(): number | undefined {
        return this.sentAtValue;
    }

    /** Ends the attempt and closes its connection, unless it has ended. */
    leave(): void {
        if (this.isSettledValue) return;
        this.isLeft = true;
        this.abortController.abort();
    }

    private asLeft(end: CallEnd): CallEnd {
        if ("body" in end) end.body.release();
        return { kind: "left", wasSent: this.sentAtValue !== undefined };
    }

    private async run(signal: AbortSignal, onSending: () => void): Promise<CallEnd> {
        const { attempts, target, inputs } = this.options;
        const outcome = await attempts.send(target, { inputs, signal, onSending });
        if (outcome.kind === "answered") return this.finish(outcome.head, await this.readAnswer(outcome, signal));
        const unanswered = await attempts.handleUnanswered(target, outcome);
        if (unanswered === "again") return { kind: "unsent" };
        return { kind: isFinal(unanswered) ? "final" : "failed", result: unanswered };
    }

    /** Reads an answer to its end. The attempt has ended then, and its connection is closed, also after an exception. */
    private async readAnswer(
        { head, body }: Extract<AttemptOutcome, { kind: "answered" }>,
        signal: AbortSignal,
    ): Promise<CallAnswer> {
        const { context, request, target } = this.options;
        const { dialect, memory, targets } = context;
        try {
            const metadata = dialect.readResponse(head.status, head.headers);
            targets.recordReport(target, metadata);
            if (!isResponseTo(request, metadata)) return { kind: "misdirected" };
            if (metadata.notExecuted) return { kind: "declined", wrongTarget: metadata.wrongTarget };
            const holding = { memory, party: "targets", maximumBytes: MAXIMUM_RESPONSE_BYTES } as const;
            return { kind: "read", ...(await HeldBody.read(body, { deadline: request.deadline, signal }, holding)) };
        } finally {
            body.discard();
            targets.recordEnded(target);
        }
    }

    /** Records what an answer says about its target. */
    private async finish(head: ResponseHead, answer: CallAnswer): Promise<CallEnd> {
        const { context, request, attempts, target } = this.options;
        const { targets } = context;
        const { name, latencyObjectiveMs } = request.route;
        if (answer.kind === "declined") {
            attempts.handleDeclined(target, answer.wrongTarget);
            return { kind: "declined" };
        }
        if (answer.kind === "misdirected") {
            targets.recordFailure(target, name);
            return { kind: "failed", result: { outcome: "failed", status: 502, reason: "answer of another" } };
        }
        const { outcome, body } = answer;
        if (outcome.kind !== "complete") return this.finishIncomplete(outcome);
        attempts.recordBegun(this.startedAt);
        attempts.recordServed();
        if (head.status >= 500) {
            targets.recordFailure(target, name);
            return { kind: "targetFailed", head, body };
        }
        targets.recordSuccess(target, (performance.now() - this.startedAt) / latencyObjectiveMs, name);
        return { kind: "answered", head, body };
    }

    private async finishIncomplete(outcome: Exclude<HeldBodyOutcome, { kind: "complete" }>): Promise<CallEnd> {
        const { context, attempts, target } = this.options;
        if (outcome.kind === "cancelled") {
            context.targets.recordInconclusive(target);
            return { kind: "final", result: { outcome: "cancelled", status: 0, reason: "caller left" } };
        }
        attempts.recordIncomplete(target, outcome);
        if (outcome.kind === "broken") await attempts.checkForCrash(target, RESPONDING);
        if (outcome.kind === "expired") {
            return { kind: "final", result: { outcome: "expired", status: 504, reason: "answer took too long" } };
        }
        return { kind: "failed", result: { outcome: "failed", status: 502, reason: bodyFailureReason(outcome) } };
    }
}
