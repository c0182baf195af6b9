/**
 * Notices that this process did not run for a while, because it was frozen or starved of processor time.
 *
 * A holder that was frozen may have lost its lease without knowing it, if its machine's monotonic clock stood still as well.
 */

const CHECK_MS = 50;

/** Shortest freeze that is noticed; timers of a busy process run late by some tens of milliseconds. */
const SHORTEST_FREEZE_MS = 200;

/** Watches the delay of a timer. */
export class FreezeWatch {
    private checkedAt = performance.now();
    private resumedAt = Number.NEGATIVE_INFINITY;
    private readonly timer: NodeJS.Timeout;

    private constructor(private readonly thresholdMs: number) {
        this.timer = setInterval(() => this.check(), CHECK_MS);
        this.timer.unref();
    }

    /** A delay of `toleratedMs` or less is no freeze. */
    static start(toleratedMs: number): FreezeWatch {
        return new FreezeWatch(CHECK_MS + Math.max(SHORTEST_FREEZE_MS, toleratedMs));
    }

    /** Records a freeze that was noticed elsewhere. */
    record(): void {
        this.resumedAt = performance.now();
    }

    /** Monotonic time in milliseconds at which the last freeze was noticed. */
    get lastResumedAt(): number {
        this.check();
        return this.resumedAt;
    }

    stop(): void {
        clearInterval(this.timer);
    }

    private check(): void {
        const now = performance.now();
        if (now - this.checkedAt > this.thresholdMs) this.resumedAt = now;
        this.checkedAt = now;
    }
}
