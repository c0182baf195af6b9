/**
 * Finds the requests that crash targets, by what crashed requests have in common.
 *
 * A trait is something that requests may share: a part of their prompts, or their whole content. A crash takes all
 * requests at its target along, harmless ones among them, so one crash proves nothing. A trait is cleared of a crash when a
 * request with it is served later, as one that crashes targets never is. What a crash leaves uncleared is attributed to
 * the traits that were in the most crashes before.
 */

/** A crash of a target, and the traits of the requests that it had not begun to serve. */
export interface Crash {
    /** Monotonic time in milliseconds. */
    readonly at: number;
    /** Traits of requests to which the target had begun to respond, without any content. */
    readonly responding: ReadonlySet<string>;
    /** Traits of requests that waited for the head of a response. */
    readonly waiting: ReadonlySet<string>;
    /** Traits whose conclusive trial the crash ended. */
    readonly tried: ReadonlySet<string>;
}

/** What speaks against a trait. */
export interface Suspicion {
    /** Number of crashes since a request with the trait was last served. */
    readonly crashes: number;
    /** Number of those that ended a conclusive trial of the trait. */
    readonly failedTrials: number;
    /** Monotonic time in milliseconds of the latest of them. */
    readonly lastAt: number;
}

/** What crashes say about requests. */
export interface Verdict {
    readonly suspicions: ReadonlyMap<string, Suspicion>;
    /** For each crash, the traits to which it is attributed: one of them is its cause. */
    readonly causes: readonly (readonly string[])[];
}

/**
 * Time in milliseconds within which crashes count once for requests that waited. A request is at one target at a time, so
 * targets that crash together, with many requests waiting at each, have another cause.
 */
const SAME_CAUSE_MS = 100;

/** Attributes crashes to traits; `servedAt` has the time at which a request with a trait was last served. */
export function judgeCrashes(crashes: readonly Crash[], servedAt: ReadonlyMap<string, number>): Verdict {
    const suspicions = new Map<string, Suspicion>();
    const causes: (readonly string[])[] = [];
    for (const crash of [...crashes].sort((left, right) => left.at - right.at)) {
        const isUncleared = (trait: string): boolean => (servedAt.get(trait) ?? Number.NEGATIVE_INFINITY) <= crash.at;
        const responding = [...crash.responding].filter(isUncleared);
        // A target begins to respond when it begins to run a request, so such a request is the likelier cause.
        const candidates = responding.length > 0 ? responding : [...crash.waiting].filter(isUncleared);
        const crashesOf = (trait: string): number => suspicions.get(trait)?.crashes ?? 0;
        const most = Math.max(0, ...candidates.map(crashesOf));
        const attributed = candidates.filter(candidate => crashesOf(candidate) === most);
        causes.push(attributed);
        for (const trait of attributed) {
            const before = suspicions.get(trait) ?? { crashes: 0, failedTrials: 0, lastAt: Number.NEGATIVE_INFINITY };
            const isSeparate = responding.length > 0 || crash.at - before.lastAt > SAME_CAUSE_MS;
            suspicions.set(trait, {
                crashes: before.crashes + Number(isSeparate),
                failedTrials: before.failedTrials + Number(isSeparate && crash.tried.has(trait)),
                lastAt: crash.at,
            });
        }
    }
    return { suspicions, causes };
}
