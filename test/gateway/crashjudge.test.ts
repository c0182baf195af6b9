/**
 * Which traits crashes are attributed to. A wrong attribution holds harmless requests back, or lets those that crash
 * targets through.
 */
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { type Crash, judgeCrashes } from "../../src/gateway/crashjudge.js";

interface Seen {
    readonly at: number;
    readonly responding?: readonly string[];
    readonly waiting?: readonly string[];
    readonly tried?: readonly string[];
}

function crash({ at, responding = [], waiting = [], tried = [] }: Seen): Crash {
    return { at, responding: new Set(responding), waiting: new Set(waiting), tried: new Set(tried) };
}

function crashesByTrait(crashes: readonly Seen[], served: Readonly<Record<string, number>>): Record<string, number> {
    const { suspicions } = judgeCrashes(crashes.map(crash), new Map(Object.entries(served)));
    return Object.fromEntries([...suspicions].map(([trait, suspicion]) => [trait, suspicion.crashes]));
}

describe("judgeCrashes", () => {
    it.each<{
        name: string;
        crashes: readonly Seen[];
        served?: Readonly<Record<string, number>>;
        expected: Readonly<Record<string, number>>;
    }>([
        {
            name: "counts crashes of all traits that nothing has cleared",
            crashes: [
                { at: 0, responding: ["a", "b"] },
                { at: 200, responding: ["a", "b"] },
            ],
            expected: { a: 2, b: 2 },
        },
        {
            name: "clears a trait that was served after the crashes, and leaves the others",
            crashes: [
                { at: 0, responding: ["a", "b"] },
                { at: 200, responding: ["a", "b"] },
            ],
            served: { a: 300 },
            expected: { b: 2 },
        },
        {
            name: "counts crashes after a trait was last served",
            crashes: [
                { at: 0, responding: ["a"] },
                { at: 200, responding: ["a"] },
            ],
            served: { a: 100 },
            expected: { a: 1 },
        },
        {
            name: "prefers the request that the target had begun to respond to",
            crashes: [{ at: 0, responding: ["a"], waiting: ["b", "c"] }],
            expected: { a: 1 },
        },
        {
            name: "falls back to waiting requests if the responding one is cleared",
            crashes: [{ at: 0, responding: ["a"], waiting: ["b"] }],
            served: { a: 10 },
            expected: { b: 1 },
        },
        {
            name: "prefers the trait that was in more crashes before",
            crashes: [
                { at: 0, responding: ["a"] },
                { at: 200, responding: ["a", "b"] },
                { at: 400, responding: ["b", "a"] },
            ],
            expected: { a: 3 },
        },
        {
            name: "counts targets that crash together with the same waiting requests once",
            crashes: [
                { at: 0, waiting: ["a"] },
                { at: 20, waiting: ["a"] },
                { at: 60, waiting: ["a"] },
            ],
            expected: { a: 1 },
        },
    ])("$name", ({ crashes, served = {}, expected }) => {
        expect(crashesByTrait(crashes, served)).toEqual(expected);
    });

    it("does not depend on the order in which crashes become known", () => {
        const traits = fc.subarray(["a", "b", "c", "d"]);
        const seen = fc.record({ at: fc.nat(5_000), responding: traits, waiting: traits, tried: traits });
        const distinct = fc.uniqueArray(seen, { selector: ({ at }) => at, maxLength: 8 });
        const served = fc.dictionary(fc.constantFrom("a", "b", "c", "d"), fc.nat(5_000));
        fc.assert(
            fc.property(distinct, served, (crashes, servedAt) => {
                expect(crashesByTrait([...crashes].reverse(), servedAt)).toEqual(crashesByTrait(crashes, servedAt));
            }),
            { seed: 22, numRuns: 300 },
        );
    });
});
