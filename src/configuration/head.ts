/**
 * Store keys of the change log, and its head: the object that holds the highest version reported as accepted.
 *
 * The head is only written conditionally, and its version never decreases. A conditional write fails after a stale
 * read, so a successful write proves that the process read the newest head.
 */
import type { Store } from "../store/index.js";
import type { ConfigurationChange } from "./configuration.js";
import { parseChange } from "./records.js";

/** Store key of the head. */
export const HEAD_KEY = "configuration/head";

/** A snapshot is written with each change whose version is a multiple of this. */
export const SNAPSHOT_INTERVAL = 64;

/** Store key of a change. */
export function changeKey(version: number): string {
    return `configuration/changes/${String(version).padStart(12, "0")}`;
}

/** Store key of a snapshot. */
export function snapshotKey(version: number): string {
    return `configuration/snapshots/${String(version).padStart(12, "0")}`;
}

/** Outcome of one attempt to raise the head. */
export type HeadOutcome =
    /** The read was not stale. The head is now at `version`, which is at least the requested version. */
    | { readonly kind: "confirmed"; readonly version: number }
    /** The read was stale, another process wrote at the same time, or the response was lost. */
    | { readonly kind: "retry" }
    | { readonly kind: "unavailable"; readonly message: string };

/**
 * Raises the head to `version` by one conditional write. A head that is already higher is rewritten unchanged, which
 * proves that the read was not stale.
 */
export async function raiseHead(store: Store, version: number): Promise<HeadOutcome> {
    const read = await store.read(HEAD_KEY);
    if (read.kind === "unavailable") return read;
    const objectVersion = read.kind === "found" ? read.object.version : 0;
    const newVersion = Math.max(version, read.kind === "found" ? decodeHead(read.object.value) : 0);
    const written = await store.write(HEAD_KEY, encodeHead(newVersion), objectVersion);
    switch (written.kind) {
        case "written":
            return { kind: "confirmed", version: newVersion };
        case "unavailable":
            return written;
        case "conflict":
        case "unknown":
            return { kind: "retry" };
    }
}

/** The version in a head object; 0, which has no effect, if it is malformed. */
export function decodeHead(value: string): number {
    const version = (parseObject(value) as { readonly version?: unknown } | undefined)?.version;
    return typeof version === "number" && Number.isSafeInteger(version) && version > 0 ? version : 0;
}

/**
 * Decodes the change in an object of the log. Undefined if it is malformed or has another version; the process then
 * keeps its configuration, as it does while the store is unavailable.
 */
export function decodeChange(value: string, version: number): ConfigurationChange | undefined {
    const change = parseChange(value);
    return change?.version === version ? change : undefined;
}

function parseObject(text: string): unknown {
    try {
        return JSON.parse(text);
    } catch {
        return undefined;
    }
}

function encodeHead(version: number): string {
    return JSON.stringify({ version });
}
