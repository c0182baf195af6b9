/**
 * The crashes of targets that this gateway and the others have observed, with the traits of the requests that were at
 * them, and when requests with these traits were served.
 *
 * Each gateway counts its own requests. Records of several gateways are merged in any order and as often as they like:
 * a count only grows, so of two counts of the same gateway the larger one is the later one.
 */
import { createHash } from "node:crypto";
import type { Crash } from "./crashfrequency.js";
import { decodeNews, encodeNews, type ReceivedCrash } from "./crashnews.js";
import { type CrashLimits, CrashRecord, type ObservedRequest, type TraitStanding } from "./crashrecord.js";

/** Time in milliseconds for which a crash is remembered; longer than the longest block. */
const CRASH_MEMORY_MS = 900_000;

/**
 * Time in milliseconds between reports of one crash by several gateways; a target takes longer to start again, but may
 * crash before its new start is registered.
 */
const SAME_CRASH_MS = 1_000;

/** Limits on memory and on the size of a message. Traits that were at one old crash only are given up first. */
const MAXIMUM_CRASHES = 64;
const RECENT_CRASHES = 4;
const RECENT_LIMITS: CrashLimits = { traits: 49_152, trials: 12_288 };
const OLD_LIMITS: CrashLimits = { traits: 3_072, trials: 2_048 };
const MAXIMUM_SERVED = 4_096;

/** Number of requests at crashed targets after which the limits are applied, though nothing has asked for a verdict. */
const MAXIMUM_UNTIDIED = 16;

/** A request that was at a target when it crashed. */
export interface CrashedRequest extends ObservedRequest {
    /** Suspect traits for which it was on trial; empty if it was not. */
    readonly tried: readonly string[];
}

/** Numbers of traits of a crash that were given up and that are left. */
export interface DroppedTraits {
    readonly dropped: number;
    readonly kept: number;
}

/** The crashes that are known, and the traits that were served since. */
export class CrashRecords {
    private records: readonly CrashRecord[] = [];
    private readonly servedAtByTrait = new Map<string, number>();
    /** Monotonic time in milliseconds of the latest crash with a trait. */
    private readonly lastCrashAt = new Map<string, number>();
    /** Number of crashes with a trait; computed when it is needed. */
    private knownCrashCounts: ReadonlyMap<string, number> | undefined;
    /** Monotonic time in milliseconds of the latest change of a record. */
    private readonly changedAt = new WeakMap<CrashRecord, number>();
    private recordedSinceTidied = 0;
    private isWithinLimits = true;
    /** The digest, until something changes. */
    private knownDigest: string | undefined;

    private constructor(
        private readonly reporter: string,
        private readonly onDropped: (target: string, counts: DroppedTraits) => void,
    ) {}

    /** `reporter` is the name of this gateway. `onDropped` is called with the id of a target and its start. */
    static create(
        reporter: string,
        onDropped: (target: string, counts: DroppedTraits) => void = () => undefined,
    ): CrashRecords {
        return new CrashRecords(reporter, onDropped);
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

    /** Records a request that was at a target when it crashed. */
    recordCrash(target: string, request: CrashedRequest): void {
        const { traits, tried } = request;
        const record = this.recordOf(target, performance.now());
        record.add(this.reporter, request);
        if (tried.length > 0) record.addTrial({ traits, ageMs: request.ageMs }, tried);
        this.noteChange(record);
        this.recordedSinceTidied += 1;
        if (this.recordedSinceTidied >= MAXIMUM_UNTIDIED) this.tidy();
    }

    /** Records that a request was served to its end. Returns whether that clears a trait of a crash. */
    recordServed(traits: readonly string[]): boolean {
        const now = performance.now();
        const cleared = traits.filter(trait => this.isHeldAgainst(trait, now));
        for (const trait of cleared) this.servedAtByTrait.set(trait, now);
        if (cleared.length > 0) this.knownDigest = undefined;
        return cleared.length > 0;
    }

    /** Keeps within the limits, and forgets old crashes. Returns whether anything was given up. */
    tidy(): boolean {
        this.recordedSinceTidied = 0;
        const hasForgotten = this.forgetOld();
        return this.limitTraits() || hasForgotten;
    }

    private forgetOld(): boolean {
        const oldestAt = performance.now() - CRASH_MEMORY_MS;
        if ((this.records[0]?.at ?? oldestAt) >= oldestAt) return false;
        this.retain(this.records.filter(({ at }) => at >= oldestAt));
        return true;
    }

    /** A text that is the same at all gateways that know the same. */
    digest(): string {
        return (this.knownDigest ??= this.computeDigest());
    }

    /** What is known, or what has changed in the last milliseconds, for other gateways. */
    news(withinMs = Number.POSITIVE_INFINITY): unknown {
        const now = performance.now();
        const since = now - withinMs;
        const served = [...this.servedAtByTrait].filter(([, at]) => at >= since).slice(-MAXIMUM_SERVED);
        return encodeNews({
            crashes: this.records
                .filter(record => (this.changedAt.get(record) ?? since) >= since)
                .map(record => ({
                    target: record.target,
                    ageMs: Math.round(now - record.at),
                    mostTelling: this.mostTelling(record),
                    tried: record.tried,
                    reports: record.reports(),
                    trials: record.trials,
                })),
            served: served.map(([trait, at]) => ({ trait, ageMs: Math.round(now - at) })),
        });
    }

    /** Takes over what another gateway knows. Returns whether anything was new, or undefined if it is malformed. */
    merge(text: unknown): boolean | undefined {
        const news = decodeNews(text);
        if (news === undefined) return undefined;
        const now = performance.now();
        let hasChanged = false;
        for (const crash of news.crashes) {
            if (crash.ageMs > CRASH_MEMORY_MS) continue;
            if (this.mergeCrash(crash, now - crash.ageMs)) hasChanged = true;
        }
        for (const { trait, ageMs } of news.served) {
            if (!this.isHeldAgainst(trait, now - ageMs)) continue;
            this.servedAtByTrait.set(trait, now - ageMs);
            hasChanged = true;
        }
        if (hasChanged) this.knownDigest = undefined;
        return hasChanged;
    }

    private mergeCrash({ target, uncounted, tried, reports, trials }: ReceivedCrash, at: number): boolean {
        const isNew = this.findRecord(target, at) === undefined;
        const record = this.recordOf(target, at);
        const changes = [
            ...Object.entries(reports).map(([reporter, traits]) => record.mergeReport(reporter, traits)),
            uncounted.length > 0 && record.mergeUncounted(uncounted, tried),
            ...trials.map(trial => record.mergeTrial(trial, tried)),
        ];
        if (!isNew && !changes.includes(true)) return false;
        this.noteChange(record);
        return true;
    }

    private get crashCounts(): ReadonlyMap<string, number> {
        if (this.knownCrashCounts !== undefined) return this.knownCrashCounts;
        const counts = new Map<string, number>();
        for (const { requests } of this.records) {
            for (const trait of requests.keys()) counts.set(trait, (counts.get(trait) ?? 0) + 1);
        }
        return (this.knownCrashCounts = counts);
    }

    private noteChange(record: CrashRecord): void {
        this.changedAt.set(record, performance.now());
        this.noteTraits(record);
    }

    private noteTraits(record: CrashRecord): void {
        this.knownDigest = undefined;
        this.knownCrashCounts = undefined;
        this.isWithinLimits = false;
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
        const created = CrashRecord.create(target, at);
        const byTime = [...this.records, created].sort((left, right) => left.at - right.at);
        if (byTime.length > MAXIMUM_CRASHES) this.retain(byTime.slice(-MAXIMUM_CRASHES));
        else this.records = byTime;
        return created;
    }

    /** Drops traits for which there is no room. Returns whether there were any. */
    private limitTraits(): boolean {
        if (this.isWithinLimits) return false;
        this.isWithinLimits = true;
        const firstRecent = this.records.length - RECENT_CRASHES;
        let hasDropped = false;
        for (const [index, record] of this.records.entries()) {
            const limits = index >= firstRecent ? RECENT_LIMITS : OLD_LIMITS;
            const dropped = record.limit(limits, trait => this.standingOf(trait, record));
            if (dropped === 0) continue;
            hasDropped = true;
            this.onDropped(record.target, { dropped, kept: record.requests.size });
        }
        if (!hasDropped) return false;
        this.retain(this.records);
        this.isWithinLimits = true;
        return true;
    }

    private standingOf(trait: string, crash: Crash): TraitStanding {
        if ((this.servedAtByTrait.get(trait) ?? Number.NEGATIVE_INFINITY) > crash.at) return "cleared";
        return (this.crashCounts.get(trait) ?? 0) > 1 ? "atSeveralCrashes" : "atOneCrash";
    }

    /** The traits of a crash, first those that tell most of its cause. */
    private mostTelling(crash: CrashRecord): readonly string[] {
        const traits = [...crash.requests.keys()];
        const isTelling = (trait: string): boolean => this.standingOf(trait, crash) === "atSeveralCrashes";
        return [...traits.filter(isTelling), ...traits.filter(trait => !isTelling(trait))];
    }

    private retain(records: readonly CrashRecord[]): void {
        this.records = records;
        this.lastCrashAt.clear();
        for (const record of records) this.noteTraits(record);
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
