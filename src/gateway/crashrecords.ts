/**
 * The crashes of targets that this gateway and the others have observed, with the traits of the requests that were at
 * them, and when requests with these traits were served.
 *
 * Each gateway counts its own requests. Records of several gateways are merged in any order and as often as they like:
 * a count only grows, so of two counts of the same gateway the larger one is the later one.
 */
import { createHash } from "node:crypto";
import { z } from "zod";
import type { Crash } from "./crashfrequency.js";
import { CrashRecord, type ObservedRequest } from "./crashrecord.js";

/** Time in milliseconds for which a crash is remembered; longer than the longest block. */
const CRASH_MEMORY_MS = 900_000;

/**
 * Time in milliseconds between reports of one crash by several gateways; a target takes longer to start again, but may
 * crash before its new start is registered.
 */
const SAME_CRASH_MS = 1_000;

/** Limits on memory and on the size of a message. */
const MAXIMUM_CRASHES = 64;
const MAXIMUM_TRIALS_PER_CRASH = 64;
const MAXIMUM_TRAITS_PER_CRASH = 64;

const traitsSchema = z.array(z.string().max(128)).max(MAXIMUM_TRAITS_PER_CRASH).readonly();

const crashSchema = z.object({
    target: z.string(),
    ageMs: z.number(),
    /** Traits of one or more requests, and those that were on trial. Earlier versions send and read these lists only. */
    responding: traitsSchema,
    waiting: traitsSchema,
    tried: traitsSchema,
    /** Traits by the gateway that has sent the requests, and by `count` and `oldestMs`. */
    reports: z.record(z.string(), z.record(z.string(), traitsSchema)).optional(),
    /** The traits of each request that was on trial. */
    trials: z.array(traitsSchema).max(MAXIMUM_TRIALS_PER_CRASH).readonly().optional(),
});

const newsSchema = z.object({
    crashes: z.array(crashSchema).max(MAXIMUM_CRASHES).readonly(),
    served: z
        .array(z.object({ trait: z.string(), ageMs: z.number() }))
        .max(2 * MAXIMUM_CRASHES * MAXIMUM_TRAITS_PER_CRASH)
        .readonly(),
});

type CrashNews = z.infer<typeof crashSchema>;

/** A request that was at a target when it crashed. */
export interface CrashedRequest extends ObservedRequest {
    /** Suspect traits for which it was on trial; empty if it was not. */
    readonly tried: readonly string[];
}

/** The crashes that are known, and the traits that were served since. */
export class CrashRecords {
    private records: readonly CrashRecord[] = [];
    private readonly servedAtByTrait = new Map<string, number>();
    /** Monotonic time in milliseconds of the latest crash with a trait. */
    private readonly lastCrashAt = new Map<string, number>();
    /** The digest, until something changes. */
    private knownDigest: string | undefined;

    private constructor(private readonly reporter: string) {}

    /** `reporter` is the name of this gateway. */
    static create(reporter: string): CrashRecords {
        return new CrashRecords(reporter);
    }

    get isEmpty(): boolean {
        return this.records.length === 0;
    }

    /** The crashes, from the earliest to the latest. */
    get crashes(): readonly Crash[] {
        return this.records;
    }

    /** Monotonic time in milliseconds at which a request with a trait was last served to the end. */
    get servedAt(): ReadonlyMap<string, number> {
        return this.servedAtByTrait;
    }

    /**
     * Records a request that was at a target when it crashed. Returns the number of its traits for which there was no room,
     * and the number of traits that are kept for the crash.
     */
    recordCrash(target: string, request: CrashedRequest): { readonly dropped: number; readonly kept: number } {
        const { traits, tried } = request;
        const record = this.recordOf(target, performance.now());
        record.add(this.reporter, request);
        if (tried.length > 0) record.addTrial(traits, tried);
        this.noteChange(record);
        const kept = record.requests;
        return { dropped: traits.filter(trait => !kept.has(trait)).length, kept: kept.size };
    }

    /** Records that a request was served to its end. Returns whether that clears a trait of a crash. */
    recordServed(traits: readonly string[]): boolean {
        const now = performance.now();
        const cleared = traits.filter(trait => this.isHeldAgainst(trait, now));
        for (const trait of cleared) this.servedAtByTrait.set(trait, now);
        if (cleared.length > 0) this.knownDigest = undefined;
        return cleared.length > 0;
    }

    /** Forgets old crashes and what only they are about. Returns whether there were any. */
    forgetOld(): boolean {
        const oldestAt = performance.now() - CRASH_MEMORY_MS;
        if ((this.records[0]?.at ?? oldestAt) >= oldestAt) return false;
        this.retain(this.records.filter(({ at }) => at >= oldestAt));
        return true;
    }

    /** A text that is the same at all gateways that know the same. */
    digest(): string {
        return (this.knownDigest ??= this.computeDigest());
    }

    /** What is known, for other gateways. */
    news(): unknown {
        const now = performance.now();
        return {
            crashes: this.records.map(record => ({
                target: record.target,
                ageMs: Math.round(now - record.at),
                responding: [...record.requests.keys()],
                waiting: [],
                tried: record.tried,
                reports: record.reports(),
                trials: record.trials,
            })),
            served: [...this.servedAtByTrait].map(([trait, at]) => ({ trait, ageMs: Math.round(now - at) })),
        } satisfies z.infer<typeof newsSchema>;
    }

    /** Takes over what another gateway knows. Returns whether anything was new, or undefined if it is malformed. */
    merge(news: unknown): boolean | undefined {
        const parsed = newsSchema.safeParse(news);
        if (!parsed.success) return undefined;
        const now = performance.now();
        let hasChanged = false;
        for (const crash of parsed.data.crashes) {
            if (crash.ageMs > CRASH_MEMORY_MS) continue;
            if (this.mergeCrash(crash, now - crash.ageMs)) hasChanged = true;
        }
        for (const { trait, ageMs } of parsed.data.served) {
            if (!this.isHeldAgainst(trait, now - ageMs)) continue;
            this.servedAtByTrait.set(trait, now - ageMs);
            hasChanged = true;
        }
        if (hasChanged) this.knownDigest = undefined;
        return hasChanged;
    }

    private mergeCrash(crash: CrashNews, at: number): boolean {
        const { target, responding, waiting, tried, reports, trials = [] } = crash;
        const isNew = this.findRecord(target, at) === undefined;
        const record = this.recordOf(target, at);
        const changes = [
            ...Object.entries(reports ?? {}).map(([reporter, counts]) => record.mergeReport(reporter, counts)),
            reports === undefined && record.mergeUncounted([...responding, ...waiting], tried),
            ...trials.map(traits => record.addTrial(traits, tried)),
        ];
        if (!isNew && !changes.includes(true)) return false;
        this.noteChange(record);
        return true;
    }

    private noteChange(record: CrashRecord): void {
        this.knownDigest = undefined;
        for (const trait of record.requests.keys()) {
            if ((this.lastCrashAt.get(trait) ?? record.at) <= record.at) this.lastCrashAt.set(trait, record.at);
        }
    }

    /** Whether a crash before `at` counts against a trait. */
    private isHeldAgainst(trait: string, at: number): boolean {
        const lastAt = this.lastCrashAt.get(trait);
        const clearedAt = this.servedAtByTrait.get(trait) ?? Number.NEGATIVE_INFINITY;
        if (lastAt === undefined || lastAt < clearedAt) return false;
        if (lastAt < at) return true;
        return this.records.some(crash => crash.at < at && crash.at >= clearedAt && crash.requests.has(trait));
    }

    private findRecord(target: string, at: number): CrashRecord | undefined {
        return this.records.find(record => record.target === target && Math.abs(record.at - at) < SAME_CRASH_MS);
    }

    /** The crash of a target at about that time; adds it if it is not known. */
    private recordOf(target: string, at: number): CrashRecord {
        const known = this.findRecord(target, at);
        if (known !== undefined) return known;
        const created = CrashRecord.create(target, at, {
            traits: MAXIMUM_TRAITS_PER_CRASH,
            trials: MAXIMUM_TRIALS_PER_CRASH,
        });
        const byTime = [...this.records, created].sort((left, right) => left.at - right.at);
        if (byTime.length > MAXIMUM_CRASHES) this.retain(byTime.slice(-MAXIMUM_CRASHES));
        else this.records = byTime;
        return created;
    }

    private retain(records: readonly CrashRecord[]): void {
        this.records = records;
        this.lastCrashAt.clear();
        for (const record of records) this.noteChange(record);
        for (const trait of this.servedAtByTrait.keys()) {
            if (!this.lastCrashAt.has(trait)) this.servedAtByTrait.delete(trait);
        }
    }

    private computeDigest(): string {
        const crashes = this.records.map(record => record.text());
        // Gateways do not have the same clock, but they agree on which crashes a trait is cleared of.
        const served = [...this.servedAtByTrait].map(([trait, at]) => {
            const clearedCount = this.records.filter(crash => crash.at < at).length;
            return `${trait};${clearedCount}`;
        });
        const text = [...crashes.sort(), ...served.sort()].join("\n");
        return createHash("sha256").update(text).digest("base64url");
    }
}
