/** Shared by entry, agent and gateway processes. */
import type { CallCounter } from "../store/index.js";

export interface RunningProcess {
    readonly name: string;
    /** Stops gracefully: refuses new work, finishes running work, then closes everything. */
    stop(): Promise<void>;
}

/** Counters of store calls and of failed ones by kind, named as in a report. */
export function reportStoreCalls(ledger: CallCounter): Readonly<Record<string, number>> {
    const counters: Record<string, number> = {};
    for (const [kind, { calls, failed }] of Object.entries(ledger.totals())) {
        counters[`store.calls{kind=${kind}}`] = calls;
        counters[`store.failed{kind=${kind}}`] = failed;
    }
    return counters;
}
