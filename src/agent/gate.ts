/**
 * The concurrency gate of one target, shared by all links of its agent.
 *
 * A target in a cold start fails under more concurrent work than its cold limit. The gate starts with that limit,
 * returns to it on any sign that the target is cold, and raises it as runs succeed. Only what the target reports at the
 * start of an execution shows that it is warm, because load reports lag.
 */
import PQueue from "p-queue";
import type { Metrics, StateLogger } from "../observability/index.js";
import { type Deadline, type RefusalReason, refusedStage, type StageOutcome } from "../model/index.js";
import type { EngineLoad } from "./engine.js";
import { type AttemptOptions, AttemptQueue, RecentDurations } from "./waiting.js";

/** Number of consecutive failures after which the target is treated as cold. */
const FAILURES_UNTIL_COLD = 3;

/** Factor by which the limit rises after as many successful runs as the limit. */
const SLOW_START_FACTOR = 1.5;

/** Minimum retry delay in a refusal for a full queue, in milliseconds. */
const MINIMUM_RETRY_MS = 20;

/** Number of boot ids that are kept to recognise a late load report from an earlier boot. */
const RETAINED_BOOT_IDS = 8;

/** Concurrency limits of one target. */
export interface GateLimits {
    readonly warm: number;
    readonly cold: number;
}

/** Settings and dependencies of a gate. */
export interface GateOptions {
    readonly maximumQueued: number;
    readonly logger: StateLogger;
    readonly metrics: Metrics;
}

/** An attempt that asks for admission. */
export interface GateRequest {
    readonly operation: string;
    readonly priority: number;
    readonly deadline: Deadline;
    /** Whether the run may be cancelled when the target turns cold; false for non-idempotent stages. */
    readonly cancellable: boolean;
    /** Cancels the wait or the run; never aborted for non-idempotent stages. */
    readonly signal: AbortSignal;
}

/** How a run ended; `neutral` says nothing about the state of the target. */
export type RunResult = "succeeded" | "failed" | "neutral";

/** A run that the gate has admitted. */
export interface GateRun {
    /** Aborted when the run has to end early. */
    readonly signal: AbortSignal;
    /** Reports what the target sent when the execution started. */
    started(bootId: string, cold: boolean): void;
    /** Reports how the run ended. */
    finished(result: RunResult): void;
}

/** State of the gate, as reported to entries. */
export interface GateLoad {
    readonly running: number;
    readonly queued: number;
    readonly limit: number;
    readonly cold: boolean;
}

/** A refusal; nothing was sent to the target. */
export type Refusal = Extract<StageOutcome, { kind: "refused" }>;

class AdmittedRun implements GateRun {
    private readonly controller = new AbortController();
    private readonly startedAt = performance.now();
    private startedWarm = false;

    constructor(
        readonly request: GateRequest,
        private readonly gate: Gate,
    ) {
        request.signal.addEventListener("abort", this.cancel, { once: true });
    }

    get signal(): AbortSignal {
        return this.controller.signal;
    }

    readonly cancel = (): void => {
        this.controller.abort();
    };

    started(bootId: string, cold: boolean): void {
        this.startedWarm = !cold;
        this.gate.observeStart(bootId, cold);
    }

    finished(result: RunResult): void {
        this.gate.observeResult(this.request.operation, result, performance.now() - this.startedAt, this.startedWarm);
    }

    detach(): void {
        this.request.signal.removeEventListener("abort", this.cancel);
    }
}

/** Admits attempts to one target. */
export class Gate {
    private readonly queue = new PQueue<AttemptQueue, AttemptOptions>({ concurrency: 1, queueClass: AttemptQueue });
    private readonly waiting = new Map<string, { request: GateRequest; refuse: (refusal: Refusal) => void }>();
    /** In the order of their start. */
    private readonly running = new Set<AdmittedRun>();
    private readonly durations = RecentDurations.create();
    private limits: GateLimits = { warm: 1, cold: 1 };
    private limit = 1;
    private cold = true;
    private successesInRound = 0;
    private consecutiveFailures = 0;
    /** Latest first. */
    private bootIds: readonly string[] = [];
    private lastReportedCold = false;
    private nextId = 0;

    private constructor(private readonly options: GateOptions) {}

    /** A gate for a target about which nothing is known: cold, with limit 1. */
    static create(options: GateOptions): Gate {
        return new Gate(options);
    }

    /** Current state of the gate. */
    get load(): GateLoad {
        return { running: this.running.size, queued: this.waiting.size, limit: this.limit, cold: this.cold };
    }

    /** Applies the limits from the configuration. */
    setLimits(limits: GateLimits): void {
        const warm = atLeastOne(limits.warm);
        this.limits = { warm, cold: Math.min(warm, atLeastOne(limits.cold)) };
        const nextLimit = this.cold ? this.limits.cold : Math.min(Math.max(this.limit, this.limits.cold), warm);
        this.changeLimit(nextLimit);
        if (this.cold) this.cancelExcess();
    }

    /** Why an attempt would be refused now, or undefined when it would run or wait. */
    refusal(request: Omit<GateRequest, "signal" | "cancellable">): Refusal | undefined {
        const durationMs = this.durations.lowerQuartile(request.operation);
        const hasRoom = this.running.size + this.waiting.size < this.limit;
        if (!hasRoom && this.waiting.size >= this.options.maximumQueued) {
            const retryMs = Math.max(MINIMUM_RETRY_MS, (durationMs * this.waiting.size) / this.limit);
            return refusedStage("overloaded", "the queue of the target is full", Math.ceil(retryMs));
        }
        const waitMs = hasRoom ? 0 : Math.floor(this.countAhead(request) / this.limit) * durationMs;
        if (request.deadline.remainingMs() <= waitMs + durationMs) {
            return refusedStage("deadline", "the remaining budget is too short to finish");
        }
        return undefined;
    }

    /** Runs the task as soon as the limit allows. A refusal means that the task was never called. */
    async run(request: GateRequest, task: (run: GateRun) => Promise<StageOutcome>): Promise<StageOutcome> {
        if (request.signal.aborted) return cancelledWhileWaiting();
        const refusal = this.refusal(request);
        if (refusal !== undefined) return this.recordRefusal(refusal);
        const id = String(this.nextId++);
        const waitController = new AbortController();
        const cancel = (): void => this.waiting.get(id)?.refuse(cancelledWhileWaiting());
        const timer = setTimeout(() => {
            this.waiting.get(id)?.refuse(refusedStage("deadline", "the deadline passed before the target had room"));
        }, request.deadline.remainingMs());
        // Aborts only the wait: on an abort during the run, p-queue would free the place of a task that still runs.
        const refuse = (reason: Refusal): void => {
            this.waiting.delete(id);
            waitController.abort(reason);
        };
        this.waiting.set(id, { request, refuse });
        request.signal.addEventListener("abort", cancel, { once: true });
        try {
            const options = {
                id,
                priority: request.priority,
                deadlineAt: request.deadline.at,
                signal: waitController.signal,
            };
            return await this.queue.add(() => this.admit(id, request, task), options);
        } catch (error) {
            if (waitController.signal.aborted) return this.recordRefusal(waitController.signal.reason as Refusal);
            throw error;
        } finally {
            clearTimeout(timer);
            request.signal.removeEventListener("abort", cancel);
            this.waiting.delete(id);
        }
    }

    /** Refuses waiting attempts that may run at another target. The others belong to slots that this agent owns. */
    refuseWaiting(reason: RefusalReason, message: string): void {
        for (const { request, refuse } of [...this.waiting.values()]) {
            if (request.cancellable) refuse(refusedStage(reason, message));
        }
    }

    /** Ends all work abruptly: refuses the waiting attempts and cancels all runs. */
    kill(): void {
        for (const { refuse } of [...this.waiting.values()]) refuse(refusedStage("stopping", "the agent ended"));
        for (const run of this.running) run.cancel();
    }

    /** Processes a load report. Since reports lag, earlier boot ids are ignored, and only a change to cold counts. */
    observeLoad(load: EngineLoad): void {
        if (this.bootIds.indexOf(load.bootId) > 0) return;
        this.observeBoot(load.bootId);
        const turnedCold = load.cold && !this.lastReportedCold;
        this.lastReportedCold = load.cold;
        if (turnedCold) this.turnCold("load report");
    }

    /** Processes what the target reports at the start of an execution. */
    observeStart(bootId: string, cold: boolean): void {
        this.observeBoot(bootId);
        if (cold) {
            this.turnCold("start of an execution");
        } else if (this.cold) {
            this.cold = false;
            this.options.logger.info("target is warm; the limit rises with successful runs", { limit: this.limit });
        }
    }

    /** Processes the end of an execution. `startedWarm`: whether the target reported at its start that it was warm. */
    observeResult(operation: string, result: RunResult, durationMs: number, startedWarm: boolean): void {
        if (result === "neutral") return;
        if (result === "failed") {
            this.consecutiveFailures += 1;
            if (this.consecutiveFailures >= FAILURES_UNTIL_COLD) this.turnCold("failures in a row");
            return;
        }
        this.consecutiveFailures = 0;
        this.durations.record(operation, durationMs);
        if (startedWarm && !this.cold) this.countSuccess();
    }

    private async admit(
        id: string,
        request: GateRequest,
        task: (run: GateRun) => Promise<StageOutcome>,
    ): Promise<StageOutcome> {
        this.waiting.delete(id);
        if (request.deadline.remainingMs() <= this.durations.lowerQuartile(request.operation)) {
            return this.recordRefusal(refusedStage("deadline", "the remaining budget is too short to finish"));
        }
        const run = new AdmittedRun(request, this);
        this.running.add(run);
        try {
            return await task(run);
        } finally {
            run.detach();
            this.running.delete(run);
        }
    }

    /** Number of waiting attempts that run before this one. */
    private countAhead(request: Pick<GateRequest, "priority" | "deadline">): number {
        let count = 0;
        for (const { request: other } of this.waiting.values()) {
            const runsBefore =
                other.priority > request.priority ||
                (other.priority === request.priority && other.deadline.at <= request.deadline.at);
            if (runsBefore) count += 1;
        }
        return count;
    }

    private observeBoot(bootId: string): void {
        const latest = this.bootIds[0];
        if (latest === bootId) return;
        this.bootIds = [bootId, ...this.bootIds.filter(other => other !== bootId)].slice(0, RETAINED_BOOT_IDS);
        if (latest !== undefined) this.turnCold("new boot id");
    }

    private turnCold(cause: string): void {
        this.consecutiveFailures = 0;
        this.successesInRound = 0;
        if (!this.cold) {
            this.options.metrics.increment("gate.turnedCold", 1, { cause });
            this.options.logger.warn("target turned cold", { cause, limit: this.limits.cold });
        }
        this.cold = true;
        this.changeLimit(this.limits.cold);
        this.cancelExcess();
    }

    private countSuccess(): void {
        if (this.limit >= this.limits.warm) return;
        this.successesInRound += 1;
        if (this.successesInRound < this.limit) return;
        this.successesInRound = 0;
        this.changeLimit(Math.min(this.limits.warm, Math.ceil(this.limit * SLOW_START_FACTOR)));
    }

    /** Cancels runs above the cold limit, youngest first, so that the runs closest to completion continue. */
    private cancelExcess(): void {
        const active = [...this.running].filter(run => !run.signal.aborted);
        let excess = active.length - this.limits.cold;
        for (const run of active.reverse()) {
            if (excess <= 0) return;
            if (!run.request.cancellable) continue;
            run.cancel();
            this.options.metrics.increment("gate.cancelled");
            excess -= 1;
        }
    }

    private changeLimit(limit: number): void {
        this.limit = limit;
        if (this.queue.concurrency !== limit) this.queue.concurrency = limit;
    }

    private recordRefusal(refusal: Refusal): Refusal {
        this.options.metrics.increment("gate.refused", 1, { reason: refusal.reason });
        return refusal;
    }
}

/** The limit as an integer of at least 1; 1 also when a configuration record lacks the number. */
function atLeastOne(limit: number): number {
    return Number.isFinite(limit) ? Math.max(1, Math.floor(limit)) : 1;
}

function cancelledWhileWaiting(): Refusal {
    return refusedStage("withdrawn", "cancelled before it was given to the target");
}
