/**
 * A lease on a key of the store. No clocks are compared: the holder counts its time from before it sent the renewal, a
 * candidate from after it first saw the record, and it waits a quarter longer than the lease lasts.
 *
 * The record is never removed, so that fencing numbers only rise. A released lease has an empty holder.
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
    /** Unique for each write, so that a write whose answer was lost can be recognised. */
    renewal: z.string(),
});

/** The lease as it is stored. */
export type LeaseRecord = Readonly<z.infer<typeof recordSchema>>;

/** Who wants a lease on what. */
export interface LeaseOptions {
    readonly store: Store;
    readonly key: string;
    readonly holder: string;
    readonly incarnation: string;
    readonly durationMilliseconds: number;
    /** How long to try while another process holds it. Twice the duration by default. */
    readonly waitMilliseconds?: number;
    /** Ends the attempt early. */
    readonly signal?: AbortSignal;
}

/** What an attempt to take a lease came to. */
export type LeaseOutcome =
    | { readonly kind: "acquired"; readonly lease: Lease }
    | { readonly kind: "held"; readonly holder: string }
    | { readonly kind: "unavailable"; readonly message: string };

/** Why a lease ended. */
export type LeaseEndReason = "expired" | "taken" | "released";

/** Part of the duration by which a candidate waits longer than the lease lasts. */
const CANDIDATE_MARGIN = 0.25;
/** Renewals within a duration; two may fail before the lease is lost. */
const RENEWALS_PER_DURATION = 3;
/** Reads of a candidate, and retries after a failed call, within a duration. */
const ATTEMPTS_PER_DURATION = 10;

interface Observation {
    readonly version: number;
    readonly record: LeaseRecord | undefined;
    /** When this version was first seen. */
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
 * Writes a record and, if the answer is lost, finds out whether the write took effect. A read that shows the version
 * before the write may be stale, so the write is repeated; it conflicts if the first one took effect.
 */
async function writeRecord(
    options: LeaseOptions,
    record: LeaseRecord,
    expectedVersion: number,
    until: number,
): Promise<WriteOutcome> {
    const { store, key } = options;
    const value = JSON.stringify(record);
    let outcome = await store.write(key, value, expectedVersion);
    let inDoubt = outcome.kind === "unknown";
    while (inDoubt && performance.now() < until) {
        const read = await store.read(key);
        const version = read.kind === "found" ? read.object.version : 0;
        if (read.kind === "found" && version > expectedVersion) {
            const own = parseRecord(read.object.value)?.renewal === record.renewal;
            return own ? { kind: "written", version } : { kind: "conflict" };
        }
        if (read.kind !== "unavailable") outcome = await store.write(key, value, expectedVersion);
        inDoubt = outcome.kind !== "written";
        if (inDoubt) await pause(record.durationMs / ATTEMPTS_PER_DURATION);
    }
    return inDoubt ? { kind: "unknown", message: "no answer to the write" } : outcome;
}

/** A lease that was acquired; it may have been lost since. */
export class Lease {
    /** Resolves when the lease ends, with the reason. */
    readonly ended: Promise<LeaseEndReason>;
    private resolveLost: (end: LeaseEndReason) => void = () => undefined;
    private hasEnded = false;
    private expiry: NodeJS.Timeout | undefined;
    private renewalTimer: NodeJS.Timeout | undefined;
    private renewing: Promise<void> = Promise.resolve();
    private heldUntil = 0;

    private constructor(
        private readonly options: LeaseOptions,
        private readonly record: LeaseRecord,
        private version: number,
        sentAt: number,
    ) {
        this.ended = new Promise(resolve => {
            this.resolveLost = resolve;
        });
        this.extend(sentAt);
    }

    /**
     * Tries to take the lease: at once if it is free, else after its record was seen unchanged for its duration plus a
     * quarter. The outcome is `unavailable` if the store's last answer was missing.
     */
    static async acquire(options: LeaseOptions): Promise<LeaseOutcome> {
        const duration = options.durationMilliseconds;
        const until = performance.now() + (options.waitMilliseconds ?? 2 * duration);
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
                const taken = Lease.isFree(seen) ? await Lease.take(options, seen) : undefined;
                if (taken instanceof Lease) return { kind: "acquired", lease: taken };
                failure = taken;
            }
            if (performance.now() >= until || options.signal?.aborted) {
                if (failure !== undefined) return { kind: "unavailable", message: failure };
                return { kind: "held", holder: seen?.record?.holder ?? "" };
            }
            const interval = duration / ATTEMPTS_PER_DURATION;
            await pause(Math.min(interval, Math.max(1, until - performance.now())));
        }
    }

    private static isFree(seen: Observation): boolean {
        if (seen.record === undefined || seen.record.holder === "") return true;
        return performance.now() - seen.since >= seen.record.durationMs * (1 + CANDIDATE_MARGIN);
    }

    /** The lease, or the reason why the store did not answer; undefined when another process was faster. */
    private static async take(options: LeaseOptions, seen: Observation): Promise<Lease | string | undefined> {
        const record: LeaseRecord = {
            holder: options.holder,
            incarnation: options.incarnation,
            fencing: (seen.record?.fencing ?? 0) + 1,
            durationMs: options.durationMilliseconds,
            renewal: randomBytes(8).toString("hex"),
        };
        const sentAt = performance.now();
        const outcome = await writeRecord(options, record, seen.version, sentAt + options.durationMilliseconds);
        if (outcome.kind === "written") return new Lease(options, record, outcome.version, sentAt);
        return outcome.kind === "conflict" ? undefined : outcome.message;
    }

    /** Number of this lease; every later holder has a higher one. */
    get fencing(): number {
        return this.record.fencing;
    }

    /** Whether the lease is held now. To be asked before each action. */
    isHeld(): boolean {
        return !this.hasEnded && performance.now() < this.heldUntil;
    }

    /** Gives the lease back, so that others need not wait for its end. */
    async release(): Promise<void> {
        const wasHeld = this.isHeld();
        this.end("released");
        await this.renewing;
        if (!wasHeld) return;
        await this.options.store.write(this.options.key, this.encode(""), this.version);
    }

    /** Ends the lease here and leaves its record as it is, as the death of the process would. */
    abandon(): void {
        this.end("released");
    }

    private encode(holder: string): string {
        return JSON.stringify({ ...this.record, holder, renewal: randomBytes(8).toString("hex") });
    }

    private end(reason: LeaseEndReason): void {
        this.hasEnded = true;
        clearTimeout(this.expiry);
        clearTimeout(this.renewalTimer);
        this.resolveLost(reason);
    }

    private extend(sentAt: number): void {
        const { durationMilliseconds } = this.options;
        const now = performance.now();
        this.heldUntil = sentAt + durationMilliseconds;
        clearTimeout(this.expiry);
        this.expiry = setTimeout(() => this.end("expired"), Math.max(0, this.heldUntil - now));
        this.scheduleRenewal(Math.max(0, sentAt + durationMilliseconds / RENEWALS_PER_DURATION - now));
    }

    private scheduleRenewal(milliseconds: number): void {
        this.renewalTimer = setTimeout(() => {
            this.renewing = this.renew();
        }, milliseconds);
    }

    /** A lease that has expired is not renewed, even if nobody took it: its holder may have acted on its loss. */
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
