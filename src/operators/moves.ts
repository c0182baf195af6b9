/** Moves that operators declare and look at. */
import { z } from "zod";
import { type DeclareOutcome, type Move, moveId, type MoveOrder } from "../moves/index.js";
import { type ChangeContext, nameSchema, authorSchema } from "./change.js";
import type { MoveBody, OperatorError } from "./message.js";
import { knownZones } from "./status.js";

/** Where moves are declared and read. */
export interface MoveDesk {
    readonly declare: (order: MoveOrder) => Promise<DeclareOutcome>;
    /** The moves that this entry knows, oldest first for each zone and service. */
    readonly list: () => readonly Move[];
}

/** What moves are declared with. */
export interface MoveContext extends ChangeContext {
    readonly moves: MoveDesk;
}

/** What a declaration comes to. */
export type MoveOutcome =
    { readonly kind: "declared"; readonly move: MoveBody } | { readonly kind: "error"; readonly error: OperatorError };

/**
 * Shortest time of a move. A change may take 4 s to be in force everywhere, and a quarter of the time is kept for taking
 * the move back.
 */
const SHORTEST_SECONDS = 10;

const LONGEST_SECONDS = 86_400;

/** Ended moves in a list. */
const LISTED_ENDED = 50;

/** Body of `POST moves`. */
export const moveRequestSchema = z.strictObject({
    kind: z.literal("zone"),
    name: nameSchema,
    direction: z.enum(["out", "back"]),
    withinSeconds: z.number().min(SHORTEST_SECONDS).max(LONGEST_SECONDS),
    author: authorSchema,
});

/** Declares a move. */
export async function declareMoveRequest(
    context: MoveContext,
    request: z.infer<typeof moveRequestSchema>,
): Promise<MoveOutcome> {
    const { holder, directory, ready, moves } = context;
    if (!ready()) {
        const message = "this entry has not confirmed its first configuration yet; nothing was declared";
        return failed({ kind: "starting", message, next: "try again shortly, or ask another entry" });
    }
    const current = holder.current;
    const zones = knownZones(directory.current, current);
    if (!zones.includes(request.name)) {
        const next = `name one of: ${zones.join(", ") || "(no zones are known yet)"}`;
        return failed({ kind: "notFound", message: `zone "${request.name}" is not known`, next });
    }
    const before = current.zoneInService(request.name) ? "in" : "out";
    const outcome = await moves.declare({
        subject: request.name,
        plan: { kind: "zone", direction: request.direction, before },
        doneByMilliseconds: request.withinSeconds * 1_000,
        author: request.author,
        baseVersion: current.version,
    });
    return toMoveOutcome(outcome);
}

/** Open moves and the newest ended ones. */
export function listMoveBodies(desk: MoveDesk): readonly MoveBody[] {
    const moves = desk.list().map(describeMove);
    const ended = moves.filter(({ result }) => result !== undefined).slice(-LISTED_ENDED);
    return moves.filter(move => move.result === undefined || ended.includes(move));
}

/** A move by its id. */
export function findMoveBody(desk: MoveDesk, id: string): MoveBody | undefined {
    const move = desk.list().find(known => moveId(known) === id);
    return move && describeMove(move);
}

function toMoveOutcome(outcome: DeclareOutcome): MoveOutcome {
    switch (outcome.kind) {
        case "declared":
            return { kind: "declared", move: describeMove(outcome.move) };
        case "open": {
            const { id, order, author } = describeMove(outcome.move);
            return failed({
                kind: "conflict",
                message: `move ${id} (${order}, by ${author}) is open; nothing was declared`,
                next: `wait for its result (parsleyrun moves), then declare again`,
            });
        }
        case "unavailable":
            return failed({
                kind: "storeUnavailable",
                message: `the store did not take the move (${outcome.message}); nothing was declared`,
                next: "try again when status shows the store as available",
            });
        case "unknown":
            return failed({
                kind: "unknown",
                message: `the store's answer was lost (${outcome.message}); move ${outcome.id} may be declared`,
                next: "look at parsleyrun moves; if it is not there, declare again",
            });
    }
}

function describeMove(move: Move): MoveBody {
    const { subject, plan, author, state, doneByMilliseconds, elapsedMilliseconds, result } = move;
    return {
        id: moveId(move),
        kind: plan.kind,
        name: subject,
        order: `zone ${subject} ${plan.direction}`,
        author,
        state,
        withinSeconds: doneByMilliseconds / 1_000,
        elapsedSeconds: (result?.elapsedMilliseconds ?? elapsedMilliseconds) / 1_000,
        reason: result?.reason ?? move.reason,
        ...(result === undefined ? {} : { result: result.kind, late: result.late }),
    };
}

function failed(error: OperatorError): MoveOutcome {
    return { kind: "error", error };
}
