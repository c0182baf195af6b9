/** The operators' HTTP interface below `/operator/v1/`, as a handler for an entry's server. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { z } from "zod";
import { renderLists } from "../configuration/index.js";
import { equalKeys } from "../link/index.js";
import type { StateLogger } from "../observability/index.js";
import {
    applyLists,
    type ChangeOutcome,
    changeTraffic,
    changeZone,
    listsRequestSchema,
    trafficRequestSchema,
    zoneRequestSchema,
} from "./change.js";
import {
    type ConfigurationBody,
    OPERATOR_PREFIX,
    type OperatorError,
    type OperatorErrorKind,
    type ReportBody,
} from "./message.js";
import { declareMoveRequest, findMoveBody, listMoveBodies, type MoveContext, moveRequestSchema } from "./moves.js";
import { buildStatus, type StatusSources } from "./status.js";

/** Largest body that is read, in bytes. Lists of 2,700 accounts take about 300 KB. */
export const MAXIMUM_BODY_BYTES = 1_048_576;

/** What the interface serves. */
export interface OperatorOptions extends MoveContext, StatusSources {
    /** The operators' key. */
    readonly key: string;
    readonly report: () => ReportBody;
    readonly logger: StateLogger;
}

/** Answers one request whose path starts with `/operator/v1/`. Never rejects. */
export type OperatorHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

type Answer =
    { readonly kind: "body"; readonly body: object } | { readonly kind: "error"; readonly error: OperatorError };

type Body = { readonly kind: "read"; readonly text: string } | { readonly kind: "tooLarge" | "ended" };

interface Route {
    readonly method: "GET" | "POST";
    /** Path below the prefix; the group is the name in it. */
    readonly path: RegExp;
    readonly run: (
        options: OperatorOptions,
        request: IncomingMessage,
        name: string,
        query: URLSearchParams,
    ) => Promise<Answer>;
}

const STATUSES: Readonly<Record<OperatorErrorKind, number>> = {
    unauthenticated: 401,
    notFound: 404,
    methodNotAllowed: 405,
    badRequest: 400,
    tooLarge: 413,
    invalidLists: 422,
    conflict: 409,
    behind: 503,
    starting: 503,
    storeUnavailable: 503,
    unknown: 500,
    internal: 500,
};

const ROUTES: readonly Route[] = [
    { method: "GET", path: /^configuration$/, run: options => Promise.resolve(showConfiguration(options)) },
    { method: "GET", path: /^report$/, run: options => Promise.resolve({ kind: "body", body: options.report() }) },
    { method: "GET", path: /^status$/, run: (options, _request, _name, query) => showStatus(options, query) },
    {
        method: "POST",
        path: /^lists$/,
        run: (options, request) => change(options, request, listsRequestSchema, body => applyLists(options, body)),
    },
    {
        method: "POST",
        path: /^zones\/([^/]+)$/,
        run: (options, request, name) =>
            change(options, request, zoneRequestSchema, body => changeZone(options, name, body)),
    },
    {
        method: "POST",
        path: /^services\/([^/]+)\/traffic$/,
        run: (options, request, name) =>
            change(options, request, trafficRequestSchema, body => changeTraffic(options, name, body)),
    },
    {
        method: "GET",
        path: /^moves$/,
        run: ({ moves }) => Promise.resolve({ kind: "body", body: { moves: listMoveBodies(moves) } }),
    },
    {
        method: "POST",
        path: /^moves$/,
        run: declare,
    },
    { method: "GET", path: /^moves\/([^/]+)$/, run: (options, _request, id) => Promise.resolve(showMove(options, id)) },
];

/** A handler for an entry's server. */
export function createOperatorHandler(options: OperatorOptions): OperatorHandler {
    return async (request, response) => {
        try {
            send(response, await answer(options, request));
        } catch (error) {
            options.logger.error("operators' request failed", error);
            const next = "look at the entry's log, and try again";
            send(response, failed("internal", "the entry could not answer", next));
        }
    };
}

async function answer(options: OperatorOptions, request: IncomingMessage): Promise<Answer> {
    if (!authenticated(request, options.key)) {
        return failed(
            "unauthenticated",
            "the operator key is missing or wrong",
            "give the entry's operatorKey as bearer",
        );
    }
    const url = new URL(request.url ?? "/", "http://entry");
    const path = url.pathname.slice(OPERATOR_PREFIX.length);
    const routes = ROUTES.filter(route => route.path.test(path));
    const route = routes.find(({ method }) => method === request.method);
    if (route === undefined) return unrouted(routes, url.pathname);
    const name = decodeName(route.path.exec(path)?.[1] ?? "");
    if (name === undefined) return unrouted([], url.pathname);
    return route.run(options, request, name, url.searchParams);
}

function authenticated(request: IncomingMessage, key: string): boolean {
    const header = request.headers.authorization ?? "";
    return header.startsWith("Bearer ") && equalKeys(header.slice("Bearer ".length), key);
}

function decodeName(text: string): string | undefined {
    try {
        return decodeURIComponent(text);
    } catch {
        return undefined;
    }
}

function unrouted(routes: readonly Route[], path: string): Answer {
    if (routes.length === 0) {
        return failed("notFound", `there is nothing at ${path}`, "docs/operators.md lists the paths");
    }
    const methods = routes.map(({ method }) => method).join(", ");
    return failed("methodNotAllowed", `${path} takes ${methods}`, `use ${methods}`);
}

function showConfiguration({ holder, ready }: OperatorOptions): Answer {
    if (!ready()) {
        const message = "this entry has not confirmed its first configuration yet";
        return failed("starting", message, "try again shortly, or ask another entry");
    }
    const current = holder.current;
    const body: ConfigurationBody = {
        version: current.version,
        lists: renderLists(current),
        zones: current.valuesOf("zone"),
        traffic: current.valuesOf("traffic"),
    };
    return { kind: "body", body };
}

function showStatus(options: OperatorOptions, query: URLSearchParams): Promise<Answer> {
    const current = options.holder.current;
    const asked = Number(query.get("version") ?? current.version);
    if (!Number.isInteger(asked) || asked < 0) {
        return Promise.resolve(failed("badRequest", "version is not a number", "ask for a version from 0"));
    }
    return Promise.resolve({ kind: "body", body: buildStatus(options, current, asked) });
}

function showMove({ moves }: OperatorOptions, id: string): Answer {
    const move = findMoveBody(moves, id);
    if (move === undefined) return failed("notFound", `move "${id}" is not known here`, "look at parsleyrun moves");
    return { kind: "body", body: { move } };
}

async function declare(options: OperatorOptions, request: IncomingMessage): Promise<Answer> {
    const parsed = await parseBody(request, moveRequestSchema);
    if (parsed.kind === "error") return parsed;
    const outcome = await declareMoveRequest(options, parsed.body);
    if (outcome.kind === "error") return outcome;
    const { move } = outcome;
    options.logger.info(`move ${move.id} declared`, { ...move });
    return { kind: "body", body: { move } };
}

async function change<Request>(
    options: OperatorOptions,
    request: IncomingMessage,
    schema: z.ZodType<Request>,
    run: (body: Request) => Promise<ChangeOutcome>,
): Promise<Answer> {
    const parsed = await parseBody(request, schema);
    if (parsed.kind === "error") return parsed;
    const outcome = await run(parsed.body);
    if (outcome.kind === "error") return outcome;
    const { result } = outcome;
    if (result.kind === "accepted") options.logger.info("configuration change accepted", { ...result });
    return { kind: "body", body: result };
}

async function parseBody<Request>(
    request: IncomingMessage,
    schema: z.ZodType<Request>,
): Promise<{ readonly kind: "parsed"; readonly body: Request } | Extract<Answer, { kind: "error" }>> {
    const body = await readBody(request);
    if (body.kind !== "read") {
        const message = `the body has more than ${MAXIMUM_BODY_BYTES} bytes`;
        return failed("tooLarge", message, "apply the sections of the file one by one");
    }
    const parsed = schema.safeParse(parseJson(body.text));
    if (parsed.success) return { kind: "parsed", body: parsed.data };
    const message = parsed.error.issues.map(issue => `${issue.path.join(".") || "body"}: ${issue.message}`).join("; ");
    return failed("badRequest", message, "docs/operators.md describes the body");
}

function readBody(request: IncomingMessage): Promise<Body> {
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        request.on("data", (chunk: Buffer) => {
            bytes += chunk.length;
            if (bytes <= MAXIMUM_BODY_BYTES) chunks.push(chunk);
            else {
                request.removeAllListeners("data").pause();
                resolve({ kind: "tooLarge" });
            }
        });
        request.on("end", () => {
            resolve({ kind: "read", text: Buffer.concat(chunks).toString() });
        });
        request.on("close", () => {
            resolve({ kind: "ended" });
        });
    });
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    } catch {
        return undefined;
    }
}

function failed(kind: OperatorErrorKind, message: string, next: string): Extract<Answer, { kind: "error" }> {
    return { kind: "error", error: { kind, message, next } };
}

function send(response: ServerResponse, answered: Answer): void {
    const error = answered.kind === "error" ? answered.error : undefined;
    // What remains of a body that is too large is not read, so the connection cannot be used again.
    if (error?.kind === "tooLarge") response.setHeader("connection", "close");
    response.writeHead(error === undefined ? 200 : STATUSES[error.kind], { "content-type": "application/json" });
    response.end(JSON.stringify(answered.kind === "error" ? { error } : answered.body));
}
