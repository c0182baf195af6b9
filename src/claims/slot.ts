/**
 * Slots of a non-idempotent service. Each idempotency key hashes to one slot. Each slot has one owner, the agent that
 * admits and runs the slot's keys and records their outcomes. The slot table is one object in the store, changed by
 * conditional updates only.
 */
import { z } from "zod";

/** The owner of one slot. */
export interface SlotOwner {
    /** Name of the target whose agent owns the slot. */
    readonly target: string;
    readonly incarnation: string;
    /** Increases with each change of owner. */
    readonly epoch: number;
    /** Journals with claims of this slot, oldest first; the last one is the owner's. */
    readonly journals: readonly string[];
}

/** The slots of one service, by slot number. A slot without an owner is undefined here and null in JSON. */
export interface SlotTable {
    readonly service: string;
    readonly slots: readonly (SlotOwner | undefined)[];
}

/** Looks up the newest known slot tables. */
export interface SlotDirectory {
    /** The table of a service, if it is known. */
    find(service: string): SlotTable | undefined;
}

/** Store key of a service's slot table. */
export function slotTableKey(service: string): string {
    return `slots/${service}`;
}

/** JSON text of a table. */
export function encodeSlotTable(table: SlotTable): string {
    return JSON.stringify({ service: table.service, slots: table.slots.map(owner => owner ?? null) });
}

/** The table in a JSON text that `encodeSlotTable` made. */
export function decodeSlotTable(text: string): SlotTable {
    const parsed = JSON.parse(text) as { service: string; slots: (SlotOwner | null)[] };
    return { service: parsed.service, slots: parsed.slots.map(owner => owner ?? undefined) };
}

const ownerSchema = z.object({
    target: z.string(),
    incarnation: z.string(),
    epoch: z.int().min(0),
    // Without this check, a reference whose count is not a number would be read as a journal without segments.
    journals: z.array(z.string().regex(/^[^:]+(:\d+)?$/)),
});

const tableSchema = z.object({ service: z.string(), slots: z.array(ownerSchema.nullable()) });

/** The table in a stored text; undefined if the text is malformed, which no agent writes. */
export function parseSlotTable(text: string): SlotTable | undefined {
    try {
        return tableSchema.safeParse(JSON.parse(text)).success ? decodeSlotTable(text) : undefined;
    } catch {
        return undefined;
    }
}
