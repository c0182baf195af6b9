/**
 * A process's own member object: written when the process starts, removed when it stops.
 *
 * The process that started last under a name owns the object. A write repeats until the store takes it; a removal
 * leaves the object of another incarnation alone.
 */
import { pause } from "../model/pause.js";
import type { Store } from "../store/index.js";
import { type EntryMember, entryMemberKey } from "./directory.js";

const RETRY_PAUSE_MS = 250;

/** Tries to remove the object at a stop; what remains is replaced when the name starts again. */
const REMOVAL_TRIES = 3;

/** Options of a member. */
export interface MemberRegistrationOptions {
    readonly store: Store;
    readonly key: string;
    /** JSON text with an `incarnation`. */
    readonly value: string;
    readonly incarnation: string;
}

/** One process's member object. */
export class MemberRegistration {
    /** Resolves when the store holds the object, or when the member was withdrawn before that. */
    readonly published: Promise<void>;
    private withdrawn = false;

    private constructor(private readonly options: MemberRegistrationOptions) {
        this.published = this.publish();
    }

    /** Begins to write the object. It goes on by itself while the store is unavailable. */
    static start(options: MemberRegistrationOptions): MemberRegistration {
        return new MemberRegistration(options);
    }

    /** Begins to write an entry's member object. */
    static startEntry(store: Store, entry: EntryMember): MemberRegistration {
        const { name, incarnation } = entry;
        return MemberRegistration.start({
            store,
            key: entryMemberKey(name),
            value: JSON.stringify(entry),
            incarnation,
        });
    }

    /** Stops writing and leaves the object as it is, as the death of the process would. */
    abandon(): void {
        this.withdrawn = true;
    }

    /** Removes the object if it is this incarnation's. Gives up after a few tries while the store is unavailable. */
    async deregister(): Promise<void> {
        this.withdrawn = true;
        await this.published;
        for (let attempt = 0; attempt < REMOVAL_TRIES; attempt += 1) {
            if (attempt > 0) await pause(RETRY_PAUSE_MS);
            const read = await this.options.store.read(this.options.key);
            if (read.kind === "unavailable") continue;
            if (read.kind === "missing" || !this.owns(read.object.value)) return;
            const removed = await this.options.store.remove(this.options.key, read.object.version);
            if (removed.kind === "written") return;
        }
    }

    private async publish(): Promise<void> {
        while (!this.withdrawn) {
            if (await this.write()) return;
            await pause(RETRY_PAUSE_MS);
        }
    }

    /** A lost answer needs no care here: the next try reads the object and finds it written. */
    private async write(): Promise<boolean> {
        const { store, key, value } = this.options;
        const read = await store.read(key);
        if (read.kind === "unavailable") return false;
        if (read.kind === "found" && read.object.value === value) return true;
        const written = await store.write(key, value, read.kind === "found" ? read.object.version : 0);
        return written.kind === "written";
    }

    private owns(value: string): boolean {
        try {
            const member = JSON.parse(value) as { readonly incarnation?: unknown } | null;
            return member?.incarnation === this.options.incarnation;
        } catch {
            return false;
        }
    }
}
