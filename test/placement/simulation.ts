/**
 * A simulated pool of engines behind several gateways, without a network. Each gateway has its own view: loads and paces
 * arrive with the first events of its own streams, after a delay. Needs fake timers, also for `performance`.
 */
import { vi } from "vitest";
import type { PromptPart } from "../../src/gateway/dialect.js";
import { cheapestEngine, chooseEngineTarget, PrefixCacheTracker, SpeedEstimates } from "../../src/placement/index.js";
import { idleTarget, seededRandom } from "./pool.js";

/** What an engine does at usual speed; other figures than the initial ones of the gateway, as at some deployments. */
const TOKENS_PER_MS = 30;
const RUNNING_MS = 3;
const STEP_MS = 5;
const STEP_PER_STREAM_MS = 0.5;
const CACHE_LIFETIME_MS = 30_000;

export interface SimulationOptions {
    readonly seed: number;
    /** Lasting speed of each engine. */
    readonly speeds: readonly number[];
    readonly gateways: number;
    readonly seconds: number;
    /** Requests a second of all gateways together at a time in milliseconds. */
    readonly rate: (at: number) => number;
    /** Pace of an engine at a time in milliseconds. */
    readonly pace: (engine: number, at: number) => number;
    /** Engines that do not report their pace. */
    readonly withoutPace?: ReadonlySet<number>;
    readonly reportDelayMs: number;
    /** Shared prompt prefixes, each the same tokens in many requests; 0 for none. */
    readonly prefixes: number;
    readonly objectiveMs: number;
    /** Whether to choose as for a service that does not report paces. */
    readonly byConstants?: boolean;
    /** Time in milliseconds before which nothing is counted. */
    readonly warmUpMs: number;
}

export interface SimulationResult {
    /** Counted requests by engine. */
    readonly placed: readonly number[];
    readonly inTime: number;
    readonly count: number;
    /** Requests that were sent to an engine while its pace was slower than usual. */
    readonly sentWhileSlow: number;
    readonly cachedTokens: number;
    readonly sharedTokens: number;
    readonly medianMs: number;
    readonly percentile95Ms: number;
    /** Lasting speeds as the first gateway estimates them. */
    readonly speeds: readonly number[];
}

interface Prompt {
    readonly at: number;
    readonly tokens: number;
    readonly parts: readonly PromptPart[];
    readonly outputTokens: number;
    readonly onFirstEvent: () => void;
    readonly onEnd: () => void;
}

interface Engine {
    readonly queue: Prompt[];
    readonly cache: Map<string, number>;
    running: number;
    isReading: boolean;
}

const SLOTS = 16;

interface Event {
    readonly at: number;
    readonly run: () => void;
}

/** Events by time; a binary heap. */
class Agenda {
    private readonly heap: Event[] = [];

    add(at: number, run: () => void): void {
        let index = this.heap.push({ at, run }) - 1;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (this.at(parent) <= this.at(index)) break;
            this.swap(parent, index);
            index = parent;
        }
    }

    next(): Event | undefined {
        const first = this.heap[0];
        const last = this.heap.pop();
        if (this.heap.length === 0 || last === undefined) return first;
        this.heap[0] = last;
        for (let index = 0; ;) {
            const [left, right] = [2 * index + 1, 2 * index + 2];
            const least = this.at(right) < this.at(left) ? right : left;
            if (this.at(index) <= this.at(least)) return first;
            this.swap(index, least);
            index = least;
        }
    }

    private at(index: number): number {
        return this.heap[index]?.at ?? Number.POSITIVE_INFINITY;
    }

    private swap(left: number, right: number): void {
        const [first, second] = [this.heap[left], this.heap[right]];
        if (first !== undefined && second !== undefined) [this.heap[left], this.heap[right]] = [second, first];
    }
}

/** Runs the pool for some simulated seconds. */
export function simulate(options: SimulationOptions): SimulationResult {
    const random = seededRandom(options.seed);
    const startedAt = performance.now();
    const now = (): number => performance.now() - startedAt;
    const agenda = new Agenda();
    const engines = options.speeds.map((): Engine => ({ queue: [], cache: new Map(), running: 0, isReading: false }));
    const slowness = (index: number): number => options.pace(index, now()) / (options.speeds[index] ?? 1);
    const gateways = Array.from({ length: options.gateways }, () => ({
        targets: options.speeds.map((_, index) => idleTarget(`engine-${index}`)),
        speeds: SpeedEstimates.create(),
        prefixCaches: PrefixCacheTracker.create(),
    }));
    const placed = options.speeds.map(() => 0);
    const times: number[] = [];
    const totals = { inTime: 0, sentWhileSlow: 0, cachedTokens: 0, sharedTokens: 0 };

    const readNext = (index: number): void => {
        const engine = engines[index];
        if (engine === undefined || engine.isReading || engine.running >= SLOTS) return;
        const prompt = engine.queue.shift();
        if (prompt === undefined) return;
        engine.isReading = true;
        let cached = 0;
        for (const { id, tokens } of prompt.parts.slice(0, -1)) {
            const cachedAt = engine.cache.get(id);
            if (cachedAt !== undefined && now() - cachedAt < CACHE_LIFETIME_MS) cached += tokens;
            engine.cache.set(id, now());
        }
        if (prompt.at >= options.warmUpMs) {
            totals.cachedTokens += cached;
            totals.sharedTokens += prompt.parts.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0);
        }
        const readMs = ((prompt.tokens - cached) / TOKENS_PER_MS + engine.running * RUNNING_MS) * slowness(index);
        agenda.add(now() + readMs, () => {
            engine.isReading = false;
            engine.running += 1;
            prompt.onFirstEvent();
            const stepMs = (STEP_MS + STEP_PER_STREAM_MS * engine.running) * slowness(index);
            agenda.add(now() + prompt.outputTokens * stepMs, () => {
                engine.running -= 1;
                prompt.onEnd();
                readNext(index);
            });
            readNext(index);
        });
    };

    const arrive = (): void => {
        const gateway = gateways[Math.floor(random() * gateways.length)];
        if (gateway === undefined) return;
        const { targets, speeds, prefixCaches } = gateway;
        // Prefixes are of unequal popularity.
        const prefix = Math.floor(options.prefixes * random() ** 2);
        const parts: PromptPart[] = options.prefixes === 0 ? [] : [{ id: `p${prefix}`, tokens: 2_500 + 50 * prefix }];
        parts.push({ id: `own-${now()}`, tokens: 300 + Math.floor(900 * random()) });
        const promptTokens = parts.reduce((sum, { tokens }) => sum + tokens, 0);
        const input = { promptTokens, promptParts: parts, inputBytesByZone: new Map<string, number>() };
        const request = { ...input, eventGapLimitMs: undefined };
        const knowledge = { prefixCaches, speeds: speeds.of("engines"), now: performance.now() };
        const chosen =
            options.byConstants === true
                ? { target: cheapestEngine(targets, input, prefixCaches), cost: undefined }
                : chooseEngineTarget(targets, request, knowledge, options.objectiveMs, random);
        const cost = chosen?.cost;
        const target = targets.find(({ name }) => name === chosen?.target?.name);
        if (target === undefined) return;
        const index = targets.indexOf(target);
        const sentAt = now();
        const uncached = promptTokens - prefixCaches.cachedTokens(target.name, parts.slice(0, -1));
        if (sentAt >= options.warmUpMs && options.pace(index, sentAt) > 1) totals.sentWhileSlow += 1;
        target.outstanding += 1;
        target.pendingPromptTokens += uncached;
        prefixCaches.recordSent(target.name, parts);
        engines[index]?.queue.push({
            at: sentAt,
            tokens: promptTokens,
            parts,
            outputTokens: 20 + Math.floor(40 * random()),
            onFirstEvent: () => {
                const engine = engines[index];
                const tookMs = now() - sentAt;
                target.pendingPromptTokens -= uncached;
                const pace = options.withoutPace?.has(index) === true ? undefined : options.pace(index, now());
                const load = {
                    running: engine?.running ?? 0,
                    waiting: (engine?.queue.length ?? 0) + (engine?.isReading === true ? 1 : 0),
                    slots: SLOTS,
                    pace,
                };
                const reportedAt = performance.now();
                agenda.add(now() + options.reportDelayMs, () => {
                    target.load = load;
                    target.loadReportedAt = reportedAt + options.reportDelayMs;
                });
                if (cost !== undefined) speeds.record(cost, tookMs);
                if (sentAt < options.warmUpMs) return;
                times.push(tookMs);
                placed[index] = (placed[index] ?? 0) + 1;
                if (tookMs <= options.objectiveMs) totals.inTime += 1;
            },
            onEnd: () => (target.outstanding -= 1),
        });
        readNext(index);
    };

    const scheduleArrival = (): void => {
        const gapMs = (-Math.log(1 - random()) * 1_000) / options.rate(now());
        agenda.add(now() + gapMs, () => {
            arrive();
            if (now() < options.seconds * 1_000) scheduleArrival();
        });
    };
    scheduleArrival();
    for (let event = agenda.next(); event !== undefined; event = agenda.next()) {
        vi.advanceTimersByTime(Math.max(0, event.at - now()));
        event.run();
    }
    const sorted = times.sort((left, right) => left - right);
    const first = gateways[0]?.speeds.of("engines");
    return {
        placed,
        ...totals,
        count: times.length,
        medianMs: sorted[Math.floor(sorted.length / 2)] ?? 0,
        percentile95Ms: sorted[Math.floor(sorted.length * 0.95)] ?? 0,
        speeds: options.speeds.map((_, index) => first?.speedOf(`engine-${index}`).speed ?? 1),
    };
}

/** The largest ratio of what an engine got to its fair share by speed. */
export function largestShare(placed: readonly number[], speeds: readonly number[]): number {
    const count = placed.reduce((sum, one) => sum + one, 0);
    const speedSum = speeds.reduce((sum, one) => sum + one, 0);
    return Math.max(...placed.map((one, index) => one / ((count * (speeds[index] ?? 1)) / speedSum)));
}

/** Phases of 600 ms for 15 % of the time in which an engine is 2.5 times as slow, at other times for each engine. */
export function noisyPace(engine: number, at: number): number {
    const phase = (at + engine * 1_337) % 4_000;
    return phase < 600 ? 2.5 : 1;
}
