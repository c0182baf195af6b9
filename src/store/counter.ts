/** Counts calls to the store by kind, so that a process can report how much of the store's rate limits it uses. */

export type CallKind = "read" | "list" | "write" | "remove" | "watch";

/** Counts of the calls of one kind. */
export interface CallCount {
    readonly calls: number;
    /** Calls that the store refused or did not answer. */
    readonly failed: number;
}

/** Counts the calls that one process makes. */
export class CallCounter {
    private readonly counts: Record<CallKind, { calls: number; failed: number }> = {
        read: { calls: 0, failed: 0 },
        list: { calls: 0, failed: 0 },
        write: { calls: 0, failed: 0 },
        remove: { calls: 0, failed: 0 },
        watch: { calls: 0, failed: 0 },
    };

    /** A counter that starts at zero. */
    static create(): CallCounter {
        return new CallCounter();
    }

    /** Counts a completed call. */
    record(kind: CallKind, failed: boolean): void {
        this.counts[kind].calls += 1;
        if (failed) this.counts[kind].failed += 1;
    }

    /** A copy of the counts so far. */
    totals(): Readonly<Record<CallKind, CallCount>> {
        return structuredClone(this.counts);
    }
}
