/** Declares moves, with at most one open move for each zone and service. */
import { createRequestId } from "../model/index.js";
import { pause } from "../model/pause.js";
import type { ReadOutcome, Store, StoredObject } from "../store/index.js";
import { decodeMove, encodeMove, type Move, moveId, moveKey, type MovePlan } from "./move.js";

/** A move as an operator declares it. */
export interface MoveSpec {
    readonly subject: string;
    readonly plan: MovePlan;
    readonly doneByMilliseconds: number;
    readonly author: string;
    /** Configuration version that the plan was made from. */
    readonly baseVersion: number;
}

/** Result of a declaration. */
export type DeclareOutcome =
    | { readonly kind: "declared"; readonly move: Move }
    /** Another move of the same zone or service is open; nothing was declared. */
    | { readonly kind: "open"; readonly move: Move }
    /** Nothing was declared. */
    | { readonly kind: "unavailable"; readonly message: string }
    /** The store's answer was lost; the move with this id may have been declared. */
    | { readonly kind: "unknown"; readonly id: string; readonly message: string };

type CreateOutcome = "created" | "taken" | Extract<DeclareOutcome, { kind: "unavailable" | "unknown" }>;

/** Rounds of read and create in one declaration; the limit bounds its time while reads are stale. */
const MAXIMUM_ATTEMPTS = 60;

const MAXIMUM_CREATE_ATTEMPTS = 6;
const RETRY_PAUSE_MS = 50;

/** The moves in the stored objects of a view, oldest first for each subject. */
export function listMoves(objects: ReadonlyMap<string, StoredObject>): readonly Move[] {
    return [...objects.values()]
        .map(({ value }) => decodeMove(value))
        .filter(move => move !== undefined)
        .sort((left, right) => left.number - right.number);
}

/** Declares a move. `known` are the moves that this entry knows; each newer one costs another read. */
export async function declareMove(store: Store, known: readonly Move[], spec: MoveSpec): Promise<DeclareOutcome> {
    const earlier = known.filter(({ plan, subject }) => plan.kind === spec.plan.kind && subject === spec.subject);
    const newest = earlier.at(-1);
    let number = newest?.number ?? 1;
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
        const move = createMove(spec, number);
        const existing = readStored(await store.read(moveKey(move)));
        if (existing.kind === "unavailable") return existing;
        if (existing.kind === "found" && existing.move.state !== "ended") return { kind: "open", move: existing.move };
        if (existing.kind === "found") {
            number += 1;
            continue;
        }
        const created = await createObject(store, move);
        if (created === "created") return { kind: "declared", move };
        if (created !== "taken") return created;
        // The read was stale, or another operator created the move first; the next round reads that move.
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

function createMove(spec: MoveSpec, number: number): Move {
    const initial = { state: "open", step: 0, reason: "", fencing: 0, controller: "", elapsedMilliseconds: 0 } as const;
    return { ...spec, ...initial, number, declaration: createRequestId(), writeId: createRequestId() };
}

/** Creates the object. After a lost answer it retries; the stored declaration id tells whether a create took effect. */
async function createObject(store: Store, move: Move): Promise<CreateOutcome> {
    const key = moveKey(move);
    let inDoubt = false;
    let message = "";
    for (let attempt = 0; attempt < MAXIMUM_CREATE_ATTEMPTS; attempt += 1) {
        if (attempt > 0) await pause(RETRY_PAUSE_MS);
        const written = await store.write(key, encodeMove(move), 0);
        if (written.kind === "written") return "created";
        if (written.kind === "unavailable" && !inDoubt) return written;
        if (written.kind === "conflict" && !inDoubt) return "taken";
        if (written.kind !== "conflict") message = written.message;
        inDoubt = true;
        const read = await store.read(key);
        if (read.kind !== "found") continue;
        // Compares the declaration and not the write id, as a controller may have written the move since.
        const stored = decodeMove(read.object.value);
        if (stored !== undefined) return stored.declaration === move.declaration ? "created" : "taken";
    }
    return { kind: "unknown", id: moveId(move), message };
}
