/** Checks the arithmetic of the load cases: arrivals, the attainment bound and the summary. */
import { describe, expect, it } from "vitest";
import { drawArrivals } from "../../src/bench/arrivals.js";
import { attainmentBound, lostWeight } from "../../src/bench/bound.js";
import { commonBudget, deployments, kindCost } from "../../src/bench/deployment.js";
import { hasFaults, isFalselyRefused, type RequestRecord, shareExceeded, summarise } from "../../src/bench/summary.js";

const deployment = deployments["k"];
if (deployment === undefined) throw new Error("no deployment k");

const BOOKING = 3;

function record(fields: Partial<RequestRecord> = {}): RequestRecord {
    return {
        id: "r",
        account: "large-1",
        kind: 0,
        at: 0,
        submissions: 1,
        outcome: "done",
        reason: "",
        duration: 500,
        firstToken: 200,
        tokenGaps: [12],
        whole: true,
        crossed: false,
        runs: 4,
        keyRuns: 0,
        ...fields,
    };
}

const totals = { costByStage: {}, extraRuns: 0, coldOverrun: 0, coldOverrunAfterNotice: 0, startsInZoneOut: 0 };

describe("arrivals", () => {
    const options = { deployment, seed: 1, from: -1_000, until: 9_000 };

    it("are equal for equal seeds and differ otherwise, so that a run can be repeated", () => {
        expect(drawArrivals(options)).toEqual(drawArrivals(options));
        expect(drawArrivals(options)).not.toEqual(drawArrivals({ ...options, seed: 2 }));
    });

    it("keep the mean rate, the order and distinct ids, so that the offered load is the one that is stated", () => {
        const arrivals = drawArrivals({ ...options, until: 99_000 });
        expect(arrivals.length / 100).toBeGreaterThan(deployment.requestsPerSecond * 0.9);
        expect(arrivals.length / 100).toBeLessThan(deployment.requestsPerSecond * 1.1);
        expect(new Set(arrivals.map(arrival => arrival.id)).size).toBe(arrivals.length);
        expect(arrivals.every((arrival, index) => index === 0 || arrival.at >= (arrivals[index - 1]?.at ?? 0))).toBe(
            true,
        );
    });

    it("follow a change of one account's rate and leave the others as they are", () => {
        const change = { account: "small-1", from: 0, until: 9_000, factor: 16 };
        const [plain, changed] = [drawArrivals(options), drawArrivals({ ...options, rateChanges: [change] })];
        const others = (arrivals: typeof plain) => arrivals.filter(arrival => arrival.account !== "small-1");
        expect(others(changed)).toEqual(others(plain));
        const own = changed.filter(arrival => arrival.account === "small-1" && arrival.at >= 0).length;
        expect(own / 9).toBeGreaterThan(0.8 * 16 * 0.15 * deployment.requestsPerSecond);
    });
});

describe("the bound", () => {
    it.each([
        ["nothing when the work fits", 200, 0],
        ["the least weight for its work first", 150, 0.5],
        ["all weight without capacity", 0, 6],
    ])("loses %s", (_, capacity, loss) => {
        const demand = { at: 0, due: 4_000, work: 100 };
        expect(
            lostWeight(
                [
                    { ...demand, weight: 5 },
                    { ...demand, weight: 1 },
                ],
                capacity,
            ),
        ).toBe(loss);
    });

    it("is whole for the mean load and falls with a service, so that it does not hide lost capacity", () => {
        const arrivals = drawArrivals({ deployment, seed: 1, from: 0, until: 10_000 });
        expect(attainmentBound(deployment, arrivals, [])).toBeGreaterThan(0.99);
        const gone = { service: "generate", from: 0, until: 20_000, factor: 0 };
        expect(attainmentBound(deployment, arrivals, [gone])).toBeLessThan(0.75);
    });
});

describe("the summary", () => {
    it.each<[string, Partial<RequestRecord>, string | undefined]>([
        ["a booking that ran twice", { kind: BOOKING, keyRuns: 2 }, "doubled"],
        ["a booking that is done without a run", { kind: BOOKING, keyRuns: 0 }, "lost"],
        ["an answer that lacks tokens", { whole: false }, "lost"],
        ["no answer at all", { outcome: "none" }, "lost"],
        ["an answer of another request", { crossed: true }, "crossed"],
        ["a refusal of something that ran", { outcome: "refused", runs: 1 }, "untrueRefusals"],
        ["a refusal of a key that ran earlier", { outcome: "refused", submissions: 2, keyRuns: 1 }, "untrueRefusals"],
        ["a true refusal", { outcome: "refused", runs: 0 }, undefined],
        [
            "a refusal after an earlier submission ran an idempotent stage",
            { outcome: "refused", submissions: 2 },
            undefined,
        ],
        ["a late answer", { duration: 4_001 }, undefined],
    ])("counts %s in its own figure only", (_, fields, name) => {
        const summary = summarise(deployment, [record(fields)], totals);
        const { doubled, lost, crossed, untrueRefusals } = summary;
        const expected = { doubled: 0, lost: 0, crossed: 0, untrueRefusals: 0 };
        expect({ doubled, lost, crossed, untrueRefusals }).toEqual(
            name === undefined ? expected : { ...expected, [name]: 1 },
        );
        expect(hasFaults(summary)).toBe(name !== undefined);
    });

    it("weighs kinds, and counts only whole, timely, single answers of the measured time as attained", () => {
        const booking = record({ kind: BOOKING, keyRuns: 1 });
        const records = [booking, record({ duration: 4_001 }), record({ at: -1, outcome: "failed" })];
        const summary = summarise(deployment, records, totals);
        expect(summary.weightedAttainment).toBeCloseTo(5 / 6);
        expect(summary.attainmentByKind).toEqual({ "book-heater": 1, "dispatch-plan": 0 });
        expect(summary.requests).toBe(2);
    });

    it("takes a refusal after one submission as untrue when any stage ran", () => {
        expect(isFalselyRefused(record({ outcome: "refused", runs: 1 }))).toBe(true);
    });

    it("finds a plan above its share in some window and none within it", () => {
        const [kind] = deployment.kinds;
        if (kind === undefined) throw new Error("no kind");
        const fits = Math.floor((0.35 * commonBudget(deployment) * 4) / kindCost(kind));
        const records = Array.from({ length: 2 * fits }, (_, index) => record({ id: String(index) }));
        expect(shareExceeded(deployment, records.slice(0, fits))).toBeLessThanOrEqual(0);
        expect(shareExceeded(deployment, records)).toBeCloseTo(1, 1);
    });
});
