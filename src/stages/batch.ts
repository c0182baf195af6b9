/**
 * Batching and admission of a stage service: which pieces go into the next call, and which requests are refused.
 *
 * A call has a fixed cost and holds a limited number of pieces, so under load a target's throughput depends on full
 * calls. Pieces wait only while no target is free; the queue that builds up until then fills the next call.
 *
 * In an overload the most urgent piece is often one that can no longer be on time. Serving it first makes the next one
 * late as well, until every request is late. Pieces that can still be on time therefore go first, and a request is
 * admitted only if its pieces can be made in time behind those that go before it. Requests with finished stages get no
 * exception from this order: finishing a late one first would make the next ones late.
 */
import type { PieceJob } from "./piece.js";

/** The part of a waiting piece that ranking and forecasting need. */
export type WaitingPiece = Pick<
    PieceJob,
    "priority" | "targetTime" | "deadline" | "requestId" | "resultBytes" | "fetches" | "inputs" | "zone" | "begun"
> & {
    /** Time on the monotonic clock at which the piece was queued. */
    readonly queuedAt: number;
};

/** Milliseconds added to a piece's sort key for each priority rank below the most urgent. */
const PRIORITY_PENALTY_MS = 500;

/** Milliseconds added to a piece's sort key for each megabyte that a full call of such pieces moves between zones. */
const CROSS_ZONE_PENALTY_MS_PER_MEGABYTE = 60;

/** Longest time in milliseconds for which a piece is held back for a target in the zone of its data. */
const MAXIMUM_ZONE_WAIT_MS = 220;

/** A piece that moves no more bytes between zones than this is not held back. */
const NEGLIGIBLE_CROSS_ZONE_BYTES = 50_000;

/** Milliseconds added to the sort key of pieces that cannot be on time; longer than any deadline. */
const LATE_PENALTY_MS = 1_000_000;

/** Capacity of the usable targets of a stage service. */
export interface QueueCapacity {
    /** Calls that can be in progress at once; those of a slow target count as fractions. */
    readonly targets: number;
    /** Largest number of pieces in one call. */
    readonly batch: number;
    /** Fixed time of a call in milliseconds. */
    readonly callMs: number;
    /** Additional time in milliseconds for each piece of a call. */
    readonly pieceMs: number;
}

/** Expected time in milliseconds of a full call. */
export function fullCallMs(capacity: Pick<QueueCapacity, "batch" | "callMs" | "pieceMs">): number {
    return capacity.callMs + capacity.batch * capacity.pieceMs;
}

/** Sort key of a piece in the queue at `now` on the monotonic clock, in milliseconds; the lowest key comes first. */
export function sortKeyOf(piece: Omit<WaitingPiece, "queuedAt">, now: number, callMs: number): number {
    const isLate = piece.targetTime.at < now + callMs;
    return (isLate ? piece.deadline.at + LATE_PENALTY_MS : piece.targetTime.at) + piece.priority * PRIORITY_PENALTY_MS;
}

/**
 * Bytes that move between zones when a piece is made in `zone`: its inputs, and its result on the way to its consumers.
 * Each consumer fetches the result separately.
 */
export function crossZoneBytes(
    piece: Omit<WaitingPiece, "queuedAt">,
    zone: string,
    zoneOfInput: (handle: string) => string,
    inputBytes: number,
): number {
    const inputs = piece.inputs.filter(handle => zoneOfInput(handle) !== zone).length * inputBytes;
    return inputs + (piece.zone === zone ? 0 : piece.resultBytes * piece.fetches);
}

/**
 * Whether a piece is held back for a target that moves fewer bytes between zones: it was queued recently, can wait
 * longer without being late, and a usable target would move at most half as many bytes. `movedBytes` is what the target
 * in question would move, `leastBytes` what the best usable target would.
 */
export function waitsForCloserTarget(
    piece: WaitingPiece,
    now: number,
    callMs: number,
    movedBytes: number,
    leastBytes: number,
): boolean {
    if (movedBytes <= NEGLIGIBLE_CROSS_ZONE_BYTES || leastBytes * 2 > movedBytes) return false;
    return now - piece.queuedAt < MAXIMUM_ZONE_WAIT_MS && piece.targetTime.at - now > callMs + MAXIMUM_ZONE_WAIT_MS;
}

/** The piece with the lowest sort key, wherever its data are. */
export function mostUrgent<Piece extends WaitingPiece>(
    pieces: readonly Piece[],
    now: number,
    callMs: number,
): Piece | undefined {
    let mostUrgentPiece: Piece | undefined;
    let lowestKey = Number.POSITIVE_INFINITY;
    for (const piece of pieces) {
        const sortKey = sortKeyOf(piece, now, callMs);
        if (sortKey < lowestKey) [mostUrgentPiece, lowestKey] = [piece, sortKey];
    }
    return mostUrgentPiece;
}

/** A waiting piece with its sort key for one target. */
export interface RankedPiece<Piece> {
    readonly piece: Piece;
    readonly sortKey: number;
}

/**
 * Sorts pieces for a target. Pieces of one request with equal keys stay together, so that one target holds their
 * results. The penalty for bytes between zones is limited to the piece's slack before its target time.
 * `crossZoneBytesOf` returns the bytes that a full call of such pieces moves between zones.
 */
export function rankForTarget<Piece extends WaitingPiece>(
    pieces: readonly Piece[],
    now: number,
    callMs: number,
    crossZoneBytesOf: (piece: Piece) => number,
): readonly RankedPiece<Piece>[] {
    return pieces
        .map(piece => {
            const slackMs = Math.max(0, piece.targetTime.at - now - callMs);
            const penaltyMs = (crossZoneBytesOf(piece) / 1_000_000) * CROSS_ZONE_PENALTY_MS_PER_MEGABYTE;
            return { piece, sortKey: sortKeyOf(piece, now, callMs) + Math.min(slackMs, penaltyMs) };
        })
        .sort((left, right) => left.sortKey - right.sortKey || compareRequestIds(left.piece, right.piece));
}

function compareRequestIds(left: WaitingPiece, right: WaitingPiece): number {
    if (left.requestId === right.requestId) return 0;
    return left.requestId < right.requestId ? -1 : 1;
}

/** Selects the first pieces of a ranked queue that fit into one call and into the target's free memory. */
export function fillBatch<Piece extends WaitingPiece>(
    ordered: readonly RankedPiece<Piece>[],
    batchSize: number,
    freeBytes: number,
): readonly Piece[] {
    const taken: Piece[] = [];
    let bytes = 0;
    for (const { piece } of ordered) {
        if (taken.length >= batchSize) break;
        if (bytes + piece.resultBytes > freeBytes) continue;
        bytes += piece.resultBytes;
        taken.push(piece);
    }
    return taken;
}

/**
 * Expected time in milliseconds until the last of `own` pieces is made when `ahead` pieces go before them: the calls
 * before their own, half a call for the calls in progress, and their own call.
 */
export function forecastMs(ahead: number, own: number, capacity: QueueCapacity): number {
    if (capacity.targets === 0) return Number.POSITIVE_INFINITY;
    const callMs = fullCallMs(capacity);
    const callsAhead = Math.floor((ahead + Math.max(0, own - 1)) / capacity.batch);
    const waitMs = ahead > 0 ? callMs / 2 / capacity.targets : 0;
    return waitMs + (callsAhead * callMs) / capacity.targets + callMs;
}

/** Whether a request's pieces are admitted to the queue, and whether they are expected on time. */
export type StageAdmission =
    | { readonly kind: "onTime" }
    | { readonly kind: "late" }
    | { readonly kind: "refused"; readonly neededMs: number; readonly retryAfterMs: number };

/** Fraction of the remaining time within which the forecast must serve a late request for it to be admitted. */
const LATE_TIME_SHARE = 0.25;

/**
 * Decides whether the pieces of one stage of a request are admitted. A request that cannot be on time is admitted only
 * if the queue is short enough, and is otherwise refused at once. A request with finished stages is refused only if it
 * cannot meet its deadline.
 */
export function admit(
    waiting: readonly WaitingPiece[],
    own: readonly Omit<WaitingPiece, "queuedAt">[],
    capacity: QueueCapacity,
    now: number,
): StageAdmission {
    const first = own[0];
    if (first === undefined || capacity.targets === 0) return { kind: "onTime" };
    const callMs = fullCallMs(capacity);
    const sortKey = sortKeyOf(first, now, callMs);
    const aheadCount = waiting.filter(piece => sortKeyOf(piece, now, callMs) <= sortKey).length;
    const neededMs = forecastMs(aheadCount, own.length, capacity);
    if (now + neededMs <= first.targetTime.at) return { kind: "onTime" };
    const remainingMs = first.deadline.at - now;
    const behindAllMs = forecastMs(waiting.length, own.length, capacity);
    const allowedMs = first.begun ? remainingMs : remainingMs * LATE_TIME_SHARE;
    const lateMs = first.begun ? neededMs : behindAllMs;
    if (lateMs <= allowedMs) return { kind: "late" };
    return { kind: "refused", neededMs: lateMs, retryAfterMs: Math.max(callMs, lateMs - allowedMs) };
}

/** Longest expected wait of a late piece behind pieces that can be on time, as a fraction of a full call. */
const LATE_WAIT_SHARE = 0.75;

/**
 * Whether a waiting piece is dropped: it cannot be on time, and the pieces that can be keep the targets busy for too
 * long. Keeping it would delay the caller's answer and mostly end without a result. `onTimeCount` is the number of
 * pieces that can be on time.
 */
export function shouldDrop(piece: WaitingPiece, now: number, onTimeCount: number, capacity: QueueCapacity): boolean {
    const callMs = fullCallMs(capacity);
    if (piece.targetTime.at >= now + callMs) return false;
    const neededMs = forecastMs(onTimeCount, 1, capacity);
    return neededMs > callMs * (1 + LATE_WAIT_SHARE) || now + neededMs > piece.deadline.at;
}
