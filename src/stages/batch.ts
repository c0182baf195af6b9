/**
 * Choice of the pieces for the next call to a stage target.
 *
 * A call has a fixed cost and holds a limited number of pieces, so under load a full batch decides how much a target can
 * do. Pieces wait only while no target is free: then a queue forms by itself and fills the next call.
 */
import type { PieceJob } from "./piece.js";

/** What ordering and forecasting need to know of a waiting piece. */
export type Waiting = Pick<PieceJob, "priority" | "target" | "deadline" | "requestId" | "resultBytes">;

/**
 * Time in milliseconds by which one rank of priority goes before an earlier target time. Strict ranks would starve the
 * lower ones in a long overload.
 */
const PRIORITY_STEP_MS = 250;

/** The position of a piece in the queue; the lowest comes first. */
export function urgencyOf(piece: Waiting): number {
    return piece.target.at + piece.priority * PRIORITY_STEP_MS;
}

/** Orders pieces by urgency and keeps those of one request together, so that their results lie at one target. */
export function compareUrgency(left: Waiting, right: Waiting): number {
    const difference = urgencyOf(left) - urgencyOf(right);
    if (difference !== 0) return difference;
    return left.requestId < right.requestId ? -1 : left.requestId > right.requestId ? 1 : 0;
}

/** Takes the first pieces of an ordered queue that fit into one call and into the target's free memory. */
export function fillBatch<Piece extends Waiting>(
    ordered: readonly Piece[],
    batch: number,
    freeBytes: number,
): readonly Piece[] {
    const taken: Piece[] = [];
    let bytes = 0;
    for (const piece of ordered) {
        if (taken.length >= batch) break;
        if (bytes + piece.resultBytes > freeBytes) continue;
        bytes += piece.resultBytes;
        taken.push(piece);
    }
    return taken;
}

/** Capacity of a stage service as far as it can be used now. */
export interface QueueCapacity {
    readonly targets: number;
    readonly batch: number;
    readonly callMs: number;
    readonly pieceMs: number;
}

/** Time in milliseconds that one full call takes. */
export function fullCallMs(capacity: Pick<QueueCapacity, "batch" | "callMs" | "pieceMs">): number {
    return capacity.callMs + capacity.batch * capacity.pieceMs;
}

/**
 * Time in milliseconds until a piece is made when `ahead` pieces go before it: the rounds of calls before its own, half
 * a call for the ones in progress, and its own call.
 */
export function forecastMs(ahead: number, capacity: QueueCapacity): number {
    if (capacity.targets === 0) return Number.POSITIVE_INFINITY;
    const callMs = fullCallMs(capacity);
    const roundMs = callMs / capacity.targets;
    const callsAhead = Math.floor(ahead / capacity.batch);
    const busyMs = ahead > 0 ? callMs / 2 : 0;
    return busyMs + callsAhead * roundMs + callMs;
}
