/**
 * Choice of the gateways that follow the store for the others.
 *
 * Answers the load of a large fleet on the store: if each gateway watches each prefix, a change costs as many calls as there
 * are gateways, and the store allows all of them together a rate that does not grow with the fleet. A few gateways, at
 * least one in each zone, therefore watch, and the others follow one of them, mostly within their zone. In a small fleet all
 * gateways watch.
 */
import { orderCoordinators } from "../gateway/coordinator.js";
import type { GatewayPeer } from "../gateway/peers.js";
import { rendezvousWeight } from "../routing/index.js";

/** Smallest number of relays, so that the loss of several leaves others. */
const MINIMUM_RELAYS = 6;

/** The gateways that watch the store themselves: the first of each zone, and then the next ones in turn. */
export function relaysAmong(gateways: readonly GatewayPeer[]): readonly GatewayPeer[] {
    const zones = [...new Set(gateways.map(({ zone }) => zone))].sort();
    const ordered = zones.map(zone => {
        const inZone = gateways.filter(gateway => gateway.zone === zone);
        const capable = orderCoordinators(`store relay ${zone}`, inZone);
        return [...capable, ...inZone.filter(gateway => !capable.includes(gateway))];
    });
    const longest = Math.max(0, ...ordered.map(({ length }) => length));
    const inTurn = Array.from({ length: longest }, (_, turn) =>
        ordered.flatMap(inZone => inZone.slice(turn, turn + 1)),
    );
    return inTurn.flat().slice(0, Math.max(MINIMUM_RELAYS, zones.length));
}

/** The relays that a gateway may follow, best first: those in its zone, spread over their followers. */
export function relaysFor(self: GatewayPeer, relays: readonly GatewayPeer[]): readonly GatewayPeer[] {
    const rank = (relay: GatewayPeer): number =>
        (relay.zone === self.zone ? 1 : 0) + rendezvousWeight(self.name, relay.name) / 2 ** 32;
    return [...relays].sort((left, right) => rank(right) - rank(left));
}
