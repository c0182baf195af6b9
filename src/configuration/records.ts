/**
 * Validates records received from the store or a peer. A record that a process cannot use must not come into force,
 * since the configuration never reverts to an earlier version.
 *
 * Records of unknown kinds are accepted: a newer process may have written them, and nothing here reads them.
 */
import { z } from "zod";
import type { ConfigurationChange, ConfigurationRecord, RecordKind } from "./configuration.js";

const text = z.string();
const count = z.int().min(0);

const stage = z.object({
    name: text,
    service: text,
    operation: text,
    idempotent: z.boolean(),
    streaming: z.boolean(),
    maximumTokens: count,
    costMilliseconds: z.number(),
});

const valueSchemas: Readonly<Record<RecordKind, z.ZodType>> = {
    account: z.object({ name: text, plan: text, keyHash: text }),
    plan: z.object({ name: text, pipelines: z.array(text), stages: z.array(text), share: z.number() }),
    service: z.object({
        name: text,
        kind: z.enum(["engine", "plain"]),
        slots: count,
        whenStoreUnavailable: z.enum(["refuse", "continue"]),
        fencing: z.enum(["enforced", "ignored"]),
        concurrency: count,
        coldConcurrency: count,
    }),
    pipeline: z.object({ name: text, stages: z.array(stage) }),
    zone: z.object({ name: text, state: z.enum(["in", "out"]) }),
    traffic: z.object({
        service: text,
        stable: text,
        candidate: z.object({ version: text, fraction: z.number() }).optional(),
    }),
    budget: z.object({ millisecondsPerSecond: z.number() }),
};

const recordSchema = z.object({ kind: text, name: text, value: z.unknown() }).refine(({ kind, value }) => {
    if (!Object.hasOwn(valueSchemas, kind)) return true;
    return valueSchemas[kind as RecordKind].safeParse(value).success;
});

const recordsSchema = z.array(recordSchema);

const changeSchema = z.object({
    version: z.int().min(1),
    id: text,
    author: text,
    set: recordsSchema,
    removed: z.array(z.object({ kind: text, name: text })),
});

/** The records in a JSON text; undefined if it is malformed. */
export function parseRecords(json: string): readonly ConfigurationRecord[] | undefined {
    const value = parseJson(json);
    return recordsSchema.safeParse(value).success ? (value as readonly ConfigurationRecord[]) : undefined;
}

/** The change in a JSON text; undefined if it is malformed. */
export function parseChange(json: string): ConfigurationChange | undefined {
    const value = parseJson(json);
    return changeSchema.safeParse(value).success ? (value as ConfigurationChange) : undefined;
}

function parseJson(json: string): unknown {
    try {
        return JSON.parse(json);
    } catch {
        return undefined;
    }
}
