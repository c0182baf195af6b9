/**
 * The observations that one process has made during a roll-out, numbered from 0, and those that it has taken from others.
 *
 * A judge may be lost after it has taken observations, or its answer may be. The sender therefore keeps them, so that
 * another judge gets them all, and numbers them, so that a judge that gets some twice counts them once.
 */
import type { VersionObservation } from "./versionjudge.js";

/** Maximum number of observations that are kept; the oldest give way. */
const MAXIMUM_OBSERVATIONS = 2_000;

/** Maximum number of processes whose observations are told apart. */
const MAXIMUM_SENDERS = 2_000;

/** Consecutive observations of one process. */
export interface ObservationBatch {
    /** Number of the first observation. */
    readonly first: number;
    /** Whether the process keeps none before the first one. */
    readonly isOldest: boolean;
    readonly observations: readonly VersionObservation[];
}

/** Observations of this process. */
export class ObservationLog {
    private readonly kept: VersionObservation[] = [];
    /** Number of the oldest observation that is kept. */
    private oldest = 0;

    private constructor() {}

    static create(): ObservationLog {
        return new ObservationLog();
    }

    /** Number of the next observation. */
    get next(): number {
        return this.oldest + this.kept.length;
    }

    add(observation: VersionObservation): void {
        this.kept.push(observation);
        if (this.kept.length <= MAXIMUM_OBSERVATIONS) return;
        this.kept.shift();
        this.oldest += 1;
    }

    /** The observations from a number on, as far as they are kept. */
    since(number: number): ObservationBatch {
        const first = Math.max(number, this.oldest);
        return { first, isOldest: first === this.oldest, observations: this.kept.slice(first - this.oldest) };
    }

    /** Keeps no observation that was made until now. */
    clear(): void {
        this.oldest = this.next;
        this.kept.length = 0;
    }
}

/** What was taken of other processes. */
export class ReceivedObservations {
    /** Number of the next observation of each process. */
    private readonly nextOf = new Map<string, number>();

    private constructor() {}

    static create(): ReceivedObservations {
        return new ReceivedObservations();
    }

    /**
     * Takes a batch. Returns the observations that are new, and the number from which the sender is to go on. A batch with
     * others before it that were never taken, as after a restart of this process, is not taken.
     */
    take(
        sender: string,
        { first, isOldest, observations }: ObservationBatch,
    ): { readonly added: readonly VersionObservation[]; readonly next: number } {
        const known = this.nextOf.get(sender);
        const next = known ?? 0;
        if (first > next && !isOldest) return { added: [], next };
        const end = Math.max(next, first + observations.length);
        if (known !== undefined || this.nextOf.size < MAXIMUM_SENDERS) this.nextOf.set(sender, end);
        return { added: observations.slice(Math.max(0, next - first)), next: end };
    }
}
