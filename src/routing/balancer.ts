/**
 * Choice of a target among those that may be used for an attempt.
 *
 * A policy is a function, so that the ones kept for comparison run under the same conditions. Which targets may be used
 * at all (zone, leaving, ejection, version) is decided before a policy is asked.
 */
import { createHash } from "node:crypto";
import { halfLifeWeight } from "../model/decay.js";

/** What a policy knows of one target. */
export interface Candidate {
    readonly name: string;
    readonly zone: string;
    readonly version: string;
    /** Open attempts of this entry. */
    readonly outstanding: number;
    /** Running and queued work in the last report, of all entries. */
    readonly reported: number;
    /** Open attempts of this entry when that report came; the report includes them. */
    readonly outstandingAtReport: number;
    /** Age of that report in milliseconds. */
    readonly reportAge: number;
    /** Concurrency that the agent admits, or the cold limit before the first report. */
    readonly limit: number;
    readonly cold: boolean;
}

/** What a choice depends on besides the candidates. */
export interface ChoiceContext {
    /** The entry's zone. */
    readonly zone: string;
    /** Hash of the prompt's prefix; empty when there is none. */
    readonly prefixHash: string;
    /** Uniform in [0, 1). */
    readonly random: () => number;
}

/** A policy: one of the candidates, or undefined when none of them should get more work now. */
export type ChooseTarget = <Target extends Candidate>(
    candidates: readonly Target[],
    context: ChoiceContext,
) => Target | undefined;

/** Age in milliseconds after which the work of other entries in a report counts half. */
const REPORT_HALF_LIFE_MS = 1_000;

/** Work that a target is expected to have: own attempts, and those of others as reported, weighted by age. */
export function expectedWork(candidate: Candidate): number {
    const others = Math.max(0, candidate.reported - candidate.outstandingAtReport);
    return candidate.outstanding + others * halfLifeWeight(candidate.reportAge, REPORT_HALF_LIFE_MS);
}

/** Expected work as a fraction of the limit. */
export function loadFraction(candidate: Candidate): number {
    return candidate.limit > 0 ? expectedWork(candidate) / candidate.limit : Number.POSITIVE_INFINITY;
}

/**
 * The default policy: power of two choices on load per limit. Targets of the entry's zone come first, others when the
 * near ones are full. When all are full, warm targets are still chosen, since their agents queue or refuse truthfully;
 * cold ones never get more than their limit.
 */
export const chooseByLoad: ChooseTarget = (candidates, context) => {
    const open = candidates.filter(candidate => loadFraction(candidate) < 1);
    const pool = preferZone(open, context.zone);
    if (pool.length > 0) return preferPrefix(pool, context.prefixHash) ?? lighterOfTwo(pool, context.random);
    const warm = candidates.filter(candidate => !candidate.cold && candidate.limit > 0);
    return lighterOfTwo(preferZone(warm, context.zone), context.random);
};

/** Baseline: any candidate with equal probability. */
export const chooseRandomly: ChooseTarget = (candidates, context) => pick(candidates, context.random);

/** Baseline: the candidate with the fewest open attempts of this entry; the first one of several. */
export const chooseLeastOutstanding: ChooseTarget = candidates => {
    let least = candidates[0];
    for (const candidate of candidates) {
        if (least !== undefined && candidate.outstanding < least.outstanding) least = candidate;
    }
    return least;
};

/** Baseline: the candidates in turn. Each call returns a policy with a position of its own. */
export function createRoundRobin(): ChooseTarget {
    let position = 0;
    return candidates => {
        const chosen = candidates[position % Math.max(1, candidates.length)];
        position += 1;
        return chosen;
    };
}

function preferZone<Target extends Candidate>(candidates: readonly Target[], zone: string): readonly Target[] {
    const near = candidates.filter(candidate => candidate.zone === zone);
    return near.length > 0 ? near : candidates;
}

/** The candidate with the highest rendezvous weight for a prefix, so that few prefixes move when targets change. */
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

/** Weights that are remembered, since each choice needs those of all candidates. */
const MAXIMUM_WEIGHTS = 20_000;
const weights = new Map<string, number>();

/** Weight of a name for a key; the name with the highest weight is the key's choice. Uniform in [0, 2^32). */
export function rendezvousWeight(key: string, name: string): number {
    const text = `${key}/${name}`;
    const known = weights.get(text);
    if (known !== undefined) return known;
    if (weights.size >= MAXIMUM_WEIGHTS) weights.clear();
    const weight = createHash("sha256").update(text).digest().readUInt32BE(0);
    weights.set(text, weight);
    return weight;
}

function lighterOfTwo<Target extends Candidate>(
    candidates: readonly Target[],
    random: () => number,
): Target | undefined {
    const first = pick(candidates, random);
    const second = pick(
        candidates.filter(candidate => candidate !== first),
        random,
    );
    if (first === undefined || second === undefined) return first;
    return loadFraction(second) < loadFraction(first) ? second : first;
}

function pick<Target>(items: readonly Target[], random: () => number): Target | undefined {
    return items[Math.floor(random() * items.length)];
}
