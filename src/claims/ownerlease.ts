/**
 * The lease of one slot owner.
 *
 * Unlike a lease on a role, it is never passed on to another holder. A successor marks it as taken by a conditional
 * update, after which its holder can never renew it. The condition ensures that the record has not changed since the
 * successor first saw it, even if the store serves stale reads.
 */
import { randomBytes } from "node:crypto";
import { z } from "zod";
import type { Store, StoredObject, StoreEra } from "../store/index.js";

/** Time for which a renewal is valid, in milliseconds. */
export const LEASE_DURATION_MS = 6_000;

/** Value of a lease object. */
export interface OwnerLeaseRecord {
    /** Name of the target. */
    readonly holder: string;
    readonly incarnation: string;
    readonly fencing: number;
    readonly durationMs: number;
    /** Unique for each renewal. */
    readonly renewal: string;
    /** Whether the holder accepts slots. */
    readonly accepting: boolean;
    /** Owner that took the lease; empty while nobody has. */
    readonly takenBy: string;
}

/** Prefix of the store keys of a service's owner leases. */
export function leasePrefix(service: string): string {
    return `leases/owners/${service}/`;
}

const recordSchema: z.ZodType<OwnerLeaseRecord> = z.object({
    holder: z.string(),
    incarnation: z.string(),
    fencing: z.int().min(0),
    durationMs: z.number(),
    renewal: z.string(),
    accepting: z.boolean(),
    takenBy: z.string(),
});

/** The record in a lease object; undefined when it is malformed, which no agent writes. */
export function decodeLease(object: StoredObject): OwnerLeaseRecord | undefined {
    try {
        return recordSchema.safeParse(JSON.parse(object.value)).data;
    } catch {
        return undefined;
    }
}

/** The lease that this process holds. */
export class OwnerLease {
    private version = 0;
    private validUntil = 0;
    private ended = false;
    /** The last renewal, if its answer was lost. */
    private inDoubt: { readonly value: string; readonly sentAt: number } | undefined;

    private constructor(
        private readonly store: Store,
        private readonly key: string,
        private readonly holder: string,
        private readonly incarnation: string,
    ) {}

    /** A lease that does not exist in the store yet. */
    static create(store: Store, key: string, holder: string, incarnation: string): OwnerLease {
        return new OwnerLease(store, key, holder, incarnation);
    }

    /** Whether the lease is held, so that nobody else can have taken it. */
    get valid(): boolean {
        return !this.ended && performance.now() < this.validUntil;
    }

    /** Whether the lease has ended for good: it was taken, removed or found malformed. */
    get lost(): boolean {
        return this.ended;
    }

    /** Whether the lease was written to the store at least once. */
    get stored(): boolean {
        return this.version > 0;
    }

    /** Renews the lease. The duration counts from before the renewal is sent. */
    async renew(accepting: boolean): Promise<void> {
        if (this.inDoubt !== undefined) await this.resolveInDoubt(this.inDoubt);
        if (this.ended) return;
        const sentAt = performance.now();
        const value = JSON.stringify(this.createRecord(accepting));
        const outcome = await this.store.write(this.key, value, this.version);
        if (outcome.kind === "written") {
            this.recordRenewal(outcome.version, sentAt);
        } else if (outcome.kind === "unknown") {
            this.inDoubt = { value, sentAt };
        } else if (outcome.kind === "conflict" && this.inDoubt === undefined) {
            this.ended = true;
        }
    }

    /** Removes the lease, after all slots were released. */
    async remove(): Promise<void> {
        this.ended = true;
        if (this.version > 0) await this.store.remove(this.key, this.version);
    }

    private async resolveInDoubt(doubt: { readonly value: string; readonly sentAt: number }): Promise<void> {
        const read = await this.store.read(this.key);
        if (read.kind === "unavailable") return;
        if (read.kind === "missing") {
            this.ended = this.version > 0;
            return;
        }
        const { value, version } = read.object;
        // A malformed lease cannot be renewed either, so its holder begins a new one.
        if (decodeLease(read.object)?.takenBy !== "") {
            this.ended = true;
        } else if (value === doubt.value) {
            this.recordRenewal(version, doubt.sentAt);
        } else if (version > this.version) {
            // This is an earlier renewal by this holder, whose answer was lost as well.
            this.version = version;
            this.inDoubt = undefined;
        }
    }

    private recordRenewal(version: number, sentAt: number): void {
        this.version = version;
        this.validUntil = sentAt + LEASE_DURATION_MS;
        this.inDoubt = undefined;
    }

    private createRecord(accepting: boolean): OwnerLeaseRecord {
        return {
            holder: this.holder,
            incarnation: this.incarnation,
            fencing: 1,
            durationMs: LEASE_DURATION_MS,
            renewal: randomBytes(8).toString("hex"),
            accepting,
            takenBy: "",
        };
    }
}

interface Observation {
    readonly object: StoredObject | undefined;
    readonly since: number;
}

/** Observes the leases of a service's owners on behalf of one candidate, by its monotonic clock. */
export class LeaseObserver {
    private observations = new Map<string, Observation>();
    private era: StoreEra = 0;

    private constructor(
        private readonly store: Store,
        private readonly service: string,
    ) {}

    /** An observer that has seen nothing. */
    static create(store: Store, service: string): LeaseObserver {
        return new LeaseObserver(store, service);
    }

    /**
     * Reads all leases. Owners in `owners` that have no lease are observed as well. Returns false if the store did not
     * answer; the observations then start again, as they do when the store has lost its latest changes.
     */
    async observe(owners: Iterable<string>): Promise<boolean> {
        const listed = await this.store.list(leasePrefix(this.service));
        if (listed.kind === "unavailable") {
            this.reset();
            return false;
        }
        if (listed.era !== this.era) this.reset();
        this.era = listed.era;
        const objects = new Map(listed.objects.map(object => [this.ownerOf(object), object]));
        const next = new Map<string, Observation>();
        for (const owner of new Set([...objects.keys(), ...owners])) {
            const object = objects.get(owner);
            const before = this.observations.get(owner);
            const unchanged = before !== undefined && before.object?.version === object?.version;
            next.set(owner, unchanged ? before : { object, since: performance.now() });
        }
        this.observations = next;
        return true;
    }

    /** Clears the observations. Holders cannot renew in a store outage, so they get a full duration after it. */
    reset(): void {
        this.observations.clear();
    }

    /** Owners that hold a lease and accept slots, sorted. */
    availableOwners(): readonly string[] {
        return [...this.observations]
            .filter(([owner, { object }]) => {
                const record = object === undefined ? undefined : decodeLease(object);
                return record?.accepting === true && record.takenBy === "" && !this.isExpired(owner);
            })
            .map(([owner]) => owner)
            .sort();
    }

    /** Whether an owner's lease has been observed unchanged for its duration plus a quarter. */
    isExpired(owner: string): boolean {
        const observation = this.observations.get(owner);
        return observation !== undefined && performance.now() - observation.since >= LEASE_DURATION_MS * 1.25;
    }

    /** Whether a successor has taken the owner's lease. */
    isTaken(owner: string): boolean {
        const object = this.observations.get(owner)?.object;
        return object !== undefined && (decodeLease(object)?.takenBy ?? "") !== "";
    }

    /** Takes an expired lease. Returns whether the write succeeded, after which its holder can never renew it. */
    async takeLease(owner: string, candidate: string): Promise<boolean> {
        const object = this.observations.get(owner)?.object;
        const before = object === undefined ? undefined : decodeLease(object);
        const record: OwnerLeaseRecord = {
            holder: before?.holder ?? owner,
            incarnation: before?.incarnation ?? "",
            fencing: (before?.fencing ?? 0) + 1,
            durationMs: LEASE_DURATION_MS,
            renewal: randomBytes(8).toString("hex"),
            accepting: false,
            takenBy: candidate,
        };
        const key = leasePrefix(this.service) + owner;
        const outcome = await this.store.write(key, JSON.stringify(record), object?.version ?? 0);
        return outcome.kind === "written" && outcome.era === this.era;
    }

    /** Removes taken leases of holders that are not in `owners`, the owners in the slot table. */
    async removeTaken(owners: ReadonlySet<string>): Promise<void> {
        for (const [owner, { object }] of this.observations) {
            if (object === undefined || owners.has(owner) || !this.isTaken(owner)) continue;
            await this.store.remove(object.key, object.version);
        }
    }

    private ownerOf(object: StoredObject): string {
        return object.key.slice(leasePrefix(this.service).length);
    }
}
