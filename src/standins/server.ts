/**
 * Serves the stand-ins over HTTP/1.1 as docs/interfaces.md describes. In addition, `POST /faults` takes
 * `{"<fault switch>": [arguments]}`, such as `{"setOutage": [true]}`, and `GET /counters` answers what was counted.
 */
import { once } from "node:events";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { EngineOrder, EngineRequest } from "../agent/engine.js";
import { encodeEvent, statusOf } from "../agent/engineprotocol.js";
import type { Vm } from "../model/index.js";
import type { WatchOutcome, WriteOutcome } from "../store/index.js";
import type { StandInEngine } from "./engine.js";
import { STORE_RATE_LIMIT, STORE_REVISION_TOO_OLD, STORE_VALUE_TOO_LARGE, type StandInStore } from "./store.js";

/** A stand-in that is being served. */
export interface StandInServer {
    /** Address (host:port); port 0 was replaced by the chosen one. */
    readonly address: string;
    /** Stops serving and ends open connections. */
    close(): Promise<void>;
}

type Handler = (request: IncomingMessage, url: URL, response: ServerResponse) => Promise<void>;

/** What stores and targets have in common: fault switches that callers may set, and counters. */
interface Controls {
    readonly standIn: object;
    readonly faultNames: readonly string[];
    readonly counters: () => unknown;
}

const STORE_FAULTS = ["setOutage", "setSlow", "loseWriteAnswers", "setStaleReads", "setVms"] as const;
const ENGINE_FAULTS = [
    ...(["turnCold", "turnWarm", "crash", "setAnswering", "setSlowFactor", "failNext"] as const),
    ...(["rejectNext", "setFailFraction", "setCrashMarker", "truncateNext"] as const),
];

async function readJson(request: IncomingMessage): Promise<unknown> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    return JSON.parse(Buffer.concat(chunks).toString());
}

function sendJson(response: ServerResponse, status: number, body?: unknown): void {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(body === undefined ? undefined : JSON.stringify(body));
}

async function applyFaults({ standIn, faultNames }: Controls, request: IncomingMessage): Promise<void> {
    for (const [name, values] of Object.entries((await readJson(request)) as Record<string, unknown[]>)) {
        if (!faultNames.includes(name)) throw new Error(`unknown fault ${name}`);
        (standIn as Record<string, (...values: unknown[]) => void>)[name]?.(...values);
    }
}

async function serve(address: string, controls: Controls, handler: Handler): Promise<StandInServer> {
    const route: Handler = async (request, url, response) => {
        const requested = `${request.method} ${url.pathname}`;
        if (requested === "GET /counters") return sendJson(response, 200, controls.counters());
        if (requested !== "POST /faults") return handler(request, url, response);
        await applyFaults(controls, request);
        sendJson(response, 204);
    };
    const server: Server = createServer((request, response) => {
        const url = new URL(request.url ?? "/", "http://stand-in");
        route(request, url, response).catch((error: unknown) => {
            if (response.headersSent) response.destroy();
            else sendJson(response, 400, { error: String(error) });
        });
    });
    const [host, port] = address.split(":");
    server.listen(Number(port), host);
    await once(server, "listening");
    const close = (): Promise<void> =>
        new Promise(resolve => {
            server.close(() => resolve());
            server.closeAllConnections();
        });
    return { address: `${host}:${(server.address() as AddressInfo).port}`, close };
}

function sendUnavailable(response: ServerResponse, message: string): void {
    const statuses: Record<string, number> = {
        [STORE_RATE_LIMIT]: 429,
        [STORE_VALUE_TOO_LARGE]: 413,
        [STORE_REVISION_TOO_OLD]: 410,
    };
    sendJson(response, statuses[message] ?? 503, { error: message });
}

function sendWriteOutcome(response: ServerResponse, outcome: WriteOutcome): void {
    if (outcome.kind === "written") sendJson(response, 200, { version: outcome.version });
    else if (outcome.kind === "conflict") sendJson(response, 412, { error: "version differs" });
    else if (outcome.kind === "unavailable") sendUnavailable(response, outcome.message);
    else response.destroy();
}

/** Serves a store, and its VM list, at an address (host:port). Calls are counted for the client `http`. */
export async function serveStore(store: StandInStore, address: string): Promise<StandInServer> {
    const client = store.client("http", Infinity);
    const controls = { standIn: store, faultNames: STORE_FAULTS, counters: () => store.allCounts() };
    const served = await serve(address, controls, async (request, url, response) => {
        response.setHeader("store-era", store.era);
        const key = decodeURIComponent(url.pathname.replace(/^\/objects\//, ""));
        const expected = request.headers["if-none-match"] === "*" ? 0 : Number(request.headers["if-match"]);
        const prefix = url.searchParams.get("prefix") ?? "";
        const route = `${request.method} ${url.pathname.replace(/^\/objects\/.*/, "/objects/")}`;
        if (route === "GET /vms") return sendJson(response, 200, { vms: store.listVms() satisfies readonly Vm[] });
        if (route === "GET /objects/") {
            const outcome = await client.read(key);
            if (outcome.kind === "found") return sendJson(response, 200, outcome.object);
            return outcome.kind === "missing" ? sendJson(response, 404) : sendUnavailable(response, outcome.message);
        }
        if (route === "GET /objects" || route === "GET /watch") {
            const number = (name: string): number => Number(url.searchParams.get(name));
            const outcome: WatchOutcome | Awaited<ReturnType<typeof client.list>> =
                route === "GET /objects"
                    ? await client.list(prefix)
                    : await client.watch(prefix, number("revision"), number("timeoutMilliseconds"));
            // The store may have been restored while the watch waited.
            response.setHeader("store-era", store.era);
            if (outcome.kind === "unavailable") return sendUnavailable(response, outcome.message);
            return sendJson(response, 200, { ...outcome, kind: undefined });
        }
        if (route === "DELETE /objects/") return sendWriteOutcome(response, await client.remove(key, expected));
        if (route !== "PUT /objects/") return sendJson(response, 404);
        const { value } = (await readJson(request)) as { value: string };
        sendWriteOutcome(response, await client.write(key, value, expected));
    });
    const close = async (): Promise<void> => {
        // Ends the waiting watches, whose timers would keep the process for up to 30 s.
        store.setOutage(true, "http");
        await served.close();
        store.setOutage(false, "http");
    };
    return { ...served, close };
}

async function execute(
    engine: StandInEngine,
    request: EngineRequest,
    abort: AbortController,
    response: ServerResponse,
): Promise<void> {
    for await (const event of engine.execute(request, abort.signal)) {
        const status = response.headersSent ? undefined : statusOf(event);
        if (status !== undefined) return sendJson(response, status, { error: "message" in event ? event.message : "" });
        // A lost result ends in the middle of a line.
        if (event.kind === "lost") return void response.write('{"done":true,"out', () => response.destroy());
        if (!response.headersSent) response.writeHead(200, { "content-type": "application/x-ndjson" });
        response.write(`${encodeEvent(event)}\n`);
    }
    response.end();
}

/** Serves a target at an address (host:port). A target that does not answer leaves calls open. */
export function serveEngine(engine: StandInEngine, address: string): Promise<StandInServer> {
    const running = new Map<string, AbortController>();
    const controls = { standIn: engine, faultNames: ENGINE_FAULTS, counters: () => engine.counters() };
    return serve(address, controls, async (request, url, response) => {
        const route = `${request.method} ${url.pathname.replace(/^\/v1\/execute\/.*/, "/v1/execute/")}`;
        if (route === "POST /v1/execute") {
            const body = (await readJson(request)) as EngineRequest;
            const abort = new AbortController();
            running.set(body.id, abort);
            response.once("close", () => {
                abort.abort();
                running.delete(body.id);
            });
            return execute(engine, body, abort, response);
        }
        if (route === "GET /v1/cache-events") {
            return sendJson(response, 200, { events: engine.cacheEvents(Number(url.searchParams.get("after"))) });
        }
        if (route === "GET /v1/load") {
            const load = await engine.load();
            return load === undefined ? undefined : sendJson(response, 200, load);
        }
        if (route === "DELETE /v1/execute/") {
            running.get(decodeURIComponent(url.pathname.slice("/v1/execute/".length)))?.abort();
            return sendJson(response, 204);
        }
        if (route !== "POST /v1/orders") return sendJson(response, 404);
        const outcome = await engine.order((await readJson(request)) as EngineOrder);
        if (outcome.kind === "applied") return sendJson(response, 200, {});
        sendJson(response, outcome.kind === "staleFencing" ? 409 : 503, { error: outcome.message });
    });
}
