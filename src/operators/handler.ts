/** Request handler of the operators' HTTP interface below `/operator/v1/`, for an entry's HTTP server. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { z } from "zod";
import { MemoryAccount, readWhole } from "../memory/index.js";
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

/** Size limit of a request body. Lists of 2,700 accounts take about 300 KB. */
export const MAXIMUM_BODY_BYTES = 1_048_576;

/** All bodies of operators that are being read. */
const MEMORY = MemoryAccount.create({ maximumBytes: 8 * MAXIMUM_BODY_BYTES });

/** Dependencies of the handler. */
export interface OperatorOptions extends MoveContext, StatusSources {
    /** The operators' key. */
    readonly key: string;
    readonly report: () => ReportBody;
    readonly logger: StateLogger;
}

/** Answers one request whose path starts with `/operator/v1/`. Never rejects. */
export type OperatorHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

type RouteResult =
    { readonly kind: "body"; readonly body: object } | { readonly kind: "error"; readonly error: OperatorError };

type BodyReadResult = { readonly kind: "read"; readonly text: string } | { readonly kind: "tooLarge" | "ended" };

interface Route {
    readonly method: "GET" | "POST";
    /** Path below the prefix; its capture group, if any, is passed to `run` as `name`. */
    readonly path: RegExp;
    readonly run: (
        options: OperatorOptions,
        request: IncomingMessage,
        name: string,
        query: URLSearchParams,
    ) => Promise<RouteResult>;
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
    { method: "GET", path: /^configuration$/, run: options => Promise.resolve(readConfiguration(options)) },
    { method: "GET", path: /^report$/, run: options => Promise.resolve({ kind: "body", body: options.report() }) },
    { method: "GET", path: /^status$/, run: (options, _request, _name, query) => readStatus(options, query) },
    {
        method: "POST",
        path: /^lists$/,
        run: (options, request) =>
            handleChange(options, request, listsRequestSchema, body => applyLists(options, body)),
    },
    {
        method: "POST",
        path: /^zones\/([^/]+)$/,
        run: (options, request, name) =>
            handleChange(options, request, zoneRequestSchema, body => changeZone(options, name, body)),
    },
    {
        method: "POST",
        path: /^services\/([^/]+)\/traffic$/,
        run: (options, request, name) =>
            handleChange(options, request, trafficRequestSchema, body => changeTraffic(options, name, body)),
    },
    {
        method: "GET",
        path: /^moves$/,
        run: ({ moves }) => Promise.resolve({ kind: "body", body: { moves: listMoveBodies(moves) } }),
    },
    {
        method: "POST",
        path: /^moves$/,
        run: handleMoveDeclaration,
    },
    { method: "GET", path: /^moves\/([^/]+)$/, run: (options, _request, id) => Promise.resolve(readMove(options, id)) },
];

export function createOperatorHandler(options: OperatorOptions): OperatorHandler {
    return async (request, response) => {
        try {
            send(response, await handleRequest(options, request));
        } catch (error) {
            options.logger.error("operator request failed", error);
            const next = "look at the entry's log, and try again";
            send(response, toError("internal", "the entry could not answer", next));
        }
    };
}

async function handleRequest(options: OperatorOptions, request: IncomingMessage): Promise<RouteResult> {
    if (!isAuthenticated(request, options.key)) {
        return toError(
            "unauthenticated",
            "the operator key is missing or wrong",
            "give the entry's operatorKey as bearer",
        );
    }
    const url = new URL(request.url ?? "/", "http://entry");
    const path = url.pathname.slice(OPERATOR_PREFIX.length);
    const routes = ROUTES.filter(route => route.path.test(path));
    const route = routes.find(({ method }) => method === request.method);
    if (route === undefined) return routeError(routes, url.pathname);
    const name = decodeName(route.path.exec(path)?.[1] ?? "");
    if (name === undefined) return routeError([], url.pathname);
    return route.run(options, request, name, url.searchParams);
}

function isAuthenticated(request: IncomingMessage, key: string): boolean {
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

function routeError(routes: readonly Route[], path: string): RouteResult {
    if (routes.length === 0) {
        return toError("notFound", `there is nothing at ${path}`, "docs/operators.md lists the paths");
    }
    const methods = routes.map(({ method }) => method).join(", ");
    return toError("methodNotAllowed", `${path} takes ${methods}`, `use ${methods}`);
}

function readConfiguration({ holder, ready }: OperatorOptions): RouteResult {
    if (!ready()) {
        const message = "this entry has not confirmed its first configuration yet";
        return toError("starting", message, "try again shortly, or ask another entry");
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

function readStatus(options: OperatorOptions, query: URLSearchParams): Promise<RouteResult> {
    const current = options.holder.current;
    const requestedVersion = Number(query.get("version") ?? current.version);
    if (!Number.isInteger(requestedVersion) || requestedVersion < 0) {
        return Promise.resolve(toError("badRequest", "version is not a number", "ask for a version from 0"));
    }
    return Promise.resolve({ kind: "body", body: buildStatus(options, current, requestedVersion) });
}

function readMove({ moves }: OperatorOptions, id: string): RouteResult {
    const move = findMoveBody(moves, id);
    if (move === undefined) return toError("notFound", `move "${id}" is not known here`, "look at parsleyrun moves");
    return { kind: "body", body: { move } };
}

async function handleMoveDeclaration(options: OperatorOptions, request: IncomingMessage): Promise<RouteResult> {
    const parsed = await parseBody(request, moveRequestSchema);
    if (parsed.kind === "error") return parsed;
    const outcome = await declareMoveRequest(options, parsed.body);
    if (outcome.kind === "error") return outcome;
    const { move } = outcome;
    options.logger.info(`move ${move.id} declared`, { ...move });
    return { kind: "body", body: { move } };
}

async function handleChange<Request>(
    options: OperatorOptions,
    request: IncomingMessage,
    schema: z.ZodType<Request>,
    run: (body: Request) => Promise<ChangeOutcome>,
): Promise<RouteResult> {
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
): Promise<{ readonly kind: "parsed"; readonly body: Request } | Extract<RouteResult, { kind: "error" }>> {
    const body = await readBody(request);
    if (body.kind !== "read") {
        const message = `the body has more than ${MAXIMUM_BODY_BYTES} bytes`;
        return toError("tooLarge", message, "apply the sections of the file one by one");
    }
    const parsed = schema.safeParse(parseJson(body.text));
    if (parsed.success) return { kind: "parsed", body: parsed.data };
    const message = parsed.error.issues.map(issue => `${issue.path.join(".") || "body"}: ${issue.message}`).join("; ");
    return toError("badRequest", message, "docs/operators.md describes the body");
}

/** Reads a body; beyond its limits the rest is not read. */
async function readBody(request: IncomingMessage): Promise<BodyReadResult> {
    const read = await readWhole(request, { account: MEMORY, party: "operators", maximumBytes: MAXIMUM_BODY_BYTES });
    if (read.kind === "read") return { kind: "read", text: read.bytes.toString() };
    return { kind: read.kind === "broken" ? "ended" : "tooLarge" };
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    } catch {
        return undefined;
    }
}

function toError(kind: OperatorErrorKind, message: string, next: string): Extract<RouteResult, { kind: "error" }> {
    return { kind: "error", error: { kind, message, next } };
}

function send(response: ServerResponse, result: RouteResult): void {
    const error = result.kind === "error" ? result.error : undefined;
    // The rest of an oversized body is not read, so the connection cannot be reused.
    if (error?.kind === "tooLarge") response.setHeader("connection", "close");
    response.writeHead(error === undefined ? 200 : STATUSES[error.kind], { "content-type": "application/json" });
    response.end(JSON.stringify(result.kind === "error" ? { error } : result.body));
}
