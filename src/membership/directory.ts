/**
 * The targets and entries that are registered in the store's `members/` objects. Whether a registered member can be
 * used is decided by the link to it.
 */
import type { Target } from "../model/index.js";

/** An entry that accepts links. */
export interface EntryMember {
    readonly name: string;
    readonly zone: string;
    readonly vm: string;
    /** Link address (host:port). */
    readonly address: string;
    readonly incarnation: string;
}

/** An immutable snapshot of the registered members. */
export interface Membership {
    readonly targets: readonly Target[];
    readonly entries: readonly EntryMember[];
}

/** The current membership and its changes. */
export interface Directory {
    readonly current: Membership;
    /** Calls the listener after each change. Returns a function that unsubscribes it. */
    subscribe(listener: (membership: Membership) => void): () => void;
}

/** Store key of a target's member object; the value is a `Target` as JSON. */
export function targetMemberKey(name: string): string {
    return `members/agents/${name}`;
}

/** Store key of an entry's member object; the value is an `EntryMember` as JSON. */
export function entryMemberKey(name: string): string {
    return `members/entries/${name}`;
}
