/**
 * News must reach every gateway soon, although each one tells only a few others, some messages are lost, and a gateway
 * that has heard it from nobody does not ask.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { Gossip, type SharedKnowledge } from "../../src/gateway/gossip.js";
import type { GatewayPeer } from "../../src/gateway/peers.js";
import type { PeerCallOutcome } from "../../src/stages/peercalls.js";

/** Time in milliseconds in which all gateways are to have heard. */
const SPREAD_MS = 500;

/** Time in milliseconds after a disturbance in which a gateway is to have caught up. */
const CONTACT_MS = 3_000;

const SEEDS = 100;

beforeEach(() => {
    vi.useFakeTimers();
});
afterEach(() => {
    vi.useRealTimers();
});

/** Something long that spreads once one gateway has it. */
class Word implements SharedKnowledge {
    isKnown = false;
    constructor(private readonly onNews: () => void) {}

    digest(): string {
        return String(this.isKnown);
    }

    tell(): void {
        this.isKnown = true;
        this.onNews();
    }

    news(): unknown {
        return { isKnown: this.isKnown, text: "x".repeat(this.isKnown ? 1_000 : 0) };
    }

    merge(news: unknown): boolean {
        const isKnown = (news as { isKnown?: unknown }).isKnown;
        if (isKnown === true && !this.isKnown) this.tell();
        return typeof isKnown === "boolean";
    }
}

interface Fleet {
    readonly words: readonly Word[];
    readonly gossips: readonly Gossip[];
    readonly stop: () => void;
    readonly messageCount: () => number;
    /** Characters of all messages and answers. */
    readonly traffic: () => number;
    /** Loses all messages to and from a gateway until the returned function is called. */
    readonly cut: (index: number) => () => void;
}

function startFleet(size: number, lossRate: number, random: () => number): Fleet {
    const gossips: Gossip[] = [];
    const isCut = new Set<number>();
    let messages = 0;
    let traffic = 0;
    const peers = Array.from({ length: size }, (_, index): GatewayPeer => {
        const capacity = { processors: 1, linkMegabits: 1_000 };
        return { name: `gateway-${index}`, zone: "east", address: String(index), capacity };
    });
    const words = peers.map((self, index) => {
        const word = new Word(() => gossips[index]?.spread());
        const call = ({ address }: GatewayPeer, _path: string, text: string): Promise<PeerCallOutcome> => {
            messages += 1;
            const isLost = isCut.has(index) || isCut.has(Number(address)) || random() < lossRate;
            const answer = isLost ? undefined : gossips[Number(address)]?.receive(text);
            traffic += text.length + (answer?.length ?? 0);
            const lost: PeerCallOutcome = { kind: "failed", reason: "lost", isSilent: true };
            return Promise.resolve(answer === undefined ? lost : { kind: "answered", text: answer });
        };
        const others = peers.filter(peer => peer !== self);
        const topics = { word };
        gossips.push(
            Gossip.start({ peers: { self, others }, peerCalls: { call }, topics, onChange: () => undefined, random }),
        );
        return word;
    });
    return {
        words,
        gossips,
        stop: () => gossips.forEach(gossip => gossip.stop()),
        messageCount: () => messages,
        traffic: () => traffic,
        cut: index => {
            isCut.add(index);
            return () => void isCut.delete(index);
        },
    };
}

describe("gossip", () => {
    it.each([
        { size: 3, lossRate: 0, firstSeed: 1, lastSeed: SEEDS },
        { size: 9, lossRate: 0, firstSeed: 1, lastSeed: SEEDS },
        { size: 30, lossRate: 0.1, firstSeed: 1, lastSeed: SEEDS },
        ...[1, 26, 51, 76].map(firstSeed => ({ size: 120, lossRate: 0.1, firstSeed, lastSeed: firstSeed + 24 })),
    ])("reaches all of $size gateways with $lossRate of the messages lost, seeds from $firstSeed", async row => {
        const { size, lossRate, firstSeed, lastSeed } = row;
        for (let seed = firstSeed; seed <= lastSeed; seed += 1) {
            const generator = xoroshiro128plus(seed);
            const fleet = startFleet(size, lossRate, () => uniformFloat64(generator));
            fleet.words[0]?.tell();
            await vi.advanceTimersByTimeAsync(SPREAD_MS);
            const uninformed = fleet.words.filter(({ isKnown }) => !isKnown).length;
            fleet.stop();
            expect({ seed, uninformed }).toEqual({ seed, uninformed: 0 });
            expect(fleet.messageCount()).toBeLessThanOrEqual(size * 12);
        }
    });

    // The stated limit is 6 KB a second for all control traffic of a gateway.
    it("costs little once all gateways know the same", async () => {
        const generator = xoroshiro128plus(22);
        const fleet = startFleet(30, 0, () => uniformFloat64(generator));
        fleet.words[0]?.tell();
        await vi.advanceTimersByTimeAsync(5_000);
        const before = fleet.traffic();
        await vi.advanceTimersByTimeAsync(60_000);
        fleet.stop();
        expect((fleet.traffic() - before) / 30 / 60).toBeLessThan(600);
    });

    it.each([
        { who: "has heard nothing", teller: 0 },
        { who: "alone knows it", teller: 29 },
    ])("reaches all soon after a cut when the gateway that was cut off $who", async ({ teller }) => {
        for (let seed = 1; seed <= SEEDS; seed += 1) {
            const generator = xoroshiro128plus(seed);
            const fleet = startFleet(30, 0, () => uniformFloat64(generator));
            const heal = fleet.cut(29);
            fleet.words[teller]?.tell();
            await vi.advanceTimersByTimeAsync(10_000);
            heal();
            await vi.advanceTimersByTimeAsync(CONTACT_MS);
            const uninformed = fleet.words.filter(({ isKnown }) => !isKnown).length;
            fleet.stop();
            expect({ seed, uninformed }).toEqual({ seed, uninformed: 0 });
        }
    });

    it("is learned by a gateway that asks", async () => {
        const generator = xoroshiro128plus(22);
        const fleet = startFleet(4, 0, () => uniformFloat64(generator));
        const heal = fleet.cut(3);
        fleet.words[0]?.tell();
        await vi.advanceTimersByTimeAsync(SPREAD_MS);
        heal();
        await fleet.gossips[3]?.learn();
        fleet.stop();
        expect(fleet.words[3]?.isKnown).toBe(true);
    });

    it.each([{ text: "" }, { text: "{}" }, { text: "[]" }, { text: '{"digest":"","topics":{"word":{"isKnown":1}}}' }])(
        "does not answer a malformed message: $text",
        ({ text }) => {
            const fleet = startFleet(2, 0, () => 0);
            expect(fleet.gossips[0]?.receive(text)).toBeUndefined();
            fleet.stop();
        },
    );
});
