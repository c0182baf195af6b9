/**
 * Records of a claim journal and the segment objects that hold them.
 *
 * A journal is a sequence of segments. Its owner never writes a sealed segment again. A segment that a successor closed
 * is the last one, and the owner cannot commit anything after it.
 */
import { z } from "zod";
import type { StageOutcome } from "../model/index.js";

/** One record of a journal. */
export interface JournalRecord {
    /** Unique id of the claim; its result and its release have the same id. */
    readonly claim: string;
    /** `claim` precedes a run; `released` cancels a claim that never ran. */
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
    /** Unique id of the last commit, so that its author recognises it after a lost answer. */
    readonly commit: string;
    readonly sealed: boolean;
    /** Successor that closed the journal with this segment; empty if none has. */
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

/** The segment in a stored text; undefined if the text is malformed, which no agent writes. */
export function parseSegment(text: string): Segment | undefined {
    try {
        return segmentSchema.safeParse(JSON.parse(text)).success ? decodeSegment(text) : undefined;
    } catch {
        return undefined;
    }
}

/** Reference to a journal in a slot table: to all of its segments, or to the first `segments` after a clean release. */
export interface JournalReference {
    readonly journal: string;
    readonly segments?: number;
}

/** Text of a reference as stored in slot tables. */
export function encodeReference(reference: JournalReference): string {
    return reference.segments === undefined ? reference.journal : `${reference.journal}:${reference.segments}`;
}

/** The reference in a text that `encodeReference` made. */
export function decodeReference(text: string): JournalReference {
    const separator = text.indexOf(":");
    if (separator === -1) return { journal: text };
    return { journal: text.slice(0, separator), segments: Number(text.slice(separator + 1)) };
}
