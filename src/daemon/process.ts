/** What the processes of the system have in common. */
import type { CallCounter } from "../store/index.js";

/** A process that was started. */
export interface RunningProcess {
    readonly name: string;
    /** Planned stop: no new work is taken, running work is finished, then everything closes. */
    stop(): Promise<void>;
}

/** Calls to the store as counters of a report, by kind. */
export function reportStoreCalls(ledger: CallCounter): Readonly<Record<string, number>> {
    const counters: Record<string, number> = {};
    for (const [kind, { calls, failed }] of Object.entries(ledger.totals())) {
        counters[`store.calls{kind=${kind}}`] = calls;
        counters[`store.failed{kind=${kind}}`] = failed;
    }
    return counters;
}
