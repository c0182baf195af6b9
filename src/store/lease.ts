/**
 * A lease on a key of the store. It does not depend on synchronised clocks: the holder counts the duration from before
 * it sends a renewal. A candidate counts from after it first reads the record and waits a quarter longer than the
 * duration.
 *
 * The record is never removed. The record of a released lease has an empty holder.
 *
 * A store that was restored from a copy may have lost the record, or show an earlier one. The holder writes it again for
 * as long as it holds the lease. A candidate waits for a whole duration and a quarter after it first sees the new era,
 * which is longer than any holder can count on a renewal that the store has lost. All processes use the same duration.
 */
import { pause } from "../model/pause.js";
import {
    ATTEMPTS_PER_DURATION,
    createRenewal,
    type LeaseRecord,
    nextFencing,
    parseRecord,
    writeRecord,
} from "./leaserecord.js";
import type { ReadOutcome, Store, StoreEra } from "./store.js";

/** Options of an attempt to acquire a lease. */
export interface LeaseOptions {
    readonly store: Store;
    readonly key: string;
    readonly holder: string;
    readonly incarnation: string;
    readonly durationMilliseconds: number;
    /** How long to retry while another process holds the lease. Twice the duration by default. */
    readonly waitMilliseconds?: number;
    /** Aborts the attempt. */
    readonly signal?: AbortSignal;
}

/** Outcome of an attempt to acquire a lease. */
export type LeaseOutcome =
    | { readonly kind: "acquired"; readonly lease: Lease }
    | { readonly kind: "held"; readonly holder: string }
    | { readonly kind: "unavailable"; readonly message: string };

/** Why a lease ended. */
export type LeaseEndReason = "expired" | "taken" | "released";

/** Additional time that a candidate waits after a lease's duration, as a fraction of the duration. */
const CANDIDATE_MARGIN_FRACTION = 0.25;
/** Renewals per duration; two may fail before the lease expires. */
const RENEWALS_PER_DURATION = 3;

interface Observation {
    readonly era: StoreEra;
    readonly version: number;
    readonly record: LeaseRecord | undefined;
    /** Time of the first read that showed this version in this era. */
    readonly since: number;
}

type Answer = Exclude<ReadOutcome, { kind: "unavailable" }>;

function versionOf(read: Answer): number {
    return read.kind === "found" ? read.object.version : 0;
}

/** Whether a read shows a later state than an observation; it is stale otherwise, or the state is unchanged. */
function isLater(read: Answer, { era, version }: Observation): boolean {
    return read.era > era || (read.era === era && versionOf(read) > version);
}

/** A lease that was acquired. It may have ended since. */
export class Lease {
    /** Resolves when the lease ends, with the reason. */
    readonly ended: Promise<LeaseEndReason>;
    private resolveEnded: (end: LeaseEndReason) => void = () => undefined;
    private hasEnded = false;
    private expiryTimer: NodeJS.Timeout | undefined;
    private renewalTimer: NodeJS.Timeout | undefined;
    private pendingRenewal: Promise<void> = Promise.resolve();
    private heldUntil = 0;
    /** Era to which `version` belongs. */
    private era: StoreEra;

    private constructor(
        private readonly options: LeaseOptions,
        private readonly record: LeaseRecord,
        private version: number,
        sentAt: number,
    ) {
        this.era = record.era;
        this.ended = new Promise(resolve => {
            this.resolveEnded = resolve;
        });
        this.extend(sentAt);
    }

    /**
     * Tries to acquire the lease: immediately if it is free, else once its record has stayed unchanged for its duration
     * plus a quarter. A record that may hide a later one, as the store has lost its latest changes, counts as held. The
     * outcome is `unavailable` if the last call to the store failed.
     */
    static async acquire(options: LeaseOptions): Promise<LeaseOutcome> {
        const duration = options.durationMilliseconds;
        const deadline = performance.now() + (options.waitMilliseconds ?? 2 * duration);
        let seen: Observation | undefined;
        for (;;) {
            const read = await options.store.read(options.key);
            let failure = read.kind === "unavailable" ? read.message : undefined;
            if (read.kind !== "unavailable") {
                const record = read.kind === "found" ? parseRecord(read.object.value) : undefined;
                if (read.kind === "found" && record === undefined) {
                    return { kind: "unavailable", message: `the value of ${options.key} is not a lease` };
                }
                if (seen === undefined || isLater(read, seen)) {
                    seen = { era: read.era, version: versionOf(read), record, since: performance.now() };
                }
                const attempt = Lease.isFree(seen, duration) ? await Lease.tryTake(options, seen) : undefined;
                if (attempt instanceof Lease) return { kind: "acquired", lease: attempt };
                failure = attempt;
            }
            if (performance.now() >= deadline || options.signal?.aborted) {
                if (failure !== undefined) return { kind: "unavailable", message: failure };
                return { kind: "held", holder: seen?.record?.holder ?? "" };
            }
            const interval = duration / ATTEMPTS_PER_DURATION;
            await pause(Math.min(interval, Math.max(1, deadline - performance.now())));
        }
    }

    /**
     * Whether no other process can hold the lease. In the era of the record, it shows the last holder. Otherwise a holder
     * that the store has forgotten may still count on a renewal from before the restoration.
     */
    private static isFree({ era, record, since }: Observation, ownDuration: number): boolean {
        const isLast = era === 0 || record?.era === era;
        if (isLast && (record === undefined || record.holder === "")) return true;
        const duration =
            isLast && record !== undefined ? record.durationMs : Math.max(ownDuration, record?.durationMs ?? 0);
        return performance.now() - since >= duration * (1 + CANDIDATE_MARGIN_FRACTION);
    }

    /** Returns the lease, or the message of a failed call; undefined if another process took the lease first. */
    private static async tryTake(options: LeaseOptions, observed: Observation): Promise<Lease | string | undefined> {
        const record: LeaseRecord = {
            holder: options.holder,
            incarnation: options.incarnation,
            fencing: nextFencing(observed.record, observed.era, observed.version),
            durationMs: options.durationMilliseconds,
            renewal: createRenewal(),
            era: observed.era,
        };
        const sentAt = performance.now();
        const outcome = await writeRecord(options, record, observed.version, sentAt + options.durationMilliseconds);
        if (outcome.kind === "written") return new Lease(options, record, outcome.version, sentAt);
        return outcome.kind === "conflict" ? undefined : outcome.message;
    }

    /** Fencing number of this lease; each later holder has a higher one. */
    get fencing(): number {
        return this.record.fencing;
    }

    /** Whether the lease is held now. The holder checks it before each action. */
    isHeld(): boolean {
        return !this.hasEnded && performance.now() < this.heldUntil;
    }

    /** Time in milliseconds for which the lease is still held unless it is renewed; 0 if it has ended. */
    get remainingMs(): number {
        return this.hasEnded ? 0 : Math.max(0, this.heldUntil - performance.now());
    }

    /** Monotonic time in milliseconds at which the last successful renewal was sent. */
    get renewedAt(): number {
        return this.heldUntil - this.options.durationMilliseconds;
    }

    /** Releases the lease, so that candidates need not wait until it expires. */
    async release(): Promise<void> {
        const wasHeld = this.isHeld();
        this.end("released");
        await this.pendingRenewal;
        if (!wasHeld) return;
        await this.options.store.write(this.options.key, this.encodeRecord(""), this.version);
    }

    /** Ends the lease in this process but leaves its record unchanged, as a crash of the process would. */
    abandon(): void {
        this.end("released");
    }

    private encodeRecord(holder: string): string {
        return JSON.stringify({ ...this.record, holder, renewal: createRenewal(), era: this.era });
    }

    private end(reason: LeaseEndReason): void {
        this.hasEnded = true;
        clearTimeout(this.expiryTimer);
        clearTimeout(this.renewalTimer);
        this.resolveEnded(reason);
    }

    private extend(sentAt: number): void {
        const { durationMilliseconds } = this.options;
        const now = performance.now();
        this.heldUntil = sentAt + durationMilliseconds;
        clearTimeout(this.expiryTimer);
        this.expiryTimer = setTimeout(() => this.end("expired"), Math.max(0, this.heldUntil - now));
        this.scheduleRenewal(Math.max(0, sentAt + durationMilliseconds / RENEWALS_PER_DURATION - now));
    }

    private scheduleRenewal(milliseconds: number): void {
        this.renewalTimer = setTimeout(() => {
            this.pendingRenewal = this.renew();
        }, milliseconds);
    }

    /** Does not renew a lease that has expired, even if it is still free: its holder may have reacted to the expiry. */
    private async renew(): Promise<void> {
        if (!this.isHeld()) return this.end("expired");
        const sentAt = performance.now();
        const record = { ...this.record, renewal: createRenewal(), era: this.era };
        const outcome = await writeRecord(this.options, record, this.version, this.heldUntil);
        if (outcome.kind === "written") this.version = outcome.version;
        const isTaken = outcome.kind === "conflict" && !(await this.followRestoration());
        if (this.hasEnded) return;
        if (isTaken) return this.end("taken");
        if (!this.isHeld()) return this.end("expired");
        if (outcome.kind === "written") return this.extend(sentAt);
        this.scheduleRenewal(this.options.durationMilliseconds / ATTEMPTS_PER_DURATION);
    }

    /**
     * After a conflict, finds out whether the store has lost the record, or has replaced it by a write from before a
     * restoration that arrived late. The next renewal then writes it again: candidates wait longer than this lease is
     * held. Returns false if another process has written the record in the era that the store is in.
     */
    private async followRestoration(): Promise<boolean> {
        const read = await this.options.store.read(this.options.key);
        // Once this lease has expired, the lost record may be that of a later holder, which must not be touched.
        if (read.kind === "unavailable" || performance.now() >= this.heldUntil) return true;
        const recordEra = read.kind === "found" ? parseRecord(read.object.value)?.era : this.era;
        if (recordEra === undefined || recordEra >= read.era) return false;
        this.era = read.era;
        this.version = versionOf(read);
        return true;
    }
}
