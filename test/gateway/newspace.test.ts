/**
 * News must not take the processor from callers. Guards against a gateway that sends rounds of news at a fixed interval while
 * each of them takes long to encode and merge, as after the crash of several targets: its callers then waited for hundreds of
 * milliseconds.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { NewsPace } from "../../src/gateway/newspace.js";

/** Load in which every round comes with `workMs` of encoding and merging. Returns the rounds in a time. */
function countRounds(workMs: number, milliseconds: number): { readonly rounds: number; readonly takenMs: number } {
    const pace = NewsPace.create();
    const endsAt = performance.now() + milliseconds;
    let [rounds, takenMs] = [0, 0];
    while (performance.now() < endsAt) {
        pace.recordRound();
        pace.measure(() => vi.advanceTimersByTime(workMs));
        rounds += 1;
        takenMs += workMs;
        vi.advanceTimersByTime(Math.max(1, Math.ceil(pace.waitMs())));
    }
    return { rounds, takenMs };
}

beforeEach(() => {
    vi.useFakeTimers();
});
afterEach(() => {
    vi.useRealTimers();
});

describe("the pace of news", () => {
    it.each([
        { workMs: 0, atLeast: 95, atMost: 101 },
        { workMs: 4, atLeast: 90, atMost: 101 },
        { workMs: 20, atLeast: 20, atMost: 30 },
        { workMs: 200, atLeast: 9, atMost: 11 },
    ])("with $workMs ms of work in a round allows $atLeast to $atMost rounds in 10 s", row => {
        const { rounds } = countRounds(row.workMs, 10_000);
        expect(rounds).toBeGreaterThanOrEqual(row.atLeast);
        expect(rounds).toBeLessThanOrEqual(row.atMost);
    });

    it("keeps news within a twentieth of the time while rounds take up to 50 ms", () => {
        for (const workMs of [6, 12, 25, 50]) {
            expect(countRounds(workMs, 20_000).takenMs).toBeLessThanOrEqual(20_000 * 0.055);
        }
    });

    it("does not delay the first news after a quiet time", () => {
        const pace = NewsPace.create();
        pace.recordRound();
        pace.measure(() => vi.advanceTimersByTime(40));
        vi.advanceTimersByTime(5_000);
        expect(pace.waitMs()).toBe(0);
    });
});
