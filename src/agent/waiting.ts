/**
 * The queue of attempts that wait for a target, and the recent run durations from which their wait is estimated.
 */
import type { Queue, QueueAddOptions } from "p-queue";

/** Number of durations that are kept for each operation. */
const RETAINED_DURATIONS = 32;

/**
 * Age in milliseconds at which a duration expires. Without expiry, all attempts could be refused for good after a slow
 * period, since no attempt would run and correct the estimate.
 */
const DURATION_LIFETIME_MS = 5_000;

/** Options that determine the place of an attempt in the queue. */
export interface AttemptOptions extends QueueAddOptions {
    /** Point on the monotonic clock by which the attempt has to be finished. */
    readonly deadlineAt: number;
}

type RunFunction = () => Promise<unknown>;

interface WaitingAttempt {
    readonly id: string;
    readonly priority: number;
    readonly deadlineAt: number;
    readonly run: RunFunction;
}

/** Waiting attempts, ordered by priority (higher first) and then by deadline (earlier first). */
export class AttemptQueue implements Queue<RunFunction, AttemptOptions> {
    private attempts: WaitingAttempt[] = [];

    get size(): number {
        return this.attempts.length;
    }

    enqueue(run: RunFunction, options: Partial<AttemptOptions> = {}): void {
        const attempt = {
            id: options.id ?? "",
            priority: options.priority ?? 0,
            deadlineAt: options.deadlineAt ?? Number.POSITIVE_INFINITY,
            run,
        };
        const index = this.attempts.findIndex(other => precedes(attempt, other));
        this.attempts.splice(index === -1 ? this.attempts.length : index, 0, attempt);
    }

    dequeue(): RunFunction | undefined {
        return this.attempts.shift()?.run;
    }

    filter(options: Readonly<Partial<AttemptOptions>>): RunFunction[] {
        return this.attempts.filter(attempt => attempt.priority === options.priority).map(attempt => attempt.run);
    }

    setPriority(id: string, priority: number): void {
        const attempt = this.attempts.find(other => other.id === id);
        if (attempt === undefined) return;
        this.remove(id);
        this.enqueue(attempt.run, { id, priority, deadlineAt: attempt.deadlineAt });
    }

    remove(id: string): void {
        this.attempts = this.attempts.filter(attempt => attempt.id !== id);
    }
}

type Rank = Pick<WaitingAttempt, "priority" | "deadlineAt">;

function precedes(left: Rank, right: Rank): boolean {
    if (left.priority !== right.priority) return left.priority > right.priority;
    return left.deadlineAt < right.deadlineAt;
}

interface Duration {
    readonly recordedAt: number;
    readonly milliseconds: number;
}

/** Durations of recent successful runs, by operation. */
export class RecentDurations {
    private readonly durations = new Map<string, Duration[]>();

    /** A record without durations. */
    static create(): RecentDurations {
        return new RecentDurations();
    }

    /** Adds the duration of one successful run. */
    record(operation: string, milliseconds: number): void {
        const recent = this.recent(operation);
        recent.push({ recordedAt: performance.now(), milliseconds });
        this.durations.set(operation, recent.slice(-RETAINED_DURATIONS));
    }

    /**
     * Lower quartile of the recent durations, in milliseconds; 0 without any. The gate takes it as the minimum duration
     * of a run, since a refusal needs near certainty that the run would not finish.
     */
    lowerQuartile(operation: string): number {
        const sorted = this.recent(operation)
            .map(duration => duration.milliseconds)
            .sort((left, right) => left - right);
        return sorted[Math.floor(sorted.length / 4)] ?? 0;
    }

    private recent(operation: string): Duration[] {
        const expiredBefore = performance.now() - DURATION_LIFETIME_MS;
        return (this.durations.get(operation) ?? []).filter(duration => duration.recordedAt >= expiredBefore);
    }
}
