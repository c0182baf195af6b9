/**
 * Runs one execution at the target, from its request to a stage outcome.
 *
 * An execution of an idempotent stage ends with a result or with a failure that can be retried elsewhere. For a
 * non-idempotent stage, an execution that started and gave no result is `unknown`, because its effect may have
 * happened.
 */
import { failedStage, refusedStage, type Deadline, type StageOutcome, type UnknownReason } from "../model/index.js";
import type { Engine, EngineEvent, EngineRequest } from "./engine.js";
import type { GateRun, RunResult } from "./gate.js";

/** Time within which a target has to end an aborted execution before the agent stops waiting, in milliseconds. */
const ABORT_GRACE_MS = 500;

/** Retry delay after a target did not start an execution, in milliseconds. */
const NOT_STARTED_RETRY_MS = 100;

/** Maximum duration of a non-idempotent run, in milliseconds. Its effect is then unknown and its place is freed. */
export const LONGEST_NON_IDEMPOTENT_RUN_MS = 60_000;

/** Progress callbacks to the sender of an attempt. */
export interface ExecutionListener {
    started(): void;
    token(index: number, token: string): void;
}

/** Parameters of one execution. */
export interface Execution {
    readonly engine: Engine;
    readonly request: EngineRequest;
    readonly idempotent: boolean;
    readonly deadline: Deadline;
    readonly listener: ExecutionListener;
}

/** Runs an execution that the gate has admitted, and reports its start and end to the gate. */
export async function execute(execution: Execution, run: GateRun): Promise<StageOutcome> {
    const controller = new AbortController();
    const abort = (): void => {
        controller.abort();
    };
    const limitMs = execution.idempotent ? execution.deadline.remainingMs() : LONGEST_NON_IDEMPOTENT_RUN_MS;
    const limitTimer = setTimeout(abort, limitMs);
    run.signal.addEventListener("abort", abort, { once: true });
    if (run.signal.aborted) abort();
    try {
        const last = await readEvents(execution, run, controller.signal);
        run.finished(runResult(last, controller.signal.aborted));
        if (execution.idempotent) return idempotentOutcome(last, run.signal.aborted, controller.signal.aborted);
        return nonIdempotentOutcome(last);
    } finally {
        clearTimeout(limitTimer);
        run.signal.removeEventListener("abort", abort);
    }
}

type TerminalEvent = Exclude<EngineEvent, { kind: "started" | "token" }>;

async function readEvents(execution: Execution, run: GateRun, signal: AbortSignal): Promise<TerminalEvent> {
    const { engine, request, listener } = execution;
    try {
        const events = engine.execute(request, signal)[Symbol.asyncIterator]();
        for (;;) {
            const next = await nextEvent(events, signal);
            if (next === undefined) return { kind: "lost", message: "the execution ended without a result" };
            if (next.kind === "started") {
                run.started(next.bootId, next.cold);
                listener.started();
            } else if (next.kind === "token") {
                listener.token(next.index, next.token);
            } else {
                return next;
            }
        }
    } catch (error) {
        return { kind: "lost", message: error instanceof Error ? error.message : "the execution failed" };
    }
}

/** The next event; undefined at the end, or when an aborted execution does not end within the grace period. */
async function nextEvent(events: AsyncIterator<EngineEvent>, signal: AbortSignal): Promise<EngineEvent | undefined> {
    let timer: NodeJS.Timeout | undefined;
    let onAbort: () => void = () => undefined;
    const aborted = new Promise<undefined>(resolve => {
        onAbort = (): void => {
            timer = setTimeout(resolve, ABORT_GRACE_MS, undefined);
        };
        if (signal.aborted) onAbort();
        else signal.addEventListener("abort", onAbort, { once: true });
    });
    try {
        const next = await Promise.race([events.next(), aborted]);
        return next === undefined || next.done === true ? undefined : next.value;
    } finally {
        clearTimeout(timer);
        signal.removeEventListener("abort", onAbort);
    }
}

function runResult(last: TerminalEvent, aborted: boolean): RunResult {
    if (last.kind === "completed") return "succeeded";
    if (last.kind === "rejected" || aborted) return "neutral";
    return "failed";
}

function idempotentOutcome(last: TerminalEvent, cancelled: boolean, aborted: boolean): StageOutcome {
    if (last.kind === "completed") return completed(last);
    if (cancelled) return failedStage("cancelled", "cancelled at the target");
    if (aborted) return failedStage("deadline", "the deadline passed while the target worked");
    switch (last.kind) {
        case "notStarted":
            return refusedStage("overloaded", last.message, NOT_STARTED_RETRY_MS);
        case "rejected":
            return failedStage("rejectedByService", last.message);
        case "failed":
            return failedStage("targetFailed", last.message);
        case "lost":
            return failedStage("targetLost", last.message);
    }
}

function nonIdempotentOutcome(last: TerminalEvent): StageOutcome {
    switch (last.kind) {
        case "completed":
            return completed(last);
        case "notStarted":
            return refusedStage("overloaded", last.message, NOT_STARTED_RETRY_MS);
        case "rejected":
            return failedStage("rejectedByService", last.message);
        case "failed":
        case "lost":
            return unknownStage("targetLost", last.message);
    }
}

function completed(last: Extract<TerminalEvent, { kind: "completed" }>): StageOutcome {
    const { output, tokens, costMilliseconds } = last;
    return { kind: "completed", output, tokens, costMilliseconds, replayed: false };
}

/** The outcome of an attempt that may have had its effect. */
export function unknownStage(reason: UnknownReason, message: string): Extract<StageOutcome, { kind: "unknown" }> {
    return { kind: "unknown", reason, message };
}
