/**
 * Finds the requests that crash targets, by what crashed requests have in common.
 *
 * A trait is something that requests may share: a part of their prompts, or their whole content. A crash takes all
 * requests at its target along, harmless ones among them, so one crash proves nothing. A trait is cleared of a crash when a
 * request with it is served to the end later, as one that crashes targets never is.
 *
 * Traits of several crashes that nothing has cleared are suspect. Harmless ones among them are usually those that most
 * requests have, since others seldom come to one crashing target after the other, and a request that crashes its target
 * is seldom beside many others like it. So a crash is attributed to the traits of about as many crashes as any other
 * that the fewest requests had.
 *
 * When a request on trial is at a crash, requests that have all of its uncleared traits are blocked. If others at the target
 * had further uncleared traits, the crash may be theirs. The block is then short and keeps both kinds of requests apart, so
 * that the others can show whether they are harmless.
 */
import { type Crash, type Frequency, repeatedTraits, SAME_CAUSE_MS } from "./crashfrequency.js";

/** What speaks against a trait. */
export interface Suspicion {
    /** Number of crashes that are attributed to the trait; crashes at the same time may count as a fraction. */
    readonly crashes: number;
    /** Number of failed trials after which requests with the trait were blocked. */
    readonly failedTrials: number;
}

/** Requests that are refused after a failed trial. */
export interface Block {
    /** Traits that a request has to have all of. */
    readonly traits: readonly string[];
    /** Monotonic time in milliseconds. */
    readonly until: number;
}

/** What crashes say about requests. */
export interface Verdict {
    /** Traits that may crash targets. */
    readonly suspicions: ReadonlyMap<string, Suspicion>;
    readonly blocks: readonly Block[];
}

/** Crashes that make a trait suspect. */
const CRASHES_TO_SUSPECT = 2;

/** Tolerance for sums of fractions. */
const ROUNDING_TOLERANCE = 1e-6;

/** Ratio of mean requests at each occurrence up to which two traits are equally likely causes. */
const EQUAL_FREQUENCY_RATIO = 1.5;

/** Fraction of the crashes of another trait with which a trait is as likely a cause. */
const EQUAL_CRASHES_RATIO = 0.75;

/** Fraction of the crashes of another trait that a trait may be at by chance. */
const CHANCE_CRASHES_RATIO = 0.3;

/** Times in milliseconds of blocks after the first failed trial, the second, and so on. */
const BLOCK_TIMES_MS: Readonly<Record<Proof, readonly number[]>> = {
    certain: [60_000, 600_000],
    // Until then, what may be the cause beside the tried traits has probably been cleared, and the proof is certain.
    likely: [15_000, 30_000],
    undecided: [5_000, 30_000],
};

/** Attributes crashes to traits; `servedAt` has the time at which a request with a trait was last served to the end. */
export function judgeCrashes(crashes: readonly Crash[], servedAt: ReadonlyMap<string, number>): Verdict {
    const ordered = [...crashes]
        .sort((left, right) => left.at - right.at)
        .map(crash => ({ at: crash.at, trials: crash.trials, requests: unclearedRequests(crash, servedAt) }));
    const frequencies = repeatedTraits(ordered);
    const failures = ordered.flatMap(crash => failedTrials(crash, ordered, frequencies));
    const proofs = failures.filter(({ proof }) => proof === "certain");
    const proofsFor = ({ requests }: Crash): readonly FailedTrial[] =>
        proofs.filter(({ traits }) => traits.every(trait => requests.has(trait)));
    const attributed = ordered.map(crash => {
        const proven = proofsFor(crash).flatMap(({ traits }) => traits);
        return proven.length > 0 ? [...new Set(proven)] : likeliestTraits(crash, frequencies);
    });
    const suspicions = new Map<string, Suspicion>();
    for (const [index, traits] of attributed.entries()) {
        for (const trait of traits) {
            const weight = frequencies.get(trait)?.weights.get(index) ?? 0;
            suspicions.set(trait, {
                crashes: (suspicions.get(trait)?.crashes ?? 0) + weight,
                failedTrials: proofs.filter(proof => proof.traits.includes(trait)).length,
            });
        }
    }
    for (const [trait, { crashes: count }] of suspicions) if (!isEnough(count)) suspicions.delete(trait);
    const unexplained = failures.filter(({ crash, proof }) => proof === "certain" || proofsFor(crash).length === 0);
    return {
        suspicions,
        blocks: blocksOf(unexplained.filter(({ traits }) => traits.some(trait => suspicions.has(trait)))),
    };
}

function unclearedRequests({ at, requests }: Crash, servedAt: ReadonlyMap<string, number>): Crash["requests"] {
    return new Map([...requests].filter(([trait]) => (servedAt.get(trait) ?? Number.NEGATIVE_INFINITY) <= at));
}

/** The repeated traits of a crash that were at about as many as any other, and that the fewest requests had. */
function likeliestTraits(crash: Crash, frequencies: ReadonlyMap<string, Frequency>): readonly string[] {
    const candidates = [...crash.requests.keys()].flatMap(trait => {
        const frequency = frequencies.get(trait);
        return frequency !== undefined && isEnough(frequency.crashes) ? [{ trait, ...frequency }] : [];
    });
    const most = Math.max(...candidates.map(({ crashes }) => crashes));
    const frequent = candidates.filter(({ crashes }) => crashes >= most * EQUAL_CRASHES_RATIO);
    const fewest = Math.min(...frequent.map(({ meanRequests }) => meanRequests));
    return frequent
        .filter(({ meanRequests }) => meanRequests <= fewest * EQUAL_FREQUENCY_RATIO)
        .map(({ trait }) => trait);
}

/** Trials of requests with the same uncleared traits that ended with a crash. */
interface FailedTrial {
    readonly crash: Crash;
    /** Uncleared traits of the requests that may be the cause. */
    readonly traits: readonly string[];
    readonly proof: Proof;
}

/** How sure it is that the crash is of a request with these traits, by what other requests at the target had in common. */
type Proof = "certain" | "likely" | "undecided";

/** `crashes` is the most that a tried trait was at, `otherCrashes` the most of another uncleared one at the target. */
function proofOf(crashes: number, otherCrashes: number): Proof {
    if (otherCrashes < crashes * CHANCE_CRASHES_RATIO) return "certain";
    return otherCrashes < crashes * EQUAL_CRASHES_RATIO ? "likely" : "undecided";
}

function failedTrials(
    crash: Crash,
    all: readonly Crash[],
    frequencies: ReadonlyMap<string, Frequency>,
): readonly FailedTrial[] {
    const mostCrashes = (traits: readonly string[]): number =>
        Math.max(0, ...traits.map(trait => frequencies.get(trait)?.crashes ?? 0));
    const isShared = (trait: string): boolean => (frequencies.get(trait)?.requests ?? 0) > 1;
    const repeated = [...crash.requests.keys()].filter(trait => frequencies.has(trait)).sort();
    const byTraits = new Map<string, FailedTrial>();
    for (const { traits: tried, ageMs } of crash.trials) {
        // Another target that crashes meanwhile without a trial says that the crashes have another cause.
        const hasOtherCause = all.some(
            ({ at, trials }) =>
                trials.length === 0 && at >= crash.at - ageMs && Math.abs(at - crash.at) <= SAME_CAUSE_MS,
        );
        const triedTraits = new Set(tried);
        const own = repeated.filter(trait => triedTraits.has(trait));
        // A request that was at several crashes has repeated traits that no other request has.
        const shared = own.filter(trait => isShared(trait));
        const traits = shared.length > 0 ? shared : own;
        if (hasOtherCause || traits.length === 0) continue;
        const others = repeated.filter(trait => !triedTraits.has(trait) && isShared(trait));
        byTraits.set(keyOf(traits), { crash, traits, proof: proofOf(mostCrashes(traits), mostCrashes(others)) });
    }
    const trials = [...byTraits.values()];
    const proofs = trials.filter(({ proof }) => proof === "certain");
    if (proofs.length > 0) return proofs;
    // If two kinds of requests were both blocked, neither could show that it is harmless.
    const likelihoodOf = ({ traits }: FailedTrial): number =>
        Math.max(...traits.map(trait => likelihood(frequencies.get(trait))));
    const isBefore = (left: FailedTrial, right: FailedTrial): boolean => keyOf(left.traits) < keyOf(right.traits);
    return trials
        .sort((left, right) => likelihoodOf(right) - likelihoodOf(left) || (isBefore(left, right) ? -1 : 1))
        .slice(0, 1);
}

function likelihood(frequency: Frequency | undefined): number {
    return frequency === undefined ? 0 : frequency.crashes / frequency.meanRequests;
}

/** The blocks after failed trials; each further one with the same traits blocks them for longer. */
function blocksOf(failures: readonly FailedTrial[]): readonly Block[] {
    const counts = new Map<string, number>();
    return failures.map(({ crash, traits, proof }) => {
        const times = BLOCK_TIMES_MS[proof];
        const key = `${proof} ${keyOf(traits)}`;
        const before = counts.get(key) ?? 0;
        counts.set(key, before + 1);
        return { traits, until: crash.at + (times[Math.min(before, times.length - 1)] ?? 0) };
    });
}

function keyOf(traits: readonly string[]): string {
    return JSON.stringify(traits);
}

function isEnough(crashes: number): boolean {
    return crashes >= CRASHES_TO_SUSPECT - ROUNDING_TOLERANCE;
}
