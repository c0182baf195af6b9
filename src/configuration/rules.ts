/**
 * Rules between the records of the operators' lists. They are checked on what the configuration would be after the
 * change: the listed records together with those of the sections that the file leaves out.
 */
import type { Pipeline, Plan, Service } from "../model/index.js";
import type { Configuration, ConfigurationRecord, RecordKind, RecordValues } from "./configuration.js";

/** Place in a file: keys and indices. */
export type ListPath = readonly (string | number)[];

/** A record of a file with its place. */
export interface ListedRecord {
    readonly record: ConfigurationRecord;
    readonly path: ListPath;
}

/** A broken rule. */
export interface RuleViolation {
    readonly path: ListPath;
    readonly message: string;
}

/** Tolerance of the sum of shares, for decimal fractions that binary numbers do not hold exactly. */
const SHARE_TOLERANCE = 1e-9;

const SECTIONS: Readonly<Partial<Record<RecordKind, string>>> = {
    account: "accounts",
    plan: "plans",
    service: "services",
    pipeline: "pipelines",
};

interface Placed<Value> {
    readonly value: Value;
    /** Absent for records that the file leaves as they are. */
    readonly path: ListPath | undefined;
}

type PlacedRecords<Kind extends RecordKind> = ReadonlyMap<string, Placed<RecordValues[Kind]>>;

interface Merged {
    readonly accounts: PlacedRecords<"account">;
    readonly plans: PlacedRecords<"plan">;
    readonly services: PlacedRecords<"service">;
    readonly pipelines: PlacedRecords<"pipeline">;
}

/** All broken rules. `kinds` are the kinds of records that the file replaces. */
export function checkRules(
    listed: readonly ListedRecord[],
    kinds: ReadonlySet<RecordKind>,
    current: Configuration,
): readonly RuleViolation[] {
    const merge = <Kind extends RecordKind>(kind: Kind): PlacedRecords<Kind> => place(kind, listed, kinds, current);
    const merged: Merged = {
        accounts: merge("account"),
        plans: merge("plan"),
        services: merge("service"),
        pipelines: merge("pipeline"),
    };
    return [
        ...checkDuplicates(listed),
        ...checkStages(merged),
        ...checkPlans(merged),
        ...checkShares(merged, kinds),
        ...checkAccounts(merged),
        ...checkSlots(merged, current),
    ];
}

function place<Kind extends RecordKind>(
    kind: Kind,
    listed: readonly ListedRecord[],
    kinds: ReadonlySet<RecordKind>,
    current: Configuration,
): PlacedRecords<Kind> {
    const records = new Map<string, Placed<RecordValues[Kind]>>();
    if (!kinds.has(kind)) {
        for (const record of current.allRecords()) {
            if (record.kind === kind) {
                records.set(record.name, { value: record.value as RecordValues[Kind], path: undefined });
            }
        }
        return records;
    }
    for (const { record, path } of listed) {
        if (record.kind === kind) records.set(record.name, { value: record.value as RecordValues[Kind], path });
    }
    return records;
}

function checkDuplicates(listed: readonly ListedRecord[]): readonly RuleViolation[] {
    const faults: RuleViolation[] = [];
    const seen = new Set<string>();
    for (const { record, path } of listed) {
        const key = `${record.kind}/${record.name}`;
        if (seen.has(key)) {
            faults.push({ path: [...path, "name"], message: `duplicate ${record.kind} "${record.name}"` });
        }
        seen.add(key);
    }
    return faults;
}

function checkStages({ pipelines, services }: Merged): readonly RuleViolation[] {
    const faults: RuleViolation[] = [];
    for (const { value: pipeline, path } of pipelines.values()) {
        const names = new Set<string>();
        pipeline.stages.forEach((stage, index) => {
            const at = path && [...path, "stages", index];
            if (names.has(stage.name)) {
                const message = `duplicate stage "${stage.name}" in pipeline "${pipeline.name}"`;
                faults.push({ path: [...(at ?? []), "name"], message });
            }
            names.add(stage.name);
            const service = services.get(stage.service);
            if (service === undefined) faults.push(unknownService(pipeline, stage.service, at));
            else if (!stage.idempotent && service.value.slots === 0) {
                faults.push(missingSlots(stage.name, pipeline, service, at));
            }
        });
    }
    return faults;
}

function unknownService(pipeline: Pipeline, service: string, at: ListPath | undefined): RuleViolation {
    if (at === undefined) return inUse("service", service, `pipeline "${pipeline.name}" calls it`);
    const message = `unknown service "${service}" in pipeline "${pipeline.name}"`;
    return { path: [...at, "service"], message };
}

function missingSlots(
    stage: string,
    pipeline: Pipeline,
    service: Placed<Service>,
    at: ListPath | undefined,
): RuleViolation {
    const message =
        `stage "${stage}" of pipeline "${pipeline.name}" is not idempotent, ` +
        `but service "${service.value.name}" has no slots`;
    return { path: at === undefined ? [...(service.path ?? []), "slots"] : [...at, "idempotent"], message };
}

function checkPlans({ plans, pipelines }: Merged): readonly RuleViolation[] {
    return [...plans.values()].flatMap(({ value: plan, path }) => [
        ...checkPlanPipelines(plan, path, pipelines),
        ...checkPlanStages(plan, path, pipelines),
    ]);
}

function checkPlanPipelines(
    plan: Plan,
    path: ListPath | undefined,
    pipelines: PlacedRecords<"pipeline">,
): readonly RuleViolation[] {
    const faults: RuleViolation[] = [];
    plan.pipelines.forEach((pipeline, index) => {
        if (pipelines.has(pipeline)) return;
        if (path === undefined) faults.push(inUse("pipeline", pipeline, `plan "${plan.name}" allows it`));
        else {
            const message = `unknown pipeline "${pipeline}" in plan "${plan.name}"`;
            faults.push({ path: [...path, "pipelines", index], message });
        }
    });
    return faults;
}

function checkPlanStages(
    plan: Plan,
    path: ListPath | undefined,
    pipelines: PlacedRecords<"pipeline">,
): readonly RuleViolation[] {
    const known = new Set(
        plan.pipelines.flatMap(pipeline => pipelines.get(pipeline)?.value.stages.map(stage => stage.name) ?? []),
    );
    const faults: RuleViolation[] = [];
    plan.stages.forEach((stage, index) => {
        if (known.has(stage)) return;
        const message = `unknown stage "${stage}" in plan "${plan.name}": no pipeline of the plan has it`;
        faults.push({ path: path === undefined ? ["pipelines"] : [...path, "stages", index], message });
    });
    return faults;
}

function checkShares({ plans }: Merged, kinds: ReadonlySet<RecordKind>): readonly RuleViolation[] {
    if (!kinds.has("plan")) return [];
    const sum = [...plans.values()].reduce((total, { value }) => total + value.share, 0);
    if (sum <= 1 + SHARE_TOLERANCE) return [];
    return [{ path: ["plans"], message: `shares of all plans add up to ${Number(sum.toFixed(6))}, above 1` }];
}

function checkAccounts({ accounts, plans }: Merged): readonly RuleViolation[] {
    const faults: RuleViolation[] = [];
    const holders = new Map<string, string>();
    for (const { value: account, path } of accounts.values()) {
        if (!plans.has(account.plan)) {
            const message = `unknown plan "${account.plan}" of account "${account.name}"`;
            if (path === undefined) faults.push(inUse("plan", account.plan, `account "${account.name}" holds it`));
            else faults.push({ path: [...path, "plan"], message });
        }
        const holder = holders.get(account.keyHash);
        if (holder !== undefined) {
            const message = `account "${account.name}" has the same key as account "${holder}"`;
            faults.push({ path: path ?? ["accounts"], message });
        }
        holders.set(account.keyHash, account.name);
    }
    return faults;
}

/**
 * The number of slots is part of the hash that finds a key's owner. Changing it would send a key that has already run
 * to another owner, which would run it again.
 */
function checkSlots({ services }: Merged, current: Configuration): readonly RuleViolation[] {
    const faults: RuleViolation[] = [];
    for (const { value: service, path } of services.values()) {
        const before = current.find("service", service.name)?.slots ?? 0;
        if (path === undefined || before === 0 || before === service.slots) continue;
        const message = `slots of service "${service.name}" cannot change from ${before} to ${service.slots}`;
        faults.push({ path: [...path, "slots"], message });
    }
    return faults;
}

function inUse(kind: RecordKind, name: string, use: string): RuleViolation {
    return { path: [SECTIONS[kind] ?? kind], message: `${kind} "${name}" cannot be removed: ${use}` };
}
