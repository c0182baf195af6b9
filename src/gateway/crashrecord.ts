/** One crash of a target, as several gateways have observed it. */
import { createHash } from "node:crypto";
import type { Crash, TraitRequests, Trial } from "./crashfrequency.js";

/** Reporter of requests that an earlier version, which does not count them, has observed. */
const UNKNOWN_REPORTER = "";

/** Traits by `count` and `oldestMs` of their requests, separated by a space. */
export type TraitsByRequests = Readonly<Record<string, readonly string[]>>;

/** A request of a gateway. */
export interface ObservedRequest {
    readonly traits: readonly string[];
    /** Whether it was at no crash before. */
    readonly isFirstCrash: boolean;
    /** Time in milliseconds from sending it until the crash. */
    readonly ageMs: number;
}

/** What is kept of a crash at most, in characters. */
export interface CrashLimits {
    readonly traits: number;
    /** Limit on the traits of all trials together. */
    readonly trials: number;
}

/** What is known of a trait of a crash: whether it was cleared of it, and otherwise whether it was at others too. */
export type TraitStanding = "cleared" | "atOneCrash" | "atSeveralCrashes";

/** Order in which traits are given up. */
const GIVEN_UP_FIRST: readonly TraitStanding[] = ["cleared", "atOneCrash", "atSeveralCrashes"];

/** Limit in characters on the traits of one trial. */
const MAXIMUM_TRIAL_LENGTH = 8_192;

/** A crash of a target. */
export class CrashRecord implements Crash {
    /** The requests with a trait, by the gateway that has sent them. */
    private readonly reportsByName = new Map<string, Map<string, TraitRequests>>();
    private readonly total = new Map<string, TraitRequests>();
    private readonly triedTraits = new Set<string>();
    private readonly trialsByText = new Map<string, Trial>();

    private constructor(
        /** Id and start of the target. */
        readonly target: string,
        readonly at: number,
    ) {}

    static create(target: string, at: number): CrashRecord {
        return new CrashRecord(target, at);
    }

    get requests(): ReadonlyMap<string, TraitRequests> {
        return this.total;
    }

    /** Suspect traits for which requests were on trial. */
    get tried(): readonly string[] {
        return [...this.triedTraits];
    }

    get trials(): readonly Trial[] {
        return [...this.trialsByText.values()];
    }

    /** Adds a request of a gateway. */
    add(reporter: string, { traits, isFirstCrash, ageMs }: ObservedRequest): void {
        const report = this.reportOf(reporter);
        const added = { count: Number(isFirstCrash), oldestMs: Math.round(ageMs) };
        for (const trait of traits) this.set(report, trait, sumOf(report.get(trait), added));
    }

    /**
     * Adds a request on trial, of which `tried` are the suspect traits. Of many traits, those are kept that the fewest requests
     * have: they tell requests apart. Returns whether anything is new.
     */
    addTrial({ traits, ageMs }: Trial, tried: readonly string[]): boolean {
        const countOf = (trait: string): number => this.total.get(trait)?.count ?? 0;
        const rarestFirst = traits.toSorted((left, right) => countOf(left) - countOf(right));
        const kept = withinLength(rarestFirst, MAXIMUM_TRIAL_LENGTH);
        return this.mergeTrial({ traits: kept.toSorted(), ageMs: Math.round(ageMs) }, tried);
    }

    /** Takes over a request on trial of another gateway. Returns whether anything is new. */
    mergeTrial(trial: Trial, tried: readonly string[]): boolean {
        const newlyTried = tried.filter(trait => !this.triedTraits.has(trait));
        for (const trait of newlyTried) this.triedTraits.add(trait);
        const text = JSON.stringify(trial);
        if (this.trialsByText.has(text)) return newlyTried.length > 0;
        this.trialsByText.set(text, trial);
        return true;
    }

    /** The requests of all gateways, by the gateway that has sent them. */
    reports(): Record<string, TraitsByRequests> {
        const reports: Record<string, TraitsByRequests> = {};
        for (const [reporter, report] of this.reportsByName) {
            if (report.size === 0) continue;
            const traits: Record<string, string[]> = {};
            for (const [trait, { count, oldestMs }] of report) (traits[`${count} ${oldestMs}`] ??= []).push(trait);
            reports[reporter] = traits;
        }
        return reports;
    }

    /** Takes over the requests of a gateway. Returns whether anything was new. */
    mergeReport(reporter: string, traits: TraitsByRequests): boolean {
        const report = this.reportOf(reporter);
        let hasChanged = false;
        for (const [key, names] of Object.entries(traits)) {
            const [count = Number.NaN, oldestMs = Number.NaN] = key.split(" ").map(Number);
            if (!(count >= 0 && oldestMs >= 0)) continue;
            for (const trait of names) {
                const known = report.get(trait) ?? { count: -1, oldestMs: -1 };
                const later = { count: Math.max(count, known.count), oldestMs: Math.max(oldestMs, known.oldestMs) };
                const isKnown = later.count === known.count && later.oldestMs === known.oldestMs;
                if (isKnown) continue;
                this.set(report, trait, later);
                hasChanged = true;
            }
        }
        return hasChanged;
    }

    /** Takes over traits, and those on trial, from an earlier version. It repeats traits that others have counted. */
    mergeUncounted(traits: readonly string[], tried: readonly string[]): boolean {
        const isCounted = [...this.reportsByName.keys()].some(reporter => reporter !== UNKNOWN_REPORTER);
        if (isCounted) return false;
        const hasTraits = this.mergeReport(UNKNOWN_REPORTER, { "1 0": traits });
        if (tried.length === 0) return hasTraits;
        return this.mergeTrial({ traits: tried, ageMs: 0 }, tried) || hasTraits;
    }

    /** A text that is the same for equal crashes. */
    text(): string {
        const requests = [...this.reportsByName].flatMap(([reporter, report]) =>
            [...report].map(([trait, { count, oldestMs }]) => `${reporter},${trait},${count},${oldestMs}`),
        );
        return [this.target, requests.sort().join(";"), [...this.trialsByText.keys()].sort().join(";")].join("\n");
    }

    /**
     * Drops what exceeds limits: first traits that were cleared, then those of no other crash. Of traits with the same
     * standing, all gateways drop the same ones, and other ones for each crash, so that none is always dropped. Returns the
     * number of dropped traits.
     */
    limit({ traits, trials }: CrashLimits, standingOf: (trait: string) => TraitStanding): number {
        this.limitTrials(trials, standingOf);
        if (lengthOf(this.total.keys()) <= traits) return 0;
        const ordered = [...this.total.keys()]
            .map(trait => ({
                trait,
                rank: GIVEN_UP_FIRST.indexOf(standingOf(trait)),
                order: this.sampleOrder(trait),
            }))
            .sort((left, right) => right.rank - left.rank || (left.order < right.order ? -1 : 1))
            .map(({ trait }) => trait);
        const dropped = ordered.slice(withinLength(ordered, traits).length);
        for (const trait of dropped) {
            this.total.delete(trait);
            for (const report of this.reportsByName.values()) report.delete(trait);
        }
        return dropped.length;
    }

    /** Drops traits of trials that were cleared, and then trials, the same ones at all gateways. */
    private limitTrials(maximumLength: number, standingOf: (trait: string) => TraitStanding): void {
        const lengthOfAll = (): number =>
            [...this.trialsByText.values()].reduce((sum, { traits }) => sum + lengthOf(traits), 0);
        if (lengthOfAll() > maximumLength) {
            const shortened = [...this.trialsByText.values()].map(({ traits, ageMs }) => ({
                traits: traits.filter(trait => standingOf(trait) !== "cleared"),
                ageMs,
            }));
            this.trialsByText.clear();
            for (const trial of shortened) this.trialsByText.set(JSON.stringify(trial), trial);
        }
        for (const text of [...this.trialsByText.keys()].sort().reverse()) {
            if (lengthOfAll() > maximumLength) this.trialsByText.delete(text);
        }
        const tried = [...this.triedTraits].sort();
        for (const trait of tried.slice(withinLength(tried, maximumLength).length)) this.triedTraits.delete(trait);
    }

    private sampleOrder(trait: string): string {
        return createHash("sha1").update(`${this.target}\n${trait}`).digest("base64");
    }

    private set(report: Map<string, TraitRequests>, trait: string, requests: TraitRequests): void {
        report.set(trait, requests);
        const all = [...this.reportsByName.values()].map(each => each.get(trait));
        this.total.set(trait, all.reduce(sumOf) ?? requests);
    }

    private reportOf(reporter: string): Map<string, TraitRequests> {
        const known = this.reportsByName.get(reporter);
        if (known !== undefined) return known;
        const created = new Map<string, TraitRequests>();
        this.reportsByName.set(reporter, created);
        return created;
    }
}

function sumOf(left: TraitRequests | undefined, right: TraitRequests): TraitRequests;
function sumOf(left: TraitRequests | undefined, right: TraitRequests | undefined): TraitRequests | undefined;
function sumOf(left: TraitRequests | undefined, right: TraitRequests | undefined): TraitRequests | undefined {
    if (left === undefined || right === undefined) return left ?? right;
    return { count: left.count + right.count, oldestMs: Math.max(left.oldestMs, right.oldestMs) };
}

function lengthOf(traits: Iterable<string>): number {
    let length = 0;
    for (const trait of traits) length += trait.length;
    return length;
}

/** The first traits that have at most a number of characters together. */
function withinLength(traits: readonly string[], maximumLength: number): readonly string[] {
    let length = 0;
    const firstBeyond = traits.findIndex(trait => (length += trait.length) > maximumLength);
    return firstBeyond === -1 ? traits : traits.slice(0, firstBeyond);
}
