/**
 * How long another gateway may be silent before an order counts as unanswered.
 *
 * Answers the load of gateways that are short of processor time. Such a gateway reads and answers late although it works.
 * Taken for unreachable, it would keep the pieces that it has, while a second gatherer makes them too and needs the same
 * targets: work grows where processor time is short already, and more gateways answer late. The limit therefore follows what
 * is known of a gateway: the speed of its processor, and the delays of its latest signs of progress, also those that came
 * after it was given up.
 */
import type { GatewayPeer } from "../gateway/peers.js";
import { halfLifeWeight } from "../model/decay.js";
import { LONGEST_SOUND_SILENCE_MS } from "../model/silence.js";

/** Shortest limit in milliseconds: three missed progress intervals. */
export const SHORTEST_LIMIT_MS = 700;

/** Share of a core for which the shortest limit is meant. A slower processor takes longer for the same work. */
const REFERENCE_PROCESSORS = 0.5;

/** Factor from the longest recent delay to the limit. */
const DELAY_RATIO = 3;

/** Half-life of a delay in milliseconds; bursts last some seconds. */
const DELAY_HALF_LIFE_MS = 5_000;

interface Delay {
    readonly milliseconds: number;
    readonly at: number;
}

/** The limits for the silence of other gateways. */
export class SilenceLimits {
    /** The longest recent delay of each gateway, by name. */
    private readonly delays = new Map<string, Delay>();

    private constructor(private readonly self: Pick<GatewayPeer, "capacity">) {}

    /** `self` is this gateway, which may itself read late what another one has sent. */
    static create(self: Pick<GatewayPeer, "capacity">): SilenceLimits {
        return new SilenceLimits(self);
    }

    /** Records the time in milliseconds between an order or a sign of progress and the next sign. */
    record(peer: string, milliseconds: number): void {
        if (milliseconds >= this.recentDelayMs(peer)) this.delays.set(peer, { milliseconds, at: performance.now() });
    }

    /** Forgets gateways that are not among `registered`. */
    keepOnly(registered: ReadonlySet<string>): void {
        for (const name of this.delays.keys()) if (!registered.has(name)) this.delays.delete(name);
    }

    /** Silence of a gateway in milliseconds from which an order to it counts as unanswered. */
    limitMs({ name, capacity }: Pick<GatewayPeer, "name" | "capacity">): number {
        const processors = Math.min(REFERENCE_PROCESSORS, capacity.processors, this.self.capacity.processors);
        const usualMs = (SHORTEST_LIMIT_MS * REFERENCE_PROCESSORS) / processors;
        return Math.min(LONGEST_SOUND_SILENCE_MS, Math.max(usualMs, DELAY_RATIO * this.recentDelayMs(name)));
    }

    private recentDelayMs(peer: string): number {
        const delay = this.delays.get(peer);
        if (delay === undefined) return 0;
        return delay.milliseconds * halfLifeWeight(performance.now() - delay.at, DELAY_HALF_LIFE_MS);
    }
}
