/**
 * A piece in a stage queue. Several calls may work on it: one that is silent stays open while the piece is queued again for
 * another target. The first result counts.
 */
import type { Target } from "../gateway/target.js";
import { LONGEST_SOUND_SILENCE_MS } from "../model/silence.js";
import type { PieceJob, PieceResult } from "./piece.js";

/** What a piece needs to know of a call that works on it. */
export interface CallOfPiece {
    readonly target: Target;
    readonly startedAt: number;
}

/** A piece from its arrival in the queue to its result. */
export interface QueuedPiece extends PieceJob {
    /** Calls that failed or became silent. */
    calls: number;
    readonly callsInProgress: Set<CallOfPiece>;
    /** Whether the piece has its result, or is lost. */
    isSettled: boolean;
    /** Whether the piece was queued again at the cost of a retry that no call has used yet. */
    hasUnusedRetry: boolean;
    /** Cache of bytes moved between zones, by the target's zone; shared by the pieces of one stage of a request. */
    readonly crossZoneBytesByZone: Map<string, number>;
    readonly queuedAt: number;
    readonly signal: AbortSignal;
    readonly resolve: (result: PieceResult) => void;
}

/** Whether a target may get a piece: it is not working on it, or has been for so long that its answer may be lost. */
export function mayAsk(piece: Pick<QueuedPiece, "callsInProgress">, target: Target, now: number): boolean {
    return [...piece.callsInProgress].every(
        call => call.target !== target || now - call.startedAt >= LONGEST_SOUND_SILENCE_MS,
    );
}
