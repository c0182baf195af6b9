/**
 * The calls of a stage queue that are in progress at its targets.
 *
 * A sound target may be silent for a second or so and then go on. A call that outlasts its timeout is therefore not given
 * up: it stays open until the deadline of its pieces, while the queue sends these to other targets as well. Its slot is free
 * for another call, since its answer may be lost. The first result of a piece counts, and later ones are released.
 */
import type { StageCapacity } from "../gateway/configuration.js";
import type { PieceAnswer } from "../gateway/dialect.js";
import type { Target } from "../gateway/target.js";
import { Deadline } from "../model/index.js";
import { LONGEST_SOUND_SILENCE_MS } from "../model/silence.js";
import { startTimeout } from "../model/timeout.js";
import { InputUse } from "./inputuse.js";
import type { PieceJob, PieceLossReason } from "./piece.js";
import { type CallOutcome, unmadePieces } from "./piececall.js";
import type { CallOfPiece, QueuedPiece } from "./queuedpiece.js";
import type { StageQueueEnvironment } from "./queueenvironment.js";
import type { TargetTracker } from "./targettracker.js";

/** Time in milliseconds for which a target that reported itself full gets no call. */
const FULL_PAUSE_MS = 60;

/** Fraction of a call's fixed time after which its inputs have been read; targets read them before they start work. */
const INPUT_READ_SHARE = 0.5;

/** A call in progress. */
interface StageCall extends CallOfPiece {
    readonly pieces: readonly QueuedPiece[];
    readonly capacity: StageCapacity;
    readonly expectedMs: number;
    readonly abort: AbortController;
    /** Whether the call was sent; until then its connection is being opened. */
    isSent: boolean;
    /** Whether the call has outlasted its timeout. */
    isSilent: boolean;
}

/** Why a call did not make a piece. */
export interface PieceFailure {
    readonly reason: PieceLossReason;
    /** Whether the failure was counted for the piece when the call became silent. */
    readonly isCounted: boolean;
    /** Whether the target has not worked on the piece, so that another call costs no retry. */
    readonly isBudgetExempt: boolean;
}

/** What the calls depend on. */
export interface StageCallsEnvironment extends Pick<
    StageQueueEnvironment,
    "targets" | "callForPieces" | "onInputsRead" | "onDecision"
> {
    readonly service: string;
    readonly trackerOf: (target: Target) => TargetTracker;
    readonly release: (handles: readonly string[]) => void;
    /** Runs a task whose exceptions are reported. */
    readonly run: (task: () => void | Promise<void>) => void;
    readonly onMade: (piece: QueuedPiece, handle: string) => void;
    readonly onNotMade: (piece: QueuedPiece, failure: PieceFailure) => void;
    /** Called with the pieces of a call that its target has not taken. */
    readonly onDeclined: (pieces: readonly QueuedPiece[]) => void;
    /** Queues the pieces of a silent call again as far as possible. Returns how many. */
    readonly onSilent: (pieces: readonly QueuedPiece[]) => number;
    /** Called when a slot of a target may have become free. */
    readonly onSlotFreed: () => void;
}

/** Calls in progress to the targets of one stage service. */
export class StageCalls {
    /** In the order in which they were sent. */
    private readonly open = new Set<StageCall>();
    private readonly inputUse = InputUse.create();

    private constructor(private readonly environment: StageCallsEnvironment) {}

    static create(environment: StageCallsEnvironment): StageCalls {
        return new StageCalls(environment);
    }

    /** The pieces of all calls in progress. */
    pieces(): readonly QueuedPiece[] {
        return [...this.open].flatMap(({ pieces }) => pieces);
    }

    /** Discards what is known of the inputs of a request's stage. */
    forgetInputs(piece: PieceJob): void {
        this.inputUse.forget(piece);
    }

    /** Sends a call and waits for its end. */
    async send(target: Target, pieces: readonly QueuedPiece[], capacity: StageCapacity): Promise<void> {
        const { callForPieces, onSlotFreed, run, targets, trackerOf } = this.environment;
        const tracker = trackerOf(target);
        const expectedMs = capacity.callMs + pieces.length * capacity.pieceMs;
        const startedAt = performance.now();
        const abort = new AbortController();
        const call = { target, pieces, capacity, expectedMs, startedAt, abort, isSent: false, isSilent: false };
        this.begin(call);
        const timeoutMs = tracker.callTimeoutMs(expectedMs);
        const cancelTimeout = startTimeout(() => run(() => this.recordSilent(call)), timeoutMs);
        const readMs = capacity.callMs * INPUT_READ_SHARE * tracker.slowness;
        let readTimer: NodeJS.Timeout | undefined;
        let outcome: CallOutcome;
        try {
            outcome = await callForPieces(target, pieces, {
                deadline: Deadline.after(Math.max(timeoutMs, ...pieces.map(({ deadline }) => deadline.remainingMs()))),
                signal: abort.signal,
                onSent: () => {
                    call.isSent = true;
                    // A probe may be silent, and its pieces then need their inputs again.
                    if (tracker.isImpaired) return;
                    readTimer = setTimeout(() => run(() => this.recordInputsRead(pieces)), readMs);
                },
            });
        } finally {
            cancelTimeout();
            clearTimeout(readTimer);
            this.open.delete(call);
            for (const piece of pieces) piece.callsInProgress.delete(call);
            targets.recordEnded(target);
            tracker.callEnded(resultBytesOf(pieces), call.isSilent);
        }
        if (outcome.kind === "answered") this.handleAnswers(call, outcome.answers);
        else this.handleFailure(call, outcome);
        onSlotFreed();
    }

    /**
     * Closes the calls of a settled piece that no other piece needs either: those that were not sent yet, and the silent ones
     * that wait at their target. A target drops a call that waits when its connection closes, but not one that it works on;
     * the results of that are released.
     */
    closeUnneeded(piece: QueuedPiece): void {
        for (const call of this.open) {
            if ((call.isSent && !call.isSilent) || !piece.callsInProgress.has(call)) continue;
            if (!call.pieces.every(({ isSettled }) => isSettled)) continue;
            if (!call.isSent) {
                call.abort.abort();
                continue;
            }
            const atTarget = [...this.open].filter(({ target }) => target === call.target);
            if (atTarget.indexOf(call) >= call.capacity.slots) call.abort.abort();
        }
    }

    private begin(call: StageCall): void {
        this.open.add(call);
        for (const piece of call.pieces) piece.callsInProgress.add(call);
        this.environment.trackerOf(call.target).callStarted(resultBytesOf(call.pieces));
        this.environment.targets.recordSent(call.target);
    }

    private recordSilent(call: StageCall): void {
        const { onDecision, onSilent, onSlotFreed, service, targets, trackerOf } = this.environment;
        const { target, pieces, startedAt, expectedMs } = call;
        const tracker = trackerOf(target);
        const waitedMs = performance.now() - startedAt;
        call.isSilent = true;
        tracker.recordSilent(startedAt, expectedMs);
        targets.recordSilent(target, startedAt);
        const moved = onSilent(pieces);
        onDecision("stage call silent", {
            service,
            target: target.name,
            ids: requestIdsOf(pieces),
            waitedMs: Math.round(waitedMs),
            expectedMs: Math.round(expectedMs),
            pieces: pieces.length,
            moved,
        });
        onSlotFreed();
    }

    private handleAnswers(call: StageCall, answers: readonly PieceAnswer[]): void {
        const { onDecision, onMade, onNotMade, release, service, targets, trackerOf } = this.environment;
        const { target, pieces, capacity, startedAt, expectedMs, isSilent } = call;
        const tracker = trackerOf(target);
        const tookMs = performance.now() - startedAt;
        targets.recordSuccess(target, tracker.recordAnswer(startedAt, tookMs / expectedMs, isSilent));
        this.logUnmade(call, answers, tracker.freeBytes(capacity));
        const until = performance.now() + capacity.resultLifetimeMs;
        // Results of settled pieces, of cancelled requests among them, must not occupy their holder's memory.
        const unneeded: string[] = [];
        pieces.forEach((piece, index) => {
            const answer = answers[index];
            if (answer?.kind === "made") {
                tracker.addResult(answer.handle, piece.resultBytes, until);
                if (piece.isSettled) unneeded.push(answer.handle);
                else onMade(piece, answer.handle);
            } else {
                onNotMade(piece, failureOf(answer, isSilent));
            }
        });
        if (answers.some(answer => answer.kind === "noRoom")) tracker.recordNoRoom(capacity);
        if (isSilent) {
            onDecision("silent stage call answered", {
                service,
                target: target.name,
                ids: requestIdsOf(pieces),
                tookMs: Math.round(tookMs),
                pieces: pieces.length,
                unneeded: unneeded.length,
            });
        }
        release(unneeded);
    }

    private handleFailure(call: StageCall, outcome: Exclude<CallOutcome, { kind: "answered" }>): void {
        const { onDeclined, onDecision, onNotMade, service, targets, trackerOf } = this.environment;
        const { target, pieces, startedAt, expectedMs } = call;
        // The gateway closed the call itself, which says nothing about the target.
        if (outcome.kind === "cancelled") return targets.recordInconclusive(target);
        const tracker = trackerOf(target);
        const tookMs = performance.now() - startedAt;
        onDecision("stage call failed", {
            service,
            target: target.name,
            ids: requestIdsOf(pieces),
            reason: outcome.reason,
            tookMs: Math.round(tookMs),
            expectedMs: Math.round(expectedMs),
            slowness: Math.round(tracker.slowness * 10) / 10,
        });
        if (outcome.kind === "full") {
            targets.recordInconclusive(target);
            tracker.recordDeclined(FULL_PAUSE_MS);
            return onDeclined(pieces);
        }
        // The silence has been counted. It is a failure if nothing at all was answered in the time of a longer one.
        const isUnanswered = !tracker.hasAnsweredSince(startedAt) && tookMs >= LONGEST_SOUND_SILENCE_MS;
        if (outcome.kind !== "gaveUp") targets.recordUnreachable(target);
        else if (isUnanswered) targets.recordFailure(target);
        else targets.recordExpired(target);
        const failure = {
            reason: "failed",
            isCounted: call.isSilent,
            isBudgetExempt: outcome.kind === "notSent",
        } as const;
        for (const piece of pieces) onNotMade(piece, failure);
    }

    private recordInputsRead(pieces: readonly QueuedPiece[]): void {
        const handles = this.inputUse.recordRead(pieces.filter(({ isSettled }) => !isSettled));
        if (handles.length > 0) this.environment.onInputsRead(handles);
    }

    /** Logs one line for a call in which some pieces were not made. */
    private logUnmade({ target, pieces }: StageCall, answers: readonly PieceAnswer[], freeBytes: number): void {
        const unmade = unmadePieces(pieces, answers);
        if (unmade.length === 0) return;
        this.environment.onDecision("pieces not made", {
            service: this.environment.service,
            target: target.name,
            asked: pieces.length,
            unmade: unmade.length,
            reasons: [...new Set(unmade.map(({ kind }) => kind))],
            ids: [...new Set(unmade.map(({ id }) => id))],
            freeBytes: Math.round(freeBytes),
        });
    }
}

function failureOf(answer: PieceAnswer | undefined, isCounted: boolean): PieceFailure {
    switch (answer?.kind) {
        case "late":
            return { reason: "late", isCounted, isBudgetExempt: false };
        case "inputGone":
            return { reason: "inputGone", isCounted, isBudgetExempt: false };
        case "noRoom":
            return { reason: "noRoom", isCounted, isBudgetExempt: true };
        default:
            return { reason: "failed", isCounted, isBudgetExempt: false };
    }
}

function resultBytesOf(pieces: readonly QueuedPiece[]): number {
    return pieces.reduce((sum, piece) => sum + piece.resultBytes, 0);
}

function requestIdsOf(pieces: readonly QueuedPiece[]): readonly string[] {
    return [...new Set(pieces.map(({ requestId }) => requestId))];
}
