/**
 * Determines the outcome of a request that did not complete.
 *
 * `refused` guarantees that nothing was run, and `failed` states whether there were effects. For a pipeline with
 * non-idempotent stages both cover earlier submissions of the same key, so the slot owners have to withdraw the key
 * first.
 */
import { Withdrawn_State } from "../link/index.js";
import type { FailureReason, RequestOutcome, Stage } from "../model/index.js";
import { pause } from "../model/pause.js";
import { findOwner } from "./nonidempotentstage.js";
import { parseOutput, type RequestRun, type StageEnd } from "./run.js";

type Incomplete = Exclude<StageEnd, { kind: "completed" }>;

/** State of a key at its slot owner after a request to withdraw it. */
type KeyState =
    | { readonly kind: "withdrawn" }
    | { readonly kind: "completed"; readonly stage: Stage; readonly output: string }
    | { readonly kind: "running" }
    | { readonly kind: "unknown" }
    | { readonly kind: "unreachable" };

/** Limited further by the deadline of the answer to the caller. */
const WITHDRAWAL_TIMEOUT_MS = 1_000;

/** Pause before an owner is looked up again. */
const LOOKUP_PAUSE_MS = 20;

/** Time for which an owner refuses a withdrawn key; equals the longest deadline of any request. */
const WITHDRAWN_KEY_MS = 10_000;

/** The outcome of a request that ended without completing its last stage. */
export async function resolveIncomplete(run: RequestRun, end: Incomplete): Promise<RequestOutcome> {
    if (end.kind === "unknown") return end;
    const undecidedStages = run.pipeline.stages.filter(
        stage => !stage.idempotent && !run.appliedStages.has(stage.name) && !run.stagesWithoutEffect.has(stage.name),
    );
    const key = run.request.idempotencyKey;
    if (undecidedStages.length === 0 || key === undefined) return conclude(run, end);
    if (run.signal.aborted) {
        // The caller may send the key to another entry, where a withdrawn key would be refused.
        return {
            kind: "unknown",
            reason: "ownerUnreachable",
            message: "the caller has gone; the key was not withdrawn",
        };
    }
    const states = await Promise.all(undecidedStages.map(stage => withdrawKey(run, stage, key)));
    return resolveWithKeyStates(run, end, states);
}

function conclude(run: RequestRun, end: Exclude<Incomplete, { kind: "unknown" }>): RequestOutcome {
    const effects = run.appliedStages.size > 0 ? "applied" : "none";
    if (end.kind === "failed") return { kind: "failed", reason: end.reason, message: end.message, effects };
    if (!run.mayHaveRun) return end;
    return { kind: "failed", reason: failureReasonOf(end.reason), message: `${end.reason}: ${end.message}`, effects };
}

function resolveWithKeyStates(
    run: RequestRun,
    end: Exclude<Incomplete, { kind: "unknown" }>,
    states: readonly KeyState[],
): RequestOutcome {
    if (states.some(state => state.kind === "unreachable")) {
        return { kind: "unknown", reason: "ownerUnreachable", message: `${end.reason}: ${end.message}` };
    }
    if (states.some(state => state.kind === "running" || state.kind === "unknown")) {
        return { kind: "unknown", reason: "claimWithoutResult", message: "another submission of the key was run" };
    }
    for (const state of states) {
        if (state.kind === "completed") run.appliedStages.add(state.stage.name);
    }
    const stored = states.find(state => state.kind === "completed" && state.stage === run.pipeline.stages.at(-1));
    if (stored?.kind === "completed") return replayStored(run, stored.stage, stored.output);
    if (run.appliedStages.size > 0) run.mayHaveRun = true;
    const outcome = conclude(run, end);
    if (outcome.kind !== "refused") return outcome;
    const retryAfterMilliseconds = Math.max(outcome.retryAfterMilliseconds, WITHDRAWN_KEY_MS);
    return { ...outcome, retryAfterMilliseconds };
}

/** Returns the stored result of the last stage, from an earlier submission, as the outcome of the pipeline. */
function replayStored(run: RequestRun, stage: Stage, text: string): RequestOutcome {
    const output = parseOutput(text);
    if (output === undefined) {
        return { kind: "failed", reason: "malformedAnswer", message: "stored result is not JSON", effects: "applied" };
    }
    const stages = { ...run.outputs, [stage.name]: output.value };
    return { kind: "done", output: output.value, stages, costMilliseconds: run.costMilliseconds };
}

/** Asks the owner of the key's slot to withdraw the key; looks up the owner again until one answers or time is up. */
async function withdrawKey(run: RequestRun, stage: Stage, idempotencyKey: string): Promise<KeyState> {
    const endsAt = run.answerDeadline.limitedTo(WITHDRAWAL_TIMEOUT_MS).at;
    while (performance.now() < endsAt) {
        const owner = findOwner(run, stage, idempotencyKey);
        const answer = await owner?.target.withdraw(
            {
                account: run.account.name,
                idempotencyKey,
                stage: stage.name,
                service: stage.service,
                slot: owner.slot,
                slotEpoch: owner.epoch,
            },
            endsAt - performance.now(),
        );
        switch (answer?.state) {
            case Withdrawn_State.WITHDRAWN:
                return { kind: "withdrawn" };
            case Withdrawn_State.COMPLETED:
                return { kind: "completed", stage, output: answer.output };
            case Withdrawn_State.RUNNING:
                return { kind: "running" };
            case Withdrawn_State.UNKNOWN:
                return { kind: "unknown" };
            default:
                await pause(LOOKUP_PAUSE_MS);
        }
    }
    return { kind: "unreachable" };
}

/** Maps the refusal of a later stage to the reason why the request failed. */
function failureReasonOf(reason: string): FailureReason {
    if (reason === "deadline" || reason === "quarantined") return reason;
    return reason === "withdrawn" ? "cancelled" : "retriesExhausted";
}
