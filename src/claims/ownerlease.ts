/**
 * The lease of one slot owner.
 *
 * It differs from a lease on a role in that nobody continues it: a successor takes it by a conditional update, after
 * which its holder can never renew it. The condition proves that the record did not change since the successor first
 * saw it, even when the store serves reads from an older state.
 */
import { randomBytes } from "node:crypto";
import { z } from "zod";
import type { Store, StoredObject } from "../store/index.js";

/** Time for which a renewal holds, in milliseconds. */
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
    /** Whether the holder takes slots. */
    readonly accepting: boolean;
    /** The owner that ended the lease; empty while it holds. */
    readonly takenBy: string;
}

/** Prefix of the lease objects of a service's owners. */
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
    /** The last renewal whose answer was lost. */
    private inDoubt: { readonly value: string; readonly sentAt: number } | undefined;

    private constructor(
        private readonly store: Store,
        private readonly key: string,
        private readonly holder: string,
        private readonly incarnation: string,
    ) {}

    /** A lease that does not exist yet. */
    static create(store: Store, key: string, holder: string, incarnation: string): OwnerLease {
        return new OwnerLease(store, key, holder, incarnation);
    }

    /** Whether nobody else can have taken the lease. */
    get valid(): boolean {
        return !this.ended && performance.now() < this.validUntil;
    }

    /** Whether the lease was taken; it never becomes valid again. */
    get lost(): boolean {
        return this.ended;
    }

    /** Whether the lease was written at least once. */
    get written(): boolean {
        return this.version > 0;
    }

    /** Renews the lease. It counts from before the renewal was sent. */
    async renew(accepting: boolean): Promise<void> {
        if (this.inDoubt !== undefined) await this.resolve(this.inDoubt);
        if (this.ended) return;
        const sentAt = performance.now();
        const value = JSON.stringify(this.record(accepting));
        const outcome = await this.store.write(this.key, value, this.version);
        if (outcome.kind === "written") {
            this.renewed(outcome.version, sentAt);
        } else if (outcome.kind === "unknown") {
            this.inDoubt = { value, sentAt };
        } else if (outcome.kind === "conflict" && this.inDoubt === undefined) {
            this.ended = true;
        }
    }

    /** Removes the lease after everything was released. */
    async remove(): Promise<void> {
        this.ended = true;
        if (this.version > 0) await this.store.remove(this.key, this.version);
    }

    private async resolve(doubt: { readonly value: string; readonly sentAt: number }): Promise<void> {
        const read = await this.store.read(this.key);
        if (read.kind === "unavailable") return;
        if (read.kind === "missing") {
            this.ended = this.version > 0;
            return;
        }
        const { value, version } = read.object;
        // A malformed lease cannot be renewed either: its holder gives up and begins a new one.
        if (decodeLease(read.object)?.takenBy !== "") {
            this.ended = true;
        } else if (value === doubt.value) {
            this.renewed(version, doubt.sentAt);
        } else if (version > this.version) {
            // An earlier renewal of this holder whose answer was lost as well.
            this.version = version;
            this.inDoubt = undefined;
        }
    }

    private renewed(version: number, sentAt: number): void {
        this.version = version;
        this.validUntil = sentAt + LEASE_DURATION_MS;
        this.inDoubt = undefined;
    }

    private record(accepting: boolean): OwnerLeaseRecord {
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

/** The leases of a service's owners as one candidate sees them, by its own monotonic clock. */
export class LeaseObserver {
    private observations = new Map<string, Observation>();

    private constructor(
        private readonly store: Store,
        private readonly service: string,
    ) {}

    /** An observer that has seen nothing. */
    static create(store: Store, service: string): LeaseObserver {
        return new LeaseObserver(store, service);
    }

    /**
     * Looks at all leases; `owners` are looked for even if they have none. Returns false when the store did not answer,
     * after which observation starts again.
     */
    async observe(owners: Iterable<string>): Promise<boolean> {
        const listed = await this.store.list(leasePrefix(this.service));
        if (listed.kind === "unavailable") {
            this.reset();
            return false;
        }
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

    /** Forgets what was seen. A holder cannot renew in an outage and gets its whole time after it. */
    reset(): void {
        this.observations.clear();
    }

    /** Owners that are present and take slots, in a fixed order. */
    availableOwners(): readonly string[] {
        return [...this.observations]
            .filter(([owner, { object }]) => {
                const record = object === undefined ? undefined : decodeLease(object);
                return record?.accepting === true && record.takenBy === "" && !this.expired(owner);
            })
            .map(([owner]) => owner)
            .sort();
    }

    /** Whether an owner's lease was seen unchanged for its duration plus a quarter. */
    expired(owner: string): boolean {
        const observation = this.observations.get(owner);
        return observation !== undefined && performance.now() - observation.since >= LEASE_DURATION_MS * 1.25;
    }

    /** Whether somebody has taken the owner's lease. */
    taken(owner: string): boolean {
        const object = this.observations.get(owner)?.object;
        return object !== undefined && (decodeLease(object)?.takenBy ?? "") !== "";
    }

    /** Takes an expired lease. Returns whether its holder can never renew it again. */
    async take(owner: string, candidate: string): Promise<boolean> {
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
        return outcome.kind === "written";
    }

    /** Removes taken leases whose holders are not among `owners`, the owners that slot tables still name. */
    async removeTaken(owners: ReadonlySet<string>): Promise<void> {
        for (const [owner, { object }] of this.observations) {
            if (object === undefined || owners.has(owner) || !this.taken(owner)) continue;
            await this.store.remove(object.key, object.version);
        }
    }

    private ownerOf(object: StoredObject): string {
        return object.key.slice(leasePrefix(this.service).length);
    }
}
