/**
 * Which requests are held back after crashes, for how long, and whether gateways that exchange what they know agree.
 */
import fc from "fast-check";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { Suspects } from "../../src/gateway/suspects.js";
import type { Target } from "../../src/gateway/target.js";

beforeEach(() => {
    vi.useFakeTimers();
});
afterEach(() => {
    vi.useRealTimers();
});

function target(id: string, incarnation = 1): Target {
    return { name: id, registration: { id, incarnation } } as Target;
}

function crash(suspects: Suspects, id: string, traits: readonly string[], tried: readonly string[] = []): void {
    suspects.recordCrash(target(id), { traits, isFirstCrash: true, ageMs: 10, tried });
}

/** Time in milliseconds after which a crash does not count as one at the same time. */
const SEPARATE_MS = 200;

/** Two crashes, one after the other, with a request with these traits. */
function crashTwice(suspects: Suspects, traits: readonly string[]): void {
    for (const id of ["t1", "t2"]) {
        crash(suspects, id, traits);
        vi.advanceTimersByTime(SEPARATE_MS);
    }
}

describe("Suspects", () => {
    it("admits requests after one crash, and tries them after two", () => {
        const suspects = Suspects.create("gateway-0");
        crash(suspects, "t1", ["a"]);
        expect(suspects.admission(() => ["a"])).toEqual({ kind: "admitted" });
        vi.advanceTimersByTime(200);
        crash(suspects, "t2", ["a"]);
        expect(suspects.admission(() => ["a"])).toEqual({ kind: "trial", traits: ["a"] });
        expect(suspects.admission(() => ["b"])).toEqual({ kind: "admitted" });
    });

    it("counts one crash that several requests and gateways report once", () => {
        const [first, second] = [Suspects.create("gateway-0"), Suspects.create("gateway-1")];
        crash(first, "t1", ["a"]);
        crash(first, "t1", ["a"]);
        crash(second, "t1", ["a"]);
        vi.advanceTimersByTime(30);
        first.merge(second.news());
        expect(first.admission(() => ["a"])).toEqual({ kind: "admitted" });
    });

    it("has one trial at a time", () => {
        const suspects = Suspects.create("gateway-0");
        expect(suspects.startTrial(["a", "b"])).toBe(true);
        expect(suspects.startTrial(["b"])).toBe(false);
        suspects.endTrial(["a", "b"]);
        expect(suspects.startTrial(["b"])).toBe(true);
    });

    it.each([
        { failedTrials: 1, refusedMs: 59_000, triedMs: 61_000 },
        { failedTrials: 2, refusedMs: 599_000, triedMs: 601_000 },
    ])("refuses a trait after $failedTrials failed trials for a time", ({ failedTrials, refusedMs, triedMs }) => {
        const suspects = Suspects.create("gateway-0");
        for (let index = 0; index < 2 + failedTrials; index += 1) {
            crash(suspects, `t${index}`, ["a"], index < 2 ? [] : ["a"]);
            vi.advanceTimersByTime(200);
        }
        vi.advanceTimersByTime(refusedMs - 200);
        expect(suspects.admission(() => ["a", "b"])).toMatchObject({ kind: "refused", trait: "a" });
        vi.advanceTimersByTime(triedMs - refusedMs);
        expect(suspects.admission(() => ["a", "b"]).kind).toBe("trial");
    });

    it("lets requests with some of the traits of a crash show which are harmless", () => {
        const suspects = Suspects.create("gateway-0");
        crashTwice(suspects, ["first", "deadly"]);
        const both = { kind: "trial", traits: ["first", "deadly"] } as const;
        expect(suspects.admission(() => ["first", "deadly"])).toEqual(both);
        crash(suspects, "t3", ["first", "deadly"], both.traits);
        expect(suspects.admission(() => ["first", "deadly"])).toMatchObject({ kind: "refused" });
        expect(suspects.admission(() => ["first", "other"])).toMatchObject({ kind: "trial", traits: ["first"] });
        vi.advanceTimersByTime(10);
        suspects.recordServed(() => ["first", "other"]);
        expect(suspects.admission(() => ["first", "other"])).toEqual({ kind: "admitted" });
        expect(suspects.admission(() => ["deadly", "other"])).toMatchObject({ kind: "refused", trait: "deadly" });
    });

    it("blocks a trait for a short time only while another one may be the cause", () => {
        const suspects = Suspects.create("gateway-0");
        // The request on trial and a sound one are at each crash, and nothing else tells them apart.
        for (const id of ["t1", "t2", "t3"]) {
            crash(suspects, id, ["deadly"], id === "t3" ? ["deadly"] : []);
            crash(suspects, id, ["sound"]);
            vi.advanceTimersByTime(SEPARATE_MS);
        }
        expect(suspects.admission(() => ["deadly"])).toMatchObject({ kind: "refused" });
        expect(suspects.admission(() => ["sound"])).toMatchObject({ kind: "trial" });
        vi.advanceTimersByTime(6_000);
        expect(suspects.admission(() => ["deadly"])).toMatchObject({ kind: "trial" });
        suspects.recordServed(() => ["sound"]);
        expect(suspects.admission(() => ["sound"])).toEqual({ kind: "admitted" });
        expect(suspects.admission(() => ["deadly"])).toMatchObject({ kind: "refused" });
    });

    it("tries one request at a time while no other request tells its traits apart", () => {
        const suspects = Suspects.create("gateway-0");
        crashTwice(suspects, ["a", "b"]);
        expect(suspects.admission(() => ["a", "b"])).toEqual({ kind: "trial", traits: ["a", "b"] });
        expect(suspects.startTrial(["a", "b"])).toBe(true);
        expect(suspects.startTrial(["a", "b"])).toBe(false);
    });

    it("has another digest after each change, and the same one as time passes", () => {
        const suspects = Suspects.create("gateway-0");
        const changes = [
            () => crash(suspects, "t1", ["a", "b"]),
            () => suspects.recordServed(() => ["a"]),
            () => crash(suspects, "t2", ["a", "b"]),
            () => suspects.recordServed(() => ["a"]),
            () => crash(suspects, "t3", ["b"], ["b"]),
        ];
        const digests = [suspects.digest()];
        for (const change of changes) {
            change();
            digests.push(suspects.digest());
            vi.advanceTimersByTime(5_000);
            expect(suspects.digest()).toBe(digests.at(-1));
        }
        expect(new Set(digests).size).toBe(digests.length);
    });

    it("forgets crashes", () => {
        const suspects = Suspects.create("gateway-0");
        crashTwice(suspects, ["a"]);
        vi.advanceTimersByTime(901_000);
        expect(suspects.admission(() => ["a"])).toEqual({ kind: "admitted" });
        expect(suspects.isEmpty).toBe(true);
    });

    it.each([
        { news: undefined },
        { news: {} },
        { news: { crashes: [{ target: 1 }], served: [] } },
        { news: { crashes: [], served: [{ trait: "a" }] } },
    ])("does not take over malformed news: $news", ({ news }) => {
        expect(Suspects.create("gateway-0").merge(news)).toBe(false);
    });

    it("reaches the same judgement at all gateways, in whatever order news arrives", () => {
        const trait = fc.constantFrom("a", "b", "c");
        const step = fc.record({
            gateway: fc.nat(2),
            crashes: fc.boolean(),
            target: fc.nat(5),
            traits: fc.uniqueArray(trait, { minLength: 1 }),
            exchangeWith: fc.nat(2),
        });
        fc.assert(
            fc.property(fc.array(step, { maxLength: 12 }), steps => {
                const gateways = [0, 1, 2].map(index => Suspects.create(`gateway-${index}`));
                for (const { gateway, crashes, target: number, traits, exchangeWith } of steps) {
                    const suspects = gateways[gateway] as Suspects;
                    if (crashes) crash(suspects, `t${number}`, traits);
                    else suspects.recordServed(() => traits);
                    (gateways[exchangeWith] as Suspects).merge(suspects.news());
                    vi.advanceTimersByTime(5_000);
                }
                for (let round = 0; round < 3; round += 1) {
                    for (const from of gateways) for (const to of gateways) to.merge(from.news());
                }
                expect(new Set(gateways.map(suspects => suspects.digest())).size).toBe(1);
                for (const traits of [["a"], ["b"], ["c"]]) {
                    const [kind, ...others] = gateways.map(suspects => suspects.admission(() => traits).kind);
                    for (const other of others) expect(other).toBe(kind);
                }
            }),
            { seed: 22, numRuns: 200 },
        );
    });
});
