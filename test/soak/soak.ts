/**
 * A randomized fault soak: real gateway processes, with stand-ins for the platform's store and the targets behind fault
 * proxies. Faults come in series that overlap; callers use open connections until a process is gone.
 */
import { writeFileSync } from "node:fs";
import { Agent } from "node:http";
import { createRandom } from "../../src/bench/random.js";
import { pause } from "../processes/daemons.js";
import { KINDS, SoakCallers } from "./callers.js";
import { MACHINE_MEGABYTES, SoakDeployment } from "./deployment.js";
import { SoakEndless } from "./endless.js";
import { type EndlessRecord, findEndlessFaults, findProcessFaults } from "./endlesspromises.js";
import { SoakFaults, type FaultTable } from "./faults.js";
import { type CallerObservation, findBrokenPromises, type RequestKind } from "./promises.js";
import { SoakSilences } from "./silences.js";
import { countRepeats, findExcessWork, findUnsoundEnds, type SoakLimits } from "./soundpromises.js";

/**
 * What happens in a run: disruptions of processes and connections, silences beside planned work, these and targets that
 * stay silent, or targets and callers that send without end beside planned work.
 */
export type FaultMix = "disruptions" | "silences" | "darkness" | "endless";

export interface SoakOptions {
    readonly seed: number;
    readonly milliseconds: number;
    readonly gateways: number;
    readonly callers: number;
    readonly mix: FaultMix;
    /** File for the output of all gateways of a run that broke promises. */
    readonly logFile?: string | undefined;
}

export interface SoakResult {
    readonly broken: readonly string[];
    /**
     * Number of requests by kind and status, with the reason of a refusal, and the longest time in milliseconds that one
     * of them took. Status 0 is for those without an answer.
     */
    readonly ends: Readonly<Record<string, readonly [count: number, longestMs: number]>>;
    /** Arrivals beyond the first of a request or piece, by service. */
    readonly repeats: Readonly<Record<string, number>>;
    /** Faults by kind. */
    readonly faults: Readonly<Record<string, number>>;
    /** The same of the requests after the last fault. */
    readonly endsAfter: SoakResult["ends"];
    /** Fraction of those that were served, of the kinds that the mix allows to be served. */
    readonly servedAfter: number;
    /** Largest resident memory in megabytes of any gateway's process; 0 if it is not known. */
    readonly peakMegabytes: number;
}

/** Largest number of faults of a run, which separates the generators of different seeds. */
const FAULTS_PER_SEED = 100_000;

/** Fraction of the requests after the last fault that have to be served at least. */
export const LEAST_SERVED = 0.9;

/** Time in milliseconds after the last fault in which everything recovers. */
const RECOVERY_MS = 8_000;

interface MixSettings {
    readonly limits: SoakLimits;
    readonly eventGapMs: number;
    readonly stagedLatencyMs: number;
    /** Requests that show the recovery: rounds, and requests in each at the same time for three gateways. */
    readonly roundsAfter: number;
    readonly requestsAfter: number;
    readonly hasFullEngines: boolean;
    readonly isEndless: boolean;
    /** Kinds of these requests of which nine in ten are served. */
    readonly servedKinds: readonly RequestKind[];
}

const DISRUPTION_SETTINGS: MixSettings = {
    limits: { deadlineMs: 4_000, stopGraceMs: 5_000, retryFraction: 0.2, retryAllowance: 50 },
    eventGapMs: 10,
    stagedLatencyMs: 500,
    roundsAfter: 1,
    requestsAfter: 40,
    hasFullEngines: false,
    isEndless: false,
    servedKinds: KINDS,
};

/**
 * The deadline allows several silences in a row; streams last long enough to meet one between two events. The requests
 * after the run are about as many at a time as those before, and each target gets some of them.
 */
const SILENCE_SETTINGS: MixSettings = {
    limits: { deadlineMs: 8_000, stopGraceMs: 8_000, retryFraction: 0.2, retryAllowance: 20 },
    eventGapMs: 80,
    stagedLatencyMs: 2_000,
    roundsAfter: 8,
    requestsAfter: 18,
    hasFullEngines: true,
    isEndless: false,
    servedKinds: KINDS,
};

/**
 * Gateways send some requests to dark targets to see if they answer. Of these only resumable streams are sent to another
 * target before their deadline; plain calls may last long.
 */
const DARKNESS_SETTINGS: MixSettings = {
    ...SILENCE_SETTINGS,
    limits: { ...SILENCE_SETTINGS.limits, deadlineMs: 4_000 },
    roundsAfter: 3,
    servedKinds: ["chat"],
};

/** Retries beside faulty targets get the allowance of `disruptions`. */
const ENDLESS_SETTINGS: MixSettings = {
    ...DISRUPTION_SETTINGS,
    eventGapMs: 40,
    stagedLatencyMs: 2_000,
    roundsAfter: 8,
    requestsAfter: 18,
    isEndless: true,
};

const SETTINGS: Readonly<Record<FaultMix, MixSettings>> = {
    disruptions: DISRUPTION_SETTINGS,
    silences: SILENCE_SETTINGS,
    darkness: DARKNESS_SETTINGS,
    endless: ENDLESS_SETTINGS,
};

/** One run of the soak. */
export class Soak {
    private readonly faults: SoakFaults;
    private readonly silences: SoakSilences;
    private readonly callers: SoakCallers;
    private readonly endless: SoakEndless;

    private constructor(
        private readonly options: SoakOptions,
        private readonly settings: MixSettings,
        private readonly deployment: SoakDeployment,
        prefix: string,
    ) {
        // Faults draw from generators of their own, so that a seed determines their series.
        const callerRandom = createRandom(options.seed);
        this.callers = SoakCallers.create(deployment, prefix, settings.limits.deadlineMs, callerRandom);
        this.faults = SoakFaults.create(deployment);
        this.silences = SoakSilences.create(deployment);
        this.endless = SoakEndless.create(deployment, this.callers);
    }

    static async run(options: SoakOptions): Promise<SoakResult> {
        const settings = SETTINGS[options.mix];
        const prefix = `p${process.pid}s${options.seed}`;
        const deployment = await SoakDeployment.start({ prefix, gateways: options.gateways, ...settings });
        try {
            const result = await new Soak(options, settings, deployment, prefix).play();
            const hasFailed = result.broken.length > 0 || result.servedAfter < LEAST_SERVED;
            if (options.logFile !== undefined && hasFailed) {
                writeFileSync(options.logFile, deployment.output);
            }
            return result;
        } finally {
            await deployment.close();
        }
    }

    private async play(): Promise<SoakResult> {
        const { options, deployment } = this;
        const table = this.faultTable();
        const end = performance.now() + options.milliseconds;
        const callers = Array.from({ length: options.callers }, () =>
            this.callers.callUntil(() => performance.now() > end),
        );
        const pending: Promise<void>[] = [];
        for (let fault = 1; performance.now() < end; fault += 1) {
            const random = createRandom(options.seed * FAULTS_PER_SEED + fault);
            await pause(150 + random() * 900);
            pending.push(this.faults.cause(table, random));
        }
        await Promise.all([...callers, ...pending]);
        await pause(RECOVERY_MS);
        await deployment.untilReady();
        const recoveredAt = performance.now();
        const { roundsAfter, requestsAfter } = this.settings;
        const length = Math.max(requestsAfter, options.mix === "disruptions" ? 0 : options.callers);
        for (let round = 0; round < roundsAfter; round += 1) {
            await Promise.all(Array.from({ length }, () => this.callers.callOnce(new Agent())));
        }
        return this.judge(recoveredAt);
    }

    private faultTable(): FaultTable {
        const { faults, silences, endless } = this;
        const drainMs = this.settings.limits.deadlineMs;
        switch (this.options.mix) {
            case "disruptions":
                return faults.disruptions();
            case "silences":
                return { ...faults.plannedWork(drainMs), ...silences.silences() };
            case "darkness":
                return { ...faults.plannedWork(drainMs), ...silences.silences(), ...silences.darkness() };
            case "endless":
                return { ...faults.plannedWork(drainMs), ...endless.faults() };
        }
    }

    private judge(recoveredAt: number): SoakResult {
        const { deployment, faults, silences, endless } = this;
        const { observations } = this.callers;
        const after = observations.filter(({ startedAt }) => startedAt >= recoveredAt);
        const record: EndlessRecord = {
            callers: observations,
            targets: deployment.targetObservations,
            drained: deployment.drained,
            disturbances: faults.disturbances,
            limits: this.settings.limits,
            pieces: deployment.pieces,
            stops: faults.stops,
            heldLinks: silences.heldLinks,
            changes: deployment.changes,
            recoveredAt,
            availableTargets: [...deployment.targets.values()].filter(({ isDark }) => !isDark).map(({ id }) => id),
            processes: deployment.processObservations,
            mostResidentBytes: MACHINE_MEGABYTES * 1e6,
            replacedIds: deployment.parties?.replacedIds ?? new Set(),
            troubles: endless.troubles,
        };
        const { mix } = this.options;
        const broken = [
            ...findBrokenPromises(record),
            ...(mix === "disruptions" ? [] : findExcessWork(record)),
            ...(mix === "silences" ? findUnsoundEnds(record) : []),
            ...(mix === "endless" ? findEndlessFaults(record) : findProcessFaults(record)),
        ];
        const servable = after.filter(({ kind }) => this.settings.servedKinds.includes(kind));
        const served = servable.filter(({ status, complete }) => status === 200 && complete).length;
        return {
            broken,
            ends: countEnds(observations),
            repeats: countRepeats(record),
            faults: { ...faults.counts, ...endless.counts },
            endsAfter: countEnds(after),
            servedAfter: served / servable.length,
            peakMegabytes: Math.round(Math.max(...record.processes.map(({ peakBytes }) => peakBytes)) / 1e6),
        };
    }
}

function countEnds(callers: readonly CallerObservation[]): SoakResult["ends"] {
    const ends: Record<string, readonly [number, number]> = {};
    for (const { kind, status, body, complete, startedAt, endedAt } of callers) {
        const text = status === 200 ? (complete ? "" : " cut") : ` ${body.trim()}`;
        const end = `${kind} ${status}${text}`;
        const [count, longestMs] = ends[end] ?? [0, 0];
        ends[end] = [count + 1, Math.max(longestMs, Math.round(endedAt - startedAt))];
    }
    return ends;
}
