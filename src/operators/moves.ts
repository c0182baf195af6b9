/** Moves that operators declare and look at. */
import { z } from "zod";
import type { TrafficSplit } from "../model/index.js";
import { type DeclareOutcome, type Move, moveId, type MoveSpec, type MovePlan } from "../moves/index.js";
import { type ChangeContext, nameSchema, authorSchema } from "./change.js";
import type { MoveBody, OperatorError } from "./message.js";
import { knownZones } from "./status.js";

/** Where moves are declared and read. */
export interface MoveOperations {
    readonly declare: (order: MoveSpec) => Promise<DeclareOutcome>;
    /** The moves that this entry knows, oldest first for each zone and service. */
    readonly list: () => readonly Move[];
}

/** What moves are declared with. */
export interface MoveContext extends ChangeContext {
    readonly moves: MoveOperations;
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

/** First share of a new version; what a bad one may cost until it is seen. */
const DEFAULT_SHARE = 0.05;

/** Highest first share. */
const HIGHEST_SHARE = 0.5;

const common = { name: nameSchema, withinSeconds: z.number().min(SHORTEST_SECONDS).max(LONGEST_SECONDS) };

/** Body of `POST moves`. */
export const moveRequestSchema = z.discriminatedUnion("kind", [
    z.strictObject({
        kind: z.literal("zone"),
        ...common,
        direction: z.enum(["out", "back"]),
        author: authorSchema,
    }),
    z.strictObject({
        kind: z.literal("version"),
        ...common,
        version: nameSchema,
        share: z.number().positive().max(HIGHEST_SHARE).default(DEFAULT_SHARE),
        author: authorSchema,
    }),
]);

type MoveRequest = z.infer<typeof moveRequestSchema>;

/** Declares a move. */
export async function declareMoveRequest(context: MoveContext, request: MoveRequest): Promise<MoveOutcome> {
    const { holder, ready, moves } = context;
    if (!ready()) {
        const message = "this entry has not confirmed its first configuration yet; nothing was declared";
        return failed({ kind: "starting", message, next: "try again shortly, or ask another entry" });
    }
    const { version: baseVersion } = holder.current;
    const planned = request.kind === "zone" ? planZone(context, request) : planVersion(context, request);
    if (planned.kind === "error") return planned;
    const outcome = await moves.declare({
        subject: request.name,
        plan: planned.plan,
        doneByMilliseconds: request.withinSeconds * 1_000,
        author: request.author,
        baseVersion,
    });
    return toMoveOutcome(outcome);
}

type Planned = { readonly kind: "planned"; readonly plan: MovePlan } | Extract<MoveOutcome, { kind: "error" }>;

function planZone(
    { directory, holder }: MoveContext,
    { name, direction }: Extract<MoveRequest, { kind: "zone" }>,
): Planned {
    const current = holder.current;
    const zones = knownZones(directory.current, current);
    if (!zones.includes(name)) {
        const next = `name one of: ${zones.join(", ") || "(no zones are known yet)"}`;
        return failed({ kind: "notFound", message: `zone "${name}" is not known`, next });
    }
    return { kind: "planned", plan: { kind: "zone", direction, before: current.zoneInService(name) ? "in" : "out" } };
}

function planVersion(
    { holder }: MoveContext,
    { name, version, share }: Extract<MoveRequest, { kind: "version" }>,
): Planned {
    const service = holder.current.find("service", name);
    if (service === undefined) {
        return failed({ kind: "notFound", message: `service "${name}" is not known`, next: "look at parsleyrun show" });
    }
    const split = holder.current.find("traffic", name);
    const fault = findFault(service.slots, split, version);
    if (fault !== undefined) return failed({ kind: "badRequest", ...fault });
    return { kind: "planned", plan: { kind: "version", version, share, before: split?.stable ?? "" } };
}

/** What speaks against a move of a service to a version. */
function findFault(
    slots: number,
    split: TrafficSplit | undefined,
    version: string,
): { readonly message: string; readonly next: string } | undefined {
    if (slots > 0) {
        const message = "slots of a service stay with their owners whatever their version, so no share can be kept";
        return { message, next: "replace its targets zone by zone (parsleyrun move zone)" };
    }
    if (split === undefined) {
        const message = "the service has no stable version to compare with";
        return { message, next: "set it with parsleyrun traffic SERVICE --stable VERSION" };
    }
    if (split.candidate !== undefined) {
        const message = `version "${split.candidate.version}" is already under trial`;
        return { message, next: "end that trial with parsleyrun traffic SERVICE --stable VERSION" };
    }
    if (split.stable !== version) return undefined;
    return { message: `version "${version}" is already the stable one`, next: "name another version" };
}

/** Open moves and the newest ended ones. */
export function listMoveBodies(desk: MoveOperations): readonly MoveBody[] {
    const moves = desk.list().map(describeMove);
    const ended = moves.filter(({ result }) => result !== undefined).slice(-LISTED_ENDED);
    return moves.filter(move => move.result === undefined || ended.includes(move));
}

/** A move by its id. */
export function findMoveBody(desk: MoveOperations, id: string): MoveBody | undefined {
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
        order: describeOrder(move),
        author,
        state,
        withinSeconds: doneByMilliseconds / 1_000,
        elapsedSeconds: (result?.elapsedMilliseconds ?? elapsedMilliseconds) / 1_000,
        reason: result?.reason ?? move.reason,
        ...(result === undefined ? {} : { result: result.kind, late: result.late }),
    };
}

function describeOrder({ plan, subject }: Move): string {
    return plan.kind === "zone" ? `zone ${subject} ${plan.direction}` : `version ${subject} ${plan.version}`;
}

function failed(error: OperatorError): Extract<MoveOutcome, { kind: "error" }> {
    return { kind: "error", error };
}
