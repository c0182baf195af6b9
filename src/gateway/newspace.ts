/**
 * The pace at which a gateway sends news to others.
 *
 * Answers the load after several targets crash at once: dozens of requests with many traits each become news at every
 * gateway, and each request that is served afterwards is news as well. With rounds at a fixed interval, encoding and merging
 * news then takes a large part of the processor time of a small gateway, and its callers wait. The time between rounds
 * therefore grows with the time that news has taken since the round before, so that news takes a bounded fraction of the
 * process whatever the number of gateways and crashes. A process that waits for its processor measures longer times and
 * slows down further.
 */

/** Shortest time in milliseconds between rounds. */
const ROUND_INTERVAL_MS = 100;

/** Fraction of the time that news may take. */
const MAXIMUM_TIME_SHARE = 0.05;

/** Longest time in milliseconds between rounds, after which news is still useful to other gateways. */
const MAXIMUM_INTERVAL_MS = 1_000;

/** Time taken by news, and the time until the next round. */
export class NewsPace {
    private takenMs = 0;
    private lastRoundAt = Number.NEGATIVE_INFINITY;

    private constructor() {}

    static create(): NewsPace {
        return new NewsPace();
    }

    /** Runs a task that encodes or merges news, and counts the time that it takes. */
    measure<Result>(task: () => Result): Result {
        const startedAt = performance.now();
        try {
            return task();
        } finally {
            this.takenMs += performance.now() - startedAt;
        }
    }

    /** Records that a round is sent now. */
    recordRound(): void {
        // What the last interval has paid for does not delay the next round.
        const paidMs = (performance.now() - this.lastRoundAt) * MAXIMUM_TIME_SHARE;
        this.takenMs = Math.max(0, this.takenMs - paidMs);
        this.lastRoundAt = performance.now();
    }

    /** Time in milliseconds until the next round may be sent; 0 if the last one was long ago. */
    waitMs(): number {
        const intervalMs = Math.max(ROUND_INTERVAL_MS, this.takenMs / MAXIMUM_TIME_SHARE);
        return Math.max(0, this.lastRoundAt + Math.min(MAXIMUM_INTERVAL_MS, intervalMs) - performance.now());
    }
}
