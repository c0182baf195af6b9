/**
 * Choice of the engine for a generation.
 *
 * A generation waits for the prompts that its engine has still to read, reads what the engine does not have in its
 * memory, and shares the engine's steps with other streams. Each of these is put as milliseconds, and so is moving the
 * results of stages from another zone. Requests with the same prompt part prefer the same engine in every gateway.
 */
import { rendezvousWeight } from "../routing/index.js";
import type { PromptPart } from "./dialect.js";
import { expectedLoad, type Target } from "./target.js";

/** Prompt tokens that an engine reads in a millisecond; the engines' published rate. */
const PROMPT_TOKENS_PER_MS = 57;

/** Delay in milliseconds that one running stream adds to others on its engine; the engines' published step time. */
const STREAM_COST_MS = 2;

/** Delay in milliseconds for each request that waits at the engine. */
const WAITING_COST_MS = 40;

/** Cost of moving a megabyte of results between zones, as milliseconds. */
const CROSSING_COST_MS_PER_MEGABYTE = 20;

/** Part of a prompt that the preferred engine is assumed to hold without this gateway having sent it there. */
const ASSUMED_MEMORY = 0.6;

/** Time in milliseconds after which a part is taken to be gone from an engine's memory. */
const MEMORY_MS = 30_000;

/** Parts that are remembered for one engine. */
const MAXIMUM_PARTS = 2_000;

/** What a placement depends on. */
export interface PlacementInput {
    readonly promptTokens: number;
    readonly promptParts: readonly PromptPart[];
    /** Bytes of stage results by zone. */
    readonly inputBytesByZone: ReadonlyMap<string, number>;
}

/** Which prompt parts this gateway has sent to which engines. */
export class PrefixCacheTracker {
    private readonly sentAt = new Map<string, Map<string, number>>();

    private constructor() {}

    static create(): PrefixCacheTracker {
        return new PrefixCacheTracker();
    }

    /** Notes that an engine was given a prompt. */
    recordSent(target: string, parts: readonly PromptPart[]): void {
        const memory = this.sentAt.get(target) ?? new Map<string, number>();
        this.sentAt.set(target, memory);
        for (const { id } of parts) {
            memory.delete(id);
            memory.set(id, performance.now());
        }
        for (const id of memory.keys()) {
            if (memory.size <= MAXIMUM_PARTS) break;
            memory.delete(id);
        }
    }

    /** Forgets an engine that is gone or has restarted. */
    forget(target: string): void {
        this.sentAt.delete(target);
    }

    /** Tokens at the beginning of the prompt that the engine has in memory. */
    cachedTokens(target: string, parts: readonly PromptPart[]): number {
        const memory = this.sentAt.get(target);
        let held = 0;
        for (const { id, tokens } of parts) {
            const sentAt = memory?.get(id);
            if (sentAt === undefined || performance.now() - sentAt > MEMORY_MS) break;
            held += tokens;
        }
        return held;
    }
}

/** Expected cost of a generation at each engine in milliseconds, and the cheapest engine. */
export function cheapestEngine(
    candidates: readonly Target[],
    placement: PlacementInput,
    memory: PrefixCacheTracker,
): Target | undefined {
    // The last part belongs to the request alone; the one before it is the largest that requests share.
    const shared = placement.promptParts.slice(0, -1);
    const affinityKey = shared.at(-1)?.id;
    const preferred = affinityKey === undefined ? undefined : highestWeight(candidates, affinityKey);
    const sharedTokens = shared.reduce((sum, { tokens }) => sum + tokens, 0);
    const totalBytes = [...placement.inputBytesByZone.values()].reduce((sum, bytes) => sum + bytes, 0);
    let best: Target | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const candidate of candidates) {
        const assumed = candidate === preferred ? ASSUMED_MEMORY * sharedTokens : 0;
        const held = Math.max(memory.cachedTokens(candidate.name, placement.promptParts), assumed);
        const crossing = totalBytes - (placement.inputBytesByZone.get(candidate.registration.zone) ?? 0);
        const expected = expectedLoad(candidate);
        const cost =
            (candidate.pendingPromptTokens + Math.max(0, placement.promptTokens - held)) / PROMPT_TOKENS_PER_MS +
            expected.running * STREAM_COST_MS +
            expected.waiting * WAITING_COST_MS +
            (crossing / 1_000_000) * CROSSING_COST_MS_PER_MEGABYTE;
        if (cost < bestCost) [best, bestCost] = [candidate, cost];
    }
    return best;
}

function highestWeight(candidates: readonly Target[], key: string): Target | undefined {
    let best: Target | undefined;
    let bestWeight = -1;
    for (const candidate of candidates) {
        const weight = rendezvousWeight(key, candidate.name);
        if (weight > bestWeight) [best, bestWeight] = [candidate, weight];
    }
    return best;
}

/** The least loaded of the candidates; of equal ones, one of the preferred zone, then the first in a random order. */
export function leastLoadedTarget(
    candidates: readonly Target[],
    zone: string,
    random: () => number,
): Target | undefined {
    let best: Target | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const candidate of candidates) {
        const { running, waiting } = expectedLoad(candidate);
        const elsewhere = candidate.registration.zone === zone ? 0 : 1;
        // Half a request is about what another zone's round trip costs a short call.
        const cost = (running + waiting + elsewhere / 2) / Math.max(1, candidate.registration.slots) + random() / 1_000;
        if (cost < bestCost) [best, bestCost] = [candidate, cost];
    }
    return best;
}
