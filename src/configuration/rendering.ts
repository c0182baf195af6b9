/** A configuration as lists, for operators to read, edit and apply again. */
import { stringify } from "yaml";
import type { Configuration, ConfigurationChange, RecordKind } from "./configuration.js";

/** YAML text that `parseLists` reads back without a difference. Its `version` is the one that the lists come from. */
export function renderLists(configuration: Configuration): string {
    const budget = configuration.find("budget", "common");
    return stringify({
        version: configuration.version,
        ...(budget === undefined ? {} : { budget }),
        services: sorted(configuration, "service"),
        pipelines: sorted(configuration, "pipeline"),
        plans: sorted(configuration, "plan"),
        accounts: sorted(configuration, "account"),
    });
}

/** What a change set and removed, by the names of the records only. */
export interface ChangeSummary {
    readonly version: number;
    readonly author: string;
    /** Each as `kind/name`. */
    readonly set: readonly string[];
    readonly removed: readonly string[];
}

/** The summary of a change, without the values of its records. */
export function summarizeChange(change: Omit<ConfigurationChange, "id">): ChangeSummary {
    const { version, author, set, removed } = change;
    return { version, author, set: set.map(recordName), removed: removed.map(recordName) };
}

function recordName(record: { readonly kind: RecordKind; readonly name: string }): string {
    return `${record.kind}/${record.name}`;
}

function sorted(
    configuration: Configuration,
    kind: "service" | "pipeline" | "plan" | "account",
): readonly { readonly name: string }[] {
    return [...configuration.valuesOf(kind)].sort((left, right) => (left.name < right.name ? -1 : 1));
}
