/**
 * The attempts of one request: waits for a target that may get it (`targetchoice`) unless it is held back (`holdbacks`),
 * sends the request there, records what a missing response says about the target, and decides whether the request may be
 * retried.
 */
import { RequestUsage } from "../duties/index.js";
import { pause } from "../model/pause.js";
import type { EngineCost } from "../placement/index.js";
import type { StageResult } from "../stages/index.js";
import { type AttemptOutcome, HEAD_TOO_LONG, refusesConnections, sendAttempt } from "./attempt.js";
import type { GatewayContext } from "./gateway.js";
import { bodyFailureReason, type HeldBodyOutcome, isUnacceptable, NO_MEMORY } from "./heldbody.js";
import { type HoldBack, HoldBacks, STOPPING, SUSPECTED } from "./holdbacks.js";
import { RequestRetries } from "./requestretries.js";
import { type CrashProgress, NO_PROGRESS, RequestTrial } from "./requesttrial.js";
import type { ExchangeResult, RoutedRequest } from "./routedrequest.js";
import type { Target } from "./target.js";
import { type OtherTarget, TargetChoice } from "./targetchoice.js";

/** Interval in milliseconds at which a waiting request looks for a usable target. */
const TARGET_RECHECK_MS = 20;

/** Shortest remaining time in milliseconds in which an attempt can succeed. */
const SHORTEST_ATTEMPT_MS = 10;

/** Number of targets that may decline a request before it is refused. */
const MAXIMUM_DECLINES = 2;

/**
 * Number of unacceptable answers, too long for instance, after which a request is not sent to another target: the second
 * one says that they come from the request.
 */
const MAXIMUM_UNACCEPTABLE_ANSWERS = 2;

/** Time in milliseconds after which a request may come back that waited for another one's trial. */
const TRIAL_RETRY_MS = 500;

/** Maximum number of prompt parts in one log line. */
const MAXIMUM_LOGGED_PARTS = 8;

/** Options of one attempt. */
export interface AttemptOptions {
    readonly inputs: readonly StageResult[];
    /** Id of the event after which an interrupted stream is resumed. */
    readonly lastEventId?: string | undefined;
    /** Ends the attempt; by default the signal of the request. */
    readonly signal?: AbortSignal;
    /** Called when the connection is open, and when the request is about to be sent. */
    readonly onOpen?: () => void;
    readonly onSending?: () => void;
}

/** The attempts of one request. */
export class Attempts {
    private declinedCount = 0;
    private unacceptableCount = 0;
    /** Whether an answer had to give way, so that another one would have to as well. */
    private isOutOfMemory = false;
    private hasBegun = false;
    private lastHoldBack: HoldBack | undefined;
    private readonly markSent: () => void;
    private readonly retries: RequestRetries;
    private readonly trial: RequestTrial;
    private readonly holdBacks: HoldBacks;
    private readonly choice: TargetChoice;
    private readonly usage: RequestUsage;
    /** Whether results that every attempt needs are gone. */
    private areInputsReleased = false;
    /** What was last in the way of another attempt beside a silent one. */
    private loggedObstacle: string | undefined;
    /** Monotonic time in milliseconds at which the attempt was sent that serves the request. */
    private servedSentAt: number | undefined;
    private latestSentAt: number | undefined;
    /** Monotonic time in milliseconds at which the request was last sent to a target, by its name. */
    private readonly sentAtByTarget = new Map<string, number>();

    private constructor(
        private readonly context: GatewayContext,
        private readonly request: RoutedRequest,
    ) {
        this.markSent = context.limitQueue.add(request.service);
        this.retries = RequestRetries.create(context.retryBudgetOf(request.service));
        this.trial = RequestTrial.create(context, request);
        this.holdBacks = HoldBacks.create(context, request);
        this.usage = RequestUsage.create(context.countRun, request.accountName);
        this.choice = TargetChoice.create(context, request, this.retries);
    }

    static create(context: GatewayContext, request: RoutedRequest): Attempts {
        return new Attempts(context, request);
    }

    /** Number of attempts that a target may have run. */
    get count(): number {
        return this.choice.runs;
    }

    /** Names of the targets to which the request was sent. */
    get triedTargets(): readonly string[] {
        return this.choice.triedNames;
    }

    /** Monotonic time in milliseconds at which the request was last sent; undefined if it was not. */
    get lastSentAt(): number | undefined {
        return this.latestSentAt;
    }

    /** Why the request was not sent although there are targets; undefined if it was. */
    get holdBack(): HoldBack | undefined {
        return this.lastHoldBack;
    }

    /** Ends the attempts, whatever has come of them. */
    end(): void {
        this.markSent();
        this.retries.end();
        this.trial.end();
    }

    /**
     * Why the request could not be sent, as far as it is known before its stages run; undefined if it may be possible.
     * `preparationMs` is the time until it is to be sent.
     */
    findHoldBack(preparationMs: number): HoldBack | undefined {
        return this.holdBacks.beforeStages(preparationMs);
    }

    /** Zone of the target that will probably get the request. */
    preferredZone(): string {
        return this.choice.preferredZone();
    }

    /** Number of prompt tokens that the target has to process because they are not in its prefix cache. */
    uncachedTokens(target: Target): number {
        return this.choice.uncachedTokens(target);
    }

    /** The cost at which an engine was chosen; undefined while its service does not report paces. */
    expectedCost(target: Target): EngineCost | undefined {
        return this.choice.expectedCost(target);
    }

    /** Records how long a request took that was served. */
    recordTimes(): void {
        const { context, request, servedSentAt } = this;
        const now = performance.now();
        context.requestTimes.record(request.route.name, now - request.receivedAt);
        if (servedSentAt !== undefined) context.attemptTimes.record(request.route.name, now - servedSentAt);
    }

    /** The target to which the request may be sent now; undefined if there is none, or the request is held back. */
    async nextTarget(inputs: readonly StageResult[]): Promise<Target | undefined> {
        for (;;) {
            if (!(await this.waitForAdmission())) return undefined;
            const target = await this.chooseTarget(inputs);
            const stopHoldBack = this.holdBacks.byStop();
            // A begun stream would be cut otherwise, so that a try loses nothing.
            const isBegunStream = this.request.route.streaming && this.hasBegun;
            if (stopHoldBack !== undefined && !isBegunStream) {
                if (this.count > 0) this.logNoFurtherAttempt(stopHoldBack.reason);
                this.lastHoldBack = stopHoldBack;
                return undefined;
            }
            // What is known of the request may have changed while it waited for a target.
            if (this.trial.isAdmitted() || target === undefined) return target;
        }
    }

    /** Whether the request may be sent, as it is not suspected of crashing targets. Waits a limited time for a trial. */
    private async waitForAdmission(): Promise<boolean> {
        const { signal } = this.request;
        const waitUntil = performance.now() + this.holdBacks.longestWaitMs();
        for (;;) {
            const admission = this.trial.admit();
            if (admission.kind === "admitted") return true;
            const isOver = signal.aborted || performance.now() >= waitUntil;
            if (this.count > 0 && (admission.kind !== "trial" || isOver)) this.logNoFurtherAttempt(admission.kind);
            if (admission.kind === "trial" && !isOver) {
                await pause(TARGET_RECHECK_MS);
                continue;
            }
            const retryAfterMs = admission.kind === "refused" ? admission.retryAfterMs : TRIAL_RETRY_MS;
            this.lastHoldBack = this.holdBacks.bySuspicion(admission, retryAfterMs);
            return false;
        }
    }

    /** Records that a target has begun to serve the request that was sent at that time: with the first event of a stream. */
    recordBegun(sentAt: number): void {
        this.hasBegun = true;
        if (this.request.route.streaming) this.usage.recordRun();
        this.servedSentAt = sentAt;
    }

    /** Records that a target has served the request to its end. */
    recordServed(): void {
        this.trial.recordServed();
    }

    /** Records that the results of the stages were released. Without them, no other target can take the request. */
    recordInputsReleased(inputs: readonly StageResult[]): void {
        this.areInputsReleased = inputs.length > 0;
    }

    /** Finds out whether the target of a broken attempt has crashed, and records it. */
    async checkForCrash(target: Target, progress: CrashProgress): Promise<void> {
        if (target.registration.state !== "available") return;
        const ageMs = performance.now() - (this.sentAtByTarget.get(target.name) ?? this.request.receivedAt);
        if (!(await refusesConnections(target.registration.address))) return;
        this.trial.recordCrash(target, progress, ageMs);
    }

    /** Chooses a usable target, preferably an untried one. Waits a limited time when there is none. */
    private async chooseTarget(inputs: readonly StageResult[]): Promise<Target | undefined> {
        const { request, context } = this;
        const waitUntil = performance.now() + this.holdBacks.longestWaitMs();
        for (;;) {
            if (request.signal.aborted || request.deadline.remainingMs() < SHORTEST_ATTEMPT_MS) return undefined;
            const usable = context.targets.usable(request.service);
            if (usable.length === 0) {
                const holdBack = this.holdBacks.withoutUsableTarget(waitUntil - performance.now());
                if (holdBack !== undefined) {
                    this.lastHoldBack = holdBack;
                    return undefined;
                }
            }
            const chosen = this.choice.best(usable, inputs);
            if (chosen !== undefined) return chosen;
            if (performance.now() >= waitUntil) {
                if (this.count > 0) this.logNoFurtherAttempt("no target");
                return undefined;
            }
            await pause(TARGET_RECHECK_MS);
        }
    }

    /** Records that an attempt was left for another one, before its target had begun to answer. */
    recordLeft(target: Target): void {
        this.choice.recordLeft(target);
    }

    /** Records that the latest attempt was left before it had a connection. */
    recordLeftUnsent(target: Target): void {
        this.choice.recordNotRun(target);
        this.retries.recordNothingSent();
    }

    /** Another target than a silent one, to which the request may be sent as well; the request then holds a retry. */
    otherTarget(silent: Target, inputs: readonly StageResult[]): Target | undefined {
        const obstacle = this.obstacleToOther();
        const other: OtherTarget =
            obstacle === undefined ? this.choice.other(silent, inputs) : { kind: "none", obstacle };
        if (other.kind === "found") {
            this.retries.take();
            return other.target;
        }
        if (other.obstacle !== this.loggedObstacle) {
            this.logDecision("silent attempt continues", silent, { reason: other.obstacle });
        }
        this.loggedObstacle = other.obstacle;
        return undefined;
    }

    /** Whether a copy of the request may run beside the attempt in progress, as far as its attempts have shown. */
    get mayBeCopied(): boolean {
        return this.hasAttemptLeft() && this.declinedCount <= MAXIMUM_DECLINES;
    }

    /** Whether a retry is left for a copy. */
    get isRetryLeft(): boolean {
        return this.retries.available();
    }

    /** The target among those given that would get a copy of the request. */
    copyTarget(targets: readonly Target[], inputs: readonly StageResult[]): Target | undefined {
        return this.choice.untriedOf(targets, inputs);
    }

    /** Takes the retry that a copy uses. Call only if `isRetryLeft` is true. */
    takeRetryForCopy(): void {
        this.retries.take();
    }

    /** What is in the way of another attempt beside a silent one, whatever other targets there are. */
    private obstacleToOther(): string | undefined {
        if (!this.request.route.idempotent) return "stream cannot be resumed";
        if (this.areInputsReleased) return "results of stages are released";
        const obstacle = this.obstacleByAnswers();
        if (obstacle !== undefined) return obstacle;
        if (!this.hasTimeLeft()) return "no time is left";
        if (!this.retries.available()) return "no retry is left";
        if (this.declinedCount > MAXIMUM_DECLINES) return "targets decline";
        if (this.holdBacks.byStop() !== undefined) return STOPPING;
        return this.trial.isAdmitted() ? undefined : SUSPECTED;
    }

    /** Sends the request to a target. */
    send(target: Target, { inputs, lastEventId, signal, onOpen, onSending }: AttemptOptions): Promise<AttemptOutcome> {
        const { context, request } = this;
        const { route, metadata, body } = request;
        const headers = context.dialect.attemptHeaders(request.rawHeaders, {
            remainingMs: request.deadline.remainingMs(),
            targetId: target.registration.id,
            accountName: request.accountName,
            priority: route.streaming ? Math.min(9, request.priority) : undefined,
            inputs: inputs.map(({ handle }) => handle),
            lastEventId,
        });
        if (body !== undefined) headers.push("content-length", String(body.length));
        this.choice.recordSent(target);
        this.retries.recordAttempt();
        this.markSent();
        context.rollouts.recordSent(target);
        context.targets.recordSent(target, route.streaming ? this.uncachedTokens(target) : 0);
        if (route.streaming) context.prefixCaches.recordSent(target.name, metadata.promptParts);
        const attemptRequest = {
            address: target.registration.address,
            method: request.method,
            path: request.path,
            headers,
            body,
        };
        return sendAttempt(attemptRequest, {
            deadline: request.deadline,
            signal: signal ?? request.signal,
            beforeSending: request.watchInput(),
            onOpen,
            onSending: () => {
                this.latestSentAt = performance.now();
                this.sentAtByTarget.set(target.name, this.latestSentAt);
                if (!route.streaming) this.usage.recordRun();
                onSending?.();
            },
        });
    }

    /**
     * Records an attempt without a response. Returns the request's result in case it is not retried, or `again` when
     * nothing was sent.
     */
    async handleUnanswered(
        target: Target,
        outcome: Exclude<AttemptOutcome, { kind: "answered" }>,
    ): Promise<ExchangeResult | "again"> {
        const { targets } = this.context;
        targets.recordEnded(target);
        if (outcome.kind === "unreachable" || ("sent" in outcome && !outcome.sent)) {
            this.choice.recordNotRun(target);
            this.retries.recordNothingSent();
        }
        switch (outcome.kind) {
            case "unreachable":
                targets.recordUnreachable(target);
                this.logDecision("target unreachable", target, { reason: outcome.reason });
                return "again";
            case "unsendable":
                this.choice.recordNotRun(target);
                if (!this.request.route.streaming) this.usage.recordNoRun();
                targets.recordInconclusive(target);
                this.logDecision("request not sendable", target, { reason: outcome.reason });
                return { outcome: "rejected", status: 400, reason: "request cannot be sent" };
            case "broken":
                if (outcome.reason === HEAD_TOO_LONG) this.recordUnacceptable(target);
                else targets.recordFailure(target, this.request.route.name);
                this.logDecision("attempt broken", target, { reason: outcome.reason, parts: this.loggedParts });
                if (outcome.reason !== HEAD_TOO_LONG) await this.checkForCrash(target, NO_PROGRESS);
                return { outcome: "failed", status: 502, reason: outcome.reason };
            case "expired":
                if (outcome.sent) targets.recordExpired(target, this.request.route.name);
                else targets.recordInconclusive(target);
                return outcome.sent
                    ? { outcome: "expired", status: 504, reason: "no answer before the deadline" }
                    : { outcome: "expired", status: 503, reason: "deadline passed before sending" };
            case "cancelled":
                targets.recordInconclusive(target);
                return { outcome: "cancelled", status: 0, reason: "caller left" };
        }
    }

    /** Records a body that did not come to its end and the target that has sent it. */
    recordIncomplete(target: Target, outcome: Exclude<HeldBodyOutcome, { kind: "complete" | "cancelled" }>): void {
        this.logDecision("attempt broken", target, { reason: bodyFailureReason(outcome), parts: this.loggedParts });
        if (outcome.kind === "noMemory") this.recordGivenUp(target);
        else if (isUnacceptable(outcome)) this.recordUnacceptable(target);
        else this.context.targets.recordFailure(target, this.request.route.name);
    }

    /** Records that an answer had to give way to others, which says nothing about its target. */
    recordGivenUp(target: Target): void {
        this.isOutOfMemory = true;
        this.context.targets.recordInconclusive(target);
    }

    /** Records an answer that no target may send. The first one is the target's failure, a second one the request's. */
    recordUnacceptable(target: Target): void {
        this.unacceptableCount += 1;
        if (this.unacceptableCount === 1) this.context.targets.recordFailure(target, this.request.route.name);
        else this.context.targets.recordInconclusive(target);
    }

    /** Records that a target declined the request: it states that it has not run it. */
    handleDeclined(target: Target, wrongTarget: boolean): void {
        this.choice.recordDeclined(target);
        if (!this.request.route.streaming) this.usage.recordNoRun();
        this.declinedCount += 1;
        this.context.targets.recordInconclusive(target);
        if (wrongTarget) this.context.targets.recordUnreachable(target);
        this.logDecision("attempt declined", target, { wrongTarget });
    }

    /** Whether a request that no target has run may be sent to another one; if so, it holds a retry. */
    mayTryAnotherTarget(): boolean {
        return this.declinedCount <= MAXIMUM_DECLINES && this.takeRetry();
    }

    /** Whether a request that a target may have run may be retried; if so, it holds a retry. */
    mayRetry(): boolean {
        return this.hasAttemptLeft() && this.takeRetry();
    }

    /** Whether a request that a target may have run may be sent once more, within the retry budget. */
    private hasAttemptLeft(): boolean {
        if (!this.request.route.idempotent || this.areInputsReleased) return false;
        if (this.obstacleByAnswers() !== undefined) return false;
        return this.choice.isAttemptLeft && this.hasTimeLeft();
    }

    /** What earlier answers say against another attempt. */
    private obstacleByAnswers(): string | undefined {
        if (this.isOutOfMemory) return NO_MEMORY;
        return this.unacceptableCount >= MAXIMUM_UNACCEPTABLE_ANSWERS ? "answers are unacceptable" : undefined;
    }

    private hasTimeLeft(): boolean {
        const { signal, deadline } = this.request;
        return !signal.aborted && deadline.remainingMs() >= SHORTEST_ATTEMPT_MS;
    }

    /** Ids of the prompt parts that other requests may share, as far as they fit into a log line. */
    get loggedParts(): readonly string[] {
        return this.request.metadata.promptParts
            .slice(0, -1)
            .slice(0, MAXIMUM_LOGGED_PARTS)
            .map(({ id }) => id);
    }

    private takeRetry(): boolean {
        const { service, metadata } = this.request;
        if (!this.retries.available()) {
            this.context.onDecision("repeat denied", { id: metadata.requestId, service });
            return false;
        }
        this.retries.take();
        return true;
    }

    private logNoFurtherAttempt(reason: string): void {
        this.context.onDecision("no further attempt", { id: this.request.metadata.requestId, reason });
    }

    /** Logs a decision on the request at a target. */
    logDecision(decision: string, target: Target, fields: Readonly<Record<string, unknown>>): void {
        this.context.onDecision(decision, { id: this.request.metadata.requestId, target: target.name, ...fields });
    }
}
