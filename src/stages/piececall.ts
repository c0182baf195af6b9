/** Calls from a stage queue to a target, and their outcomes. */
import { NEVER_ABORTED, sendAttempt } from "../gateway/attempt.js";
import type { Dialect, PieceAnswer } from "../gateway/dialect.js";
import { bodyFailureReason, HeldBody } from "../gateway/heldbody.js";
import type { Target } from "../gateway/target.js";
import type { TargetDirectory } from "../gateway/targetdirectory.js";
import type { MemoryAccount } from "../memory/index.js";
import { Deadline } from "../model/index.js";
import type { PieceJob } from "./piece.js";

/** Largest answer to a call in bytes. */
const MAXIMUM_ANSWER_BYTES = 1_048_576;

/** Time in milliseconds for a call that releases results. */
const RELEASE_TIMEOUT_MS = 1_000;

/** Outcome of a call. The target has run no piece of a call that ended as `notSent` or `full`. */
export type CallOutcome =
    | { readonly kind: "answered"; readonly answers: readonly PieceAnswer[] }
    | { readonly kind: "notSent" | "full" | "failed" | "gaveUp"; readonly reason: string }
    /** The call was aborted. */
    | { readonly kind: "cancelled" };

/** Limits and callbacks of a call for pieces. */
export interface PieceCallLimits {
    /** Time until which the call waits for its answer. */
    readonly deadline: Deadline;
    /** Closes the call. */
    readonly signal: AbortSignal;
    /** Called when the connection is open and the call is about to be sent. */
    readonly onSent: () => void;
}

/** What calls for pieces depend on. */
export interface PieceCallEnvironment {
    readonly dialect: Dialect;
    readonly targets: TargetDirectory;
    /** Memory held for answers. */
    readonly memory: MemoryAccount;
}

/** Asks a target to make pieces. The answers are in the order of the pieces. */
export async function callForPieces(
    { dialect, targets, memory }: PieceCallEnvironment,
    target: Target,
    pieces: readonly PieceJob[],
    { deadline, signal, onSent }: PieceCallLimits,
): Promise<CallOutcome> {
    const orders = pieces.map(piece => ({
        requestId: piece.requestId,
        stage: piece.stage,
        index: piece.index,
        remainingMs: piece.deadline.remainingMs(),
        key: piece.key,
        inputs: piece.inputs,
    }));
    const limits = { deadline, signal };
    const call = dialect.pieceCall(target.registration.id, orders);
    const order = { ...call, address: target.registration.address };
    const sent = await sendAttempt(order, { ...limits, onSending: onSent });
    if (sent.kind === "unreachable" || sent.kind === "unsendable") return { kind: "notSent", reason: sent.reason };
    if (sent.kind === "cancelled") return { kind: "cancelled" };
    if (sent.kind === "expired") return { kind: "gaveUp", reason: "no answer in time" };
    if (sent.kind !== "answered") return { kind: "failed", reason: sent.kind };
    const facts = dialect.readResponse(sent.head.status, sent.head.headers);
    targets.recordReport(target, facts);
    if (facts.wrongTarget || facts.notExecuted) {
        sent.body.discard();
        return facts.wrongTarget
            ? { kind: "notSent", reason: "another target has the address" }
            : { kind: "full", reason: "target is full" };
    }
    const holding = { memory, party: "targets", maximumBytes: MAXIMUM_ANSWER_BYTES } as const;
    const { outcome, body } = await HeldBody.read(sent.body, limits, holding);
    const text = body.bytes.toString();
    body.release();
    if (outcome.kind === "cancelled") return { kind: "cancelled" };
    if (outcome.kind === "expired") return { kind: "gaveUp", reason: "answer not complete in time" };
    if (outcome.kind !== "complete") return { kind: "failed", reason: bodyFailureReason(outcome) };
    const answers = sent.head.status === 200 ? dialect.readPieces(text, pieces.length) : undefined;
    return answers === undefined
        ? { kind: "failed", reason: `status ${sent.head.status} or unreadable answer` }
        : { kind: "answered", answers };
}

/** Tells a target that results are no longer needed. Resolves to the reason of a failure. */
export async function releaseResults(
    dialect: Dialect,
    target: Target,
    handles: readonly string[],
): Promise<string | undefined> {
    const call = dialect.releaseCall(target.registration.id, handles);
    const limits = { deadline: Deadline.after(RELEASE_TIMEOUT_MS), signal: NEVER_ABORTED };
    const sent = await sendAttempt({ ...call, address: target.registration.address }, limits);
    if (sent.kind !== "answered") return sent.kind;
    sent.body.discard();
    const { status } = sent.head;
    // Other statuses say that the target no longer holds the results, or another one has its address.
    return status >= 500 ? `status ${status}` : undefined;
}

/** The pieces that an answer has no result for, each with the kind of its answer. */
export function unmadePieces(
    pieces: readonly Pick<PieceJob, "requestId">[],
    answers: readonly PieceAnswer[],
): readonly { readonly id: string; readonly kind: string }[] {
    return pieces.flatMap(({ requestId }, index) => {
        const kind = answers[index]?.kind ?? "missing";
        return kind === "made" ? [] : [{ id: requestId, kind }];
    });
}
