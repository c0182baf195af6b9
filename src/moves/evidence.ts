/**
 * What an entry sees of a version under trial: counts of answers, failures and slow answers, by route (pipeline) and
 * account, and the same of the stable version since the same split came into force. Where a step leaves the stable version
 * little or no traffic, its failure rate of the step before stands in.
 *
 * Each answer of the candidate is judged at once, in total and for its route. The acceptable rate of failures follows
 * the stable version, so that a fault that hits both versions does not count against the candidate. An answer is slow
 * when it takes longer than the stable version's running 95th percentile on the same route and stage.
 */
import type { Configuration } from "../configuration/index.js";
import type { TrafficSplit } from "../model/index.js";
import { type Verdict, type TestRates, SequentialTest } from "./sequential.js";

/** One answer, or the lack of one, of a version of a service. */
export interface VersionAnswer {
    readonly service: string;
    readonly version: string;
    readonly route: string;
    readonly stage: string;
    readonly account: string;
    /** An error, a truncated or malformed answer, or none. */
    readonly failed: boolean;
    /** Absent where the time says nothing about the version, as at a cold target. */
    readonly milliseconds?: number;
}

/** Counts of one version on one route. */
export interface Tally {
    readonly answers: number;
    readonly failures: number;
    /** Answers whose time was compared. */
    readonly timed: number;
    readonly slow: number;
}

/** Counts of a candidate and of the stable version on one route since the split came into force. */
export interface RouteEvidence {
    readonly route: string;
    readonly candidate: Tally;
    readonly stable: Tally;
}

/** What an entry has seen of one split. */
export interface SplitEvidence {
    readonly service: string;
    readonly version: string;
    readonly fraction: number;
    readonly routes: readonly RouteEvidence[];
}

const NOTHING: Tally = { answers: 0, failures: 0, timed: 0, slow: 0 };

/** Failure rates that are distinguished at least; a higher acceptable one follows the stable version. */
const FAILURE_FLOOR: TestRates = { acceptable: 0.01, bad: 0.06 };
/** The stable version's rate is scattered too; this keeps an equal candidate below the acceptable rate. */
const STABLE_FACTOR = 1.5;
const BAD_FACTOR = 3;
const HIGHEST_BAD = 0.98;
/** Answers of the stable version below which its failure rate is not used. */
const MINIMUM_STABLE = 30;
/** Answers of the stable version that count into the next step, on each route. */
const MAXIMUM_CARRIED = 100;

/** By definition 5% of equal answers are slow; the rest allows for the scatter of the percentile. */
const SLOW_RATES: TestRates = { acceptable: 0.12, bad: 0.35 };

/** Times of the stable version that the percentile is taken from, on one route and stage. */
const TIMES = 200;
const MINIMUM_TIMES = 40;
const TIMES_BETWEEN = 10;

/** The failure rates for a candidate beside a stable version. */
export function failureRates(stable: Tally): TestRates {
    const rate = stable.answers < MINIMUM_STABLE ? 0 : stable.failures / stable.answers;
    const acceptable = Math.min(HIGHEST_BAD / 2, Math.max(FAILURE_FLOOR.acceptable, STABLE_FACTOR * rate));
    return { acceptable, bad: Math.min(HIGHEST_BAD, Math.max(FAILURE_FLOOR.bad, BAD_FACTOR * acceptable)) };
}

/** Running 95th percentile. */
class SlowLimit {
    private readonly times: number[] = [];
    private next = 0;
    private limit: number | undefined;

    add(milliseconds: number): void {
        this.times[this.next % TIMES] = milliseconds;
        this.next += 1;
        if (this.times.length < MINIMUM_TIMES || this.next % TIMES_BETWEEN !== 0) return;
        const sorted = [...this.times].sort((left, right) => left - right);
        this.limit = sorted[Math.floor(sorted.length * 0.95)];
    }

    /** Whether a time is slow; undefined before enough times are known. */
    isSlow(milliseconds: number): boolean | undefined {
        return this.limit === undefined ? undefined : milliseconds > this.limit;
    }
}

/** The tests of one candidate: failures and slowness, for each route and in total. */
export class VersionTests {
    private readonly tests = new Map<string, SequentialTest>();
    private readonly passed = new Set<string>();

    static create(): VersionTests {
        return new VersionTests();
    }

    /** Why the candidate fails, with route and figures; undefined while it does not. */
    evaluate(routes: readonly RouteEvidence[]): string | undefined {
        const total = sumEvidence(routes);
        return this.judgeOne("all routes", total) ?? this.judgeRoutes(routes);
    }

    /** Judges one route and the total only, after an answer on that route. */
    evaluateRoute(route: RouteEvidence, total: RouteEvidence): string | undefined {
        return this.judgeOne("all routes", total) ?? this.judgeOne(`route ${route.route}`, route);
    }

    /** Whether failures, and slowness where it was compared, passed in total. */
    hasPassed(total: RouteEvidence): boolean {
        const slowness = total.candidate.timed === 0 || this.passed.has("slow in all routes");
        return this.passed.has("failed in all routes") && slowness;
    }

    private judgeRoutes(routes: readonly RouteEvidence[]): string | undefined {
        for (const route of routes) {
            const failing = this.judgeOne(`route ${route.route}`, route);
            if (failing !== undefined) return failing;
        }
        return undefined;
    }

    private judgeOne(where: string, { candidate, stable }: RouteEvidence): string | undefined {
        const failures = { observations: candidate.answers, events: candidate.failures };
        if (this.run(`failed in ${where}`, failures, failureRates(stable)) === "bad") {
            const beside = `the stable version ${stable.failures} of ${stable.answers}`;
            return `${where}: ${candidate.failures} of ${candidate.answers} answers failed, ${beside}`;
        }
        const slow = { observations: candidate.timed, events: candidate.slow };
        if (this.run(`slow in ${where}`, slow, SLOW_RATES) !== "bad") return undefined;
        return `${where}: ${candidate.slow} of ${candidate.timed} answers above the stable version's 95th percentile`;
    }

    private run(name: string, count: { observations: number; events: number }, rates: TestRates): Verdict {
        const test = this.tests.get(name) ?? SequentialTest.create();
        this.tests.set(name, test);
        const judgement = test.evaluate(count, rates);
        if (judgement === "passed") this.passed.add(name);
        return judgement;
    }
}

/** The evidence of all routes together. */
export function sumEvidence(routes: readonly RouteEvidence[]): RouteEvidence {
    return routes.reduce(
        (sum, { candidate, stable }) => ({
            route: "",
            candidate: addTally(sum.candidate, candidate),
            stable: addTally(sum.stable, stable),
        }),
        { route: "", candidate: NOTHING, stable: NOTHING },
    );
}

/** The evidence of several entries, by route. */
export function mergeEvidence(parts: readonly SplitEvidence[]): readonly RouteEvidence[] {
    const names = new Set(parts.flatMap(({ routes }) => routes.map(({ route }) => route)));
    return [...names].map(route => {
        const same = parts.flatMap(({ routes }) => routes.filter(each => each.route === route));
        return { ...sumEvidence(same), route };
    });
}

/**
 * The stable version's counts as they go into the next step, where few or none of its answers follow. They are limited
 * so that what it does then soon outweighs them.
 */
function carryOver({ answers, failures }: Tally): Tally {
    if (answers <= MAXIMUM_CARRIED) return { ...NOTHING, answers, failures };
    const scaled = Math.round((failures * MAXIMUM_CARRIED) / answers);
    return { ...NOTHING, answers: MAXIMUM_CARRIED, failures: scaled };
}

function addTally(left: Tally, right: Tally): Tally {
    return {
        answers: left.answers + right.answers,
        failures: left.failures + right.failures,
        timed: left.timed + right.timed,
        slow: left.slow + right.slow,
    };
}

/** One service's split with what was seen of it. */
class Trial {
    readonly tests = VersionTests.create();
    failing = false;
    private readonly routes = new Map<string, RouteEvidence>();

    constructor(
        readonly service: string,
        readonly stable: string,
        readonly version: string,
        readonly fraction: number,
        before: Trial | undefined,
    ) {
        if (before?.stable !== stable || before.version !== version) return;
        for (const { route, stable: seen } of before.routes.values()) {
            this.routes.set(route, { route, candidate: NOTHING, stable: carryOver(seen) });
        }
    }

    is(split: TrafficSplit): boolean {
        const { stable, candidate } = split;
        return stable === this.stable && candidate?.version === this.version && candidate.fraction === this.fraction;
    }

    list(): SplitEvidence {
        const { service, version, fraction } = this;
        return { service, version, fraction, routes: [...this.routes.values()] };
    }

    add(answer: VersionAnswer, slow: boolean | undefined): RouteEvidence {
        const { route, failed } = answer;
        const before = this.routes.get(route) ?? { route, candidate: NOTHING, stable: NOTHING };
        const counted = { answers: 1, failures: Number(failed), timed: Number(slow !== undefined), slow: Number(slow) };
        const one = slow === undefined ? { ...counted, slow: 0 } : counted;
        const side = answer.version === this.version ? "candidate" : "stable";
        const after = { ...before, [side]: addTally(before[side], one) };
        this.routes.set(route, after);
        return after;
    }
}

/** Called once for each trial, when the candidate fails here. */
export type FailureListener = (service: string, version: string, reason: string) => void;

/** The evidence of one entry. */
export class EvidenceCollector {
    private readonly trials = new Map<string, Trial>();
    private readonly limits = new Map<string, SlowLimit>();

    private constructor(
        private readonly onFailing: FailureListener,
        private readonly count: (answer: VersionAnswer) => void,
    ) {}

    /** Evidence of no split. `count` gets each answer of a service under trial, by route and account. */
    static create(
        onFailing: FailureListener,
        count: (answer: VersionAnswer) => void = () => undefined,
    ): EvidenceCollector {
        return new EvidenceCollector(onFailing, count);
    }

    /** Follows the configuration. A split that changes is judged from the beginning. */
    configure(configuration: Configuration): void {
        const splits = configuration.valuesOf("traffic");
        for (const service of [...this.trials.keys()]) {
            if (splits.find(split => split.service === service)?.candidate === undefined) this.trials.delete(service);
        }
        for (const split of splits) {
            const { service, stable, candidate } = split;
            if (candidate === undefined || this.trials.get(service)?.is(split) === true) continue;
            const before = this.trials.get(service);
            this.trials.set(service, new Trial(service, stable, candidate.version, candidate.fraction, before));
        }
    }

    /** Takes an answer of any version. */
    record(answer: VersionAnswer): void {
        const trial = this.trials.get(answer.service);
        if (trial === undefined) return;
        if (answer.version !== trial.version && answer.version !== trial.stable) return;
        this.count(answer);
        const route = trial.add(answer, this.compareTime(trial, answer));
        if (answer.version !== trial.version || trial.failing) return;
        const reason = trial.tests.evaluateRoute(route, sumEvidence(trial.list().routes));
        if (reason === undefined) return;
        trial.failing = true;
        this.onFailing(answer.service, answer.version, reason);
    }

    /** What was seen of each split. */
    list(): readonly SplitEvidence[] {
        return [...this.trials.values()].map(trial => trial.list());
    }

    /** Whether a candidate's answer was slow. Times of the stable version set the limit. */
    private compareTime(trial: Trial, { version, route, stage, milliseconds }: VersionAnswer): boolean | undefined {
        if (milliseconds === undefined) return undefined;
        const key = `${trial.service}/${trial.stable}/${route}/${stage}`;
        const limit = this.limits.get(key) ?? new SlowLimit();
        this.limits.set(key, limit);
        if (version === trial.version) return limit.isSlow(milliseconds);
        limit.add(milliseconds);
        return undefined;
    }
}
