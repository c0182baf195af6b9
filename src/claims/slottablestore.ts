/**
 * The slot table of one service in the store, as one agent reads and changes it.
 *
 * A released slot keeps its epoch and its journals, and names no target. The last journal of an owned slot is its
 * owner's, whose name is also the owner's id.
 */
import { pause } from "../model/pause.js";
import type { Store } from "../store/index.js";
import { decodeReference } from "./segment.js";
import { encodeSlotTable, parseSlotTable, type SlotOwner, type SlotTable, slotTableKey } from "./slot.js";

/** Tries of one change while other agents change the table as well. */
const MAXIMUM_TRIES = 20;

/** Shortest and longest pause after a conflict, in milliseconds; random, so that agents do not meet again. */
const SHORTEST_PAUSE_MS = 10;
const LONGEST_PAUSE_MS = 100;

/** Id of a slot's owner. */
export function ownerId(owner: SlotOwner): string {
    return owner.target === "" ? "" : decodeReference(owner.journals.at(-1) ?? "").journal;
}

/** The slot table of one service. */
export class SlotTableStore {
    private newest: { readonly table: SlotTable; readonly version: number } | undefined;

    private constructor(
        private readonly store: Store,
        private readonly service: string,
    ) {}

    /** A table that was not read yet. */
    static create(store: Store, service: string): SlotTableStore {
        return new SlotTableStore(store, service);
    }

    /** The newest table that was read or written. */
    get known(): SlotTable | undefined {
        return this.newest?.table;
    }

    /** Slots that the newest known table assigns to an owner. */
    owned(id: string): readonly number[] {
        const slots = [...(this.known?.slots.entries() ?? [])];
        return slots.filter(([, owner]) => owner !== undefined && ownerId(owner) === id).map(([slot]) => slot);
    }

    /**
     * The table; one with `slots` free slots when there is none. Undefined without an answer, or with one that is old
     * or malformed.
     */
    async read(slots: number): Promise<SlotTable | undefined> {
        const read = await this.store.read(slotTableKey(this.service));
        if (read.kind === "unavailable") return undefined;
        const version = read.kind === "found" ? read.object.version : 0;
        if (version < (this.newest?.version ?? 0)) return undefined;
        const table =
            read.kind === "found"
                ? parseSlotTable(read.object.value)
                : { service: this.service, slots: Array.from({ length: slots }, () => undefined) };
        if (table !== undefined) this.newest = { table, version };
        return table;
    }

    /**
     * Changes the slots by a conditional update, again on the newest table after a conflict. Returns the table after
     * the change, or undefined when the store does not answer or the change did not succeed in time.
     */
    async change(update: (table: SlotTable) => readonly (SlotOwner | undefined)[]): Promise<SlotTable | undefined> {
        for (let attempt = 0; attempt < MAXIMUM_TRIES && this.newest !== undefined; attempt += 1) {
            const { table, version } = this.newest;
            const next: SlotTable = { service: table.service, slots: update(table) };
            if (next.slots.every((owner, slot) => owner === table.slots[slot])) return table;
            const outcome = await this.store.write(slotTableKey(this.service), encodeSlotTable(next), version);
            if (outcome.kind === "written") {
                this.newest = { table: next, version: outcome.version };
                return next;
            }
            if (outcome.kind === "unavailable") return undefined;
            await pause(SHORTEST_PAUSE_MS + Math.random() * (LONGEST_PAUSE_MS - SHORTEST_PAUSE_MS));
            // After a lost answer the table that is read shows whether the change took effect.
            await this.read(table.slots.length);
        }
        return undefined;
    }
}
