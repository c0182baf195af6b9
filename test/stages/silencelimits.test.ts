/**
 * How long another gateway may be silent. A limit that is the same for all took slow machines for unreachable ones while
 * they were busy, and the work was given to a second gatherer on top.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { LONGEST_SOUND_SILENCE_MS } from "../../src/model/silence.js";
import { SHORTEST_LIMIT_MS, SilenceLimits } from "../../src/stages/silencelimits.js";

function machine(name: string, processors: number): Parameters<SilenceLimits["limitMs"]>[0] {
    return { name, capacity: { processors, linkMegabits: 1_000 } };
}

beforeEach(() => {
    vi.useFakeTimers();
});

afterEach(() => {
    vi.useRealTimers();
});

describe("the limit for the silence of a gateway", () => {
    it.each([
        { case: "two whole cores", self: 1, peer: 1, limitMs: SHORTEST_LIMIT_MS },
        { case: "half a core each", self: 0.5, peer: 0.5, limitMs: SHORTEST_LIMIT_MS },
        { case: "a slow peer", self: 1, peer: 0.25, limitMs: 2 * SHORTEST_LIMIT_MS },
        { case: "a slow sender, which reads late", self: 0.25, peer: 1, limitMs: 2 * SHORTEST_LIMIT_MS },
        { case: "a very slow peer", self: 0.12, peer: 0.12, limitMs: LONGEST_SOUND_SILENCE_MS },
    ])("follows the slower processor: $case", ({ self, peer, limitMs }) => {
        expect(SilenceLimits.create(machine("self", self)).limitMs(machine("peer", peer))).toBe(limitMs);
    });

    it.each([
        { case: "none", delays: [], afterMs: 0, limitMs: SHORTEST_LIMIT_MS },
        { case: "short ones", delays: [20, 60], afterMs: 0, limitMs: SHORTEST_LIMIT_MS },
        { case: "a long one, then short ones", delays: [400, 20, 20], afterMs: 0, limitMs: 1_200 },
        { case: "one that came after the limit", delays: [1_500], afterMs: 0, limitMs: LONGEST_SOUND_SILENCE_MS },
        { case: "a long one some time ago", delays: [400], afterMs: 5_000, limitMs: SHORTEST_LIMIT_MS },
    ])("follows the latest delays: $case", ({ delays, afterMs, limitMs }) => {
        const limits = SilenceLimits.create(machine("self", 1));
        for (const delay of delays) limits.record("peer", delay);
        vi.advanceTimersByTime(afterMs);
        expect(limits.limitMs(machine("peer", 1))).toBe(limitMs);
        expect(limits.limitMs(machine("other", 1))).toBe(SHORTEST_LIMIT_MS);
    });
});
