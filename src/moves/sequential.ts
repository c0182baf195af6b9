/**
 * Sequential probability ratio test of a rate (A. Wald, "Sequential Tests of Statistical Hypotheses", Annals of
 * Mathematical Statistics 16, 1945).
 *
 * After each answer, the log likelihood ratio of the bad rate against the acceptable one is compared with two bounds.
 * At the upper bound the verdict is `bad`. A rate at or below the acceptable one reaches it with a probability of at
 * most `FALSE_STOP_PROBABILITY` in each run of the test. At the lower bound the verdict is `passed`. A bad rate reaches
 * it with a probability of at most `FALSE_PASS_PROBABILITY`. After a pass the test starts again, so that earlier good
 * answers do not hide a rate that turns bad later.
 */

/** Probability of the verdict `bad` at an acceptable rate, in one run of one test. */
export const FALSE_STOP_PROBABILITY = 1e-4;

/** Probability of the verdict `passed` at a bad rate, in one run of one test. */
export const FALSE_PASS_PROBABILITY = 0.01;

/** With fewer observations, the verdict is never `bad`. */
export const MINIMUM_OBSERVATIONS = 10;

const UPPER_BOUND = Math.log((1 - FALSE_PASS_PROBABILITY) / FALSE_STOP_PROBABILITY);
const LOWER_BOUND = Math.log(FALSE_PASS_PROBABILITY / (1 - FALSE_STOP_PROBABILITY));

/** The rates that a test distinguishes. */
export interface TestRates {
    readonly acceptable: number;
    readonly bad: number;
}

/** Number of events among observations, both since the first observation. */
export interface EventCount {
    readonly observations: number;
    readonly events: number;
}

/** Log likelihood ratio of the bad rate against the acceptable one; positive if the counts speak for the bad rate. */
export function likelihoodRatio({ observations, events }: EventCount, rates: TestRates): number {
    return (
        events * Math.log(rates.bad / rates.acceptable) +
        (observations - events) * Math.log((1 - rates.bad) / (1 - rates.acceptable))
    );
}

/** Verdict of a test. `passed` is returned once for each run. */
export type Verdict = "undecided" | "passed" | "bad";

/** One test over counts that never decrease. */
export class SequentialTest {
    private baseline: EventCount = { observations: 0, events: 0 };

    private constructor() {}

    static create(): SequentialTest {
        return new SequentialTest();
    }

    /** Tests the counts since the last pass. */
    evaluate(count: EventCount, rates: TestRates): Verdict {
        const observations = count.observations - this.baseline.observations;
        const events = count.events - this.baseline.events;
        const ratio = likelihoodRatio({ observations, events }, rates);
        if (ratio >= UPPER_BOUND && observations >= MINIMUM_OBSERVATIONS) return "bad";
        if (ratio > LOWER_BOUND) return "undecided";
        this.baseline = count;
        return "passed";
    }
}
