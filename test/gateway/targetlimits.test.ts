/**
 * Limits that targets name: how they are divided among gateways, and how gateways learn of them from each other. Parts that
 * add up to more than the limit, or a limit that a gateway never learns has ended, are the failures.
 */
import fc from "fast-check";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { partOfLimit, TargetLimits } from "../../src/gateway/targetlimits.js";
import type { Target, TargetRegistration } from "../../src/gateway/target.js";
import { TargetDirectory } from "../../src/gateway/targetdirectory.js";
import { TokenBucket, waitForTokensMs } from "../../src/routing/index.js";

beforeEach(() => {
    vi.useFakeTimers();
});
afterEach(() => {
    vi.useRealTimers();
});

function target(id: string, incarnation = 1): TargetRegistration {
    return { id, incarnation } as TargetRegistration;
}

describe("partOfLimit", () => {
    const names = fc.uniqueArray(fc.string({ minLength: 1, maxLength: 6 }), { minLength: 1, maxLength: 40 });

    it("gives parts that add up to the limit, none of which is tiny", () => {
        fc.assert(
            fc.property(names, fc.double({ min: 0.1, max: 200, noNaN: true }), (gateways, limit) => {
                const parts = gateways.map(self =>
                    partOfLimit(
                        "target",
                        limit,
                        self,
                        gateways.filter(other => other !== self),
                    ),
                );
                expect(parts.reduce((sum, part) => sum + part, 0)).toBeCloseTo(limit, 6);
                const used = parts.filter(part => part > 0);
                if (used.length > 1) expect(Math.min(...used)).toBeGreaterThanOrEqual(0.5);
            }),
            { seed: 22, numRuns: 300 },
        );
    });

    it("gives parts of several targets to different gateways", () => {
        const gateways = Array.from({ length: 20 }, (_, index) => `gateway-${index}`);
        const targets = Array.from({ length: 40 }, (_, index) => `target-${index}`);
        const withPart = gateways.filter(self =>
            targets.some(
                id =>
                    partOfLimit(
                        id,
                        1,
                        self,
                        gateways.filter(other => other !== self),
                    ) > 0,
            ),
        );
        expect(withPart.length).toBeGreaterThan(15);
    });
});

describe("TargetLimits", () => {
    it("holds the limit that the last response named", () => {
        const limits = TargetLimits.create();
        expect(limits.perSecond(target("t"))).toBeUndefined();
        limits.observe(target("t"), 2);
        expect(limits.perSecond(target("t"))).toBe(2);
        limits.observe(target("t"), 3);
        expect(limits.perSecond(target("t"))).toBe(3);
        limits.observe(target("t"), undefined);
        expect(limits.perSecond(target("t"))).toBeUndefined();
    });

    it("is logged under the id of its target", () => {
        const changes: (readonly [string, number | undefined])[] = [];
        const limits = TargetLimits.create(undefined, (...change) => changes.push(change));
        limits.observe(target("t"), 2);
        limits.observe(target("t"), undefined);
        expect(changes).toEqual([
            ["t", 2],
            ["t", undefined],
        ]);
    });

    it("does not hold the limit of an earlier start of a target", () => {
        const limits = TargetLimits.create();
        limits.observe(target("t"), 2);
        expect(limits.perSecond(target("t", 2))).toBeUndefined();
    });

    it("forgets a limit that no response has confirmed for a minute", () => {
        const limits = TargetLimits.create();
        limits.observe(target("t"), 2);
        vi.advanceTimersByTime(61_000);
        expect(limits.perSecond(target("t"))).toBeUndefined();
    });

    it("is told of by other gateways, also that it has ended", () => {
        const [first, second] = [TargetLimits.create(), TargetLimits.create()];
        first.observe(target("t"), 2);
        vi.advanceTimersByTime(50);
        expect(second.merge(first.news())).toBe(true);
        expect(second.perSecond(target("t"))).toBe(2);
        vi.advanceTimersByTime(1_000);
        first.observe(target("t"), undefined);
        vi.advanceTimersByTime(50);
        second.merge(first.news());
        expect(second.perSecond(target("t"))).toBeUndefined();
        // What the second gateway knew before does not bring the limit back.
        first.merge(second.news());
        expect(first.perSecond(target("t"))).toBeUndefined();
    });

    it("is confirmed to gateways that send nothing to the target", () => {
        const [first, second] = [TargetLimits.create(), TargetLimits.create()];
        for (let round = 0; round < 9; round += 1) {
            first.observe(target("t"), 2);
            vi.advanceTimersByTime(10);
            second.merge(first.news());
            vi.advanceTimersByTime(10_000);
        }
        expect(second.perSecond(target("t"))).toBe(2);
    });

    it.each([{ news: undefined }, { news: {} }, { news: [{ id: "t", incarnation: 1, perSecond: -1, ageMs: 0 }] }])(
        "does not take over malformed news: $news",
        ({ news }) => {
            expect(TargetLimits.create().merge(news)).toBe(false);
        },
    );
});

/** A directory of targets; the first ones name limits. */
function directoryWith(
    targetCount: number,
    limitedCount: number,
    onLimit: (target: Target, perSecond: number | undefined) => void = () => undefined,
): TargetDirectory {
    const limited = new Set(Array.from({ length: limitedCount }, (_, index) => `t${index}`));
    const limitPartOf = ({ name }: Target): number | undefined => (limited.has(name) ? 1 : undefined);
    const directory = TargetDirectory.create(
        () => undefined,
        () => 1,
        () => undefined,
        { limitPartOf, onLimit },
    );
    for (let index = 0; index < targetCount; index += 1) {
        directory.put({
            id: `t${index}`,
            incarnation: 1,
            service: "engines",
            address: `127.0.0.1:${1_000 + index}`,
            zone: "east",
            version: "v1",
            slots: 8,
            state: "available",
            coldRemainingMs: 0,
        });
    }
    return directory;
}

describe("a target without a limit", () => {
    // It takes the load that the others may not get, so it is slower than they are.
    it.each([
        { others: "all others name limits", limitedCount: 2, slow: "t2", isEjected: false },
        { others: "another one names none and is fast", limitedCount: 1, slow: "t2", isEjected: true },
    ])("is compared with others without a limit: $others", ({ limitedCount, slow, isEjected }) => {
        const directory = directoryWith(3, limitedCount);
        for (let answer = 0; answer < 30; answer += 1) {
            for (const target of directory.working("engines")) {
                directory.recordSuccess(target, target.name === slow ? 2 : 0.2);
            }
        }
        const names = directory.working("engines").map(({ name }) => name);
        expect(names.includes(slow)).toBe(!isEjected);
    });
});

describe("a response", () => {
    it.each([
        { from: "the target", wrongTarget: false, limits: [3] },
        { from: "another target that has its address now", wrongTarget: true, limits: [] },
    ])("of $from speaks for the target's limit or not", ({ wrongTarget, limits }) => {
        const seen: (number | undefined)[] = [];
        const directory = directoryWith(1, 0, (_, perSecond) => seen.push(perSecond));
        const [target] = directory.working("engines");
        if (target !== undefined) {
            directory.recordReport(target, {
                load: undefined,
                limitPerSecond: 3,
                wrongTarget,
                isLeaving: false,
                pause: undefined,
            });
        }
        expect(seen).toEqual(limits);
    });
});

describe("waitForTokensMs", () => {
    it.each([
        { rates: [1], taken: [1], count: 1, expected: 1_000 },
        { rates: [1], taken: [0], count: 1, expected: 0 },
        { rates: [1, 1], taken: [1, 1], count: 1, expected: 1_000 },
        { rates: [2, 1], taken: [1, 1], count: 3, expected: 1_000 },
        { rates: [0, 1], taken: [1, 1], count: 2, expected: 2_000 },
        { rates: [0], taken: [1], count: 1, expected: Number.POSITIVE_INFINITY },
    ])("is $expected for $count tokens at rates $rates", ({ rates, taken, count, expected }) => {
        const buckets = rates.map((perSecond, index) => {
            const bucket = TokenBucket.create({ perSecond, capacity: 1 });
            for (let take = 0; take < (taken[index] ?? 0); take += 1) bucket.take();
            return bucket;
        });
        expect(waitForTokensMs(buckets, count)).toBe(expected);
    });
});
