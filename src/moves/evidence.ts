/**
 * Observations of a candidate version at one entry: counts of answers, failures and slow answers by route (pipeline),
 * and the same counts of the stable version since the same split came into force. Where a step leaves the stable
 * version little or no traffic, its failure rate from the previous step is used.
 *
 * Each answer of the candidate is tested at once, in total and for its route. The acceptable failure rate follows the
 * stable version, so that a fault that affects both versions does not count against the candidate. An answer is slow
 * when it takes longer than the stable version's running 95th percentile on the same route and stage.
 */
import type { Configuration } from "../configuration/index.js";
import type { TrafficSplit } from "../model/index.js";
import { type Verdict, type TestRates, SequentialTest } from "./sequential.js";

/** One answer of a version of a service, or a missing one. */
export interface VersionAnswer {
    readonly service: string;
    readonly version: string;
    readonly route: string;
    readonly stage: string;
    readonly account: string;
    /** Whether the answer was an error, truncated, malformed or missing. */
    readonly failed: boolean;
    /** Absent where the time says nothing about the version, for example at a cold target. */
    readonly milliseconds?: number;
}

/** Counts of one version on one route. */
export interface Tally {
    readonly answers: number;
    readonly failures: number;
    /** Answers whose time was compared with the stable version's percentile. */
    readonly timed: number;
    readonly slow: number;
}

/** Counts of a candidate and of the stable version on one route since the split came into force. */
export interface RouteEvidence {
    readonly route: string;
    readonly candidate: Tally;
    readonly stable: Tally;
}

/** One entry's observations of one traffic split. */
export interface SplitEvidence {
    readonly service: string;
    readonly version: string;
    readonly fraction: number;
    readonly routes: readonly RouteEvidence[];
}

const EMPTY_TALLY: Tally = { answers: 0, failures: 0, timed: 0, slow: 0 };

/** Lowest failure rates that the test distinguishes. The acceptable rate rises with the stable version's rate. */
const MINIMUM_FAILURE_RATES: TestRates = { acceptable: 0.01, bad: 0.06 };
/** The stable version's measured rate varies too; the factor keeps an equal candidate below the acceptable rate. */
const ACCEPTABLE_RATE_FACTOR = 1.5;
const BAD_RATE_FACTOR = 3;
const MAXIMUM_BAD_RATE = 0.98;
/** With fewer answers of the stable version, its failure rate is not used. */
const MINIMUM_STABLE_ANSWERS = 30;
/** Most answers of the stable version that are carried over to the next step, on each route. */
const MAXIMUM_CARRIED_ANSWERS = 100;

/** By definition 5% of an equal version's answers are slow; the rest allows for the variance of the percentile. */
const SLOW_RATES: TestRates = { acceptable: 0.12, bad: 0.35 };

/** Newest times of the stable version from which the percentile is computed, on one route and stage. */
const WINDOW_SAMPLES = 200;
const MINIMUM_SAMPLES = 40;
const SAMPLES_PER_UPDATE = 10;

/** The failure rates that a candidate is tested against, given the stable version's counts. */
export function failureRates(stable: Tally): TestRates {
    const rate = stable.answers < MINIMUM_STABLE_ANSWERS ? 0 : stable.failures / stable.answers;
    const acceptable = Math.min(
        MAXIMUM_BAD_RATE / 2,
        Math.max(MINIMUM_FAILURE_RATES.acceptable, ACCEPTABLE_RATE_FACTOR * rate),
    );
    return {
        acceptable,
        bad: Math.min(MAXIMUM_BAD_RATE, Math.max(MINIMUM_FAILURE_RATES.bad, BAD_RATE_FACTOR * acceptable)),
    };
}

/** Running 95th percentile of response times. */
class SlownessThreshold {
    private readonly times: number[] = [];
    private next = 0;
    private percentile: number | undefined;

    add(milliseconds: number): void {
        this.times[this.next % WINDOW_SAMPLES] = milliseconds;
        this.next += 1;
        if (this.times.length < MINIMUM_SAMPLES || this.next % SAMPLES_PER_UPDATE !== 0) return;
        const sorted = [...this.times].sort((left, right) => left - right);
        this.percentile = sorted[Math.floor(sorted.length * 0.95)];
    }

    /** Whether a time is above the percentile; undefined until there are enough samples. */
    isSlow(milliseconds: number): boolean | undefined {
        return this.percentile === undefined ? undefined : milliseconds > this.percentile;
    }
}

/** Sequential tests of one candidate: failures and slowness, for each route and in total. */
export class VersionTests {
    private readonly tests = new Map<string, SequentialTest>();
    private readonly passed = new Set<string>();

    static create(): VersionTests {
        return new VersionTests();
    }

    /** Tests the total and each route. Returns why the candidate fails, with the counts; undefined if it does not. */
    evaluate(routes: readonly RouteEvidence[]): string | undefined {
        const total = sumEvidence(routes);
        return this.evaluateCounts("all routes", total) ?? this.evaluateRoutes(routes);
    }

    /** Tests the total and the one route on which an answer arrived. */
    evaluateRoute(route: RouteEvidence, total: RouteEvidence): string | undefined {
        return this.evaluateCounts("all routes", total) ?? this.evaluateCounts(`route ${route.route}`, route);
    }

    /** Whether the tests in total have passed: failures, and slowness if any times were compared. */
    hasPassed(total: RouteEvidence): boolean {
        const fastEnough = total.candidate.timed === 0 || this.passed.has("slow in all routes");
        return this.passed.has("failed in all routes") && fastEnough;
    }

    private evaluateRoutes(routes: readonly RouteEvidence[]): string | undefined {
        for (const route of routes) {
            const failing = this.evaluateCounts(`route ${route.route}`, route);
            if (failing !== undefined) return failing;
        }
        return undefined;
    }

    private evaluateCounts(where: string, { candidate, stable }: RouteEvidence): string | undefined {
        const failures = { observations: candidate.answers, events: candidate.failures };
        if (this.run(`failed in ${where}`, failures, failureRates(stable)) === "bad") {
            const comparison = `the stable version ${stable.failures} of ${stable.answers}`;
            return `${where}: ${candidate.failures} of ${candidate.answers} answers failed, ${comparison}`;
        }
        const slow = { observations: candidate.timed, events: candidate.slow };
        if (this.run(`slow in ${where}`, slow, SLOW_RATES) !== "bad") return undefined;
        return `${where}: ${candidate.slow} of ${candidate.timed} answers above the stable version's 95th percentile`;
    }

    private run(name: string, count: { observations: number; events: number }, rates: TestRates): Verdict {
        const test = this.tests.get(name) ?? SequentialTest.create();
        this.tests.set(name, test);
        const verdict = test.evaluate(count, rates);
        if (verdict === "passed") this.passed.add(name);
        return verdict;
    }
}

/** Sum of the evidence of all routes. */
export function sumEvidence(routes: readonly RouteEvidence[]): RouteEvidence {
    return routes.reduce(
        (sum, { candidate, stable }) => ({
            route: "",
            candidate: addTally(sum.candidate, candidate),
            stable: addTally(sum.stable, stable),
        }),
        { route: "", candidate: EMPTY_TALLY, stable: EMPTY_TALLY },
    );
}

/** Sums the evidence of several entries by route. */
export function mergeEvidence(parts: readonly SplitEvidence[]): readonly RouteEvidence[] {
    const names = new Set(parts.flatMap(({ routes }) => routes.map(({ route }) => route)));
    return [...names].map(route => {
        const same = parts.flatMap(({ routes }) => routes.filter(each => each.route === route));
        return { ...sumEvidence(same), route };
    });
}

/**
 * The stable version's counts as carried over to the next step, where it answers fewer or no requests. They are limited
 * so that new answers soon outweigh them.
 */
function carryOver({ answers, failures }: Tally): Tally {
    if (answers <= MAXIMUM_CARRIED_ANSWERS) return { ...EMPTY_TALLY, answers, failures };
    const scaled = Math.round((failures * MAXIMUM_CARRIED_ANSWERS) / answers);
    return { ...EMPTY_TALLY, answers: MAXIMUM_CARRIED_ANSWERS, failures: scaled };
}

function addTally(left: Tally, right: Tally): Tally {
    return {
        answers: left.answers + right.answers,
        failures: left.failures + right.failures,
        timed: left.timed + right.timed,
        slow: left.slow + right.slow,
    };
}

/** A service's traffic split and the answers counted since it came into force. */
class Trial {
    readonly tests = VersionTests.create();
    failing = false;
    private readonly routes = new Map<string, RouteEvidence>();

    constructor(
        readonly service: string,
        readonly stable: string,
        readonly version: string,
        readonly fraction: number,
        previous: Trial | undefined,
    ) {
        if (previous?.stable !== stable || previous.version !== version) return;
        for (const { route, stable: tally } of previous.routes.values()) {
            this.routes.set(route, { route, candidate: EMPTY_TALLY, stable: carryOver(tally) });
        }
    }

    matches(split: TrafficSplit): boolean {
        const { stable, candidate } = split;
        return stable === this.stable && candidate?.version === this.version && candidate.fraction === this.fraction;
    }

    toEvidence(): SplitEvidence {
        const { service, version, fraction } = this;
        return { service, version, fraction, routes: [...this.routes.values()] };
    }

    add(answer: VersionAnswer, slow: boolean | undefined): RouteEvidence {
        const { route, failed } = answer;
        const before = this.routes.get(route) ?? { route, candidate: EMPTY_TALLY, stable: EMPTY_TALLY };
        const counted = { answers: 1, failures: Number(failed), timed: Number(slow !== undefined), slow: Number(slow) };
        const increment = slow === undefined ? { ...counted, slow: 0 } : counted;
        const side = answer.version === this.version ? "candidate" : "stable";
        const after = { ...before, [side]: addTally(before[side], increment) };
        this.routes.set(route, after);
        return after;
    }
}

/** Called once for each trial, when the candidate fails at this entry. */
export type FailureListener = (service: string, version: string, reason: string) => void;

/** Collects the evidence of one entry. */
export class EvidenceCollector {
    private readonly trials = new Map<string, Trial>();
    private readonly thresholds = new Map<string, SlownessThreshold>();

    private constructor(
        private readonly onFailure: FailureListener,
        private readonly onAnswer: (answer: VersionAnswer) => void,
    ) {}

    /** A collector without splits. `onAnswer` is called with each answer of a service under trial. */
    static create(
        onFailure: FailureListener,
        onAnswer: (answer: VersionAnswer) => void = () => undefined,
    ): EvidenceCollector {
        return new EvidenceCollector(onFailure, onAnswer);
    }

    /** Follows the traffic splits of a configuration. A split that changes starts a new trial. */
    configure(configuration: Configuration): void {
        const splits = configuration.all("traffic");
        for (const service of [...this.trials.keys()]) {
            if (splits.find(split => split.service === service)?.candidate === undefined) this.trials.delete(service);
        }
        for (const split of splits) {
            const { service, stable, candidate } = split;
            if (candidate === undefined || this.trials.get(service)?.matches(split) === true) continue;
            const previous = this.trials.get(service);
            this.trials.set(service, new Trial(service, stable, candidate.version, candidate.fraction, previous));
        }
    }

    /** Counts an answer; answers of versions outside the trial are ignored. */
    record(answer: VersionAnswer): void {
        const trial = this.trials.get(answer.service);
        if (trial === undefined) return;
        if (answer.version !== trial.version && answer.version !== trial.stable) return;
        this.onAnswer(answer);
        const route = trial.add(answer, this.isSlow(trial, answer));
        if (answer.version !== trial.version || trial.failing) return;
        const reason = trial.tests.evaluateRoute(route, sumEvidence(trial.toEvidence().routes));
        if (reason === undefined) return;
        trial.failing = true;
        this.onFailure(answer.service, answer.version, reason);
    }

    /** The evidence of each split. */
    list(): readonly SplitEvidence[] {
        return [...this.trials.values()].map(trial => trial.toEvidence());
    }

    /** Whether a candidate's answer was slow. Undefined for the stable version, whose answer updates the threshold. */
    private isSlow(trial: Trial, { version, route, stage, milliseconds }: VersionAnswer): boolean | undefined {
        if (milliseconds === undefined) return undefined;
        const key = `${trial.service}/${trial.stable}/${route}/${stage}`;
        const threshold = this.thresholds.get(key) ?? new SlownessThreshold();
        this.thresholds.set(key, threshold);
        if (version === trial.version) return threshold.isSlow(milliseconds);
        threshold.add(milliseconds);
        return undefined;
    }
}
