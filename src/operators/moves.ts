/** Declares moves for operators and describes them in responses. */
import { z } from "zod";
import type { TrafficSplit } from "../model/index.js";
import { type DeclareOutcome, type Move, moveId, type MoveSpec, type MovePlan } from "../moves/index.js";
import { type ChangeContext, nameSchema, authorSchema } from "./change.js";
import type { MoveBody, OperatorError } from "./message.js";
import { knownZones } from "./status.js";

/** Declares and lists moves. */
export interface MoveOperations {
    readonly declare: (order: MoveSpec) => Promise<DeclareOutcome>;
    /** The moves known to this entry, oldest first within each zone and service. */
    readonly list: () => readonly Move[];
}

/** Dependencies of a declaration. */
export interface MoveContext extends ChangeContext {
    readonly moves: MoveOperations;
}

export type MoveOutcome =
    { readonly kind: "declared"; readonly move: MoveBody } | { readonly kind: "error"; readonly error: OperatorError };

/**
 * Shortest time limit of a move. A change may take 4 s to be in force everywhere, and a quarter of the time limit is
 * reserved for rolling the move back.
 */
const MINIMUM_MOVE_SECONDS = 10;

const MAXIMUM_MOVE_SECONDS = 86_400;

const MAXIMUM_LISTED_ENDED_MOVES = 50;

/** First traffic share of a new version. It bounds the requests that a faulty version affects before it is detected. */
const DEFAULT_FIRST_SHARE = 0.05;

const MAXIMUM_FIRST_SHARE = 0.5;

const commonFields = {
    name: nameSchema,
    withinSeconds: z.number().min(MINIMUM_MOVE_SECONDS).max(MAXIMUM_MOVE_SECONDS),
};

/** Body of `POST moves`. */
export const moveRequestSchema = z.discriminatedUnion("kind", [
    z.strictObject({
        kind: z.literal("zone"),
        ...commonFields,
        direction: z.enum(["out", "back"]),
        author: authorSchema,
    }),
    z.strictObject({
        kind: z.literal("version"),
        ...commonFields,
        version: nameSchema,
        share: z.number().positive().max(MAXIMUM_FIRST_SHARE).default(DEFAULT_FIRST_SHARE),
        author: authorSchema,
    }),
]);

type MoveRequest = z.infer<typeof moveRequestSchema>;

/** Validates a request and declares its move. */
export async function declareMoveRequest(context: MoveContext, request: MoveRequest): Promise<MoveOutcome> {
    const { holder, ready, moves } = context;
    if (!ready()) {
        const message = "this entry has not confirmed its first configuration yet; nothing was declared";
        return errorOutcome({ kind: "starting", message, next: "try again shortly, or ask another entry" });
    }
    const { version: baseVersion } = holder.current;
    const planned = request.kind === "zone" ? planZoneMove(context, request) : planVersionMove(context, request);
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

type PlanResult = { readonly kind: "planned"; readonly plan: MovePlan } | Extract<MoveOutcome, { kind: "error" }>;

function planZoneMove(
    { directory, holder }: MoveContext,
    { name, direction }: Extract<MoveRequest, { kind: "zone" }>,
): PlanResult {
    const current = holder.current;
    const zones = knownZones(directory.current, current);
    if (!zones.includes(name)) {
        const next = `name one of: ${zones.join(", ") || "(no zones are known yet)"}`;
        return errorOutcome({ kind: "notFound", message: `zone "${name}" is not known`, next });
    }
    return { kind: "planned", plan: { kind: "zone", direction, before: current.isZoneInService(name) ? "in" : "out" } };
}

function planVersionMove(
    { holder }: MoveContext,
    { name, version, share }: Extract<MoveRequest, { kind: "version" }>,
): PlanResult {
    const service = holder.current.find("service", name);
    if (service === undefined) {
        return errorOutcome({
            kind: "notFound",
            message: `service "${name}" is not known`,
            next: "look at parsleyrun show",
        });
    }
    const split = holder.current.find("traffic", name);
    const error = findVersionMoveError(service.slots, split, version);
    if (error !== undefined) return errorOutcome({ kind: "badRequest", ...error });
    return { kind: "planned", plan: { kind: "version", version, share, before: split?.stable ?? "" } };
}

/** Why a service cannot be moved to a version; undefined if it can. */
function findVersionMoveError(
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
export function listMoveBodies(operations: MoveOperations): readonly MoveBody[] {
    const moves = operations.list().map(describeMove);
    const ended = moves.filter(({ result }) => result !== undefined).slice(-MAXIMUM_LISTED_ENDED_MOVES);
    return moves.filter(move => move.result === undefined || ended.includes(move));
}

export function findMoveBody(operations: MoveOperations, id: string): MoveBody | undefined {
    const move = operations.list().find(known => moveId(known) === id);
    return move && describeMove(move);
}

function toMoveOutcome(outcome: DeclareOutcome): MoveOutcome {
    switch (outcome.kind) {
        case "declared":
            return { kind: "declared", move: describeMove(outcome.move) };
        case "open": {
            const { id, order, author } = describeMove(outcome.move);
            return errorOutcome({
                kind: "conflict",
                message: `move ${id} (${order}, by ${author}) is open; nothing was declared`,
                next: `wait for its result (parsleyrun moves), then declare again`,
            });
        }
        case "unavailable":
            return errorOutcome({
                kind: "storeUnavailable",
                message: `the store did not take the move (${outcome.message}); nothing was declared`,
                next: "try again when status shows the store as available",
            });
        case "unknown":
            return errorOutcome({
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

function errorOutcome(error: OperatorError): Extract<MoveOutcome, { kind: "error" }> {
    return { kind: "error", error };
}
