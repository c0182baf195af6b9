/** Renders a configuration as lists that operators can read, edit and apply again. */
import { stringify } from "yaml";
import type { Configuration, ConfigurationChange, RecordKind } from "./configuration.js";

/** YAML text that `parseLists` reads back without a difference. Its `version` is the configuration's version. */
export function renderLists(configuration: Configuration): string {
    const budget = configuration.find("budget", "common");
    return stringify({
        version: configuration.version,
        ...(budget === undefined ? {} : { budget }),
        services: sortedByName(configuration, "service"),
        pipelines: sortedByName(configuration, "pipeline"),
        plans: sortedByName(configuration, "plan"),
        accounts: sortedByName(configuration, "account"),
    });
}

/** The names of the records that a change sets and removes, without their values. */
export interface ChangeSummary {
    readonly version: number;
    readonly author: string;
    /** Each as `kind/name`. */
    readonly set: readonly string[];
    readonly removed: readonly string[];
}

export function summarizeChange(change: Omit<ConfigurationChange, "id">): ChangeSummary {
    const { version, author, set, removed } = change;
    return { version, author, set: set.map(recordName), removed: removed.map(recordName) };
}

function recordName(record: { readonly kind: RecordKind; readonly name: string }): string {
    return `${record.kind}/${record.name}`;
}

function sortedByName(
    configuration: Configuration,
    kind: "service" | "pipeline" | "plan" | "account",
): readonly { readonly name: string }[] {
    return [...configuration.valuesOf(kind)].sort((left, right) => (left.name < right.name ? -1 : 1));
}
