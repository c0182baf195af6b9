/**
 * The configuration that a process has in force. It only moves forward: an older version, from the store or from a
 * peer, is ignored, so that nothing that was accepted can revert.
 */
import { Configuration, type ConfigurationChange } from "./configuration.js";
import { parseRecords, parseChange } from "./records.js";

/** Changes that are kept to bring peers forward without a whole snapshot. */
const RETAINED_CHANGES = 256;

/** A configuration on its way between processes: changes in order, or a whole snapshot. */
export interface ConfigurationTransfer {
    /** Version after the transfer. */
    readonly version: number;
    /** JSON text of all records; empty when `changes` suffice. */
    readonly snapshot: string;
    /** JSON text of each change, in version order. */
    readonly changes: readonly string[];
}

/** The configuration in force in one process. */
export class ConfigurationHolder {
    private configuration = Configuration.empty;
    private retained: ConfigurationChange[] = [];
    private readonly listeners = new Set<(configuration: Configuration) => void>();

    /** A holder with the empty configuration. */
    static create(): ConfigurationHolder {
        return new ConfigurationHolder();
    }

    /** The configuration in force. */
    get current(): Configuration {
        return this.configuration;
    }

    /** Calls the listener after each move forward. Returns a function that ends this. */
    subscribe(listener: (configuration: Configuration) => void): () => void {
        this.listeners.add(listener);
        return () => {
            this.listeners.delete(listener);
        };
    }

    /** Applies the next change. Returns false when it is not the next one. */
    advance(change: ConfigurationChange): boolean {
        const next = this.configuration.apply(change);
        if (next === undefined) return false;
        this.retain(change);
        this.enforce(next);
        return true;
    }

    /** Takes a whole configuration if it is newer. Returns whether it was taken. */
    replace(configuration: Configuration): boolean {
        if (configuration.version <= this.configuration.version) return false;
        this.retained = [];
        this.enforce(configuration);
        return true;
    }

    /** What a peer at `version` lacks; undefined when it lacks nothing. */
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
     * Takes what a peer sent, as one step: a restarted process must not have the versions between in force, which it had
     * left behind before. Returns false when the transfer does not bring this process to its version, in which case the
     * peer has to be told the version in force here. Throws, and takes nothing, when the transfer is malformed.
     */
    receive(transfer: ConfigurationTransfer): boolean {
        const records = transfer.snapshot === "" ? undefined : wellFormed(parseRecords(transfer.snapshot));
        const changes = transfer.changes.map(text => wellFormed(parseChange(text)));
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
        if (next !== this.configuration) this.enforce(next);
        return this.configuration.version >= transfer.version;
    }

    private retain(change: ConfigurationChange): void {
        this.retained.push(change);
        if (this.retained.length > RETAINED_CHANGES) this.retained = this.retained.slice(-RETAINED_CHANGES);
    }

    private enforce(configuration: Configuration): void {
        this.configuration = configuration;
        for (const listener of this.listeners) listener(configuration);
    }
}

function wellFormed<Value>(value: Value | undefined): Value {
    if (value === undefined) throw new Error("a snapshot or change is malformed");
    return value;
}
