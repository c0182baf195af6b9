/** Open work in zones that go out of service: each entry counts its own and tells the others while a move is open. */
import type { EntryMember } from "../membership/index.js";
import type { Move } from "./move.js";
import type { EntryWork } from "./zonemove.js";

/** The part of an entry that counts and tells open work. */
export interface WorkCounter {
    countOpenWork(zone: string): number;
    openWorkOf(entry: string, incarnation: string, zone: string, version: number): number | undefined;
    /** Returns the number of entries that were told. */
    announceOpenWork(zones: readonly string[]): number;
}

const INTERVAL_MS = 1_000;

/** Time for each entry that is told; keeps 350 entries at 40 messages a second each. */
const INTERVAL_PER_PEER_MS = 25;

/** Tells the other entries the open work in the zones of open moves. Returns a function that ends this. */
export function reportOpenWork(counter: WorkCounter, openMoves: () => readonly Move[]): () => void {
    let told = 0;
    let toldAt = -Infinity;
    const timer = setInterval(() => {
        const leaving = openMoves().filter(({ plan }) => plan.kind === "zone" && plan.direction === "out");
        if (leaving.length === 0) return;
        if (performance.now() - toldAt < told * INTERVAL_PER_PEER_MS) return;
        toldAt = performance.now();
        told = counter.announceOpenWork(leaving.map(({ subject }) => subject));
    }, INTERVAL_MS);
    return () => {
        clearInterval(timer);
    };
}

/** Open work in a zone at this entry and at each other entry whose VM is not gone. */
export function listOpenWork(
    counter: WorkCounter,
    own: string,
    others: readonly EntryMember[],
    zone: string,
    version: number,
): readonly EntryWork[] {
    return [
        { entry: own, attempts: counter.countOpenWork(zone) },
        ...others
            .filter(({ name }) => name !== own)
            .map(({ name, incarnation }) => ({
                entry: name,
                attempts: counter.openWorkOf(name, incarnation, zone, version),
            })),
    ];
}
