/**
 * Which slots of its service an agent owns.
 *
 * The present agents compute the same even spread from the owners' leases. An agent with too many slots releases some,
 * one with too few takes slots that were released or whose owner's lease it could take. The slot table is changed by
 * conditional updates only.
 */
import type { Service } from "../model/index.js";
import { InterruptiblePause, pause, withTimeout } from "../model/pause.js";
import type { StateLogger } from "../observability/index.js";
import { LEASE_DURATION_MS, LeaseObserver } from "./ownerlease.js";
import { DEFAULT_RETENTION_MS } from "./registry.js";
import { decodeReference, encodeReference } from "./segment.js";
import type { SlotOwner, SlotTable } from "./slot.js";
import { ownerId, SlotTableStore } from "./slottablestore.js";
import { type AcquiredSlot, OwnerSession, type OwnerSessionOptions } from "./ownersession.js";

/** Time between two renewals of the lease, in milliseconds. */
const RENEWAL_INTERVAL_MS = LEASE_DURATION_MS / 4;

/** Time between two looks at leases and slots, in milliseconds, and the shorter one while slots are missing. */
const LOOK_INTERVAL_MS = 1_000;
const SHORT_LOOK_INTERVAL_MS = 200;

/** Time from the first renewal to the first look, in which agents that start together see each other. */
const START_DELAY_MS = 300;

/** Time that runs in a slot get to end before it is released, in milliseconds; otherwise it is kept for now. */
const DRAIN_MS = 2_000;

/** Longest time that a stop waits for the release of its slots, in milliseconds. */
const STOP_MS = 5_000;

/** Time in which callers may send a key again after its owner died in an outage, in milliseconds (`continue` only). */
const RESEND_MS = 15 * 60_000;

/** Parts of the agent that ownership uses. */
export interface OwnershipOptions extends Omit<OwnerSessionOptions, "continueWithoutStore" | "retentionMilliseconds"> {
    readonly logger: StateLogger;
    readonly retentionMilliseconds?: number;
    /**
     * Whether the platform confirms that an owner's VM is gone. Services that continue without the store need this for
     * a takeover, because their owner may be running keys although its lease expired.
     */
    readonly confirmedGone?: (target: string) => boolean;
}

/** The slots of one agent. */
export class Ownership {
    private readonly observer: LeaseObserver;
    private readonly tables: SlotTableStore;
    private service: Service | undefined;
    private accepting = true;
    private session: OwnerSession | undefined;
    private generation = 0;
    private state: "idle" | "running" | "stopping" | "ended" = "idle";
    private releasing: Promise<void> | undefined;
    private readonly lookPause = InterruptiblePause.create();

    private constructor(private readonly options: OwnershipOptions) {
        this.observer = LeaseObserver.create(options.store, options.service);
        this.tables = SlotTableStore.create(options.store, options.service);
    }

    /** Ownership that begins once the service is known to have slots. */
    static create(options: OwnershipOptions): Ownership {
        return new Ownership(options);
    }

    /** The tenure under which slots are owned now, if there is one. */
    get currentSession(): OwnerSession | undefined {
        return this.session;
    }

    /** The newest slot table that this agent has seen. */
    get table(): SlotTable | undefined {
        return this.tables.known;
    }

    /** Takes the service's definition and whether this agent's zone takes work. */
    configure(service: Service | undefined, accepting: boolean): void {
        this.service = service ?? this.service;
        const changed = this.accepting !== accepting;
        this.accepting = accepting;
        if (this.state === "idle" && this.service !== undefined && this.service.slots > 0) {
            this.state = "running";
            void this.renewLeases();
            void this.lookAtSlots();
        } else if (changed) {
            this.lookPause.end();
        }
    }

    /** Releases all slots and the lease. Gives up after some seconds when the store is down; the lease then expires. */
    async stop(): Promise<void> {
        if (this.state !== "running") {
            this.kill();
            return;
        }
        this.state = "stopping";
        this.lookPause.end();
        await withTimeout(this.releaseAll(), STOP_MS, undefined);
        this.kill();
    }

    /** Ends without releasing anything. */
    kill(): void {
        this.state = "ended";
        this.session?.end();
        this.lookPause.end();
    }

    private async releaseAll(): Promise<void> {
        await this.releasing;
        const tenure = this.session;
        if (tenure === undefined || tenure.lost) return;
        await this.release(tenure, tenure.registry.slotNumbers, "always");
        if (this.tables.owned(tenure.id).length === 0) await tenure.lease.remove();
    }

    private async renewLeases(): Promise<void> {
        while (this.state === "running" || this.state === "stopping") {
            const running = this.state === "running";
            const tenure = running ? this.ensureSession() : this.session;
            await tenure?.lease.renew(this.accepting && running);
            await pause(RENEWAL_INTERVAL_MS);
        }
    }

    /** The tenure in progress; a new one when another agent has ended the last. */
    private ensureSession(): OwnerSession {
        if (this.session !== undefined && !this.session.lost) return this.session;
        if (this.session !== undefined) {
            this.options.logger.warn("slots were lost to other agents", { owner: this.session.id });
            this.session.end();
            this.generation += 1;
        }
        const { store, service, target, incarnation, metrics } = this.options;
        this.session = OwnerSession.begin(
            {
                store,
                service,
                target,
                incarnation,
                metrics,
                retentionMilliseconds: this.options.retentionMilliseconds ?? DEFAULT_RETENTION_MS,
                continueWithoutStore: () => this.service?.whenStoreUnavailable === "continue",
            },
            this.generation,
        );
        return this.session;
    }

    private async lookAtSlots(): Promise<void> {
        await this.lookPause.wait(START_DELAY_MS);
        while (this.state === "running") {
            const complete = await this.look();
            await this.lookPause.wait(complete ? LOOK_INTERVAL_MS : SHORT_LOOK_INTERVAL_MS);
        }
    }

    /** Looks at leases and slots once and acts on them. Returns whether this agent owns its part. */
    private async look(): Promise<boolean> {
        const tenure = this.session;
        if (tenure === undefined || tenure.lost || !tenure.lease.written || this.releasing !== undefined) return true;
        tenure.registry.sweep();
        const table = await this.tables.read(this.service?.slots ?? 0);
        if (table === undefined) {
            this.observer.reset();
            return true;
        }
        const owners = ownersOf(table);
        if (!(await this.observer.observe(owners)) || this.state !== "running") return true;
        this.adopt(tenure, table);
        await this.observer.removeTaken(owners);
        const owned = this.tables.owned(tenure.id);
        const quota = this.quota(tenure, table);
        if (owned.length > quota) this.startRelease(tenure, owned.slice(quota));
        if (owned.length >= quota) return true;
        await this.take(tenure, quota - owned.length);
        return this.tables.owned(tenure.id).length >= quota;
    }

    /** Number of slots that this agent should own. */
    private quota(tenure: OwnerSession, table: SlotTable): number {
        if (!this.accepting) return 0;
        const present = [...new Set([...this.observer.availableOwners(), tenure.id])].sort();
        const remainder = table.slots.length % present.length;
        return Math.floor(table.slots.length / present.length) + (present.indexOf(tenure.id) < remainder ? 1 : 0);
    }

    /** Brings the registry to what the table says. */
    private adopt(tenure: OwnerSession, table: SlotTable): void {
        const added: AcquiredSlot[] = [];
        for (const [slot, owner] of table.slots.entries()) {
            const own = owner !== undefined && ownerId(owner) === tenure.id;
            if (!own) tenure.removeSlot(slot);
            else if (!tenure.holds(slot, owner.epoch)) added.push({ slot, owner, uncertainMilliseconds: 0 });
        }
        this.recover(tenure, added);
    }

    private recover(tenure: OwnerSession, slots: readonly AcquiredSlot[]): void {
        if (slots.length === 0) return;
        const numbers = slots.map(({ slot }) => slot);
        this.options.logger.info("slots taken", { owner: tenure.id, slots: numbers });
        const uncertain = this.service?.whenStoreUnavailable === "continue";
        void tenure.recover(
            slots.map(taken => {
                const previous = taken.owner.journals.at(-2);
                const clean = previous === undefined || decodeReference(previous).segments !== undefined;
                return { ...taken, uncertainMilliseconds: uncertain && !clean ? RESEND_MS : 0 };
            }),
        );
    }

    /** Takes up to `count` slots that nobody owns any more. */
    private async take(tenure: OwnerSession, count: number): Promise<void> {
        const table = this.tables.known;
        if (table === undefined) return;
        const free = new Set<string>();
        for (const owner of ownersOf(table)) {
            if (owner !== tenure.id && (await this.isGone(owner, table, tenure))) free.add(owner);
        }
        const changed = await this.tables.change(current => {
            let left = count;
            return current.slots.map(owner => {
                const available = owner === undefined || owner.target === "" || free.has(ownerId(owner));
                if (!available || left === 0) return owner;
                left -= 1;
                return this.ownSlot(tenure, owner);
            });
        });
        if (changed !== undefined && !tenure.lost) this.adopt(tenure, changed);
    }

    /** Whether an owner can never use its slots again; takes its lease if that has expired. */
    private async isGone(owner: string, table: SlotTable, tenure: OwnerSession): Promise<boolean> {
        if (this.observer.taken(owner)) return true;
        if (!this.observer.expired(owner)) return false;
        if (this.service?.whenStoreUnavailable === "continue") {
            const target = table.slots.find(slot => slot !== undefined && ownerId(slot) === owner)?.target ?? "";
            if (this.options.confirmedGone?.(target) !== true) return false;
        }
        return await this.observer.take(owner, tenure.id);
    }

    private ownSlot(tenure: OwnerSession, before: SlotOwner | undefined): SlotOwner {
        return {
            target: this.options.target,
            incarnation: this.options.incarnation,
            epoch: (before?.epoch ?? 0) + 1,
            journals: [...(before?.journals ?? []), tenure.id],
        };
    }

    private startRelease(tenure: OwnerSession, slots: readonly number[]): void {
        this.releasing = this.release(tenure, slots, "drained").finally(() => {
            this.releasing = undefined;
        });
    }

    /** Releases slots after their runs have ended and their records are final in the journal. */
    private async release(tenure: OwnerSession, slots: readonly number[], when: "drained" | "always"): Promise<void> {
        const drained = Promise.all(slots.map(slot => tenure.registry.drain(slot))).then(() => true);
        const complete = await withTimeout(drained, DRAIN_MS, false);
        if (!complete && when === "drained") {
            for (const slot of slots) tenure.registry.resume(slot);
            return;
        }
        const segments = await tenure.journal.seal();
        if (segments === undefined) return;
        const sealed = encodeReference({ journal: tenure.id, segments });
        const released = new Set(slots);
        const changed = await this.tables.change(current =>
            current.slots.map((owner, slot) => {
                if (owner === undefined || !released.has(slot) || ownerId(owner) !== tenure.id) return owner;
                const journals = [...owner.journals.slice(0, -1), ...(segments === 0 ? [] : [sealed])];
                return { target: "", incarnation: "", epoch: owner.epoch, journals };
            }),
        );
        if (changed === undefined) {
            for (const slot of slots) tenure.registry.resume(slot);
            return;
        }
        this.adopt(tenure, changed);
        this.options.logger.info("slots released", { owner: tenure.id, slots });
    }
}

/** Owners that a table names, without released slots. */
function ownersOf(table: SlotTable): ReadonlySet<string> {
    const owned = table.slots.filter((owner): owner is SlotOwner => owner !== undefined && owner.target !== "");
    return new Set(owned.map(ownerId));
}
