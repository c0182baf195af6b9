/** Encodes the events of an execution as lines or HTTP statuses, and decodes them (see docs/interfaces.md). */
import { z } from "zod";
import type { EngineEvent } from "./engine.js";

/**
 * Maximum output, in bytes of its JSON text. Encoding a number again can make it longer than it was in the line, and a
 * result above the maximum message size would close the link.
 */
const MAXIMUM_OUTPUT_BYTES = 1_048_576;

/** Counts and costs are limited to the range of a link message's fields; a value beyond it would close the link. */
const lineSchema = z.union([
    z.object({ started: z.literal(true), bootId: z.string(), cold: z.boolean() }),
    z.object({ index: z.uint32(), token: z.string() }),
    z.object({
        done: z.literal(true),
        output: z.unknown().refine(output => output !== undefined),
        tokens: z.uint32(),
        costMilliseconds: z.float32().min(0),
    }),
    z.object({ failed: z.string() }),
]);

/** HTTP status of an event that ends a call before the execution started; undefined for all others. */
export function statusOf(event: EngineEvent): number | undefined {
    if (event.kind === "notStarted") return 503;
    if (event.kind === "rejected") return 400;
    return event.kind === "failed" ? 500 : undefined;
}

/** The terminal event of a call that is answered with a status other than 200. */
export function eventOfStatus(status: number, message: string): EngineEvent {
    if (status === 429 || status === 503) return { kind: "notStarted", message };
    if (status === 400) return { kind: "rejected", message };
    return { kind: "failed", message };
}

/** Encodes an event as a line. Throws on events that are sent as an HTTP status or not at all. */
export function encodeEvent(event: EngineEvent): string {
    if (event.kind === "started") return JSON.stringify({ started: true, bootId: event.bootId, cold: event.cold });
    if (event.kind === "token") return JSON.stringify({ index: event.index, token: event.token });
    if (event.kind === "failed") return JSON.stringify({ failed: event.message });
    if (event.kind !== "completed") throw new Error(`event ${event.kind} cannot be encoded as a line`);
    const { tokens, costMilliseconds } = event;
    return `{"done":true,"output":${event.output},"tokens":${tokens},"costMilliseconds":${costMilliseconds}}`;
}

/** Decodes the event of a line. Returns undefined when the line is malformed. */
export function decodeEvent(line: string): EngineEvent | undefined {
    let json: unknown;
    try {
        json = JSON.parse(line);
    } catch {
        return undefined;
    }
    const parsed = lineSchema.safeParse(json);
    if (!parsed.success) return undefined;
    const fields = parsed.data;
    if ("started" in fields) return { kind: "started", bootId: fields.bootId, cold: fields.cold };
    if ("index" in fields) return { kind: "token", index: fields.index, token: fields.token };
    if ("failed" in fields) return { kind: "failed", message: fields.failed };
    const { tokens, costMilliseconds } = fields;
    const output = JSON.stringify(fields.output);
    if (Buffer.byteLength(output) > MAXIMUM_OUTPUT_BYTES) return undefined;
    return { kind: "completed", output, tokens, costMilliseconds };
}
