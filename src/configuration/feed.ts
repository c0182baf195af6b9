/**
 * Loads the configuration from the store into a process and keeps it up to date.
 *
 * At start the feed reads the newest snapshot and the changes after it. The store may return an older state, so the
 * first version is applied only after a conditional write of the head has shown that it is not stale, unless a peer has
 * supplied that version or a newer one. After that, the feed watches the head and reads each following change by its
 * version, so that no change is skipped or applied twice.
 *
 * What is in force stays in force if the store has lost it. Each process then writes the lost changes again.
 */
import { pause } from "../model/pause.js";
import type { Store, StoredObject, StoreEra } from "../store/index.js";
import { Configuration, type ConfigurationChange } from "./configuration.js";
import { changeKey, decodeChange, decodeHead, HEAD_KEY, raiseHead, SNAPSHOT_INTERVAL, snapshotKey } from "./head.js";
import type { ConfigurationHolder } from "./holder.js";
import { parseRecords } from "./records.js";

/**
 * Waiting time of one watch of the head. A change whose author crashed before it wrote the head is found after at most
 * this time, which is below the 4 s within which an accepted change has to be in force.
 */
const WATCH_TIMEOUT_MS = 1_500;

const RETRY_PAUSE_MS = 100;

/** Longest delay before lost changes are written again, in milliseconds; random, so that most processes find them. */
const REWRITE_DELAY_MS = 1_000;

/** Options of a feed. */
export interface ConfigurationFeedOptions {
    readonly store: Store;
    readonly holder: ConfigurationHolder;
}

type LoadOutcome =
    | { readonly kind: "loaded"; readonly configuration: Configuration }
    | { readonly kind: "unavailable"; readonly message: string };

/** Keeps a process's configuration up to date from the store until it is stopped. */
export class ConfigurationFeed {
    /** Resolves when the first version has been confirmed by the store or supplied by a peer. */
    readonly ready: Promise<void>;
    private reachable = false;
    private stopped = false;
    private firstConfirmed = false;
    /** Highest version read from the head since the start. */
    private headVersion = 0;
    /** Era in which the store is known to have the changes in force. */
    private era: StoreEra | undefined;
    private resolveReady: () => void = () => undefined;

    private constructor(
        private readonly store: Store,
        private readonly holder: ConfigurationHolder,
    ) {
        this.ready = new Promise(resolve => {
            this.resolveReady = resolve;
        });
    }

    /** Starts a feed, which keeps retrying while the store is unavailable. */
    static start(options: ConfigurationFeedOptions): ConfigurationFeed {
        const feed = new ConfigurationFeed(options.store, options.holder);
        void feed.run();
        return feed;
    }

    /** Whether the last call to the store succeeded. */
    get available(): boolean {
        return this.reachable;
    }

    /** Whether the first version has been confirmed by the store or supplied by a peer. */
    get confirmed(): boolean {
        return this.firstConfirmed;
    }

    /** Stops the feed without waiting for a pending call to the store. */
    stop(): void {
        this.stopped = true;
    }

    private async run(): Promise<void> {
        await this.applyFirst();
        if (this.stopped) return;
        this.firstConfirmed = true;
        this.resolveReady();
        await this.follow();
    }

    /** Applies the first version, or returns when a peer has supplied one. */
    private async applyFirst(): Promise<void> {
        while (!this.stopped) {
            const loaded = await this.load();
            this.reachable = loaded.kind === "loaded";
            if (loaded.kind === "loaded" && (await this.confirm(loaded.configuration))) return;
            // While the store is unavailable, a peer's configuration is the newest available.
            if (loaded.kind === "unavailable" && this.holder.current.version > 0) return;
            await pause(RETRY_PAUSE_MS);
        }
    }

    private async confirm(configuration: Configuration): Promise<boolean> {
        if (this.holder.current.version > 0 && this.holder.current.version >= configuration.version) return true;
        const head = await raiseHead(this.store, configuration.version);
        this.reachable = head.kind !== "unavailable";
        if (head.kind !== "confirmed" || head.version > configuration.version) return false;
        this.holder.replace(configuration);
        return true;
    }

    /** Loads the newest configuration that the store returns, which may be stale. */
    private async load(): Promise<LoadOutcome> {
        const head = await this.store.read(HEAD_KEY);
        if (head.kind === "unavailable") return head;
        const headVersion = head.kind === "found" ? decodeHead(head.object.value) : 0;
        let configuration = await this.loadSnapshot(headVersion);
        for (;;) {
            const read = await this.store.read(changeKey(configuration.version + 1));
            if (read.kind === "unavailable") return read;
            if (read.kind === "missing") return { kind: "loaded", configuration };
            const change = decodeChange(read.object.value, configuration.version + 1);
            const next = change && configuration.apply(change);
            if (next === undefined) return { kind: "unavailable", message: "a change is malformed" };
            configuration = next;
        }
    }

    /** Loads the newest snapshot at or below a version, skipping those that are missing or malformed. */
    private async loadSnapshot(version: number): Promise<Configuration> {
        const newest = version - (version % SNAPSHOT_INTERVAL);
        for (let candidate = newest; candidate > 0; candidate -= SNAPSHOT_INTERVAL) {
            const read = await this.store.read(snapshotKey(candidate));
            const records = read.kind === "found" ? parseRecords(read.object.value) : undefined;
            if (records !== undefined) return Configuration.of(candidate, records);
        }
        return Configuration.empty;
    }

    private async follow(): Promise<void> {
        let revision: number | undefined;
        while (!this.stopped) {
            revision ??= await this.listHead();
            const caughtUp = revision !== undefined && (await this.catchUp());
            if (this.stopped) return;
            if (revision === undefined || !caughtUp) {
                await pause(RETRY_PAUSE_MS);
                continue;
            }
            revision = await this.watchHead(revision);
        }
    }

    /** Lists the head and returns the revision to watch it from; undefined if the store is unavailable. */
    private async listHead(): Promise<number | undefined> {
        const listed = await this.store.list(HEAD_KEY);
        this.reachable = listed.kind === "listed";
        if (listed.kind !== "listed") return undefined;
        if (this.era !== undefined && listed.era !== this.era && !(await this.writeAgain())) return undefined;
        this.era = listed.era;
        this.recordHead(listed.objects);
        return listed.revision;
    }

    /** Waits for a new head and returns the next revision; undefined if the head has to be listed again. */
    private async watchHead(revision: number): Promise<number | undefined> {
        const watched = await this.store.watch(HEAD_KEY, revision, WATCH_TIMEOUT_MS);
        this.reachable = watched.kind === "changed";
        if (watched.kind === "changed" && watched.era === this.era) {
            this.recordHead(watched.events.flatMap(event => event.object ?? []));
            return watched.revision;
        }
        await pause(RETRY_PAUSE_MS);
        return undefined;
    }

    /** Writes the changes that the store has lost. Returns false if it did not answer. */
    private async writeAgain(): Promise<boolean> {
        await pause(Math.random() * REWRITE_DELAY_MS);
        const lost: ConfigurationChange[] = [];
        for (const change of this.holder.latestChanges.toReversed()) {
            const read = await this.store.read(changeKey(change.version));
            if (read.kind === "unavailable") return this.markUnreachable();
            if (read.kind === "found") break;
            lost.unshift(change);
        }
        for (const change of lost) {
            const written = await this.store.write(changeKey(change.version), JSON.stringify(change), 0);
            if (written.kind === "unavailable" || written.kind === "unknown") return this.markUnreachable();
        }
        return lost.length === 0 || (await this.raiseHeadTo(this.holder.current.version)) || this.markUnreachable();
    }

    private recordHead(objects: readonly StoredObject[]): void {
        const head = objects.find(object => object.key === HEAD_KEY);
        if (head !== undefined) this.headVersion = Math.max(this.headVersion, decodeHead(head.value));
    }

    /**
     * Applies the changes after the version in force until the store returns no further one. Returns false if the store
     * was unavailable, a change was malformed, or a stale read hid changes up to the head's version.
     */
    private async catchUp(): Promise<boolean> {
        if (this.headVersion - this.holder.current.version > SNAPSHOT_INTERVAL) {
            this.holder.replace(await this.loadSnapshot(this.headVersion));
        }
        while (!this.stopped) {
            const version = this.holder.current.version + 1;
            const read = await this.store.read(changeKey(version));
            if (read.kind === "unavailable") return this.markUnreachable();
            this.reachable = true;
            if (read.kind === "missing") return this.holder.current.version >= this.headVersion;
            const change = decodeChange(read.object.value, version);
            if (change === undefined) return this.markUnreachable();
            if (version > this.headVersion && !(await this.raiseHeadTo(version))) return this.markUnreachable();
            this.holder.advance(change);
        }
        return false;
    }

    /** Writes the head for an author that crashed before writing it: no version above the head may be in force. */
    private async raiseHeadTo(version: number): Promise<boolean> {
        const head = await raiseHead(this.store, version);
        if (head.kind === "confirmed") this.headVersion = Math.max(this.headVersion, head.version);
        return head.kind === "confirmed";
    }

    private markUnreachable(): false {
        this.reachable = false;
        return false;
    }
}
