/** Paces the calls of a holder: below the accepted rate, and with growing pauses after calls that were not accepted. */

/** Part of the accepted rate that is used; an earlier holder's calls count as well. */
const RATE_SHARE = 0.5;

const FIRST_PAUSE_MS = 200;

/** Says when the next call may be sent. */
export class CallPacer {
    private nextAt = Number.NEGATIVE_INFINITY;
    private failures = 0;

    private constructor(
        private readonly callsPerSecond: number,
        private readonly longestPauseMs: number,
        private readonly random: () => number,
    ) {}

    /** `callsPerSecond` are accepted from all gateways together. */
    static create(callsPerSecond: number, longestPauseMs: number, random: () => number = Math.random): CallPacer {
        return new CallPacer(callsPerSecond, longestPauseMs, random);
    }

    get mayCall(): boolean {
        return performance.now() >= this.nextAt;
    }

    recordAccepted(): void {
        this.failures = 0;
        this.nextAt = performance.now() + 1_000 / (this.callsPerSecond * RATE_SHARE);
    }

    /** `retryAfterMs` is the pause that the platform asks for, if it does. */
    recordNotAccepted(retryAfterMs?: number): void {
        const grown = Math.min(this.longestPauseMs, FIRST_PAUSE_MS * 2 ** this.failures);
        this.failures += 1;
        const pauseMs = Math.max(
            grown * (0.75 + this.random() / 2),
            Math.min(retryAfterMs ?? 0, 2 * this.longestPauseMs),
        );
        this.nextAt = performance.now() + pauseMs;
    }
}
