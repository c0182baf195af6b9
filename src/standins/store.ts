/**
 * A stand-in for the platform's object API and VM list, with rate limits and faults that tests switch on.
 *
 * A call takes effect half way through its answer time, so that slow answers also delay effects. Stale reads show the
 * state of some time ago; lists are stale as a whole, with the revision that belongs to their objects.
 */
import type { Vm } from "../model/index.js";
import { InterruptiblePause } from "../model/pause.js";
import type {
    ListOutcome,
    ReadOutcome,
    Store,
    StoredObject,
    StoreEvent,
    WatchOutcome,
    WriteOutcome,
} from "../store/index.js";
import { afterLag, sleep } from "./timing.js";

/** Limits of the stand-in store. */
export interface StandInStoreOptions {
    readonly writesPerSecond?: number;
    readonly readsPerSecond?: number;
    /** Changes that are kept for watches; clients with an older revision have to list again. */
    readonly maximumHistory?: number;
    /** Time after which a change of the VM list is visible. */
    readonly vmListLagMilliseconds?: number;
}

/** Calls of one client by kind. Refused calls are counted in their kind and in `refused`. */
export interface StoreCallCounts {
    read: number;
    list: number;
    write: number;
    remove: number;
    watch: number;
    refused: number;
}

type CallKind = Exclude<keyof StoreCallCounts, "refused">;

interface Change {
    readonly revision: number;
    readonly changedAt: number;
    readonly key: string;
    readonly before: StoredObject | undefined;
    readonly after: StoredObject | undefined;
}

type Unavailable = Extract<WriteOutcome, { kind: "unavailable" }>;

/** Messages of `unavailable` outcomes. */
export const STORE_OUTAGE = "outage";
export const STORE_RATE_LIMIT = "rate limit";
export const STORE_VALUE_TOO_LARGE = "value above 1 MB";
export const STORE_REVISION_TOO_OLD = "revision too old";
export const STORE_TIMEOUT = "no answer in time";

const MAXIMUM_VALUE_BYTES = 1_048_576;

/** Allows `rate` calls a second, with bursts of at most one second's worth. */
class RateLimiter {
    private usedUntil = -Infinity;

    constructor(private readonly rate: number) {}

    tryTake(): boolean {
        const now = performance.now();
        const next = Math.max(this.usedUntil, now - 1_000) + 1_000 / this.rate;
        if (next > now + 1e-6) return false;
        this.usedUntil = next;
        return true;
    }
}

function unavailable(message: string): Unavailable {
    return { kind: "unavailable", message };
}

/** The stand-in store. */
export class StandInStore {
    private readonly objects = new Map<string, StoredObject>();
    /** Last version of each key, kept after a removal so that no version is reused. */
    private readonly versions = new Map<string, number>();
    private readonly counters = new Map<string, StoreCallCounts>();
    private readonly waitingWatches = new Set<InterruptiblePause>();
    private readonly clientsInOutage = new Set<string>();
    private vms: readonly Vm[] | undefined;
    private readonly writeLimiter: RateLimiter;
    private readonly readLimiter: RateLimiter;
    private history: Change[] = [];
    private revision = 0;
    private currentEra = 0;
    private outage = false;
    private slowMilliseconds = 0;
    private staleMilliseconds = 0;
    private lostAnswers = { count: 0, applied: true };

    private constructor(private readonly options: StandInStoreOptions) {
        this.writeLimiter = new RateLimiter(options.writesPerSecond ?? 400);
        this.readLimiter = new RateLimiter(options.readsPerSecond ?? 2_000);
    }

    /** An empty store. */
    static create(options: StandInStoreOptions = {}): StandInStore {
        return new StandInStore(options);
    }

    /** The store as the named client sees it. Calls that take longer than the timeout end without an answer. */
    client(name: string, timeoutMilliseconds = 500): Store {
        return {
            read: key => this.call(name, "read", timeoutMilliseconds, () => this.read(key)),
            list: prefix => this.call(name, "list", timeoutMilliseconds, () => this.list(prefix)),
            write: (key, value, expected) =>
                this.change(name, "write", timeoutMilliseconds, () => this.write(key, value, expected)),
            remove: (key, expected) =>
                this.change(name, "remove", timeoutMilliseconds, () => this.write(key, undefined, expected)),
            watch: async (prefix, revision, milliseconds) => {
                const start = await this.call(name, "watch", timeoutMilliseconds, () => ({
                    kind: "accepted" as const,
                }));
                return start.kind === "accepted" ? this.watch(name, prefix, revision, milliseconds) : start;
            },
        };
    }

    /** Calls of a client so far. */
    counts(name: string): Readonly<StoreCallCounts> {
        return { ...this.countersOf(name) };
    }

    /** Calls of all clients by name. */
    allCounts(): Readonly<Record<string, Readonly<StoreCallCounts>>> {
        return Object.fromEntries(this.counters);
    }

    /** The newest object of a key, without a call. */
    peek(key: string): StoredObject | undefined {
        return this.objects.get(key);
    }

    /** All keys below a prefix, without a call. */
    keys(prefix = ""): readonly string[] {
        return [...this.objects.keys()].filter(key => key.startsWith(prefix)).sort();
    }

    /** Refuses all calls, or those of one client. Waiting watches end. */
    setOutage(on: boolean, client?: string): void {
        if (client === undefined) this.outage = on;
        else if (on) this.clientsInOutage.add(client);
        else this.clientsInOutage.delete(client);
        this.wakeWatches();
    }

    /** Each answer takes this long; 0 answers at once. */
    setSlow(milliseconds: number): void {
        this.slowMilliseconds = milliseconds;
    }

    /** The next `count` writes and removals end without an answer, after they took effect or without effect. */
    loseWriteAnswers(count: number, applied = true): void {
        this.lostAnswers = { count, applied };
    }

    /** Reads and lists show the state of `lagMilliseconds` ago, in which a newer key is missing. */
    setStaleReads(on: boolean, lagMilliseconds = 1_000): void {
        this.staleMilliseconds = on ? lagMilliseconds : 0;
    }

    /** Number of restorations so far. */
    get era(): number {
        return this.currentEra;
    }

    /** Returns to the state of `ageMilliseconds` ago. Versions and revisions since then are given out again. */
    restore(ageMilliseconds: number): void {
        const copiedAt = performance.now() - ageMilliseconds;
        const lost = this.history.filter(change => change.changedAt > copiedAt);
        for (const { key, before } of lost.toReversed()) {
            this.versions.set(key, (this.versions.get(key) ?? 1) - 1);
            if (before === undefined) this.objects.delete(key);
            else this.objects.set(key, before);
        }
        this.history = this.history.slice(0, this.history.length - lost.length);
        this.revision -= lost.length;
        this.currentEra += 1;
        this.wakeWatches();
    }

    /** Replaces the VM list; readers see it after the lag. The first list is visible at once. */
    setVms(vms: readonly Vm[]): void {
        const lag = this.vms === undefined ? 0 : this.options.vmListLagMilliseconds;
        afterLag(lag, () => (this.vms = vms.filter(vm => vm.state !== "gone")));
    }

    /** The VM list as readers see it. VMs that are gone are not in it. */
    listVms(): readonly Vm[] {
        return this.vms ?? [];
    }

    private countersOf(name: string): StoreCallCounts {
        const counts = this.counters.get(name) ?? { read: 0, list: 0, write: 0, remove: 0, watch: 0, refused: 0 };
        this.counters.set(name, counts);
        return counts;
    }

    private isInOutage(client: string): boolean {
        return this.outage || this.clientsInOutage.has(client);
    }

    /** Why a call is refused, if it is. Counts the call and uses up one of the second's calls. */
    private checkAdmission(client: string, kind: CallKind): Unavailable | undefined {
        const counts = this.countersOf(client);
        counts[kind] += 1;
        const limit = kind === "write" || kind === "remove" ? this.writeLimiter : this.readLimiter;
        const message = this.isInOutage(client) ? STORE_OUTAGE : limit.tryTake() ? undefined : STORE_RATE_LIMIT;
        if (message === undefined) return undefined;
        counts.refused += 1;
        return unavailable(message);
    }

    private async call<Outcome>(
        client: string,
        kind: CallKind,
        timeout: number,
        run: () => Outcome,
    ): Promise<Outcome | Unavailable> {
        const delay = this.slowMilliseconds;
        const answer = sleep(delay / 2).then(() => this.checkAdmission(client, kind) ?? run());
        if (delay <= timeout) {
            const outcome = await answer;
            await sleep(delay / 2);
            return outcome;
        }
        await sleep(timeout);
        return unavailable(STORE_TIMEOUT);
    }

    private async change(
        client: string,
        kind: "write" | "remove",
        timeout: number,
        run: () => WriteOutcome,
    ): Promise<WriteOutcome> {
        const outcome = await this.call(client, kind, timeout, (): WriteOutcome => {
            if (this.lostAnswers.count === 0) return run();
            this.lostAnswers.count -= 1;
            if (this.lostAnswers.applied) run();
            return { kind: "unknown", message: "connection ended" };
        });
        const timedOut = outcome.kind === "unavailable" && outcome.message === STORE_TIMEOUT;
        return timedOut ? { kind: "unknown", message: STORE_TIMEOUT } : outcome;
    }

    /** The changes that stale reads do not show yet, oldest first. */
    private hiddenChanges(): readonly Change[] {
        if (this.staleMilliseconds === 0) return [];
        const visibleUntil = performance.now() - this.staleMilliseconds;
        return this.history.filter(change => change.changedAt > visibleUntil);
    }

    private read(key: string): ReadOutcome {
        const hidden = this.hiddenChanges().find(change => change.key === key);
        const object = hidden === undefined ? this.objects.get(key) : hidden.before;
        const era = this.currentEra;
        return object === undefined ? { kind: "missing", era } : { kind: "found", object, era };
    }

    private list(prefix: string): ListOutcome {
        const objects = new Map(this.objects);
        const hidden = this.hiddenChanges();
        for (const change of hidden.toReversed()) {
            if (change.before === undefined) objects.delete(change.key);
            else objects.set(change.key, change.before);
        }
        const listed = [...objects.values()].filter(object => object.key.startsWith(prefix));
        const revision = hidden[0] === undefined ? this.revision : hidden[0].revision - 1;
        const sorted = listed.sort((a, b) => (a.key < b.key ? -1 : 1));
        return { kind: "listed", objects: sorted, revision, era: this.currentEra };
    }

    private write(key: string, value: string | undefined, expectedVersion: number): WriteOutcome {
        if (value !== undefined && Buffer.byteLength(value) > MAXIMUM_VALUE_BYTES) {
            return unavailable(STORE_VALUE_TOO_LARGE);
        }
        const before = this.objects.get(key);
        if ((before?.version ?? 0) !== expectedVersion) return { kind: "conflict" };
        if (value === undefined && before === undefined) return { kind: "conflict" };
        const version = (this.versions.get(key) ?? 0) + 1;
        const after = value === undefined ? undefined : { key, version, value };
        this.versions.set(key, version);
        if (after === undefined) this.objects.delete(key);
        else this.objects.set(key, after);
        this.revision += 1;
        this.history.push({ revision: this.revision, changedAt: performance.now(), key, before, after });
        const maximum = this.options.maximumHistory ?? 10_000;
        if (this.history.length > maximum * 1.1) this.history = this.history.slice(-maximum);
        this.wakeWatches();
        return { kind: "written", version, era: this.currentEra };
    }

    private wakeWatches(): void {
        for (const waiter of this.waitingWatches) waiter.end();
    }

    /** The newest change of each key below the prefix after the revision. */
    private eventsAfter(prefix: string, revision: number): readonly StoreEvent[] {
        const events = new Map<string, StoreEvent>();
        const first = revision - (this.history[0]?.revision ?? 1) + 1;
        for (const { key, after } of this.history.slice(Math.max(0, first))) {
            if (!key.startsWith(prefix)) continue;
            events.delete(key);
            events.set(key, after === undefined ? { key } : { key, object: after });
        }
        return [...events.values()];
    }

    private async watch(
        client: string,
        prefix: string,
        revision: number,
        timeoutMilliseconds: number,
    ): Promise<WatchOutcome> {
        const oldest = this.history[0]?.revision ?? this.revision + 1;
        if (revision < oldest - 1 || revision > this.revision) return unavailable(STORE_REVISION_TOO_OLD);
        const endsAt = performance.now() + timeoutMilliseconds;
        const era = this.currentEra;
        for (;;) {
            if (this.isInOutage(client)) return unavailable(STORE_OUTAGE);
            const events = this.eventsAfter(prefix, revision);
            const remaining = endsAt - performance.now();
            if (this.currentEra !== era) return unavailable(STORE_REVISION_TOO_OLD);
            if (events.length > 0 || remaining <= 0) return { kind: "changed", events, revision: this.revision, era };
            await this.waitForChange(remaining);
        }
    }

    /** Waits for the next change of the store or of its outage. */
    private async waitForChange(milliseconds: number): Promise<void> {
        const waiter = InterruptiblePause.create();
        this.waitingWatches.add(waiter);
        await waiter.wait(milliseconds);
        this.waitingWatches.delete(waiter);
    }
}
