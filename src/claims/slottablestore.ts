/**
 * Reads and changes the slot table of one service in the store, on behalf of one agent.
 *
 * A released slot keeps its epoch and its journals, and has no target. The last journal of an owned slot belongs to its
 * owner, and its name is also the owner's id.
 */
import { pause } from "../model/pause.js";
import type { Store, StoreEra } from "../store/index.js";
import { decodeReference } from "./segment.js";
import { encodeSlotTable, parseSlotTable, type SlotOwner, type SlotTable, slotTableKey } from "./slot.js";

/** Attempts at one change while other agents change the table as well. */
const MAXIMUM_ATTEMPTS = 20;

/** Shortest and longest pause after a conflict, in milliseconds; random, so that the agents do not conflict again. */
const SHORTEST_PAUSE_MS = 10;
const LONGEST_PAUSE_MS = 100;

/** Id of a slot's owner; empty for a released slot. */
export function ownerId(owner: SlotOwner): string {
    return owner.target === "" ? "" : decodeReference(owner.journals.at(-1) ?? "").journal;
}

/** The slot table of one service. */
export class SlotTableStore {
    private newest: { readonly table: SlotTable; readonly version: number; readonly era: StoreEra } | undefined;

    private constructor(
        private readonly store: Store,
        private readonly service: string,
    ) {}

    /** A store whose table was not read yet. */
    static create(store: Store, service: string): SlotTableStore {
        return new SlotTableStore(store, service);
    }

    /** The newest table that was read or written. */
    get latest(): SlotTable | undefined {
        return this.newest?.table;
    }

    /** Numbers of the slots that the newest known table assigns to an owner. */
    slotsOwnedBy(id: string): readonly number[] {
        const slots = [...(this.latest?.slots.entries() ?? [])];
        return slots.filter(([, owner]) => owner !== undefined && ownerId(owner) === id).map(([slot]) => slot);
    }

    /**
     * Reads the table; if there is none, returns one with `slots` free slots. Undefined if the store does not answer,
     * or if the table that it returns is stale or malformed.
     */
    async read(slots: number): Promise<SlotTable | undefined> {
        const read = await this.store.read(slotTableKey(this.service));
        if (read.kind === "unavailable") return undefined;
        const version = read.kind === "found" ? read.object.version : 0;
        const { newest } = this;
        if (newest !== undefined && (read.era < newest.era || (read.era === newest.era && version < newest.version))) {
            return undefined;
        }
        const table =
            read.kind === "found"
                ? parseSlotTable(read.object.value)
                : { service: this.service, slots: Array.from({ length: slots }, () => undefined) };
        if (table !== undefined) this.newest = { table, version, era: read.era };
        return table;
    }

    /**
     * Changes the slots by a conditional update, and retries on the newest table after a conflict. Returns the changed
     * table, or undefined if the store does not answer or all attempts fail.
     */
    async change(update: (table: SlotTable) => readonly (SlotOwner | undefined)[]): Promise<SlotTable | undefined> {
        for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS && this.newest !== undefined; attempt += 1) {
            const { table, version } = this.newest;
            const next: SlotTable = { service: table.service, slots: update(table) };
            if (next.slots.every((owner, slot) => owner === table.slots[slot])) return table;
            const outcome = await this.store.write(slotTableKey(this.service), encodeSlotTable(next), version);
            if (outcome.kind === "written") {
                this.newest = { table: next, version: outcome.version, era: outcome.era };
                return next;
            }
            if (outcome.kind === "unavailable") return undefined;
            await pause(SHORTEST_PAUSE_MS + Math.random() * (LONGEST_PAUSE_MS - SHORTEST_PAUSE_MS));
            // After a lost answer, this read shows whether the change took effect.
            await this.read(table.slots.length);
        }
        return undefined;
    }
}
