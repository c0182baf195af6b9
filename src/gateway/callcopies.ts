/**
 * Second copies of one slow call: gathers what the decision of `hedging/copydecision` depends on, and takes the copy's part
 * of the limits.
 *
 * Only this class permits copies, and it exists only for calls that may be repeated, so a call of another route cannot be
 * copied, whatever the decision.
 */
import { copyDelayMs, type CopyGrant, decideCopy, longestCopyMs, type TargetWork } from "../hedging/index.js";
import type { StageResult } from "../stages/index.js";
import type { Attempts } from "./attempts.js";
import type { CallAttempt } from "./callattempt.js";
import type { GatewayContext, Hedging } from "./gateway.js";
import type { RoutedRequest } from "./routedrequest.js";
import { expectedLoad, type Target } from "./target.js";

/**
 * Time in milliseconds for which a reported load counts in full. The usual estimate halves it each 300 ms, which would make
 * targets look free that are too slow to report.
 */
const FULL_LOAD_MS = 1_000;

/** A copy that may be sent. */
export interface CopyPermit {
    readonly target: Target;
    /** Longest time in milliseconds for which it may be in progress beside the first attempt. */
    readonly longestMs: number;
    readonly grant: CopyGrant;
}

/** The copies of one call. */
export class CallCopies {
    private constructor(
        private readonly context: GatewayContext,
        private readonly hedging: Hedging,
        private readonly request: RoutedRequest,
        private readonly attempts: Attempts,
    ) {}

    /** Undefined if the call may not be copied: copies are turned off, or its route is no plain call that may be repeated. */
    static of(context: GatewayContext, request: RoutedRequest, attempts: Attempts): CallCopies | undefined {
        const { hedging } = context;
        const { idempotent, streaming } = request.route;
        if (hedging === undefined || !idempotent || streaming) return undefined;
        return new CallCopies(context, hedging, request, attempts);
    }

    /** Milliseconds until a copy of an attempt that was sent is due; undefined if too little is known of its route. */
    dueInMs(first: CallAttempt): number | undefined {
        const { latencyObjectiveMs } = this.request.route;
        const delayMs = copyDelayMs({ slowMs: this.slowMs(), latencyObjectiveMs });
        return delayMs === undefined ? undefined : delayMs - elapsedMs(first);
    }

    /** Takes the permit for a copy of an attempt that is slow; undefined if none may be sent. */
    take(first: CallAttempt, inputs: readonly StageResult[]): CopyPermit | undefined {
        const { context, request, attempts, hedging } = this;
        const { targets, suspects, shutdown, limitQueue } = context;
        const { service, deadline, route, signal } = request;
        if (signal.aborted) return undefined;
        const slowMs = this.slowMs();
        const longestMs = longestCopyMs(slowMs ?? 0);
        const budget = hedging.budgetOf(service);
        const usable = targets.usable(service);
        let target: Target | undefined;
        const decision = decideCopy({
            elapsedMs: elapsedMs(first),
            slowMs,
            latencyObjectiveMs: route.latencyObjectiveMs,
            remainingMs: deadline.remainingMs(),
            hasAttemptLeft: attempts.mayBeCopied,
            isStopping: context.isStopping() || shutdown.hasBegun,
            isSuspected: suspects.admission(request.traits).kind !== "admitted",
            hasRetryLeft: attempts.isRetryLeft,
            hasCopyLeft: budget.available(longestMs),
            isLimitReached: (limitQueue.waitMs(service, limitQueue.unsentRequests(service)) ?? 0) > 0,
            pool: usable.map(workAt),
            other: () => {
                const warm = targets.withoutSilent(usable, false).filter(candidate => !targets.isCold(candidate));
                target = attempts.copyTarget(warm, inputs);
                return target === undefined ? undefined : workAt(target);
            },
        });
        if (decision.kind === "denied") {
            attempts.logDecision("copy denied", first.target, { reason: decision.obstacle });
        }
        if (decision.kind !== "send" || target === undefined) return undefined;
        attempts.takeRetryForCopy();
        return { target, longestMs, grant: budget.take(longestMs) };
    }

    /** The 95th percentile of the call's route or, while too little is known of it, as expected from its service. */
    private slowMs(): number | undefined {
        const { latencies, serviceLatencies } = this.hedging;
        const { service, route } = this.request;
        const slowness = serviceLatencies.slowMs(service);
        const expectedMs = slowness === undefined ? undefined : slowness * route.latencyObjectiveMs;
        return latencies.slowMs(route.name) ?? expectedMs;
    }
}

/** Records the time in milliseconds from sending an attempt of a plain call until it or its copy was answered. */
export function recordCallLatency(
    hedging: Hedging | undefined,
    { route, service }: RoutedRequest,
    milliseconds: number,
): void {
    hedging?.latencies.record(route.name, milliseconds);
    // A route with few calls at one gateway is judged by all calls to its targets, relative to their objectives.
    hedging?.serviceLatencies.record(service, milliseconds / route.latencyObjectiveMs);
}

/** Milliseconds since an attempt was sent; 0 if it was not. */
function elapsedMs({ sentAt }: CallAttempt): number {
    return sentAt === undefined ? 0 : performance.now() - sentAt;
}

/** Work at a target, with a recently reported load in full. */
function workAt(target: Target): TargetWork {
    const expected = expectedLoad(target);
    const isRecent = performance.now() - target.loadReportedAt < FULL_LOAD_MS;
    const { running, waiting } = (isRecent ? target.load : undefined) ?? expected;
    return {
        running: Math.max(expected.running, running),
        waiting: Math.max(expected.waiting, waiting),
        slots: target.registration.slots,
    };
}
