/**
 * Whether a gateway takes new connections of callers, or leaves them to larger gateways of its zone.
 *
 * Answers the load of a zone whose gateways have unequal machines. The load balancer gives each gateway in rotation the same
 * number of connections, so a machine with a seventh of the processor time of another is the first that has none left. Its
 * timers and sockets then wait, and each of its requests is late, while the others are idle. Such a gateway says that it is
 * not ready, and asks the callers that it has to connect anew. What it has accepted it serves to the end.
 *
 * The larger half of a zone's gateways never withdraws: the load balancer uses all gateways of a zone of which fewer than half are
 * ready. No messages are needed, since gateways know each other's capacity from their registrations. If the larger ones
 * are lost, the load balancer returns to those that have withdrawn.
 */
import type { GatewayPeer } from "./peers.js";

/**
 * Mean delay in milliseconds of timers above which a processor is short. A request passes the event loop about ten times, so
 * it then takes several hundred milliseconds longer, a large part of most latency objectives.
 */
const SHORT_DELAY_MS = 25;

/** Mean delay in milliseconds below which a processor has time left. */
const IDLE_DELAY_MS = 5;

/**
 * First and longest time in milliseconds for which a gateway stays out of rotation. The first one lets the load balancer notice it, at
 * one check a second; a gateway that is short again soon after its return stays out for twice as long.
 */
const FIRST_ABSENCE_MS = 4_000;
const LONGEST_ABSENCE_MS = 32_000;

/** Time in milliseconds after a return in which a shortage counts as the same load. */
const SOON_MS = 10_000;

/** How much larger the larger gateways of a zone have to be. */
const UNEQUAL_RATIO = 2;

/** What a gateway is compared by. */
export type RotationMember = Pick<GatewayPeer, "name" | "zone"> & {
    readonly capacity: Pick<GatewayPeer["capacity"], "processors">;
};

/**
 * Whether a gateway may leave new connections to others: at least half of the gateways of its zone are larger than it, and each
 * of that half has at least twice its processor time.
 */
export function mayWithdraw(self: RotationMember, others: readonly RotationMember[]): boolean {
    const ownZone = [self, ...others.filter(({ name, zone }) => zone === self.zone && name !== self.name)];
    const needed = Math.ceil(ownZone.length / 2);
    const larger = ownZone.filter(({ capacity }) => capacity.processors >= self.capacity.processors * UNEQUAL_RATIO);
    return larger.length >= needed;
}

/** Whether one gateway is in rotation. */
export class Rotation {
    private withdrawnUntil: number | undefined;
    private absenceMs = FIRST_ABSENCE_MS;
    private returnedAt = Number.NEGATIVE_INFINITY;

    private constructor(private readonly mayWithdraw: () => boolean) {}

    /** `mayWithdraw` tells whether other gateways can take what this one leaves. */
    static create(mayWithdraw: () => boolean): Rotation {
        return new Rotation(mayWithdraw);
    }

    get isWithdrawn(): boolean {
        return this.withdrawnUntil !== undefined;
    }

    /**
     * Takes the mean delay in milliseconds of this process's timers over about a second. Returns what has changed.
     */
    update(meanDelayMs: number): "withdrawn" | "returned" | undefined {
        const now = performance.now();
        if (this.withdrawnUntil === undefined) {
            if (meanDelayMs < SHORT_DELAY_MS || !this.mayWithdraw()) return undefined;
            const isSoon = now - this.returnedAt < SOON_MS;
            this.absenceMs = isSoon ? Math.min(LONGEST_ABSENCE_MS, this.absenceMs * 2) : FIRST_ABSENCE_MS;
            this.withdrawnUntil = now + this.absenceMs;
            return "withdrawn";
        }
        const isOver = now >= this.withdrawnUntil && meanDelayMs <= IDLE_DELAY_MS;
        if (!isOver && this.mayWithdraw()) return undefined;
        this.withdrawnUntil = undefined;
        this.returnedAt = now;
        return "returned";
    }
}
