/**
 * Serves a plain call: goes from target to target until one has answered, and buffers the answer until it is complete.
 *
 * While an attempt is slow, a copy of the call may run at a second target (`callcopies`). The first complete answer with a
 * status below 500 is passed on, and the other attempt is left at once. If one of the two fails, the other one goes on; the
 * call is not repeated before both have ended, and then the later one decides what the caller gets.
 */
import { describeError } from "../model/error.js";
import { withTimeout } from "../model/pause.js";
import { startTimeout } from "../model/timeout.js";
import type { StageResult } from "../stages/index.js";
import type { ResponseHead } from "./attempt.js";
import type { Attempts } from "./attempts.js";
import { CallAttempt, type CallEnd } from "./callattempt.js";
import { CallCopies, type CopyPermit, recordCallLatency } from "./callcopies.js";
import type { GatewayContext } from "./gateway.js";
import type { HeldBody } from "./heldbody.js";
import { NO_TARGET_RETRY_MS } from "./holdbacks.js";
import type { Reply } from "./reply.js";
import { withoutRefusalStatus } from "./results.js";
import type { ExchangeResult, RoutedRequest } from "./routedrequest.js";
import type { Target } from "./target.js";

/** What a plain call depends on. */
export interface CallExchangeOptions {
    readonly context: GatewayContext;
    readonly request: RoutedRequest;
    readonly attempts: Attempts;
    readonly inputs: readonly StageResult[];
    readonly reply: Reply;
    /** Ends a request that was not sent. */
    readonly endUnsent: () => ExchangeResult;
}

/** One plain call. */
export class CallExchange {
    /** What the caller gets of a target that may have run the request, unless another one answers. */
    private failure: ExchangeResult | undefined;
    private errorResponse: { readonly head: ResponseHead; readonly body: HeldBody } | undefined;
    /** Undefined if the call may not be copied. */
    private readonly copies: CallCopies | undefined;
    /** Attempts whose end nobody has waited for yet. */
    private readonly open = new Set<CallAttempt>();

    private constructor(private readonly options: CallExchangeOptions) {
        const { context, request, attempts } = options;
        this.copies = CallCopies.of(context, request, attempts);
    }

    static async serve(options: CallExchangeOptions): Promise<ExchangeResult> {
        const exchange = new CallExchange(options);
        try {
            return await exchange.run();
        } finally {
            exchange.errorResponse?.body.release();
            await exchange.leaveOpen();
        }
    }

    private async run(): Promise<ExchangeResult> {
        const { attempts, inputs } = this.options;
        while (this.failure === undefined || attempts.mayRetry()) {
            const target = await attempts.nextTarget(inputs);
            if (target === undefined) break;
            const result = this.settle(await this.follow(this.start(target)));
            if (result !== undefined) return result;
        }
        return this.endWithoutAnswer();
    }

    private start(target: Target): CallAttempt {
        const { context, request, attempts, inputs } = this.options;
        const attempt = CallAttempt.start({ context, request, attempts, target, inputs });
        this.open.add(attempt);
        return attempt;
    }

    /** Waits for the end of an attempt, and of its copy if one is sent; returns the ends that count, in order. */
    private async follow(first: CallAttempt): Promise<readonly CallEnd[]> {
        void first.settled.then(() => this.countTime(first.sentAt));
        const permit = await this.permitCopy(first);
        const ends = permit === undefined ? [await this.endOf(first)] : await this.race(first, permit);
        if (first.sentAt !== undefined && ends.some(isAnswer)) {
            const { context, request } = this.options;
            recordCallLatency(context.hedging, request, performance.now() - first.sentAt);
        }
        return ends;
    }

    /** Waits until an attempt has ended or a copy of it is due; returns the permit for the copy if it may be sent. */
    private async permitCopy(first: CallAttempt): Promise<CopyPermit | undefined> {
        const { copies } = this;
        if (copies === undefined) return undefined;
        // A connection that is slow to open says nothing of the target's speed.
        await first.sent;
        while (!first.isSettled) {
            const waitMs = copies.dueInMs(first);
            if (waitMs === undefined) return undefined;
            if (waitMs <= 0) return copies.take(first, this.options.inputs);
            // Timers may fire a millisecond early, and the route may have become slower meanwhile.
            await withTimeout(first.settled, Math.ceil(waitMs), undefined);
        }
        return undefined;
    }

    /** Runs a copy beside an attempt. */
    private async race(first: CallAttempt, { target, longestMs, grant }: CopyPermit): Promise<readonly CallEnd[]> {
        const { attempts } = this.options;
        const startedAt = performance.now();
        const copy = this.start(target);
        const logCopy = (decision: string, reason?: string): void => {
            const sinceMs = Math.round(performance.now() - (first.sentAt ?? startedAt));
            attempts.logDecision(decision, target, { first: first.target.name, sinceMs, reason });
        };
        logCopy("copy sent");
        const cancelTimeout = startTimeout(() => copy.leave(), longestMs);
        const earlier = await Promise.race([first, copy].map(attempt => attempt.settled.then(() => attempt)));
        cancelTimeout();
        grant.end(copy.sentAt === undefined ? undefined : performance.now() - copy.sentAt);
        const earlierEnd = await this.endOf(earlier);
        if (isAnswer(earlierEnd)) {
            (earlier === first ? copy : first).leave();
            if (earlier === first) logCopy("copy lost", "first answered");
            else logCopy("copy won");
            return [earlierEnd];
        }
        if (earlier === copy) {
            logCopy("copy lost", earlierEnd.kind);
            return [earlierEnd, await this.endOf(first)];
        }
        // The copy goes on as a usual attempt, without the limits of copies.
        const wentOnAt = performance.now();
        void copy.settled.then(() => this.countTime(wentOnAt));
        const copyEnd = await this.endOf(copy);
        if (isAnswer(copyEnd)) logCopy("copy won");
        else logCopy("copy lost", copyEnd.kind);
        return [earlierEnd, copyEnd];
    }

    /** Waits for the end of an attempt. */
    private async endOf(attempt: CallAttempt): Promise<CallEnd> {
        try {
            return await attempt.ended;
        } finally {
            this.open.delete(attempt);
        }
    }

    /** Counts the time of a target since the monotonic time in milliseconds, if the request was sent. */
    private countTime(since: number | undefined): void {
        const { context, request } = this.options;
        if (since === undefined) return;
        context.hedging?.budgetOf(request.service).recordAttempt(performance.now() - since);
    }

    /** Leaves the attempts in progress and waits until nothing more is recorded of them. */
    private async leaveOpen(): Promise<void> {
        const { context, request } = this.options;
        for (const attempt of this.open) {
            attempt.leave();
            try {
                const end = await attempt.ended;
                if ("body" in end) end.body.release();
            } catch (error) {
                const fields = { id: request.metadata.requestId, error: describeError(error) };
                context.onDecision("request failed unexpectedly", fields);
            }
        }
    }

    /** The result of the request after an attempt and its copy; undefined if it may be sent once more. */
    private settle(ends: readonly CallEnd[]): ExchangeResult | undefined {
        const { attempts, reply } = this.options;
        const answer = ends.find(isAnswer);
        if (answer !== undefined) return reply.forward(answer.head, answer.body);
        for (const end of ends) this.keepFailure(end);
        const finals = ends.flatMap(end => (end.kind === "final" ? [end.result] : []));
        const result = finals.at(-1);
        if (result !== undefined) {
            const mayHaveRun = this.failure !== undefined || finals.length > 1;
            return reply.endWith(mayHaveRun ? withoutRefusalStatus(result) : result);
        }
        const isDeclined = ends.some(({ kind }) => kind === "declined");
        if (!isDeclined || this.failure !== undefined || attempts.mayTryAnotherTarget()) return undefined;
        return reply.refuse("targets are full", NO_TARGET_RETRY_MS);
    }

    /** Keeps what the caller gets of an attempt that has failed, in case that the request is not repeated. */
    private keepFailure(end: CallEnd): void {
        switch (end.kind) {
            case "targetFailed":
                this.errorResponse?.body.release();
                this.errorResponse = end;
                this.failure = { outcome: "failed", status: end.head.status, reason: "target failed" };
                return;
            case "failed":
                this.failure = end.result;
                return;
            case "left":
                // Its target may have run the request, so that a refusal would be wrong.
                if (end.wasSent) this.failure ??= { outcome: "failed", status: 502, reason: "copy was left" };
                return;
            case "answered":
            case "unsent":
            case "declined":
            case "final":
                return;
        }
    }

    private endWithoutAnswer(): ExchangeResult {
        const { reply, endUnsent } = this.options;
        const { errorResponse, failure } = this;
        if (errorResponse !== undefined) {
            this.errorResponse = undefined;
            return reply.forward(errorResponse.head, errorResponse.body);
        }
        return failure === undefined ? endUnsent() : reply.endWith(failure);
    }
}

/** Whether an end is a complete answer that is passed on. */
function isAnswer(end: CallEnd): end is Extract<CallEnd, { kind: "answered" | "targetFailed" }> {
    return end.kind === "answered";
}
