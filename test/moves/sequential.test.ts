/** Verdicts of the sequential test, and the number of answers that it needs for them. */
import { describe, expect, it } from "vitest";
import { failureRates } from "../../src/moves/evidence.js";
import { type Verdict, MINIMUM_OBSERVATIONS, SequentialTest } from "../../src/moves/sequential.js";

const RATES = { acceptable: 0.01, bad: 0.06 };

/** Evaluates the test after each answer, with an event in every `every`th one, until the verdict is not `undecided`. */
function run(test: SequentialTest, before: number, every: number): { said: Verdict; answers: number } {
    for (let answers = 1; answers <= 2_000; answers += 1) {
        const events = Math.floor(answers / every);
        const said = test.evaluate({ observations: before + answers, events }, RATES);
        if (said !== "undecided") return { said, answers };
    }
    return { said: "undecided", answers: 2_000 };
}

describe("the sequential test", () => {
    it.each([
        { what: "no failures", every: Infinity, said: "passed", from: 50, to: 150 },
        { what: "failures only", every: 1, said: "bad", from: MINIMUM_OBSERVATIONS, to: MINIMUM_OBSERVATIONS },
        { what: "a third of failures", every: 3, said: "bad", from: 10, to: 30 },
    ])("returns $said for $what after $from to $to answers", ({ every, said, from, to }) => {
        const ended = run(SequentialTest.create(), 0, every);
        expect(ended.said).toBe(said);
        expect(ended.answers).toBeGreaterThanOrEqual(from);
        expect(ended.answers).toBeLessThanOrEqual(to);
    });

    it("detects a rate that turns bad after many good answers about as soon as one that is bad from the start", () => {
        const test = SequentialTest.create();
        for (let count = 1; count <= 5_000; count += 1) test.evaluate({ observations: count, events: 0 }, RATES);
        const { said, answers } = run(test, 5_000, 3);
        expect(said).toBe("bad");
        // Good answers since the last pass may delay the verdict.
        expect(answers).toBeLessThanOrEqual(60);
    });

    it.each([
        { stable: { answers: 1_000, failures: 0 }, acceptable: 0.01, bad: 0.06 },
        { stable: { answers: 20, failures: 20 }, acceptable: 0.01, bad: 0.06 },
        { stable: { answers: 1_000, failures: 100 }, acceptable: 0.15, bad: 0.45 },
        { stable: { answers: 1_000, failures: 1_000 }, acceptable: 0.49, bad: 0.98 },
    ])("derives the failure rates from the stable version's counts $stable", ({ stable, acceptable, bad }) => {
        const rates = failureRates({ ...stable, timed: 0, slow: 0 });
        expect(rates.acceptable).toBeCloseTo(acceptable);
        expect(rates.bad).toBeCloseTo(bad);
    });
});
