/**
 * The operators' lists: one YAML file with any of the sections `accounts`, `plans`, `services`, `pipelines` and
 * `budget`. A section replaces all records of its kind; an absent section leaves its records unchanged. A file is
 * validated together with the records that it leaves unchanged, and is either applied completely or rejected.
 */
import { isDeepStrictEqual } from "node:util";
import { type Document, isMap, isNode, isScalar, LineCounter, parseDocument } from "yaml";
import { z } from "zod";
import { hashText } from "../model/index.js";
import type { Configuration, ConfigurationRecord, RecordKind, RecordValues } from "./configuration.js";
import { checkRules, type ListedRecord, type ListPath } from "./rules.js";

/** One error in a file. Line numbers start at 1. */
export interface ListError {
    readonly line: number;
    /** Path in the file, such as `plans[0].share`; empty for YAML syntax errors. */
    readonly path: string;
    readonly message: string;
}

/** Records to set and remove to get from one configuration to another. */
export interface ConfigurationDifference {
    readonly set: readonly ConfigurationRecord[];
    readonly removed: readonly { readonly kind: RecordKind; readonly name: string }[];
}

/** Outcome of parsing a file. */
export type ListsOutcome =
    | {
          readonly kind: "valid";
          readonly difference: ConfigurationDifference;
          /** The configuration version that the file is based on, if it names one. */
          readonly version: number | undefined;
      }
    | { readonly kind: "invalid"; readonly errors: readonly ListError[] };

const name = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, "must be 1 to 63 letters, digits, '.', '_' or '-'");

const serviceSchema = z.strictObject({
    name,
    kind: z.enum(["engine", "plain"]),
    slots: z.int().min(0).max(4_096).default(0),
    whenStoreUnavailable: z.enum(["refuse", "continue"]).default("refuse"),
    fencing: z.enum(["enforced", "ignored"]).default("ignored"),
    concurrency: z.int().min(1),
    coldConcurrency: z.int().min(1).default(1),
});

const stageSchema = z.strictObject({
    name,
    service: name,
    operation: name,
    /** No default: a wrong one would repeat calls that must not be repeated. */
    idempotent: z.boolean(),
    streaming: z.boolean().default(false),
    maximumTokens: z.int().min(0).default(0),
    costMilliseconds: z.number().positive(),
});

const pipelineSchema = z.strictObject({
    name,
    stages: z.array(stageSchema).min(1, "must have 1 to 6 stages").max(6, "must have 1 to 6 stages"),
});

const planSchema = z.strictObject({
    name,
    pipelines: z.array(name),
    stages: z.array(name).default([]),
    share: z.number().min(0).max(1),
});

const accountSchema = z
    .strictObject({
        name,
        plan: name,
        key: z.string().min(8, "must have at least 8 characters").optional(),
        keyHash: z
            .string()
            .regex(/^[0-9a-f]{64}$/, "must be a SHA-256 in 64 lower-case hexadecimal digits")
            .optional(),
    })
    .refine(account => (account.key === undefined) !== (account.keyHash === undefined), {
        message: "needs either key or keyHash",
    });

const listsSchema = z.strictObject({
    version: z.int().min(0).optional(),
    budget: z.strictObject({ millisecondsPerSecond: z.number().positive() }).optional(),
    services: z.array(serviceSchema).optional(),
    pipelines: z.array(pipelineSchema).optional(),
    plans: z.array(planSchema).optional(),
    accounts: z.array(accountSchema).optional(),
});

type Lists = z.infer<typeof listsSchema>;

/** Checks a file against the current configuration and returns the changes it would make, or all of its errors. */
export function parseLists(text: string, current: Configuration): ListsOutcome {
    const lines = new LineCounter();
    const document = parseDocument(text, { lineCounter: lines });
    if (document.errors.length > 0) {
        const errors = document.errors.map(error => ({
            line: error.linePos?.[0].line ?? 1,
            path: "",
            message: firstLine(error.message),
        }));
        return { kind: "invalid", errors };
    }
    const lineAt = (path: ListPath): number => lineOf(document, lines, path);
    const content = readContent(document);
    if (content.kind === "unreadable") {
        return { kind: "invalid", errors: [{ line: 1, path: "", message: content.message }] };
    }
    const parsed = listsSchema.safeParse(content.value);
    if (!parsed.success) {
        const errors = parsed.error.issues.flatMap(issue => schemaErrors(issue, lineAt));
        return { kind: "invalid", errors: sortErrors(errors) };
    }
    const listed = listRecords(parsed.data);
    const replacedKinds = kindsOf(parsed.data);
    const violations = checkRules(listed, replacedKinds, current);
    if (violations.length > 0) {
        const errors = violations.map(({ path, message }) => ({
            line: lineAt(path),
            path: z.core.toDotPath(path),
            message,
        }));
        return { kind: "invalid", errors: sortErrors(errors) };
    }
    return { kind: "valid", difference: differenceTo(listed, replacedKinds, current), version: parsed.data.version };
}

/** Whether a difference changes nothing. */
export function isEmptyDifference(difference: ConfigurationDifference): boolean {
    return difference.set.length === 0 && difference.removed.length === 0;
}

type Content =
    { readonly kind: "read"; readonly value: unknown } | { readonly kind: "unreadable"; readonly message: string };

/** Treats an empty file as one without sections. A file that expands too many aliases is unreadable. */
function readContent(document: Document): Content {
    try {
        return { kind: "read", value: document.toJS() ?? {} };
    } catch (error) {
        return { kind: "unreadable", message: error instanceof Error ? firstLine(error.message) : "unreadable" };
    }
}

function schemaErrors(issue: z.core.$ZodIssue, lineAt: (path: ListPath) => number): readonly ListError[] {
    const path = issue.path.map(part => (typeof part === "number" ? part : String(part)));
    if (issue.code !== "unrecognized_keys") {
        return [{ line: lineAt(path), path: z.core.toDotPath(path), message: issue.message }];
    }
    return issue.keys.map(key => {
        const keyPath = [...path, key];
        return { line: lineAt(keyPath), path: z.core.toDotPath(keyPath), message: `unknown key "${key}"` };
    });
}

/** Line of the longest prefix of a path that exists in the file; for a map entry, the line of its key. */
function lineOf(document: Document, lines: LineCounter, path: ListPath): number {
    for (let length = path.length; length > 0; length -= 1) {
        const offset = offsetOf(document, path.slice(0, length));
        if (offset !== undefined) return lines.linePos(offset).line;
    }
    return 1;
}

function offsetOf(document: Document, path: ListPath): number | undefined {
    const last = path.at(-1);
    const parent = path.length === 1 ? document.contents : document.getIn(path.slice(0, -1), true);
    if (isMap(parent)) {
        const pair = parent.items.find(item => isScalar(item.key) && item.key.value === last);
        return isScalar(pair?.key) ? pair.key.range?.[0] : undefined;
    }
    const node = document.getIn(path, true);
    return isNode(node) ? node.range?.[0] : undefined;
}

function listRecords(lists: Lists): readonly ListedRecord[] {
    const records: ListedRecord[] = [];
    if (lists.budget !== undefined) {
        records.push({ record: { kind: "budget", name: "common", value: lists.budget }, path: ["budget"] });
    }
    lists.services?.forEach((value, index) => {
        records.push({ record: { kind: "service", name: value.name, value }, path: ["services", index] });
    });
    lists.pipelines?.forEach((value, index) => {
        records.push({ record: { kind: "pipeline", name: value.name, value }, path: ["pipelines", index] });
    });
    lists.plans?.forEach((value, index) => {
        records.push({ record: { kind: "plan", name: value.name, value }, path: ["plans", index] });
    });
    lists.accounts?.forEach(({ name: account, plan, key, keyHash }, index) => {
        const value = { name: account, plan, keyHash: keyHash ?? hashText(key ?? "") };
        records.push({ record: { kind: "account", name: account, value }, path: ["accounts", index] });
    });
    return records;
}

function kindsOf(lists: Lists): ReadonlySet<RecordKind> {
    const kinds = new Set<RecordKind>();
    if (lists.budget !== undefined) kinds.add("budget");
    if (lists.services !== undefined) kinds.add("service");
    if (lists.pipelines !== undefined) kinds.add("pipeline");
    if (lists.plans !== undefined) kinds.add("plan");
    if (lists.accounts !== undefined) kinds.add("account");
    return kinds;
}

function differenceTo(
    listed: readonly ListedRecord[],
    kinds: ReadonlySet<RecordKind>,
    current: Configuration,
): ConfigurationDifference {
    const set = listed
        .map(({ record }) => record)
        .filter(record => !isDeepStrictEqual(valueOf(current, record), record.value));
    const listedKeys = new Set(listed.map(({ record }) => `${record.kind}/${record.name}`));
    const removed = current
        .allRecords()
        .filter(({ kind, name: recordName }) => isReplaced(kind, kinds) && !listedKeys.has(listedKey(kind, recordName)))
        .map(({ kind, name: recordName }) => ({ kind, name: recordName }));
    return { set, removed };
}

/** A traffic split belongs to its service and is removed together with it. */
function isReplaced(kind: RecordKind, kinds: ReadonlySet<RecordKind>): boolean {
    return kinds.has(kind === "traffic" ? "service" : kind);
}

function listedKey(kind: RecordKind, recordName: string): string {
    return `${kind === "traffic" ? "service" : kind}/${recordName}`;
}

function valueOf(current: Configuration, record: ConfigurationRecord): RecordValues[RecordKind] | undefined {
    return current.find(record.kind, record.name);
}

function sortErrors(errors: readonly ListError[]): readonly ListError[] {
    return [...errors].sort((left, right) => left.line - right.line);
}

function firstLine(text: string): string {
    return text.split("\n")[0] ?? text;
}
