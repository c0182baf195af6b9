/** Decodes stage outcomes from link messages. */
import type { StageResult } from "../link/index.js";
import {
    type FailureReason,
    failedStage,
    type RefusalReason,
    refusedStage,
    type StageOutcome,
    type UnknownReason,
} from "../model/index.js";

/** The outcome in a result message. A message without one is a malformed answer. */
export function decodeOutcome(result: StageResult): StageOutcome {
    const { outcome } = result;
    switch (outcome.case) {
        case "completed":
            return {
                kind: "completed",
                output: outcome.value.output,
                tokens: outcome.value.tokens,
                costMilliseconds: outcome.value.costMilliseconds,
                replayed: outcome.value.replayed,
            };
        case "refused": {
            const { reason, message, retryAfterMilliseconds } = outcome.value;
            return refusedStage(reason as RefusalReason, message, retryAfterMilliseconds);
        }
        case "failed": {
            const { reason, message, costMilliseconds } = outcome.value;
            return failedStage(reason as FailureReason, message, costMilliseconds);
        }
        case "unknown":
            return { kind: "unknown", reason: outcome.value.reason as UnknownReason, message: outcome.value.message };
        default:
            return failedStage("malformedAnswer", "the result has no outcome");
    }
}
