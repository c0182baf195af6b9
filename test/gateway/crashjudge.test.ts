/**
 * Which traits crashes are attributed to. A wrong attribution holds harmless requests back, or lets those that crash
 * targets through.
 */
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import type { Crash, TraitRequests } from "../../src/gateway/crashfrequency.js";
import { judgeCrashes } from "../../src/gateway/crashjudge.js";

/** A crash at a time in milliseconds, with the traits of each request at its target. */
interface Seen {
    readonly at: number;
    readonly requests: readonly SeenRequest[];
}

interface SeenRequest {
    readonly traits: readonly string[];
    readonly ageMs?: number;
    readonly wasAtCrash?: boolean;
    readonly isOnTrial?: boolean;
}

function request(...traits: readonly string[]): SeenRequest {
    return { traits };
}

function times<Value>(count: number, value: (index: number) => Value): readonly Value[] {
    return Array.from({ length: count }, (_, index) => value(index));
}

function crash({ at, requests }: Seen): Crash {
    const byTrait = new Map<string, TraitRequests>();
    for (const { traits, ageMs = 10, wasAtCrash = false } of requests) {
        for (const trait of traits) {
            const { count, oldestMs } = byTrait.get(trait) ?? { count: 0, oldestMs: 0 };
            byTrait.set(trait, { count: count + Number(!wasAtCrash), oldestMs: Math.max(oldestMs, ageMs) });
        }
    }
    const trials = requests.flatMap(({ traits, ageMs = 10, isOnTrial }) => (isOnTrial ? [{ traits, ageMs }] : []));
    return { at, requests: byTrait, trials };
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
            name: "suspects all traits of two crashes that nothing has cleared",
            crashes: [
                { at: 0, requests: [request("a", "b")] },
                { at: 200, requests: [request("a", "b")] },
            ],
            expected: { a: 2, b: 2 },
        },
        {
            name: "clears a trait that was served after the crashes, and leaves the others",
            crashes: [
                { at: 0, requests: [request("a", "b")] },
                { at: 200, requests: [request("a", "b")] },
            ],
            served: { a: 300 },
            expected: { b: 2 },
        },
        {
            name: "counts crashes after a trait was last served",
            crashes: [
                { at: 0, requests: [request("a")] },
                { at: 200, requests: [request("a")] },
            ],
            served: { a: 100 },
            expected: {},
        },
        {
            name: "prefers the trait of one request at each crash to one of many",
            crashes: times(3, index => ({
                at: index * 200,
                requests: [request("deadly", "common"), ...times(3, each => request("common", `own-${index}-${each}`))],
            })),
            expected: { deadly: 3 },
        },
        {
            name: "falls back to the trait of many requests if the other one is cleared",
            crashes: times(2, index => ({
                at: index * 200,
                requests: [request("rare", "common"), request("common"), request("common")],
            })),
            served: { rare: 300 },
            expected: { common: 2 },
        },
        {
            name: "prefers the trait that was at more crashes",
            crashes: [
                { at: 0, requests: [request("a")] },
                { at: 200, requests: [request("a", "b")] },
                { at: 400, requests: [request("a", "b")] },
            ],
            expected: { a: 3 },
        },
        {
            name: "finds a trait that one of the crashes was not reported with",
            crashes: times(4, index => ({
                at: index * 200,
                requests: [...times(4, () => request("common")), ...(index === 0 ? [] : [request("deadly", "common")])],
            })),
            expected: { deadly: 3 },
        },
        {
            name: "counts targets that crash together with requests that were in progress once",
            crashes: times(3, index => ({ at: index * 20, requests: [{ traits: ["a"], ageMs: 500 }] })),
            expected: {},
        },
        {
            name: "counts crashes at the same time separately if each request was sent after the crash before",
            crashes: times(2, index => ({ at: index * 50, requests: [{ traits: ["a"], ageMs: 20 }] })),
            expected: { a: 2 },
        },
        {
            name: "suspects a request that goes on at another target, which crashes as well",
            crashes: [
                { at: 0, requests: [request("a")] },
                { at: 200, requests: [{ traits: ["a"], wasAtCrash: true }] },
            ],
            expected: { a: 2 },
        },
        {
            name: "prefers the trait of several requests to that of one that goes on",
            crashes: times(3, index => ({
                at: index * 200,
                requests: [
                    ...times(2, () => request("deadly", "common")),
                    ...times(3, () => request("common")),
                    { traits: ["own", "common"], wasAtCrash: index === 1 },
                ].slice(0, index === 2 ? 5 : 6),
            })),
            expected: { deadly: 3 },
        },
    ])("$name", ({ crashes, served = {}, expected }) => {
        expect(crashesByTrait(crashes, served)).toEqual(expected);
    });

    const tried = (...traits: readonly string[]): SeenRequest => ({ traits, isOnTrial: true });
    const twice = times(2, index => ({ at: index * 200, requests: [request("a", "b"), request("c")] }));
    it.each<{ name: string; last: readonly Seen[]; served?: Readonly<Record<string, number>>; expected: unknown }>([
        {
            name: "requests with all traits of one that was alone at the target are blocked for long",
            last: [{ at: 400, requests: [tried("a", "b")] }],
            expected: [{ traits: ["a", "b"], until: 60_400 }],
        },
        {
            name: "requests like it are blocked for a short time if another one may be the cause",
            last: [{ at: 400, requests: [tried("a", "b"), request("c")] }],
            expected: [{ traits: ["a", "b"], until: 5_400 }],
        },
        {
            name: "requests like it are blocked for long once the other one was served",
            last: [{ at: 400, requests: [tried("a", "b"), request("c")] }],
            served: { c: 500 },
            expected: [{ traits: ["a", "b"], until: 60_400 }],
        },
        {
            name: "requests like it are blocked for longer if another one was at fewer crashes",
            last: [
                { at: 400, requests: [request("a", "b")] },
                { at: 600, requests: [request("a", "b")] },
                { at: 800, requests: [tried("a", "b"), request("c")] },
            ],
            expected: [{ traits: ["a", "b"], until: 15_800 }],
        },
        {
            name: "traits that only the tried request has are left out",
            last: [
                { at: 400, requests: [request("own")] },
                { at: 600, requests: [{ traits: ["a", "b", "own"], isOnTrial: true, wasAtCrash: true }] },
            ],
            expected: [{ traits: ["a", "b"], until: 60_600 }],
        },
        {
            name: "only one of two kinds is blocked if both were on trial",
            last: [{ at: 400, requests: [tried("a", "b"), tried("c")] }],
            expected: [{ traits: ["a", "b"], until: 5_400 }],
        },
        {
            name: "nothing is blocked if another target crashes meanwhile without a trial",
            last: [
                { at: 400, requests: [tried("a", "b")] },
                { at: 420, requests: [{ traits: ["d"], ageMs: 500 }] },
            ],
            expected: [],
        },
    ])("after a failed trial, $name", ({ last, served = {}, expected }) => {
        const { blocks } = judgeCrashes([...twice, ...last].map(crash), new Map(Object.entries(served)));
        expect(blocks).toEqual(expected);
    });

    it("does not depend on the order in which crashes become known", () => {
        const traits = fc.subarray(["a", "b", "c", "d"], { minLength: 1 });
        const seenRequest = fc.record({
            traits,
            ageMs: fc.nat(300),
            wasAtCrash: fc.boolean(),
            isOnTrial: fc.boolean(),
        });
        const seen = fc.record({ at: fc.nat(5_000), requests: fc.array(seenRequest, { maxLength: 4 }) });
        const distinct = fc.uniqueArray(seen, { selector: ({ at }) => at, maxLength: 8 });
        const served = fc.dictionary(fc.constantFrom("a", "b", "c", "d"), fc.nat(5_000));
        fc.assert(
            fc.property(distinct, served, (crashes, servedAt) => {
                const at = new Map(Object.entries(servedAt));
                const verdict = judgeCrashes(crashes.map(crash), at);
                expect(judgeCrashes([...crashes].reverse().map(crash), at)).toEqual(verdict);
            }),
            { seed: 22, numRuns: 300 },
        );
    });
});
