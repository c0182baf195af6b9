/**
 * Choice of the gateway that gathers the pieces of a stage service.
 *
 * A gatherer handles the pieces of all gateways, so its load does not depend on how many callers it has itself. It is
 * chosen among the gateways with the most capacity; which of these it is depends on a hash of the service, so that all
 * gateways choose the same one and different services have different gatherers.
 */
import type { GatewayPeer } from "../gateway/peers.js";
import { rendezvousWeight } from "../routing/index.js";

/** Smallest capacity of a gatherer, relative to the gateway with the most. */
const MINIMUM_CAPACITY_SHARE = 0.5;

/** The gateway among `candidates` that gathers a service; undefined if there are none. */
export function chooseGatherer(service: string, candidates: readonly GatewayPeer[]): GatewayPeer | undefined {
    const mostProcessors = Math.max(0, ...candidates.map(({ capacity }) => capacity.processors));
    const mostMegabits = Math.max(0, ...candidates.map(({ capacity }) => capacity.linkMegabits));
    const shareOf = ({ capacity }: GatewayPeer): number =>
        Math.min(capacity.processors / mostProcessors, capacity.linkMegabits / mostMegabits);
    const largestShare = Math.max(0, ...candidates.map(shareOf));
    let best: GatewayPeer | undefined;
    let bestWeight = -1;
    for (const candidate of candidates) {
        if (shareOf(candidate) < largestShare * MINIMUM_CAPACITY_SHARE) continue;
        const weight = rendezvousWeight(service, candidate.name);
        if (weight > bestWeight) [best, bestWeight] = [candidate, weight];
    }
    return best;
}
