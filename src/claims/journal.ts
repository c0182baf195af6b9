/**
 * The claim journal of one owner, written by group commit.
 *
 * At most one update is in flight. It carries all records that arrived while the previous update was in flight. Each
 * update is conditional on the version that the owner knows, so an owner whose journal was closed by a successor cannot
 * commit.
 */
import { randomBytes } from "node:crypto";
import { pause } from "../model/pause.js";
import type { Metrics } from "../observability/index.js";
import type { Store } from "../store/index.js";
import { EMPTY_SEGMENT, encodeSegment, type JournalRecord, parseSegment, type Segment, segmentKey } from "./segment.js";

/** Time in which records are collected for one commit, in milliseconds. */
const GROUP_DELAY_MS = 3;

/** Size at which a segment is sealed, in characters. It is small because each commit writes its whole segment. */
const SEGMENT_SIZE = 16_384;

/** Pause before an update is tried again, in milliseconds. */
const RETRY_PAUSE_MS = 100;

/** Result of appending a record. */
export type AppendOutcome =
    /** The record is in the journal. */
    | "written"
    /** The store is not reachable; the record stays queued until it is (deferrable records only). */
    | "deferred"
    /** The store refused the update; the record is not in the journal. */
    | "unavailable"
    /** The journal was closed by a successor. */
    | "fenced"
    /** The owner has stopped. */
    | "ended";

/** A record that is being appended to the journal. */
export interface PendingRecord {
    readonly settled: Promise<AppendOutcome>;
    /** Removes the record from the queue if no update that contains it was sent. Returns whether it was removed. */
    retract(): boolean;
}

interface QueuedRecord {
    readonly record: JournalRecord;
    readonly size: number;
    /** Whether the record is kept for the next commit when the store refuses one. */
    readonly deferrable: boolean;
    readonly settle: (outcome: AppendOutcome) => void;
}

type CommitOutcome = "written" | "unavailable" | "fenced" | "ended";

/** The journal of one owner. */
export class Journal {
    private readonly pending: QueuedRecord[] = [];
    private inFlight: readonly QueuedRecord[] = [];
    private readonly sealWaiters: ((segments: number | undefined) => void)[] = [];
    private committing = false;
    private endReason: "fenced" | "ended" | undefined;
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

    /** A journal that does not exist in the store yet; names are never reused. */
    static create(store: Store, service: string, name: string, metrics: Metrics): Journal {
        return new Journal(store, service, name, metrics);
    }

    /** Whether a successor has closed the journal. */
    get fenced(): boolean {
        return this.endReason === "fenced";
    }

    /** Queues a record for the next commit. */
    append(record: JournalRecord, options: { readonly deferrable: boolean }): PendingRecord {
        let settle: (outcome: AppendOutcome) => void = () => undefined;
        const settled = new Promise<AppendOutcome>(resolve => {
            settle = resolve;
        });
        if (this.endReason !== undefined) {
            settle(this.endReason);
            return { settled, retract: () => false };
        }
        const queued = { record, size: JSON.stringify(record).length, deferrable: options.deferrable, settle };
        this.pending.push(queued);
        this.startCommits();
        return { settled, retract: () => this.retract(queued) };
    }

    /**
     * Commits all queued records and seals the current segment. Returns the number of sealed segments, or undefined if
     * the journal has ended.
     */
    async seal(): Promise<number | undefined> {
        if (this.endReason !== undefined) return undefined;
        const sealed = new Promise<number | undefined>(resolve => this.sealWaiters.push(resolve));
        this.startCommits();
        return await sealed;
    }

    /** Ends the journal without further writes. */
    kill(): void {
        this.finish("ended");
    }

    private retract(queued: QueuedRecord): boolean {
        const index = this.pending.indexOf(queued);
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
        while (this.endReason === undefined && (this.pending.length > 0 || this.sealWaiters.length > 0)) {
            const outcome = await this.commitNext();
            if (outcome === "unavailable") await pause(RETRY_PAUSE_MS);
        }
        this.committing = false;
    }

    private async commitNext(): Promise<CommitOutcome> {
        const batch = this.takeBatch();
        const size = this.segmentSize + batch.reduce((sum, queued) => sum + queued.size, 0);
        // A seal completes with the first commit that leaves no record queued.
        const waiters = this.pending.length === 0 ? this.sealWaiters.splice(0) : [];
        if (size === 0) {
            for (const resolve of waiters) resolve(this.index);
            return "written";
        }
        const next: Segment = {
            commit: randomBytes(8).toString("hex"),
            sealed: waiters.length > 0 || size >= SEGMENT_SIZE,
            closedBy: "",
            records: [...this.segment.records, ...batch.map(queued => queued.record)],
        };
        this.inFlight = batch;
        const outcome = await this.commit(next);
        this.inFlight = [];
        this.metrics.increment("claims.commits", 1, { outcome });
        if (outcome === "written") this.applyCommit(next, size);
        if (outcome === "written") for (const resolve of waiters) resolve(this.index);
        else this.sealWaiters.push(...waiters);
        this.settle(batch, outcome);
        return outcome;
    }

    /** The oldest records, up to the size of a segment. */
    private takeBatch(): readonly QueuedRecord[] {
        let size = 0;
        let count = 0;
        for (const queued of this.pending) {
            if (count > 0 && size + queued.size > SEGMENT_SIZE) break;
            size += queued.size;
            count += 1;
        }
        return this.pending.splice(0, count);
    }

    private applyCommit(segment: Segment, size: number): void {
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

    private settle(batch: readonly QueuedRecord[], outcome: CommitOutcome): void {
        if (outcome === "fenced" || outcome === "ended") this.finish(outcome);
        const kept: QueuedRecord[] = [];
        for (const queued of batch) {
            if (outcome === "unavailable" && queued.deferrable) {
                kept.push(queued);
                queued.settle("deferred");
            } else {
                queued.settle(outcome);
            }
        }
        this.pending.unshift(...kept);
    }

    /** Writes a segment. Returns once it is certain whether the write took effect, or once the journal has ended. */
    private async commit(segment: Segment): Promise<CommitOutcome> {
        const key = segmentKey(this.service, this.name, this.index);
        const value = encodeSegment(segment);
        for (let inDoubt = false; ; inDoubt = true) {
            const outcome = await this.store.write(key, value, this.version);
            if (this.endReason !== undefined) return this.endReason;
            if (outcome.kind === "written") {
                this.version = outcome.version;
                return "written";
            }
            // A refused update had no effect, but an earlier one whose answer was lost may have taken effect.
            if (outcome.kind === "unavailable" && !inDoubt) return "unavailable";
            if (outcome.kind === "unknown") this.deferInFlight();
            const found = outcome.kind === "unavailable" ? undefined : await this.findCommit(key, segment.commit);
            if (this.endReason !== undefined) return this.endReason;
            if (found !== undefined) return found;
            // A retry at the same version is safe: at most one of the writes takes effect.
            await pause(RETRY_PAUSE_MS);
        }
    }

    /** Reads whether a commit is in the store. Undefined if the read is older than the version this owner knows. */
    private async findCommit(key: string, commit: string): Promise<"written" | "fenced" | undefined> {
        const read = await this.store.read(key);
        if (read.kind !== "found" || read.object.version <= this.version) return undefined;
        const stored = parseSegment(read.object.value);
        if (stored?.commit !== commit || stored.closedBy !== "") return "fenced";
        this.version = read.object.version;
        return "written";
    }

    /** Settles the deferrable records in flight, which do not wait for an update that is in doubt. */
    private deferInFlight(): void {
        for (const queued of this.inFlight) {
            if (queued.deferrable) queued.settle("deferred");
        }
    }

    private finish(end: "fenced" | "ended"): void {
        if (this.endReason !== undefined) return;
        this.endReason = end;
        for (const queued of this.pending.splice(0)) queued.settle(end);
        for (const resolve of this.sealWaiters.splice(0)) resolve(undefined);
    }
}
