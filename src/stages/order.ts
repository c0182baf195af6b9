/** JSON messages between gateways: orders to make pieces, their results, and orders to release results. */
import { z } from "zod";
import { Deadline } from "../model/index.js";
import { parseJson } from "../model/json.js";
import { type PieceJob, type PieceResult, RESULT_HANDLE } from "./piece.js";

/** Maximum number of pieces of one stage of a request. Requests have a few dozen; each one is an object of its own. */
export const MAXIMUM_PIECES = 4_096;

/** Memory in bytes that a piece takes while it waits and is made. */
export const PIECE_BYTES = 1_024;

/** Maximum number of results that an order names as inputs, or that one releases. */
const MAXIMUM_HANDLES = 16_384;

/** Longest name, key or handle in characters: the size of the largest head, from which they come. */
const MAXIMUM_TEXT_LENGTH = 131_072;

const text = z.string().max(MAXIMUM_TEXT_LENGTH);

/** The pieces of one stage of a request differ only in their index, so an order carries the common fields once. */
const orderSchema = z.object({
    service: text,
    indexes: z.array(z.int()).max(MAXIMUM_PIECES),
    stage: z
        .object({
            requestId: text,
            stage: z.int(),
            pieces: z.int(),
            key: text.optional(),
            inputs: z.array(text).max(MAXIMUM_HANDLES),
            isLastUse: z.boolean(),
            inputBytes: z.number(),
            resultBytes: z.number(),
            fetches: z.number(),
            priority: z.number(),
            deadlineMs: z.number(),
            targetMs: z.number(),
            zone: text,
            begun: z.boolean(),
        })
        .optional(),
});

const LOSS_REASONS = [
    "late",
    "inputGone",
    "failed",
    "noRoom",
    "noTarget",
    "overloaded",
    "cancelled",
    "givenBack",
] as const;

const answerSchema = z.object({
    waitMs: z.number(),
    results: z.array(
        z.union([
            z.object({ kind: z.literal("made"), handle: z.string().regex(RESULT_HANDLE) }),
            z.object({ kind: z.literal("lost"), reason: z.enum(LOSS_REASONS), retryAfterMs: z.number() }),
        ]),
    ),
});

const releaseSchema = z.object({ service: text, handles: z.array(text).max(MAXIMUM_HANDLES), isEarly: z.boolean() });

/** An order to make pieces of one stage of a request. An order without pieces probes whether the gatherer answers. */
export interface PeerOrder {
    readonly service: string;
    readonly jobs: readonly PieceJob[];
}

/** A gatherer's answer to an order. The results are in the order of the pieces. */
export interface PeerAnswer {
    /** Expected wait in milliseconds of a piece in the gatherer's queue. */
    readonly waitMs: number;
    readonly results: readonly PieceResult[];
}

/** An order to release results that are no longer needed. */
export interface ReleaseOrder {
    readonly service: string;
    readonly handles: readonly string[];
    /** Whether the calls that have read the results are still in progress and would need them again after a failure. */
    readonly isEarly: boolean;
}

/** Encodes an order. Deadlines are sent as remaining milliseconds. */
export function encodeOrder(service: string, jobs: readonly PieceJob[]): string {
    const [first] = jobs;
    const indexes = jobs.map(({ index }) => index);
    if (first === undefined) return JSON.stringify({ service, indexes });
    const times = { deadlineMs: first.deadline.remainingMs(), targetMs: first.targetTime.at - performance.now() };
    // Fields that are undefined are omitted from JSON.
    const stage = {
        ...first,
        ...times,
        service: undefined,
        index: undefined,
        deadline: undefined,
        targetTime: undefined,
    };
    return JSON.stringify({ service, indexes, stage });
}

/** Decodes an order; undefined when it is malformed. */
export function decodeOrder(text: string): PeerOrder | undefined {
    const parsed = orderSchema.safeParse(parseJson(text));
    if (!parsed.success) return undefined;
    const { service, indexes, stage } = parsed.data;
    if (stage === undefined) return indexes.length === 0 ? { service, jobs: [] } : undefined;
    const { deadlineMs, targetMs, key, ...rest } = stage;
    const common = {
        ...rest,
        key,
        service,
        deadline: Deadline.after(deadlineMs),
        targetTime: Deadline.after(targetMs),
    };
    return { service, jobs: indexes.map(index => ({ ...common, index })) };
}

/** Decodes the answer to an order of `pieces` pieces; undefined when it is malformed. */
export function decodeAnswer(text: string, pieces: number): PeerAnswer | undefined {
    const parsed = answerSchema.safeParse(parseJson(text));
    return parsed.success && parsed.data.results.length === pieces ? parsed.data : undefined;
}

/** Encodes an order to release results. */
export function encodeRelease(order: ReleaseOrder): string {
    return JSON.stringify(order);
}

/** Decodes an order to release results; undefined when it is malformed. */
export function decodeRelease(text: string): ReleaseOrder | undefined {
    return releaseSchema.safeParse(parseJson(text)).data;
}
