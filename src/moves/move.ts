/**
 * A move as the store holds it: an operator's order to take a zone out, bring it back or bring a version into use,
 * with the time by which it has to end.
 *
 * The moves of one zone or service are numbered. Move n is created on the condition that it does not exist, and only
 * after move n-1 has its result, so that of two operators one wins and the other reads which move is open. Moves are
 * never removed, because a process with an old view could otherwise create a number a second time.
 */
import { z } from "zod";

/** Store keys of moves start with this. */
export const MOVES_PREFIX = "moves/";

const resultSchema = z.object({
    kind: z.enum(["done", "takenBack"]),
    reason: z.string(),
    /** Time from acceptance to the result, in milliseconds. */
    elapsedMilliseconds: z.number().min(0),
    /** Whether the result was recorded after the set time. */
    late: z.boolean(),
});

const planSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("zone"),
        direction: z.enum(["out", "back"]),
        /** State of the zone when the move was declared, which taking back restores. */
        before: z.enum(["in", "out"]),
    }),
    z.object({
        kind: z.literal("version"),
        version: z.string(),
        /** The new version's share at the first step. */
        share: z.number().positive().max(1),
        /** The stable version when the move was declared, which taking back restores. */
        before: z.string(),
    }),
]);

const moveSchema = z.object({
    /** Name of the zone or service. */
    subject: z.string(),
    /** Counts the moves of the subject from 1. */
    number: z.int().min(1),
    plan: planSchema,
    /** Time from acceptance by which the move has to end, in milliseconds. */
    doneByMilliseconds: z.number().positive(),
    author: z.string(),
    /** Unique for each declaration, by which its author recognises it when the answer was lost. */
    declaration: z.string(),
    /** Version of the configuration when the move was declared; the move's own changes are later ones. */
    baseVersion: z.int().min(0),
    state: z.enum(["open", "takingBack", "ended"]),
    /** Step of a version move, from 0. */
    step: z.int().min(0),
    /** Why the move is being taken back. */
    reason: z.string(),
    /** Fencing number of the controller that wrote this; 0 before the first one. */
    fencing: z.int().min(0),
    /** Entry that wrote this; empty before the first one. The others tell it what it needs. */
    controller: z.string(),
    /** Time since acceptance when this was written, in milliseconds. */
    elapsedMilliseconds: z.number().min(0),
    /** Unique for each write, so that a write whose answer was lost can be recognised. */
    writeId: z.string(),
    result: resultSchema.exactOptional(),
});

/** What a move is to do. */
export type MovePlan = Readonly<z.infer<typeof planSchema>>;

/** How a move ended. */
export type MoveResult = Readonly<z.infer<typeof resultSchema>>;

/** A move in the store. */
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

/** Authors that begin with this are moves. */
export const MOVE_AUTHOR_PREFIX = "move ";

/** The author of the changes that a move makes in the configuration. */
export function moveAuthor(move: Move): string {
    return MOVE_AUTHOR_PREFIX + moveId(move);
}

/** The stored text of a move. */
export function encodeMove(move: Move): string {
    return JSON.stringify(move);
}

/** The move in a stored text; undefined when the text is none. */
export function decodeMove(text: string): Move | undefined {
    try {
        return moveSchema.safeParse(JSON.parse(text)).data;
    } catch {
        return undefined;
    }
}

/**
 * Time before the end of a move at which taking it back begins. It is longer than a takeover by another entry, so that
 * the result is on time even if the controller dies when it begins. Short moves keep three quarters of their time.
 */
export function rollbackMargin(doneByMilliseconds: number): number {
    return Math.min(LONGEST_MARGIN_MS, doneByMilliseconds / 4);
}

const LONGEST_MARGIN_MS = 4_000;
