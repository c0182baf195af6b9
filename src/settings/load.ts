/** Loads a settings file. Each error names the path of its key. */
import { readFile } from "node:fs/promises";
import { type Document, isNode, LineCounter, parseDocument } from "yaml";
import { z } from "zod";

/** One error in a settings file. */
export interface SettingsError {
    /** Line number, starting at 1; undefined if the error has no position in the file. */
    readonly line: number | undefined;
    /** Path of the key, such as `store.timeoutMilliseconds`; empty for YAML syntax errors and unreadable files. */
    readonly path: string;
    readonly message: string;
}

/** Outcome of loading settings. */
export type SettingsOutcome<Settings> =
    | { readonly kind: "loaded"; readonly settings: Settings }
    | { readonly kind: "invalid"; readonly errors: readonly SettingsError[] };

/** Reads and validates a file. */
export async function loadSettings<Settings>(
    schema: z.ZodType<Settings>,
    file: string,
): Promise<SettingsOutcome<Settings>> {
    let text: string;
    try {
        text = await readFile(file, "utf8");
    } catch (error) {
        const message = `cannot read the file: ${error instanceof Error ? error.message : String(error)}`;
        return { kind: "invalid", errors: [{ line: undefined, path: "", message }] };
    }
    return parseSettings(schema, text);
}

/** Parses and validates settings in YAML text. */
export function parseSettings<Settings>(schema: z.ZodType<Settings>, text: string): SettingsOutcome<Settings> {
    const lines = new LineCounter();
    const document = parseDocument(text, { lineCounter: lines });
    if (document.errors.length > 0) {
        const errors = document.errors.map(error => ({
            line: error.linePos?.[0].line,
            path: "",
            message: error.message.split("\n")[0] ?? error.message,
        }));
        return { kind: "invalid", errors };
    }
    const content = readContent(document);
    if (content.kind === "invalid") return content;
    const parsed = schema.safeParse(content.value);
    if (parsed.success) return { kind: "loaded", settings: parsed.data };
    const lineOf = (path: readonly PropertyKey[]): number | undefined => {
        const node = path.length === 0 ? undefined : document.getIn(path, true);
        return isNode(node) && node.range ? lines.linePos(node.range[0]).line : undefined;
    };
    const errors = parsed.error.issues.flatMap(issue => issueMessages(issue).map(located => toError(located, lineOf)));
    return { kind: "invalid", errors };
}

/** Formats each error as one line with the file name. */
export function formatSettingsErrors(file: string, errors: readonly SettingsError[]): readonly string[] {
    return errors.map(({ line, path, message }) => {
        const location = line === undefined ? file : `${file}:${line}`;
        return path === "" ? `${location}: ${message}` : `${location}: ${path}: ${message}`;
    });
}

/** Treats an empty file, or one whose keys have no values, as one without keys. A file that expands too many aliases is unreadable. */
function readContent(
    document: Document,
): { readonly kind: "read"; readonly value: unknown } | Extract<SettingsOutcome<never>, { kind: "invalid" }> {
    try {
        return { kind: "read", value: withoutEmptyKeys(document.toJS()) ?? {} };
    } catch (error) {
        const message = error instanceof Error ? error.message : "the file cannot be read";
        return { kind: "invalid", errors: [{ line: undefined, path: "", message }] };
    }
}

/**
 * Drops the keys that have no value, and the sections in which no key has one: a template leaves a value out for which its
 * source has none. Returns undefined if nothing is left.
 */
function withoutEmptyKeys(value: unknown): unknown {
    if (value === null) return undefined;
    if (typeof value !== "object" || Array.isArray(value)) return value;
    const entries = Object.entries(value as Readonly<Record<string, unknown>>);
    const kept = entries.map(([key, child]) => [key, withoutEmptyKeys(child)] as const);
    const present = kept.filter(([, child]) => child !== undefined);
    return entries.length > 0 && present.length === 0 ? undefined : Object.fromEntries(present);
}

interface LocatedMessage {
    readonly path: readonly PropertyKey[];
    readonly message: string;
}

/** End of the schema's message on a key that is absent. */
const ABSENT = /, received undefined$/;

function issueMessages(issue: z.core.$ZodIssue): readonly LocatedMessage[] {
    if (issue.code === "invalid_type" && ABSENT.test(issue.message)) {
        return [{ path: issue.path, message: `is required and has no value (${issue.expected})` }];
    }
    if (issue.code !== "unrecognized_keys") return [{ path: issue.path, message: issue.message }];
    return issue.keys.map(key => ({ path: [...issue.path, key], message: "unknown key" }));
}

function toError(
    { path, message }: LocatedMessage,
    lineOf: (path: readonly PropertyKey[]) => number | undefined,
): SettingsError {
    return { line: lineOf(path), path: z.core.toDotPath(path), message };
}
