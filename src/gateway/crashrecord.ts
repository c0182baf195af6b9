/** One crash of a target, as several gateways have observed it. */
import type { Crash, TraitRequests } from "./crashfrequency.js";

/** Reporter of requests that an earlier version, which does not count them, has observed. */
const UNKNOWN_REPORTER = "";

/** Traits by `count` and `oldestMs` of their requests, separated by a space, as they are sent. */
export type TraitsByRequests = Readonly<Record<string, readonly string[]>>;

/** A request of a gateway. */
export interface ObservedRequest {
    readonly traits: readonly string[];
    /** Whether it was at no crash before. */
    readonly isFirstCrash: boolean;
    /** Time in milliseconds from sending it until the crash. */
    readonly ageMs: number;
}

/** What is kept of a crash at most. */
export interface CrashLimits {
    readonly traits: number;
    readonly trials: number;
}

/** A crash of a target. */
export class CrashRecord implements Crash {
    /** The requests with a trait, by the gateway that has sent them. */
    private readonly reportsByName = new Map<string, Map<string, TraitRequests>>();
    private readonly total = new Map<string, TraitRequests>();
    private readonly triedTraits = new Set<string>();
    private readonly trialsByText = new Map<string, readonly string[]>();

    private constructor(
        /** Id and start of the target. */
        readonly target: string,
        readonly at: number,
        private readonly limits: CrashLimits,
    ) {}

    static create(target: string, at: number, limits: CrashLimits): CrashRecord {
        return new CrashRecord(target, at, limits);
    }

    get requests(): ReadonlyMap<string, TraitRequests> {
        return this.total;
    }

    /** Suspect traits for which requests were on trial. */
    get tried(): readonly string[] {
        return [...this.triedTraits];
    }

    get trials(): readonly (readonly string[])[] {
        return [...this.trialsByText.values()];
    }

    /** Adds a request of a gateway. */
    add(reporter: string, { traits, isFirstCrash, ageMs }: ObservedRequest): void {
        const report = this.reportOf(reporter);
        const added = { count: Number(isFirstCrash), oldestMs: Math.round(ageMs) };
        for (const trait of traits) this.set(report, trait, sumOf(report.get(trait), added));
    }

    /**
     * Adds the traits of a request on trial, as far as they are kept, and those for which it was on trial. Returns whether
     * anything is new.
     */
    addTrial(traits: readonly string[], tried: readonly string[]): boolean {
        const newlyTried = tried.filter(trait => this.total.has(trait) && !this.triedTraits.has(trait));
        for (const trait of newlyTried) this.triedTraits.add(trait);
        const kept = traits.filter(trait => this.total.has(trait)).sort();
        const text = JSON.stringify(kept);
        const hasRoom = this.trialsByText.size < this.limits.trials;
        if (kept.length === 0 || this.trialsByText.has(text) || !hasRoom) return newlyTried.length > 0;
        this.trialsByText.set(text, kept);
        return true;
    }

    /** The requests of all gateways, as they are sent. */
    reports(): Record<string, Record<string, string[]>> {
        const reports: Record<string, Record<string, string[]>> = {};
        for (const [reporter, report] of this.reportsByName) {
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
                if (!isKnown && this.set(report, trait, later)) hasChanged = true;
            }
        }
        return hasChanged;
    }

    /** Takes over traits, and those on trial, from an earlier version. It repeats traits that others have counted. */
    mergeUncounted(traits: readonly string[], tried: readonly string[]): boolean {
        const isCounted = [...this.reportsByName.keys()].some(reporter => reporter !== UNKNOWN_REPORTER);
        if (isCounted) return false;
        const hasTraits = this.mergeReport(UNKNOWN_REPORTER, { "1 0": traits });
        return this.addTrial(tried, tried) || hasTraits;
    }

    /** A text that is the same for equal crashes. */
    text(): string {
        const requests = [...this.reportsByName].flatMap(([reporter, report]) =>
            [...report].map(([trait, { count, oldestMs }]) => `${reporter},${trait},${count},${oldestMs}`),
        );
        return [this.target, requests.sort().join(";"), [...this.trialsByText.keys()].sort().join(";")].join("\n");
    }

    /** Sets the requests of a gateway with a trait if there is room for the trait. Returns whether there is. */
    private set(report: Map<string, TraitRequests>, trait: string, requests: TraitRequests): boolean {
        if (!this.total.has(trait) && this.total.size >= this.limits.traits) return false;
        report.set(trait, requests);
        const all = [...this.reportsByName.values()].map(each => each.get(trait));
        this.total.set(trait, all.reduce(sumOf) ?? requests);
        return true;
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
