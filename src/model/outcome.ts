/**
 * What a request or one attempt at a stage can come to. Outcomes are values; an exception means a broken invariant.
 *
 * The difference between `refused`, `failed` and `unknown` is a promise to the caller: `refused` means that nothing was
 * run, `failed` that the answer cannot be delivered and no non-idempotent effect is in doubt, and `unknown` that a
 * non-idempotent effect may or may not have happened.
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

/** Why it is not known whether a non-idempotent stage had its effect. */
export type UnknownReason =
    "linkLost" | "targetLost" | "deadline" | "claimWithoutResult" | "ownerUnreachable" | "commitUnknown";

/** What one attempt at one stage came to, as its agent reports it. */
export type StageOutcome =
    | {
          readonly kind: "completed";
          /** JSON text. */
          readonly output: string;
          readonly tokens: number;
          /** Time that the target spent on it. */
          readonly costMilliseconds: number;
          /** The stored result of an earlier run of the same idempotency key. */
          readonly replayed: boolean;
      }
    | {
          /** No target was given the attempt. */
          readonly kind: "refused";
          readonly reason: RefusalReason;
          readonly retryAfterMilliseconds: number;
          readonly message: string;
      }
    | {
          /** Started, without a usable answer. A non-idempotent stage that failed had no effect. */
          readonly kind: "failed";
          readonly reason: FailureReason;
          readonly message: string;
          readonly costMilliseconds: number;
      }
    | {
          /** A non-idempotent stage may have had its effect. */
          readonly kind: "unknown";
          readonly reason: UnknownReason;
          readonly message: string;
      };

/** What a caller reads about its whole request. */
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
          /** Whether a non-idempotent stage of this request has had its effect. */
          readonly effects: "none" | "applied";
      }
    | { readonly kind: "unknown"; readonly reason: UnknownReason; readonly message: string };

/** A refusal of one attempt. */
export function refusedStage(
    reason: RefusalReason,
    message: string,
    retryAfterMilliseconds = 0,
): Extract<StageOutcome, { kind: "refused" }> {
    return { kind: "refused", reason, message, retryAfterMilliseconds };
}

/** A failure of one attempt. */
export function failedStage(
    reason: FailureReason,
    message: string,
    costMilliseconds = 0,
): Extract<StageOutcome, { kind: "failed" }> {
    return { kind: "failed", reason, message, costMilliseconds };
}
