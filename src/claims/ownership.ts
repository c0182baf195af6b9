/**
 * Balances the slots of a service between its agents.
 *
 * Each agent computes the same even distribution from the owners' leases. An agent with too many slots releases some.
 * An agent with too few takes slots that were released, or whose owner's lease it has taken. The slot table is changed
 * by conditional updates only.
 */
import type { Service } from "../model/index.js";
import { InterruptiblePause, pause, withTimeout } from "../model/pause.js";
import type { StateLogger } from "../observability/index.js";
import { LEASE_DURATION_MS, LeaseObserver } from "./ownerlease.js";
import { DEFAULT_RETENTION_MS } from "./registry.js";
import { RestorationWatch } from "./restorationwatch.js";
import { decodeReference, encodeReference } from "./segment.js";
import type { SlotOwner, SlotTable } from "./slot.js";
import { ownerId, SlotTableStore } from "./slottablestore.js";
import { type AcquiredSlot, OwnerSession, type OwnerSessionOptions, RESEND_WINDOW_MS } from "./ownersession.js";

/** Time between two renewals of the lease, in milliseconds. */
const RENEWAL_INTERVAL_MS = LEASE_DURATION_MS / 4;

/** Interval at which leases and slots are reconciled, in milliseconds; the shorter one while slots are missing. */
const RECONCILE_INTERVAL_MS = 1_000;
const SHORT_RECONCILE_INTERVAL_MS = 200;

/** Delay of the first reconciliation, in milliseconds, so that agents that start together see each other's leases. */
const START_DELAY_MS = 300;

/** Time for the runs of a slot to end before its release, in milliseconds. Otherwise the slot is kept for now. */
const DRAIN_TIMEOUT_MS = 2_000;

/** Longest time that a stop waits for the release of the slots, in milliseconds. */
const STOP_TIMEOUT_MS = 5_000;

/** Parts and settings of the agent that ownership uses. */
export interface OwnershipOptions extends Omit<
    OwnerSessionOptions,
    "continueWithoutStore" | "restorations" | "retentionMilliseconds"
> {
    readonly logger: StateLogger;
    readonly retentionMilliseconds?: number;
    /**
     * Whether the platform confirms that a target's VM is gone. Services that continue without the store need this for
     * a takeover, because their owner may still run keys after its lease has expired.
     */
    readonly confirmedGone?: (target: string) => boolean;
}

/** Acquires, keeps and releases the slots of one agent. */
export class Ownership {
    private readonly restorations: RestorationWatch;
    private readonly observer: LeaseObserver;
    private readonly tableStore: SlotTableStore;
    private service: Service | undefined;
    private accepting = true;
    private session: OwnerSession | undefined;
    private generation = 0;
    private state: "idle" | "running" | "stopping" | "ended" = "idle";
    private releasing: Promise<void> | undefined;
    private readonly reconcilePause = InterruptiblePause.create();

    private constructor(private readonly options: OwnershipOptions) {
        this.restorations = RestorationWatch.of(options.store);
        const { store } = this.restorations;
        this.observer = LeaseObserver.create(store, options.service);
        this.tableStore = SlotTableStore.create(store, options.service);
    }

    /** Ownership that starts once the service is known to have slots. */
    static create(options: OwnershipOptions): Ownership {
        return new Ownership(options);
    }

    /** The session under which the agent owns slots now, if there is one. */
    get currentSession(): OwnerSession | undefined {
        return this.session;
    }

    /** The newest slot table that this agent has seen. */
    get table(): SlotTable | undefined {
        return this.tableStore.latest;
    }

    /** Updates the service's definition and whether this agent accepts slots. */
    configure(service: Service | undefined, accepting: boolean): void {
        this.service = service ?? this.service;
        const changed = this.accepting !== accepting;
        this.accepting = accepting;
        if (this.state === "idle" && this.service !== undefined && this.service.slots > 0) {
            this.state = "running";
            void this.renewLeases();
            void this.reconcileLoop();
        } else if (changed) {
            this.reconcilePause.end();
        }
    }

    /** Releases all slots and the lease. Gives up after a timeout if the store is down; the lease then expires. */
    async stop(): Promise<void> {
        if (this.state !== "running") {
            this.kill();
            return;
        }
        this.state = "stopping";
        this.reconcilePause.end();
        await withTimeout(this.releaseAll(), STOP_TIMEOUT_MS, undefined);
        this.kill();
    }

    /** Stops without releasing anything. */
    kill(): void {
        this.state = "ended";
        this.session?.end();
        this.reconcilePause.end();
    }

    private async releaseAll(): Promise<void> {
        await this.releasing;
        const session = this.session;
        if (session === undefined || session.lost) return;
        await this.release(session, session.registry.slotNumbers, "always");
        if (this.tableStore.slotsOwnedBy(session.id).length === 0) await session.lease.remove();
    }

    private async renewLeases(): Promise<void> {
        while (this.state === "running" || this.state === "stopping") {
            const running = this.state === "running";
            const session = running ? this.ensureSession() : this.session;
            await session?.lease.renew(this.accepting && running);
            await pause(RENEWAL_INTERVAL_MS);
        }
    }

    /** The current session; a new one if another agent has ended the last one. */
    private ensureSession(): OwnerSession {
        if (this.session !== undefined && !this.session.lost) return this.session;
        if (this.session !== undefined) {
            this.options.logger.warn("another agent took over the slots of this owner", { owner: this.session.id });
            this.session.end();
            this.generation += 1;
        }
        const { service, target, incarnation, metrics } = this.options;
        this.session = OwnerSession.begin(
            {
                store: this.restorations.store,
                restorations: this.restorations,
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

    private async reconcileLoop(): Promise<void> {
        await this.reconcilePause.wait(START_DELAY_MS);
        while (this.state === "running") {
            const quotaReached = await this.reconcile();
            await this.reconcilePause.wait(quotaReached ? RECONCILE_INTERVAL_MS : SHORT_RECONCILE_INTERVAL_MS);
        }
    }

    /** Compares leases and slots once and acts on them. Returns false while this agent owns less than its quota. */
    private async reconcile(): Promise<boolean> {
        const session = this.session;
        if (session === undefined || session.lost || !session.lease.stored || this.releasing !== undefined) return true;
        session.registry.sweep();
        const table = await this.tableStore.read(this.service?.slots ?? 0);
        if (table === undefined) {
            this.observer.reset();
            return true;
        }
        const owners = ownersOf(table);
        if (!(await this.observer.observe(owners)) || this.state !== "running") return true;
        this.applyTable(session, table);
        await this.observer.removeTaken(owners);
        const owned = this.tableStore.slotsOwnedBy(session.id);
        const quota = this.quota(session, table);
        if (owned.length > quota) this.startRelease(session, owned.slice(quota));
        if (owned.length >= quota) return true;
        await this.takeSlots(session, quota - owned.length);
        return this.tableStore.slotsOwnedBy(session.id).length >= quota;
    }

    /** Number of slots that this agent should own. */
    private quota(session: OwnerSession, table: SlotTable): number {
        if (!this.accepting) return 0;
        const present = [...new Set([...this.observer.availableOwners(), session.id])].sort();
        const remainder = table.slots.length % present.length;
        return Math.floor(table.slots.length / present.length) + (present.indexOf(session.id) < remainder ? 1 : 0);
    }

    /** Adds and removes slots of the session as the table says. */
    private applyTable(session: OwnerSession, table: SlotTable): void {
        const added: AcquiredSlot[] = [];
        for (const [slot, owner] of table.slots.entries()) {
            const own = owner !== undefined && ownerId(owner) === session.id;
            if (!own) session.removeSlot(slot);
            else if (!session.holds(slot, owner.epoch)) added.push({ slot, owner, uncertainMilliseconds: 0 });
        }
        this.startRecovery(session, added);
    }

    private startRecovery(session: OwnerSession, slots: readonly AcquiredSlot[]): void {
        if (slots.length === 0) return;
        const numbers = slots.map(({ slot }) => slot);
        this.options.logger.info("slots taken", { owner: session.id, slots: numbers });
        const runsInOutages = this.service?.whenStoreUnavailable === "continue";
        void session.recover(
            slots.map(taken => {
                const previous = taken.owner.journals.at(-2);
                const releasedCleanly = previous === undefined || decodeReference(previous).segments !== undefined;
                return { ...taken, uncertainMilliseconds: runsInOutages && !releasedCleanly ? RESEND_WINDOW_MS : 0 };
            }),
        );
    }

    /** Takes up to `count` slots that have no owner, or whose owner is fenced. */
    private async takeSlots(session: OwnerSession, count: number): Promise<void> {
        const table = this.tableStore.latest;
        if (table === undefined) return;
        const fencedOwners = new Set<string>();
        for (const owner of ownersOf(table)) {
            if (owner !== session.id && (await this.tryFence(owner, table, session))) fencedOwners.add(owner);
        }
        const changed = await this.tableStore.change(current => {
            let left = count;
            return current.slots.map(owner => {
                const available = owner === undefined || owner.target === "" || fencedOwners.has(ownerId(owner));
                if (!available || left === 0) return owner;
                left -= 1;
                return this.createOwner(session, owner);
            });
        });
        if (changed !== undefined && !session.lost) this.applyTable(session, changed);
    }

    /** Takes an owner's lease if it has expired. Returns whether the owner can never use its slots again. */
    private async tryFence(owner: string, table: SlotTable, session: OwnerSession): Promise<boolean> {
        if (this.observer.isTaken(owner)) return true;
        if (!this.observer.isExpired(owner)) return false;
        if (this.service?.whenStoreUnavailable === "continue") {
            const target = table.slots.find(slot => slot !== undefined && ownerId(slot) === owner)?.target ?? "";
            if (this.options.confirmedGone?.(target) !== true) return false;
        }
        return await this.observer.takeLease(owner, session.id);
    }

    private createOwner(session: OwnerSession, before: SlotOwner | undefined): SlotOwner {
        return {
            target: this.options.target,
            incarnation: this.options.incarnation,
            epoch: (before?.epoch ?? 0) + 1,
            journals: [...(before?.journals ?? []), session.id],
        };
    }

    private startRelease(session: OwnerSession, slots: readonly number[]): void {
        this.releasing = this.release(session, slots, "drained").finally(() => {
            this.releasing = undefined;
        });
    }

    /** Releases slots after their runs have ended and the journal segments with their records are sealed. */
    private async release(session: OwnerSession, slots: readonly number[], when: "drained" | "always"): Promise<void> {
        const drained = Promise.all(slots.map(slot => session.registry.drain(slot))).then(() => true);
        const isDrained = await withTimeout(drained, DRAIN_TIMEOUT_MS, false);
        if (!isDrained && when === "drained") {
            for (const slot of slots) session.registry.resume(slot);
            return;
        }
        const segments = await session.journal.seal();
        if (segments === undefined) return;
        const sealed = encodeReference({ journal: session.id, segments });
        const released = new Set(slots);
        const changed = await this.tableStore.change(current =>
            current.slots.map((owner, slot) => {
                if (owner === undefined || !released.has(slot) || ownerId(owner) !== session.id) return owner;
                const journals = [...owner.journals.slice(0, -1), ...(segments === 0 ? [] : [sealed])];
                return { target: "", incarnation: "", epoch: owner.epoch, journals };
            }),
        );
        if (changed === undefined) {
            for (const slot of slots) session.registry.resume(slot);
            return;
        }
        this.applyTable(session, changed);
        this.options.logger.info("slots released", { owner: session.id, slots });
    }
}

/** Ids of the owners in a table; released slots have none. */
function ownersOf(table: SlotTable): ReadonlySet<string> {
    const owned = table.slots.filter((owner): owner is SlotOwner => owner !== undefined && owner.target !== "");
    return new Set(owned.map(ownerId));
}
