/**
 * Replays of the collapse of a fleet with little processor time. The one gatherer of a service answered late, was taken for
 * unreachable, and others made the same pieces at the same targets, from which the fleet did not recover.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { EARLIER, PRESENT, replayShortage } from "./shortage.js";

const SEEDS = Array.from({ length: 6 }, (_, index) => index + 1);

/** Orders a second of a calm day, and of one above the capacity of the targets. */
const CALM = 60;
const OVERLOAD = 300;

const OVERLOAD_END_MS = 5_000;

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

describe("a fleet with little processor time", () => {
    it.each(SEEDS)("serves a calm day without making pieces again, seed %i", seed => {
        const present = replayShortage(PRESENT, seed, 15, () => CALM);
        expect(present.servedAfter(0)).toBeGreaterThan(0.95);
        expect(present.madeAgain).toBe(0);
        expect(present.full / present.calls).toBeLessThan(0.01);
    });

    it.each(SEEDS.slice(0, 3))("serves as before after an overload, seed %i", seed => {
        const undisturbed = replayShortage(PRESENT, seed, 25, () => CALM);
        vi.clearAllTimers();
        const disturbed = replayShortage(PRESENT, seed, 25, at =>
            at >= 2_000 && at < OVERLOAD_END_MS ? OVERLOAD : CALM,
        );
        const afterMs = OVERLOAD_END_MS + 5_000;
        expect(disturbed.servedAfter(afterMs)).toBeGreaterThanOrEqual(0.95 * undisturbed.servedAfter(afterMs));
        expect(disturbed.madeAgain / disturbed.orders).toBeLessThan(0.02);
    });

    // Shows that the replay has the load from which one gatherer did not recover.
    it.each(SEEDS.slice(0, 2))("would collapse with one gatherer and one limit for all, seed %i", seed => {
        const earlier = replayShortage(EARLIER, seed, 15, () => CALM);
        expect(earlier.madeAgain / earlier.orders).toBeGreaterThan(0.02);
        expect(earlier.servedAfter(0)).toBeLessThan(0.9);
    });
});
