/** Calls of a queue to a target: what is sent, and what the answer or the failure says about pieces and results. */
import { NEVER_ABORTED, readBody, sendAttempt } from "../gateway/attempt.js";
import type { Dialect, PieceAnswer } from "../gateway/dialect.js";
import type { Target, TargetDirectory } from "../gateway/target.js";
import { Deadline } from "../model/index.js";
import type { PieceJob } from "./piece.js";

/** Largest answer to a call in bytes. */
const MAXIMUM_ANSWER_BYTES = 1_048_576;

/** Time in milliseconds for a call that releases results. */
const RELEASE_TIMEOUT_MS = 1_000;

/** What a call came to. The target has not begun a call that was not sent, nor one for which it was full. */
export type CallOutcome =
    | { readonly kind: "answered"; readonly answers: readonly PieceAnswer[] }
    | { readonly kind: "notSent" | "full" | "failed" | "gaveUp"; readonly reason: string };

/**
 * Asks a target for pieces; gives up after a time in milliseconds. The answers have the order of the pieces. `onSent` is
 * called when the target has been reached.
 */
export async function callForPieces(
    { dialect, targets }: { readonly dialect: Dialect; readonly targets: TargetDirectory },
    target: Target,
    pieces: readonly PieceJob[],
    timeoutMs: number,
    onSent: () => void,
): Promise<CallOutcome> {
    const orders = pieces.map(piece => ({
        requestId: piece.requestId,
        stage: piece.stage,
        index: piece.index,
        remainingMs: piece.deadline.remainingMs(),
        key: piece.key,
        inputs: piece.inputs,
    }));
    const limits = { deadline: Deadline.after(timeoutMs), signal: NEVER_ABORTED };
    const call = dialect.pieceCall(target.registration.id, orders);
    const order = { ...call, address: target.registration.address };
    const sent = await sendAttempt(order, { ...limits, onConnected: onSent });
    if (sent.kind === "unreachable") return { kind: "notSent", reason: sent.reason };
    if (sent.kind === "expired") return { kind: "gaveUp", reason: "no answer in time" };
    if (sent.kind !== "answered") return { kind: "failed", reason: sent.kind };
    const facts = dialect.readResponse(sent.head.status, sent.head.headers);
    targets.recordLoad(target, facts.load);
    const { outcome, bytes } = await readBody(sent.body, limits, MAXIMUM_ANSWER_BYTES);
    if (facts.wrongTarget) return { kind: "notSent", reason: "another target has the address" };
    if (facts.notExecuted) return { kind: "full", reason: "target is full" };
    if (outcome.kind === "expired") return { kind: "gaveUp", reason: "answer not complete in time" };
    if (outcome.kind !== "complete") return { kind: "failed", reason: `answer ${outcome.kind}` };
    const answers = sent.head.status === 200 ? dialect.readPieces(bytes.toString(), pieces.length) : undefined;
    return answers === undefined
        ? { kind: "failed", reason: `status ${sent.head.status} or unreadable answer` }
        : { kind: "answered", answers };
}

/** Tells a target that results are not needed any more. Resolves to the reason of a failure. */
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
    return undefined;
}

/** The pieces that an answer has no result for, and why. */
export function unmadePieces(
    pieces: readonly Pick<PieceJob, "requestId">[],
    answers: readonly PieceAnswer[],
): readonly { readonly id: string; readonly kind: string }[] {
    return pieces.flatMap(({ requestId }, index) => {
        const kind = answers[index]?.kind ?? "missing";
        return kind === "made" ? [] : [{ id: requestId, kind }];
    });
}

/** Results of pieces whose request has gone meanwhile. */
export function abandonedResults(
    pieces: readonly { readonly signal: AbortSignal }[],
    outcome: CallOutcome,
): readonly string[] {
    if (outcome.kind !== "answered") return [];
    return pieces.flatMap((piece, index) => {
        const answer = outcome.answers[index];
        return piece.signal.aborted && answer?.kind === "made" ? [answer.handle] : [];
    });
}
