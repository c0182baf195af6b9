/** The load cases: the offered load, the schedule of faults, and the remaining capacity for the bound. */
import { pause } from "../model/pause.js";
import type { Arrival, RateChange } from "./arrivals.js";
import type { CapacityChange } from "./bound.js";
import { COLD_DURATION_MS, type Deployment, FULL_BATCH_FACTOR } from "./deployment.js";
import type { Fleet } from "./fleet.js";

/** Measured time, and the time in which the system warms up before it. */
export const MEASURED_MS = 12_000;
export const WARM_UP_MS = 2_000;

/** Interval of the faults, in measured time. */
export const FAULT_FROM_MS = 3_000;
export const FAULT_UNTIL_MS = 8_000;

/** Factor on the times of the slow target. */
const SLOW_FACTOR = 10;

/** Resends of the caller whose request crashes targets. */
const POISON_RESENDS = 8;
const CRASH_MARKER = "crash-marker";

const BURST_ACCOUNT = "small-1";
const BURST_SHARE_FACTOR = 10;

/** Service on which target faults happen; every deployment has it, and most requests use it. */
const FAULTY_SERVICE = "generate";

const ZONE_OUT = "middle";

/** A fault and when it is applied, in measured time. */
interface ScheduledFault {
    readonly at: number;
    readonly apply: (fleet: Fleet) => void | Promise<void>;
}

export interface LoadCase {
    readonly description: string;
    /** Start and end of the fault, for plots. */
    readonly fault?: readonly [number, number];
    readonly rateChanges?: (deployment: Deployment) => readonly RateChange[];
    readonly extraArrivals?: (deployment: Deployment) => readonly Arrival[];
    readonly faults?: readonly ScheduledFault[];
    readonly capacity?: (deployment: Deployment) => readonly CapacityChange[];
}

const faultWindow = { fault: [FAULT_FROM_MS, FAULT_UNTIL_MS] } as const;

/** Ten times the rate that an account's share of the budget allows; the mean load is 60% of the share. */
function burstRate(from: number, until: number): readonly RateChange[] {
    return [{ account: BURST_ACCOUNT, from, until, factor: BURST_SHARE_FACTOR / 0.6 }];
}

function replicas(deployment: Deployment, service: string): number {
    return deployment.pools.find(pool => pool.name === service)?.replicas ?? 0;
}

function coldTargets(deployment: Deployment): number {
    return Math.ceil(replicas(deployment, FAULTY_SERVICE) / 3);
}

/** Throughput of a cold target as a fraction of a warm one's. */
function coldFraction(deployment: Deployment): number {
    const engine = deployment.pools.find(pool => pool.name === FAULTY_SERVICE)?.engine;
    if (engine === undefined) return 1;
    const { concurrency, coldConcurrency, coldFactor = 1 } = engine;
    const load = coldConcurrency / concurrency;
    const cold = coldConcurrency / (coldFactor * (1 + (FULL_BATCH_FACTOR - 1) * load));
    return cold / (concurrency / FULL_BATCH_FACTOR);
}

function poisonArrival(deployment: Deployment, index: number, at: number): Arrival {
    const id = `poison-${index}`;
    const account = deployment.accounts[index]?.name ?? "";
    return { id, at, account, kind: 0, text: `${CRASH_MARKER} ${id}`, resends: POISON_RESENDS };
}

function zoneCapacity(deployment: Deployment): readonly CapacityChange[] {
    let position = 0;
    return deployment.pools.map(pool => {
        const indices = Array.from({ length: pool.replicas }, () => position++);
        const left = indices.filter(index => deployment.zones[index % deployment.zones.length] !== ZONE_OUT).length;
        return { service: pool.name, from: FAULT_FROM_MS, until: FAULT_UNTIL_MS, factor: left / pool.replicas };
    });
}

/** The cases by name. */
export const loadCases: Readonly<Record<string, LoadCase>> = {
    "steady": { description: "bursty arrivals at 60% of the budget, no fault" },
    "burst": {
        description: "one small account at ten times its share for 5 s",
        ...faultWindow,
        rateChanges: () => burstRate(FAULT_FROM_MS, FAULT_UNTIL_MS),
    },
    "cold": {
        description: "a third of the generators turns cold without notice, for 3 s",
        fault: [FAULT_FROM_MS, FAULT_FROM_MS + COLD_DURATION_MS],
        faults: [
            {
                at: FAULT_FROM_MS,
                apply: fleet => {
                    const targets = fleet.targetsOf(FAULTY_SERVICE);
                    for (const { engine } of targets.slice(0, Math.ceil(targets.length / 3))) engine.turnCold();
                },
            },
        ],
        capacity: deployment => {
            const count = replicas(deployment, FAULTY_SERVICE);
            const factor = 1 - (coldTargets(deployment) / count) * (1 - coldFraction(deployment));
            return [{ service: FAULTY_SERVICE, from: FAULT_FROM_MS, until: FAULT_FROM_MS + COLD_DURATION_MS, factor }];
        },
    },
    "slow": {
        description: "one generator ten times slower for 5 s",
        ...faultWindow,
        faults: [
            {
                at: FAULT_FROM_MS,
                apply: fleet => fleet.targetsOf(FAULTY_SERVICE)[0]?.engine.setSlowFactor(SLOW_FACTOR),
            },
            { at: FAULT_UNTIL_MS, apply: fleet => fleet.targetsOf(FAULTY_SERVICE)[0]?.engine.setSlowFactor(1) },
        ],
        capacity: deployment => {
            const factor = 1 - (1 - 1 / SLOW_FACTOR) / replicas(deployment, FAULTY_SERVICE);
            return [{ service: FAULTY_SERVICE, from: FAULT_FROM_MS, until: FAULT_UNTIL_MS, factor }];
        },
    },
    "poison": {
        description: "two requests that crash each generator that runs them, sent again through all entries",
        ...faultWindow,
        extraArrivals: deployment => [poisonArrival(deployment, 0, FAULT_FROM_MS), poisonArrival(deployment, 1, 6_000)],
        faults: [
            {
                at: 0,
                apply: fleet => {
                    for (const { engine } of fleet.targetsOf(FAULTY_SERVICE)) {
                        engine.standIn.setCrashMarker(CRASH_MARKER);
                    }
                },
            },
        ],
    },
    "outage": {
        description: "the store is down for 5 s while one account bursts at twice its share",
        ...faultWindow,
        rateChanges: () => [{ account: "large-1", from: 4_000, until: 6_000, factor: 2 / 0.6 }],
        faults: [
            { at: FAULT_FROM_MS, apply: fleet => fleet.store.setOutage(true) },
            { at: FAULT_UNTIL_MS, apply: fleet => fleet.store.setOutage(false) },
        ],
    },
    "lost-entry": {
        description: "one of three entries dies; its callers send again through the others",
        fault: [FAULT_FROM_MS, MEASURED_MS],
        faults: [{ at: FAULT_FROM_MS, apply: fleet => fleet.entries[0]?.kill() }],
    },
    "zone": {
        description: "operators take one of three zones out for 5 s",
        ...faultWindow,
        faults: [
            { at: FAULT_FROM_MS, apply: fleet => fleet.setZone(ZONE_OUT, "out") },
            { at: FAULT_UNTIL_MS, apply: fleet => fleet.setZone(ZONE_OUT, "in") },
        ],
        capacity: zoneCapacity,
    },
};

/** Applies a case's faults at their times after `start`. */
export async function applyFaults(loadCase: LoadCase, fleet: Fleet, start: number): Promise<void> {
    for (const fault of loadCase.faults ?? []) {
        await pause(Math.max(0, start + fault.at - performance.now()));
        await fault.apply(fleet);
    }
}
