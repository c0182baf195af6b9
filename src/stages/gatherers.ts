/**
 * The gatherers of a stage service, and the targets that each of them owns.
 *
 * Answers the load of many small gateways before one service: a gatherer that takes the orders of a whole fleet is short of
 * processor time long before its targets are busy, and every request then waits for it. A service therefore has as many
 * gatherers as its targets need. Each target belongs to one of them, so that gatherers do not send calls that wait for each
 * other, and each queue forecasts from targets of its own. Few targets have one gatherer, since larger queues fill calls
 * better.
 *
 * All gateways derive the same owners from the same registrations. A change of a gatherer or a target moves few others.
 */
import { orderCoordinators } from "../gateway/coordinator.js";
import type { GatewayPeer } from "../gateway/peers.js";
import { rendezvousWeight } from "../routing/index.js";

/** Number of targets that a gatherer with a whole core can serve at their full rate. */
const TARGETS_PER_CORE = 16;

/** The gatherers of one service. */
export interface Gatherers {
    /** In the order in which they are chosen; empty without candidates. */
    readonly gateways: readonly GatewayPeer[];
    /** The owner of each target, by name. */
    readonly owners: ReadonlyMap<string, GatewayPeer>;
}

/** Chooses the gatherers among `candidates` and assigns the targets to them, by name. */
export function assignTargets(
    service: string,
    targets: readonly string[],
    candidates: readonly GatewayPeer[],
): Gatherers {
    const ordered = orderCoordinators(service, candidates);
    const slowest = Math.min(...ordered.map(({ capacity }) => capacity.processors));
    const perGatherer = Math.max(1, Math.floor(TARGETS_PER_CORE * slowest));
    const gateways = ordered.slice(0, Math.max(1, Math.ceil(targets.length / perGatherer)));
    return { gateways, owners: ownersOf(targets, gateways) };
}

/** Gives each target to the gatherer with its highest weight that has not got its part yet. */
function ownersOf(targets: readonly string[], gateways: readonly GatewayPeer[]): ReadonlyMap<string, GatewayPeer> {
    const owners = new Map<string, GatewayPeer>();
    const largestPart = Math.ceil(targets.length / gateways.length);
    const parts = new Map<GatewayPeer, number>();
    for (const target of [...targets].sort()) {
        const weighted = gateways
            .filter(gateway => (parts.get(gateway) ?? 0) < largestPart)
            .map(gateway => ({ gateway, weight: rendezvousWeight(target, gateway.name) }));
        const best = weighted.reduce<(typeof weighted)[number] | undefined>(
            (highest, one) => (highest === undefined || one.weight > highest.weight ? one : highest),
            undefined,
        );
        if (best === undefined) continue;
        owners.set(target, best.gateway);
        parts.set(best.gateway, (parts.get(best.gateway) ?? 0) + 1);
    }
    return owners;
}

/**
 * Chooses the gatherer of an order: of two drawn by the number of usable targets that they own, the one with the shorter
 * wait. `random` returns numbers from 0 to 1.
 */
export function chooseGatherer(
    { gateways, owners }: Gatherers,
    usable: readonly string[],
    waitMs: (gatherer: GatewayPeer) => number,
    random: () => number = Math.random,
): GatewayPeer | undefined {
    if (gateways.length <= 1) return gateways[0];
    const drawable = usable.length > 0 ? usable : [...owners.keys()];
    const draw = (): GatewayPeer | undefined =>
        owners.get(drawable[Math.floor(random() * drawable.length)] ?? "") ?? gateways[0];
    const [first, second] = [draw(), draw()];
    if (first === undefined || second === undefined) return first ?? second;
    return waitMs(second) < waitMs(first) ? second : first;
}
