/**
 * An upper bound for weighted attainment, from capacity alone.
 *
 * Each service and each plan is a resource with a capacity over time. For any window, the requests that arrive in it
 * and are due in it must be served in it. If their target time at a resource is more than its capacity over the window,
 * the excess cannot be served, and at least the weight of the requests with the least weight per target time is lost.
 * The bound is the total weight minus the largest such loss over all resources and windows. It ignores stage order,
 * queueing, batches below the best size and what a request needs at other resources, so no system within the shares
 * exceeds it.
 *
 * A warm target serves `concurrency / 1.3` ms of target time in a millisecond, the highest throughput of the stand-in
 * engine. A plan's capacity is its share of the budget and one second's worth of it as a burst.
 */
import type { Arrival } from "./arrivals.js";
import { commonBudget, DEADLINE_MS, type Deployment, FULL_BATCH_FACTOR, kindCost } from "./deployment.js";

/** Remaining fraction of a service's warm capacity during an interval. */
export interface CapacityChange {
    readonly service: string;
    readonly from: number;
    readonly until: number;
    readonly factor: number;
}

/** Work that arrives at one resource. */
export interface Demand {
    readonly at: number;
    readonly due: number;
    /** Target time in milliseconds. */
    readonly work: number;
    readonly weight: number;
}

/** Windows start and end at multiples of this. */
const STEP_MS = 500;

/** The bound as a fraction of the weight of all arrivals. */
export function attainmentBound(
    deployment: Deployment,
    arrivals: readonly Arrival[],
    changes: readonly CapacityChange[],
): number {
    const total = arrivals.reduce((sum, arrival) => sum + (deployment.kinds[arrival.kind]?.weight ?? 0), 0);
    const losses = [
        ...deployment.pools.map(pool => {
            const rate = (pool.replicas * pool.engine.concurrency) / FULL_BATCH_FACTOR;
            const own = changes.filter(change => change.service === pool.name);
            const demands = demandsOf(deployment, arrivals, stage => stage === pool.name);
            return maximumLoss(demands, (from, until) => rate * effectiveTime(own, from, until));
        }),
        ...deployment.accounts.map(account => {
            const rate = (account.share * commonBudget(deployment)) / 1_000;
            const own = arrivals.filter(arrival => arrival.account === account.name);
            const demands = demandsOf(deployment, own, () => true);
            return maximumLoss(demands, (from, until) => rate * (until - from + 1_000));
        }),
    ];
    return total === 0 ? 1 : 1 - Math.max(0, ...losses) / total;
}

function demandsOf(
    deployment: Deployment,
    arrivals: readonly Arrival[],
    counts: (service: string) => boolean,
): readonly Demand[] {
    return arrivals.flatMap(({ at, kind: index }) => {
        const kind = deployment.kinds[index];
        if (kind === undefined) return [];
        const work = kindCost({ ...kind, stages: kind.stages.filter(stage => counts(stage.service)) });
        return work === 0 ? [] : [{ at, due: at + DEADLINE_MS, work, weight: kind.weight }];
    });
}

/** The largest weight lost in any window. `capacity` returns the target time available in a window. */
export function maximumLoss(demands: readonly Demand[], capacity: (from: number, until: number) => number): number {
    const first = Math.min(...demands.map(demand => demand.at));
    const last = Math.max(...demands.map(demand => demand.due));
    let worst = 0;
    for (let from = Math.floor(first / STEP_MS) * STEP_MS; from < last; from += STEP_MS) {
        for (let until = from + DEADLINE_MS; until <= last + STEP_MS; until += STEP_MS) {
            const inside = demands.filter(demand => demand.at >= from && demand.due <= until);
            worst = Math.max(worst, lostWeight(inside, capacity(from, until)));
        }
    }
    return worst;
}

/** Weight lost to the excess work, dropping requests with the least weight per work first; fractions count. */
export function lostWeight(demands: readonly Demand[], capacity: number): number {
    let excess = demands.reduce((sum, demand) => sum + demand.work, 0) - capacity;
    if (excess <= 0) return 0;
    let loss = 0;
    for (const { work, weight } of [...demands].sort((a, b) => a.weight / a.work - b.weight / b.work)) {
        const dropped = Math.min(work, excess);
        loss += (weight * dropped) / work;
        excess -= dropped;
        if (excess <= 0) break;
    }
    return loss;
}

/** Length of a window, weighted by the remaining capacity. */
function effectiveTime(changes: readonly CapacityChange[], from: number, until: number): number {
    return changes.reduce((sum, change) => {
        const overlap = Math.min(until, change.until) - Math.max(from, change.from);
        return sum - Math.max(0, overlap) * (1 - change.factor);
    }, until - from);
}
