/**
 * Decodes the objects of the platform's store. Another writer may leave an odd entry among them, so each one is decoded
 * by itself: an odd one must not cost the others.
 */
import { z } from "zod";
import type { StoredObject } from "../store/index.js";

/** Deepest nesting of a value that is read; configurations have fewer than ten levels. `JSON.stringify` is recursive. */
const MAXIMUM_DEPTH = 64;

const objectSchema = z.object({
    Metadata: z.object({ Name: z.string(), Revision: z.int() }),
    Spec: z.unknown().optional(),
    Status: z.unknown().optional(),
});

/** Decodes an object of a kind. A value that is nested too deeply is empty. */
export function decodeObject(kind: string, body: unknown): StoredObject | undefined {
    const parsed = objectSchema.safeParse(body);
    if (!parsed.success) return undefined;
    const { Metadata, Spec, Status } = parsed.data;
    const object = { key: `${kind}/${Metadata.Name}`, version: Metadata.Revision, value: encodeValue(Spec ?? null) };
    return Status === undefined ? object : { ...object, status: encodeValue(Status) };
}

function encodeValue(value: unknown): string {
    return isNestedWithin(value, MAXIMUM_DEPTH) ? JSON.stringify(value) : "";
}

function isNestedWithin(value: unknown, maximumDepth: number): boolean {
    let level = [value].filter(isContainer);
    for (let depth = 0; level.length > 0; depth += 1) {
        if (depth >= maximumDepth) return false;
        level = level.flatMap(container => Object.values(container).filter(isContainer));
    }
    return true;
}

function isContainer(value: unknown): value is object {
    return typeof value === "object" && value !== null;
}
