/**
 * A move as stored: an operator's order to take a zone out of service, to bring it back, or to roll out a version, with
 * a deadline. A move that cannot be completed by its deadline is rolled back (state `takingBack`, result `takenBack`).
 *
 * The moves of one zone or service are numbered. Move n is created on the condition that it does not exist, and only
 * after move n-1 has ended. Of two operators that declare at the same time, one succeeds and the other reads which move
 * is open. Moves are never removed, because a process with a stale view could otherwise create a number a second time.
 */
import { z } from "zod";

/** Prefix of the store keys of moves. */
export const MOVES_PREFIX = "moves/";

const resultSchema = z.object({
    kind: z.enum(["done", "takenBack"]),
    reason: z.string(),
    /** Time from the declaration to the result, in milliseconds. */
    elapsedMilliseconds: z.number().min(0),
    /** Whether the result was recorded after the deadline. */
    late: z.boolean(),
});

const planSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("zone"),
        direction: z.enum(["out", "back"]),
        /** State of the zone when the move was declared; a rollback restores it. */
        before: z.enum(["in", "out"]),
    }),
    z.object({
        kind: z.literal("version"),
        version: z.string(),
        /** The new version's share of the traffic at the first step. */
        share: z.number().positive().max(1),
        /** The stable version when the move was declared; a rollback restores it. */
        before: z.string(),
    }),
]);

const moveSchema = z.object({
    /** Name of the zone or service. */
    subject: z.string(),
    /** Number of the move among the moves of its subject, from 1. */
    number: z.int().min(1),
    plan: planSchema,
    /** Deadline, in milliseconds after the declaration. */
    doneByMilliseconds: z.number().positive(),
    author: z.string(),
    /** Unique for each declaration, so that its author recognises it after a lost answer. */
    declaration: z.string(),
    /** Configuration version when the move was declared; the move's own changes come later. */
    baseVersion: z.int().min(0),
    state: z.enum(["open", "takingBack", "ended"]),
    /** Step of a version move, from 0. */
    step: z.int().min(0),
    /** Why the move is being rolled back. */
    reason: z.string(),
    /** Fencing number of the controller that wrote this state; 0 before the first one. */
    fencing: z.int().min(0),
    /** Entry whose controller wrote this state; empty before the first one. The other entries report to it. */
    controller: z.string(),
    /** Time since the declaration when this state was written, in milliseconds. */
    elapsedMilliseconds: z.number().min(0),
    /** Unique for each write, so that a write can be recognised after a lost answer. */
    writeId: z.string(),
    result: resultSchema.exactOptional(),
});

/** What a move does. */
export type MovePlan = Readonly<z.infer<typeof planSchema>>;

/** How a move ended. */
export type MoveResult = Readonly<z.infer<typeof resultSchema>>;

/** A stored move. */
export type Move = Readonly<z.infer<typeof moveSchema>>;

/** Id of a move: kind, zone or service, and number. */
export function moveId({ plan, subject, number }: Pick<Move, "plan" | "subject" | "number">): string {
    return `${plan.kind}-${subject}-${number}`;
}

/** Store key of a move. */
export function moveKey(move: Pick<Move, "plan" | "subject" | "number">): string {
    return MOVES_PREFIX + moveId(move);
}

/** Store key of the lease under which a controller works on a move. */
export function moveLeaseKey(move: Move): string {
    return `leases/moves/${moveId(move)}`;
}

/** Prefix of the authors that are moves. */
export const MOVE_AUTHOR_PREFIX = "move ";

/** The author of the changes that a move makes in the configuration. */
export function moveAuthor(move: Move): string {
    return MOVE_AUTHOR_PREFIX + moveId(move);
}

/** JSON text of a move. */
export function encodeMove(move: Move): string {
    return JSON.stringify(move);
}

/** The move in a stored text; undefined if the text is not a valid move. */
export function decodeMove(text: string): Move | undefined {
    try {
        return moveSchema.safeParse(JSON.parse(text)).data;
    } catch {
        return undefined;
    }
}

/**
 * Time before a move's deadline at which a rollback starts. It is longer than a takeover by another entry, so that the
 * result is on time even if the controller dies when the rollback starts. Short moves keep three quarters of their
 * time.
 */
export function rollbackMargin(doneByMilliseconds: number): number {
    return Math.min(MAXIMUM_ROLLBACK_MARGIN_MS, doneByMilliseconds / 4);
}

const MAXIMUM_ROLLBACK_MARGIN_MS = 4_000;
