/** The policy and the baselines that each load case compares, and one run of one of them. */
import { monitorEventLoopDelay } from "node:perf_hooks";
import {
    type ChooseTarget,
    chooseByLoad,
    chooseLeastOutstanding,
    chooseRandomly,
    createRoundRobin,
} from "../routing/index.js";
import { pause } from "../model/pause.js";
import { type Arrival, drawArrivals } from "./arrivals.js";
import { attainmentBound } from "./bound.js";
import { Callers, RETRY_THREE_RESENDS } from "./callers.js";
import { applyFaults, type LoadCase, loadCases, MEASURED_MS, WARM_UP_MS } from "./cases.js";
import { type Deployment, deployments } from "./deployment.js";
import { Fleet } from "./fleet.js";
import { type StandInTotals, summarise, type Summary } from "./summary.js";

/** The settings that a variant replaces; the rest of the system is the same in all variants. */
interface Variant {
    readonly chooseTarget: () => ChooseTarget;
    /** Whether plans share the budget. */
    readonly shares: boolean;
    /** How often every caller resends a request that was not done. */
    readonly resends: number;
}

const policy: Variant = { chooseTarget: () => chooseByLoad, shares: true, resends: 0 };

/** The variants by name. */
export const variants: Readonly<Record<string, Variant>> = {
    policy,
    random: { ...policy, chooseTarget: () => chooseRandomly },
    roundRobin: { ...policy, chooseTarget: createRoundRobin },
    leastOutstanding: { ...policy, chooseTarget: () => chooseLeastOutstanding },
    retryThree: { ...policy, chooseTarget: () => chooseRandomly, resends: RETRY_THREE_RESENDS },
    firstCome: { ...policy, chooseTarget: () => chooseLeastOutstanding, shares: false },
};

/** Selects a variant, case, deployment and seed. */
export interface VariantRun {
    readonly caseName: string;
    readonly deployment: string;
    readonly variant: string;
    readonly seed: number;
}

/** Figures of one variant's run. */
export interface VariantReport extends Summary {
    /** Upper bound of the weighted attainment; the same for all variants. */
    readonly bound: number;
    /** 99th percentile of the event loop's delay, in milliseconds; shows a shortage of processor time. */
    readonly loopDelayP99: number;
}

/** Runs one variant of one case in this process, in real time. */
export async function runVariant(run: VariantRun): Promise<VariantReport> {
    const deployment = valueNamed(deployments, run.deployment);
    const loadCase = valueNamed(loadCases, run.caseName);
    const variant = valueNamed(variants, run.variant);
    const arrivals = arrivalsOf(deployment, loadCase, run.seed);
    const { shares, resends } = variant;
    const fleet = await Fleet.start({ deployment, shares, chooseTarget: variant.chooseTarget() });
    const delay = monitorEventLoopDelay({ resolution: 5 });
    delay.enable();
    const start = performance.now() + WARM_UP_MS;
    const faults = applyFaults(loadCase, fleet, start);
    const records = await Callers.create(fleet, deployment, resends).sendAll(arrivals, start);
    await faults;
    // Lets runs that outlive their request's answer end before the counters are read.
    await pause(1_000);
    delay.disable();
    const summary = summarise(deployment, records, totalsOf(fleet));
    fleet.stop();
    const measured = arrivals.filter(arrival => arrival.at >= 0);
    const bound = attainmentBound(deployment, measured, loadCase.capacity?.(deployment) ?? []);
    return { ...summary, bound, loopDelayP99: delay.percentile(99) / 1e6 };
}

function valueNamed<Value>(values: Readonly<Record<string, Value>>, name: string): Value {
    const value = values[name];
    if (value === undefined) throw new Error(`unknown case, deployment or variant ${name}`);
    return value;
}

function arrivalsOf(deployment: Deployment, loadCase: LoadCase, seed: number): readonly Arrival[] {
    const rateChanges = loadCase.rateChanges?.(deployment) ?? [];
    const drawn = drawArrivals({ deployment, seed, from: -WARM_UP_MS, until: MEASURED_MS, rateChanges });
    return [...drawn, ...(loadCase.extraArrivals?.(deployment) ?? [])].sort((left, right) => left.at - right.at);
}

function totalsOf(fleet: Fleet): StandInTotals {
    const costByStage: Record<string, number> = {};
    for (const { service, engine } of fleet.targets) {
        costByStage[service] = (costByStage[service] ?? 0) + engine.standIn.counters().costMilliseconds;
    }
    const engines = fleet.targets.map(target => target.engine);
    return {
        costByStage,
        extraRuns: fleet.runCounter.extraRuns(),
        coldOverrun: Math.max(...engines.map(engine => engine.coldOverrun)),
        coldOverrunAfterNotice: Math.max(...engines.map(engine => engine.coldOverrunAfterNotice)),
        startsInZoneOut: engines.reduce((sum, engine) => sum + engine.startsAfterZoneOut, 0),
    };
}
