/**
 * What the silence of one target says about it, however many of its requests wait.
 *
 * A target that sends nothing to any request is silent until it is heard. One silence is one failure of the target, and one
 * failed answer of its version, with a further one for each interval in which it continues.
 */

/**
 * A silent target gets no request while others can, until it is heard, and otherwise for this time in milliseconds after
 * its silence was last seen.
 */
const PAUSE_MS = 1_000;

/** Further time in milliseconds in which a target that was silent gets only requests that can move to another target. */
const PROBE_DELAY_MS = 5_000;

/** Time in milliseconds after which a continued silence counts as a further failure; working targets are silent for less. */
const FAILURE_INTERVAL_MS = 1_500;

/** What a request that has received nothing for a time shows about its silent target. */
export interface SilenceSign {
    readonly silentMs: number;
    /** Whether the target did not count as silent before. */
    readonly isNew: boolean;
    /** Whether it counts as a failure of the target. */
    readonly isFailure: boolean;
}

/** The silence of one target. All times are on the monotonic clock in milliseconds. */
export class TargetSilence {
    /** When anything was last received from the target. */
    private heardAt = 0;
    /** Until when the target counts as silent; 0 if it was heard since. */
    private silentUntil = 0;
    /** When the silence last counted as a failure of the target. */
    private failureAt = Number.NEGATIVE_INFINITY;
    /** When a request that was taken from the silent target last counted as a failed answer. */
    private failedAnswerAt = Number.NEGATIVE_INFINITY;

    private constructor() {}

    /** Creates the silence of a target that was not silent yet. */
    static create(): TargetSilence {
        return new TargetSilence();
    }

    /**
     * Whether the target may get a request beside those that it has. If it was silent, and has not been heard since, it gets
     * one request at a time, preferably one that can move to another target.
     */
    admits(outstanding: number, canMove: boolean): boolean {
        if (this.silentUntil === 0) return true;
        const latestEnd = performance.now() - (canMove ? 0 : PROBE_DELAY_MS);
        return this.silentUntil <= latestEnd && outstanding === 0;
    }

    /** Records that something was received from the target, which ends its silence. */
    recordHeard(): void {
        this.heardAt = performance.now();
        this.silentUntil = 0;
    }

    /** Records that a request has received nothing since a time. Undefined if the target has sent something to others. */
    recordSilent(since: number): SilenceSign | undefined {
        if (this.heardAt > since) return undefined;
        const now = performance.now();
        const isNew = this.silentUntil <= now;
        this.silentUntil = now + PAUSE_MS;
        const isFailure = !this.isCounted(this.failureAt, now);
        if (isFailure) this.failureAt = now;
        return { silentMs: now - since, isNew, isFailure };
    }

    /**
     * Records that a request was taken from the target, which had sent it nothing since a time. Returns whether it counts as
     * a failed answer.
     */
    recordLeft(since: number): boolean {
        const now = performance.now();
        // The streams of a target that stops have got their last events shortly after each other.
        const isSilent = now - this.heardAt > (now - since) / 2;
        if (!isSilent) return true;
        if (this.isCounted(this.failedAnswerAt, now)) return false;
        this.failedAnswerAt = now;
        return true;
    }

    /** Whether the present silence, or this interval of it, was counted at a time. */
    private isCounted(countedAt: number, now: number): boolean {
        return countedAt > Math.max(this.heardAt, now - FAILURE_INTERVAL_MS);
    }
}
