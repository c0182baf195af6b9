/**
 * Counts of what is placed where in a simulated pool of unequal engines. Guards against a choice by constants that overloads
 * slow engines, against all gateways choosing the same engine from the same old loads, and against losing cached prefixes.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { largestShare, noisyPace, simulate, type SimulationOptions, type SimulationResult } from "./simulation.js";

/** Starts the clock at the same time for each run, so that runs can be compared to the last digit. */
function restartClock(): void {
    vi.useRealTimers();
    vi.useFakeTimers({ toFake: ["performance", "Date"] });
}

beforeEach(restartClock);
afterEach(() => {
    vi.useRealTimers();
});

const THREE_SPEEDS = [0.7, 0.7, 1.7];
const SPEEDS = Array.from({ length: 31 }, (_, index) => THREE_SPEEDS[index % 3] ?? 1);
const SEEDS = [1, 2, 3];

const POOL: Omit<SimulationOptions, "seed"> = {
    speeds: SPEEDS,
    gateways: 30,
    seconds: 20,
    rate: () => 480,
    pace: noisyPace,
    reportDelayMs: 200,
    prefixes: 0,
    objectiveMs: 500,
    warmUpMs: 8_000,
};

function simulateSeeds(change: Partial<SimulationOptions>): readonly SimulationResult[] {
    return SEEDS.map(seed => {
        restartClock();
        return simulate({ ...POOL, ...change, seed });
    });
}

/** Part of the requests of all runs whose first event came within the objective. */
function inTimeRatio(results: readonly SimulationResult[]): number {
    const count = results.reduce((sum, result) => sum + result.count, 0);
    return results.reduce((sum, { inTime }) => sum + inTime, 0) / count;
}

function cachedRatio(results: readonly SimulationResult[]): number {
    const shared = results.reduce((sum, { sharedTokens }) => sum + sharedTokens, 0);
    return results.reduce((sum, { cachedTokens }) => sum + cachedTokens, 0) / shared;
}

describe("three engines with speeds of 0.7, 0.7 and 1.7 near their capacity", () => {
    const options = { speeds: THREE_SPEEDS, gateways: 2, rate: () => 42, pace: () => 1, reportDelayMs: 20 };

    it("get work in proportion to their speeds", () => {
        for (const { placed } of simulateSeeds(options)) {
            const [first = 0, second = 0, fast = 0] = placed;
            expect(fast).toBeGreaterThan(1.6 * Math.max(first, second));
            expect(largestShare(placed, THREE_SPEEDS)).toBeLessThan(1.25);
        }
    });

    it("have lasting speeds that are learnt relative to each other", () => {
        for (const { speeds } of simulateSeeds(options)) {
            const [first = 0, second = 0, fast = 0] = speeds;
            expect(fast / first).toBeGreaterThan(1.7);
            expect(fast / second).toBeGreaterThan(1.7);
            expect(Math.max(first / second, second / first)).toBeLessThan(1.5);
        }
    });
});

describe("30 gateways with loads that are 200 ms old", () => {
    it("do not send more than 1.25 times its fair share to any engine", () => {
        for (const { placed } of simulateSeeds({})) expect(largestShare(placed, SPEEDS)).toBeLessThan(1.25);
    });

    it("serve more requests in time than with the same constants for all engines", () => {
        const bySpeed = inTimeRatio(simulateSeeds({}));
        expect(bySpeed).toBeGreaterThan(0.95);
        expect(bySpeed).toBeGreaterThan(inTimeRatio(simulateSeeds({ byConstants: true })) + 0.1);
    });

    it("keep requests with a shared prefix at engines that have it", () => {
        const options = { prefixes: 60, rate: () => 370 };
        const bySpeed = simulateSeeds(options);
        expect(cachedRatio(bySpeed)).toBeGreaterThan(0.95);
        expect(inTimeRatio(bySpeed)).toBeGreaterThan(inTimeRatio(simulateSeeds({ ...options, byConstants: true })));
    });
});

describe("paces that change several times a second", () => {
    /** One engine after the other is slow for 300 ms. */
    const pace = (engine: number, at: number): number => (Math.floor(at / 300) % 6 === engine ? 2.5 : 1);
    const options = { speeds: [1, 1, 1, 1, 1, 1], gateways: 2, pace, reportDelayMs: 0, rate: () => 75 };

    it("keep work away from engines that are slow at the moment", () => {
        const slowRatio = (results: readonly SimulationResult[]): number =>
            results.reduce((sum, { sentWhileSlow }) => sum + sentWhileSlow, 0) /
            results.reduce((sum, { count }) => sum + count, 0);
        const bySpeed = simulateSeeds(options);
        const byConstants = simulateSeeds({ ...options, byConstants: true });
        expect(slowRatio(bySpeed)).toBeLessThan(0.75 * slowRatio(byConstants));
        expect(inTimeRatio(bySpeed)).toBeGreaterThan(0.98);
    });

    it("are not learnt as lasting speeds", () => {
        for (const { speeds } of simulateSeeds(options)) {
            for (const speed of speeds) {
                expect(speed).toBeGreaterThan(0.6);
                expect(speed).toBeLessThan(1.6);
            }
        }
    });
});

describe("a burst of 2.5 times", () => {
    it("leaves prefixes where they are cached, and is over when it ends", () => {
        const rate = (at: number): number => (at % 10_000 > 8_000 ? 500 : 200);
        const results = simulateSeeds({ prefixes: 60, rate, seconds: 30 });
        expect(cachedRatio(results)).toBeGreaterThan(0.85);
        expect(inTimeRatio(results)).toBeGreaterThan(0.75);
    });
});

describe("a target without the figure", () => {
    it("gets work by its first events alone", () => {
        const withoutPace = new Set([0, 5]);
        for (const { placed } of simulateSeeds({ withoutPace })) {
            expect(largestShare(placed, SPEEDS)).toBeLessThan(1.25);
            for (const engine of withoutPace) expect(placed[engine]).toBeGreaterThan(0);
        }
    });
});

describe("a pool without the figure", () => {
    it("is used exactly as by the constants", () => {
        const withoutPace = new Set(SPEEDS.keys());
        const options = { prefixes: 60, rate: () => 330, seconds: 12, warmUpMs: 0, withoutPace };
        const results = simulateSeeds(options);
        const byConstants = simulateSeeds({ ...options, byConstants: true });
        expect(results.map(({ placed }) => placed)).toEqual(byConstants.map(({ placed }) => placed));
        expect(results.map(({ percentile95Ms }) => percentile95Ms)).toEqual(
            byConstants.map(({ percentile95Ms }) => percentile95Ms),
        );
    });
});
