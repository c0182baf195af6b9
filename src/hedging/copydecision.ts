/**
 * Decides whether a slow call is sent to a second target as well.
 *
 * Load pattern: targets of uneven, changing speed, with enough free capacity in their pool. Under an overload all calls are
 * slow, and copies would add to the overload; so none is sent unless the pool has free slots and nothing waits at the
 * chosen target.
 */

/**
 * Fraction of the latency objective before which no copy is sent. A call that is quicker is no problem for its caller,
 * whatever the others of its route take.
 */
const OBJECTIVE_RATIO = 0.1;

/**
 * Fraction of a pool's slots that may be busy when a copy is sent. Above it, a call often meets a target without a free
 * slot, and waits.
 */
const BUSY_RATIO = 0.7;

/** Longest time of a copy beside the first attempt, relative to the 95th percentile of its route. */
const LONGEST_RATIO = 2;

/** Work at a target: running and waiting requests. */
export interface TargetWork {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
}

/** What is known of a call whose answer has not come. */
export interface SlowCall {
    /** Milliseconds since its first attempt was sent. */
    readonly elapsedMs: number;
    /** The 95th percentile of its route in milliseconds; undefined if it is not known. */
    readonly slowMs: number | undefined;
    readonly latencyObjectiveMs: number;
    /** Milliseconds until its caller stops waiting. */
    readonly remainingMs: number;
    /** Whether its route lets a further target run it, and its stage results are still there. */
    readonly hasAttemptLeft: boolean;
    readonly isStopping: boolean;
    readonly isSuspected: boolean;
    readonly hasRetryLeft: boolean;
    readonly hasCopyLeft: boolean;
    /** Whether other requests of the service wait for the limits that its targets name. */
    readonly isLimitReached: boolean;
    /** Work at all usable targets of the service. */
    readonly pool: readonly TargetWork[];
    /** Work at the target that would get the copy; undefined if there is none. Asked only if nothing else is in the way. */
    readonly other: () => TargetWork | undefined;
}

/** Why no copy is sent although the call is slow. */
export type CopyObstacle =
    | "no attempt is left"
    | "stopping"
    | "request may crash targets"
    | "no time is left"
    | "no copy is left"
    | "no retry is left"
    | "no other target"
    | "targets are busy";

/** What to do about a call. */
export type CopyDecision =
    | { readonly kind: "notDue" }
    | { readonly kind: "denied"; readonly obstacle: CopyObstacle }
    | { readonly kind: "send" };

/** Milliseconds after sending a call when a copy is due; undefined if too little is known of its route. */
export function copyDelayMs({
    slowMs,
    latencyObjectiveMs,
}: Pick<SlowCall, "slowMs" | "latencyObjectiveMs">): number | undefined {
    return slowMs === undefined ? undefined : Math.max(slowMs, OBJECTIVE_RATIO * latencyObjectiveMs);
}

/** Longest time in milliseconds for which a copy may be in progress beside the first attempt. */
export function longestCopyMs(slowMs: number): number {
    return LONGEST_RATIO * slowMs;
}

/** Decides whether a copy is sent now. */
export function decideCopy(call: SlowCall): CopyDecision {
    const delayMs = copyDelayMs(call);
    if (delayMs === undefined || call.elapsedMs < delayMs) return { kind: "notDue" };
    const obstacle = obstacleTo(call, call.slowMs ?? 0);
    return obstacle === undefined ? { kind: "send" } : { kind: "denied", obstacle };
}

function obstacleTo(call: SlowCall, slowMs: number): CopyObstacle | undefined {
    if (!call.hasAttemptLeft) return "no attempt is left";
    if (call.isStopping) return "stopping";
    if (call.isSuspected) return "request may crash targets";
    // Nearly all answers of other targets would still be in time.
    if (call.remainingMs < slowMs) return "no time is left";
    if (!call.hasCopyLeft) return "no copy is left";
    if (!call.hasRetryLeft) return "no retry is left";
    if (call.isLimitReached || isBusy(call.pool)) return "targets are busy";
    const other = call.other();
    if (other === undefined) return "no other target";
    return other.waiting === 0 && other.running < Math.max(1, other.slots) ? undefined : "targets are busy";
}

function isBusy(pool: readonly TargetWork[]): boolean {
    const work = pool.reduce((sum, { running, waiting }) => sum + running + waiting, 0);
    const slots = pool.reduce((sum, target) => sum + Math.max(1, target.slots), 0);
    return slots > 0 && work >= BUSY_RATIO * slots;
}
