/**
 * Who is present: the targets with their agents, and the entries. Filled from the store's `members/` objects; first-hand
 * contact over links decides whether one that is present can be used.
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

/** The present members, as one immutable value. */
export interface Membership {
    readonly targets: readonly Target[];
    readonly entries: readonly EntryMember[];
}

/** Where members are looked up. */
export interface Directory {
    readonly current: Membership;
    /** Calls the listener after each change. Returns a function that ends this. */
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
