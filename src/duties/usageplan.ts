/** Decides what the holder does next about a usage window. Plain values in, a decision out. */

/** What is known of a window, in milliseconds of true time. */
export interface WindowState {
    readonly now: number;
    readonly endsAt: number;
    readonly dueAt: number;
    /** When this gateway took the duty. */
    readonly takenAt: number;
    readonly isFixed: boolean;
    /** Whether the store may have lost reports that an earlier holder has fixed. */
    readonly mayLackReports: boolean;
    /** Whether all registered gateways have handed over their counts. */
    readonly isComplete: boolean;
}

/** What to do about a window. */
export type WindowDecision =
    { readonly kind: "wait" | "fix" | "send" } | { readonly kind: "giveUp"; readonly reason: string };

/** Time in which a call can still arrive. */
const SHORTEST_CALL_MS = 50;

/** Time after the end of a window in which counts are taken back for calls that targets decline. */
const SETTLE_MS = 1_000;

/** Time before the report is due at which it is sent whatever is missing, and for the write before that. */
const SEND_RESERVE_MS = 2_000;
const WRITE_RESERVE_MS = 500;

/** Time after a change of holder in which gateways hand their counts over again. */
const COLLECT_MS = 1_500;

/** The next step for a window that has ended and whose report was not acknowledged. */
export function decideWindow(state: WindowState): WindowDecision {
    const { now, endsAt, dueAt, takenAt, isFixed, mayLackReports, isComplete } = state;
    if (now >= dueAt - SHORTEST_CALL_MS) return { kind: "giveUp", reason: "too late" };
    if (isFixed) return { kind: "send" };
    // Another holder may have reported it with other counts.
    if (mayLackReports && endsAt <= takenAt) return { kind: "giveUp", reason: "the store may have lost the report" };
    const latest = Math.max(endsAt, dueAt - SEND_RESERVE_MS - WRITE_RESERVE_MS);
    const hasSettled = now >= Math.min(endsAt + SETTLE_MS, latest);
    if (isComplete && hasSettled) return { kind: "fix" };
    // A late holder needs the counts first, but must leave time for the write and the call.
    const collectedAt = Math.min(takenAt + COLLECT_MS, dueAt - SEND_RESERVE_MS / 2);
    return { kind: now >= Math.max(latest, collectedAt) ? "fix" : "wait" };
}
