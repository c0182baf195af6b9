/**
 * Load-balancing policies: each chooses a target among the candidates for an attempt.
 *
 * A policy is a function, so that the baselines kept for comparison run under the same conditions. The caller filters
 * the candidates first (zone, leaving, ejection, version).
 */
import { createHash } from "node:crypto";
import { halfLifeWeight } from "../model/decay.js";

/** What a policy knows about one target. */
export interface Candidate {
    readonly name: string;
    readonly zone: string;
    readonly version: string;
    /** Open attempts of this entry. */
    readonly outstanding: number;
    /** Running and queued work of all entries in the last report. */
    readonly reported: number;
    /** Open attempts of this entry when that report arrived; the report includes them. */
    readonly outstandingAtReport: number;
    /** Age of that report in milliseconds. */
    readonly reportAge: number;
    /** Concurrency limit of the agent, or the cold limit before the first report. */
    readonly limit: number;
    readonly cold: boolean;
}

/** What a choice depends on besides the candidates. */
export interface ChoiceContext {
    /** Zone of the entry. */
    readonly zone: string;
    /** Hash of the prompt's prefix; empty when there is none. */
    readonly prefixHash: string;
    /** Uniform in [0, 1). */
    readonly random: () => number;
}

/** A policy. Returns one of the candidates, or undefined if none of them should get more work now. */
export type ChooseTarget = <Target extends Candidate>(
    candidates: readonly Target[],
    context: ChoiceContext,
) => Target | undefined;

/** Half-life in milliseconds of the work of other entries in a report. */
const REPORT_HALF_LIFE_MS = 1_000;

/** Expected work of a target: the own open attempts, and the reported work of other entries, decayed by age. */
export function expectedWork(candidate: Candidate): number {
    const others = Math.max(0, candidate.reported - candidate.outstandingAtReport);
    return candidate.outstanding + others * halfLifeWeight(candidate.reportAge, REPORT_HALF_LIFE_MS);
}

/** Expected work as a fraction of the concurrency limit. */
export function loadFraction(candidate: Candidate): number {
    return candidate.limit > 0 ? expectedWork(candidate) / candidate.limit : Number.POSITIVE_INFINITY;
}

/**
 * The default policy: power of two choices on the load fraction. Targets in the entry's zone are preferred while one of
 * them is below its limit. If all targets are full, warm ones are still chosen, since their agents queue the work or
 * refuse it; cold ones never get more than their limit.
 */
export const chooseByLoad: ChooseTarget = (candidates, context) => {
    const belowLimit = candidates.filter(candidate => loadFraction(candidate) < 1);
    const pool = preferZone(belowLimit, context.zone);
    if (pool.length > 0) return preferPrefix(pool, context.prefixHash) ?? lessLoadedOfTwo(pool, context.random);
    const warm = candidates.filter(candidate => !candidate.cold && candidate.limit > 0);
    return lessLoadedOfTwo(preferZone(warm, context.zone), context.random);
};

/** Baseline: any candidate with equal probability. */
export const chooseRandomly: ChooseTarget = (candidates, context) => pickRandomly(candidates, context.random);

/** Baseline: the candidate with the fewest open attempts of this entry; the first one of several equals. */
export const chooseLeastOutstanding: ChooseTarget = candidates => {
    let least = candidates[0];
    for (const candidate of candidates) {
        if (least !== undefined && candidate.outstanding < least.outstanding) least = candidate;
    }
    return least;
};

/** Baseline: the candidates in turn. Each call returns a policy with its own position. */
export function createRoundRobin(): ChooseTarget {
    let position = 0;
    return candidates => {
        const chosen = candidates[position % Math.max(1, candidates.length)];
        position += 1;
        return chosen;
    };
}

function preferZone<Target extends Candidate>(candidates: readonly Target[], zone: string): readonly Target[] {
    const sameZone = candidates.filter(candidate => candidate.zone === zone);
    return sameZone.length > 0 ? sameZone : candidates;
}

/** The candidate with the highest rendezvous weight for a prefix, so that few prefixes move when the targets change. */
function preferPrefix<Target extends Candidate>(candidates: readonly Target[], prefixHash: string): Target | undefined {
    if (prefixHash === "") return undefined;
    let best: Target | undefined;
    let bestWeight = -1;
    for (const candidate of candidates) {
        const weight = rendezvousWeight(prefixHash, candidate.name);
        if (weight > bestWeight) [best, bestWeight] = [candidate, weight];
    }
    return best;
}

/** Size limit of the weight cache; each choice needs the weights of all candidates. */
const MAXIMUM_CACHED_WEIGHTS = 20_000;
const weightCache = new Map<string, number>();

/** Rendezvous weight of a name for a key, uniform in [0, 2^32). The name with the highest weight is chosen. */
export function rendezvousWeight(key: string, name: string): number {
    const cacheKey = `${key}/${name}`;
    const cached = weightCache.get(cacheKey);
    if (cached !== undefined) return cached;
    if (weightCache.size >= MAXIMUM_CACHED_WEIGHTS) weightCache.clear();
    const weight = createHash("sha256").update(cacheKey).digest().readUInt32BE(0);
    weightCache.set(cacheKey, weight);
    return weight;
}

function lessLoadedOfTwo<Target extends Candidate>(
    candidates: readonly Target[],
    random: () => number,
): Target | undefined {
    const first = pickRandomly(candidates, random);
    const second = pickRandomly(
        candidates.filter(candidate => candidate !== first),
        random,
    );
    if (first === undefined || second === undefined) return first;
    return loadFraction(second) < loadFraction(first) ? second : first;
}

function pickRandomly<Target>(items: readonly Target[], random: () => number): Target | undefined {
    return items[Math.floor(random() * items.length)];
}
