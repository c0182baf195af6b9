/**
 * The configuration as one immutable, versioned value: a collection of named records.
 *
 * A change sets and removes records and increments the version; applying it returns a new value. Records correspond to
 * the items of the operators' lists, so that a change contains only the items that differ.
 */
import type { AvailabilityZone, Budget, ClientAccount, Pipeline, Plan, Service, TrafficSplit } from "../model/index.js";

/** Value type of each kind of record. */
export interface RecordValues {
    readonly account: ClientAccount;
    readonly plan: Plan;
    readonly service: Service;
    readonly pipeline: Pipeline;
    readonly zone: AvailabilityZone;
    readonly traffic: TrafficSplit;
    readonly budget: Budget;
}

export type RecordKind = keyof RecordValues;

/** One named record. The budget's name is `common`. */
export type ConfigurationRecord = {
    readonly [Kind in RecordKind]: { readonly kind: Kind; readonly name: string; readonly value: RecordValues[Kind] };
}[RecordKind];

/** One accepted change. Its version is one above that of the configuration it applies to. */
export interface ConfigurationChange {
    readonly version: number;
    /** Unique id, by which the author recognises its own write when the response was lost. */
    readonly id: string;
    /** Who made the change; shown to operators. */
    readonly author: string;
    readonly set: readonly ConfigurationRecord[];
    readonly removed: readonly { readonly kind: RecordKind; readonly name: string }[];
}

/** A versioned, immutable collection of records. */
export class Configuration {
    /** The configuration before the first change. */
    static readonly empty: Configuration = new Configuration(0, new Map());

    private constructor(
        readonly version: number,
        private readonly records: ReadonlyMap<string, ConfigurationRecord>,
    ) {}

    /** Creates the configuration with this version from all of its records. */
    static of(version: number, records: readonly ConfigurationRecord[]): Configuration {
        return new Configuration(
            version,
            new Map(records.map(record => [recordKey(record.kind, record.name), record])),
        );
    }

    /** Returns the configuration after the change; undefined if its version is not the next one. */
    apply(change: ConfigurationChange): Configuration | undefined {
        if (change.version !== this.version + 1) return undefined;
        const records = new Map(this.records);
        for (const { kind, name } of change.removed) records.delete(recordKey(kind, name));
        for (const record of change.set) records.set(recordKey(record.kind, record.name), record);
        return new Configuration(change.version, records);
    }

    /** The record of a kind and name, if there is one. */
    find<Kind extends RecordKind>(kind: Kind, name: string): RecordValues[Kind] | undefined {
        return this.records.get(recordKey(kind, name))?.value as RecordValues[Kind] | undefined;
    }

    /** All values of a kind, in no particular order. */
    valuesOf<Kind extends RecordKind>(kind: Kind): readonly RecordValues[Kind][] {
        return [...this.records.values()]
            .filter(record => record.kind === kind)
            .map(record => record.value as RecordValues[Kind]);
    }

    /** All records, in no particular order. */
    allRecords(): readonly ConfigurationRecord[] {
        return [...this.records.values()];
    }

    /** Whether a zone takes new work; true for zones without a record. */
    isZoneInService(zone: string): boolean {
        return this.find("zone", zone)?.state !== "out";
    }
}

function recordKey(kind: RecordKind, name: string): string {
    return `${kind}/${name}`;
}
