/**
 * Which pieces go into the next call to a stage target, and which requests are not taken on at all.
 *
 * A call has a fixed cost and holds a limited number of pieces, so under load a full call decides how much a target can
 * do. Pieces wait only while no target is free: then a queue forms by itself and fills the next call.
 *
 * In an overload the most urgent piece is often one that can no longer be on time. Serving it first makes the next one
 * late as well, until every request is late. Pieces that can still be on time therefore go first, and a request is taken
 * on only if its pieces can be made in time behind those that go before it. This holds for requests that have begun, too:
 * finishing a late one before those that can be on time makes the next ones late.
 */
import type { PieceJob } from "./piece.js";

/** What ordering and forecasting need to know of a waiting piece. */
export type WaitingPiece = Pick<
    PieceJob,
    "priority" | "targetTime" | "deadline" | "requestId" | "resultBytes" | "fetches" | "inputs" | "zone" | "begun"
> & {
    /** Time on the monotonic clock at which the piece began to wait. */
    readonly queuedAt: number;
};

/** Time in milliseconds by which one rank of priority goes before an earlier target time. */
const PRIORITY_STEP_MS = 500;

/**
 * Time in milliseconds by which a piece goes back in the queue of a target for each megabyte that a call full of such
 * pieces moves between zones.
 */
const CROSSING_STEP_MS_PER_MEGABYTE = 60;

/** Longest time in milliseconds for which a piece waits for a target in the zone of its data. */
const ZONE_WAIT_MS = 220;

/** Bytes between zones for which a piece does not wait. */
const SMALL_CROSSING_BYTES = 50_000;

/** Added to the position of pieces that cannot be on time; longer than any deadline. */
const LATE_STEP_MS = 1_000_000;

/** Capacity of a stage service as far as it can be used now. */
export interface QueueCapacity {
    /** Calls that can be in progress at once. */
    readonly targets: number;
    /** Pieces in one call. */
    readonly batch: number;
    readonly callMs: number;
    readonly pieceMs: number;
}

/** Time in milliseconds that one full call takes. */
export function fullCallMs(capacity: Pick<QueueCapacity, "batch" | "callMs" | "pieceMs">): number {
    return capacity.callMs + capacity.batch * capacity.pieceMs;
}

/** The position of a piece in the queue at a time on the monotonic clock; the lowest comes first. */
export function sortKeyOf(piece: Omit<WaitingPiece, "queuedAt">, now: number, callMs: number): number {
    const late = piece.targetTime.at < now + callMs;
    return (late ? piece.deadline.at + LATE_STEP_MS : piece.targetTime.at) + piece.priority * PRIORITY_STEP_MS;
}

/**
 * Bytes that move between zones when a piece is made in a zone: its inputs, and its result to where it is needed. Each piece
 * fetches its inputs by itself, so one result can move as often as pieces need it.
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
 * Whether a piece is left for a target that moves fewer bytes between zones: it has waited little so far, can wait on
 * without being late, and some target that is in use moves at most half as much.
 */
export function waitsForCloserTarget(
    piece: WaitingPiece,
    now: number,
    callMs: number,
    crossing: number,
    least: number,
): boolean {
    if (crossing <= SMALL_CROSSING_BYTES || least * 2 > crossing) return false;
    return now - piece.queuedAt < ZONE_WAIT_MS && piece.targetTime.at - now > callMs + ZONE_WAIT_MS;
}

/** The piece that comes first, wherever its data lie. */
export function mostUrgent<Piece extends WaitingPiece>(
    pieces: readonly Piece[],
    now: number,
    callMs: number,
): Piece | undefined {
    let first: Piece | undefined;
    let lowest = Number.POSITIVE_INFINITY;
    for (const piece of pieces) {
        const urgency = sortKeyOf(piece, now, callMs);
        if (urgency < lowest) [first, lowest] = [piece, urgency];
    }
    return first;
}

/** A waiting piece with its position for one target. */
export interface RankedPiece<Piece> {
    readonly piece: Piece;
    readonly sortKey: number;
}

/**
 * Orders pieces for a target. Those of one request stay together, so that their results lie at one target. A piece goes
 * behind others for its bytes between zones only as far as it can wait without being late. `crossing` tells the bytes that
 * a full call of such pieces moves.
 */
export function rankForTarget<Piece extends WaitingPiece>(
    pieces: readonly Piece[],
    now: number,
    callMs: number,
    crossing: (piece: Piece) => number,
): readonly RankedPiece<Piece>[] {
    return pieces
        .map(piece => {
            const slackMs = Math.max(0, piece.targetTime.at - now - callMs);
            const stepMs = (crossing(piece) / 1_000_000) * CROSSING_STEP_MS_PER_MEGABYTE;
            return { piece, sortKey: sortKeyOf(piece, now, callMs) + Math.min(slackMs, stepMs) };
        })
        .sort((left, right) => left.sortKey - right.sortKey || compareText(left.piece, right.piece));
}

function compareText(left: WaitingPiece, right: WaitingPiece): number {
    if (left.requestId === right.requestId) return 0;
    return left.requestId < right.requestId ? -1 : 1;
}

/** Takes the first pieces of an ordered queue that fit into one call and into the target's free memory. */
export function fillBatch<Piece extends WaitingPiece>(
    ordered: readonly RankedPiece<Piece>[],
    batch: number,
    freeBytes: number,
): readonly Piece[] {
    const taken: Piece[] = [];
    let bytes = 0;
    for (const { piece } of ordered) {
        if (taken.length >= batch) break;
        if (bytes + piece.resultBytes > freeBytes) continue;
        bytes += piece.resultBytes;
        taken.push(piece);
    }
    return taken;
}

/**
 * Time in milliseconds until the last of `own` pieces is made when `ahead` pieces go before them: the rounds of calls
 * before their own, half a call for the ones in progress, and their own call.
 */
export function forecastMs(ahead: number, own: number, capacity: QueueCapacity): number {
    if (capacity.targets === 0) return Number.POSITIVE_INFINITY;
    const callMs = fullCallMs(capacity);
    const callsAhead = Math.floor((ahead + Math.max(0, own - 1)) / capacity.batch);
    const waitMs = ahead > 0 ? callMs / 2 / capacity.targets : 0;
    return waitMs + (callsAhead * callMs) / capacity.targets + callMs;
}

/** Whether a request's pieces are taken on. */
export type StageAdmission =
    | { readonly kind: "onTime" }
    | { readonly kind: "late" }
    | { readonly kind: "refused"; readonly neededMs: number; readonly retryAfterMs: number };

/** Part of the remaining time within which a request that will be late has to be served by the forecast. */
const LATE_SHARE = 0.25;

/**
 * Decides on the pieces of one stage of a request. A request that cannot be on time is taken on while what waits
 * leaves room for it, and refused at once otherwise. One whose earlier stages were made is only refused when its deadline
 * cannot be kept.
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
    const position = sortKeyOf(first, now, callMs);
    const before = waiting.filter(piece => sortKeyOf(piece, now, callMs) <= position).length;
    const neededMs = forecastMs(before, own.length, capacity);
    if (now + neededMs <= first.targetTime.at) return { kind: "onTime" };
    const remainingMs = first.deadline.at - now;
    const behindAllMs = forecastMs(waiting.length, own.length, capacity);
    const allowedMs = first.begun ? remainingMs : remainingMs * LATE_SHARE;
    const lateMs = first.begun ? neededMs : behindAllMs;
    if (lateMs <= allowedMs) return { kind: "late" };
    return { kind: "refused", neededMs: lateMs, retryAfterMs: Math.max(callMs, lateMs - allowedMs) };
}

/** Part of a full call for which a piece that cannot be on time waits behind those that can. */
const LATE_PATIENCE = 0.75;

/**
 * Whether a waiting piece is given up: it cannot be on time, and what can be on time leaves no room for it soon. Holding
 * it would keep its caller from an early answer and, at the end, mostly without any. `onTime` is the number of pieces
 * that can be on time.
 */
export function shouldDrop(piece: WaitingPiece, now: number, onTime: number, capacity: QueueCapacity): boolean {
    const callMs = fullCallMs(capacity);
    if (piece.targetTime.at >= now + callMs) return false;
    const neededMs = forecastMs(onTime, 1, capacity);
    return neededMs > callMs * (1 + LATE_PATIENCE) || now + neededMs > piece.deadline.at;
}
