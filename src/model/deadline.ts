/**
 * A point on this process's monotonic clock by which something has to be finished.
 *
 * Deadlines never cross processes as clock readings. They travel as remaining milliseconds and become a local
 * deadline on arrival, so no two processes need to agree on a clock. The transit itself is not counted.
 */
export class Deadline {
    private constructor(readonly at: number) {}

    /** A deadline `milliseconds` from now. */
    static after(milliseconds: number): Deadline {
        return new Deadline(performance.now() + milliseconds);
    }

    /** Milliseconds left, never negative. */
    remainingMs(): number {
        return Math.max(0, this.at - performance.now());
    }

    /** Whether no time is left. */
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
