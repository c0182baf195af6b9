/** Reads a settings file. Every fault names the path of the key that it concerns. */
import { readFile } from "node:fs/promises";
import { type Document, isNode, LineCounter, parseDocument } from "yaml";
import { z } from "zod";

/** One fault in a settings file. */
export interface SettingsError {
    /** Line in the file, from 1; undefined when the whole file is concerned. */
    readonly line: number | undefined;
    /** Path of the key, such as `store.timeoutMilliseconds`; empty for faults of the YAML syntax. */
    readonly path: string;
    readonly message: string;
}

/** What reading settings comes to. */
export type SettingsOutcome<Settings> =
    | { readonly kind: "loaded"; readonly settings: Settings }
    | { readonly kind: "invalid"; readonly errors: readonly SettingsError[] };

/** Reads and checks a file. */
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

/** Checks settings in YAML text. */
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
    const errors = parsed.error.issues.flatMap(issue => issuePaths(issue).map(fault => toError(fault, lineOf)));
    return { kind: "invalid", errors };
}

/** One line of text for each fault, with the file's name. */
export function formatSettingsErrors(file: string, errors: readonly SettingsError[]): readonly string[] {
    return errors.map(({ line, path, message }) => {
        const place = line === undefined ? file : `${file}:${line}`;
        return path === "" ? `${place}: ${message}` : `${place}: ${path}: ${message}`;
    });
}

/** An empty file is read as one without keys. Expanding too many aliases makes a file unreadable. */
function readContent(
    document: Document,
): { readonly kind: "read"; readonly value: unknown } | Extract<SettingsOutcome<never>, { kind: "invalid" }> {
    try {
        return { kind: "read", value: document.toJS() ?? {} };
    } catch (error) {
        const message = error instanceof Error ? error.message : "the file cannot be read";
        return { kind: "invalid", errors: [{ line: undefined, path: "", message }] };
    }
}

interface Fault {
    readonly path: readonly PropertyKey[];
    readonly message: string;
}

function issuePaths(issue: z.core.$ZodIssue): readonly Fault[] {
    if (issue.code !== "unrecognized_keys") return [{ path: issue.path, message: issue.message }];
    return issue.keys.map(key => ({ path: [...issue.path, key], message: "unknown key" }));
}

function toError(
    { path, message }: Fault,
    lineOf: (path: readonly PropertyKey[]) => number | undefined,
): SettingsError {
    return { line: lineOf(path), path: z.core.toDotPath(path), message };
}
