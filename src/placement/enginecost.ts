/**
 * The expected time to the first event of a generation at each engine of a pool, with its components.
 *
 * Load pattern: engines of unequal, changing speed under a load near their capacity, with loads that are some hundred
 * milliseconds old. An engine that was not heard of for longer is assumed to have the mean load of the pool, not none.
 */
import { rendezvousTarget } from "./placement.js";
import type { PlacementInput, PrefixCacheTracker } from "./placement.js";
import type { Target } from "../gateway/target.js";
import { halfLifeWeight } from "../model/decay.js";
import { type Work, workMs } from "./servicetimes.js";
import { presentPace, type ServiceSpeeds } from "./speedestimate.js";

/**
 * Bounds of the half-life in milliseconds of a reported load. A gateway that hears of its engines often sends a large part of
 * their work, and its reports hold until the next one. Where 30 gateways hear of each engine every few seconds, queues have
 * changed before: with 500 ms and more, simulated ones sent too much to engines whose queues had been short.
 */
const SHORTEST_HALF_LIFE_MS = 150;
const LONGEST_HALF_LIFE_MS = 1_000;

/** Mean age in milliseconds of the pool's reports up to which the longest half-life holds. */
const FRESH_AGE_MS = 300;

/** Cost in milliseconds of transferring a megabyte of stage results between zones. */
const ZONE_TRANSFER_MS_PER_MEGABYTE = 20;

/** Fraction of the shared tokens that the preferred engine is assumed to have cached without this gateway's requests. */
const ASSUMED_CACHED_RATIO = 0.6;

/** A generation to be placed. */
export interface EngineRequest extends PlacementInput {
    /** Maximum time in milliseconds between two events of a stream that is on time. */
    readonly eventGapLimitMs: number | undefined;
}

/** What the costs are computed from beside the candidates. */
export interface EngineKnowledge {
    readonly prefixCaches: PrefixCacheTracker;
    readonly speeds: ServiceSpeeds;
    /** Monotonic time in milliseconds. */
    readonly now: number;
}

/** The expected time at one engine and its components; all times are in milliseconds at its present speed. */
export interface EngineCost {
    readonly target: Target;
    /** Sum of the times below. */
    readonly expectedMs: number;
    /** Prompts of this gateway that the engine has yet to process. */
    readonly pendingMs: number;
    /** The request's own tokens that are not cached. */
    readonly ownMs: number;
    readonly runningMs: number;
    readonly waitingMs: number;
    readonly transferMs: number;
    /** Time that cached tokens save; not part of the sum. */
    readonly savedMs: number;
    readonly cachedTokens: number;
    /** Expected time between two events of a stream at this engine. */
    readonly eventGapMs: number;
    readonly exceedsEventGapLimit: boolean;
    readonly work: Work;
    readonly slots: number;
    /** Pace at this moment; 1 is usual, more is slower. */
    readonly pace: number;
    /** Lasting speed relative to the pool; more is faster. */
    readonly speed: number;
    readonly speedConfidence: number;
}

interface PoolLoad {
    readonly halfLifeMs: number;
    readonly runningRatio: number;
    readonly waitingRatio: number;
}

/** The costs of all candidates. It changes nothing and draws no random numbers. */
export function engineCosts(
    candidates: readonly Target[],
    request: EngineRequest,
    { prefixCaches, speeds, now }: EngineKnowledge,
): readonly EngineCost[] {
    // The last part is the request's own; the one before it is the largest that requests share.
    const sharedParts = request.promptParts.slice(0, -1);
    const affinityKey = sharedParts.at(-1)?.id;
    const preferred = affinityKey === undefined ? undefined : rendezvousTarget(candidates, affinityKey);
    const sharedTokens = sharedParts.reduce((sum, { tokens }) => sum + tokens, 0);
    const totalBytes = [...request.inputBytesByZone.values()].reduce((sum, bytes) => sum + bytes, 0);
    const pool = poolLoad(candidates, speeds, now);
    const { times } = speeds;
    return candidates.map(target => {
        const assumedTokens = target === preferred ? ASSUMED_CACHED_RATIO * sharedTokens : 0;
        const knownTokens = prefixCaches.cachedTokens(target.name, request.promptParts);
        const cachedTokens = Math.min(request.promptTokens, Math.max(knownTokens, assumedTokens));
        const transferBytes = totalBytes - (request.inputBytesByZone.get(target.registration.zone) ?? 0);
        const transferMs = (transferBytes / 1_000_000) * ZONE_TRANSFER_MS_PER_MEGABYTE;
        const slots = slotsOf(target);
        const { speed, confidence } = speeds.speedOf(target.name);
        const { running, waiting } = loadOf(target, slots * speed, pool, now);
        const pace = presentPace(target, now);
        const slowness = pace / speed;
        const ownTokens = request.promptTokens - cachedTokens;
        const work: Work = { tokens: target.pendingPromptTokens + ownTokens, running, waiting };
        const eventGapMs = slowness * times.runningMs * (running + 1);
        return {
            target,
            expectedMs: slowness * workMs(work, times) + transferMs,
            pendingMs: slowness * target.pendingPromptTokens * times.tokenMs,
            ownMs: slowness * ownTokens * times.tokenMs,
            runningMs: slowness * running * times.runningMs,
            waitingMs: slowness * waiting * times.waitingMs,
            transferMs,
            savedMs: slowness * cachedTokens * times.tokenMs,
            cachedTokens,
            eventGapMs,
            exceedsEventGapLimit: eventGapMs > (request.eventGapLimitMs ?? Number.POSITIVE_INFINITY),
            work,
            slots,
            pace,
            speed,
            speedConfidence: confidence,
        };
    });
}

function slotsOf({ load, registration }: Target): number {
    return Math.max(1, load?.slots ?? registration.slots);
}

/**
 * Mean load of the pool by slot and speed, from the reports that are not old. Engines that are chosen by their expected time
 * have loads in proportion to their speed; with the same load for all, each fast engine that was not heard of would look
 * better than it is.
 */
function poolLoad(candidates: readonly Target[], { speedOf }: ServiceSpeeds, now: number): PoolLoad {
    const halfLifeMs = loadHalfLifeMs(candidates, now);
    let [weightSum, runningSum, waitingSum] = [0, 0, 0];
    for (const target of candidates) {
        const { load, loadReportedAt } = target;
        if (load === undefined) continue;
        const weight = halfLifeWeight(now - loadReportedAt, halfLifeMs);
        weightSum += weight;
        const capacity = slotsOf(target) * speedOf(target.name).speed;
        runningSum += (weight * load.running) / capacity;
        waitingSum += (weight * load.waiting) / capacity;
    }
    if (weightSum === 0) return { halfLifeMs, runningRatio: 0, waitingRatio: 0 };
    return { halfLifeMs, runningRatio: runningSum / weightSum, waitingRatio: waitingSum / weightSum };
}

/** The half-life of the pool's loads: the shorter, the older its reports are on average. */
function loadHalfLifeMs(candidates: readonly Target[], now: number): number {
    let [count, ageSum] = [0, 0];
    for (const { load, loadReportedAt } of candidates) {
        if (load === undefined) continue;
        count += 1;
        ageSum += now - loadReportedAt;
    }
    const meanAgeMs = count === 0 ? 0 : ageSum / count;
    const halfLifeMs = (LONGEST_HALF_LIFE_MS * FRESH_AGE_MS) / Math.max(FRESH_AGE_MS, meanAgeMs);
    return Math.max(SHORTEST_HALF_LIFE_MS, halfLifeMs);
}

/** Expected running and waiting requests. A request that finds all slots taken waits for one at least. */
function loadOf(target: Target, capacity: number, pool: PoolLoad, now: number): { running: number; waiting: number } {
    const { load, loadReportedAt, outstanding } = target;
    const slots = slotsOf(target);
    const weight = load === undefined ? 0 : halfLifeWeight(now - loadReportedAt, pool.halfLifeMs);
    const reported = weight * (load?.running ?? 0) + (1 - weight) * pool.runningRatio * capacity;
    const waiting = weight * (load?.waiting ?? 0) + (1 - weight) * pool.waitingRatio * capacity;
    const present = Math.max(outstanding, reported);
    const running = Math.min(slots, present);
    return { running, waiting: Math.max(waiting, Math.max(0, present + 1 - slots)) };
}
