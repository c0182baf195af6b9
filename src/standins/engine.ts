/**
 * A stand-in for a target: a model engine with continuous batching, or a plain service.
 *
 * Work up to `concurrency` slows each other mildly; beyond it, throughput falls as the batch grows. Work above
 * `batchLimit` waits by priority. A cold target is slow, and work beyond its cold concurrency fails.
 */
import { randomBytes } from "node:crypto";
import { once } from "node:events";
import type { Engine, EngineEvent, EngineLoad, EngineOrder, EngineRequest, OrderOutcome } from "../agent/engine.js";
import { Channel } from "../link/channel.js";
import { hashText } from "../model/index.js";
import { expectedOutput, expectedTokens } from "./output.js";
import { afterLag } from "./timing.js";

/** Behaviour of a stand-in target. Times are in milliseconds. */
export interface StandInEngineOptions {
    readonly operations: readonly string[];
    /** Operations that need an idempotency key. Each run of a key is counted; a key is not deduplicated. */
    readonly nonIdempotent?: readonly string[];
    readonly concurrency: number;
    readonly coldConcurrency: number;
    /** Work that runs at once; the rest waits. Twice the concurrency by default. */
    readonly batchLimit?: number;
    /** Waiting work above this is not started. */
    readonly maximumQueued?: number;
    readonly timePerCall: number;
    readonly timePerToken?: number;
    readonly fencing?: "enforced" | "ignored";
    /** Whether the target is cold when created. True by default, as after each restart. */
    readonly startsCold?: boolean;
    /** Completed calls after which a cold target is warm. */
    readonly warmAfterCalls?: number;
    /** Time after which a cold target is warm. */
    readonly warmAfterMilliseconds?: number;
    /** Factor on all times while cold. */
    readonly coldFactor?: number;
    /** Prompt prefixes that fit into the cache; 0 turns the cache off. */
    readonly prefixCacheSize?: number;
    readonly loadLagMilliseconds?: number;
    readonly cacheEventLagMilliseconds?: number;
}

/** Counters of a stand-in target since its creation, across restarts. */
export class EngineCounters {
    /** Runs that started. */
    runs = 0;
    completed = 0;
    cancelled = 0;
    highestConcurrency = 0;
    /** Highest concurrency that a start reached while the target was cold. */
    highestColdConcurrency = 0;
    prefixHits = 0;
    /** Target time of all runs, including those that gave no result. */
    costMilliseconds = 0;
    /** Runs by idempotency key. */
    readonly runsByKey: Record<string, number> = {};
    readonly orders: EngineOrder[] = [];
}

/** One change of the prefix cache. */
export interface CacheEvent {
    readonly sequence: number;
    readonly kind: "stored" | "evicted";
    readonly prefixHash: string;
}

type RunResult = "complete" | "fail" | "truncate";

/** Bound on the events of one run that its reader has not taken. */
const MAXIMUM_EVENTS = 100_000;
/** Slowdown of a full batch within the concurrency. */
const FULL_BATCH_SLOWDOWN = 0.3;
/** Time for which a crash marker keeps the target down, in calls. */
const CRASH_DOWN_CALLS = 10;
/** Part of a call's time that remains on a prefix hit. */
const PREFIX_HIT_FACTOR = 0.3;
/** Each cache event with a multiple of this sequence number is not published. */
const CACHE_EVENT_GAP = 7;

/** One execution, queued or running. */
class Run {
    readonly events = Channel.create<EngineEvent>(MAXIMUM_EVENTS);
    started = false;
    ended = false;
    /** Started above the cold concurrency; fails even if the target is warm by the end of its first step. */
    exceedsColdConcurrency = false;
    cost = 0;
    private timer: NodeJS.Timeout | undefined;

    constructor(readonly request: EngineRequest) {}

    /** Waits. The promise stays pending when the run ends meanwhile, so that nothing after it is executed. */
    pause(milliseconds: number): Promise<void> {
        return new Promise(resolve => {
            if (!this.ended) this.timer = setTimeout(resolve, milliseconds);
        });
    }

    end(event: EngineEvent): void {
        this.ended = true;
        clearTimeout(this.timer);
        this.events.push(event);
        this.events.close();
    }
}

/** The stand-in target. */
export class StandInEngine implements Engine {
    private readonly running = new Set<Run>();
    private queue: Run[] = [];
    private readonly prefixes = new Set<string>();
    private readonly publishedCacheEvents: CacheEvent[] = [];
    private cacheSequence = 0;
    private reportedLoad: EngineLoad | undefined;
    private readonly engineCounters = new EngineCounters();
    private bootId = randomBytes(6).toString("hex");
    private isCold = false;
    private coldCallsLeft = Infinity;
    private warmTimer: NodeJS.Timeout | undefined;
    private highestFencing = 0;
    private downUntil = 0;
    private isAnswering = true;
    private readonly resumed = new EventTarget();
    private slowFactor = 1;
    /** Runs and requests that are still to get a fault. */
    private readonly pendingFaults = { fail: 0, reject: 0, truncate: 0 };
    private failFraction = 0;
    private failOperation: string | undefined;
    private crashMarker: string | undefined;

    private constructor(private readonly options: StandInEngineOptions) {
        if (options.startsCold ?? true) this.turnCold();
        this.reportedLoad = this.currentLoad();
    }

    /** A target that has just started. */
    static create(options: StandInEngineOptions): StandInEngine {
        return new StandInEngine(options);
    }

    /** Executions that run now, without those that wait. */
    get runningCount(): number {
        return this.running.size;
    }

    /** Whether the target is cold now. */
    get cold(): boolean {
        return this.isCold;
    }

    /** A copy of what the target has done so far. */
    counters(): Readonly<EngineCounters> {
        return structuredClone(this.engineCounters);
    }

    async *execute(request: EngineRequest, signal: AbortSignal): AsyncGenerator<EngineEvent> {
        const run = new Run(request);
        const cancel = (): void => this.cancel(run);
        signal.addEventListener("abort", cancel);
        try {
            if (signal.aborted) cancel();
            else this.accept(run);
            for await (const event of run.events) {
                await this.waitUntilAnswering(signal);
                yield event;
            }
        } finally {
            signal.removeEventListener("abort", cancel);
            cancel();
        }
    }

    load(): Promise<EngineLoad | undefined> {
        return Promise.resolve(this.isUnresponsive() ? undefined : this.reportedLoad);
    }

    /** Applies an order. Loading a model or a version makes the target cold. */
    order(order: EngineOrder): Promise<OrderOutcome> {
        if (this.isUnresponsive()) return Promise.resolve({ kind: "unavailable", message: "no answer" });
        if (this.options.fencing === "enforced" && order.fencing < this.highestFencing) {
            return Promise.resolve({ kind: "staleFencing", message: `${this.highestFencing} was seen` });
        }
        this.highestFencing = Math.max(this.highestFencing, order.fencing);
        this.engineCounters.orders.push(order);
        if (order.kind === "loadModel" || order.kind === "loadVersion") this.turnCold();
        return Promise.resolve({ kind: "applied" });
    }

    /** Changes of the prefix cache after a sequence number, late and with gaps. */
    cacheEvents(after: number): readonly CacheEvent[] {
        return this.publishedCacheEvents.filter(event => event.sequence > after);
    }

    /** Makes the target cold without notice, without a restart. */
    turnCold(): void {
        this.isCold = true;
        this.coldCallsLeft = this.options.warmAfterCalls ?? Infinity;
        clearTimeout(this.warmTimer);
        const duration = this.options.warmAfterMilliseconds;
        if (duration !== undefined) this.warmTimer = setTimeout(() => this.turnWarm(), duration).unref();
        this.recordLoad();
    }

    /** Ends a cold start. */
    turnWarm(): void {
        this.isCold = false;
        clearTimeout(this.warmTimer);
        this.recordLoad();
    }

    /** Restarts the target: all work is lost, the prefix cache is empty and it does not answer for some time. */
    crash(downMilliseconds = 0): void {
        this.bootId = randomBytes(6).toString("hex");
        this.downUntil = performance.now() + downMilliseconds;
        const lost = [...this.running, ...this.queue];
        this.queue = [];
        this.prefixes.clear();
        this.turnCold();
        for (const run of lost) this.end(run, { kind: "lost", message: "target crashed" });
    }

    /** Stops or resumes answering. Work that is running continues without being reported. */
    setAnswering(on: boolean): void {
        this.isAnswering = on;
        if (on) this.resumed.dispatchEvent(new Event("resumed"));
    }

    /** Factor on all times. */
    setSlowFactor(factor: number): void {
        this.slowFactor = factor;
    }

    /** The next `count` runs fail after they started. */
    failNext(count: number): void {
        this.pendingFaults.fail = count;
    }

    /** The next `count` requests are declined for good, without effect. */
    rejectNext(count: number): void {
        this.pendingFaults.reject = count;
    }

    /** A fraction of the runs, of one operation or of all, fails after the start. */
    setFailFraction(fraction: number, operation?: string): void {
        this.failFraction = fraction;
        this.failOperation = operation;
    }

    /** Runs whose input contains the text crash the target; undefined turns this off. */
    setCrashMarker(text: string | undefined): void {
        this.crashMarker = text;
    }

    /** The next `count` answers end half way, without their last line. */
    truncateNext(count: number): void {
        this.pendingFaults.truncate = count;
    }

    private accept(run: Run): void {
        const { operation, idempotencyKey } = run.request;
        const needsKey = (this.options.nonIdempotent ?? []).includes(operation);
        if (performance.now() < this.downUntil) return run.end({ kind: "notStarted", message: "target is down" });
        if (!this.options.operations.includes(operation)) {
            return run.end({ kind: "rejected", message: `unknown operation ${operation}` });
        }
        if (needsKey && idempotencyKey === "") {
            return run.end({ kind: "rejected", message: "idempotency key missing" });
        }
        if (this.takePendingFault("reject")) return run.end({ kind: "rejected", message: "declined" });
        if (this.running.size < this.batchLimit()) return this.start(run);
        if (this.queue.length >= (this.options.maximumQueued ?? 1_000)) {
            return run.end({ kind: "notStarted", message: "queue is full" });
        }
        const position = this.queue.findIndex(other => other.request.priority < run.request.priority);
        this.queue.splice(position < 0 ? this.queue.length : position, 0, run);
        this.recordLoad();
    }

    private batchLimit(): number {
        return this.options.batchLimit ?? this.options.concurrency * 2;
    }

    private start(run: Run): void {
        const { idempotencyKey } = run.request;
        this.running.add(run);
        run.started = true;
        this.engineCounters.runs += 1;
        const { runsByKey } = this.engineCounters;
        if (idempotencyKey !== "") runsByKey[idempotencyKey] = (runsByKey[idempotencyKey] ?? 0) + 1;
        this.engineCounters.highestConcurrency = Math.max(this.engineCounters.highestConcurrency, this.running.size);
        if (this.isCold) {
            run.exceedsColdConcurrency = this.running.size > this.options.coldConcurrency;
            this.engineCounters.highestColdConcurrency = Math.max(
                this.engineCounters.highestColdConcurrency,
                this.running.size,
            );
        }
        this.recordLoad();
        run.events.push({ kind: "started", bootId: this.bootId, cold: this.isCold });
        void this.runToEnd(run);
    }

    private async runToEnd(run: Run): Promise<void> {
        const { operation, input, maximumTokens, resumeAfter, streaming } = run.request;
        const result = this.chooseResult(operation);
        const tokens = expectedTokens(operation, input, maximumTokens);
        const remaining = Math.max(0, tokens.length - resumeAfter);
        const timePerToken = this.options.timePerToken ?? 0;
        await this.spendTime(run, this.callTime(run.request.prefixHash) + (streaming ? 0 : remaining * timePerToken));
        if (this.crashMarker !== undefined && input.includes(this.crashMarker)) {
            return this.crash(this.options.timePerCall * CRASH_DOWN_CALLS);
        }
        if (result === "fail") return this.end(run, { kind: "failed", message: "stand-in fault" });
        const deliveredUntil = result === "truncate" ? resumeAfter + Math.floor(remaining / 2) : tokens.length;
        for (let index = resumeAfter; streaming && index < deliveredUntil; index += 1) {
            await this.spendTime(run, timePerToken);
            run.events.push({ kind: "token", index, token: tokens[index] ?? "" });
        }
        if (result === "truncate") return this.end(run, { kind: "lost", message: "answer was truncated" });
        this.engineCounters.completed += 1;
        this.coldCallsLeft -= 1;
        if (this.isCold && this.coldCallsLeft <= 0) this.turnWarm();
        const output = expectedOutput(operation, input, maximumTokens);
        this.end(run, { kind: "completed", output, tokens: tokens.length, costMilliseconds: run.cost });
    }

    private takePendingFault(fault: keyof typeof this.pendingFaults): boolean {
        if (this.pendingFaults[fault] <= 0) return false;
        this.pendingFaults[fault] -= 1;
        return true;
    }

    private chooseResult(operation: string): RunResult {
        if (this.takePendingFault("fail")) return "fail";
        if (this.takePendingFault("truncate")) return "truncate";
        if (this.failOperation !== undefined && this.failOperation !== operation) return "complete";
        const draw = Number.parseInt(hashText(`fail ${this.engineCounters.runs}`).slice(0, 8), 16) / 2 ** 32;
        return draw < this.failFraction ? "fail" : "complete";
    }

    /** Spends target time on a run; then fails it if a cold target has more work than it can handle. */
    private async spendTime(run: Run, milliseconds: number): Promise<void> {
        run.cost += milliseconds * this.slowFactor;
        const load = this.running.size / this.options.concurrency;
        const batchSlowdown = load <= 1 ? 1 + FULL_BATCH_SLOWDOWN * load : (1 + FULL_BATCH_SLOWDOWN) * load ** 3;
        const coldFactor = this.isCold ? (this.options.coldFactor ?? 3) : 1;
        await run.pause(milliseconds * this.slowFactor * batchSlowdown * coldFactor);
        const exceedsNow = this.isCold && [...this.running].indexOf(run) >= this.options.coldConcurrency;
        if (!run.exceedsColdConcurrency && !exceedsNow) return;
        this.end(run, { kind: "failed", message: "overloaded while cold" });
        await run.pause(0);
    }

    private callTime(prefixHash: string): number {
        const size = this.options.prefixCacheSize ?? 0;
        if (prefixHash === "" || size === 0) return this.options.timePerCall;
        const hit = this.prefixes.delete(prefixHash);
        this.prefixes.add(prefixHash);
        if (!hit) this.recordCacheEvent("stored", prefixHash);
        for (const oldest of [...this.prefixes].slice(0, Math.max(0, this.prefixes.size - size))) {
            this.prefixes.delete(oldest);
            this.recordCacheEvent("evicted", oldest);
        }
        if (!hit) return this.options.timePerCall;
        this.engineCounters.prefixHits += 1;
        return this.options.timePerCall * PREFIX_HIT_FACTOR;
    }

    private recordCacheEvent(kind: CacheEvent["kind"], prefixHash: string): void {
        this.cacheSequence += 1;
        const event = { sequence: this.cacheSequence, kind, prefixHash };
        if (event.sequence % CACHE_EVENT_GAP === 0) return;
        afterLag(this.options.cacheEventLagMilliseconds, () => this.publishedCacheEvents.push(event));
        if (this.publishedCacheEvents.length > 1_000) this.publishedCacheEvents.shift();
    }

    private cancel(run: Run): void {
        if (run.ended) return;
        if (run.started) this.engineCounters.cancelled += 1;
        this.end(run, { kind: run.started ? "lost" : "notStarted", message: "cancelled" });
    }

    private end(run: Run, event: EngineEvent): void {
        if (run.ended) return;
        run.end(event);
        this.engineCounters.costMilliseconds += run.cost;
        this.running.delete(run);
        this.queue = this.queue.filter(other => other !== run);
        while (this.queue.length > 0 && this.running.size < this.batchLimit()) this.start(this.queue.shift() as Run);
        this.recordLoad();
    }

    private currentLoad(): EngineLoad {
        return {
            bootId: this.bootId,
            cold: this.isCold,
            running: this.running.size,
            queued: this.queue.length,
            capacity: this.isCold ? this.options.coldConcurrency : this.options.concurrency,
        };
    }

    private recordLoad(): void {
        const load = this.currentLoad();
        afterLag(this.options.loadLagMilliseconds, () => (this.reportedLoad = load));
    }

    private isUnresponsive(): boolean {
        return !this.isAnswering || performance.now() < this.downUntil;
    }

    private async waitUntilAnswering(signal: AbortSignal): Promise<void> {
        if (this.isAnswering || signal.aborted) return;
        await Promise.race([once(this.resumed, "resumed"), once(signal, "abort")]);
        return this.waitUntilAnswering(signal);
    }
}
