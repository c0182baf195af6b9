/**
 * Outcomes of a request and of one attempt at a stage. They are returned as values; an exception means a broken
 * invariant.
 *
 * Callers rely on the difference between three kinds:
 * - `refused`: nothing was run.
 * - `failed`: no answer can be delivered, and no non-idempotent effect is in doubt.
 * - `unknown`: a non-idempotent effect may or may not have happened.
 */

/** Why work was not run. */
export type RefusalReason =
    | "overShare"
    | "overloaded"
    | "deadline"
    | "starting"
    | "stopping"
    | "storeUnavailable"
    | "zoneOut"
    | "leaving"
    | "cold"
    | "withdrawn"
    | "notOwner"
    | "noTarget"
    | "quarantined"
    | "unsupported";

/** Why work that was started, or may have been, gave no answer. */
export type FailureReason =
    | "deadline"
    | "targetFailed"
    | "targetLost"
    | "linkLost"
    | "cancelled"
    | "malformedAnswer"
    | "truncatedAnswer"
    | "rejectedByService"
    | "quarantined"
    | "retriesExhausted";

/** Why it is not known whether a non-idempotent stage took effect. */
export type UnknownReason =
    "linkLost" | "targetLost" | "deadline" | "claimWithoutResult" | "ownerUnreachable" | "commitUnknown";

/** Outcome of one attempt at one stage, as the agent reports it. */
export type StageOutcome =
    | {
          readonly kind: "completed";
          /** JSON text. */
          readonly output: string;
          readonly tokens: number;
          /** Time that the target spent on the attempt. */
          readonly costMilliseconds: number;
          /** Whether this is the stored result of an earlier run with the same idempotency key. */
          readonly replayed: boolean;
      }
    | {
          /** The attempt was not sent to a target, or the target did not start it. */
          readonly kind: "refused";
          readonly reason: RefusalReason;
          readonly retryAfterMilliseconds: number;
          readonly message: string;
      }
    | {
          /** The attempt was started and gave no usable answer. A non-idempotent stage that failed had no effect. */
          readonly kind: "failed";
          readonly reason: FailureReason;
          readonly message: string;
          readonly costMilliseconds: number;
      }
    | {
          /** A non-idempotent stage may have taken effect. */
          readonly kind: "unknown";
          readonly reason: UnknownReason;
          readonly message: string;
      };

/** Outcome of a whole request, as the caller receives it. */
export type RequestOutcome =
    | {
          readonly kind: "done";
          /** Parsed JSON output of the last stage. */
          readonly output: unknown;
          /** Parsed JSON output of each stage, by stage name. */
          readonly stages: Readonly<Record<string, unknown>>;
          readonly costMilliseconds: number;
      }
    | {
          /** Nothing was run. */
          readonly kind: "refused";
          readonly reason: RefusalReason;
          readonly retryAfterMilliseconds: number;
          readonly message: string;
      }
    | {
          readonly kind: "failed";
          readonly reason: FailureReason;
          readonly message: string;
          /** Whether a non-idempotent stage of this request took effect. */
          readonly effects: "none" | "applied";
      }
    | { readonly kind: "unknown"; readonly reason: UnknownReason; readonly message: string };

/** The outcome of an attempt that was refused. */
export function refusedStage(
    reason: RefusalReason,
    message: string,
    retryAfterMilliseconds = 0,
): Extract<StageOutcome, { kind: "refused" }> {
    return { kind: "refused", reason, message, retryAfterMilliseconds };
}

/** The outcome of an attempt that failed. */
export function failedStage(
    reason: FailureReason,
    message: string,
    costMilliseconds = 0,
): Extract<StageOutcome, { kind: "failed" }> {
    return { kind: "failed", reason, message, costMilliseconds };
}
