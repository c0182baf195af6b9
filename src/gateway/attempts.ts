/**
 * The attempts of one request: chooses the next target, sends the request to it, records what a missing response says
 * about the target, and decides whether the request may be retried.
 */
import { pause } from "../model/pause.js";
import type { StageResult } from "../stages/index.js";
import { type AttemptOutcome, HEAD_TOO_LONG, refusesConnections, sendAttempt } from "./attempt.js";
import type { GatewayContext } from "./gateway.js";
import { RequestRetries } from "./requestretries.js";
import type { ExchangeResult, RoutedRequest } from "./routedrequest.js";
import type { Admission } from "./suspects.js";
import { leastLoadedTarget, cheapestEngine, type PlacementInput } from "./placement.js";
import type { Target } from "./target.js";
import { pauseReturnMs } from "./targetpause.js";

/** Fraction of the remaining time for which a request waits for a usable target. */
const TARGET_WAIT_SHARE = 0.25;
/** Interval in milliseconds at which a waiting request looks for a usable target. */
const TARGET_RECHECK_MS = 20;

/** Shortest remaining time in milliseconds in which an attempt can succeed. */
const SHORTEST_ATTEMPT_MS = 10;

/** Number of targets that may decline a request before it is refused. */
const MAXIMUM_DECLINES = 2;

/** Time in milliseconds after a refusal before a target that has declined the request is asked again. */
const DECLINE_PAUSE_MS = 300;

/** Time in milliseconds after which a request may come back that waited for another one's trial. */
const TRIAL_RETRY_MS = 500;

/** Reason of a request that a planned stop leaves no time for. */
export const STOPPING = "stopping";

/** Why a request is not sent, and when it may come back. */
export interface HoldBack {
    readonly reason: string;
    readonly retryAfterMs: number;
}

/** Maximum number of prompt parts in one log line. */
const MAXIMUM_LOGGED_PARTS = 8;

/** Options of one attempt. */
export interface AttemptOptions {
    readonly inputs: readonly StageResult[];
    /** Id of the event after which an interrupted stream is resumed. */
    readonly lastEventId?: string | undefined;
    /** Ends the attempt; by default the signal of the request. */
    readonly signal?: AbortSignal;
    /** Called when the connection is open and the request is about to be sent. */
    readonly onConnected?: () => void;
}

/** The attempts of one request. */
export class Attempts {
    /** Number of attempts that a target may have run. */
    count = 0;
    private readonly tried = new Set<Target>();
    private declinedCount = 0;
    private lastDeclinedAt = Number.NEGATIVE_INFINITY;
    private trial: Extract<Admission, { kind: "trial" }> | undefined;
    private hasBeenServed = false;
    private lastHoldBack: HoldBack | undefined;
    private readonly markSent: () => void;
    private readonly retries: RequestRetries;
    /** The targets that may have run the request. */
    private readonly mayHaveRun = new Set<Target>();
    /** Those that were left before they had begun to answer, and that may get the request again. */
    private readonly left = new Set<Target>();
    /** Whether results that every attempt needs are gone. */
    private areInputsReleased = false;
    /** What was last in the way of another attempt beside a silent one. */
    private loggedObstacle: string | undefined;
    /** Monotonic time in milliseconds at which the attempt was sent that serves the request. */
    private servedSentAt: number | undefined;

    private constructor(
        private readonly context: GatewayContext,
        private readonly request: RoutedRequest,
    ) {
        this.markSent = context.limitQueue.add(request.service);
        this.retries = RequestRetries.create(context.retryBudgetOf(request.service));
    }

    static create(context: GatewayContext, request: RoutedRequest): Attempts {
        return new Attempts(context, request);
    }

    /** Names of the targets to which the request was sent. */
    get triedTargets(): readonly string[] {
        return [...new Set([...this.tried].map(({ name }) => name))];
    }

    /** Why the request was not sent although there are targets; undefined if it was. */
    get holdBack(): HoldBack | undefined {
        return this.lastHoldBack;
    }

    /** Ends the attempts, whatever has come of them. */
    end(): void {
        this.markSent();
        this.retries.end();
        this.endTrial();
    }

    /**
     * Why the request could not be sent, as far as it is known before its stages run; undefined if it may be possible.
     * `preparationMs` is the time until it is to be sent.
     */
    findHoldBack(preparationMs: number): HoldBack | undefined {
        const { context, request } = this;
        const usualMs = context.requestTimes.usualMs(request.route.name);
        const stopHoldBack = this.stopHoldBack(usualMs - (performance.now() - request.receivedAt));
        if (stopHoldBack !== undefined) return stopHoldBack;
        const admission = context.suspects.admission(request.traits);
        if (admission.kind === "refused") return this.suspectHoldBack(admission, admission.retryAfterMs);
        const longestWaitMs = preparationMs + (request.deadline.remainingMs() - preparationMs) * TARGET_WAIT_SHARE;
        const pauseHoldBack = this.pauseHoldBack(request.service, longestWaitMs);
        if (pauseHoldBack !== undefined) return pauseHoldBack;
        const ahead = context.limitQueue.unsentRequests(request.service) - 1;
        const waitMs = context.limitQueue.waitMs(request.service, ahead);
        return waitMs === undefined || waitMs <= longestWaitMs ? undefined : this.limitHoldBack(waitMs);
    }

    /** Holds a request back that has probably no time to end before a planned stop. */
    private stopHoldBack(usualMs: number): HoldBack | undefined {
        const { shutdown, stopReturnMs } = this.context;
        if (shutdown.hasTimeFor(usualMs, this.request.ownDeadline)) return undefined;
        return { reason: STOPPING, retryAfterMs: stopReturnMs() };
    }

    /** Records how long a request took that was served. */
    recordTimes(): void {
        const { context, request, servedSentAt } = this;
        const now = performance.now();
        context.requestTimes.record(request.route.name, now - request.receivedAt);
        if (servedSentAt !== undefined) context.attemptTimes.record(request.route.name, now - servedSentAt);
    }

    private suspectHoldBack(admission: Admission, retryAfterMs: number): HoldBack {
        this.context.onDecision("request held back", {
            id: this.request.metadata.requestId,
            ...admission,
            retryAfterMs: Math.round(retryAfterMs),
        });
        return { reason: "request may crash targets", retryAfterMs };
    }

    /** Holds a request back if all targets of a service have requested pauses that last longer than it can wait. */
    private pauseHoldBack(service: string, longestWaitMs: number): HoldBack | undefined {
        const { request, context } = this;
        const pauseMs = context.targets.pauseMs(service);
        if (pauseMs === undefined || pauseMs <= longestWaitMs) return undefined;
        const retryAfterMs = pauseReturnMs(pauseMs);
        context.onDecision("targets paused", {
            id: request.metadata.requestId,
            service,
            pauseMs: Math.round(pauseMs),
            retryAfterMs,
        });
        return { reason: "targets pause", retryAfterMs };
    }

    private limitHoldBack(waitMs: number): HoldBack {
        const { request, context } = this;
        const retryAfterMs = context.limitQueue.returnMs(request.service, waitMs);
        context.onDecision("limit of targets reached", {
            id: request.metadata.requestId,
            service: request.service,
            waitMs,
            retryAfterMs,
        });
        return { reason: "limit of targets", retryAfterMs };
    }

    /** The target to which the request may be sent now; undefined if there is none, or the request is held back. */
    async nextTarget(inputs: readonly StageResult[]): Promise<Target | undefined> {
        for (;;) {
            if (!(await this.waitForAdmission())) return undefined;
            const target = await this.chooseTarget(inputs);
            const stopHoldBack = this.stopHoldBack(this.context.attemptTimes.usualMs(this.request.route.name));
            // A begun stream would be cut otherwise, so that a try loses nothing.
            const isBegunStream = this.request.route.streaming && this.hasBeenServed;
            if (stopHoldBack !== undefined && !isBegunStream) {
                if (this.count > 0) this.logNoFurtherAttempt(stopHoldBack.reason);
                this.lastHoldBack = stopHoldBack;
                return undefined;
            }
            // What is known of the request may have changed while it waited for a target.
            const { kind } = this.context.suspects.admission(this.request.traits);
            if (target === undefined || this.trial !== undefined || kind === "admitted") return target;
        }
    }

    /** Whether the request may be sent, as it is not suspected of crashing targets. Waits a limited time for a trial. */
    private async waitForAdmission(): Promise<boolean> {
        const { suspects, onDecision } = this.context;
        const { traits, deadline, signal, metadata } = this.request;
        const waitUntil = performance.now() + deadline.remainingMs() * TARGET_WAIT_SHARE;
        for (;;) {
            const admission = suspects.admission(traits);
            if (admission.kind === "admitted" || this.trial !== undefined) return true;
            if (admission.kind === "trial" && suspects.startTrial(admission.traits)) {
                this.trial = admission;
                onDecision("trial started", { id: metadata.requestId, traits: admission.traits });
                return true;
            }
            const isOver = signal.aborted || performance.now() >= waitUntil;
            if (this.count > 0 && (admission.kind !== "trial" || isOver)) this.logNoFurtherAttempt(admission.kind);
            if (admission.kind === "trial" && !isOver) {
                await pause(TARGET_RECHECK_MS);
                continue;
            }
            const retryAfterMs = admission.kind === "refused" ? admission.retryAfterMs : TRIAL_RETRY_MS;
            this.lastHoldBack = this.suspectHoldBack(admission, retryAfterMs);
            return false;
        }
    }

    /** Ends the request's trial, if it has one. */
    private endTrial(): void {
        if (this.trial !== undefined) this.context.suspects.endTrial(this.trial.traits);
        this.trial = undefined;
    }

    /** Records that a target has served the request that was sent at that time: with its response, or the first event. */
    recordServed(sentAt: number): void {
        this.hasBeenServed = true;
        this.servedSentAt = sentAt;
        this.context.suspects.recordServed(this.request.traits);
        this.endTrial();
    }

    /** Records that the results of the stages were released. Without them, no other target can take the request. */
    recordInputsReleased(inputs: readonly StageResult[]): void {
        this.areInputsReleased = inputs.length > 0;
    }

    /**
     * Finds out whether the target of a broken attempt has crashed, and records it. A request that another target has
     * served does not crash targets.
     */
    async checkForCrash(target: Target, isResponding: boolean): Promise<void> {
        if (this.hasBeenServed || target.registration.state !== "available") return;
        if (!(await refusesConnections(target.registration.address))) return;
        const traits = this.request.traits();
        const tried = this.trial?.isConclusive === true ? this.trial.traits : [];
        this.logDecision("target crashed", target, {
            isResponding,
            traits: traits.slice(0, MAXIMUM_LOGGED_PARTS),
            tried,
        });
        this.context.targets.recordUnreachable(target);
        this.context.suspects.recordCrash(target, { traits, isResponding, tried });
        this.endTrial();
    }

    /** Chooses a usable target, preferably an untried one. Waits a limited time when there is none. */
    private async chooseTarget(inputs: readonly StageResult[]): Promise<Target | undefined> {
        const { request, context } = this;
        const waitUntil = performance.now() + request.deadline.remainingMs() * TARGET_WAIT_SHARE;
        for (;;) {
            if (request.signal.aborted || request.deadline.remainingMs() < SHORTEST_ATTEMPT_MS) return undefined;
            const usable = context.targets.usable(request.service);
            const limitWaitMs = usable.length === 0 ? context.limitQueue.waitMs(request.service, 0) : undefined;
            if (limitWaitMs !== undefined && performance.now() + limitWaitMs > waitUntil) {
                this.lastHoldBack = this.limitHoldBack(limitWaitMs);
                return undefined;
            }
            const pauseHoldBack = this.pauseHoldBack(request.service, waitUntil - performance.now());
            if (usable.length === 0 && pauseHoldBack !== undefined) {
                this.lastHoldBack = pauseHoldBack;
                return undefined;
            }
            const heard = context.targets.withoutSilent(usable, this.canMove());
            // A silent target is better than none, also if those that are not silent are not allowed by a roll-out.
            const chosen =
                this.bestTarget(this.candidates(heard), inputs) ?? this.bestTarget(this.candidates(usable), inputs);
            if (chosen !== undefined) return chosen;
            if (performance.now() >= waitUntil) {
                if (this.count > 0) this.logNoFurtherAttempt("no target");
                return undefined;
            }
            await pause(TARGET_RECHECK_MS);
        }
    }

    /** The usable targets to which the request may be sent: untried ones, if more targets may run it and there are any. */
    private candidates(usable: readonly Target[]): readonly Target[] {
        if (!this.mayRunAtMoreTargets()) return usable.filter(target => this.left.has(target));
        const untried = usable.filter(target => !this.tried.has(target));
        return untried.length > 0 ? untried : usable;
    }

    /** Whether the request can go on at another target if its target is silent. */
    private canMove(): boolean {
        const { streaming, idempotent } = this.request.route;
        return streaming && idempotent && this.retries.available();
    }

    /** The best of the given targets, of those that roll-outs allow. */
    private bestTarget(targets: readonly Target[], inputs: readonly StageResult[]): Target | undefined {
        const { request, context } = this;
        const eligible = (service: string): readonly Target[] => context.targets.eligible(service);
        const allowed = context.rollouts.allowed(request.service, targets, eligible);
        return request.route.streaming
            ? cheapestEngine(allowed, this.placementInput(inputs), context.prefixCaches)
            : leastLoadedTarget(allowed, context.zone, Math.random);
    }

    /** Records that an attempt was left for another one, before its target had begun to answer. */
    recordLeft(target: Target): void {
        this.left.add(target);
    }

    /** Records that the latest attempt was left before it had a connection. */
    recordLeftUnsent(target: Target): void {
        this.recordNotRun(target);
        this.retries.recordNothingSent();
    }

    /** Another target than a silent one, to which the request may be sent as well; the request then holds a retry. */
    otherTarget(silent: Target, inputs: readonly StageResult[]): Target | undefined {
        const found = this.findOtherTarget(silent, inputs);
        if (found.kind === "found") {
            this.retries.take();
            return found.target;
        }
        if (found.obstacle !== this.loggedObstacle) {
            this.logDecision("silent attempt continues", silent, { reason: found.obstacle });
        }
        this.loggedObstacle = found.obstacle;
        return undefined;
    }

    private findOtherTarget(
        silent: Target,
        inputs: readonly StageResult[],
    ): { readonly kind: "found"; readonly target: Target } | { readonly kind: "none"; readonly obstacle: string } {
        const { request, context } = this;
        const none = (obstacle: string) => ({ kind: "none", obstacle }) as const;
        if (!request.route.idempotent) return none("stream cannot be resumed");
        if (this.areInputsReleased) return none("results of stages are released");
        if (!this.hasTimeLeft()) return none("no time is left");
        if (!this.retries.available()) return none("no retry is left");
        if (this.declinedCount > MAXIMUM_DECLINES) return none("targets decline");
        if (this.stopHoldBack(context.attemptTimes.usualMs(request.route.name)) !== undefined) return none(STOPPING);
        const { kind } = context.suspects.admission(request.traits);
        if (kind !== "admitted" && this.trial === undefined) return none("request may crash targets");
        const others = context.targets.usable(request.service).filter(target => target !== silent);
        const untried = others.filter(target => !this.tried.has(target));
        const isAttemptLeft = this.mayHaveRun.size < request.route.maximumAttempts;
        const mayAskAgain = isAttemptLeft && performance.now() - this.lastDeclinedAt >= DECLINE_PAUSE_MS;
        const again = others.filter(target => this.left.has(target) || (mayAskAgain && !this.mayHaveRun.has(target)));
        const candidates = isAttemptLeft && untried.length > 0 ? untried : again;
        const heard = context.targets.withoutSilent(candidates, this.canMove());
        const target = this.bestTarget(heard, inputs) ?? this.bestTarget(candidates, inputs);
        if (target !== undefined) return { kind: "found", target };
        return none(isAttemptLeft ? "no other target" : "no attempt is left");
    }

    /** Zone of the target that will probably get the request. */
    preferredZone(): string {
        const { request, context } = this;
        const usable = context.targets.usable(request.service);
        const heard = context.targets.withoutSilent(usable, this.canMove());
        return (
            cheapestEngine(heard.length > 0 ? heard : usable, this.placementInput([]), context.prefixCaches)
                ?.registration.zone ?? context.zone
        );
    }

    /** Sends the request to a target. */
    send(target: Target, { inputs, lastEventId, signal, onConnected }: AttemptOptions): Promise<AttemptOutcome> {
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
        this.count += 1;
        this.retries.recordAttempt();
        this.markSent();
        this.tried.add(target);
        this.mayHaveRun.add(target);
        this.left.delete(target);
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
            ...(onConnected === undefined ? {} : { onConnected }),
        });
    }

    /** Number of prompt tokens that the target has to process because they are not in its prefix cache. */
    uncachedTokens(target: Target): number {
        const { promptParts, promptTokens } = this.request.metadata;
        return Math.max(
            0,
            promptTokens - this.context.prefixCaches.cachedTokens(target.name, promptParts.slice(0, -1)),
        );
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
        if (outcome.kind === "unreachable" || ("sent" in outcome && !outcome.sent)) this.retries.recordNothingSent();
        switch (outcome.kind) {
            case "unreachable":
                this.recordNotRun(target);
                targets.recordUnreachable(target);
                this.logDecision("target unreachable", target, { reason: outcome.reason });
                return "again";
            case "unsendable":
                this.recordNotRun(target);
                targets.recordInconclusive(target);
                this.logDecision("request not sendable", target, { reason: outcome.reason });
                return { outcome: "rejected", status: 400, reason: "request cannot be sent" };
            case "broken":
                targets.recordFailure(target, this.request.route.name);
                this.logDecision("attempt broken", target, { reason: outcome.reason, parts: this.loggedParts });
                if (outcome.reason !== HEAD_TOO_LONG) await this.checkForCrash(target, false);
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

    /** Records that a target declined the request: it states that it has not run it. */
    handleDeclined(target: Target, wrongTarget: boolean): void {
        this.recordNotRun(target);
        this.declinedCount += 1;
        this.lastDeclinedAt = performance.now();
        this.context.targets.recordInconclusive(target);
        if (wrongTarget) this.context.targets.recordUnreachable(target);
        this.logDecision("attempt declined", target, { wrongTarget });
    }

    private recordNotRun(target: Target): void {
        this.count -= 1;
        this.mayHaveRun.delete(target);
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
        const { route } = this.request;
        if (!route.idempotent || this.areInputsReleased) return false;
        if (!this.mayRunAtMoreTargets() && this.left.size === 0) return false;
        return this.hasTimeLeft();
    }

    private mayRunAtMoreTargets(): boolean {
        return this.count < this.request.route.maximumAttempts;
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

    private placementInput(inputs: readonly StageResult[]): PlacementInput {
        const inputBytesByZone = new Map<string, number>();
        for (const { handle, bytes } of inputs) {
            const zone = this.context.holderOf(handle)?.registration.zone ?? "";
            inputBytesByZone.set(zone, (inputBytesByZone.get(zone) ?? 0) + bytes);
        }
        const { promptTokens, promptParts } = this.request.metadata;
        return { promptTokens, promptParts, inputBytesByZone };
    }
}
