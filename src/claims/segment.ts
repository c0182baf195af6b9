/**
 * Records of a claim journal and the segment objects that hold them.
 *
 * A journal is a chain of segments. A sealed segment is never written again by its owner; a closed one ends the chain,
 * so that its owner cannot commit anything after it.
 */
import { z } from "zod";
import type { StageOutcome } from "../model/index.js";

/** One record of a journal. */
export interface JournalRecord {
    /** Unique id of the claim; its result and its release carry the same. */
    readonly claim: string;
    /** `claim` precedes a run; `released` takes a claim back that never ran. */
    readonly kind: "claim" | "result" | "released";
    readonly slot: number;
    /** Hash of account, idempotency key and stage. */
    readonly key: string;
    /** Wall clock in milliseconds; used for retention only, which is counted in hours. */
    readonly at: number;
    /** Results only. */
    readonly outcome?: StageOutcome;
}

/** Contents of one segment object. */
export interface Segment {
    /** Unique id of the last commit, by which its author recognises a write whose answer was lost. */
    readonly commit: string;
    readonly sealed: boolean;
    /** The successor that ended the journal here; empty while it goes on. */
    readonly closedBy: string;
    readonly records: readonly JournalRecord[];
}

/** A segment without records. */
export const EMPTY_SEGMENT: Segment = { commit: "", sealed: false, closedBy: "", records: [] };

/** Store key of a segment. */
export function segmentKey(service: string, journal: string, index: number): string {
    return `claims/${service}/${journal}/${String(index).padStart(8, "0")}`;
}

/** JSON text of a segment. */
export function encodeSegment(segment: Segment): string {
    return JSON.stringify(segment);
}

/** The segment in a JSON text that `encodeSegment` made. */
export function decodeSegment(text: string): Segment {
    return JSON.parse(text) as Segment;
}

const recordSchema = z.object({
    claim: z.string(),
    kind: z.enum(["claim", "result", "released"]),
    slot: z.int().min(0),
    key: z.string(),
    at: z.number(),
    outcome: z.object({ kind: z.enum(["completed", "refused", "failed", "unknown"]) }).optional(),
});

const segmentSchema = z.object({
    commit: z.string(),
    sealed: z.boolean(),
    closedBy: z.string(),
    records: z.array(recordSchema),
});

/** The segment in a text of the store; undefined when it is malformed, which no agent writes. */
export function parseSegment(text: string): Segment | undefined {
    try {
        return segmentSchema.safeParse(JSON.parse(text)).success ? decodeSegment(text) : undefined;
    } catch {
        return undefined;
    }
}

/** A journal as a slot table names it: all of its segments, or its first `segments` after a clean release. */
export interface JournalReference {
    readonly journal: string;
    readonly segments?: number;
}

/** Text of a reference, as slot tables hold it. */
export function encodeReference(reference: JournalReference): string {
    return reference.segments === undefined ? reference.journal : `${reference.journal}:${reference.segments}`;
}

/** The reference in a text that `encodeReference` made. */
export function decodeReference(text: string): JournalReference {
    const separator = text.indexOf(":");
    if (separator === -1) return { journal: text };
    return { journal: text.slice(0, separator), segments: Number(text.slice(separator + 1)) };
}
