/**
 * The configuration in force in a process. Its version only increases: an older version from the store or a peer is
 * ignored, so that no accepted change is reverted.
 */
import { Configuration, type ConfigurationChange } from "./configuration.js";
import { parseRecords, parseChange } from "./records.js";

/** Number of changes kept, so that peers can be updated without a full snapshot. */
const RETAINED_CHANGES = 256;

/** A configuration update from one process to another: the changes in order, or a full snapshot. */
export interface ConfigurationTransfer {
    /** Version after the transfer. */
    readonly version: number;
    /** JSON text of all records; empty if `changes` are sufficient. */
    readonly snapshot: string;
    /** JSON text of each change, in version order. */
    readonly changes: readonly string[];
}

/** Holds the configuration in force in one process. */
export class ConfigurationHolder {
    private configuration = Configuration.empty;
    private retained: ConfigurationChange[] = [];
    private readonly listeners = new Set<(configuration: Configuration) => void>();

    /** Creates a holder with the empty configuration. */
    static create(): ConfigurationHolder {
        return new ConfigurationHolder();
    }

    /** The configuration in force. */
    get current(): Configuration {
        return this.configuration;
    }

    /** Calls the listener after each change of version. Returns a function that unsubscribes it. */
    subscribe(listener: (configuration: Configuration) => void): () => void {
        this.listeners.add(listener);
        return () => {
            this.listeners.delete(listener);
        };
    }

    /** Applies a change. Returns false if its version is not the next one. */
    advance(change: ConfigurationChange): boolean {
        const next = this.configuration.apply(change);
        if (next === undefined) return false;
        this.retain(change);
        this.activate(next);
        return true;
    }

    /** Replaces the configuration if the given one is newer. Returns whether it did. */
    replace(configuration: Configuration): boolean {
        if (configuration.version <= this.configuration.version) return false;
        this.retained = [];
        this.activate(configuration);
        return true;
    }

    /** The latest changes that were applied one by one, oldest first. */
    get latestChanges(): readonly ConfigurationChange[] {
        return this.retained;
    }

    /** What a peer at `version` is missing; undefined if it is up to date. */
    transferSince(version: number): ConfigurationTransfer | undefined {
        const current = this.configuration;
        if (version >= current.version) return undefined;
        const missing = this.retained.filter(change => change.version > version);
        if (missing[0]?.version === version + 1) {
            return { version: current.version, snapshot: "", changes: missing.map(change => JSON.stringify(change)) };
        }
        return { version: current.version, snapshot: JSON.stringify(current.allRecords()), changes: [] };
    }

    /**
     * Applies a peer's transfer in one step: a restarted process must not put intermediate versions in force that it
     * had replaced before the restart. Returns false if this process does not reach the transfer's version; the peer then
     * has to be told the version in force here. Throws, and applies nothing, if the transfer is malformed.
     */
    receive(transfer: ConfigurationTransfer): boolean {
        const records = transfer.snapshot === "" ? undefined : requireWellFormed(parseRecords(transfer.snapshot));
        const changes = transfer.changes.map(text => requireWellFormed(parseChange(text)));
        let next = this.configuration;
        if (records !== undefined && transfer.version > next.version) {
            next = Configuration.of(transfer.version, records);
            this.retained = [];
        }
        for (const change of changes) {
            const applied = next.apply(change);
            if (applied === undefined) continue;
            next = applied;
            this.retain(change);
        }
        if (next !== this.configuration) this.activate(next);
        return this.configuration.version >= transfer.version;
    }

    private retain(change: ConfigurationChange): void {
        this.retained.push(change);
        if (this.retained.length > RETAINED_CHANGES) this.retained = this.retained.slice(-RETAINED_CHANGES);
    }

    private activate(configuration: Configuration): void {
        this.configuration = configuration;
        for (const listener of this.listeners) listener(configuration);
    }
}

function requireWellFormed<Value>(value: Value | undefined): Value {
    if (value === undefined) throw new Error("a snapshot or change is malformed");
    return value;
}
