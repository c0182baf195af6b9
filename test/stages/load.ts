/**
 * Simulates a load on stage services on the paused clock.
 *
 * Requests arrive in groups and go through the gateway's real stages and queues to simulated targets, whose calls take
 * time and whose memory is limited. Networks and engines are modelled by a duration only, processors not at all.
 */
import { vi } from "vitest";
import { createRandom } from "../../src/bench/random.js";
import type { RouteStage, StageCapacity } from "../../src/gateway/configuration.js";
import { FirstEventTimes } from "../../src/gateway/firstevent.js";
import type { TargetRegistration } from "../../src/gateway/target.js";
import { TargetDirectory } from "../../src/gateway/targetdirectory.js";
import { Deadline } from "../../src/model/index.js";
import { pause, withTimeout } from "../../src/model/pause.js";
import {
    type CallOutcome,
    type PieceCallLimits,
    type PieceJob,
    StageQueue,
    StageSchedule,
} from "../../src/stages/index.js";
import { runStages } from "../../src/stages/run.js";
import { RecentWaits } from "../../src/stages/waits.js";

/** A stage service of the load, with one target for each entry of `zones`. */
export interface LoadService extends StageCapacity {
    readonly zones: readonly string[];
}

/** A kind of request, with its arrival rate. */
export interface LoadRoute {
    readonly name: string;
    readonly worth: number;
    /** Fraction of the worth that a late answer counts. */
    readonly lateShare: number;
    readonly targetMs: number;
    readonly deadlineMs: number;
    readonly priority: number;
    /** Requests a second at a given second of the load. */
    readonly perSecond: (second: number) => number;
    readonly stages: readonly RouteStage[];
    /** Number of pieces by stage, drawn with a generator of numbers from 0 to 1. */
    readonly pieces: (random: () => number) => readonly number[];
}

export interface Load {
    readonly seed: number;
    readonly seconds: number;
    readonly services: Readonly<Record<string, LoadService>>;
    readonly routes: readonly LoadRoute[];
    readonly silences?: readonly Silence[];
}

/** A time in which a target sends nothing; calls in progress and later ones go on after it. */
export interface Silence {
    readonly target: string;
    /** Milliseconds from the start of the load. */
    readonly at: number;
    readonly milliseconds: number;
}

/** Outcome of a simulated load. */
export interface LoadResult {
    /** Worth of the answers relative to that of all requests. */
    readonly worth: number;
    readonly onTime: number;
    readonly late: number;
    /** Requests without an answer. */
    readonly unanswered: number;
    /** Calls to targets, and pieces requested in them. */
    readonly calls: number;
    readonly pieces: number;
    /** Pieces made beyond the first of each. */
    readonly madeAgain: number;
}

/** Time in milliseconds from a caller to its gateway, and from there to the queue: network and processing. */
const HOP_MS = 12;

/** Median duration of an engine call in milliseconds, and the spread of its logarithm. */
const ENGINE_MS = 80;
const ENGINE_SPREAD = 0.5;

/** Mean number of requests in a group, and the time in milliseconds over which a group arrives. */
const MEAN_GROUP_SIZE = 3;
const GROUP_SPREAD_MS = 30;

/** Time in milliseconds that the gateway reserves of a deadline for the engine and the answer. */
const ANSWER_RESERVE_MS = 1_150;

/** Shortest time in milliseconds after which a refused caller retries. Each caller retries once. */
const MINIMUM_RETRY_MS = 500;

/** Step in milliseconds by which the clock advances, and time after the load in which open requests may finish. */
const STEP_MS = 5;
const DRAIN_MS = 30_000;

/** A target that runs one call at a time and keeps results until they are released or expire. */
class LoadTarget {
    calls = 0;
    pieces = 0;
    readonly made: string[] = [];
    private silentFrom = Number.POSITIVE_INFINITY;
    private silentUntil = Number.POSITIVE_INFINITY;
    private readonly results = new Map<string, { readonly bytes: number; readonly until: number }>();
    private lastCall: Promise<void> = Promise.resolve();
    private madeCount = 0;

    constructor(
        readonly address: string,
        private readonly capacity: StageCapacity,
    ) {}

    release(handles: readonly string[]): void {
        for (const handle of handles) this.results.delete(handle);
    }

    holds(handle: string): boolean {
        return this.results.has(handle);
    }

    fallSilent(from: number, milliseconds: number): void {
        this.silentFrom = from;
        this.silentUntil = from + milliseconds;
    }

    async call(
        pieces: readonly PieceJob[],
        { deadline, signal }: PieceCallLimits,
        holdsInput: (handle: string) => boolean,
    ): Promise<CallOutcome> {
        this.calls += 1;
        this.pieces += pieces.length;
        const call = { isClosed: false };
        const gaveUp = { kind: "gaveUp", reason: "no answer in time" } as const;
        const closed = new Promise<CallOutcome>(resolve =>
            signal.addEventListener("abort", () => resolve({ kind: "cancelled" })),
        );
        const answered = Promise.race([this.work(pieces, holdsInput, call), closed]);
        const outcome = await withTimeout(answered, deadline.remainingMs(), gaveUp);
        call.isClosed = true;
        return outcome;
    }

    private async waitForEndOfSilence(): Promise<void> {
        const now = performance.now();
        if (now >= this.silentFrom && now < this.silentUntil) await pause(this.silentUntil - now);
    }

    private async work(
        pieces: readonly PieceJob[],
        holdsInput: (handle: string) => boolean,
        call: { readonly isClosed: boolean },
    ): Promise<CallOutcome> {
        const before = this.lastCall;
        let end = (): void => undefined;
        this.lastCall = new Promise(resolve => (end = resolve));
        await before;
        await this.waitForEndOfSilence();
        // A call whose connection is closed while it waits is dropped.
        if (call.isClosed) {
            end();
            return { kind: "failed", reason: "closed" };
        }
        // Inputs are fetched and memory is reserved when the call starts.
        const answers = pieces.map(({ inputs, resultBytes }) => {
            if (!inputs.every(holdsInput)) return { kind: "inputGone" } as const;
            if (this.freeBytes() < resultBytes) return { kind: "noRoom" } as const;
            this.madeCount += 1;
            const handle = `${this.address}/${this.madeCount}`;
            this.results.set(handle, { bytes: resultBytes, until: Number.POSITIVE_INFINITY });
            return { kind: "made", handle } as const;
        });
        await pause(this.capacity.callMs + pieces.length * this.capacity.pieceMs);
        await this.waitForEndOfSilence();
        pieces.forEach(({ requestId, stage, index }, position) => {
            if (answers[position]?.kind === "made") this.made.push(`${requestId} ${stage} ${index}`);
        });
        const until = performance.now() + this.capacity.resultLifetimeMs;
        for (const answer of answers) {
            const result = answer.kind === "made" ? this.results.get(answer.handle) : undefined;
            if (answer.kind === "made" && result !== undefined) this.results.set(answer.handle, { ...result, until });
        }
        end();
        return { kind: "answered", answers };
    }

    private freeBytes(): number {
        let used = 0;
        for (const [handle, { bytes, until }] of this.results) {
            if (until <= performance.now()) this.results.delete(handle);
            else used += bytes;
        }
        return this.capacity.memoryBytes - used;
    }
}

/** The stage services of a load, behind the gateway's queues. */
class StageServices {
    readonly targets = new Map<string, LoadTarget>();
    readonly schedule: StageSchedule;
    private readonly queues = new Map<string, StageQueue>();
    private readonly waits = RecentWaits.create();

    constructor(services: Readonly<Record<string, LoadService>>) {
        const directory = TargetDirectory.create(
            () => undefined,
            () => 1,
        );
        for (const [service, capacity] of Object.entries(services)) {
            capacity.zones.forEach((zone, index) => {
                const id = `${service}-${index}`;
                this.targets.set(id, new LoadTarget(`${id}:1`, capacity));
                directory.put(recordOf(service, id, zone));
            });
            this.queues.set(service, this.queueOf(service, capacity, directory));
        }
        this.schedule = StageSchedule.create({
            capacity: service => services[service],
            waitMs: service => this.waits.waitMs(service),
        });
    }

    async make(jobs: readonly PieceJob[], signal: AbortSignal): Promise<Awaited<ReturnType<StageQueue["make"]>>> {
        const service = jobs[0]?.service ?? "";
        const queue = this.queue(service);
        await pause(HOP_MS);
        const results = await queue.make(jobs, signal);
        await pause(HOP_MS);
        this.waits.record(service, queue.waitMs);
        return results;
    }

    release(service: string, handles: readonly string[]): void {
        setTimeout(() => this.queue(service).release(handles), HOP_MS);
    }

    private releaseEarly(handles: readonly string[]): void {
        const serviceOf = (handle: string): string => holderAddressOf(handle).split("-")[0] ?? "";
        for (const service of new Set(handles.map(serviceOf))) {
            const own = handles.filter(handle => serviceOf(handle) === service);
            setTimeout(() => this.queue(service).releaseEarly(own), HOP_MS);
        }
    }

    private queue(service: string): StageQueue {
        const queue = this.queues.get(service);
        if (queue === undefined) throw new Error(`no service ${service}`);
        return queue;
    }

    private queueOf(service: string, capacity: StageCapacity, directory: TargetDirectory): StageQueue {
        const target = (id: string): LoadTarget => this.targets.get(id) ?? new LoadTarget("", capacity);
        return StageQueue.create(service, {
            targets: directory,
            callForPieces: ({ name }, pieces, limits) => {
                limits.onSent();
                const holdsInput = (handle: string): boolean =>
                    target(holderAddressOf(handle).split(":")[0] ?? "").holds(handle);
                return target(name).call(pieces, limits, holdsInput);
            },
            releaseResults: async ({ name }, handles) => {
                await pause(1);
                target(name).release(handles);
                return undefined;
            },
            holderOf: handle => directory.findByAddress(holderAddressOf(handle)),
            capacity: () => capacity,
            onInputsRead: handles => this.releaseEarly(handles),
            onDecision: () => undefined,
        });
    }
}

function holderAddressOf(handle: string): string {
    return handle.split("/")[0] ?? "";
}

function recordOf(service: string, id: string, zone: string): TargetRegistration {
    const rest = { incarnation: 1, version: "v1", slots: 1, state: "available", coldRemainingMs: 0 } as const;
    return { id, service, address: `${id}:1`, zone, ...rest };
}

/** Simulates a load. The clock must be paused. */
export async function simulateLoad({ seed, seconds, services, routes, silences = [] }: Load): Promise<LoadResult> {
    const random = createRandom(seed);
    const stages = new StageServices(services);
    for (const { target, at, milliseconds } of silences) {
        stages.targets.get(target)?.fallSilent(performance.now() + at, milliseconds);
    }
    const engines = FirstEventTimes.create();
    const zones = [...new Set(Object.values(services).flatMap(service => service.zones))];
    const counts = { onTime: 0, late: 0, unanswered: 0 };
    let [earned, total] = [0, 0];

    /**
     * Runs one attempt of a caller. Returns undefined if it was answered, otherwise the time to wait before the next.
     */
    const attempt = async (route: LoadRoute, id: string, pieces: readonly number[]): Promise<number | undefined> => {
        await pause(HOP_MS);
        const latest = Deadline.after(route.targetMs);
        const outcome = await runStages({
            requestId: id,
            stages: route.stages,
            pieces,
            key: id,
            priority: route.priority,
            deadline: Deadline.after(route.deadlineMs - ANSWER_RESERVE_MS),
            targetTimeOf: stage =>
                stages.schedule.targetTimeOf(route.stages, stage, latest.earlierBy(engines.reserveMs(route.name))),
            expectedMs: stage => stages.schedule.callMs(route.stages[stage]?.service ?? ""),
            zone: zones[Math.floor(random() * zones.length)] ?? "",
            make: (jobs, signal) => stages.make(jobs, signal),
            release: (service, handles) => stages.release(service, handles),
            onTaskFailure: ({ task, error }) => {
                throw new Error(`${task}: ${error}`);
            },
            signal: new AbortController().signal,
        });
        if (outcome.kind === "lost") return HOP_MS + Math.max(MINIMUM_RETRY_MS, outcome.retryAfterMs);
        const engineMs = ENGINE_MS * Math.exp(ENGINE_SPREAD * 2 * (random() + random() + random() - 1.5));
        await pause(engineMs);
        engines.record(route.name, engineMs);
        outcome.release();
        await pause(HOP_MS);
        return undefined;
    };

    const serve = async (route: LoadRoute, id: string): Promise<void> => {
        const sentAt = performance.now();
        const pieces = route.pieces(random);
        total += route.worth;
        let waitMs = await attempt(route, id, pieces);
        if (waitMs !== undefined && performance.now() - sentAt + waitMs < route.deadlineMs) {
            await pause(waitMs);
            waitMs = await attempt(route, `${id}-again`, pieces);
        }
        const tookMs = performance.now() - sentAt;
        if (waitMs !== undefined) counts.unanswered += 1;
        else if (tookMs > route.targetMs) counts.late += 1;
        else counts.onTime += 1;
        if (waitMs === undefined) earned += route.worth * (tookMs > route.targetMs ? route.lateShare : 1);
    };

    let pending = 0;
    for (const route of routes) {
        for (const [index, at] of arrivals(route, seconds, random).entries()) {
            pending += 1;
            setTimeout(() => void serve(route, `${route.name}-${index}`).finally(() => (pending -= 1)), at);
        }
    }
    const latest = performance.now() + seconds * 1_000 + DRAIN_MS;
    while (pending > 0 && performance.now() < latest) await vi.advanceTimersByTimeAsync(STEP_MS);
    const targets = [...stages.targets.values()];
    const calls = targets.reduce((sum, target) => sum + target.calls, 0);
    const pieces = targets.reduce((sum, target) => sum + target.pieces, 0);
    const made = targets.flatMap(target => target.made);
    const madeAgain = made.length - new Set(made).size;
    return { worth: earned / total, ...counts, unanswered: counts.unanswered + pending, calls, pieces, madeAgain };
}

/** Arrival times of a route's requests in milliseconds from the start. */
function arrivals({ perSecond }: LoadRoute, seconds: number, random: () => number): readonly number[] {
    const times: number[] = [];
    for (let at = 0; at < seconds * 1_000;) {
        at += (-Math.log(1 - random()) / (perSecond(at / 1_000) / MEAN_GROUP_SIZE)) * 1_000;
        do times.push(at + random() * GROUP_SPREAD_MS);
        while (random() < 1 - 1 / MEAN_GROUP_SIZE);
    }
    return times;
}
