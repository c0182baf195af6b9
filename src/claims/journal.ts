/**
 * The claim journal of one owner, written by group commit.
 *
 * At most one update is in flight; it carries everything that arrived while the previous one was under way. Each update
 * is conditional on the version that the owner knows, so an owner whose journal was closed by a successor cannot commit.
 */
import { randomBytes } from "node:crypto";
import { pause } from "../model/pause.js";
import type { Metrics } from "../observability/index.js";
import type { Store } from "../store/index.js";
import { EMPTY_SEGMENT, encodeSegment, type JournalRecord, parseSegment, type Segment, segmentKey } from "./segment.js";

/** Time in which records are collected for one commit, in milliseconds. */
const GROUP_DELAY_MS = 3;

/** Size at which a segment is sealed, in characters. Each commit writes its whole segment, so segments are small. */
const SEGMENT_SIZE = 16_384;

/** Pause after the store refused or lost an update, in milliseconds. */
const RETRY_PAUSE_MS = 100;

/** What became of a record. */
export type AppendOutcome =
    /** The record is in the journal. */
    | "written"
    /** The store cannot be reached; the record stays queued until it can (deferrable records only). */
    | "deferred"
    /** The store refused the update; the record is not in the journal. */
    | "unavailable"
    /** The journal was closed by a successor. */
    | "fenced"
    /** The owner has ended. */
    | "ended";

/** A record on its way into the journal. */
export interface PendingRecord {
    readonly settled: Promise<AppendOutcome>;
    /** Takes the record back if no update that contains it was sent. Returns whether that was so. */
    retract(): boolean;
}

interface Entry {
    readonly record: JournalRecord;
    readonly size: number;
    /** Kept for the next commit when the store refuses one. */
    readonly deferrable: boolean;
    readonly settle: (outcome: AppendOutcome) => void;
}

type CommitOutcome = "written" | "unavailable" | "fenced" | "ended";

/** The journal of one owner. */
export class Journal {
    private readonly pending: Entry[] = [];
    private inFlight: readonly Entry[] = [];
    private readonly sealers: ((segments: number | undefined) => void)[] = [];
    private committing = false;
    private end: "fenced" | "ended" | undefined;
    private index = 0;
    private version = 0;
    private segment: Segment = EMPTY_SEGMENT;
    private segmentSize = 0;

    private constructor(
        private readonly store: Store,
        private readonly service: string,
        readonly name: string,
        private readonly metrics: Metrics,
    ) {}

    /** A journal that does not exist yet; the name is never used again. */
    static create(store: Store, service: string, name: string, metrics: Metrics): Journal {
        return new Journal(store, service, name, metrics);
    }

    /** Whether a successor has closed the journal. */
    get fenced(): boolean {
        return this.end === "fenced";
    }

    /** Adds a record to the next commit. */
    append(record: JournalRecord, options: { readonly deferrable: boolean }): PendingRecord {
        let settle: (outcome: AppendOutcome) => void = () => undefined;
        const settled = new Promise<AppendOutcome>(resolve => {
            settle = resolve;
        });
        if (this.end !== undefined) {
            settle(this.end);
            return { settled, retract: () => false };
        }
        const entry = { record, size: JSON.stringify(record).length, deferrable: options.deferrable, settle };
        this.pending.push(entry);
        this.startCommits();
        return { settled, retract: () => this.retract(entry) };
    }

    /**
     * Commits everything and seals the current segment. Returns the number of segments that are final, or undefined
     * when the journal has ended.
     */
    async seal(): Promise<number | undefined> {
        if (this.end !== undefined) return undefined;
        const sealed = new Promise<number | undefined>(resolve => this.sealers.push(resolve));
        this.startCommits();
        return await sealed;
    }

    /** Ends the journal without writing anything more. */
    kill(): void {
        this.finish("ended");
    }

    private retract(entry: Entry): boolean {
        const index = this.pending.indexOf(entry);
        if (index === -1) return false;
        this.pending.splice(index, 1);
        return true;
    }

    private startCommits(): void {
        if (this.committing) return;
        this.committing = true;
        void this.commitAll();
    }

    private async commitAll(): Promise<void> {
        await pause(GROUP_DELAY_MS);
        while (this.end === undefined && (this.pending.length > 0 || this.sealers.length > 0)) {
            const outcome = await this.commitNext();
            if (outcome === "unavailable") await pause(RETRY_PAUSE_MS);
        }
        this.committing = false;
    }

    private async commitNext(): Promise<CommitOutcome> {
        const batch = this.takeBatch();
        const size = this.segmentSize + batch.reduce((sum, entry) => sum + entry.size, 0);
        // Whoever waits for a seal is served by the commit that leaves nothing queued behind it.
        const sealers = this.pending.length === 0 ? this.sealers.splice(0) : [];
        if (size === 0) {
            for (const resolve of sealers) resolve(this.index);
            return "written";
        }
        const next: Segment = {
            commit: randomBytes(8).toString("hex"),
            sealed: sealers.length > 0 || size >= SEGMENT_SIZE,
            closedBy: "",
            records: [...this.segment.records, ...batch.map(entry => entry.record)],
        };
        this.inFlight = batch;
        const outcome = await this.commit(next);
        this.inFlight = [];
        this.metrics.increment("claims.commits", 1, { outcome });
        if (outcome === "written") this.advance(next, size);
        if (outcome === "written") for (const resolve of sealers) resolve(this.index);
        else this.sealers.push(...sealers);
        this.settle(batch, outcome);
        return outcome;
    }

    /** The oldest records, up to the size of a segment. */
    private takeBatch(): readonly Entry[] {
        let size = 0;
        let count = 0;
        for (const entry of this.pending) {
            if (count > 0 && size + entry.size > SEGMENT_SIZE) break;
            size += entry.size;
            count += 1;
        }
        return this.pending.splice(0, count);
    }

    private advance(segment: Segment, size: number): void {
        if (segment.sealed) {
            this.index += 1;
            this.version = 0;
            this.segment = EMPTY_SEGMENT;
            this.segmentSize = 0;
        } else {
            this.segment = segment;
            this.segmentSize = size;
        }
    }

    private settle(batch: readonly Entry[], outcome: CommitOutcome): void {
        if (outcome === "fenced" || outcome === "ended") this.finish(outcome);
        const kept: Entry[] = [];
        for (const entry of batch) {
            if (outcome === "unavailable" && entry.deferrable) {
                kept.push(entry);
                entry.settle("deferred");
            } else {
                entry.settle(outcome);
            }
        }
        this.pending.unshift(...kept);
    }

    /** Writes a segment and returns only when it is certain whether the write took effect. */
    private async commit(segment: Segment): Promise<CommitOutcome> {
        const key = segmentKey(this.service, this.name, this.index);
        const value = encodeSegment(segment);
        for (let inDoubt = false; ; inDoubt = true) {
            const outcome = await this.store.write(key, value, this.version);
            if (this.end !== undefined) return this.end;
            if (outcome.kind === "written") {
                this.version = outcome.version;
                return "written";
            }
            // A refused update changes nothing, but says nothing about an earlier one whose answer was lost.
            if (outcome.kind === "unavailable" && !inDoubt) return "unavailable";
            if (outcome.kind === "unknown") this.deferInFlight();
            const found = outcome.kind === "unavailable" ? undefined : await this.resolve(key, segment.commit);
            if (this.end !== undefined) return this.end;
            if (found !== undefined) return found;
            // Writing again at the same version is safe: of the two writes at most one takes effect.
            await pause(RETRY_PAUSE_MS);
        }
    }

    /** Looks for a commit in the store. Undefined when the answer is older than what this owner knows. */
    private async resolve(key: string, commit: string): Promise<"written" | "fenced" | undefined> {
        const read = await this.store.read(key);
        if (read.kind !== "found" || read.object.version <= this.version) return undefined;
        const stored = parseSegment(read.object.value);
        if (stored?.commit !== commit || stored.closedBy !== "") return "fenced";
        this.version = read.object.version;
        return "written";
    }

    /** Records that may run without the store do not wait for an update that is in doubt. */
    private deferInFlight(): void {
        for (const entry of this.inFlight) {
            if (entry.deferrable) entry.settle("deferred");
        }
    }

    private finish(end: "fenced" | "ended"): void {
        if (this.end !== undefined) return;
        this.end = end;
        for (const entry of this.pending.splice(0)) entry.settle(end);
        for (const resolve of this.sealers.splice(0)) resolve(undefined);
    }
}
