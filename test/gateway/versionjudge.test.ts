/** The verdict on a new version: a bad one that is kept fails requests for good, since the old targets are stopped. */
import { describe, expect, it } from "vitest";
import { createRandom } from "../../src/bench/random.js";
import { VersionJudge, type VersionObservation } from "../../src/gateway/versionjudge.js";

const SEEDS = Array.from({ length: 40 }, (_, index) => index + 1);
const ROUTES = ["draft", "review", "summary"];

/** Answers of both versions: 14 old ones for each new one, as the share of a new version has it. */
interface Answers {
    readonly newAnswers: number;
    /** Fraction of answers that fail, of both versions. */
    readonly commonFailures?: number;
    /** Fraction of the new version's answers that fail on a route. */
    readonly failures?: (route: string) => number;
    /** Factor on the time of a new version's answer. */
    readonly slowness?: (route: string, random: () => number) => number;
}

function judgeOf(answers: Answers, seed: number): VersionJudge {
    const random = createRandom(seed);
    const judge = VersionJudge.create();
    const time = (): number => 0.1 * Math.exp(random() + random() + random() - 1.5);
    const { commonFailures = 0, failures = (): number => 0, slowness = (): number => 1 } = answers;
    for (let index = 0; index < answers.newAnswers * 15; index += 1) {
        const route = ROUTES[Math.floor(random() * ROUTES.length)] ?? "";
        const isNew = index % 15 === 14;
        const failed = random() < commonFailures || (isNew && random() < failures(route));
        const factor = isNew ? slowness(route, random) : 1;
        const observation: VersionObservation = { route, isNew, failed };
        judge.add(failed ? observation : { ...observation, slowness: time() * factor });
    }
    return judge;
}

const verdicts: readonly (Answers & { readonly case: string; readonly verdict: "good" | "bad" | "neither" })[] = [
    { case: "like the old one", newAnswers: 30, verdict: "good" },
    { case: "half as slow again, as with empty caches", newAnswers: 30, slowness: () => 1.5, verdict: "good" },
    { case: "like the old one, which fails as often", newAnswers: 60, commonFailures: 0.14, verdict: "good" },
    { case: "that answers eight times slower", newAnswers: 20, slowness: () => 8, verdict: "bad" },
    {
        case: "that answers half of its requests eight times slower",
        newAnswers: 60,
        slowness: (_, random) => (random() < 0.5 ? 8 : 1),
        verdict: "bad",
    },
    { case: "that fails half of its requests", newAnswers: 40, failures: () => 0.5, verdict: "bad" },
    {
        case: "that fails on one route only",
        newAnswers: 60,
        failures: route => (route === "review" ? 0.7 : 0),
        verdict: "bad",
    },
    { case: "with few answers", newAnswers: 5, verdict: "neither" },
    { case: "without answers", newAnswers: 0, verdict: "neither" },
];

describe("a new version", () => {
    it.each(verdicts)("$case is $verdict", ({ verdict, ...answers }) => {
        const judges = SEEDS.map(seed => judgeOf(answers, seed));
        const bad = judges.filter(judge => judge.findFault() !== undefined).length;
        const good = judges.filter(judge => judge.findFault() === undefined && judge.isAcceptable()).length;
        // A good version may be taken for a bad one in one of forty trials, but a bad one is never kept.
        if (verdict === "good") expect(good).toBeGreaterThanOrEqual(SEEDS.length - 1);
        else expect(good).toBe(0);
        if (verdict === "bad") expect(bad).toBeGreaterThanOrEqual(SEEDS.length * 0.9);
        if (verdict === "neither") expect(bad).toBe(0);
    });
});
