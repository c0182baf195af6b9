/**
 * Choice of the gateway that judges a roll-out, as one gateway sees it.
 *
 * A gateway that is lost stays registered for a while, and one that is cut off stays registered for good, so the judge is
 * the first gateway, by a hash of the service, that is not lost. One counts as lost when it has answered nothing for
 * longer than a live process is silent; a slow one answers within that time. As soon as an answer is overdue, the next
 * gateway gets the observations as well, so that losses of several are noticed at the same time. Lost gateways are asked
 * again from time to time.
 */
import { LONGEST_SOUND_SILENCE_MS } from "../model/silence.js";
import { orderCoordinators } from "./coordinator.js";
import type { GatewayPeer } from "./peers.js";

/** Time in milliseconds without an answer after which the next gateway is asked too. */
const OVERDUE_MS = 400;

/** Pause in milliseconds between two calls to a lost gateway. */
const PROBE_INTERVAL_MS = 1_000;

/** Maximum numbers of gateways that are asked at a time, and of lost ones that are asked again. */
const MAXIMUM_ASKED = 8;
const MAXIMUM_PROBES = 2;

/** Gateways in the order in which they judge the roll-outs of a service; those with little capacity come last. */
export function judgesOf(service: string, gateways: readonly GatewayPeer[]): readonly GatewayPeer[] {
    const capable = orderCoordinators(`rollout ${service}`, gateways);
    if (capable.length === gateways.length) return capable;
    const others = gateways.filter(gateway => !capable.includes(gateway));
    return [...capable, ...judgesOf(service, others)];
}

/** What this gateway knows of another one as a judge. */
interface Contact {
    readonly address: string;
    /** Number of the observation that the other gateway needs next. */
    next: number;
    /** Monotonic time in milliseconds at which the call in progress began; undefined if there is none. */
    callingSince: number | undefined;
    calledAt: number;
    /** Whether the last call that has ended was answered by a judge. */
    isAnswering: boolean;
    /** Since when the gateway answers that it cannot judge; undefined if it can. */
    unableSince: number | undefined;
}

/** A call that is to be made. */
export interface JudgeCall {
    readonly peer: GatewayPeer;
    readonly contact: Contact;
    /** Whether the called gateway is the judge, as far as this one can tell. */
    readonly isJudge: boolean;
}

/** The gateways to call now, and whether this one is the judge. */
export interface JudgeChoice {
    readonly calls: readonly JudgeCall[];
    readonly isSelf: boolean;
    /** Number of gateways before this one in the order of judges. */
    readonly rank: number;
}

/** The other gateways as judges of one roll-out. */
export class RolloutJudges {
    private readonly contacts = new Map<string, Contact>();

    /** `unansweredMs` tells for how long a gateway has answered no call. */
    private constructor(private readonly unansweredMs: (peer: GatewayPeer) => number) {}

    static create(unansweredMs: (peer: GatewayPeer) => number): RolloutJudges {
        return new RolloutJudges(unansweredMs);
    }

    /** Decides whom to call. `judges` are all gateways in the order in which they judge. */
    choose(judges: readonly GatewayPeer[], self: GatewayPeer): JudgeChoice {
        const now = performance.now();
        const rank = judges.findIndex(({ name }) => name === self.name);
        const before = judges.slice(0, rank).map(peer => ({ peer, contact: this.contactOf(peer) }));
        const lost = before.filter(({ peer, contact }) => this.isLost(peer, contact, now));
        const asked: typeof before = [];
        for (const judge of before) {
            if (lost.includes(judge)) continue;
            asked.push(judge);
            if (!isOverdue(judge.contact, now) || asked.length >= MAXIMUM_ASKED) break;
        }
        const probed = lost
            .filter(({ contact }) => now - contact.calledAt >= PROBE_INTERVAL_MS)
            .sort((left, right) => left.contact.calledAt - right.contact.calledAt)
            .slice(0, MAXIMUM_PROBES);
        const calls = [...asked, ...probed]
            .filter(({ contact }) => contact.callingSince === undefined)
            .map(({ peer, contact }) => ({ peer, contact, isJudge: peer === asked[0]?.peer }));
        return { calls, isSelf: asked.length === 0, rank };
    }

    private isLost(peer: GatewayPeer, { unableSince }: Contact, now: number): boolean {
        const unableMs = unableSince === undefined ? 0 : now - unableSince;
        return Math.max(unableMs, this.unansweredMs(peer)) >= LONGEST_SOUND_SILENCE_MS;
    }

    private contactOf({ name, address }: GatewayPeer): Contact {
        const known = this.contacts.get(name);
        if (known?.address === address) return known;
        const created: Contact = {
            address,
            next: 0,
            callingSince: undefined,
            calledAt: Number.NEGATIVE_INFINITY,
            isAnswering: true,
            unableSince: undefined,
        };
        this.contacts.set(name, created);
        return created;
    }
}

function isOverdue({ callingSince, isAnswering }: Contact, now: number): boolean {
    return !isAnswering || (callingSince !== undefined && now - callingSince >= OVERDUE_MS);
}
