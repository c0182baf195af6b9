/**
 * Requests that may crash targets: which of them are held back, by what this gateway and the others have observed.
 *
 * Two crashes without a served request between them make a trait suspect (`crashjudge`). Requests with suspect traits are
 * sent on trial, one at a time at each gateway: one that is served clears its traits, and after one that is at a crash as
 * well, others that have all of its uncleared traits are blocked. Requests with only some of these can still show that those
 * are harmless.
 *
 * Gateways merge what they know of crashes in any order and as often as they like (`crashrecords`), and judge it themselves.
 */
import type { LineFields } from "../observability/index.js";
import { judgeCrashes, type Suspicion, type Verdict } from "./crashjudge.js";
import { type CrashedRequest, CrashRecords } from "./crashrecords.js";
import type { SharedKnowledge } from "./gossip.js";
import type { Target } from "./target.js";

/** Maximum number of traits in one log line. */
export const MAXIMUM_LOGGED_TRAITS = 8;

/** Whether a request may be sent to a target. */
export type Admission =
    | { readonly kind: "admitted" }
    /** The request may be sent if no other one is on trial for these traits. */
    | { readonly kind: "trial"; readonly traits: readonly string[] }
    | { readonly kind: "refused"; readonly trait: string; readonly retryAfterMs: number };

const NO_VERDICT: Verdict = { suspicions: new Map(), blocks: [] };

/** The crashes that are known, and what they say about requests. */
export class Suspects implements SharedKnowledge {
    private readonly records: CrashRecords;
    private readonly trials = new Set<string>();
    private verdict = NO_VERDICT;
    private isJudged = true;

    private constructor(
        reporter: string,
        private readonly onNews: () => void,
        private readonly onChange: (change: string, fields: LineFields) => void,
    ) {
        this.records = CrashRecords.create(reporter, (target, { dropped, kept }) =>
            this.onChange("traits dropped", { target, dropped, kept }),
        );
    }

    /**
     * `reporter` is the name of this gateway. `onNews` is called when there is something to tell other gateways, `onChange`
     * for the log.
     */
    static create(
        reporter: string,
        onNews: () => void = () => undefined,
        onChange: (change: string, fields: LineFields) => void = () => undefined,
    ): Suspects {
        return new Suspects(reporter, onNews, onChange);
    }

    /** Whether no crash is remembered, so that no request is held back. */
    get isEmpty(): boolean {
        return this.records.isEmpty;
    }

    /** Whether a request with these traits may be sent now. */
    admission(traits: () => readonly string[]): Admission {
        if (this.isEmpty) return { kind: "admitted" };
        const now = performance.now();
        const { suspicions, blocks } = this.currentVerdict();
        const own = new Set(traits());
        const suspects = [...own].filter(trait => suspicions.has(trait));
        const [first] = suspects;
        if (first === undefined) return { kind: "admitted" };
        const alike = blocks.filter(block => block.traits.every(trait => own.has(trait)));
        const blockedUntil = Math.max(...alike.map(({ until }) => until));
        if (blockedUntil > now) return { kind: "refused", trait: first, retryAfterMs: blockedUntil - now };
        return { kind: "trial", traits: suspects };
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

    /** Records that a target crashed while a request was at it. */
    recordCrash(target: Target, request: CrashedRequest): void {
        const { id, incarnation } = target.registration;
        this.records.recordCrash(`${id} ${incarnation}`, request);
        this.isJudged = false;
        this.onNews();
    }

    /** Records that a request was served to its end. */
    recordServed(traits: () => readonly string[]): void {
        if (this.isEmpty || !this.records.recordServed(traits())) return;
        this.isJudged = false;
        this.onNews();
    }

    digest(): string {
        this.currentVerdict();
        return this.records.digest();
    }

    news(withinMs?: number): unknown {
        this.currentVerdict();
        return this.records.news(withinMs);
    }

    merge(news: unknown): boolean {
        const hasChanged = this.records.merge(news);
        if (hasChanged !== true) return hasChanged !== undefined;
        this.isJudged = false;
        this.onNews();
        return true;
    }

    /** The verdict on what is known now. A crash is recorded for each request at the target, and judged once. */
    private currentVerdict(): Verdict {
        const hasGivenUp = this.records.tidy();
        if (this.isJudged && !hasGivenUp) return this.verdict;
        const before = this.verdict.suspicions;
        this.verdict = judgeCrashes(this.records.crashes, this.records.servedAt);
        this.isJudged = true;
        this.logChanges(before, this.verdict.suspicions);
        return this.verdict;
    }

    private logChanges(before: Verdict["suspicions"], after: Verdict["suspicions"]): void {
        this.logTraits(
            "trait suspected",
            [...after].filter(([trait, { failedTrials }]) => before.get(trait)?.failedTrials !== failedTrials),
        );
        this.logTraits(
            "trait cleared",
            [...before].filter(([trait]) => !after.has(trait)),
        );
    }

    /** Logs traits whose suspicion has changed, those with failed trials first. */
    private logTraits(change: string, changed: readonly (readonly [trait: string, suspicion: Suspicion])[]): void {
        if (changed.length === 0) return;
        const ordered = changed.toSorted(([, left], [, right]) => right.failedTrials - left.failedTrials);
        this.onChange(change, {
            count: changed.length,
            traits: ordered.slice(0, MAXIMUM_LOGGED_TRAITS).map(([trait, { crashes, failedTrials }]) => ({
                trait,
                crashes: Math.round(crashes * 100) / 100,
                failedTrials,
            })),
        });
    }
}
