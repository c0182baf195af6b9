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

const SEEDS = 100;

beforeEach(() => {
    vi.useFakeTimers();
});
afterEach(() => {
    vi.useRealTimers();
});

/** A word that spreads once one gateway has it. */
class Word implements SharedKnowledge {
    isKnown = false;
    constructor(private readonly onNews: () => void) {}

    get isEmpty(): boolean {
        return !this.isKnown;
    }

    tell(): void {
        this.isKnown = true;
        this.onNews();
    }

    news(): unknown {
        return this.isKnown;
    }

    merge(news: unknown): boolean {
        if (news === true && !this.isKnown) this.tell();
        return typeof news === "boolean";
    }
}

interface Fleet {
    readonly words: readonly Word[];
    readonly stop: () => void;
    readonly messageCount: () => number;
}

function startFleet(size: number, lossRate: number, random: () => number): Fleet {
    const gossips: Gossip[] = [];
    let messages = 0;
    const peers = Array.from({ length: size }, (_, index): GatewayPeer => {
        const capacity = { processors: 1, linkMegabits: 1_000 };
        return { name: `gateway-${index}`, zone: "east", address: String(index), capacity };
    });
    const words = peers.map((self, index) => {
        const word = new Word(() => gossips[index]?.spread());
        const call = ({ address }: GatewayPeer, _path: string, text: string): Promise<PeerCallOutcome> => {
            messages += 1;
            const answer = random() < lossRate ? undefined : gossips[Number(address)]?.receive(text);
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
    return { words, stop: () => gossips.forEach(gossip => gossip.stop()), messageCount: () => messages };
}

describe("gossip", () => {
    it.each([
        { size: 3, lossRate: 0 },
        { size: 9, lossRate: 0 },
        { size: 30, lossRate: 0.1 },
        { size: 120, lossRate: 0.1 },
    ])("reaches all of $size gateways with $lossRate of the messages lost", async ({ size, lossRate }) => {
        for (let seed = 1; seed <= SEEDS; seed += 1) {
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
});
