/**
 * A local copy of the objects under a prefix, kept up to date by one list and then consecutive long-polling watches.
 *
 * While the store is unreachable, the copy keeps its objects. A list that is older than the copy is ignored, and an
 * object is never replaced by an older version of itself.
 *
 * After the store was restored from a copy (its era has risen), versions start anew. Whoever wrote the lost changes writes
 * them again, so what the store does not show may only be lost. For a limited time the view therefore keeps objects that
 * the store lacks, and does not take back objects that were removed, unless a later change confirms it.
 */
import { describeError } from "../model/error.js";
import { InterruptiblePause } from "../model/pause.js";
import type { ListOutcome, Store, StoredObject, StoreEra, StoreEvent } from "./store.js";

/** Options of a view. */
export interface StoreViewOptions {
    readonly store: Store;
    readonly prefix: string;
    /** Waiting time of one watch call. */
    readonly watchMilliseconds?: number;
    /** Time in milliseconds after a restoration in which lost changes are written again; 5,000 by default. */
    readonly settleMilliseconds?: number;
    /** Called when calls begin to fail and when they succeed again. */
    readonly onAvailability?: (change: AvailabilityChange) => void;
    /** Called when the store was restored from a copy, and when the view agrees with it again. */
    readonly onRestoration?: (change: RestorationChange) => void;
    /** Called when objects begin to be ignored because the view is full. */
    readonly onFull?: (full: FullView) => void;
}

/** A view that does not take an object, with the number of those that it has and their characters. */
export interface FullView {
    readonly key: string;
    readonly objects: number;
    readonly characters: number;
}

/** Whether the store became unreachable or reachable again. */
export type AvailabilityChange =
    { readonly kind: "lost"; readonly message: string } | { readonly kind: "regained"; readonly outageMs: number };

/**
 * Progress after the store was restored. `missing` keys are kept though the store lacks them, `reappeared` ones are not
 * taken back though the store has them; when it settles, the store is believed in both.
 */
export interface RestorationChange {
    readonly kind: "restored" | "settled";
    readonly era: StoreEra;
    readonly missing: readonly string[];
    readonly reappeared: readonly string[];
}

/** Called once for each change of the copy; `object` is absent after a removal. */
export type ViewListener = (event: StoreEvent) => void;

const DEFAULT_WATCH_MS = 30_000;
const FIRST_BACKOFF_MS = 50;
/** Bounds how late changes arrive after an outage. Jitter spreads the calls of many processes over half of it. */
const MAXIMUM_BACKOFF_MS = 1_000;
/** Outcome of one call. After `historyGone`, the view has to list again before it can watch. */
type CallOutcome = "succeeded" | "historyGone" | "failed";

/**
 * Time in milliseconds after a restoration for which the view waits until lost changes are written again. Writers that
 * renew their objects do so at least every few seconds.
 */
const DEFAULT_SETTLE_MS = 5_000;

/** Pause in milliseconds before the state that the view settles on is listed again after a failed call. */
const SETTLE_RETRY_MS = 500;

/** Maximum number of objects of a view, and of the characters of their keys and values. */
const MAXIMUM_OBJECTS = 20_000;
const MAXIMUM_CHARACTERS = 16 * 1024 * 1024;

/** Maximum number of removed keys whose versions are kept. */
const MAXIMUM_REMOVED = 10_000;

/** A local copy of the objects under a prefix. */
export class StoreView {
    /** Resolves after the first successful list. Stays pending if the view is stopped before that. */
    readonly ready: Promise<void>;
    private readonly objectsByKey = new Map<string, StoredObject>();
    /** Highest version seen of each removed key, so that a stale version does not restore the object. */
    private readonly removed = new Map<string, number>();
    private readonly listeners = new Set<ViewListener>();
    private stopped = false;
    private readonly pause = InterruptiblePause.create();
    private resolveReady: () => void = () => undefined;
    /** Revision of the copy; undefined before the first list. */
    private revision: number | undefined;
    private era: StoreEra | undefined;
    /** Versions of the keys that were removed in earlier eras, while the view settles. */
    private readonly removedEarlier = new Map<string, number>();
    /** What the store shows of the keys in which it is not believed yet; undefined for keys that it lacks. */
    private readonly withheld = new Map<string, StoredObject | undefined>();
    private characters = 0;
    /** Whether an object was ignored since there was last room for it. */
    private isFull = false;
    private settleTimer: NodeJS.Timeout | undefined;
    private reachable = false;
    private failingSince: number | undefined;
    private recoveredAt = Number.NEGATIVE_INFINITY;

    private constructor(private readonly options: StoreViewOptions) {
        this.ready = new Promise(resolve => {
            this.resolveReady = resolve;
        });
    }

    /** Starts a view that follows a prefix. */
    static start(options: StoreViewOptions): StoreView {
        const view = new StoreView(options);
        void view.follow();
        return view;
    }

    /** The objects by key. */
    get objects(): ReadonlyMap<string, StoredObject> {
        return this.objectsByKey;
    }

    /** Whether the last call to the store succeeded. */
    get available(): boolean {
        return this.reachable;
    }

    /** Milliseconds since the last outage (a series of failed calls) ended; infinite if none has ended. */
    get millisecondsSinceOutage(): number {
        return performance.now() - this.recoveredAt;
    }

    /** Calls the listener for each further change. Returns a function that unsubscribes it. */
    subscribe(listener: ViewListener): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    /** Stops following. A pending watch is not cancelled and ends by its own timeout. */
    stop(): void {
        this.stopped = true;
        clearTimeout(this.settleTimer);
        this.pause.end();
        this.listeners.clear();
    }

    private async follow(): Promise<void> {
        let failures = 0;
        let listNeeded = true;
        while (!this.stopped) {
            const isList: boolean = listNeeded;
            const call: Promise<CallOutcome> = isList ? this.list() : this.watch();
            // An exception of a listener must not end the view; what it missed is in the next list.
            const outcome = await call.catch((error: unknown) => this.fail(describeError(error)));
            if (this.stopped) return;
            this.reachable = outcome !== "failed";
            listNeeded = outcome !== "succeeded";
            // A list alone does not end a series: the watch after it may be refused again.
            if (listNeeded) failures += 1;
            else if (!isList) failures = 0;
            if (outcome === "failed" || (listNeeded && failures > 1)) await this.backOff(failures);
        }
    }

    private async list(): Promise<CallOutcome> {
        const outcome = await this.options.store.list(this.options.prefix);
        if (this.stopped) return "failed";
        if (outcome.kind === "unavailable") return this.fail(outcome.message);
        this.recover();
        const isRestored = this.era !== undefined && outcome.era > this.era;
        if (isRestored) this.beginEra();
        else if (outcome.revision < (this.revision ?? 0)) return "succeeded";
        this.era = outcome.era;
        try {
            this.reconcile(outcome);
        } finally {
            if (isRestored) this.reportRestoration("restored");
        }
        this.revision = outcome.revision;
        this.resolveReady();
        return "succeeded";
    }

    private async watch(): Promise<CallOutcome> {
        const { store, prefix, watchMilliseconds } = this.options;
        const outcome = await store.watch(prefix, this.revision ?? 0, watchMilliseconds ?? DEFAULT_WATCH_MS);
        if (this.stopped) return "failed";
        if (outcome.kind === "historyGone") return "historyGone";
        if (outcome.kind === "unavailable") return this.fail(outcome.message);
        // The revision to watch from belongs to the earlier era.
        if (outcome.era !== this.era) return "historyGone";
        const { isFull, characters } = this;
        for (const event of outcome.events) this.apply(event);
        this.revision = Math.max(this.revision ?? 0, outcome.revision);
        // What was ignored may fit now.
        return isFull && this.characters < characters ? "historyGone" : "succeeded";
    }

    /** Forgets all versions and revisions, which the store gives out again. */
    private beginEra(): void {
        this.revision = undefined;
        for (const [key, object] of this.objectsByKey) this.objectsByKey.set(key, { ...object, version: 0 });
        for (const [key, version] of this.removed) this.removedEarlier.set(key, version);
        this.removed.clear();
        this.withheld.clear();
        this.scheduleSettlement(this.options.settleMilliseconds ?? DEFAULT_SETTLE_MS);
    }

    /** Applies a list. While the view settles, only what was written since the restoration is taken for news. */
    private reconcile({ objects }: Extract<ListOutcome, { kind: "listed" }>): void {
        this.isFull &&= this.characters > MAXIMUM_CHARACTERS / 2 || this.objectsByKey.size > MAXIMUM_OBJECTS / 2;
        const isSettling = this.settleTimer !== undefined;
        const listed = new Set(objects.map(object => object.key));
        for (const [key, { version }] of [...this.objectsByKey]) {
            if (listed.has(key)) continue;
            // An object that was seen in this era has been removed since.
            if (isSettling && version === 0) this.withheld.set(key, undefined);
            else this.apply({ key });
        }
        for (const object of objects) {
            const { key, version } = object;
            // A copy that still has the object shows no later version of it than the one that was removed.
            if (version <= (this.removedEarlier.get(key) ?? 0)) this.withheld.set(key, object);
            else this.apply({ key, object });
        }
    }

    private scheduleSettlement(milliseconds: number): void {
        clearTimeout(this.settleTimer);
        this.settleTimer = setTimeout(() => void this.settleOrRetry(), milliseconds);
    }

    /** An exception of a listener must not leave the other objects as they are. */
    private async settleOrRetry(): Promise<void> {
        const { era } = this;
        try {
            await this.settle();
        } catch (error) {
            this.fail(describeError(error));
            if (!this.stopped && this.era === era) this.scheduleSettlement(SETTLE_RETRY_MS);
        }
    }

    /** Believes the store, as it is now, in what no later change has confirmed or refuted. */
    private async settle(): Promise<void> {
        const { era } = this;
        const outcome = await this.options.store.list(this.options.prefix);
        // A further restoration has begun a time of its own.
        if (this.stopped || this.era !== era) return;
        if (outcome.kind !== "listed" || outcome.era !== era) {
            this.scheduleSettlement(SETTLE_RETRY_MS);
            return;
        }
        this.reportRestoration("settled");
        const objects = new Map(outcome.objects.map(object => [object.key, object]));
        for (const key of [...this.withheld.keys()]) {
            const object = objects.get(key);
            this.apply(object === undefined ? { key } : { key, object });
        }
        this.settleTimer = undefined;
        this.removedEarlier.clear();
    }

    private reportRestoration(kind: RestorationChange["kind"]): void {
        const keys = [...this.withheld.keys()];
        const isMissing = (key: string): boolean => this.withheld.get(key) === undefined;
        this.options.onRestoration?.({
            kind,
            era: this.era ?? 0,
            missing: keys.filter(isMissing),
            reappeared: keys.filter(key => !isMissing(key)),
        });
    }

    private fail(message: string): CallOutcome {
        if (this.failingSince === undefined) {
            this.failingSince = performance.now();
            this.options.onAvailability?.({ kind: "lost", message });
        }
        return "failed";
    }

    private recover(): void {
        if (this.failingSince === undefined) return;
        const outageMs = performance.now() - this.failingSince;
        this.failingSince = undefined;
        this.recoveredAt = performance.now();
        this.options.onAvailability?.({ kind: "regained", outageMs });
    }

    private apply(event: StoreEvent): void {
        const { key, object } = event;
        this.withheld.delete(key);
        const known = this.objectsByKey.get(key);
        const knownVersion = known?.version ?? this.removed.get(key) ?? 0;
        if (object === undefined) {
            if (known === undefined) return;
            this.set(key, undefined);
            this.removed.set(key, knownVersion);
            const [oldest] = this.removed.keys();
            if (oldest !== undefined && this.removed.size > MAXIMUM_REMOVED) this.removed.delete(oldest);
        } else {
            if (object.version <= knownVersion || !this.hasRoomFor(object)) return;
            this.removed.delete(key);
            this.removedEarlier.delete(key);
            this.set(key, object);
        }
        const mayBeOlder = known?.version === 0;
        for (const listener of [...this.listeners]) listener(mayBeOlder ? { ...event, mayBeOlder } : event);
    }

    /** Whether an object fits into the view. An object that does not is in the next list. */
    private hasRoomFor(object: StoredObject): boolean {
        const known = this.objectsByKey.get(object.key);
        const objects = this.objectsByKey.size + (known === undefined ? 1 : 0);
        const characters = this.characters + lengthOf(object) - lengthOf(known);
        if (objects <= MAXIMUM_OBJECTS && characters <= MAXIMUM_CHARACTERS) return true;
        if (!this.isFull) {
            const { size } = this.objectsByKey;
            this.options.onFull?.({ key: object.key, objects: size, characters: this.characters });
        }
        this.isFull = true;
        return false;
    }

    private set(key: string, object: StoredObject | undefined): void {
        this.characters += lengthOf(object) - lengthOf(this.objectsByKey.get(key));
        if (object === undefined) this.objectsByKey.delete(key);
        else this.objectsByKey.set(key, object);
    }

    private backOff(failures: number): Promise<void> {
        const maximumDelay = Math.min(MAXIMUM_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (failures - 1));
        return this.pause.wait(maximumDelay * (0.5 + Math.random() / 2));
    }
}

/** Characters of an object in a view. */
function lengthOf(object: StoredObject | undefined): number {
    if (object === undefined) return 0;
    return object.key.length + object.value.length + (object.status?.length ?? 0);
}
