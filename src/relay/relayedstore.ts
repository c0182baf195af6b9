/**
 * A store whose lists and watches come from a relay while one is followed, and from the store itself otherwise.
 *
 * Whoever watches through it sees no difference but a delay, which is bounded for each watch by its own waiting time: a
 * relay asks the store more often than its followers would, and a follower asks the store itself before a watch of its own
 * would have ended.
 */
import { withTimeout } from "../model/pause.js";
import type { ListOutcome, ReadOutcome, Store, StoreEra, WatchOutcome, WriteOutcome } from "../store/index.js";
import type { Publisher } from "./publisher.js";
import type { Subscription } from "./subscription.js";

/** Part of the waiting time of a watch for which a relay with followers waits at the store. */
const RELAY_WAIT_SHARE = 0.65;

/** Age up to which the knowledge of a relay counts, relative to the waiting time of the watch. */
const AGE_LIMIT_RATIO = 0.9;

/**
 * Age in milliseconds up to which a list of a relay counts, which is that of a watch on a dead connection. The watch after
 * it has a stricter limit.
 */
const LIST_AGE_LIMIT_MS = 2_600;

/** Time in milliseconds that a gateway which starts waits for the other gateways to be known, and for a relay's list. */
const START_WAIT_MS = 400;

/** What a relayed store depends on. */
export interface RelayedStoreOptions {
    readonly direct: Store;
    /** Prefix of the registrations of gateways, which is listed before a relay can be chosen. */
    readonly gatewayPrefix: string;
    readonly publisher: Publisher;
    /** Whether this gateway may be followed itself. */
    readonly isRelay: () => boolean;
    /** The relay that is followed; undefined if there is none. */
    readonly subscription: () => Subscription | undefined;
}

/** A store that is followed through a relay. */
export class RelayedStore implements Store {
    private resolveGatewaysListed: () => void = () => undefined;
    private readonly gatewaysListed = new Promise<void>(resolve => (this.resolveGatewaysListed = resolve));
    /** Prefixes that were followed through a relay, or for which none was found in time. */
    private readonly started = new Set<string>();

    /** The latest era of the store that is known. What a relay says of an earlier one is out of date. */
    private era: StoreEra = 0;

    private constructor(private readonly options: RelayedStoreOptions) {}

    static create(options: RelayedStoreOptions): RelayedStore {
        return new RelayedStore(options);
    }

    read(key: string): Promise<ReadOutcome> {
        return this.options.direct.read(key);
    }

    write(key: string, value: string, expectedVersion: number): Promise<WriteOutcome> {
        return this.options.direct.write(key, value, expectedVersion);
    }

    remove(key: string, expectedVersion: number): Promise<WriteOutcome> {
        return this.options.direct.remove(key, expectedVersion);
    }

    async list(prefix: string): Promise<ListOutcome> {
        const { direct, gatewayPrefix, isRelay, publisher } = this.options;
        if (prefix !== gatewayPrefix) await this.awaitRelay(prefix);
        const relayed = this.relayOf(prefix)?.list(prefix, LIST_AGE_LIMIT_MS);
        if (relayed !== undefined && this.isCurrent(relayed)) return relayed;
        const outcome = await direct.list(prefix);
        if (outcome.kind === "listed") this.isCurrent(outcome);
        if (isRelay()) publisher.recordList(prefix, outcome);
        // Whoever asked takes the gateways over before a relay is chosen.
        if (prefix === gatewayPrefix) setImmediate(this.resolveGatewaysListed);
        return outcome;
    }

    async watch(prefix: string, revision: number, timeoutMilliseconds: number): Promise<WatchOutcome> {
        const { direct, isRelay, publisher } = this.options;
        await this.awaitRelay(prefix);
        const limitMs = timeoutMilliseconds * AGE_LIMIT_RATIO;
        const relayed = await this.relayOf(prefix)?.watch(prefix, revision, timeoutMilliseconds, limitMs);
        if (relayed === "misaligned") return { kind: "historyGone" };
        if (relayed !== undefined && this.isCurrent(relayed)) return relayed;
        const waitMs = publisher.followerCount > 0 ? timeoutMilliseconds * RELAY_WAIT_SHARE : timeoutMilliseconds;
        const outcome = await direct.watch(prefix, revision, Math.round(waitMs));
        if (outcome.kind === "changed") this.isCurrent(outcome);
        if (!isRelay() || publisher.recordWatch(prefix, revision, outcome)) return outcome;
        return { kind: "historyGone" };
    }

    /** The relay that is followed, unless it has not noticed yet that the store was restored. */
    private relayOf(prefix: string): Subscription | undefined {
        const subscription = this.options.subscription();
        return (subscription?.eraOf(prefix) ?? this.era) < this.era ? undefined : subscription;
    }

    /** Whether an answer is of the latest era that is known, which it may begin. */
    private isCurrent({ era }: { readonly era: StoreEra }): boolean {
        this.era = Math.max(this.era, era);
        return era === this.era;
    }

    private async awaitRelay(prefix: string): Promise<void> {
        if (this.started.has(prefix)) return;
        await withTimeout(this.gatewaysListed, START_WAIT_MS, undefined);
        await this.options.subscription()?.known(prefix, START_WAIT_MS);
        this.started.add(prefix);
    }
}
