/** Messages of a relay to its followers: lines of JSON in the body of one long response. */
import { z } from "zod";
import { parseJson } from "../model/json.js";
import type { StoredObject, StoreEvent } from "../store/index.js";
import type { ChangeStep, Listed } from "./mirror.js";

/** Path of the interface between gateways on which a relay is followed. */
export const CHANGES_PATH = "/changes";

/** Interval in milliseconds at which a relay says how recent its knowledge is. */
export const CONFIRM_INTERVAL_MS = 200;

const objectSchema = z.object({
    key: z.string(),
    version: z.int(),
    value: z.string(),
    status: z.string().optional(),
});

const listedSchema = z.object({
    kind: z.literal("listed"),
    prefix: z.string(),
    objects: z.array(objectSchema),
    revision: z.int(),
    era: z.int(),
    ageMs: z.number().nonnegative(),
});

const changedSchema = z.object({
    kind: z.literal("changed"),
    prefix: z.string(),
    events: z.array(z.object({ key: z.string(), object: objectSchema.optional() })),
    from: z.int(),
    revision: z.int(),
    era: z.int(),
    ageMs: z.number().nonnegative(),
});

const confirmedSchema = z.object({
    kind: z.literal("confirmed"),
    ages: z.record(z.string(), z.number().nonnegative()),
});

const messageSchema = z.discriminatedUnion("kind", [listedSchema, changedSchema, confirmedSchema]);

/** A message. `ageMs` is the time in milliseconds since the store has confirmed the state. */
export type RelayMessage =
    | (Listed & { readonly prefix: string; readonly ageMs: number })
    | (ChangeStep & { readonly kind: "changed"; readonly prefix: string; readonly ageMs: number })
    /** Nothing else has changed; the ages by prefix. */
    | { readonly kind: "confirmed"; readonly ages: Readonly<Record<string, number>> };

/** Encodes a message as a line. */
export function encodeMessage(message: RelayMessage): string {
    return `${JSON.stringify(message)}\n`;
}

/** Decodes a line; undefined if it is malformed. */
export function decodeMessage(line: string): RelayMessage | undefined {
    const message = messageSchema.safeParse(parseJson(line)).data;
    switch (message?.kind) {
        case undefined:
            return undefined;
        case "listed":
            return { ...message, objects: message.objects.map(toObject) };
        case "changed":
            return { ...message, events: message.events.map(toEvent) };
        case "confirmed":
            return message;
    }
}

function toObject({ status, ...object }: z.infer<typeof objectSchema>): StoredObject {
    return status === undefined ? object : { ...object, status };
}

function toEvent({ key, object }: z.infer<typeof changedSchema>["events"][number]): StoreEvent {
    return object === undefined ? { key } : { key, object: toObject(object) };
}
