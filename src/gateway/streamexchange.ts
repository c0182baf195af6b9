/**
 * Serves a generation: forwards events as they arrive, and resumes a broken stream if the route allows it.
 *
 * A target that is silent may go on, so silence alone does not end its attempt: the request is sent to another target as
 * well, and whichever sends the next event first goes on. Both work on the request for a short time only. A begun stream
 * ends when it is complete, when its target breaks it and it cannot be resumed, at its deadline, when the caller leaves,
 * or when a planned stop leaves no more time.
 */
import type { ServerResponse } from "node:http";
import { withTimeout } from "../model/pause.js";
import type { StageResult } from "../stages/index.js";
import type { Attempts } from "./attempts.js";
import { breakOff, hasMarkedEnd, StreamWriter } from "./delivery.js";
import type { GatewayContext } from "./gateway.js";
import { bodyFailureReason, NO_MEMORY } from "./heldbody.js";
import type { Reply } from "./reply.js";
import { RESPONDING } from "./requesttrial.js";
import { inputsGone, isFinal, withoutRefusalStatus } from "./results.js";
import type { ExchangeResult, RoutedRequest } from "./routedrequest.js";
import { StreamAttempt, type StreamAttemptEnd } from "./streamattempt.js";
import { WITHOUT_NEW_EVENTS } from "./streamforwarding.js";
import { longSilenceMs } from "./streamtimeouts.js";
import type { Target } from "./target.js";

/**
 * Time in milliseconds for which a request may be in progress at two targets. A target that works on a request 400 ms
 * after it was sent to another one counts as a second run.
 */
const OVERLAP_LIMIT_MS = 250;

/** Interval in milliseconds at which a silent attempt looks for another target. */
const RECHECK_MS = 100;

/** What a stream depends on. */
export interface StreamExchangeOptions {
    readonly context: GatewayContext;
    readonly request: RoutedRequest;
    readonly attempts: Attempts;
    readonly inputs: readonly StageResult[];
    readonly releaseInputs: () => void;
    readonly response: ServerResponse;
    readonly reply: Reply;
    /** Whether the response tells the caller to close the connection. */
    readonly closesConnection: () => boolean;
    /** Whether a planned stop has left no more time. */
    readonly isCutByStop: () => boolean;
    /** Called with the time in milliseconds to the first event. */
    readonly onFirstEvent: (milliseconds: number) => void;
    /** Ends a request that was not sent. */
    readonly endUnsent: () => ExchangeResult;
}

/** Two attempts in progress, of which one is to go on. */
interface Contest {
    readonly attempts: readonly [StreamAttempt, StreamAttempt];
    readonly onWon: (winner: StreamAttempt) => void;
}

/** One stream. */
export class StreamExchange {
    private readonly writer: StreamWriter;
    private failure: ExchangeResult | undefined;
    private contest: Contest | undefined;
    private readonly started: StreamAttempt[] = [];
    /** Whether two attempts were in progress for the longest time and neither went on. */
    private hasOverlapped = false;

    private constructor(private readonly options: StreamExchangeOptions) {
        const { response, request, closesConnection } = options;
        this.writer = new StreamWriter(response, request.metadata.lastEventId, closesConnection);
    }

    static async serve(options: StreamExchangeOptions): Promise<ExchangeResult> {
        const exchange = new StreamExchange(options);
        try {
            return await exchange.run();
        } finally {
            exchange.endAll();
        }
    }

    /** Ends what is still in progress, as it is after an exception. */
    private endAll(): void {
        const { targets } = this.options.context;
        for (const attempt of this.started) {
            if (attempt.end !== undefined) continue;
            attempt.leave();
            if (!attempt.hasEvent) targets.recordPromptRead(attempt.target, attempt.promptTokens);
            targets.recordEnded(attempt.target);
        }
    }

    private async run(): Promise<ExchangeResult> {
        const { attempts, inputs, endUnsent } = this.options;
        while (this.failure === undefined || (this.writer.canBeContinued && attempts.mayRetry())) {
            const target = await attempts.nextTarget(inputs);
            if (target === undefined) break;
            const attempt = await this.follow(this.start(target));
            const hadFailed = this.failure !== undefined;
            const result = await this.recordEnd(attempt);
            if (result !== undefined) return result;
            if (attempt.end?.kind === "declined" && !hadFailed) {
                if (!attempts.mayTryAnotherTarget()) break;
            }
        }
        return this.failure === undefined ? endUnsent() : this.endBroken(this.failure);
    }

    private start(target: Target): StreamAttempt {
        const { context, request, attempts, inputs, releaseInputs, onFirstEvent } = this.options;
        const { targets, dialect, firstEventTimes, speeds } = context;
        const expectedCost = attempts.expectedCost(target);
        const lastEventId = this.writer.lastDeliveredEventId;
        const attempt = StreamAttempt.start({
            memory: context.memory,
            request,
            target,
            promptTokens: attempts.uncachedTokens(target),
            writer: this.writer,
            send: options => attempts.send(target, { inputs, lastEventId, ...options }),
            readResponse: head => {
                const metadata = dialect.readResponse(head.status, head.headers);
                targets.recordReport(target, metadata);
                return metadata;
            },
            claim: (attempt, isEvent) => this.claim(attempt, isEvent),
            onHeard: () => targets.recordHeard(target),
            onFirstEvent: ({ startedAt, promptTokens }) => {
                const tookMs = performance.now() - startedAt;
                attempts.recordBegun(startedAt);
                onFirstEvent(performance.now() - request.receivedAt);
                firstEventTimes.record(request.route.name, tookMs);
                if (expectedCost !== undefined) speeds.record(expectedCost, tookMs);
                targets.recordPromptRead(target, promptTokens);
                releaseInputs();
                attempts.recordInputsReleased(inputs);
                targets.recordSuccess(target, tookMs / request.route.latencyObjectiveMs, request.route.name);
            },
        });
        this.started.push(attempt);
        return attempt;
    }

    /** Waits for an attempt to end. While its target is silent, others are tried; returns the attempt that ended. */
    private async follow(first: StreamAttempt): Promise<StreamAttempt> {
        let current = first;
        for (;;) {
            await current.endedOrSilent();
            if (current.end !== undefined) return current;
            const other = this.startOther(current);
            if (other === undefined) await withTimeout(current.ended, RECHECK_MS, undefined);
            else current = await this.decide(current, other);
        }
    }

    /** Sends the request to another target than a silent one, if there is one that may serve it. */
    private startOther(silent: StreamAttempt): StreamAttempt | undefined {
        const { attempts, inputs, context } = this.options;
        context.targets.recordSilent(silent.target, silent.heardAt);
        if (!this.writer.canBeContinued || (this.hasOverlapped && !this.isGivenUp(silent))) return undefined;
        const target = attempts.otherTarget(silent.target, inputs);
        if (target === undefined) return undefined;
        const fields = { other: target.name, silentMs: Math.round(silent.silentMs) };
        attempts.logDecision("silent attempt overlapped", silent.target, fields);
        return this.start(target);
    }

    /** Lets two attempts run until one of them has an event or ends, and returns the one that goes on. */
    private async decide(silent: StreamAttempt, other: StreamAttempt): Promise<StreamAttempt> {
        const won = new Promise<StreamAttempt>(resolve => {
            this.contest = { attempts: [silent, other], onWon: resolve };
        });
        const ended = [silent.ended.then(() => other), other.ended.then(() => silent)];
        const goesOn = await withTimeout(Promise.race([won, ...ended]), OVERLAP_LIMIT_MS, undefined);
        this.contest = undefined;
        if (goesOn === undefined) {
            this.hasOverlapped = true;
            const [left, kept] = this.isGivenUp(silent) ? [silent, other] : [other, silent];
            this.leave(left, "neither target has gone on");
            return kept;
        }
        const ending = goesOn === silent ? other : silent;
        // An attempt that ends of itself is recorded as any other; one that was left has been recorded.
        await this.recordEnd(ending, true);
        return goesOn;
    }

    /** Whether an attempt may write to the caller. If two are in progress and it has an event, the other one is left. */
    private claim(attempt: StreamAttempt, isEvent: boolean): boolean {
        const { contest } = this;
        if (contest === undefined) return true;
        // Comments are no progress: their target may still decline or break before it has an event.
        if (!isEvent) return false;
        this.contest = undefined;
        for (const other of contest.attempts) {
            if (other !== attempt) this.leave(other, `${attempt.target.name} goes on`);
        }
        contest.onWon(attempt);
        return true;
    }

    /**
     * Whether a silent target is probably lost: it is silent for long or has started anew. A target that is no longer
     * registered may still serve its requests, and one to which a connection cannot be made may only be silent.
     */
    private isGivenUp({ silentMs, target }: StreamAttempt): boolean {
        const { context, request } = this.options;
        return silentMs >= longSilenceMs(request.route) || context.targets.hasStartedAnew(target);
    }

    private leave(attempt: StreamAttempt, reason: string): void {
        const { context, request, attempts } = this.options;
        const { target, promptTokens, silentMs, heardAt, isSilent, isSent, hasEvent } = attempt;
        attempt.leave();
        if (!hasEvent) context.targets.recordPromptRead(target, promptTokens);
        context.targets.recordEnded(target);
        if (!isSent) attempts.recordLeftUnsent(target);
        else if (!hasEvent) attempts.recordLeft(target);
        if (isSilent) context.targets.recordLeft(target, request.route.name, heardAt);
        else context.targets.recordInconclusive(target);
        // The target may have run the request, and its stream may have begun.
        if (isSent) this.failure ??= { outcome: "failed", status: 502, reason: "target was left" };
        attempts.logDecision("attempt left", target, { reason, silentMs: Math.round(silentMs) });
    }

    /**
     * Records how an attempt ended. Returns the result of the request, unless it may go on: because it may be retried, or,
     * with `isOther`, because another attempt is in progress.
     */
    private async recordEnd(attempt: StreamAttempt, isOther = false): Promise<ExchangeResult | undefined> {
        const { context, request, attempts, inputs } = this.options;
        const { target, end } = attempt;
        if (end === undefined || end.kind === "left") return undefined;
        if (!attempt.hasEvent) context.targets.recordPromptRead(target, attempt.promptTokens);
        if (end.kind === "unanswered") return this.recordUnanswered(target, end.outcome, isOther);
        context.targets.recordEnded(target);
        switch (end.kind) {
            case "complete":
                if (!attempt.hasEvent) context.targets.recordInconclusive(target);
                attempts.recordServed();
                return { outcome: "answered", status: 200, reason: "complete" };
            case "misdirected":
                context.targets.recordFailure(target, request.route.name);
                this.failure = { outcome: "failed", status: 502, reason: "answer of another" };
                return undefined;
            case "declined":
                if (end.head.status < 500) context.targets.recordInconclusive(target);
                if (end.head.status !== 409) attempts.handleDeclined(target, end.metadata.wrongTarget);
                else if (isOther) attempts.recordInputsReleased(inputs);
                else return this.endBroken(this.failure ?? inputsGone());
                return undefined;
            case "refused":
                return this.recordRefused(target, end, isOther);
            case "incomplete":
                return this.recordIncomplete(attempt, end, isOther);
        }
    }

    private async recordRefused(
        target: Target,
        { head, outcome, body }: Extract<StreamAttemptEnd, { kind: "refused" }>,
        isOther: boolean,
    ): Promise<ExchangeResult | undefined> {
        const { context, request, attempts, reply } = this.options;
        const isComplete = outcome.kind === "complete";
        if (!isComplete && outcome.kind !== "cancelled" && outcome.kind !== "expired") {
            attempts.recordIncomplete(target, outcome);
            if (outcome.kind === "broken") await attempts.checkForCrash(target, RESPONDING);
        } else if (head.status >= 500) {
            context.targets.recordFailure(target, request.route.name);
        } else {
            context.targets.recordInconclusive(target);
        }
        const reason = isComplete ? "target failed" : bodyFailureReason(outcome);
        // The gateway's own response has no status of a refusal, which would say that the request was not run.
        this.failure = { outcome: "failed", status: 502, reason };
        if (!isOther && !this.writer.started && isComplete && !attempts.mayRetry()) return reply.forward(head, body);
        body.release();
        return undefined;
    }

    private async recordUnanswered(
        target: Target,
        outcome: Extract<StreamAttemptEnd, { kind: "unanswered" }>["outcome"],
        isOther: boolean,
    ): Promise<ExchangeResult | undefined> {
        const result = await this.options.attempts.handleUnanswered(target, outcome);
        if (result === "again") return undefined;
        if (isFinal(result)) {
            if (isOther) return undefined;
            return this.endBroken(this.failure === undefined ? result : withoutRefusalStatus(result));
        }
        this.failure = result;
        return undefined;
    }

    private async recordIncomplete(
        attempt: StreamAttempt,
        { result }: Extract<StreamAttemptEnd, { kind: "incomplete" }>,
        isOther: boolean,
    ): Promise<ExchangeResult | undefined> {
        const { context, request, attempts } = this.options;
        const { target } = attempt;
        if (isFinal(result)) {
            if (!attempt.hasEvent) context.targets.recordInconclusive(target);
            return isOther ? undefined : this.endBroken(result);
        }
        if (result.reason === NO_MEMORY) attempts.recordGivenUp(target);
        else if (result.reason === WITHOUT_NEW_EVENTS) attempts.recordUnacceptable(target);
        else context.targets.recordFailure(target, request.route.name);
        attempts.logDecision("stream broken", target, {
            reason: result.reason,
            delivered: this.writer.lastDeliveredEventId,
            parts: attempts.loggedParts,
        });
        await attempts.checkForCrash(target, { isResponding: true, hasEvent: attempt.hasEvent });
        this.failure = result;
        return undefined;
    }

    /** Ends an incomplete stream: closes the connection if part of the stream was delivered. */
    private endBroken(result: ExchangeResult): ExchangeResult {
        const { response, reply, isCutByStop } = this.options;
        if (!this.writer.started) return reply.endWith(result);
        // With a marked end, what was written may reach the caller, which can resume the stream from there.
        if (isCutByStop() && hasMarkedEnd(response)) response.socket?.destroySoon();
        else breakOff(response);
        if (isCutByStop()) return { ...result, outcome: "brokenOff", reason: "gateway stops" };
        return result.outcome === "cancelled" ? result : { ...result, outcome: "brokenOff" };
    }
}
