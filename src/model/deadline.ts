/**
 * A point on this process's monotonic clock by which something has to be finished.
 *
 * A message carries a deadline as the remaining milliseconds, from which the receiver creates its own deadline, so
 * processes need no synchronised clocks. The time in transit is not counted.
 */
export class Deadline {
    /** `at` is a reading of `performance.now()`. */
    private constructor(readonly at: number) {}

    /** A deadline `milliseconds` from now. */
    static after(milliseconds: number): Deadline {
        return new Deadline(performance.now() + milliseconds);
    }

    /** Milliseconds until the deadline, never negative. */
    remainingMs(): number {
        return Math.max(0, this.at - performance.now());
    }

    /** Whether the deadline has been reached. */
    passed(): boolean {
        return performance.now() >= this.at;
    }

    /** The deadline `milliseconds` earlier than this one. */
    earlierBy(milliseconds: number): Deadline {
        return new Deadline(this.at - milliseconds);
    }

    /** The earlier of this deadline and one `milliseconds` from now. */
    limitedTo(milliseconds: number): Deadline {
        return new Deadline(Math.min(this.at, performance.now() + milliseconds));
    }
}
