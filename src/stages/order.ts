/** Orders between gateways: pieces to be made, their results, and results to be released, as JSON texts. */
import { z } from "zod";
import { Deadline } from "../model/index.js";
import { parseJson } from "../model/json.js";
import type { PieceJob, PieceResult } from "./piece.js";

/** Pieces of one stage of a request differ by their index only. */
const orderSchema = z.object({
    service: z.string(),
    indexes: z.array(z.int()),
    stage: z
        .object({
            requestId: z.string(),
            stage: z.int(),
            pieces: z.int(),
            key: z.string().optional(),
            inputs: z.array(z.string()),
            isLastUse: z.boolean(),
            inputBytes: z.number(),
            resultBytes: z.number(),
            fetches: z.number(),
            priority: z.number(),
            deadlineMs: z.number(),
            targetMs: z.number(),
            zone: z.string(),
            begun: z.boolean(),
        })
        .optional(),
});

const lossReasons = [
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
            z.object({ kind: z.literal("made"), handle: z.string() }),
            z.object({ kind: z.literal("lost"), reason: z.enum(lossReasons), retryAfterMs: z.number() }),
        ]),
    ),
});

const releaseSchema = z.object({ service: z.string(), handles: z.array(z.string()), isEarly: z.boolean() });

/** Pieces of one stage of a request, for one service. An order without pieces asks whether the gatherer is there. */
export interface PeerOrder {
    readonly service: string;
    readonly jobs: readonly PieceJob[];
}

/** A gatherer's answer to an order. The results have the order of the pieces. */
export interface PeerAnswer {
    /** Time in milliseconds that a piece waits at the gatherer. */
    readonly waitMs: number;
    readonly results: readonly PieceResult[];
}

/** Results that are not needed any more. */
export interface ReleaseOrder {
    readonly service: string;
    readonly handles: readonly string[];
    /** Whether calls in progress have read the results and would need them again if they broke. */
    readonly isEarly: boolean;
}

/** The text of an order. Deadlines travel as remaining milliseconds. */
export function encodeOrder(service: string, jobs: readonly PieceJob[]): string {
    const [first] = jobs;
    const indexes = jobs.map(({ index }) => index);
    if (first === undefined) return JSON.stringify({ service, indexes });
    const times = { deadlineMs: first.deadline.remainingMs(), targetMs: first.targetTime.at - performance.now() };
    // JSON leaves undefined fields out.
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

/** Reads an order; undefined when it is malformed. */
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

/** Reads the answer to an order of a number of pieces; undefined when it is malformed. */
export function decodeAnswer(text: string, pieces: number): PeerAnswer | undefined {
    const parsed = answerSchema.safeParse(parseJson(text));
    return parsed.success && parsed.data.results.length === pieces ? parsed.data : undefined;
}

/** The text of an order to release results. */
export function encodeRelease(order: ReleaseOrder): string {
    return JSON.stringify(order);
}

/** Reads an order to release results; undefined when it is malformed. */
export function decodeRelease(text: string): ReleaseOrder | undefined {
    return releaseSchema.safeParse(parseJson(text)).data;
}
