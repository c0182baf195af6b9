/** The stored form of a lease, and conditional writes of it. */
import { randomBytes } from "node:crypto";
import { z } from "zod";
import { parseJson } from "../model/json.js";
import { pause } from "../model/pause.js";
import type { Store, StoreEra, WriteOutcome } from "./store.js";

const recordSchema = z.object({
    /** Empty after a release. */
    holder: z.string(),
    incarnation: z.string(),
    /** See `nextFencing`. */
    fencing: z.int().min(1),
    durationMs: z.number().positive(),
    /** Unique per write, so that the writer can recognise its own write when the response was lost. */
    renewal: z.string(),
    /** Era of the version on which the write was conditional. In a later era, the record may hide later ones. */
    era: z.int().min(0).default(0),
});

/** The stored form of a lease. */
export type LeaseRecord = Readonly<z.infer<typeof recordSchema>>;

/** Retries after a failed call, and reads by a candidate, per duration. */
export const ATTEMPTS_PER_DURATION = 10;

/** The record in a value; undefined if it is not one. */
export function parseRecord(value: string): LeaseRecord | undefined {
    return recordSchema.safeParse(parseJson(value)).data;
}

/** Exceeds all versions, so that the numbers of an era exceed those of earlier ones. */
const FENCING_NUMBERS_PER_ERA = 2 ** 32;

/**
 * Fencing number of a holder that replaces `record`, if there is one, at `version`. A store that names no era has lost no
 * number, so that counting is enough. Otherwise the last number may be lost; the number is then composed of the era and the
 * version, which no two writes of one era have in common.
 */
export function nextFencing(record: LeaseRecord | undefined, era: StoreEra, version: number): number {
    const lowest = era === 0 ? 1 : era * FENCING_NUMBERS_PER_ERA + version + 1;
    return Math.max((record?.fencing ?? 0) + 1, lowest);
}

/** An identifier of one write. */
export function createRenewal(): string {
    return randomBytes(8).toString("hex");
}

/**
 * Writes a record. If the response is lost, finds out whether the write took effect: a read that shows the version
 * before the write may be stale, so the write is repeated, and conflicts if the first one took effect.
 *
 * Once the store is in another era than the record, the outcome is `conflict`: the expected version may have been given
 * out again, so that neither a higher version nor a successful write proves anything.
 */
export async function writeRecord(
    { store, key }: { readonly store: Store; readonly key: string },
    record: LeaseRecord,
    expectedVersion: number,
    deadline: number,
): Promise<WriteOutcome> {
    const value = JSON.stringify(record);
    let outcome = await store.write(key, value, expectedVersion);
    let inDoubt = outcome.kind === "unknown";
    while (inDoubt && performance.now() < deadline) {
        const read = await store.read(key);
        if (read.kind !== "unavailable" && read.era !== record.era) return { kind: "conflict" };
        const version = read.kind === "found" ? read.object.version : 0;
        if (read.kind === "found" && version > expectedVersion) {
            const isOwn = parseRecord(read.object.value)?.renewal === record.renewal;
            return isOwn ? { kind: "written", version, era: read.era } : { kind: "conflict" };
        }
        if (read.kind !== "unavailable") outcome = await store.write(key, value, expectedVersion);
        inDoubt = outcome.kind !== "written";
        if (inDoubt) await pause(record.durationMs / ATTEMPTS_PER_DURATION);
    }
    if (inDoubt) return { kind: "unknown", message: "no answer to the write" };
    return outcome.kind === "written" && outcome.era !== record.era ? { kind: "conflict" } : outcome;
}
