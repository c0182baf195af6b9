/**
 * How often a trait of requests was at crashes.
 *
 * Targets that crash at the same time, of an overload or a loss of power, have requests in progress that share traits. Such
 * crashes count as one occurrence of these traits. A request that was sent after a crash has no part in the cause of that
 * one, so its own crash counts separately. A request that goes on at another target after a crash is counted once.
 */

/** The requests with a trait that were at a crash. */
export interface TraitRequests {
    /** Number of requests that were at no crash before. */
    readonly count: number;
    /** Time in milliseconds from sending the oldest of the requests until the crash. */
    readonly oldestMs: number;
}

/** A request on trial that was at a crash. */
export interface Trial {
    readonly traits: readonly string[];
    /** Time in milliseconds from sending it until the crash. */
    readonly ageMs: number;
}

/** A crash of a target, and the requests that were at it. */
export interface Crash {
    /** Monotonic time in milliseconds. */
    readonly at: number;
    readonly requests: ReadonlyMap<string, TraitRequests>;
    /** The requests on trial at the target. */
    readonly trials: readonly Trial[];
}

/** Time in milliseconds within which crashes may have one cause that is no request. */
export const SAME_CAUSE_MS = 100;

/** Crashes at the same time with requests with a trait that were sent before the first of them. */
interface Occurrence {
    readonly startedAt: number;
    lastAt: number;
    /** Index of the latest of the crashes. */
    lastIndex: number;
    targets: number;
    requests: number;
}

/** How often an uncleared trait was at crashes. */
export interface Frequency {
    /** Number of crashes; those at the same time count as a fraction. */
    readonly crashes: number;
    /** Number of different requests. */
    readonly requests: number;
    /** Mean number of requests at each occurrence. */
    readonly meanRequests: number;
    /** For how much a crash counts, by its index. */
    readonly weights: ReadonlyMap<number, number>;
}

/** The traits that were at crashes several times; `crashes` are in the order of time. */
export function repeatedTraits(crashes: readonly Crash[]): ReadonlyMap<string, Frequency> {
    const occurrences = new Map<string, Map<number, Occurrence>>();
    for (const [index, { at, requests }] of crashes.entries()) {
        for (const [trait, { count, oldestMs }] of requests) {
            const known = occurrences.get(trait) ?? new Map<number, Occurrence>();
            occurrences.set(trait, known);
            const last = [...known.values()].at(-1);
            if (last !== undefined && last.lastIndex + 1 === index) last.lastIndex = index;
            // A crash may have a cause that is no request if it comes at the same time as one without the trait, or as one
            // before which the request was sent.
            const hasOwnCause = last !== undefined && at - oldestMs > last.lastAt && last.lastIndex === index;
            const isSeparate = last === undefined || at - last.startedAt > SAME_CAUSE_MS || hasOwnCause;
            const occurrence = isSeparate
                ? { startedAt: at, lastAt: at, lastIndex: index, targets: 0, requests: 0 }
                : last;
            occurrence.lastAt = at;
            occurrence.lastIndex = index;
            occurrence.targets += 1;
            occurrence.requests += count;
            known.set(index, occurrence);
        }
    }
    return new Map(
        [...occurrences].flatMap(([trait, known]) => {
            const distinct = [...new Set(known.values())];
            return distinct.length > 1 ? [[trait, frequencyOf(known, distinct)]] : [];
        }),
    );
}

function frequencyOf(byCrash: ReadonlyMap<number, Occurrence>, distinct: readonly Occurrence[]): Frequency {
    // Targets that crash together while a request with the trait is at each seldom do so because of the trait.
    const weightOf = ({ targets, requests }: Occurrence): number => 1 / Math.min(targets, Math.max(1, requests));
    const requests = distinct.reduce((sum, occurrence) => sum + occurrence.requests, 0);
    return {
        crashes: distinct.reduce((sum, occurrence) => sum + weightOf(occurrence), 0),
        requests,
        meanRequests: Math.max(1, requests / distinct.length),
        weights: new Map([...byCrash].map(([index, occurrence]) => [index, weightOf(occurrence) / occurrence.targets])),
    };
}
