/**
 * Judges the new version of a service from the answers of all gateways.
 *
 * The answers of the new version are compared with those that the old version gives in the same time: how many fail,
 * and how many are much slower than the old version's on the same route. Both are likelihood ratios of a bad rate
 * against an acceptable one, for each route and in total, since a version may be bad on one route only.
 */
import { failureRates, type RouteEvidence, sumEvidence, type Tally } from "../moves/evidence.js";
import { likelihoodRatio, type TestRates } from "../moves/sequential.js";

/** One answer of a target of a service with two versions, or a missing one. */
export interface VersionObservation {
    readonly route: string;
    /** Whether the target has the new version. */
    readonly isNew: boolean;
    /** Whether the answer was an error, broken or missing. */
    readonly failed: boolean;
    /** Time of the answer relative to the route's latency objective; absent where it says nothing about the version. */
    readonly slowness?: number | undefined;
}

/** Log likelihood ratio from which a version counts as bad: the answers are a thousand times likelier from a bad one. */
const BAD_RATIO = Math.log(1_000);

/**
 * Log likelihood ratio above which a version is not kept, for all routes together and for one route. One route has few
 * answers, of which two slow ones are no evidence yet.
 */
const DOUBTFUL_RATIO = 0;
const DOUBTFUL_ROUTE_RATIO = Math.log(5);

/** Answers with which a version can be bad, and with which it can be good. */
const MINIMUM_ANSWERS_FOR_BAD = 6;
const MINIMUM_ANSWERS_FOR_GOOD = 8;

/**
 * An answer is slow if it takes this many times as long as nine in ten answers of the old version, and longer by at
 * least this fraction of the latency objective. Shorter differences are those of the network and of busy processes.
 */
const SLOW_FACTOR = 2;
const SLOW_EXCESS = 0.1;
const SLOW_QUANTILE = 0.9;

/** Answers of the old version on a route with which times are compared. */
const MINIMUM_OLD_TIMES = 10;

/** Newest times that are kept of one version on one route. */
const MAXIMUM_TIMES = 500;

/** Routes that are counted each by itself; an answer on a further one counts as one of all others together. */
const MAXIMUM_ROUTES = 2_000;
const OTHER_ROUTES = "";

const SLOW_RATES: TestRates = { acceptable: 0.08, bad: 0.35 };

interface VersionCounts {
    answers: number;
    failures: number;
    readonly times: number[];
}

interface RouteCounts {
    readonly stable: VersionCounts;
    readonly candidate: VersionCounts;
}

/** Collects observations of one new version and judges it. */
export class VersionJudge {
    private readonly routes = new Map<string, RouteCounts>();

    private constructor() {}

    static create(): VersionJudge {
        return new VersionJudge();
    }

    add({ route, isNew, failed, slowness }: VersionObservation): void {
        const counts = this.countsOf(route);
        const version = isNew ? counts.candidate : counts.stable;
        version.answers += 1;
        version.failures += Number(failed);
        if (slowness === undefined) return;
        version.times.push(slowness);
        if (version.times.length > MAXIMUM_TIMES) version.times.shift();
    }

    /** Why the new version is bad, with the counts; undefined as long as the evidence is too weak. */
    findFault(): string | undefined {
        for (const evidence of this.evidence()) {
            for (const { what, events, observations, ratio } of comparisons(evidence)) {
                if (observations < MINIMUM_ANSWERS_FOR_BAD || ratio < BAD_RATIO) continue;
                return `${evidence.route}: ${events} of ${observations} answers ${what}`;
            }
        }
        return undefined;
    }

    /** Whether there are enough answers, and they speak for the new version. */
    isAcceptable(): boolean {
        if (this.newAnswers < MINIMUM_ANSWERS_FOR_GOOD) return false;
        return this.evidence().every((evidence, index) => {
            const largest = index === 0 ? DOUBTFUL_RATIO : DOUBTFUL_ROUTE_RATIO;
            return comparisons(evidence).every(
                ({ observations, ratio }) => observations < MINIMUM_ANSWERS_FOR_BAD || ratio <= largest,
            );
        });
    }

    /** Number of answers of the new version. */
    get newAnswers(): number {
        return [...this.routes.values()].reduce((sum, counts) => sum + counts.candidate.answers, 0);
    }

    private countsOf(route: string): RouteCounts {
        const key = this.routes.has(route) || this.routes.size < MAXIMUM_ROUTES ? route : OTHER_ROUTES;
        const known = this.routes.get(key);
        if (known !== undefined) return known;
        const created = { stable: emptyCounts(), candidate: emptyCounts() };
        this.routes.set(key, created);
        return created;
    }

    /** The evidence in total, then of each route. */
    private evidence(): readonly RouteEvidence[] {
        const routes = [...this.routes].map(([route, counts]) => ({ route: `route ${route}`, ...tallies(counts) }));
        return [{ ...sumEvidence(routes), route: "all routes" }, ...routes];
    }
}

function emptyCounts(): VersionCounts {
    return { answers: 0, failures: 0, times: [] };
}

function tallies({ stable, candidate }: RouteCounts): Omit<RouteEvidence, "route"> {
    const sorted = [...stable.times].sort((left, right) => left - right);
    const limit =
        sorted.length < MINIMUM_OLD_TIMES ? undefined : (sorted[Math.floor(sorted.length * SLOW_QUANTILE)] ?? 0);
    const timesOf = (times: readonly number[]): { readonly timed: number; readonly slow: number } =>
        limit === undefined
            ? { timed: 0, slow: 0 }
            : {
                  timed: times.length,
                  slow: times.filter(time => time > Math.max(limit * SLOW_FACTOR, limit + SLOW_EXCESS)).length,
              };
    const tally = ({ answers, failures, times }: VersionCounts): Tally => ({ answers, failures, ...timesOf(times) });
    return { stable: tally(stable), candidate: tally(candidate) };
}

function comparisons({ stable, candidate }: RouteEvidence): readonly {
    readonly what: string;
    readonly events: number;
    readonly observations: number;
    readonly ratio: number;
}[] {
    const failures = { observations: candidate.answers, events: candidate.failures };
    const slow = { observations: candidate.timed, events: candidate.slow };
    return [
        { what: "failed", ...failures, ratio: likelihoodRatio(failures, failureRates(stable)) },
        { what: "were slow", ...slow, ratio: likelihoodRatio(slow, SLOW_RATES) },
    ];
}
