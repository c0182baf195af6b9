/**
 * Sequential probability ratio test of a rate (A. Wald, "Sequential Tests of Statistical Hypotheses", Annals of
 * Mathematical Statistics 16, 1945).
 *
 * After each answer, the log likelihood ratio of the bad rate against the acceptable one is compared with two bounds.
 * At the upper bound the rate is bad; a rate at or below the acceptable one ever gets there with a probability of at
 * most `WRONG_STOP` in each run of the test. At the lower bound the rate passed, a bad one with a probability of at most
 * `WRONG_PASS`; the test then starts again, so that a rate that turns bad later is not hidden by good answers before.
 */

/** Probability of stopping at an acceptable rate, for one run of one test. */
export const FALSE_STOP_PROBABILITY = 1e-4;

/** Probability of passing a bad rate, for one run of one test. */
export const FALSE_PASS_PROBABILITY = 0.01;

/** Answers without which nothing is judged bad, whatever they are. */
export const MINIMUM_OBSERVATIONS = 10;

const UPPER_BOUND = Math.log((1 - FALSE_PASS_PROBABILITY) / FALSE_STOP_PROBABILITY);
const LOWER_BOUND = Math.log(FALSE_PASS_PROBABILITY / (1 - FALSE_STOP_PROBABILITY));

/** The rates that a test distinguishes. */
export interface TestRates {
    readonly acceptable: number;
    readonly bad: number;
}

/** Events among observations, both counted from the beginning. */
export interface EventCount {
    readonly observations: number;
    readonly events: number;
}

/** What a test says now. `passed` is said once for each run. */
export type Verdict = "undecided" | "passed" | "bad";

/** One test, over counts that only rise. */
export class SequentialTest {
    private start: EventCount = { observations: 0, events: 0 };

    private constructor() {}

    static create(): SequentialTest {
        return new SequentialTest();
    }

    /** Judges the counts since the last pass. */
    evaluate(count: EventCount, rates: TestRates): Verdict {
        const observations = count.observations - this.start.observations;
        const events = count.events - this.start.events;
        const ratio =
            events * Math.log(rates.bad / rates.acceptable) +
            (observations - events) * Math.log((1 - rates.bad) / (1 - rates.acceptable));
        if (ratio >= UPPER_BOUND && observations >= MINIMUM_OBSERVATIONS) return "bad";
        if (ratio > LOWER_BOUND) return "undecided";
        this.start = count;
        return "passed";
    }
}
