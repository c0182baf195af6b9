/** Declaring moves: at most one open move for each zone and service. */
import { createRequestId } from "../model/index.js";
import { pause } from "../model/pause.js";
import type { ReadOutcome, Store, StoredObject } from "../store/index.js";
import { decodeMove, encodeMove, type Move, moveId, moveKey, type MovePlan } from "./move.js";

/** What an operator declares. */
export interface MoveSpec {
    readonly subject: string;
    readonly plan: MovePlan;
    readonly doneByMilliseconds: number;
    readonly author: string;
    /** Version of the configuration that the plan was made from. */
    readonly baseVersion: number;
}

/** What a declaration comes to. */
export type DeclareOutcome =
    | { readonly kind: "declared"; readonly move: Move }
    /** Another move of the same zone or service is open; nothing was declared. */
    | { readonly kind: "open"; readonly move: Move }
    /** Nothing was declared. */
    | { readonly kind: "unavailable"; readonly message: string }
    /** The answer was lost; the move with this id may be declared. */
    | { readonly kind: "unknown"; readonly id: string; readonly message: string };

type CreateOutcome = "created" | "taken" | Extract<DeclareOutcome, { kind: "unavailable" | "unknown" }>;

/** Reads and creates of one declaration, which bound its time when reads stay stale. */
const MAXIMUM_STEPS = 60;

const MAXIMUM_TRIES = 6;
const RETRY_PAUSE_MS = 50;

/** The moves in the stored objects of a view, oldest first for each subject. */
export function listMoves(objects: ReadonlyMap<string, StoredObject>): readonly Move[] {
    return [...objects.values()]
        .map(({ value }) => decodeMove(value))
        .filter(move => move !== undefined)
        .sort((left, right) => left.number - right.number);
}

/** Declares a move. `known` are the moves as this entry knows them; what they lack costs a few more calls. */
export async function declareMove(store: Store, known: readonly Move[], order: MoveSpec): Promise<DeclareOutcome> {
    const earlier = known.filter(({ plan, subject }) => plan.kind === order.plan.kind && subject === order.subject);
    const newest = earlier.at(-1);
    let number = newest?.number ?? 1;
    for (let attempt = 0; attempt < MAXIMUM_STEPS; attempt += 1) {
        const move = createMove(order, number);
        const before = readStored(await store.read(moveKey(move)));
        if (before.kind === "unavailable") return before;
        if (before.kind === "found" && before.move.state !== "ended") return { kind: "open", move: before.move };
        if (before.kind === "found") {
            number += 1;
            continue;
        }
        const created = await createObject(store, move);
        if (created === "created") return { kind: "declared", move };
        if (created !== "taken") return created;
        // The read was stale, or another operator was faster; the winner is read again.
        await pause(RETRY_PAUSE_MS);
    }
    return { kind: "unavailable", message: "the store does not show the newest move" };
}

type StoredMove = { readonly kind: "found"; readonly move: Move } | Exclude<ReadOutcome, { kind: "found" }>;

function readStored(read: ReadOutcome): StoredMove {
    if (read.kind !== "found") return read;
    const move = decodeMove(read.object.value);
    if (move === undefined) return { kind: "unavailable", message: `the value of ${read.object.key} is not a move` };
    return { kind: "found", move };
}

function createMove(order: MoveSpec, number: number): Move {
    const initial = { state: "open", step: 0, reason: "", fencing: 0, controller: "", elapsedMilliseconds: 0 } as const;
    return { ...order, ...initial, number, declaration: createRequestId(), writeId: createRequestId() };
}

/** Creates the object. After a lost answer the create is repeated, and the object's id tells whether it took effect. */
async function createObject(store: Store, move: Move): Promise<CreateOutcome> {
    const key = moveKey(move);
    let unclear = false;
    let message = "";
    for (let attempt = 0; attempt < MAXIMUM_TRIES; attempt += 1) {
        if (attempt > 0) await pause(RETRY_PAUSE_MS);
        const written = await store.write(key, encodeMove(move), 0);
        if (written.kind === "written") return "created";
        if (written.kind === "unavailable" && !unclear) return written;
        if (written.kind === "conflict" && !unclear) return "taken";
        if (written.kind !== "conflict") message = written.message;
        unclear = true;
        const read = await store.read(key);
        if (read.kind !== "found") continue;
        // A controller may have written the move since, with a write id of its own.
        const stored = decodeMove(read.object.value);
        if (stored !== undefined) return stored.declaration === move.declaration ? "created" : "taken";
    }
    return { kind: "unknown", id: moveId(move), message };
}
