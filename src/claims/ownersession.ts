/**
 * One session of a slot owner: its lease, journal and claim registry, from the first renewal of the lease to its end. A
 * process whose lease was taken begins a new session under a new id.
 */
import type { Metrics } from "../observability/index.js";
import type { Store } from "../store/index.js";
import { Journal } from "./journal.js";
import type { RestorationWatch } from "./restorationwatch.js";
import { leasePrefix, OwnerLease } from "./ownerlease.js";
import { Registry } from "./registry.js";
import { decodeReference, type JournalRecord, type JournalReference } from "./segment.js";
import type { SlotOwner } from "./slot.js";
import { JournalRecovery } from "./recovery.js";

/** Time for which callers may resend a key that may have been run without a claim that is still stored. */
export const RESEND_WINDOW_MS = 15 * 60_000;

/** Parts and settings of a session. */
export interface OwnerSessionOptions {
    readonly store: Store;
    readonly restorations: RestorationWatch;
    readonly service: string;
    readonly target: string;
    readonly incarnation: string;
    readonly metrics: Metrics;
    readonly retentionMilliseconds: number;
    readonly continueWithoutStore: () => boolean;
}

/** A slot that a session takes over. */
export interface AcquiredSlot {
    readonly slot: number;
    readonly owner: SlotOwner;
    /** Time for which new keys end as `unknown`, as an earlier owner may have run them unclaimed, in milliseconds. */
    readonly uncertainMilliseconds: number;
}

/** One session of a slot owner. */
export class OwnerSession {
    readonly lease: OwnerLease;
    readonly journal: Journal;
    readonly registry: Registry;
    private readonly abort = new AbortController();
    private readonly recovering = new Map<number, number>();

    private constructor(
        readonly id: string,
        private readonly options: OwnerSessionOptions,
    ) {
        const { store, service, target, incarnation, metrics } = options;
        this.lease = OwnerLease.create(store, leasePrefix(service) + id, target, incarnation);
        this.journal = Journal.create(store, service, id, metrics);
        this.registry = Registry.create({
            journal: this.journal,
            metrics,
            retentionMilliseconds: options.retentionMilliseconds,
            continueWithoutStore: options.continueWithoutStore,
            leaseValid: () => this.lease.valid,
        });
    }

    /** Begins a session; `generation` counts the sessions of this process from 0. */
    static begin(options: OwnerSessionOptions, generation: number): OwnerSession {
        const suffix = generation === 0 ? "" : `.${generation}`;
        return new OwnerSession(`${options.target}-${options.incarnation}${suffix}`, options);
    }

    /** Whether another agent has taken this session's lease or closed its journal. */
    get lost(): boolean {
        return this.lease.lost || this.journal.fenced;
    }

    /** Whether the session owns a slot, or recovers it, at an epoch. */
    holds(slot: number, epoch: number): boolean {
        return this.recovering.get(slot) === epoch || this.registry.epochOf(slot) === epoch;
    }

    /** Closes and reads the journals of earlier owners, and then admits the slots' keys. */
    async recover(slots: readonly AcquiredSlot[]): Promise<void> {
        for (const { slot, owner } of slots) this.recovering.set(slot, owner.epoch);
        const { store, service } = this.options;
        const recovery = JournalRecovery.create(store, service, this.id, this.abort.signal);
        const histories = new Map<string, readonly JournalRecord[]>();
        for (const reference of this.earlierJournals(slots)) {
            const records = await recovery.read(reference);
            if (records === undefined) return;
            histories.set(reference.journal, records);
        }
        const lossMilliseconds = RESEND_WINDOW_MS - this.options.restorations.millisecondsSinceRestoration;
        for (const { slot, owner, uncertainMilliseconds } of slots) {
            if (this.recovering.get(slot) !== owner.epoch) continue;
            this.recovering.delete(slot);
            const journals = new Set(owner.journals.map(text => decodeReference(text).journal));
            const records = [...journals].flatMap(journal => histories.get(journal) ?? []);
            this.registry.addSlot(slot, owner.epoch, records, Math.max(uncertainMilliseconds, lossMilliseconds));
        }
    }

    /** Removes a slot that the table no longer assigns to this session. */
    removeSlot(slot: number): void {
        this.recovering.delete(slot);
        this.registry.removeSlot(slot);
    }

    /** Ends the session abruptly. */
    end(): void {
        this.abort.abort();
        this.recovering.clear();
        this.journal.kill();
        for (const slot of this.registry.slotNumbers) this.registry.removeSlot(slot);
    }

    /** Journals to read: each one once, to the furthest segment that any slot needs. */
    private earlierJournals(slots: readonly AcquiredSlot[]): readonly JournalReference[] {
        const references = new Map<string, JournalReference>();
        for (const text of slots.flatMap(({ owner }) => owner.journals)) {
            const reference = decodeReference(text);
            // Closing its own journal would end this session; a slot that returns needs only the sealed segments.
            if (reference.journal === this.id && reference.segments === undefined) continue;
            const before = references.get(reference.journal);
            references.set(reference.journal, before === undefined ? reference : longerReference(before, reference));
        }
        return [...references.values()];
    }
}

function longerReference(left: JournalReference, right: JournalReference): JournalReference {
    if (left.segments === undefined || right.segments === undefined) return { journal: left.journal };
    return left.segments >= right.segments ? left : right;
}
