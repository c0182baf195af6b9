/**
 * Notices when the store was restored from a copy, by the era in its answers.
 *
 * Claims that the store had acknowledged may be lost then. Whoever reads journals afterwards cannot tell which keys were run.
 */
import type { Store, StoreEra } from "../store/index.js";

/** Passes calls on to a store and follows its era. */
export class RestorationWatch {
    /** The store, whose answers are followed. */
    readonly store: Store;
    private era: StoreEra | undefined;
    private restoredAt = Number.NEGATIVE_INFINITY;

    private constructor(store: Store) {
        const follow = async <Outcome extends object>(call: Promise<Outcome>): Promise<Outcome> => {
            const outcome = await call;
            if ("era" in outcome && typeof outcome.era === "number") this.record(outcome.era);
            return outcome;
        };
        this.store = {
            read: key => follow(store.read(key)),
            list: prefix => follow(store.list(prefix)),
            write: (key, value, expectedVersion) => follow(store.write(key, value, expectedVersion)),
            remove: (key, expectedVersion) => follow(store.remove(key, expectedVersion)),
            watch: (prefix, revision, milliseconds) => follow(store.watch(prefix, revision, milliseconds)),
        };
    }

    static of(store: Store): RestorationWatch {
        return new RestorationWatch(store);
    }

    /** Milliseconds since this process saw the era rise; infinite if it has not. */
    get millisecondsSinceRestoration(): number {
        return performance.now() - this.restoredAt;
    }

    private record(era: StoreEra): void {
        if (this.era !== undefined && era > this.era) this.restoredAt = performance.now();
        this.era = Math.max(era, this.era ?? era);
    }
}
