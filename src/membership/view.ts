/** Members and slot tables, decoded from watched copies of the store's `members/` and `slots/` objects. */
import { z } from "zod";
import { parseSlotTable, type SlotDirectory, type SlotTable } from "../claims/index.js";
import type { Target } from "../model/index.js";
import { parseJson } from "../model/json.js";
import type { StoredObject, StoreEvent } from "../store/index.js";
import type { Directory, EntryMember, Membership } from "./directory.js";

/** Prefixes of the store keys that the views follow. */
export const MEMBERS_PREFIX = "members/";
export const SLOTS_PREFIX = "slots/";

/** A watched copy of the objects below a prefix, such as a `StoreView`. */
export interface ObjectView {
    readonly objects: ReadonlyMap<string, StoredObject>;
    subscribe(listener: (event: StoreEvent) => void): () => void;
}

const entrySchema: z.ZodType<EntryMember> = z.object({
    name: z.string(),
    zone: z.string(),
    vm: z.string(),
    address: z.string(),
    incarnation: z.string(),
});

const targetSchema: z.ZodType<Target> = z.object({
    name: z.string(),
    service: z.string(),
    version: z.string(),
    zone: z.string(),
    vm: z.string(),
    address: z.string(),
    incarnation: z.string(),
});

/** The members in a view. Objects that are not valid members are ignored. */
export class MembershipView implements Directory {
    private readonly targets = new Map<string, Target>();
    private readonly entries = new Map<string, EntryMember>();
    private readonly listeners = new Set<(membership: Membership) => void>();
    private membership: Membership = { targets: [], entries: [] };
    private outdated = false;

    private constructor() {}

    /** Follows a view of `members/`, which the caller starts and stops. */
    static of(view: ObjectView): MembershipView {
        const members = new MembershipView();
        for (const [key, object] of view.objects) members.apply({ key, object });
        view.subscribe(event => {
            members.apply(event);
        });
        return members;
    }

    get current(): Membership {
        if (this.outdated) {
            this.membership = { targets: [...this.targets.values()], entries: [...this.entries.values()] };
            this.outdated = false;
        }
        return this.membership;
    }

    subscribe(listener: (membership: Membership) => void): () => void {
        this.listeners.add(listener);
        return () => {
            this.listeners.delete(listener);
        };
    }

    private apply({ key, object }: StoreEvent): void {
        const value = object === undefined ? undefined : parseJson(object.value);
        if (key.startsWith(`${MEMBERS_PREFIX}agents/`)) replace(this.targets, key, targetSchema, value);
        else if (key.startsWith(`${MEMBERS_PREFIX}entries/`)) replace(this.entries, key, entrySchema, value);
        this.scheduleNotice();
    }

    /** Notifies once for all changes of a turn, since the initial list of a large system has thousands of members. */
    private scheduleNotice(): void {
        if (this.outdated) return;
        this.outdated = true;
        queueMicrotask(() => {
            for (const listener of this.listeners) listener(this.current);
        });
    }
}

/** The slot tables in a view. */
export class SlotView implements SlotDirectory {
    private readonly tables = new Map<string, SlotTable>();

    private constructor() {}

    /** Follows a view of `slots/`, which the caller starts and stops. */
    static of(view: ObjectView): SlotView {
        const slots = new SlotView();
        for (const [key, object] of view.objects) slots.apply({ key, object });
        view.subscribe(event => {
            slots.apply(event);
        });
        return slots;
    }

    find(service: string): SlotTable | undefined {
        return this.tables.get(service);
    }

    private apply({ key, object }: StoreEvent): void {
        const service = key.slice(SLOTS_PREFIX.length);
        const table = object === undefined ? undefined : parseSlotTable(object.value);
        if (table !== undefined) this.tables.set(service, table);
        else if (object === undefined) this.tables.delete(service);
    }
}

function replace<Value>(members: Map<string, Value>, key: string, schema: z.ZodType<Value>, value: unknown): void {
    const parsed = schema.safeParse(value);
    if (parsed.success) members.set(key, parsed.data);
    else members.delete(key);
}
