/**
 * The cost of engines and the choice among them, as tables. Guards against a speed or pace that is applied the wrong way
 * round, against errors of constants that become speeds of targets, and against prefixes that decide too much or too little.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { KnownTarget } from "../../src/gateway/knowntarget.js";
import {
    chooseCallTarget,
    chooseEngine,
    type EngineCost,
    engineCosts,
    fastestTarget,
    type LastingSpeed,
    leastLoadedTarget,
    PrefixCacheTracker,
    presentPace,
    reportsPace,
    SpeedEstimates,
} from "../../src/placement/index.js";
import { INITIAL_WORK_TIMES } from "../../src/placement/servicetimes.js";
import { idleTarget, loadedTarget, seededRandom } from "./pool.js";

beforeEach(() => {
    vi.useFakeTimers({ toFake: ["performance"] });
    vi.advanceTimersByTime(60_000);
});
afterEach(() => {
    vi.useRealTimers();
});

const REQUEST = {
    promptTokens: 5_700,
    promptParts: [
        { id: "shared", tokens: 4_000 },
        { id: "own", tokens: 1_700 },
    ],
    inputBytesByZone: new Map<string, number>(),
    eventGapLimitMs: 100,
};

interface CostOptions {
    readonly request?: Partial<typeof REQUEST>;
    readonly speeds?: Readonly<Record<string, number>>;
    readonly prefixCaches?: PrefixCacheTracker;
}

function costsOf(targets: readonly KnownTarget[], options: CostOptions = {}): readonly EngineCost[] {
    const { request, speeds = {}, prefixCaches = PrefixCacheTracker.create() } = options;
    const speedOf = (target: string): LastingSpeed => ({ speed: speeds[target] ?? 1, confidence: 1 });
    const knowledge = { prefixCaches, speeds: { times: INITIAL_WORK_TIMES, speedOf }, now: performance.now() };
    return engineCosts(targets, { ...REQUEST, ...request }, knowledge);
}

/** A cost of which only some parts matter. */
function cost(name: string, expectedMs: number, rest: Partial<EngineCost> = {}): EngineCost {
    const [found] = costsOf([loadedTarget(name, {})], { request: { promptTokens: 0, promptParts: [] } });
    if (found === undefined) throw new Error("no cost");
    return { ...found, expectedMs, ...rest };
}

describe("the expected time at an engine", () => {
    const unshared = { promptParts: [{ id: "own", tokens: 5_700 }] };
    it.each<[string, KnownTarget, CostOptions, number]>([
        ["is the time of its own tokens", loadedTarget("a", {}), {}, 100],
        ["grows with the pace", loadedTarget("a", { pace: 2.5 }), {}, 250],
        ["shrinks with the lasting speed", loadedTarget("a", {}), { speeds: { a: 2 } }, 50],
        ["counts prompts of this gateway", { ...loadedTarget("a", {}), pendingPromptTokens: 5_700 }, {}, 200],
        ["counts running streams", loadedTarget("a", { running: 10 }), {}, 120],
        ["counts waiting requests", loadedTarget("a", { waiting: 2 }), {}, 180],
        ["has a wait for a slot when all are taken", loadedTarget("a", { running: 16 }), {}, 100 + 32 + 40],
        [
            "counts the transfer of results of other zones, at any pace",
            loadedTarget("a", { pace: 2 }),
            { request: { inputBytesByZone: new Map([["b", 4_500_000]]) } },
            290,
        ],
        [
            "counts no transfer within a zone",
            loadedTarget("a", {}),
            { request: { inputBytesByZone: new Map([["a", 4_500_000]]) } },
            100,
        ],
    ])("%s", (_, target, options, expected) => {
        // Targets of the table were created before the clock was faked.
        const reported = { ...target, loadReportedAt: performance.now() };
        const [found] = costsOf([reported], { ...options, request: { ...unshared, ...options.request } });
        expect(found?.expectedMs).toBeCloseTo(expected, 5);
        const { pendingMs = 0, ownMs = 0, runningMs = 0, waitingMs = 0, transferMs = 0 } = found ?? {};
        expect(pendingMs + ownMs + runningMs + waitingMs + transferMs).toBeCloseTo(expected, 5);
    });

    it("has no tokens that are cached", () => {
        const prefixCaches = PrefixCacheTracker.create();
        prefixCaches.recordSent("a", REQUEST.promptParts.slice(0, 1));
        const [found] = costsOf([loadedTarget("a", {})], { prefixCaches });
        expect(found).toMatchObject({ cachedTokens: 4_000 });
        expect(found?.expectedMs).toBeCloseTo(1_700 / 57, 5);
        expect(found?.savedMs).toBeCloseTo(4_000 / 57, 5);
    });

    it("has the mean load of the pool at an engine that was not heard of, not none", () => {
        const targets = [loadedTarget("a", { waiting: 4 }), loadedTarget("b", { waiting: 2 }), idleTarget("c")];
        const [, , unheard] = costsOf(targets, { request: unshared });
        expect(unheard?.work.waiting).toBeCloseTo(3, 5);
    });

    it.each<[string, Partial<{ running: number; pace: number }>, boolean]>([
        ["few streams", { running: 4 }, false],
        ["many streams", { running: 15 }, false],
        ["many streams at a slow pace", { running: 15, pace: 4 }, true],
    ])("tells whether event gaps are too long with %s", (_, load, exceeds) => {
        expect(costsOf([loadedTarget("a", load)])[0]?.exceedsEventGapLimit).toBe(exceeds);
    });
});

describe("the choice among engines", () => {
    const prefix = { cachedTokens: 4_000, savedMs: 70 };
    it.each<[string, (remainingMs: number) => readonly EngineCost[], number, string]>([
        ["the fastest", () => [cost("a", 200), cost("b", 100)], 500, "b"],
        ["the one with the prefix", () => [cost("a", 150, prefix), cost("b", 100)], 500, "a"],
        ["another one if the prefix saves less", () => [cost("a", 180, prefix), cost("b", 100)], 500, "b"],
        ["another one if the objective is endangered", () => [cost("a", 150, prefix), cost("b", 100)], 200, "b"],
        ["the one with the prefix if none is in time", () => [cost("a", 450, prefix), cost("b", 400)], 500, "a"],
        [
            "the fastest of those with the prefix",
            () => [cost("a", 150, prefix), cost("b", 120, prefix), cost("c", 100)],
            500,
            "b",
        ],
        [
            "one within the limit of event gaps",
            () => [cost("a", 100, { exceedsEventGapLimit: true }), cost("b", 300)],
            500,
            "b",
        ],
        ["any rather than none", () => [cost("a", 100, { exceedsEventGapLimit: true })], 500, "a"],
    ])("is %s", (_, costs, remainingMs, expected) => {
        const random = seededRandom(1);
        for (let index = 0; index < 20; index += 1) {
            expect(chooseEngine(costs(remainingMs), remainingMs, random)?.target.name).toBe(expected);
        }
    });

    it("is random among nearly equal ones, weighted by free capacity", () => {
        const random = seededRandom(1);
        const costs = [cost("a", 100), cost("b", 110, { speed: 3 }), cost("c", 200)];
        const chosen = Array.from({ length: 400 }, () => chooseEngine(costs, 500, random)?.target.name);
        const count = (name: string): number => chosen.filter(other => other === name).length;
        expect(count("a")).toBeGreaterThan(60);
        expect(count("b")).toBeGreaterThan(2 * count("a"));
        expect(count("c")).toBe(0);
    });

    it("is none without candidates", () => {
        expect(chooseEngine([], 500, () => 0)).toBeUndefined();
    });

    it("takes less than 100 microseconds for 45 engines", () => {
        vi.useRealTimers();
        const targets = Array.from({ length: 45 }, (_, index) =>
            loadedTarget(`engine-${index}`, { running: index % 9 }),
        );
        const random = seededRandom(1);
        const choose = (): void => void chooseEngine(costsOf(targets), 500, random);
        for (let index = 0; index < 2_000; index += 1) choose();
        // The fastest of several rounds, since other work runs on the machine.
        const rounds = Array.from({ length: 10 }, () => {
            const startedAt = performance.now();
            for (let index = 0; index < 200; index += 1) choose();
            return (performance.now() - startedAt) / 200;
        });
        expect(Math.min(...rounds)).toBeLessThan(0.1);
    });
});

describe("the present pace", () => {
    it.each<[string, KnownTarget, number, number]>([
        ["is as reported", loadedTarget("a", { pace: 2.5 }), 0, 2.5],
        ["is nearer to the usual one after 600 ms", loadedTarget("a", { pace: 2.5 }), 600, 1.75],
        ["is usual after some seconds", loadedTarget("a", { pace: 2.5 }), 6_000, 1],
        ["is usual without the figure", loadedTarget("a", { pace: undefined }), 0, 1],
        ["is usual without a load", idleTarget("a"), 0, 1],
    ])("%s", (_, target, ageMs, expected) => {
        expect(presentPace({ ...target, loadReportedAt: 1_000 }, 1_000 + ageMs)).toBeCloseTo(expected, 1);
    });

    it.each<[string, number | undefined, number, boolean]>([
        ["reported now", 1, 0, true],
        ["reported ten seconds ago", 1, 10_000, true],
        ["reported longer ago", 1, 10_001, false],
        ["not reported", undefined, 0, false],
    ])("counts for the service while it was %s", (_, pace, ageMs, expected) => {
        const target = { ...loadedTarget("a", { pace }), loadReportedAt: 1_000 };
        expect(reportsPace([idleTarget("b"), target], 1_000 + ageMs)).toBe(expected);
    });
});

describe("lasting speeds", () => {
    /** Lets targets have first events whose times follow from their speeds. */
    function learn(estimates: SpeedEstimates, speeds: Readonly<Record<string, number>>, tokensPerMs: number): void {
        for (let index = 0; index < 20; index += 1) {
            for (const [name, speed] of Object.entries(speeds)) {
                const pace = index % 3 === 0 ? 2.5 : 1;
                const [expected] = costsOf([loadedTarget(name, { pace })], { request: { promptParts: [] } });
                vi.advanceTimersByTime(100);
                if (expected === undefined) continue;
                const target = loadedTarget(name, { pace });
                estimates.record({ ...expected, target }, (expected.work.tokens / tokensPerMs) * (pace / speed));
            }
        }
    }

    it.each([[20], [57], [200]])("are found if engines read %d tokens a millisecond", tokensPerMs => {
        const estimates = SpeedEstimates.create();
        learn(estimates, { a: 1, b: 1, c: 0.5, d: 2 }, tokensPerMs);
        const { speedOf, times } = estimates.of("engines");
        expect(speedOf("a").speed).toBeCloseTo(1, 1);
        expect(speedOf("c").speed).toBeLessThan(0.65);
        expect(speedOf("d").speed).toBeGreaterThan(1.6);
        expect(times.tokenMs * tokensPerMs).toBeGreaterThan(0.7);
        expect(times.tokenMs * tokensPerMs).toBeLessThan(1.5);
    });

    it("are uncertain again after a time without first events", () => {
        const estimates = SpeedEstimates.create();
        learn(estimates, { a: 1, b: 1, c: 0.5 }, 57);
        const before = estimates.of("engines").speedOf("c");
        vi.advanceTimersByTime(120_000);
        const after = estimates.of("engines").speedOf("c");
        expect(after.confidence).toBeLessThan(0.1);
        expect(after.speed).toBeGreaterThan(before.speed + 0.2);
    });

    it("stay within bounds whatever is measured", () => {
        const estimates = SpeedEstimates.create();
        learn(estimates, { a: 1, b: 1, c: 0.0001, d: 10_000 }, 57);
        const { speedOf } = estimates.of("engines");
        expect(speedOf("c").speed).toBeGreaterThanOrEqual(0.2);
        expect(speedOf("d").speed).toBeLessThanOrEqual(5);
    });

    it("are not computed again by an explanation", () => {
        const estimates = SpeedEstimates.create();
        learn(estimates, { a: 1, b: 1, c: 0.5 }, 57);
        const before = estimates.of("engines").speedOf("c");
        vi.advanceTimersByTime(30_000);
        for (let index = 0; index < 1_000; index += 1) expect(estimates.lastOf("engines").speedOf("c")).toBe(before);
        expect(estimates.of("engines").speedOf("c").speed).toBeGreaterThan(before.speed);
    });

    it("are forgotten with the target, and have few log lines", () => {
        const lines: unknown[] = [];
        const estimates = SpeedEstimates.create((_, fields) => lines.push(fields));
        learn(estimates, { a: 1, b: 1, c: 0.5 }, 57);
        expect(lines).toContainEqual(expect.objectContaining({ target: "c", before: 1 }));
        expect(lines.length).toBeLessThan(4);
        estimates.forget("c");
        expect(estimates.of("engines").speedOf("c")).toMatchObject({ confidence: 0 });
    });
});

describe("the choice for plain calls", () => {
    it.each<[string, readonly KnownTarget[], string]>([
        ["not the slow one", [loadedTarget("a", { pace: 2.5 }), loadedTarget("b", { running: 6 })], "b"],
        [
            "the slow one if the other is full",
            [loadedTarget("a", { pace: 1.5 }), loadedTarget("b", { running: 16 })],
            "a",
        ],
    ])("is %s", (_, targets, expected) => {
        const reported = targets.map(target => ({ ...target, loadReportedAt: performance.now() }));
        const random = seededRandom(1);
        for (let index = 0; index < 20; index += 1) {
            expect(fastestTarget(reported, "a", random)?.name).toBe(expected);
        }
    });

    it.each([["without the figure", undefined] as const, ["with an old figure", 2] as const])(
        "is the one by constants %s, on the same random numbers",
        (_, pace) => {
            const loadReportedAt = performance.now() - 10_001;
            const targets = Array.from({ length: 9 }, (_, index) => ({
                ...loadedTarget(`t-${index}`, { running: index % 3, pace }),
                loadReportedAt: pace === undefined ? performance.now() : loadReportedAt,
            }));
            const [random, sameRandom] = [seededRandom(7), seededRandom(7)];
            for (let index = 0; index < 200; index += 1) {
                const expected = leastLoadedTarget(targets, "a", sameRandom);
                expect(chooseCallTarget(targets, "a", random)).toBe(expected);
            }
        },
    );

    it("is none without candidates", () => {
        expect(fastestTarget([], "a", () => 0)).toBeUndefined();
    });
});
