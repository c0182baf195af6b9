/**
 * Why a request is not sent, and when it may come back. It is held back if a planned stop leaves it no time, if it may
 * crash targets, or if all its targets pause or have reached their limits for longer than it can wait.
 */
import type { GatewayContext } from "./gateway.js";
import type { RoutedRequest } from "./routedrequest.js";
import { type Admission, MAXIMUM_LOGGED_TRAITS } from "./suspects.js";
import { pauseReturnMs } from "./targetpause.js";

/** Fraction of the remaining time for which a request waits for a usable target. */
const TARGET_WAIT_SHARE = 0.25;

/** Shortest `Retry-After` in milliseconds for a request without a usable target. */
export const NO_TARGET_RETRY_MS = 500;

/** Reason of a request that a planned stop leaves no time for. */
export const STOPPING = "stopping";

/** Reason of a request that is suspected of crashing targets. */
export const SUSPECTED = "request may crash targets";

/** Why a request is not sent, and when it may come back. */
export interface HoldBack {
    readonly reason: string;
    readonly retryAfterMs: number;
}

/** Finds out whether one request has to be held back. */
export class HoldBacks {
    private constructor(
        private readonly context: GatewayContext,
        private readonly request: RoutedRequest,
    ) {}

    static create(context: GatewayContext, request: RoutedRequest): HoldBacks {
        return new HoldBacks(context, request);
    }

    /** Time in milliseconds that the request can wait for a usable target if it is to be sent after `preparationMs`. */
    longestWaitMs(preparationMs = 0): number {
        return preparationMs + (this.request.deadline.remainingMs() - preparationMs) * TARGET_WAIT_SHARE;
    }

    /** What holds the request back before its stages run, as far as it is known by then. */
    beforeStages(preparationMs: number): HoldBack | undefined {
        const { context, request } = this;
        const usualMs = context.requestTimes.usualMs(request.route.name);
        const stop = this.byStopWithin(usualMs - (performance.now() - request.receivedAt));
        if (stop !== undefined) return stop;
        const admission = context.suspects.admission(request.traits);
        if (admission.kind === "refused") return this.bySuspicion(admission, admission.retryAfterMs);
        const ahead = context.limitQueue.unsentRequests(request.service) - 1;
        return this.byTargets(this.longestWaitMs(preparationMs), ahead);
    }

    /** What holds the request back while none of its targets is usable and it can wait for `longestWaitMs`. */
    withoutUsableTarget(longestWaitMs: number): HoldBack | undefined {
        return this.byTargets(longestWaitMs, 0);
    }

    /** Holds back an attempt that has probably no time to end before a planned stop. */
    byStop(): HoldBack | undefined {
        return this.byStopWithin(this.context.attemptTimes.usualMs(this.request.route.name));
    }

    /** Holds the request back as it may crash targets. */
    bySuspicion(admission: Admission, retryAfterMs: number): HoldBack {
        this.context.onDecision("request held back", {
            id: this.request.metadata.requestId,
            ...admission,
            ...(admission.kind === "trial" ? { traits: admission.traits.slice(0, MAXIMUM_LOGGED_TRAITS) } : {}),
            retryAfterMs: Math.round(retryAfterMs),
        });
        return { reason: SUSPECTED, retryAfterMs };
    }

    /** Holds back what has probably no time to end before a planned stop. */
    private byStopWithin(usualMs: number): HoldBack | undefined {
        const { shutdown, stopReturnMs } = this.context;
        if (shutdown.hasTimeFor(usualMs, this.request.ownDeadline)) return undefined;
        return { reason: STOPPING, retryAfterMs: stopReturnMs() };
    }

    /** Holds the request back if no target takes it in time, behind `ahead` others where targets name limits. */
    private byTargets(longestWaitMs: number, ahead: number): HoldBack | undefined {
        const { context, request } = this;
        const pauseMs = context.targets.pauseMs(request.service);
        if (pauseMs !== undefined && pauseMs > longestWaitMs) return this.byPause(pauseMs);
        const waitMs = context.limitQueue.waitMs(request.service, ahead);
        return waitMs !== undefined && waitMs > longestWaitMs ? this.byLimit(waitMs) : undefined;
    }

    private byPause(pauseMs: number): HoldBack {
        const { request, context } = this;
        const retryAfterMs = pauseReturnMs(pauseMs);
        context.onDecision("targets paused", {
            id: request.metadata.requestId,
            service: request.service,
            pauseMs: Math.round(pauseMs),
            retryAfterMs,
        });
        return { reason: "targets pause", retryAfterMs };
    }

    private byLimit(waitMs: number): HoldBack {
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
}
