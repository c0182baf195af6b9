/** Counts calls to the store by kind, so that a process can report how much of the store's rates it uses. */

/** A kind of call. */
export type CallKind = "read" | "list" | "write" | "remove" | "watch";

/** Counts of one kind of call. */
export interface CallCount {
    readonly calls: number;
    /** Calls that the store refused or did not answer. */
    readonly failed: number;
}

/** Calls of one process. */
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

    /** Counts a call that ended. */
    record(kind: CallKind, failed: boolean): void {
        this.counts[kind].calls += 1;
        if (failed) this.counts[kind].failed += 1;
    }

    /** A copy of the counts so far. */
    totals(): Readonly<Record<CallKind, CallCount>> {
        return structuredClone(this.counts);
    }
}
