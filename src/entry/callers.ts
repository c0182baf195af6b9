/**
 * The HTTP server for callers: `POST /v1/pipelines/<name>` and `GET /healthz`. Paths below `/operator/v1/` go to a
 * separate handler.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { checkAccess } from "../admission/index.js";
import type { Configuration, ConfigurationHolder } from "../configuration/index.js";
import { splitAddress } from "../link/index.js";
import { readArrived } from "../model/arrivedinput.js";
import type { RequestOutcome } from "../model/index.js";
import type { Metrics, StateLogger } from "../observability/index.js";
import type { EntrySettings } from "../settings/schema.js";
import { AccountKeys } from "./accountkeys.js";
import type { Entry } from "./entry.js";
import { OpenConnections } from "./openconnections.js";
import { EventStream, sendJson, sendOutcome } from "./reply.js";
import type { CallerRequest } from "./run.js";

/** Largest body of a request, in bytes. */
const MAXIMUM_BODY_BYTES = 1024 * 1024;

/** Limit for reading a body that is too large, since a caller that is still writing may not read the response. */
const MAXIMUM_READ_BYTES = 4 * MAXIMUM_BODY_BYTES;

/** Time for the headers of a request, and for the whole request, in milliseconds. */
const HEADERS_TIMEOUT_MS = 5_000;
const REQUEST_TIMEOUT_MS = 10_000;
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;

/** Interval at which idle connections are closed while the server stops. */
const IDLE_CHECK_INTERVAL_MS = 50;

const PIPELINE_PATH = "/v1/pipelines/";
const OPERATOR_PATH = "/operator/v1/";

/** Kinds are histogram labels, so they are short and use plain characters. */
const KIND_PATTERN = /^[A-Za-z0-9._-]{1,32}$/;
const KEY_PATTERN = /^[\x21-\x7e]{1,128}$/;
const DEADLINE_PATTERN = /^[1-9]\d{0,5}$/;
const PRIORITY_PATTERN = /^(-?[1-9]|-?10|0)$/;

/** Serves the operators' paths. */
export type OperatorHandler = (request: IncomingMessage, response: ServerResponse) => void | Promise<void>;

/** Options of a caller server. */
export interface CallerServerOptions {
    readonly settings: Pick<
        EntrySettings,
        "callerAddress" | "defaultDeadlineMilliseconds" | "maximumDeadlineMilliseconds"
    >;
    readonly entry: Pick<Entry, "handle" | "ready">;
    readonly configuration: ConfigurationHolder;
    readonly logger: StateLogger;
    readonly metrics: Metrics;
    readonly operators?: OperatorHandler;
}

/** An error in the caller's request. */
interface CallerError {
    readonly status: 400 | 401 | 403 | 404 | 405 | 413;
    readonly message: string;
}

type CheckResult<Value> = { readonly value: Value } | { readonly error: CallerError };

/** A running HTTP server for callers. */
export class CallerServer {
    private readonly server: Server;
    private readonly connections: OpenConnections;
    private readonly accountKeys = AccountKeys.create();

    private constructor(private readonly options: CallerServerOptions) {
        const timeouts = {
            headersTimeout: HEADERS_TIMEOUT_MS,
            requestTimeout: REQUEST_TIMEOUT_MS,
            connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
        };
        this.server = createServer(timeouts, (request, response) => void this.serve(request, response));
        this.connections = OpenConnections.of(this.server);
    }

    /** Starts the server. Rejects when its address cannot be used. */
    static async start(options: CallerServerOptions): Promise<CallerServer> {
        const created = new CallerServer(options);
        const [host, port] = splitAddress(options.settings.callerAddress);
        await new Promise<void>((resolve, reject) => {
            created.server.once("error", reject);
            created.server.listen(port, host, resolve);
        });
        return created;
    }

    /** The address in use (host:port). */
    get address(): string {
        const { address, port } = this.server.address() as AddressInfo;
        return `${address}:${port}`;
    }

    /** Accepts no further connections; resolves when the open requests are answered. */
    async stop(): Promise<void> {
        const closed = new Promise(resolve => this.server.close(resolve));
        // Otherwise a connection whose request ends after the close stays open until its keep-alive timeout.
        const timer = setInterval(() => this.connections.closeIdle(), IDLE_CHECK_INTERVAL_MS);
        // A server that is closed no longer ends connections whose request does not arrive in time.
        const lateTimer = setInterval(() => this.connections.closeWithoutRequest(), HEADERS_TIMEOUT_MS);
        await closed;
        clearInterval(timer);
        clearInterval(lateTimer);
    }

    /** Ends all connections at once. */
    kill(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        try {
            await this.route(request, response);
        } catch (error) {
            this.options.logger.error("request handler failed", error);
            if (response.headersSent) response.destroy();
            else sendJson(response, 500, { outcome: "unknown", message: "internal error" });
        }
    }

    private async route(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const path = (request.url ?? "").split("?", 1)[0] ?? "";
        if (path.startsWith(OPERATOR_PATH) && this.options.operators !== undefined) {
            await this.options.operators(request, response);
        } else if (path === "/healthz" && request.method === "GET") {
            const { ready } = this.options.entry;
            sendJson(response, ready ? 200 : 503, { status: ready ? "serving" : "notServing" });
        } else if (path.startsWith(PIPELINE_PATH)) {
            await this.servePipeline(path.slice(PIPELINE_PATH.length), request, response);
        } else {
            this.sendError(response, { status: 404, message: "no such path" });
        }
    }

    private async servePipeline(name: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
        const checked = await this.readRequest(name, request);
        if ("error" in checked) {
            this.sendError(response, checked.error);
            return;
        }
        const controller = new AbortController();
        const { socket } = request;
        const departure = this.connections.departureOf(socket);
        if (departure === undefined) return;
        departure.abortWork(response, controller);
        await readArrived(socket, () => controller.signal.aborted);
        if (controller.signal.aborted) return;
        if (request.headers.accept?.includes("text/event-stream") === true) {
            const stream = EventStream.create(response, () => controller.abort());
            stream.end(await this.handle(checked.value, controller.signal, stream));
        } else {
            sendOutcome(response, await this.handle(checked.value, controller.signal));
        }
    }

    private handle(request: CallerRequest, signal: AbortSignal, stream?: EventStream): Promise<RequestOutcome> {
        const onToken = stream && ((index: number, token: string) => stream.writeToken(index, token));
        return this.options.entry.handle(request, signal, onToken);
    }

    /** Checks a request in the order method, account, pipeline, plan, headers, body. */
    private async readRequest(pipeline: string, request: IncomingMessage): Promise<CheckResult<CallerRequest>> {
        const configuration = this.options.configuration.current;
        if (request.method !== "POST") return reject(405, "only POST is allowed");
        const headers = this.readHeaders(request);
        // Without a configuration no account is known; the entry answers with `refused` or `unknown`.
        if (configuration.version === 0) return "error" in headers ? headers : emptyRequest(pipeline, headers.value);
        const account = this.accountKeys.find(configuration, request.headers.authorization);
        if (account === undefined) return reject(401, "the API key is missing or unknown");
        const denied = checkPipeline(configuration, account, pipeline, request.headers["idempotency-key"]);
        if (denied !== undefined) return { error: denied };
        if ("error" in headers) return headers;
        const body = await readBody(request);
        if ("error" in body) return body;
        const input = parseInput(body.value);
        if ("error" in input) return input;
        return { value: { account, pipeline, ...headers.value, input: input.value } };
    }

    private readHeaders({ headers }: IncomingMessage): CheckResult<RequestHeaders> {
        const { defaultDeadlineMilliseconds, maximumDeadlineMilliseconds } = this.options.settings;
        const deadline = String(headers["parsleyrun-deadline-ms"] ?? defaultDeadlineMilliseconds);
        const deadlineMilliseconds = Number(deadline);
        if (!DEADLINE_PATTERN.test(deadline) || deadlineMilliseconds > maximumDeadlineMilliseconds) {
            return reject(400, `parsleyrun-deadline-ms is not a number from 1 to ${maximumDeadlineMilliseconds}`);
        }
        const kind = String(headers["parsleyrun-kind"] ?? "default");
        if (!KIND_PATTERN.test(kind)) return reject(400, "parsleyrun-kind is not a name of up to 32 characters");
        const priority = String(headers["parsleyrun-priority"] ?? 0);
        if (!PRIORITY_PATTERN.test(priority)) return reject(400, "parsleyrun-priority is not a number from -10 to 10");
        const fields = { deadlineMilliseconds, kind, priority: Number(priority) };
        const key = headers["idempotency-key"];
        if (key === undefined) return { value: fields };
        if (!KEY_PATTERN.test(String(key))) return reject(400, "idempotency-key is not 1 to 128 printable characters");
        return { value: { ...fields, idempotencyKey: String(key) } };
    }

    private sendError(response: ServerResponse, { status, message }: CallerError): void {
        this.options.metrics.increment("caller.errors", 1, { status: String(status) });
        const headers: Record<string, string> = { connection: "close" };
        if (status === 401) headers["www-authenticate"] = "Bearer";
        if (status === 405) headers["allow"] = "POST";
        sendJson(response, status, { outcome: "error", error: message }, headers);
    }
}

type RequestHeaders = Pick<CallerRequest, "deadlineMilliseconds" | "kind" | "priority" | "idempotencyKey">;

function reject(status: CallerError["status"], message: string): { readonly error: CallerError } {
    return { error: { status, message } };
}

function emptyRequest(pipeline: string, headers: RequestHeaders): CheckResult<CallerRequest> {
    return { value: { account: "", pipeline, ...headers, input: null } };
}

function checkPipeline(
    configuration: Configuration,
    account: string,
    name: string,
    key: string | readonly string[] | undefined,
): CallerError | undefined {
    const access = checkAccess(configuration, account, name);
    if (access.kind === "notInPlan") return { status: 403, message: `the plan does not include ${name}` };
    if (access.kind !== "allowed") return { status: 404, message: "no such pipeline" };
    const keyRequired = access.pipeline.stages.some(stage => !stage.idempotent);
    return keyRequired && key === undefined ? { status: 400, message: "idempotency-key is missing" } : undefined;
}

async function readBody(request: IncomingMessage): Promise<CheckResult<string>> {
    const chunks: Buffer[] = [];
    let length = 0;
    try {
        for await (const chunk of request as AsyncIterable<Buffer>) {
            length += chunk.length;
            if (length <= MAXIMUM_BODY_BYTES) chunks.push(chunk);
            if (length > MAXIMUM_READ_BYTES) break;
        }
    } catch {
        return reject(400, "the body ended early");
    }
    if (length > MAXIMUM_BODY_BYTES) return reject(413, `the body is above ${MAXIMUM_BODY_BYTES} bytes`);
    return { value: Buffer.concat(chunks).toString("utf8") };
}

function parseInput(text: string): CheckResult<unknown> {
    try {
        const body = JSON.parse(text) as unknown;
        if (typeof body !== "object" || body === null || !Object.hasOwn(body, "input")) {
            return reject(400, "the body is not an object with the key input");
        }
        const { input } = body as { readonly input: unknown };
        // Detects values that are nested too deeply to serialize before they are executed. Numbers such as 1E20 take
        // more bytes when serialized again; a link closes when a message on it is too large.
        const bytes = Buffer.byteLength(JSON.stringify(input));
        if (bytes > MAXIMUM_BODY_BYTES) return reject(413, `the input is above ${MAXIMUM_BODY_BYTES} bytes`);
        return { value: input };
    } catch {
        return reject(400, "the body is not JSON");
    }
}
