/** Executes a request from admission to its outcome. Each stage gets the output of the previous one. */
import { type RequestOutcome, refusedStage, type Stage } from "../model/index.js";
import { runNonIdempotentStage } from "./nonidempotentstage.js";
import { type RequestRun, stagePayload, type StageEnd } from "./run.js";
import { resolveIncomplete } from "./resolution.js";
import { runIdempotentStage } from "./idempotentstage.js";

/** Retry time of refusals that give none, so that callers do not retry at once. */
const DEFAULT_RETRY_MS = 100;

/** Executes a request. It is refused when `stopping`, because the entry stops. */
export async function execute(run: RequestRun, stopping: boolean): Promise<RequestOutcome> {
    const outcome = withRetryTime(await admitAndRun(run, stopping));
    const reason = "reason" in outcome ? outcome.reason : "";
    const tags = { outcome: outcome.kind, reason, pipeline: run.pipeline.name };
    run.context.metrics.increment("request.outcomes", 1, tags);
    if (outcome.kind === "done") run.record("total", performance.now() - run.startedAt);
    return outcome;
}

async function admitAndRun(run: RequestRun, stopping: boolean): Promise<RequestOutcome> {
    const refusal = stopping ? refusedStage("stopping", "the entry stops", DEFAULT_RETRY_MS) : findRefusal(run);
    if (refusal !== undefined) return resolveIncomplete(run, refusal);
    const { context, plan, pipeline, deadline } = run;
    const admitted = context.admission.admit(context.holder.current, plan, pipeline, deadline.remainingMs());
    if (admitted.kind === "refused") return resolveIncomplete(run, admitted);
    try {
        const end = await runStages(run);
        return end.kind === "completed" ? complete(run, end.output) : await resolveIncomplete(run, end);
    } finally {
        admitted.release(!run.mayHaveRun);
    }
}

/** The reason to refuse a request before admission, if there is one. */
function findRefusal(run: RequestRun): (StageEnd & { kind: "refused" }) | undefined {
    if (run.context.quarantine.contains(run.fingerprint)) {
        return refusedStage("quarantined", "this content was in flight on targets that were lost");
    }
    const needsKey = run.pipeline.stages.some(stage => !stage.idempotent);
    if (needsKey && run.request.idempotencyKey === undefined) {
        return refusedStage("unsupported", "the pipeline needs an idempotency key");
    }
    return undefined;
}

async function runStages(run: RequestRun): Promise<StageEnd> {
    const { stages } = run.pipeline;
    const lastStreaming = stages.findLast(stage => stage.streaming);
    let last: StageEnd = { kind: "completed", output: null };
    for (const stage of stages) {
        const payload = stagePayload(run.inputText, JSON.stringify(last.output ?? null));
        const startedAt = performance.now();
        const end = await runStage(run, stage, payload, stage === lastStreaming);
        if (end.kind !== "completed") return end;
        run.record("stage", performance.now() - startedAt, stage.name);
        run.outputs[stage.name] = end.output;
        last = end;
    }
    return last;
}

function runStage(run: RequestRun, stage: Stage, payload: string, forwardsTokens: boolean): Promise<StageEnd> {
    const key = run.request.idempotencyKey;
    if (stage.idempotent) return runIdempotentStage(run, stage, payload, forwardsTokens);
    if (key === undefined) throw new Error("a non-idempotent stage was admitted without a key");
    return runNonIdempotentStage(run, stage, key, payload);
}

function complete(run: RequestRun, output: unknown): RequestOutcome {
    return { kind: "done", output, stages: run.outputs, costMilliseconds: run.costMilliseconds };
}

function withRetryTime(outcome: RequestOutcome): RequestOutcome {
    if (outcome.kind !== "refused" || outcome.retryAfterMilliseconds > 0) return outcome;
    return { ...outcome, retryAfterMilliseconds: DEFAULT_RETRY_MS };
}
