/**
 * Crashes with more traits than are kept. The trait that crashes targets must not be given up because of its place in a
 * prompt or the order in which requests broke, and what is kept and sent must stay within its limits.
 */
import fc from "fast-check";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { z } from "zod";
import { CrashRecords } from "../../src/gateway/crashrecords.js";
import { Suspects } from "../../src/gateway/suspects.js";
import type { Target } from "../../src/gateway/target.js";

/** Crashes after which a part is to be known. */
const CRASHES_TO_RECOGNISE = 5;

/** Largest message in bytes that another gateway reads. */
const MAXIMUM_MESSAGE_BYTES = 1_048_576;

/** Time in milliseconds between crashes. */
const GAP_MS = 300;

beforeEach(() => {
    vi.useFakeTimers();
});
afterEach(() => {
    vi.useRealTimers();
});

function target(id: string): Target {
    return { name: id, registration: { id, incarnation: 1 } } as Target;
}

function parts(count: number, prefix: string): string[] {
    return Array.from({ length: count }, (_, index) => `part ${prefix}-${index}`);
}

interface CrashCase {
    readonly name: string;
    readonly sharedParts: number;
    readonly position: number;
    /** Number of sound requests at each crash, and of the parts that nobody else has in each. */
    readonly soundRequests: number;
    readonly ownParts: number;
}

describe("a deadly part", () => {
    it.each<CrashCase>([
        { name: "the first of 98", sharedParts: 98, position: 0, soundRequests: 2, ownParts: 0 },
        { name: "the 89th of 98", sharedParts: 98, position: 88, soundRequests: 2, ownParts: 0 },
        { name: "the 89th of 98, with many requests", sharedParts: 98, position: 88, soundRequests: 10, ownParts: 90 },
        { name: "the last of 250", sharedParts: 250, position: 249, soundRequests: 2, ownParts: 1 },
        { name: "the 1,500th of 2,000", sharedParts: 2_000, position: 1_499, soundRequests: 3, ownParts: 10 },
        { name: "one of 3, with more parts of others", sharedParts: 3, position: 1, soundRequests: 32, ownParts: 90 },
    ])("is suspected, and no other, when it is $name", ({ sharedParts, position, soundRequests, ownParts }) => {
        const suspects = Suspects.create("gateway-0");
        const shared = parts(sharedParts, "shared");
        const deadly = shared.map((part, index) => (index === position ? "part deadly" : part));
        for (let crash = 0; crash < CRASHES_TO_RECOGNISE; crash += 1) {
            const broken = Array.from({ length: soundRequests }, (_, index) => [
                ...shared,
                ...parts(ownParts, `own-${crash}-${index}`),
                `content sound-${crash}-${index}`,
            ]);
            for (const traits of [...broken, [...deadly, `content deadly-${crash}`]]) {
                suspects.recordCrash(target(`t${crash}`), { traits, isFirstCrash: true, ageMs: 50, tried: [] });
            }
            vi.advanceTimersByTime(GAP_MS);
        }
        expect(suspects.admission(() => [...deadly, "content later"])).toEqual({
            kind: "trial",
            traits: ["part deadly"],
        });
        expect(suspects.admission(() => [...shared, "content later"])).toEqual({ kind: "admitted" });
    });
});

describe("crashes with more traits than are kept", () => {
    const CRASHES = 80;
    const REQUESTS = 3;

    /** Crashes with thousands of parts each, all of them different, at gateways that hear of them in turn. */
    function hostileCrashes(records: readonly CrashRecords[]): void {
        for (let crash = 0; crash < CRASHES; crash += 1) {
            for (let index = 0; index < REQUESTS; index += 1) {
                const traits = parts(1_500, `${crash}-${index}-${"0".repeat(20)}`);
                const request = { traits, isFirstCrash: true, ageMs: 50, tried: index === 0 ? traits : [] };
                records[(crash + index) % records.length]?.recordCrash(`t${crash} 1`, request);
            }
            vi.advanceTimersByTime(GAP_MS);
        }
    }

    it("are kept within the limits, and what is dropped is told", () => {
        const dropped = vi.fn<(target: string) => void>();
        const records = CrashRecords.create("gateway-0", dropped);
        hostileCrashes([records]);
        records.tidy();
        const kept = records.crashes.map(({ requests }) => requests.size);
        expect(kept).toHaveLength(64);
        expect(Math.max(...kept)).toBeLessThan(2_000);
        expect(Math.max(...kept.slice(0, -4))).toBeLessThan(130);
        expect(JSON.stringify(records.news()).length).toBeLessThan(MAXIMUM_MESSAGE_BYTES);
        const last = kept.at(-1) ?? 0;
        expect(last).toBeGreaterThan(1_000);
        expect(dropped).toHaveBeenCalledWith("t79 1", { dropped: 3 * 1_500 - last, kept: last });
    });

    it("are the same at all gateways once they have exchanged what they know", () => {
        const gateways = [0, 1, 2].map(index => CrashRecords.create(`gateway-${index}`));
        hostileCrashes(gateways);
        for (let round = 0; round < 3; round += 1) {
            for (const from of gateways) {
                for (const to of gateways) {
                    from.tidy();
                    expect(to.merge(JSON.parse(JSON.stringify(from.news())))).toBeDefined();
                    to.tidy();
                }
            }
        }
        expect(new Set(gateways.map(records => records.digest())).size).toBe(1);
    });

    it("keep the traits that were at several crashes longest", () => {
        const records = CrashRecords.create("gateway-0");
        for (let crash = 0; crash < 20; crash += 1) {
            const traits = [...parts(1_000, `own-${crash}`), "part repeated"];
            records.recordCrash(`t${crash} 1`, { traits, isFirstCrash: true, ageMs: 50, tried: [] });
            vi.advanceTimersByTime(GAP_MS);
        }
        records.tidy();
        expect(records.crashes.map(({ requests }) => requests.has("part repeated"))).toEqual(
            Array.from({ length: 20 }, () => true),
        );
    });
});

describe("news of crashes", () => {
    const CRASHES = 3;
    const REPORTERS = 10;

    /** Crashes at which requests of all gateways share their parts, as one gateway knows them. */
    function sharedCrashes(): CrashRecords {
        const gateways = Array.from({ length: REPORTERS }, (_, index) => CrashRecords.create(`gateway-${index}`));
        for (let crash = 0; crash < CRASHES; crash += 1) {
            for (const records of gateways) {
                const request = { traits: parts(98, "shared"), isFirstCrash: true, ageMs: 50, tried: [] };
                records.recordCrash(`t${crash} 1`, request);
                gateways[0]?.merge(records.news());
            }
            vi.advanceTimersByTime(GAP_MS);
        }
        return gateways[0] as CrashRecords;
    }

    it("names each trait once beside the lists for earlier versions, however many gateways report it", () => {
        const text = JSON.stringify(sharedCrashes().news());
        expect(text.split('"part shared-7"').length - 1).toBeLessThanOrEqual(1 + CRASHES);
    });

    it("is taken over or rejected without an exception, whatever it has", () => {
        const odd = fc.oneof(fc.integer(), fc.double(), fc.string(), fc.constant(null), fc.constant("__proto__"));
        const numbers = fc.array(fc.oneof(fc.integer({ min: -2, max: 5 }), odd), { maxLength: 4 });
        const key = fc.oneof(fc.constantFrom("1 10", "0 5", "-1 3", "x", "__proto__", "1"), fc.string());
        const reports = fc.dictionary(key, fc.dictionary(key, numbers));
        const trials = fc.array(fc.record({ traits: numbers, ageMs: fc.oneof(fc.integer(), odd) }), { maxLength: 3 });
        const traits = fc.array(fc.oneof(fc.string(), odd), { maxLength: 4 });
        const crash = fc.record(
            { target: odd, ageMs: odd, responding: traits, waiting: traits, tried: traits, reports, trials },
            { requiredKeys: ["target"] },
        );
        const news = fc.record({ traits, crashes: fc.array(crash, { maxLength: 3 }), served: fc.array(fc.anything()) });
        fc.assert(
            fc.property(fc.oneof(news, fc.anything()), encoded => {
                const suspects = Suspects.create("gateway-0");
                expect(typeof suspects.merge(encoded)).toBe("boolean");
                suspects.admission(() => ["part a"]);
                expect(Suspects.create("gateway-1").merge(JSON.parse(JSON.stringify(suspects.news())))).toBe(true);
            }),
            { seed: 19, numRuns: 2_000 },
        );
    });

    it("is limited to what has changed when a few gateways are told of it at once", () => {
        const records = sharedCrashes();
        vi.advanceTimersByTime(5_000);
        expect(records.news(1_000)).toMatchObject({ crashes: [], served: [] });
        records.recordCrash("later 1", { traits: ["part later"], isFirstCrash: true, ageMs: 50, tried: [] });
        expect(records.news(1_000)).toMatchObject({ crashes: [{ target: "later 1" }], traits: ["part later"] });
        expect(records.news()).toMatchObject({ crashes: { length: CRASHES + 1 } });
    });
});

describe("news during a roll-out of gateways", () => {
    // What the version before counted requests reads; a message beyond it is rejected whole.
    const traits = z.array(z.string().max(128)).max(64);
    const earlierNews = z.object({
        crashes: z
            .array(
                z.object({ target: z.string(), ageMs: z.number(), responding: traits, waiting: traits, tried: traits }),
            )
            .max(64),
        served: z.array(z.object({ trait: z.string(), ageMs: z.number() })).max(8_192),
    });

    it("can be read by an earlier version, with the traits that tell most", () => {
        const records = CrashRecords.create("gateway-0");
        for (const id of ["t1 1", "t2 1"]) {
            const request = { isFirstCrash: true, ageMs: 50, tried: parts(80, "shared") };
            records.recordCrash(id, { ...request, traits: [...parts(100, `own-${id}`), "part repeated"] });
            vi.advanceTimersByTime(GAP_MS);
        }
        const { crashes } = earlierNews.parse(records.news());
        for (const { responding } of crashes) expect(responding).toContain("part repeated");
    });

    it.each([
        { name: "responding", lists: { responding: ["part deadly"], waiting: [] } },
        { name: "waiting", lists: { responding: [], waiting: ["part deadly"] } },
    ])("from an earlier version makes traits suspect that were $name", ({ lists }) => {
        const suspects = Suspects.create("gateway-0");
        const crashes = [400, 100].map((ageMs, index) => ({ target: `t${index} 1`, ageMs, ...lists, tried: [] }));
        expect(suspects.merge({ crashes, served: [] })).toBe(true);
        expect(suspects.admission(() => ["part deadly"])).toEqual({ kind: "trial", traits: ["part deadly"] });
    });
});
