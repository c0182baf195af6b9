/**
 * A process's own member object in the store: written when the process starts, removed when it stops.
 *
 * The process that started last under a name owns the object. A write is retried until it succeeds; a removal does not
 * touch the object of another incarnation.
 */
import { pause } from "../model/pause.js";
import type { Store } from "../store/index.js";
import { type EntryMember, entryMemberKey } from "./directory.js";

const RETRY_PAUSE_MS = 250;

/** Attempts to remove the object at a stop; the next process of that name replaces a remaining object. */
const REMOVAL_TRIES = 3;

/** Options of a registration. */
export interface MemberRegistrationOptions {
    readonly store: Store;
    readonly key: string;
    /** JSON object with the field `incarnation`. */
    readonly value: string;
    readonly incarnation: string;
}

/** One process's member object. */
export class MemberRegistration {
    /** Resolves when the store holds the object, or when the registration was ended before that. */
    readonly published: Promise<void>;
    private withdrawn = false;

    private constructor(private readonly options: MemberRegistrationOptions) {
        this.published = this.publish();
    }

    /** Starts to write the object, and retries in the background while the store is unavailable. */
    static start(options: MemberRegistrationOptions): MemberRegistration {
        return new MemberRegistration(options);
    }

    /** Starts to write an entry's member object. */
    static startEntry(store: Store, entry: EntryMember): MemberRegistration {
        const { name, incarnation } = entry;
        return MemberRegistration.start({
            store,
            key: entryMemberKey(name),
            value: JSON.stringify(entry),
            incarnation,
        });
    }

    /** Stops writing without removing the object, as a crash of the process would. */
    abandon(): void {
        this.withdrawn = true;
    }

    /** Removes the object if it is this incarnation's. Gives up after a few attempts while the store is unavailable. */
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

    /** A write whose response was lost needs no special handling: the next attempt reads the written object. */
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
