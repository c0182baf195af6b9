/**
 * Requests that may crash targets: what this gateway and the others have observed, and which requests are held back.
 *
 * Two crashes without a served request between them make a trait suspect. Requests with suspect traits are sent on trial,
 * one at a time at each gateway: one that is served clears its traits, and one that crashes a target as well gets its trait
 * blocked. Traits that always crashed together cannot be told apart by a request that has all of them. Such requests are
 * held back until others with some of the traits have shown which ones are harmless.
 *
 * Gateways merge what they know of crashes in any order and as often as they like (`merge`), and judge it themselves.
 */
import { createHash } from "node:crypto";
import { z } from "zod";
import type { LineFields } from "../observability/index.js";
import { type Crash, judgeCrashes, type Suspicion, type Verdict } from "./crashjudge.js";
import type { PromptPart } from "./dialect.js";
import type { SharedKnowledge } from "./gossip.js";
import type { Target } from "./target.js";

/** Crashes that make a trait suspect. */
const CRASHES_TO_SUSPECT = 2;

/** Times in milliseconds for which a trait is blocked after its first failed trial, the second, and so on. */
const BLOCK_TIMES_MS = [60_000, 600_000] as const;

/** Time in milliseconds after the last crash after which requests with several suspect traits are tried. */
const COMMON_TRIAL_AFTER_MS = 10_000;

/** Time in milliseconds after which a request may come back that waits for others to clear its traits. */
const CLEARING_RETRY_MS = 1_000;

/** Time in milliseconds for which a crash is remembered; longer than the longest block. */
const CRASH_MEMORY_MS = 900_000;

/**
 * Time in milliseconds between reports of one crash by several gateways; a target takes longer to start again, but may
 * crash before its new start is registered.
 */
const SAME_CRASH_MS = 1_000;

/** Limits on memory and on the size of a message. */
const MAXIMUM_CRASHES = 64;
const MAXIMUM_TRAITS_PER_CRASH = 64;

/** Whether a request may be sent to a target. */
export type Admission =
    | { readonly kind: "admitted" }
    /** The request may be sent if no other one is on trial for these traits. */
    | {
          readonly kind: "trial";
          readonly traits: readonly string[];
          /** Whether a crash proves all of the traits guilty. */
          readonly isConclusive: boolean;
      }
    | { readonly kind: "refused"; readonly trait: string; readonly retryAfterMs: number };

/** A request that was at a target when it crashed. */
export interface CrashedRequest {
    readonly traits: readonly string[];
    /** Whether the target had begun to respond. */
    readonly isResponding: boolean;
    /** Traits whose conclusive trial the request was. */
    readonly tried: readonly string[];
}

interface MutableCrash extends Crash {
    /** Id and start of the target. */
    readonly target: string;
    readonly responding: Set<string>;
    readonly waiting: Set<string>;
    readonly tried: Set<string>;
}

const traitsSchema = z.array(z.string().max(128)).max(MAXIMUM_TRAITS_PER_CRASH);

const newsSchema = z.object({
    crashes: z
        .array(
            z.object({
                target: z.string(),
                ageMs: z.number(),
                responding: traitsSchema,
                waiting: traitsSchema,
                tried: traitsSchema,
            }),
        )
        .max(MAXIMUM_CRASHES),
    served: z
        .array(z.object({ trait: z.string(), ageMs: z.number() }))
        .max(2 * MAXIMUM_CRASHES * MAXIMUM_TRAITS_PER_CRASH),
});

/** The content of a request, from which its traits follow. */
export interface RequestContent {
    readonly method: string;
    readonly path: string;
    readonly accountName: string | undefined;
    readonly body: Buffer | undefined;
    readonly promptParts: readonly PromptPart[];
}

/** Traits of a request: the parts of its prompt that other requests may share, and a hash of its content. */
export function traitsOf({ method, path, accountName, body, promptParts }: RequestContent): readonly string[] {
    const hash = createHash("sha256").update(`${method} ${path}\n${accountName ?? ""}\n`);
    const content = hash.update(body ?? "").digest("base64url");
    return [...promptParts.slice(0, -1).map(({ id }) => `part ${id}`), `content ${content.slice(0, 22)}`];
}

/** The traits of a request, computed once and only if they are needed: a crash is rare, and a body may be long. */
export function lazyTraitsOf(content: RequestContent): () => readonly string[] {
    let traits: readonly string[] | undefined;
    return () => (traits ??= traitsOf(content));
}

/** The crashes that are known, and what they say about requests. */
export class Suspects implements SharedKnowledge {
    private crashes: readonly MutableCrash[] = [];
    private readonly servedAt = new Map<string, number>();
    private readonly trials = new Set<string>();
    private verdict: Verdict = { suspicions: new Map(), causes: [] };

    private constructor(
        private readonly onNews: () => void,
        private readonly onChange: (change: string, fields: LineFields) => void,
    ) {}

    /** `onNews` is called when there is something to tell other gateways, `onChange` for the log. */
    static create(
        onNews: () => void = () => undefined,
        onChange: (change: string, fields: LineFields) => void = () => undefined,
    ): Suspects {
        return new Suspects(onNews, onChange);
    }

    /** Whether no crash is remembered, so that no request is held back. */
    get isEmpty(): boolean {
        return this.crashes.length === 0;
    }

    /** Whether a request with these traits may be sent now. */
    admission(traits: () => readonly string[]): Admission {
        const [oldest] = this.crashes;
        if (oldest === undefined) return { kind: "admitted" };
        const now = performance.now();
        if (oldest.at < now - CRASH_MEMORY_MS) this.judge();
        const suspects = traits().flatMap(trait => {
            const suspicion = this.verdict.suspicions.get(trait);
            return isSuspect(suspicion) ? [{ trait, suspicion }] : [];
        });
        const blocked = suspects.find(({ suspicion }) => blockedUntil(suspicion) > now);
        if (blocked !== undefined) {
            const { trait, suspicion } = blocked;
            return { kind: "refused", trait, retryAfterMs: blockedUntil(suspicion) - now };
        }
        const [first] = suspects;
        if (first === undefined) return { kind: "admitted" };
        const isCommonTrialDue = suspects.every(
            ({ suspicion }) => now - Math.max(suspicion.lastAt, blockedUntil(suspicion)) > COMMON_TRIAL_AFTER_MS,
        );
        const names = suspects.map(({ trait }) => trait);
        const isConclusive = suspects.length === 1 || isCommonTrialDue;
        if (!isConclusive && this.resemblesCrash(names)) {
            return { kind: "refused", trait: first.trait, retryAfterMs: CLEARING_RETRY_MS };
        }
        return { kind: "trial", traits: names, isConclusive };
    }

    /** Begins a trial. Returns false if a request is on trial for one of the traits. */
    startTrial(traits: readonly string[]): boolean {
        if (traits.some(trait => this.trials.has(trait))) return false;
        for (const trait of traits) this.trials.add(trait);
        return true;
    }

    /** Ends a trial, whatever has become of its request. */
    endTrial(traits: readonly string[]): void {
        for (const trait of traits) this.trials.delete(trait);
    }

    /** Records that a target crashed while a request was at it that it had not begun to serve. */
    recordCrash(target: Target, { traits, isResponding, tried }: CrashedRequest): void {
        const { id, incarnation } = target.registration;
        const crash = this.crashOf(`${id} ${incarnation}`, performance.now());
        const held = isResponding ? crash.responding : crash.waiting;
        addAll(held, traits);
        const dropped = traits.filter(trait => !held.has(trait)).length;
        if (dropped > 0) this.onChange("traits dropped", { target: id, dropped, kept: held.size });
        addAll(crash.tried, tried);
        this.judge();
        this.onNews();
    }

    /** Records that a request was served: the first event of its stream, or its whole response. */
    recordServed(traits: () => readonly string[]): void {
        if (this.isEmpty) return;
        const now = performance.now();
        const cleared = traits().filter(trait => this.isHeldAgainst(trait, now));
        if (cleared.length === 0) return;
        for (const trait of cleared) this.servedAt.set(trait, now);
        this.judge();
        this.onNews();
    }

    digest(): string {
        this.forgetOld();
        const crashes = this.crashes.map(({ target, responding, waiting, tried }) =>
            [target, ...[responding, waiting, tried].map(traits => [...traits].sort().join(","))].join(";"),
        );
        // Gateways do not have the same clock, but they agree on which crashes a trait is cleared of.
        const served = [...this.servedAt].map(([trait, at]) => {
            const clearedCount = this.crashes.filter(crash => crash.at < at).length;
            return `${trait};${clearedCount}`;
        });
        return [...crashes.sort(), ...served.sort()].join("\n");
    }

    /** What is known, for other gateways. */
    news(): unknown {
        this.forgetOld();
        const now = performance.now();
        return {
            crashes: this.crashes.map(({ target, at, responding, waiting, tried }) => ({
                target,
                ageMs: Math.round(now - at),
                responding: [...responding],
                waiting: [...waiting],
                tried: [...tried],
            })),
            served: [...this.servedAt].map(([trait, at]) => ({ trait, ageMs: Math.round(now - at) })),
        };
    }

    /** Takes over what another gateway knows. Returns false if it is malformed. */
    merge(news: unknown): boolean {
        const parsed = newsSchema.safeParse(news);
        if (!parsed.success) return false;
        const now = performance.now();
        let hasChanged = false;
        for (const { target, ageMs, responding, waiting, tried } of parsed.data.crashes) {
            if (ageMs > CRASH_MEMORY_MS) continue;
            const isNew = this.findCrash(target, now - ageMs) === undefined;
            const crash = this.crashOf(target, now - ageMs);
            const added = [
                addAll(crash.responding, responding),
                addAll(crash.waiting, waiting),
                addAll(crash.tried, tried),
            ];
            hasChanged ||= isNew || added.some(Boolean);
        }
        for (const { trait, ageMs } of parsed.data.served) {
            if (!this.isHeldAgainst(trait, now - ageMs)) continue;
            this.servedAt.set(trait, now - ageMs);
            hasChanged = true;
        }
        if (!hasChanged) return true;
        this.judge();
        this.onNews();
        return true;
    }

    /** Whether a request has all suspect traits to which some crash is attributed. */
    private resemblesCrash(traits: readonly string[]): boolean {
        const { suspicions, causes } = this.verdict;
        return causes.some(cause => {
            const suspects = cause.filter(trait => isSuspect(suspicions.get(trait)));
            return suspects.length > 0 && suspects.every(trait => traits.includes(trait));
        });
    }

    /** Whether a crash before `at` counts against a trait. */
    private isHeldAgainst(trait: string, at: number): boolean {
        const clearedAt = this.servedAt.get(trait) ?? Number.NEGATIVE_INFINITY;
        return this.crashes.some(
            crash =>
                crash.at < at && crash.at >= clearedAt && (crash.responding.has(trait) || crash.waiting.has(trait)),
        );
    }

    private findCrash(target: string, at: number): MutableCrash | undefined {
        return this.crashes.find(crash => crash.target === target && Math.abs(crash.at - at) < SAME_CRASH_MS);
    }

    /** The crash of a target at about that time; adds it if it is not known. */
    private crashOf(target: string, at: number): MutableCrash {
        const known = this.findCrash(target, at);
        if (known !== undefined) return known;
        const created: MutableCrash = { target, at, responding: new Set(), waiting: new Set(), tried: new Set() };
        const byTime = [...this.crashes, created].sort((left, right) => left.at - right.at);
        this.crashes = byTime.slice(-MAXIMUM_CRASHES);
        return created;
    }

    private forgetOld(): void {
        const oldestAt = performance.now() - CRASH_MEMORY_MS;
        this.crashes = this.crashes.filter(({ at }) => at >= oldestAt);
        const traits = new Set(this.crashes.flatMap(crash => [...crash.responding, ...crash.waiting]));
        for (const trait of this.servedAt.keys()) if (!traits.has(trait)) this.servedAt.delete(trait);
    }

    private judge(): void {
        this.forgetOld();
        const before = this.verdict.suspicions;
        this.verdict = judgeCrashes(this.crashes, this.servedAt);
        for (const [trait, suspicion] of this.verdict.suspicions) {
            if (!isSuspect(suspicion)) continue;
            const { crashes, failedTrials } = suspicion;
            const known = before.get(trait);
            if (isSuspect(known) && known.failedTrials === failedTrials) continue;
            this.onChange("trait suspected", { trait, crashes, failedTrials });
        }
        for (const [trait, known] of before) {
            if (!isSuspect(known) || isSuspect(this.verdict.suspicions.get(trait))) continue;
            this.onChange("trait cleared", { trait, crashes: known.crashes, failedTrials: known.failedTrials });
        }
    }
}

function isSuspect(suspicion: Suspicion | undefined): suspicion is Suspicion {
    return suspicion !== undefined && suspicion.crashes >= CRASHES_TO_SUSPECT;
}

/** Monotonic time until which requests with a trait are refused; 0 if no trial has failed. */
function blockedUntil({ failedTrials, lastAt }: Suspicion): number {
    const blockMs = BLOCK_TIMES_MS[Math.min(failedTrials, BLOCK_TIMES_MS.length) - 1];
    return blockMs === undefined ? 0 : lastAt + blockMs;
}

/** Adds values as long as there is room. Returns whether the set has changed. */
function addAll(set: Set<string>, values: readonly string[]): boolean {
    const sizeBefore = set.size;
    for (const value of values) if (set.size < MAXIMUM_TRAITS_PER_CRASH) set.add(value);
    return set.size > sizeBefore;
}
