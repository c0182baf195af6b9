/**
 * The attempts of one request: which target is next, what it is sent, what a missing answer says about it, and whether
 * the request may be sent again.
 */
import { pause } from "../model/pause.js";
import type { StageResult } from "../stages/index.js";
import { type AttemptOutcome, sendAttempt } from "./attempt.js";
import type { GatewayContext } from "./gateway.js";
import type { ExchangeResult, RoutedRequest } from "./routedrequest.js";
import { leastLoadedTarget, cheapestEngine, type PlacementInput } from "./placement.js";
import type { Target } from "./target.js";

/** Part of the remaining time for which a request waits for a target that may be used. */
const TARGET_WAIT_SHARE = 0.25;
const TARGET_RECHECK_MS = 20;

/** Shortest remaining time in milliseconds in which an attempt can succeed. */
const SHORTEST_ATTEMPT_MS = 10;

/** Targets that may decline a request before it is given up. */
const MAXIMUM_DECLINED = 2;

/** What an attempt is sent with. */
export interface AttemptOptions {
    readonly inputs: readonly StageResult[];
    /** Id of the event after which a broken stream goes on. */
    readonly lastEventId?: string | undefined;
    /** Longest wait in milliseconds for the answer's head; undefined for the whole deadline. */
    readonly headTimeoutMs?: number | undefined;
}

/** The attempts of one request. */
export class Attempts {
    /** Attempts that a target has begun, as far as is known. */
    count = 0;
    private readonly tried = new Set<string>();
    private declinedCount = 0;

    private constructor(
        private readonly context: GatewayContext,
        private readonly order: RoutedRequest,
    ) {}

    static create(context: GatewayContext, order: RoutedRequest): Attempts {
        return new Attempts(context, order);
    }

    /** Names of the targets to which the request was sent. */
    get triedTargets(): readonly string[] {
        return [...this.tried];
    }

    /** A target that may be used, preferably one that was not tried; waits a little when there is none. */
    async chooseTarget(inputs: readonly StageResult[]): Promise<Target | undefined> {
        const { order, context } = this;
        const waitUntil = performance.now() + order.deadline.remainingMs() * TARGET_WAIT_SHARE;
        for (;;) {
            if (order.signal.aborted || order.deadline.remainingMs() < SHORTEST_ATTEMPT_MS) return undefined;
            const usable = context.targets.usable(order.service);
            const untried = usable.filter(target => !this.tried.has(target.name));
            const candidates = untried.length > 0 ? untried : usable;
            const chosen = order.route.streaming
                ? cheapestEngine(candidates, this.placementOf(inputs), context.prefixCaches)
                : leastLoadedTarget(candidates, context.zone, Math.random);
            if (chosen !== undefined) return chosen;
            if (performance.now() >= waitUntil) return undefined;
            await pause(TARGET_RECHECK_MS);
        }
    }

    /** Zone of the target that the request will probably be sent to. */
    preferredZone(): string {
        const { order, context } = this;
        const usable = context.targets.usable(order.service);
        return cheapestEngine(usable, this.placementOf([]), context.prefixCaches)?.registration.zone ?? context.zone;
    }

    /** Sends the request to a target. */
    send(target: Target, { inputs, lastEventId, headTimeoutMs }: AttemptOptions): Promise<AttemptOutcome> {
        const { context, order } = this;
        const { route, metadata: facts, body } = order;
        const headers = context.dialect.attemptHeaders(order.rawHeaders, {
            remainingMs: order.deadline.remainingMs(),
            targetId: target.registration.id,
            accountName: order.accountName,
            priority: route.streaming ? Math.min(9, order.priority) : undefined,
            inputs: inputs.map(({ handle }) => handle),
            lastEventId,
        });
        if (body !== undefined) headers.push("content-length", String(body.length));
        this.count += 1;
        this.tried.add(target.name);
        context.targets.recordSent(target, route.streaming ? this.uncachedTokens(target) : 0);
        if (route.streaming) context.prefixCaches.recordSent(target.name, facts.promptParts);
        const request = { address: target.registration.address, method: order.method, path: order.path, headers, body };
        return sendAttempt(request, { deadline: order.deadline, signal: order.signal, headTimeoutMs });
    }

    /** Tokens of the prompt that a target has still to read. */
    uncachedTokens(target: Target): number {
        const { promptParts, promptTokens } = this.order.metadata;
        return Math.max(
            0,
            promptTokens - this.context.prefixCaches.cachedTokens(target.name, promptParts.slice(0, -1)),
        );
    }

    /** Notes an attempt without an answer and tells what follows; `again` when nothing was sent. */
    handleUnanswered(target: Target, sent: Exclude<AttemptOutcome, { kind: "answered" }>): ExchangeResult | "again" {
        const { targets } = this.context;
        targets.recordEnded(target);
        switch (sent.kind) {
            case "unreachable":
                this.count -= 1;
                targets.recordUnreachable(target);
                this.note("target unreachable", target, { reason: sent.reason });
                return "again";
            case "broken":
                targets.recordFailure(target);
                this.note("attempt broken", target, { reason: sent.reason });
                return { outcome: "failed", status: 502, reason: sent.reason };
            case "expired":
                targets.recordInconclusive(target);
                return sent.sent
                    ? { outcome: "expired", status: 504, reason: "no answer before the deadline" }
                    : { outcome: "expired", status: 503, reason: "deadline passed before sending" };
            case "cancelled":
                targets.recordInconclusive(target);
                return { outcome: "cancelled", status: 0, reason: "caller left" };
        }
    }

    /** Notes that a target stated that it has not run the request. */
    handleDeclined(target: Target, wrongTarget: boolean): void {
        this.count -= 1;
        this.declinedCount += 1;
        this.context.targets.recordInconclusive(target);
        if (wrongTarget) this.context.targets.recordUnreachable(target);
        this.note("attempt declined", target, { wrongTarget });
    }

    /** Whether a request that no target has run may be sent to another one, within the budget for repeats. */
    mayTryAnotherTarget(): boolean {
        return this.declinedCount <= MAXIMUM_DECLINED && this.takeRepeat();
    }

    /** Whether a request that a target may have run may be sent again. */
    mayRetry(): boolean {
        const { route, signal, deadline } = this.order;
        if (!route.idempotent || this.count >= route.maximumAttempts) return false;
        if (signal.aborted || deadline.remainingMs() < SHORTEST_ATTEMPT_MS) return false;
        return this.takeRepeat();
    }

    private takeRepeat(): boolean {
        const { service, metadata: facts } = this.order;
        const budget = this.context.retryBudgetOf(service);
        if (!budget.available()) {
            this.context.onDecision("repeat denied", { id: facts.requestId, service });
            return false;
        }
        budget.take();
        return true;
    }

    private note(decision: string, target: Target, fields: Readonly<Record<string, unknown>>): void {
        this.context.onDecision(decision, { id: this.order.metadata.requestId, target: target.name, ...fields });
    }

    private placementOf(inputs: readonly StageResult[]): PlacementInput {
        const inputBytesByZone = new Map<string, number>();
        for (const { handle, bytes } of inputs) {
            const zone = this.context.holderOf(handle)?.registration.zone ?? "";
            inputBytesByZone.set(zone, (inputBytesByZone.get(zone) ?? 0) + bytes);
        }
        const { promptTokens, promptParts } = this.order.metadata;
        return { promptTokens, promptParts, inputBytesByZone };
    }
}
