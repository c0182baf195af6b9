/**
 * Chooses the target of a request.
 *
 * For a generation, each engine gets an expected cost in milliseconds: the prompts that it has yet to process, the part
 * of the prompt that is not in its prefix cache, the steps that it shares with other streams, and the transfer of stage
 * results from other zones. Requests with the same prompt part prefer the same engine at every gateway.
 */
import { rendezvousWeight } from "../routing/index.js";
import type { PromptPart } from "../gateway/dialect.js";
import { expectedLoad, type Target } from "../gateway/target.js";

/** Prompt tokens that an engine processes per millisecond, as published for the engines. */
const PROMPT_TOKENS_PER_MS = 57;

/** Delay in milliseconds that a running stream adds to others on its engine: the published step time of engines. */
const RUNNING_COST_MS = 2;

/** Cost in milliseconds of each request that waits at the engine. */
const WAITING_COST_MS = 40;

/** Cost in milliseconds of transferring a megabyte of stage results between zones. */
const ZONE_TRANSFER_COST_MS_PER_MEGABYTE = 20;

/**
 * Fraction of the shared tokens that the preferred engine is assumed to have cached without this gateway's requests.
 */
const ASSUMED_CACHED_RATIO = 0.6;

/** Time in milliseconds after which a prompt part is assumed to be evicted from an engine's cache. */
const CACHE_LIFETIME_MS = 30_000;

/** Maximum number of prompt parts that are tracked for one engine. */
const MAXIMUM_PARTS_PER_ENGINE = 2_000;

/** Properties of a generation on which the choice of its engine depends. */
export interface PlacementInput {
    readonly promptTokens: number;
    readonly promptParts: readonly PromptPart[];
    /** Bytes of stage results by zone. */
    readonly inputBytesByZone: ReadonlyMap<string, number>;
}

/** Estimates the prefix caches of engines from the prompt parts that this gateway sent to them. */
export class PrefixCacheTracker {
    private readonly sentAt = new Map<string, Map<string, number>>();

    private constructor() {}

    static create(): PrefixCacheTracker {
        return new PrefixCacheTracker();
    }

    /** Records the parts of a prompt that is sent to an engine. */
    recordSent(target: string, parts: readonly PromptPart[]): void {
        const sentParts = this.sentAt.get(target) ?? new Map<string, number>();
        this.sentAt.set(target, sentParts);
        for (const { id } of parts) {
            sentParts.delete(id);
            sentParts.set(id, performance.now());
        }
        for (const id of sentParts.keys()) {
            if (sentParts.size <= MAXIMUM_PARTS_PER_ENGINE) break;
            sentParts.delete(id);
        }
    }

    /** Forgets an engine that was removed or has restarted. */
    forget(target: string): void {
        this.sentAt.delete(target);
    }

    /** Number of tokens of the prompt's beginning that the engine is assumed to have cached. */
    cachedTokens(target: string, parts: readonly PromptPart[]): number {
        const sentParts = this.sentAt.get(target);
        if (sentParts === undefined) return 0;
        const now = performance.now();
        let cached = 0;
        for (const { id, tokens } of parts) {
            const sentAt = sentParts.get(id);
            if (sentAt === undefined || now - sentAt > CACHE_LIFETIME_MS) break;
            cached += tokens;
        }
        return cached;
    }
}

/** The engine with the lowest expected cost for a generation. */
export function cheapestEngine(
    candidates: readonly Target[],
    input: PlacementInput,
    prefixCaches: PrefixCacheTracker,
): Target | undefined {
    // The last part is the request's own; the one before it is the largest that requests share.
    const sharedParts = input.promptParts.slice(0, -1);
    const affinityKey = sharedParts.at(-1)?.id;
    const preferred = affinityKey === undefined ? undefined : rendezvousTarget(candidates, affinityKey);
    const sharedTokens = sharedParts.reduce((sum, { tokens }) => sum + tokens, 0);
    const totalBytes = [...input.inputBytesByZone.values()].reduce((sum, bytes) => sum + bytes, 0);
    let best: Target | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const candidate of candidates) {
        const assumedTokens = candidate === preferred ? ASSUMED_CACHED_RATIO * sharedTokens : 0;
        const cachedTokens = Math.max(prefixCaches.cachedTokens(candidate.name, input.promptParts), assumedTokens);
        const transferBytes = totalBytes - (input.inputBytesByZone.get(candidate.registration.zone) ?? 0);
        const load = expectedLoad(candidate);
        const cost =
            (candidate.pendingPromptTokens + Math.max(0, input.promptTokens - cachedTokens)) / PROMPT_TOKENS_PER_MS +
            load.running * RUNNING_COST_MS +
            load.waiting * WAITING_COST_MS +
            (transferBytes / 1_000_000) * ZONE_TRANSFER_COST_MS_PER_MEGABYTE;
        if (cost < bestCost) [best, bestCost] = [candidate, cost];
    }
    return best;
}

/** The target that requests with a key prefer at every gateway. */
export function rendezvousTarget(candidates: readonly Target[], key: string): Target | undefined {
    let best: Target | undefined;
    let bestWeight = -1;
    for (const candidate of candidates) {
        const weight = rendezvousWeight(key, candidate.name);
        if (weight > bestWeight) [best, bestWeight] = [candidate, weight];
    }
    return best;
}

/** The least loaded candidate. Equal ones are decided by zone, then at random. */
export function leastLoadedTarget(
    candidates: readonly Target[],
    zone: string,
    random: () => number,
): Target | undefined {
    let best: Target | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const candidate of candidates) {
        const { running, waiting } = expectedLoad(candidate);
        const otherZone = candidate.registration.zone === zone ? 0 : 1;
        // The round trip to another zone costs a short call about as much as half a request of load.
        const cost = (running + waiting + otherZone / 2) / Math.max(1, candidate.registration.slots) + random() / 1_000;
        if (cost < bestCost) [best, bestCost] = [candidate, cost];
    }
    return best;
}
