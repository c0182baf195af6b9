/**
 * Choice of the gateway that does a task for all: gathering the pieces of a stage service, or judging a roll-out.
 *
 * The load of such a task does not depend on how many callers a gateway has itself. The coordinator is therefore chosen
 * among the gateways with the most capacity; which of these it is depends on a hash of the task, so that all gateways
 * choose the same one and different tasks have different coordinators.
 */
import { rendezvousWeight } from "../routing/index.js";
import type { GatewayPeer } from "./peers.js";

/** Smallest capacity of a coordinator, relative to the gateway with the most. */
const MINIMUM_CAPACITY_SHARE = 0.5;

/** The gateway among `candidates` that does a task; undefined if there are none. */
export function chooseCoordinator(task: string, candidates: readonly GatewayPeer[]): GatewayPeer | undefined {
    return orderCoordinators(task, candidates)[0];
}

/** The gateways among `candidates` that have the capacity for a task, in the order in which they are chosen for it. */
export function orderCoordinators(task: string, candidates: readonly GatewayPeer[]): readonly GatewayPeer[] {
    const mostProcessors = Math.max(0, ...candidates.map(({ capacity }) => capacity.processors));
    const mostMegabits = Math.max(0, ...candidates.map(({ capacity }) => capacity.linkMegabits));
    const shareOf = ({ capacity }: GatewayPeer): number =>
        Math.min(capacity.processors / mostProcessors, capacity.linkMegabits / mostMegabits);
    const largestShare = Math.max(0, ...candidates.map(shareOf));
    return candidates
        .filter(candidate => shareOf(candidate) >= largestShare * MINIMUM_CAPACITY_SHARE)
        .map(candidate => ({ candidate, weight: rendezvousWeight(task, candidate.name) }))
        .sort((left, right) => right.weight - left.weight)
        .map(({ candidate }) => candidate);
}
