/**
 * The silence of one target, as evidence about its health.
 *
 * A silence belongs to the target, not to the attempts that wait for it: however many of them notice it, it is one failure.
 * It lasts until the target is heard, and one that goes on counts again from time to time. A silent target is avoided while
 * others can serve, then probed by one request at a time.
 */

/** Time in milliseconds for which a target is avoided after its silence was last noticed, unless it is heard. */
const AVOIDANCE_MS = 1_000;

/** Further time in milliseconds in which a target that was silent gets only requests that can move to another target. */
const PROBE_DELAY_MS = 5_000;

/** Time in milliseconds after which a continued silence counts as a further failure; working targets are silent for less. */
const FAILURE_INTERVAL_MS = 1_500;

/** What an attempt that has received nothing says about its target. */
export interface SilenceEvidence {
    /** Whether the target was not known to be silent. */
    readonly isNew: boolean;
    /** Whether it counts as a failure of the target. */
    readonly isFailure: boolean;
}

/** Whether a target is silent, and how often that counts against it. Times are on the monotonic clock in milliseconds. */
export class Silence {
    private heardAt = Number.NEGATIVE_INFINITY;
    /** Time until which the target counts as silent unless it is heard; 0 if it was heard since its last silence. */
    private silentUntil = 0;
    private countedAt = Number.NEGATIVE_INFINITY;
    /** Time at which an attempt that was left for the silence last counted as a failed answer. */
    private leftAt = Number.NEGATIVE_INFINITY;

    private constructor() {}

    static create(): Silence {
        return new Silence();
    }

    /** Records that something was received from the target, which ends its silence. */
    recordHeard(): void {
        this.heardAt = performance.now();
        this.silentUntil = 0;
    }

    /** Records that nothing has come since a time. Returns undefined if the target was heard since then. */
    record(since: number): SilenceEvidence | undefined {
        if (this.heardAt > since) return undefined;
        const now = performance.now();
        const isNew = this.silentUntil <= now;
        this.silentUntil = now + AVOIDANCE_MS;
        const isFailure = this.countedAt <= Math.max(this.heardAt, now - FAILURE_INTERVAL_MS);
        if (isFailure) this.countedAt = now;
        return { isNew, isFailure };
    }

    /**
     * Records that an attempt which has received nothing since a time was left. Returns whether that is a failed answer of
     * the target's version. A silence is one such answer, however many attempts are left for it; an attempt at a target that
     * others have heard is one of its own.
     */
    recordLeft(since: number): boolean {
        const now = performance.now();
        // The attempts at a target that stops have received their last messages shortly after each other.
        const isSilent = now - this.heardAt > (now - since) / 2;
        if (!isSilent) return true;
        if (this.leftAt > Math.max(this.heardAt, now - FAILURE_INTERVAL_MS)) return false;
        this.leftAt = now;
        return true;
    }

    /**
     * Whether the target is to get a request that another one can serve. If it was silent, and has not been heard since, it
     * gets one at a time, preferably one that can move to another target.
     */
    allowsRequest(outstanding: number, canMove: boolean): boolean {
        const latestEnd = performance.now() - (canMove ? 0 : PROBE_DELAY_MS);
        return this.silentUntil === 0 || (this.silentUntil <= latestEnd && outstanding === 0);
    }
}
