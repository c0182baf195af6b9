/**
 * A lease on a key of the store. It does not depend on synchronised clocks: the holder counts the duration from before
 * it sends a renewal. A candidate counts from after it first reads the record and waits a quarter longer than the
 * duration.
 *
 * The record is never removed, so that fencing numbers only increase. The record of a released lease has an empty
 * holder.
 */
import { randomBytes } from "node:crypto";
import { z } from "zod";
import { pause } from "../model/pause.js";
import type { Store, WriteOutcome } from "./store.js";

const recordSchema = z.object({
    /** Empty after a release. */
    holder: z.string(),
    incarnation: z.string(),
    fencing: z.int().min(1),
    durationMs: z.number().positive(),
    /** Unique per write, so that the writer can recognise its own write when the response was lost. */
    renewal: z.string(),
});

/** The stored form of a lease. */
export type LeaseRecord = Readonly<z.infer<typeof recordSchema>>;

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
/** Reads by a candidate, and retries after a failed call, per duration. */
const ATTEMPTS_PER_DURATION = 10;

interface Observation {
    readonly version: number;
    readonly record: LeaseRecord | undefined;
    /** Time of the first read that showed this version. */
    readonly since: number;
}

function parseRecord(value: string): LeaseRecord | undefined {
    try {
        return recordSchema.safeParse(JSON.parse(value)).data;
    } catch {
        return undefined;
    }
}

/**
 * Writes a record. If the response is lost, finds out whether the write took effect: a read that shows the version
 * before the write may be stale, so the write is repeated, and conflicts if the first one took effect.
 */
async function writeRecord(
    options: LeaseOptions,
    record: LeaseRecord,
    expectedVersion: number,
    deadline: number,
): Promise<WriteOutcome> {
    const { store, key } = options;
    const value = JSON.stringify(record);
    let outcome = await store.write(key, value, expectedVersion);
    let inDoubt = outcome.kind === "unknown";
    while (inDoubt && performance.now() < deadline) {
        const read = await store.read(key);
        const version = read.kind === "found" ? read.object.version : 0;
        if (read.kind === "found" && version > expectedVersion) {
            const isOwn = parseRecord(read.object.value)?.renewal === record.renewal;
            return isOwn ? { kind: "written", version, era: read.era } : { kind: "conflict" };
        }
        if (read.kind !== "unavailable") outcome = await store.write(key, value, expectedVersion);
        inDoubt = outcome.kind !== "written";
        if (inDoubt) await pause(record.durationMs / ATTEMPTS_PER_DURATION);
    }
    return inDoubt ? { kind: "unknown", message: "no answer to the write" } : outcome;
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

    private constructor(
        private readonly options: LeaseOptions,
        private readonly record: LeaseRecord,
        private version: number,
        sentAt: number,
    ) {
        this.ended = new Promise(resolve => {
            this.resolveEnded = resolve;
        });
        this.extend(sentAt);
    }

    /**
     * Tries to acquire the lease: immediately if it is free, else once its record has stayed unchanged for its duration
     * plus a quarter. The outcome is `unavailable` if the last call to the store failed.
     */
    static async acquire(options: LeaseOptions): Promise<LeaseOutcome> {
        const duration = options.durationMilliseconds;
        const deadline = performance.now() + (options.waitMilliseconds ?? 2 * duration);
        let seen: Observation | undefined;
        for (;;) {
            const read = await options.store.read(options.key);
            let failure = read.kind === "unavailable" ? read.message : undefined;
            if (read.kind !== "unavailable") {
                const version = read.kind === "found" ? read.object.version : 0;
                const record = read.kind === "found" ? parseRecord(read.object.value) : undefined;
                if (read.kind === "found" && record === undefined) {
                    return { kind: "unavailable", message: `the value of ${options.key} is not a lease` };
                }
                if (seen === undefined || version > seen.version) seen = { version, record, since: performance.now() };
                const attempt = Lease.isFree(seen) ? await Lease.tryTake(options, seen) : undefined;
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

    private static isFree(observed: Observation): boolean {
        if (observed.record === undefined || observed.record.holder === "") return true;
        return performance.now() - observed.since >= observed.record.durationMs * (1 + CANDIDATE_MARGIN_FRACTION);
    }

    /** Returns the lease, or the message of a failed call; undefined if another process took the lease first. */
    private static async tryTake(options: LeaseOptions, observed: Observation): Promise<Lease | string | undefined> {
        const record: LeaseRecord = {
            holder: options.holder,
            incarnation: options.incarnation,
            fencing: (observed.record?.fencing ?? 0) + 1,
            durationMs: options.durationMilliseconds,
            renewal: randomBytes(8).toString("hex"),
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
        return JSON.stringify({ ...this.record, holder, renewal: randomBytes(8).toString("hex") });
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
        const record = { ...this.record, renewal: randomBytes(8).toString("hex") };
        const outcome = await writeRecord(this.options, record, this.version, this.heldUntil);
        if (outcome.kind === "written") this.version = outcome.version;
        if (this.hasEnded) return;
        if (outcome.kind === "conflict") return this.end("taken");
        if (!this.isHeld()) return this.end("expired");
        if (outcome.kind === "written") return this.extend(sentAt);
        this.scheduleRenewal(this.options.durationMilliseconds / ATTEMPTS_PER_DURATION);
    }
}
