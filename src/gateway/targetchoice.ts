/**
 * Chooses among the usable targets of one request, from what is known of its attempts: which targets were tried, which ones
 * may have run it, and which ones were left before they had begun to answer.
 */
import { chooseCallTarget, chooseEngineTarget, type EngineCost, type PlacementInput } from "../placement/index.js";
import type { StageResult } from "../stages/index.js";
import type { GatewayContext } from "./gateway.js";
import type { RequestRetries } from "./requestretries.js";
import type { RoutedRequest } from "./routedrequest.js";
import { moveMs } from "./streamtimeouts.js";
import type { Target } from "./target.js";

/** Time in milliseconds after a refusal before a target that has declined the request is asked again. */
const DECLINE_PAUSE_MS = 300;

/** Another target than a silent one, or what is in the way of one. */
export type OtherTarget =
    { readonly kind: "found"; readonly target: Target } | { readonly kind: "none"; readonly obstacle: string };

/** The choice of targets for one request. */
export class TargetChoice {
    private readonly tried = new Set<Target>();
    private readonly mayHaveRun = new Set<Target>();
    /** Targets that were left before they had begun to answer, and that may get the request again. */
    private readonly left = new Set<Target>();
    /** The costs at which targets were chosen, as far as they report their pace. */
    private readonly expectedCosts = new Map<Target, EngineCost>();
    private possibleRuns = 0;
    private lastDeclinedAt = Number.NEGATIVE_INFINITY;

    private constructor(
        private readonly context: GatewayContext,
        private readonly request: RoutedRequest,
        private readonly retries: Pick<RequestRetries, "available">,
    ) {}

    static create(
        context: GatewayContext,
        request: RoutedRequest,
        retries: Pick<RequestRetries, "available">,
    ): TargetChoice {
        return new TargetChoice(context, request, retries);
    }

    /** Names of the targets to which the request was sent. */
    get triedNames(): readonly string[] {
        return [...new Set([...this.tried].map(({ name }) => name))];
    }

    /** Number of attempts that a target may have run. */
    get runs(): number {
        return this.possibleRuns;
    }

    /** Whether a target that may not have run the request yet may get it, or one that was left. */
    get isAttemptLeft(): boolean {
        return this.mayRunAtMoreTargets() || this.left.size > 0;
    }

    /** Records an attempt that is about to be sent. */
    recordSent(target: Target): void {
        this.possibleRuns += 1;
        this.tried.add(target);
        this.mayHaveRun.add(target);
        this.left.delete(target);
    }

    /** Records that the latest attempt at a target was not run. */
    recordNotRun(target: Target): void {
        this.possibleRuns -= 1;
        this.mayHaveRun.delete(target);
    }

    /** Records that a target declined the request: it states that it has not run it. */
    recordDeclined(target: Target): void {
        this.recordNotRun(target);
        this.lastDeclinedAt = performance.now();
    }

    /** Records that an attempt was left for another one, before its target had begun to answer. */
    recordLeft(target: Target): void {
        this.left.add(target);
    }

    /** The best of the usable targets, preferably an untried one. */
    best(usable: readonly Target[], inputs: readonly StageResult[]): Target | undefined {
        return this.preferHeard(usable, targets => this.bestAllowed(this.candidates(targets), inputs));
    }

    /** The best target to which the request may be sent while it is still in progress at a silent one. */
    other(silent: Target, inputs: readonly StageResult[]): OtherTarget {
        const { request, context } = this;
        const others = context.targets.usable(request.service).filter(target => target !== silent);
        const untried = others.filter(target => !this.tried.has(target));
        const mayRunElsewhere = this.mayHaveRun.size < request.route.maximumAttempts;
        const mayAskAgain = mayRunElsewhere && performance.now() - this.lastDeclinedAt >= DECLINE_PAUSE_MS;
        const again = others.filter(target => this.left.has(target) || (mayAskAgain && !this.mayHaveRun.has(target)));
        const candidates = mayRunElsewhere && untried.length > 0 ? untried : again;
        const target = this.preferHeard(candidates, targets => this.bestAllowed(targets, inputs));
        if (target !== undefined) return { kind: "found", target };
        return { kind: "none", obstacle: mayRunElsewhere ? "no other target" : "no attempt is left" };
    }

    /** The best of the targets that have not got the request, if more targets may run it. */
    untriedOf(targets: readonly Target[], inputs: readonly StageResult[]): Target | undefined {
        if (!this.mayRunAtMoreTargets()) return undefined;
        return this.bestAllowed(
            targets.filter(target => !this.tried.has(target)),
            inputs,
        );
    }

    /** Zone of the target that will probably get the request. */
    preferredZone(): string {
        const { request, context } = this;
        const usable = context.targets.usable(request.service);
        const likely = this.preferHeard(usable, targets => this.cheapest(targets, []));
        return likely?.registration.zone ?? context.zone;
    }

    /** Number of prompt tokens that the target has to process because they are not in its prefix cache. */
    uncachedTokens(target: Target): number {
        const { promptParts, promptTokens } = this.request.metadata;
        return Math.max(
            0,
            promptTokens - this.context.prefixCaches.cachedTokens(target.name, promptParts.slice(0, -1)),
        );
    }

    /** The cost at which an engine was chosen; undefined while its service does not report paces. */
    expectedCost(target: Target): EngineCost | undefined {
        return this.expectedCosts.get(target);
    }

    /**
     * What is chosen of the targets that are not silent, or else of all. A silent target is better than none, also if
     * those that are not silent may not get the request or are not allowed by a roll-out.
     */
    private preferHeard(
        targets: readonly Target[],
        choose: (targets: readonly Target[]) => Target | undefined,
    ): Target | undefined {
        return choose(this.context.targets.withoutSilent(targets, this.mayProbe())) ?? choose(targets);
    }

    /** Whether the request may find out whether a target that was silent has gone on. */
    private mayProbe(): boolean {
        // One that others have declined would be refused otherwise.
        return this.canMove() || Number.isFinite(this.lastDeclinedAt);
    }

    /** Whether the request can go on at yet another target if the one that is to be chosen is silent. */
    private canMove(): boolean {
        const { route, deadline } = this.request;
        const isAttemptLeft = this.mayHaveRun.size + 1 < route.maximumAttempts;
        const hasTime = deadline.remainingMs() >= moveMs(route);
        return route.streaming && route.idempotent && isAttemptLeft && hasTime && this.retries.available();
    }

    /** The usable targets to which the request may be sent: untried ones, if more targets may run it and there are any. */
    private candidates(usable: readonly Target[]): readonly Target[] {
        if (!this.mayRunAtMoreTargets()) return usable.filter(target => this.left.has(target));
        const untried = usable.filter(target => !this.tried.has(target));
        return untried.length > 0 ? untried : usable;
    }

    private mayRunAtMoreTargets(): boolean {
        return this.possibleRuns < this.request.route.maximumAttempts;
    }

    /** The best of the given targets, of those that roll-outs allow. */
    private bestAllowed(targets: readonly Target[], inputs: readonly StageResult[]): Target | undefined {
        const { request, context } = this;
        const eligible = (service: string): readonly Target[] => context.targets.eligible(service);
        const allowed = context.rollouts.allowed(request.service, targets, eligible);
        return request.route.streaming
            ? this.cheapest(allowed, inputs)
            : chooseCallTarget(allowed, context.zone, Math.random);
    }

    private cheapest(targets: readonly Target[], inputs: readonly StageResult[]): Target | undefined {
        const { prefixCaches, speeds } = this.context;
        const { service, route, receivedAt } = this.request;
        const { eventGapLimitMs, latencyObjectiveMs } = route;
        const now = performance.now();
        const request = { ...this.placementInput(inputs), eventGapLimitMs };
        const knowledge = { prefixCaches, speeds: speeds.of(service), now };
        const remainingMs = receivedAt + latencyObjectiveMs - now;
        const chosen = chooseEngineTarget(targets, request, knowledge, remainingMs, Math.random);
        if (chosen?.cost === undefined) this.expectedCosts.clear();
        else this.expectedCosts.set(chosen.target, chosen.cost);
        return chosen?.target;
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
