/**
 * Measures the wrong verdicts of the version tests. Simulated answers of a stable and a new version at three entries go
 * through the evidence and the tests that version moves use, for many seeds of each scenario.
 */
import { Configuration } from "../configuration/index.js";
import { EvidenceCollector, mergeEvidence, type RouteEvidence, sumEvidence, VersionTests } from "../moves/evidence.js";
import { MINIMUM_STEP_ANSWERS } from "../moves/versionmove.js";
import { createRandom } from "./random.js";

const ENTRIES = 3;
const SHARES = [0.05, 0.25, 0.5, 1];
/** Minimum requests of a step, and the maximum while its evidence does not suffice. */
const REQUESTS_PER_STEP = 1_200;
const MAXIMUM_REQUESTS = 6_000;
/** Number of requests between two evaluations of the evidence of all entries. */
const EVALUATION_INTERVAL = 200;
const SEEDS = 300;

/** Failure probability and latency factor of a version. */
interface Behaviour {
    readonly failures: number;
    readonly slowness: number;
}

interface Scenario {
    readonly name: string;
    readonly good: boolean;
    readonly behave: (step: number, route: string) => Behaviour;
}

const GOOD: Behaviour = { failures: 0.003, slowness: 1 };
const FAILING: Behaviour = { failures: 0.3, slowness: 1 };
const SLOW: Behaviour = { failures: 0.003, slowness: 3 };

const SCENARIOS: readonly Scenario[] = [
    { name: "good", good: true, behave: () => GOOD },
    { name: "failing", good: false, behave: () => FAILING },
    { name: "failingALittle", good: false, behave: () => ({ failures: 0.06, slowness: 1 }) },
    { name: "failingLater", good: false, behave: step => (step < 2 ? GOOD : FAILING) },
    { name: "failingOnOneRoute", good: false, behave: (_step, route) => (route === "small" ? FAILING : GOOD) },
    { name: "slow", good: false, behave: () => SLOW },
    { name: "slowUnderLoad", good: false, behave: step => (step < 2 ? GOOD : SLOW) },
];

/** Verdicts of one scenario. */
export interface VerdictCounts {
    readonly scenario: string;
    readonly runs: number;
    readonly promoted: number;
    readonly stopped: number;
    /** Neither promoted nor stopped, for lack of evidence. */
    readonly undecided: number;
    /** Good and stopped, or bad and promoted. */
    readonly wrong: number;
    /** Median of the candidate's requests until it was stopped, from the step in which it first misbehaved. */
    readonly requestsUntilStopped: number | undefined;
}

interface Run {
    readonly verdict: "promoted" | "stopped" | "undecided";
    readonly requests: number;
}

/** Runs all scenarios for 300 seeds from the given one. */
export function measureVerdicts(seed: number): readonly VerdictCounts[] {
    return SCENARIOS.map(scenario => {
        const runs = Array.from({ length: SEEDS }, (_, index) => simulate(scenario, seed * 1_000_000 + index));
        const count = (verdict: Run["verdict"]): number => runs.filter(run => run.verdict === verdict).length;
        const stopped = runs.filter(run => run.verdict === "stopped").map(run => run.requests);
        return {
            scenario: scenario.name,
            runs: runs.length,
            promoted: count("promoted"),
            stopped: count("stopped"),
            undecided: count("undecided"),
            wrong: scenario.good ? count("stopped") : count("promoted"),
            requestsUntilStopped: stopped.sort((left, right) => left - right)[Math.floor(stopped.length / 2)],
        };
    });
}

function simulate(scenario: Scenario, seed: number): Run {
    const random = createRandom(seed);
    const entries = Array.from({ length: ENTRIES }, () => new SimulatedEntry());
    let requests = 0;
    for (const [step, share] of SHARES.entries()) {
        const { behave } = scenario;
        if (behave(step, "small") !== GOOD && step > 0 && behave(step - 1, "small") === GOOD) requests = 0;
        const result = simulateStep(scenario, entries, step, share, random);
        requests += result.requests;
        if (result.verdict !== "promoted") return { verdict: result.verdict, requests };
    }
    return { verdict: "promoted", requests };
}

class SimulatedEntry {
    failing = false;
    readonly evidence = EvidenceCollector.create(() => {
        this.failing = true;
    });
}

function simulateStep(
    { behave }: Scenario,
    entries: readonly SimulatedEntry[],
    step: number,
    share: number,
    random: () => number,
): Run {
    const split = { service: "generate", stable: "v1", candidate: { version: "v2", fraction: share } };
    const configuration = Configuration.of(step + 1, [{ kind: "traffic", name: "generate", value: split }]);
    for (const { evidence } of entries) evidence.configure(configuration);
    const tests = VersionTests.create();
    let requests = 0;
    for (let number = 1; number <= MAXIMUM_REQUESTS; number += 1) {
        const version = random() < share ? "v2" : "v1";
        const route = random() < 1 / 3 ? "small" : "large";
        const { failures, slowness } = version === "v2" ? behave(step, route) : GOOD;
        const milliseconds = slowness * (20 - 10 * Math.log(1 - random()));
        const answer = { service: "generate", version, route, stage: "generate", account: "kettleby", milliseconds };
        entries[number % ENTRIES]?.evidence.record({ ...answer, failed: random() < failures });
        requests += Number(version === "v2");
        if (entries.some(({ failing }) => failing)) return { verdict: "stopped", requests };
        if (number % EVALUATION_INTERVAL > 0) continue;
        const routes = mergeEvidence(entries.flatMap(({ evidence }) => evidence.list()));
        if (tests.evaluate(routes) !== undefined) return { verdict: "stopped", requests };
        if (number >= REQUESTS_PER_STEP && isPassed(tests, routes)) return { verdict: "promoted", requests };
    }
    return { verdict: "undecided", requests };
}

function isPassed(tests: VersionTests, routes: readonly RouteEvidence[]): boolean {
    const total = sumEvidence(routes);
    return total.candidate.answers >= MINIMUM_STEP_ANSWERS && tests.hasPassed(total);
}
