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

/** What a stand-in target has done since it was created, across restarts. */
export interface EngineCounters {
    /** Runs that started. */
    runs: number;
    completed: number;
    cancelled: number;
    highestConcurrency: number;
    /** Highest concurrency that a start reached while the target was cold. */
    highestColdConcurrency: number;
    prefixHits: number;
    /** Target time of all runs, including those that gave no result. */
    costMilliseconds: number;
    /** Runs by idempotency key. */
    runsByKey: Record<string, number>;
    orders: EngineOrder[];
}

/** One change of the prefix cache. */
export interface CacheEvent {
    readonly sequence: number;
    readonly kind: "stored" | "evicted";
    readonly prefixHash: string;
}

type Fate = "complete" | "fail" | "truncate";

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
    excess = false;
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
    private readonly published: CacheEvent[] = [];
    private cacheSequence = 0;
    private reportedLoad: EngineLoad | undefined;
    private readonly totals: EngineCounters = {
        runs: 0,
        completed: 0,
        cancelled: 0,
        highestConcurrency: 0,
        highestColdConcurrency: 0,
        prefixHits: 0,
        costMilliseconds: 0,
        runsByKey: {},
        orders: [],
    };
    private bootId = randomBytes(6).toString("hex");
    private coldState = false;
    private coldCallsLeft = Infinity;
    private warmTimer: NodeJS.Timeout | undefined;
    private highestFencing = 0;
    private downUntil = 0;
    private answering = true;
    private readonly resumed = new EventTarget();
    private slowFactor = 1;
    private failures = 0;
    private rejections = 0;
    private truncations = 0;
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
        return this.coldState;
    }

    /** A copy of what the target has done so far. */
    counters(): Readonly<EngineCounters> {
        return structuredClone(this.totals);
    }

    async *execute(request: EngineRequest, signal: AbortSignal): AsyncGenerator<EngineEvent> {
        const run = new Run(request);
        const cancel = (): void => this.cancel(run);
        signal.addEventListener("abort", cancel);
        try {
            if (signal.aborted) cancel();
            else this.accept(run);
            for await (const event of run.events) {
                await this.untilAnswering(signal);
                yield event;
            }
        } finally {
            signal.removeEventListener("abort", cancel);
            cancel();
        }
    }

    load(): Promise<EngineLoad | undefined> {
        return Promise.resolve(this.silent() ? undefined : this.reportedLoad);
    }

    /** Applies an order. Loading a model or a version makes the target cold. */
    order(order: EngineOrder): Promise<OrderOutcome> {
        if (this.silent()) return Promise.resolve({ kind: "unavailable", message: "no answer" });
        if (this.options.fencing === "enforced" && order.fencing < this.highestFencing) {
            return Promise.resolve({ kind: "staleFencing", message: `${this.highestFencing} was seen` });
        }
        this.highestFencing = Math.max(this.highestFencing, order.fencing);
        this.totals.orders.push(order);
        if (order.kind === "loadModel" || order.kind === "loadVersion") this.turnCold();
        return Promise.resolve({ kind: "applied" });
    }

    /** Changes of the prefix cache after a sequence number, late and with gaps. */
    cacheEvents(after: number): readonly CacheEvent[] {
        return this.published.filter(event => event.sequence > after);
    }

    /** Makes the target cold without notice, without a restart. */
    turnCold(): void {
        this.coldState = true;
        this.coldCallsLeft = this.options.warmAfterCalls ?? Infinity;
        clearTimeout(this.warmTimer);
        const duration = this.options.warmAfterMilliseconds;
        if (duration !== undefined) this.warmTimer = setTimeout(() => this.turnWarm(), duration).unref();
        this.recordLoad();
    }

    /** Ends a cold start. */
    turnWarm(): void {
        this.coldState = false;
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
        this.answering = on;
        if (on) this.resumed.dispatchEvent(new Event("resumed"));
    }

    /** Factor on all times. */
    setSlowFactor(factor: number): void {
        this.slowFactor = factor;
    }

    /** The next `count` runs fail after they started. */
    failNext(count: number): void {
        this.failures = count;
    }

    /** The next `count` requests are declined for good, without effect. */
    rejectNext(count: number): void {
        this.rejections = count;
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
        this.truncations = count;
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
        if (this.rejections > 0) {
            this.rejections -= 1;
            return run.end({ kind: "rejected", message: "declined" });
        }
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
        this.totals.runs += 1;
        const { runsByKey } = this.totals;
        if (idempotencyKey !== "") runsByKey[idempotencyKey] = (runsByKey[idempotencyKey] ?? 0) + 1;
        this.totals.highestConcurrency = Math.max(this.totals.highestConcurrency, this.running.size);
        if (this.coldState) {
            run.excess = this.running.size > this.options.coldConcurrency;
            this.totals.highestColdConcurrency = Math.max(this.totals.highestColdConcurrency, this.running.size);
        }
        this.recordLoad();
        run.events.push({ kind: "started", bootId: this.bootId, cold: this.coldState });
        void this.perform(run);
    }

    private async perform(run: Run): Promise<void> {
        const { operation, input, maximumTokens, resumeAfter, streaming } = run.request;
        const fate = this.decideFate(operation);
        const tokens = expectedTokens(operation, input, maximumTokens);
        const remaining = Math.max(0, tokens.length - resumeAfter);
        const timePerToken = this.options.timePerToken ?? 0;
        await this.work(run, this.callTime(run.request.prefixHash) + (streaming ? 0 : remaining * timePerToken));
        if (this.crashMarker !== undefined && input.includes(this.crashMarker)) {
            return this.crash(this.options.timePerCall * CRASH_DOWN_CALLS);
        }
        if (fate === "fail") return this.end(run, { kind: "failed", message: "stand-in fault" });
        const deliveredUntil = fate === "truncate" ? resumeAfter + Math.floor(remaining / 2) : tokens.length;
        for (let index = resumeAfter; streaming && index < deliveredUntil; index += 1) {
            await this.work(run, timePerToken);
            run.events.push({ kind: "token", index, token: tokens[index] ?? "" });
        }
        if (fate === "truncate") return this.end(run, { kind: "lost", message: "answer was truncated" });
        this.totals.completed += 1;
        this.coldCallsLeft -= 1;
        if (this.coldState && this.coldCallsLeft <= 0) this.turnWarm();
        const output = expectedOutput(operation, input, maximumTokens);
        this.end(run, { kind: "completed", output, tokens: tokens.length, costMilliseconds: run.cost });
    }

    private decideFate(operation: string): Fate {
        if (this.failures > 0) {
            this.failures -= 1;
            return "fail";
        }
        if (this.truncations > 0) {
            this.truncations -= 1;
            return "truncate";
        }
        if (this.failOperation !== undefined && this.failOperation !== operation) return "complete";
        const draw = Number.parseInt(hashText(`fail ${this.totals.runs}`).slice(0, 8), 16) / 2 ** 32;
        return draw < this.failFraction ? "fail" : "complete";
    }

    /** Spends target time on a run; then fails it if a cold target has more work than it can handle. */
    private async work(run: Run, milliseconds: number): Promise<void> {
        run.cost += milliseconds * this.slowFactor;
        const load = this.running.size / this.options.concurrency;
        const batching = load <= 1 ? 1 + FULL_BATCH_SLOWDOWN * load : (1 + FULL_BATCH_SLOWDOWN) * load ** 3;
        const coldFactor = this.coldState ? (this.options.coldFactor ?? 3) : 1;
        await run.pause(milliseconds * this.slowFactor * batching * coldFactor);
        const late = this.coldState && [...this.running].indexOf(run) >= this.options.coldConcurrency;
        if (!run.excess && !late) return;
        this.end(run, { kind: "failed", message: "overloaded while cold" });
        await run.pause(0);
    }

    private callTime(prefixHash: string): number {
        const size = this.options.prefixCacheSize ?? 0;
        if (prefixHash === "" || size === 0) return this.options.timePerCall;
        const hit = this.prefixes.delete(prefixHash);
        this.prefixes.add(prefixHash);
        if (!hit) this.logCache("stored", prefixHash);
        for (const oldest of [...this.prefixes].slice(0, Math.max(0, this.prefixes.size - size))) {
            this.prefixes.delete(oldest);
            this.logCache("evicted", oldest);
        }
        if (!hit) return this.options.timePerCall;
        this.totals.prefixHits += 1;
        return this.options.timePerCall * PREFIX_HIT_FACTOR;
    }

    private logCache(kind: CacheEvent["kind"], prefixHash: string): void {
        this.cacheSequence += 1;
        const event = { sequence: this.cacheSequence, kind, prefixHash };
        if (event.sequence % CACHE_EVENT_GAP === 0) return;
        setTimeout(() => this.published.push(event), this.options.cacheEventLagMilliseconds ?? 0).unref();
        if (this.published.length > 1_000) this.published.shift();
    }

    private cancel(run: Run): void {
        if (run.ended) return;
        if (run.started) this.totals.cancelled += 1;
        this.end(
            run,
            run.started ? { kind: "lost", message: "cancelled" } : { kind: "notStarted", message: "cancelled" },
        );
    }

    private end(run: Run, event: EngineEvent): void {
        if (run.ended) return;
        run.end(event);
        this.totals.costMilliseconds += run.cost;
        this.running.delete(run);
        this.queue = this.queue.filter(other => other !== run);
        while (this.queue.length > 0 && this.running.size < this.batchLimit()) this.start(this.queue.shift() as Run);
        this.recordLoad();
    }

    private currentLoad(): EngineLoad {
        return {
            bootId: this.bootId,
            cold: this.coldState,
            running: this.running.size,
            queued: this.queue.length,
            capacity: this.coldState ? this.options.coldConcurrency : this.options.concurrency,
        };
    }

    private recordLoad(): void {
        const load = this.currentLoad();
        const report = (): void => {
            this.reportedLoad = load;
        };
        const lag = this.options.loadLagMilliseconds ?? 0;
        if (lag === 0) report();
        else setTimeout(report, lag).unref();
    }

    private silent(): boolean {
        return !this.answering || performance.now() < this.downUntil;
    }

    private async untilAnswering(signal: AbortSignal): Promise<void> {
        if (this.answering || signal.aborted) return;
        const waits = [once(this.resumed, "resumed"), once(signal, "abort")];
        await Promise.race(waits);
        return this.untilAnswering(signal);
    }
}
