/**
 * Counts of requests by usage window, account and the process that counted them.
 *
 * A source is one start of one gateway. Its counts of a window are totals that replace earlier ones, so that a repeated or
 * late message adds nothing. All gateways keep the ledger: their own counts are one source, and a holder of the duty or its
 * deputy has those of others. Only the last windows are kept, so that a gateway which reaches no holder has bounded memory.
 */
import { z } from "zod";
import type { UsageCounts } from "./calls.js";

/** Number of windows that are kept. */
export const KEPT_WINDOWS = 12;

/** Longest name of an account or a gateway, and most accounts in one window that are taken from another gateway. */
const MAXIMUM_NAME_LENGTH = 256;
const MAXIMUM_ACCOUNTS = 20_000;

const nameSchema = z.string().max(MAXIMUM_NAME_LENGTH);

/** Counts of one window from one source. */
export const entrySchema = z.object({
    windowId: z.int().min(0),
    gateway: nameSchema,
    /** Identifies the start of the gateway's process. */
    start: nameSchema,
    /** Rises with each change of the counts. */
    revision: z.int().min(0),
    /** Whether the window has ended at the source. */
    isFinal: z.boolean(),
    counts: z
        .record(nameSchema, z.int().min(0))
        .refine(counts => Object.keys(counts).length <= MAXIMUM_ACCOUNTS, "has too many accounts"),
});

/** Counts of one window from one source. */
export type LedgerEntry = Readonly<z.infer<typeof entrySchema>>;

/** A name of an entry. */
function keyOf({ windowId, gateway, start }: LedgerEntry): string {
    return JSON.stringify([windowId, gateway, start]);
}

/** Rises with each change of an entry, also when only its window ends. */
function progressOf({ revision, isFinal }: LedgerEntry): number {
    return 2 * revision + (isFinal ? 1 : 0);
}

/** The counts that one gateway knows. */
export class UsageLedger {
    private readonly entries = new Map<string, LedgerEntry>();
    /** Windows whose reports were acknowledged or given up. */
    private readonly closedWindows = new Set<number>();
    private newestWindow = 0;

    private constructor() {}

    static create(): UsageLedger {
        return new UsageLedger();
    }

    /** Takes an entry unless a later one is known. */
    put(entry: LedgerEntry): void {
        const key = keyOf(entry);
        const known = this.entries.get(key);
        if (this.isClosed(entry.windowId) || entry.windowId <= this.newestWindow - KEPT_WINDOWS) return;
        if (known !== undefined && progressOf(known) >= progressOf(entry)) return;
        this.entries.set(key, entry);
    }

    /** Drops windows that are too old. `current` is the running window. */
    advance(current: number): void {
        this.newestWindow = Math.max(this.newestWindow, current);
        for (const [key, { windowId }] of this.entries) {
            if (windowId <= this.newestWindow - KEPT_WINDOWS) this.entries.delete(key);
        }
        for (const id of this.closedWindows) if (id <= this.newestWindow - KEPT_WINDOWS) this.closedWindows.delete(id);
    }

    /** Drops the counts of a window that needs no report any more. */
    close(windowId: number): void {
        if (windowId <= this.newestWindow - KEPT_WINDOWS) return;
        this.closedWindows.add(windowId);
        for (const [key, entry] of this.entries) if (entry.windowId === windowId) this.entries.delete(key);
    }

    isClosed(windowId: number): boolean {
        return this.closedWindows.has(windowId);
    }

    get closed(): readonly number[] {
        return [...this.closedWindows];
    }

    /** The oldest window with counts; undefined if there is none. */
    get oldestWindow(): number | undefined {
        const ids = [...this.entries.values()].map(({ windowId }) => windowId);
        return ids.length === 0 ? undefined : Math.min(...ids);
    }

    /** Sums of a window over all sources, without accounts that have none. */
    totals(windowId: number): UsageCounts {
        const sums = new Map<string, number>();
        for (const entry of this.entries.values()) {
            if (entry.windowId !== windowId) continue;
            for (const [account, count] of Object.entries(entry.counts)) {
                if (count > 0) sums.set(account, (sums.get(account) ?? 0) + count);
            }
        }
        return Object.fromEntries([...sums].sort(([left], [right]) => (left < right ? -1 : 1)));
    }

    /** Gateways whose counts of a window are complete. */
    completeGateways(windowId: number): ReadonlySet<string> {
        const entries = [...this.entries.values()].filter(entry => entry.windowId === windowId && entry.isFinal);
        return new Set(entries.map(({ gateway }) => gateway));
    }

    /** Entries that a receiver has not acknowledged, by what it has acknowledged. */
    pending(acknowledged: Acknowledgements, isSent: (entry: LedgerEntry) => boolean): readonly LedgerEntry[] {
        return [...this.entries.values()].filter(entry => isSent(entry) && !acknowledged.has(entry));
    }
}

/** What one receiver has acknowledged. */
export class Acknowledgements {
    private progress = new Map<string, number>();

    private constructor() {}

    static create(): Acknowledgements {
        return new Acknowledgements();
    }

    has(entry: LedgerEntry): boolean {
        return (this.progress.get(keyOf(entry)) ?? -1) >= progressOf(entry);
    }

    add(entries: readonly LedgerEntry[]): void {
        for (const entry of entries) this.progress.set(keyOf(entry), progressOf(entry));
        const newest = Math.max(0, ...entries.map(({ windowId }) => windowId));
        const isKept = ([key]: readonly [string, number]): boolean =>
            Number((JSON.parse(key) as readonly unknown[])[0]) > newest - 2 * KEPT_WINDOWS;
        if (this.progress.size > 1_000) this.progress = new Map([...this.progress].filter(isKept));
    }
}
