/** Plan shares, admission and quarantine. */
import fc from "fast-check";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { Admission, checkAccess, Quarantine, QUARANTINE_MS, seatRate, ShareBucket } from "../../src/admission/index.js";
import { Configuration, type ConfigurationRecord } from "../../src/configuration/index.js";
import type { Pipeline, Plan, Stage } from "../../src/model/index.js";

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

function stage(name: string, costMilliseconds: number): Stage {
    const common = { operation: name, idempotent: true, streaming: false, maximumTokens: 0 };
    return { name, service: name, ...common, costMilliseconds };
}

const pipeline: Pipeline = { name: "ask", stages: [stage("encode", 10), stage("rerank", 40)] };
const plan: Plan = { name: "p", pipelines: ["ask"], stages: [], share: 0.5 };

function configure(plans: readonly Plan[], millisecondsPerSecond = 1_000): Configuration {
    const records: ConfigurationRecord[] = plans.map(value => ({ kind: "plan", name: value.name, value }));
    records.push({ kind: "pipeline", name: "ask", value: pipeline });
    records.push({ kind: "budget", name: "common", value: { millisecondsPerSecond } });
    records.push({ kind: "account", name: "a", value: { name: "a", plan: "p", keyHash: "" } });
    return Configuration.of(1, records);
}

describe("a plan's share", () => {
    it("is never exceeded over all seats, whatever costs are drawn at which times", () => {
        const draws = fc.array(
            fc.record({
                seat: fc.integer({ min: 0, max: 2 }),
                cost: fc.integer({ min: 1, max: 100 }),
                wait: fc.integer({ min: 0, max: 100 }),
            }),
            { maxLength: 100 },
        );
        fc.assert(
            fc.property(draws, sequence => {
                const rate = seatRate(0.3, 1_000, 3);
                const buckets = [0, 1, 2].map(() => ShareBucket.create(rate, 1));
                let granted = 0;
                let elapsed = 0;
                for (const { seat, cost, wait } of sequence) {
                    vi.advanceTimersByTime(wait);
                    elapsed += wait;
                    if (buckets[seat]?.draw(cost).kind === "granted") granted += cost;
                    expect(granted).toBeLessThanOrEqual(300 + (300 * elapsed) / 1_000 + 1e-6);
                }
            }),
            { seed: 1, numRuns: 300 },
        );
    });

    it("comes with the time after which a refused draw succeeds, also for a cost above the capacity", () => {
        for (const cost of [40, 250]) {
            const bucket = ShareBucket.create(100, 1);
            for (let count = 0; count < 10; count += 1) bucket.draw(cost);
            const refused = bucket.draw(cost);
            const wait = refused.kind === "exceeded" ? refused.retryAfterMilliseconds : 0;
            vi.advanceTimersByTime(wait - 2);
            expect(bucket.draw(cost).kind).toBe("exceeded");
            vi.advanceTimersByTime(2);
            expect(bucket.draw(cost).kind).toBe("granted");
        }
    });
});

describe("admission", () => {
    it.each([
        ["overloaded", { maximum: 0, remaining: 4_000, budget: 1_000 }],
        ["deadline", { maximum: 10, remaining: 49, budget: 1_000 }],
        ["overShare", { maximum: 10, remaining: 4_000, budget: 0 }],
    ])("refuses with reason %s and a retry time", (reason, { maximum, remaining, budget }) => {
        const admission = Admission.create(1, maximum);
        const outcome = admission.admit(configure([plan], budget), plan, pipeline, remaining);
        expect(outcome).toMatchObject({
            kind: "refused",
            reason,
            retryAfterMilliseconds: expect.any(Number) as number,
        });
        expect(outcome.kind === "refused" && outcome.retryAfterMilliseconds).toBeGreaterThan(0);
        expect(admission.openRequests).toBe(0);
    });

    it("gives an entry that has just started no burst, which its earlier incarnation may have spent", () => {
        const admission = Admission.create(1, 100);
        const admit = () => admission.admit(configure([plan]), plan, pipeline, 4_000).kind;
        expect(admit()).toBe("refused");
        vi.advanceTimersByTime(500);
        expect(Array.from({ length: 20 }, admit).filter(kind => kind === "admitted")).toHaveLength(5);
    });

    it("lets no plan take another's share, and returns the cost of what was not run", () => {
        const other: Plan = { ...plan, name: "q" };
        const configuration = configure([plan, other]);
        const admission = Admission.create(1, 100);
        const admit = (of: Plan) => admission.admit(configuration, of, pipeline, 4_000);
        vi.advanceTimersByTime(1_000);
        const granted = Array.from({ length: 20 }, () => admit(plan)).filter(({ kind }) => kind === "admitted");
        expect(granted).toHaveLength(10);
        expect(admit(other).kind).toBe("admitted");
        if (granted[0]?.kind === "admitted") granted[0].release(true);
        expect(admit(plan).kind).toBe("admitted");
    });

    it.each([
        ["allowed", plan, "a", "ask"],
        ["allowed", { ...plan, stages: ["encode", "rerank"] }, "a", "ask"],
        ["notInPlan", { ...plan, stages: ["encode"] }, "a", "ask"],
        ["notInPlan", { ...plan, pipelines: [] }, "a", "ask"],
        ["unknownPipeline", plan, "a", "other"],
        ["unknownAccount", plan, "b", "ask"],
    ])("follows an access check with the outcome %s", (expected, held, account, name) => {
        expect(checkAccess(configure([held]), account, name).kind).toBe(expected);
    });
});

describe("quarantine", () => {
    it.each<[string, boolean, (quarantine: Quarantine) => void]>([
        ["one loss quarantines the content", false, quarantine => quarantine.recordLoss("f", "t1", "s")],
        [
            "a second loss is not counted",
            true,
            quarantine => {
                quarantine.recordLoss("f", "t1", "s");
                quarantine.recordLoss("f", "t2", "s");
            },
        ],
        [
            "two copies on one target count as two losses",
            false,
            quarantine => {
                quarantine.recordLoss("f", "t1", "s");
                quarantine.recordLoss("f", "t1", "s");
            },
        ],
        [
            "a loss at another entry is not added",
            true,
            quarantine => {
                quarantine.recordLoss("f", "t1", "s");
                quarantine.recordPeerLosses("e2", "f", 1, QUARANTINE_MS);
            },
        ],
        [
            "content that completes keeps its loss",
            false,
            quarantine => {
                quarantine.recordLoss("f", "t1", "s");
                quarantine.recordCompletion("f", "s");
                quarantine.recordLoss("f", "t2", "s");
            },
        ],
        [
            "completing an earlier stage clears the losses at the one that crashes",
            true,
            quarantine => {
                quarantine.recordLoss("f", "t1", "s");
                quarantine.recordCompletion("f", "earlier");
                quarantine.recordLoss("f", "t2", "s");
            },
        ],
        [
            "a target that was only disconnected counts as lost",
            false,
            quarantine => {
                quarantine.recordLoss("f", "t1", "s");
                quarantine.recordLoss("f", "t2", "s");
                quarantine.withdrawLosses("f", "t2");
            },
        ],
        [
            "quarantine never ends",
            false,
            quarantine => {
                quarantine.recordLoss("f", "t1", "s");
                quarantine.recordLoss("f", "t2", "s");
                vi.advanceTimersByTime(QUARANTINE_MS);
            },
        ],
    ])("prevents that %s", (_, expected, act) => {
        const quarantine = Quarantine.create();
        act(quarantine);
        expect(quarantine.contains("f")).toBe(expected);
        expect(quarantine.contains("g")).toBe(false);
    });
});
