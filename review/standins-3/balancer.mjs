/**
 * A stand-in for the platform's balancer: it asks each gateway each second whether it is ready, takes one out of rotation after
 * two misses, and selects the gateway of a new connection by its client. If fewer than half are in rotation, it uses all.
 */

const CHECK_INTERVAL_MS = 1_000;
const MISSES_TO_LEAVE = 2;

export class Balancer {
    /** Successive misses by gateway. */
    misses = new Map();

    static start(gateways) {
        const balancer = new Balancer();
        balancer.gateways = gateways;
        balancer.timer = setInterval(() => {
            for (const gateway of gateways) void balancer.check(gateway);
        }, CHECK_INTERVAL_MS);
        return balancer;
    }

    stop() {
        clearInterval(this.timer);
    }

    async check(gateway) {
        const isReady = await gateway.isReady();
        this.misses.set(gateway, isReady ? 0 : (this.misses.get(gateway) ?? 0) + 1);
    }

    /** The gateway of a new connection of a client. */
    select(client) {
        const inRotation = this.gateways.filter(gateway => (this.misses.get(gateway) ?? 0) < MISSES_TO_LEAVE);
        const used = inRotation.length * 2 < this.gateways.length ? this.gateways : inRotation;
        return used[client % used.length];
    }
}
