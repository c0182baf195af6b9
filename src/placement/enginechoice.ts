/**
 * Chooses an engine by the expected times to the first event.
 *
 * Load pattern: 24 to 30 gateways choose among the same engines from the same loads, which are some hundred milliseconds
 * old. If all took the one that looks fastest, it would get everything until the next report; so the choice among nearly
 * equal engines is random, weighted by free capacity. A cached prompt prefix is preferred as long as it pays off.
 */
import type { EngineCost } from "./enginecost.js";

/**
 * Part of the time until the latency objective that an expected time may take. The rest covers work that other gateways
 * send meanwhile.
 */
const OBJECTIVE_RATIO = 0.7;

/** Engines are nearly equal if their times differ by this part of the shorter one, or by this many milliseconds. */
const EQUAL_RATIO = 0.25;
const EQUAL_MS = 10;

/** Part of the largest cached prefix that an engine needs to be compared with those that have it. */
const SIMILAR_PREFIX_RATIO = 0.8;

/** Free slots that a full engine counts as, so that it has some weight among equals. */
const LEAST_FREE_SLOTS = 0.5;

/**
 * The cost of the chosen engine; undefined without candidates. `remainingMs` is the time until the latency objective.
 */
export function chooseEngine(
    costs: readonly EngineCost[],
    remainingMs: number,
    random: () => number,
): EngineCost | undefined {
    const inGapLimit = costs.filter(({ exceedsEventGapLimit }) => !exceedsEventGapLimit);
    const candidates = inGapLimit.length > 0 ? inGapLimit : costs;
    const fastest = lowestExpected(candidates);
    if (fastest === undefined) return undefined;
    const cached = cachedEngine(candidates, fastest, remainingMs);
    if (cached !== undefined) return cached;
    const limitMs = fastest.expectedMs + Math.max(EQUAL_MS, EQUAL_RATIO * fastest.expectedMs);
    return weightedChoice(
        candidates.filter(({ expectedMs }) => expectedMs <= limitMs),
        freeCapacity,
        random,
    );
}

/** The fastest engine with the prefix, unless it is slower by more than the prefix saves or endangers the objective. */
function cachedEngine(
    candidates: readonly EngineCost[],
    fastest: EngineCost,
    remainingMs: number,
): EngineCost | undefined {
    const most = candidates.reduce((largest, { cachedTokens }) => Math.max(largest, cachedTokens), 0);
    if (most === 0) return undefined;
    const cached = lowestExpected(candidates.filter(({ cachedTokens }) => cachedTokens >= SIMILAR_PREFIX_RATIO * most));
    if (cached === undefined || cached.expectedMs > fastest.expectedMs + cached.savedMs) return undefined;
    // If no engine meets the objective, a spilled request would only add the work of reading its prefix again.
    const limitMs = OBJECTIVE_RATIO * remainingMs;
    return cached.expectedMs <= limitMs || fastest.expectedMs > limitMs ? cached : undefined;
}

function lowestExpected(costs: readonly EngineCost[]): EngineCost | undefined {
    let lowest: EngineCost | undefined;
    for (const cost of costs) if (lowest === undefined || cost.expectedMs < lowest.expectedMs) lowest = cost;
    return lowest;
}

/** Free slots, by how fast the engine works them off. */
function freeCapacity({ slots, work, speed, pace }: EngineCost): number {
    return Math.max(LEAST_FREE_SLOTS, slots - work.running - work.waiting) * (speed / pace);
}

/** A random item; one of twice the weight is chosen twice as often. */
export function weightedChoice<Item>(
    items: readonly Item[],
    weightOf: (item: Item) => number,
    random: () => number,
): Item | undefined {
    const weights = items.map(weightOf);
    let rest = random() * weights.reduce((sum, weight) => sum + weight, 0);
    for (const [index, weight] of weights.entries()) {
        rest -= weight;
        if (rest < 0) return items[index];
    }
    return items.at(-1);
}
