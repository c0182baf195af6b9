/**
 * Consistency rules between the records of the operators' lists. They are checked on the configuration that the change
 * would result in: the listed records together with those of the sections that the file omits.
 */
import type { Pipeline, Plan, Service } from "../model/index.js";
import type { Configuration, ConfigurationRecord, RecordKind, RecordValues } from "./configuration.js";

/** Path in a file: keys and indices. */
export type ListPath = readonly (string | number)[];

/** A record of a file with its path. */
export interface ListedRecord {
    readonly record: ConfigurationRecord;
    readonly path: ListPath;
}

/** A violation of a rule. */
export interface RuleViolation {
    readonly path: ListPath;
    readonly message: string;
}

/** Tolerance of the sum of shares, as decimal fractions have no exact binary representation. */
const SHARE_TOLERANCE = 1e-9;

const SECTIONS: Readonly<Partial<Record<RecordKind, string>>> = {
    account: "accounts",
    plan: "plans",
    service: "services",
    pipeline: "pipelines",
};

interface Located<Value> {
    readonly value: Value;
    /** Undefined for records that the file leaves unchanged. */
    readonly path: ListPath | undefined;
}

type LocatedRecords<Kind extends RecordKind> = ReadonlyMap<string, Located<RecordValues[Kind]>>;

interface MergedRecords {
    readonly accounts: LocatedRecords<"account">;
    readonly plans: LocatedRecords<"plan">;
    readonly services: LocatedRecords<"service">;
    readonly pipelines: LocatedRecords<"pipeline">;
}

/** Returns all violations. `kinds` are the kinds of records that the file replaces. */
export function checkRules(
    listed: readonly ListedRecord[],
    kinds: ReadonlySet<RecordKind>,
    current: Configuration,
): readonly RuleViolation[] {
    const merge = <Kind extends RecordKind>(kind: Kind): LocatedRecords<Kind> =>
        locateRecords(kind, listed, kinds, current);
    const merged: MergedRecords = {
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

function locateRecords<Kind extends RecordKind>(
    kind: Kind,
    listed: readonly ListedRecord[],
    kinds: ReadonlySet<RecordKind>,
    current: Configuration,
): LocatedRecords<Kind> {
    const records = new Map<string, Located<RecordValues[Kind]>>();
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
    const violations: RuleViolation[] = [];
    const seen = new Set<string>();
    for (const { record, path } of listed) {
        const key = `${record.kind}/${record.name}`;
        if (seen.has(key)) {
            violations.push({ path: [...path, "name"], message: `duplicate ${record.kind} "${record.name}"` });
        }
        seen.add(key);
    }
    return violations;
}

function checkStages({ pipelines, services }: MergedRecords): readonly RuleViolation[] {
    const violations: RuleViolation[] = [];
    for (const { value: pipeline, path } of pipelines.values()) {
        const names = new Set<string>();
        pipeline.stages.forEach((stage, index) => {
            const stagePath = path && [...path, "stages", index];
            if (names.has(stage.name)) {
                const message = `duplicate stage "${stage.name}" in pipeline "${pipeline.name}"`;
                violations.push({ path: [...(stagePath ?? []), "name"], message });
            }
            names.add(stage.name);
            const service = services.get(stage.service);
            if (service === undefined) violations.push(unknownService(pipeline, stage.service, stagePath));
            else if (!stage.idempotent && service.value.slots === 0) {
                violations.push(missingSlots(stage.name, pipeline, service, stagePath));
            }
        });
    }
    return violations;
}

function unknownService(pipeline: Pipeline, service: string, stagePath: ListPath | undefined): RuleViolation {
    if (stagePath === undefined) return inUse("service", service, `pipeline "${pipeline.name}" calls it`);
    const message = `unknown service "${service}" in pipeline "${pipeline.name}"`;
    return { path: [...stagePath, "service"], message };
}

function missingSlots(
    stage: string,
    pipeline: Pipeline,
    service: Located<Service>,
    stagePath: ListPath | undefined,
): RuleViolation {
    const message =
        `stage "${stage}" of pipeline "${pipeline.name}" is not idempotent, ` +
        `but service "${service.value.name}" has no slots`;
    return {
        path: stagePath === undefined ? [...(service.path ?? []), "slots"] : [...stagePath, "idempotent"],
        message,
    };
}

function checkPlans({ plans, pipelines }: MergedRecords): readonly RuleViolation[] {
    return [...plans.values()].flatMap(({ value: plan, path }) => [
        ...checkPlanPipelines(plan, path, pipelines),
        ...checkPlanStages(plan, path, pipelines),
    ]);
}

function checkPlanPipelines(
    plan: Plan,
    path: ListPath | undefined,
    pipelines: LocatedRecords<"pipeline">,
): readonly RuleViolation[] {
    const violations: RuleViolation[] = [];
    plan.pipelines.forEach((pipeline, index) => {
        if (pipelines.has(pipeline)) return;
        if (path === undefined) violations.push(inUse("pipeline", pipeline, `plan "${plan.name}" allows it`));
        else {
            const message = `unknown pipeline "${pipeline}" in plan "${plan.name}"`;
            violations.push({ path: [...path, "pipelines", index], message });
        }
    });
    return violations;
}

function checkPlanStages(
    plan: Plan,
    path: ListPath | undefined,
    pipelines: LocatedRecords<"pipeline">,
): readonly RuleViolation[] {
    const known = new Set(
        plan.pipelines.flatMap(pipeline => pipelines.get(pipeline)?.value.stages.map(stage => stage.name) ?? []),
    );
    const violations: RuleViolation[] = [];
    plan.stages.forEach((stage, index) => {
        if (known.has(stage)) return;
        const message = `unknown stage "${stage}" in plan "${plan.name}": no pipeline of the plan has it`;
        violations.push({ path: path === undefined ? ["pipelines"] : [...path, "stages", index], message });
    });
    return violations;
}

function checkShares({ plans }: MergedRecords, kinds: ReadonlySet<RecordKind>): readonly RuleViolation[] {
    if (!kinds.has("plan")) return [];
    const sum = [...plans.values()].reduce((total, { value }) => total + value.share, 0);
    if (sum <= 1 + SHARE_TOLERANCE) return [];
    return [{ path: ["plans"], message: `shares of all plans add up to ${Number(sum.toFixed(6))}, above 1` }];
}

function checkAccounts({ accounts, plans }: MergedRecords): readonly RuleViolation[] {
    const violations: RuleViolation[] = [];
    const accountByKeyHash = new Map<string, string>();
    for (const { value: account, path } of accounts.values()) {
        if (!plans.has(account.plan)) {
            const message = `unknown plan "${account.plan}" of account "${account.name}"`;
            if (path === undefined) violations.push(inUse("plan", account.plan, `account "${account.name}" holds it`));
            else violations.push({ path: [...path, "plan"], message });
        }
        const otherAccount = accountByKeyHash.get(account.keyHash);
        if (otherAccount !== undefined) {
            const message = `account "${account.name}" has the same key as account "${otherAccount}"`;
            violations.push({ path: path ?? ["accounts"], message });
        }
        accountByKeyHash.set(account.keyHash, account.name);
    }
    return violations;
}

/**
 * The slot that a key hashes to, and so its owner, depends on the number of slots. Changing it would send a key that
 * has already run to another owner, which would run it again.
 */
function checkSlots({ services }: MergedRecords, current: Configuration): readonly RuleViolation[] {
    const violations: RuleViolation[] = [];
    for (const { value: service, path } of services.values()) {
        const currentSlots = current.find("service", service.name)?.slots ?? 0;
        if (path === undefined || currentSlots === 0 || currentSlots === service.slots) continue;
        const message = `slots of service "${service.name}" cannot change from ${currentSlots} to ${service.slots}`;
        violations.push({ path: [...path, "slots"], message });
    }
    return violations;
}

function inUse(kind: RecordKind, name: string, use: string): RuleViolation {
    return { path: [SECTIONS[kind] ?? kind], message: `${kind} "${name}" cannot be removed: ${use}` };
}
