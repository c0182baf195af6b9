/**
 * A fleet of gateways with little processor time before one stage service whose targets have one slot, as events on a paused
 * clock. Each gateway does its work one piece after the other, so that it reads and answers late when it has much to do.
 */
import { vi } from "vitest";
import type { GatewayPeer } from "../../src/gateway/peers.js";
import { assignTargets, chooseGatherer } from "../../src/stages/gatherers.js";
import { SilenceLimits } from "../../src/stages/silencelimits.js";

const GATEWAYS = 18;
const TARGETS = 7;
const BATCH = 8;
const CALL_MS = 370;
const DEADLINE_MS = 4_000;
const FULL_PAUSE_MS = 60;
const PROBE_MS = 1_000;

/** Times in milliseconds that work takes on 0.12 of a core: to send and to take an order, to make a call, to read a sign. */
const SEND_MS = 8;
const TAKE_MS = 20;
const CALL_WORK_MS = 10;
const READ_MS = 3;

/** How orders are placed, and when a gatherer counts as unreachable. */
export interface Policy {
    readonly limitMs: (sender: GatewayPeer, limits: SilenceLimits, gatherer: GatewayPeer) => number;
    /** Whether each target belongs to one of several gatherers. */
    readonly hasOwners: boolean;
}

/** The policy of the gateway, and the one before: one gatherer of all targets, and one limit for all. */
export const PRESENT: Policy = { limitMs: (_, limits, gatherer) => limits.limitMs(gatherer), hasOwners: true };
export const EARLIER: Policy = { limitMs: () => 700, hasOwners: false };

interface Job {
    readonly sentAt: number;
    made: number;
    servedAt: number | undefined;
}

interface Gateway {
    readonly peer: GatewayPeer;
    readonly limits: SilenceLimits;
    readonly unreachable: Set<string>;
    readonly waiting: { readonly job: Job; readonly sender: Gateway }[];
    readonly blockedUntil: Map<string, number>;
    busyUntil: number;
}

/** What came of the orders. */
export interface ShortageResult {
    /** Share of the orders sent after a time that were served before their deadlines. */
    readonly servedAfter: (milliseconds: number) => number;
    /** Number of orders that were made again, and of all. */
    readonly madeAgain: number;
    readonly orders: number;
    readonly calls: number;
    /** Number of calls that found their target full. */
    readonly full: number;
}

/** Replays orders at `perSecond(milliseconds)` for some seconds. Fake timers have to be in use. */
export function replayShortage(
    policy: Policy,
    seed: number,
    seconds: number,
    perSecond: (milliseconds: number) => number,
): ShortageResult {
    let state = seed * 48_271;
    const random = (): number => (state = (state * 16_807) % 2_147_483_647) / 2_147_483_647;
    const names = Array.from({ length: TARGETS }, (_, index) => `target-${index}`);
    const busyTargets = new Map<string, number>();
    const gateways: readonly Gateway[] = Array.from({ length: GATEWAYS }, (_, index) => {
        const capacity = { processors: 0.12, linkMegabits: 10 };
        const peer = { name: `gateway-${index}`, zone: "east", address: `10.0.0.${index}:1`, capacity };
        const limits = SilenceLimits.create(peer);
        return { peer, limits, unreachable: new Set(), waiting: [], blockedUntil: new Map(), busyUntil: 0 };
    });
    const jobs: Job[] = [];
    let calls = 0;
    let full = 0;
    const startedAt = performance.now();

    const work = (gateway: Gateway, milliseconds: number, then: () => void): void => {
        gateway.busyUntil = Math.max(performance.now(), gateway.busyUntil) + milliseconds;
        setTimeout(then, gateway.busyUntil - performance.now());
    };
    const gatherersOf = (gateway: Gateway): ReturnType<typeof assignTargets> =>
        assignTargets(
            "encode",
            policy.hasOwners ? names : [],
            gateways.map(({ peer }) => peer).filter(({ name }) => !gateway.unreachable.has(name)),
        );
    const find = (peer: GatewayPeer | undefined): Gateway | undefined => gateways.find(other => other.peer === peer);

    const dispatch = (gatherer: Gateway): void => {
        const { gateways: chosen, owners } = gatherersOf(gatherer);
        const own = names.filter(name => chosen.length <= 1 || owners.get(name) === gatherer.peer);
        for (const target of own.length > 0 ? own : names) {
            const late = performance.now() - DEADLINE_MS;
            for (const waiting of gatherer.waiting.splice(0)) {
                if (waiting.job.sentAt > late) gatherer.waiting.push(waiting);
            }
            if (gatherer.waiting.length === 0) return;
            if ((gatherer.blockedUntil.get(target) ?? 0) > performance.now()) continue;
            const pieces = gatherer.waiting.splice(0, BATCH);
            gatherer.blockedUntil.set(target, Number.POSITIVE_INFINITY);
            work(gatherer, CALL_WORK_MS, () => send(gatherer, target, pieces));
        }
    };
    const send = (gatherer: Gateway, target: string, pieces: Gateway["waiting"]): void => {
        calls += 1;
        const now = performance.now();
        if ((busyTargets.get(target) ?? 0) > now) {
            full += 1;
            gatherer.waiting.push(...pieces);
            gatherer.blockedUntil.set(target, now + FULL_PAUSE_MS);
            setTimeout(() => dispatch(gatherer), FULL_PAUSE_MS);
            return;
        }
        busyTargets.set(target, now + CALL_MS);
        setTimeout(() => {
            for (const { job } of pieces) job.made += 1;
            work(gatherer, CALL_WORK_MS, () => {
                gatherer.blockedUntil.set(target, 0);
                for (const { job, sender } of pieces) {
                    work(sender, READ_MS, () => (job.servedAt ??= performance.now()));
                }
                dispatch(gatherer);
            });
        }, CALL_MS);
    };
    const order = (sender: Gateway, job: Job): void => {
        if (performance.now() > job.sentAt + DEADLINE_MS) return;
        const peer = chooseGatherer(gatherersOf(sender), names, () => 0, random);
        const gatherer = find(peer) ?? sender;
        const sentAt = performance.now();
        let isHeard = gatherer === sender;
        work(sender, SEND_MS, () => {
            work(gatherer, TAKE_MS, () => {
                gatherer.waiting.push({ job, sender });
                dispatch(gatherer);
                work(sender, READ_MS, () => {
                    isHeard = true;
                    sender.limits.record(gatherer.peer.name, performance.now() - sentAt);
                });
            });
        });
        setTimeout(
            () => {
                if (isHeard) return;
                sender.unreachable.add(gatherer.peer.name);
                setTimeout(() => sender.unreachable.delete(gatherer.peer.name), PROBE_MS);
                order(sender, job);
            },
            policy.limitMs(sender.peer, sender.limits, gatherer.peer),
        );
    };

    // One timer at a time, since the fake clock looks through all of them.
    const arrive = (): void => {
        const at = performance.now() - startedAt;
        if (at >= seconds * 1_000) return;
        const job: Job = { sentAt: performance.now(), made: 0, servedAt: undefined };
        jobs.push(job);
        const sender = gateways[Math.floor(random() * GATEWAYS)];
        if (sender !== undefined) order(sender, job);
        setTimeout(arrive, (2 * random() * 1_000) / perSecond(at));
    };
    arrive();
    vi.advanceTimersByTime(seconds * 1_000 + 2 * DEADLINE_MS);
    return {
        servedAfter: milliseconds => {
            const counted = jobs.filter(({ sentAt }) => sentAt >= startedAt + milliseconds);
            const served = counted.filter(({ sentAt, servedAt = Infinity }) => servedAt <= sentAt + DEADLINE_MS);
            return served.length / counted.length;
        },
        madeAgain: jobs.filter(({ made }) => made > 1).length,
        orders: jobs.length,
        calls,
        full,
    };
}
