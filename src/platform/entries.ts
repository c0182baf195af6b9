/**
 * Decodes the objects of the platform's store. Another writer may leave an odd entry among them, so each one is decoded
 * by itself: an odd one must not cost the others.
 */
import { z } from "zod";
import type { StoredObject, StoreEvent } from "../store/index.js";

/** Deepest nesting of a value that is read; configurations have fewer than ten levels. `JSON.stringify` is recursive. */
const MAXIMUM_DEPTH = 64;

/** Longest value that is read, in characters; the store takes objects of 1,048,576 bytes. */
const MAXIMUM_VALUE_LENGTH = 2_097_152;

/** Value of an object that has a name but cannot be read; no decoder accepts it. */
const UNREADABLE = "";

/** Longest name that is read, in characters; names are part of paths and log lines. */
const MAXIMUM_NAME_LENGTH = 1_000;

/** Maximum number of entries without a name that are remembered as reported. */
const MAXIMUM_REPORTED = 1_000;

// A path cannot hold half of a surrogate pair, and "." and ".." are no names in it.
const nameSchema = z
    .string()
    .min(1)
    .max(MAXIMUM_NAME_LENGTH)
    .regex(/^(?!\.{1,2}$)\P{Surrogate}*$/u);
const namedSchema = z.object({
    Metadata: z.object({ Name: nameSchema, Revision: z.unknown().optional() }),
    Spec: z.unknown().optional(),
    Status: z.unknown().optional(),
});
const revisionSchema = z.int().min(0);
const eventSchema = z.object({ Object: z.unknown(), Deleted: z.unknown().optional() });

/** Decodes one object; undefined without a name and a revision. */
export function decodeObject(kind: string, body: unknown): StoredObject | undefined {
    return revisionOf(body) === undefined ? undefined : decodeEntry(kind, body, 0);
}

/** The revision of an object; undefined if it cannot be read. */
export function revisionOf(body: unknown): number | undefined {
    return revisionSchema.safeParse(namedSchema.safeParse(body).data?.Metadata.Revision).data;
}

/** Reads the entries of lists and watches and reports those that have no name, each once. */
export class EntryReader {
    private readonly reported = new Set<string>();

    private constructor(private readonly onIgnored: (kind: string, reason: string) => void) {}

    static create(onIgnored: (kind: string, reason: string) => void): EntryReader {
        return new EntryReader(onIgnored);
    }

    /** The objects of a page that was read at a revision, and the last name on it, from which the list continues. */
    readPage(
        kind: string,
        entries: readonly unknown[],
        at: number,
    ): { readonly objects: readonly StoredObject[]; readonly lastName: string | undefined } {
        // An object whose revision cannot be read is no newer than the page.
        const objects = entries.flatMap(entry => decodeEntry(kind, entry, at) ?? this.ignore(kind, entry));
        return { objects, lastName: objects.at(-1)?.key.slice(kind.length + 1) };
    }

    /** The events of a watch that was answered at a revision. */
    readEvents(kind: string, events: readonly unknown[], at: number): readonly StoreEvent[] {
        // An object whose revision cannot be read is older than those that follow it.
        let latest = at;
        const decoded = [...events].reverse().flatMap((event): readonly StoreEvent[] => {
            const { Object: body, Deleted: deleted = false } = eventSchema.safeParse(event).data ?? {};
            const object = decodeEntry(kind, body, latest);
            if (object === undefined) return this.ignore(kind, body);
            const { key } = object;
            if (deleted === true) return [{ key }];
            latest = Math.min(latest, object.version - 1);
            return [{ key, object: deleted === false ? object : { ...object, value: UNREADABLE } }];
        });
        return decoded.reverse();
    }

    private ignore(kind: string, entry: unknown): readonly [] {
        const name = z.object({ Metadata: z.object({ Name: z.unknown() }) }).safeParse(entry).data?.Metadata.Name;
        const reason = typeof name === "string" ? `name cannot be used: ${name.slice(0, 80)}` : "no name";
        const text = `${kind} ${reason}`;
        if (this.reported.has(text) || this.reported.size >= MAXIMUM_REPORTED) return [];
        this.reported.add(text);
        this.onIgnored(kind, reason);
        return [];
    }
}

/** Decodes an entry; undefined without a name. One without a revision gets `fallbackVersion`, and its value cannot be read. */
function decodeEntry(kind: string, entry: unknown, fallbackVersion: number): StoredObject | undefined {
    const parsed = namedSchema.safeParse(entry);
    if (!parsed.success) return undefined;
    const { Metadata, Spec, Status } = parsed.data;
    const key = `${kind}/${Metadata.Name}`;
    const version = revisionSchema.safeParse(Metadata.Revision).data;
    if (version === undefined) return { key, version: fallbackVersion, value: UNREADABLE };
    const object = { key, version, value: encodeValue(Spec ?? null) };
    return Status === undefined ? object : { ...object, status: encodeValue(Status) };
}

function encodeValue(value: unknown): string {
    if (!isNestedWithin(value, MAXIMUM_DEPTH)) return UNREADABLE;
    const text = JSON.stringify(value);
    return text.length > MAXIMUM_VALUE_LENGTH ? UNREADABLE : text;
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
