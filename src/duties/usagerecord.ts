/**
 * The stored form of the reports that were sent, or may have been.
 *
 * A report is fixed by a conditional write before it is first sent, so that every later holder sends the same counts. The
 * record has the last windows only; older ones are too late to be reported.
 */
import { randomBytes } from "node:crypto";
import { z } from "zod";
import { parseJson } from "../model/json.js";
import type { Store, StoreEra } from "../store/index.js";
import type { UsageCounts } from "./calls.js";
import { KEPT_WINDOWS } from "./usageledger.js";

const recordSchema = z.object({
    /** Fencing number of the holder that wrote it. */
    fencing: z.int().min(1),
    /** Unique per write, so that the writer can recognise its own write when the answer was lost. */
    write: z.string(),
    /** Era on which the write was conditional. In a later era, the record may hide later ones. */
    era: z.int().min(0),
    windows: z.array(
        z.object({
            id: z.int().min(0),
            counts: z.record(z.string(), z.int().min(0)),
            isAcknowledged: z.boolean(),
        }),
    ),
});

/** A report that was fixed. */
export interface FixedReport {
    readonly counts: UsageCounts;
    readonly isAcknowledged: boolean;
}

/** Outcome of reading or writing the record. */
export type RecordOutcome =
    | { readonly kind: "done" }
    /** A later holder has written the record. */
    | { readonly kind: "superseded" }
    | { readonly kind: "unavailable"; readonly message: string };

/** First era in which a record may have been lost. */
const FIRST_RESTORED_ERA = 2;

/** The record as one holder knows it. */
export class UsageRecord {
    private readonly reports = new Map<number, FixedReport>();
    private version = 0;
    private era: StoreEra = 0;
    private isLoadedValue = false;
    /** Whether the store may have lost reports that an earlier holder has fixed. */
    private mayLackValue = false;
    private isFirst = false;

    private constructor(
        private readonly store: Store,
        private readonly key: string,
        private readonly fencing: number,
    ) {}

    /** `fencing` is the number of the holder's tenure. */
    static create(store: Store, key: string, fencing: number): UsageRecord {
        return new UsageRecord(store, key, fencing);
    }

    get isLoaded(): boolean {
        return this.isLoadedValue;
    }

    /** Whether the store may have lost reports of earlier holders. */
    get mayLackReports(): boolean {
        return this.mayLackValue;
    }

    /** Whether there was no record before, so that nothing was reported yet. */
    get isNew(): boolean {
        return this.isFirst;
    }

    /** The oldest window in the record. Older ones are too late, or from before there were gateways. */
    get oldestWindow(): number {
        return Math.min(...this.reports.keys());
    }

    report(windowId: number): FixedReport | undefined {
        return this.reports.get(windowId);
    }

    /** Notes that a report was acknowledged; stored with the next write. */
    acknowledge(windowId: number): void {
        const report = this.reports.get(windowId);
        if (report !== undefined) this.reports.set(windowId, { ...report, isAcknowledged: true });
    }

    /** Reads the record. Reports that this holder has fixed stay, whatever the store has lost. */
    async load(): Promise<RecordOutcome> {
        const read = await this.store.read(this.key);
        if (read.kind === "unavailable") return read;
        const stored = read.kind === "found" ? recordSchema.safeParse(parseJson(read.object.value)).data : undefined;
        if (stored !== undefined && stored.fencing > this.fencing) return { kind: "superseded" };
        if (!this.isLoadedValue) {
            const isLost = stored === undefined ? read.era >= FIRST_RESTORED_ERA : stored.era !== read.era;
            this.mayLackValue = isLost;
            this.isFirst = read.kind === "missing";
        }
        for (const { id, counts, isAcknowledged } of stored?.windows ?? []) {
            if (!this.reports.has(id)) this.reports.set(id, { counts, isAcknowledged });
        }
        this.version = read.kind === "found" ? read.object.version : 0;
        this.era = read.era;
        this.isLoadedValue = true;
        return { kind: "done" };
    }

    /**
     * Fixes reports that are not fixed yet. After a conflict or a lost answer, the record is read again: what another holder
     * has fixed meanwhile counts, and the next call tries again.
     */
    async fix(reports: ReadonlyMap<number, UsageCounts>): Promise<RecordOutcome> {
        const fixed = new Map(this.reports);
        for (const [id, counts] of reports) if (!fixed.has(id)) fixed.set(id, { counts, isAcknowledged: false });
        const ids = [...fixed.keys()].sort((left, right) => left - right).slice(-KEPT_WINDOWS);
        const write = randomBytes(8).toString("hex");
        const windows = ids.map(id => ({ id, ...(fixed.get(id) ?? { counts: {}, isAcknowledged: false }) }));
        const { fencing, era } = this;
        const value = JSON.stringify({ fencing, write, era, windows } satisfies z.infer<typeof recordSchema>);
        const outcome = await this.store.write(this.key, value, this.version);
        if (outcome.kind === "unavailable") return outcome;
        const isWritten = outcome.kind === "written" && outcome.era === era;
        if (!isWritten && !(await this.hasWritten(write))) {
            const loaded = await this.load();
            return loaded.kind === "done" ? { kind: "unavailable", message: `write ended as ${outcome.kind}` } : loaded;
        }
        if (outcome.kind === "written") this.version = outcome.version;
        this.reports.clear();
        for (const id of ids) this.reports.set(id, fixed.get(id) ?? { counts: {}, isAcknowledged: false });
        return { kind: "done" };
    }

    /** Whether the store has a write whose answer was lost, in the era on which it was conditional. */
    private async hasWritten(write: string): Promise<boolean> {
        const read = await this.store.read(this.key);
        if (read.kind !== "found" || read.era !== this.era) return false;
        const isOwn = recordSchema.safeParse(parseJson(read.object.value)).data?.write === write;
        if (isOwn) this.version = read.object.version;
        return isOwn;
    }
}
