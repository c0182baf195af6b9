/**
 * A local copy of the objects under a prefix, kept up to date by one list and then consecutive long-polling watches.
 *
 * While the store is unreachable, the copy keeps its objects. A list that is older than the copy is ignored, and an
 * object is never replaced by an older version of itself.
 */
import { InterruptiblePause } from "../model/pause.js";
import type { Store, StoredObject, StoreEvent } from "./store.js";

/** Options of a view. */
export interface StoreViewOptions {
    readonly store: Store;
    readonly prefix: string;
    /** Waiting time of one watch call. */
    readonly watchMilliseconds?: number;
    /** Called when calls begin to fail and when they succeed again. */
    readonly onAvailability?: (change: AvailabilityChange) => void;
}

/** Whether the store became unreachable or reachable again. */
export type AvailabilityChange =
    { readonly kind: "lost"; readonly message: string } | { readonly kind: "regained"; readonly outageMs: number };

/** Called once for each change of the copy; `object` is absent after a removal. */
export type ViewListener = (event: StoreEvent) => void;

const DEFAULT_WATCH_MS = 30_000;
const FIRST_BACKOFF_MS = 50;
/** Bounds how late changes arrive after an outage. Jitter spreads the calls of many processes over half of it. */
const MAXIMUM_BACKOFF_MS = 1_000;
/** Outcome of one call. After `historyGone`, the view has to list again before it can watch. */
type CallOutcome = "succeeded" | "historyGone" | "failed";

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
        this.pause.end();
        this.listeners.clear();
    }

    private async follow(): Promise<void> {
        let failures = 0;
        let listNeeded = true;
        while (!this.stopped) {
            const outcome: CallOutcome = listNeeded ? await this.list() : await this.watch();
            if (this.stopped) return;
            const failed = outcome === "failed";
            this.reachable = !failed;
            listNeeded = outcome !== "succeeded";
            failures = failed ? failures + 1 : 0;
            if (failed) await this.backOff(failures);
        }
    }

    private async list(): Promise<CallOutcome> {
        const outcome = await this.options.store.list(this.options.prefix);
        if (this.stopped) return "failed";
        if (outcome.kind === "unavailable") return this.fail(outcome.message);
        this.recover();
        if (outcome.revision < (this.revision ?? 0)) return "succeeded";
        const listed = new Set(outcome.objects.map(object => object.key));
        for (const key of [...this.objectsByKey.keys()]) {
            if (!listed.has(key)) this.apply({ key });
        }
        for (const object of outcome.objects) this.apply({ key: object.key, object });
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
        for (const event of outcome.events) this.apply(event);
        this.revision = Math.max(this.revision ?? 0, outcome.revision);
        return "succeeded";
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
        const knownVersion = this.objectsByKey.get(key)?.version ?? this.removed.get(key) ?? 0;
        if (object === undefined) {
            if (!this.objectsByKey.delete(key)) return;
            this.removed.set(key, knownVersion);
            const [oldest] = this.removed.keys();
            if (oldest !== undefined && this.removed.size > MAXIMUM_REMOVED) this.removed.delete(oldest);
        } else {
            if (object.version <= knownVersion) return;
            this.removed.delete(key);
            this.objectsByKey.set(key, object);
        }
        for (const listener of [...this.listeners]) listener(event);
    }

    private backOff(failures: number): Promise<void> {
        const maximumDelay = Math.min(MAXIMUM_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (failures - 1));
        return this.pause.wait(maximumDelay * (0.5 + Math.random() / 2));
    }
}
