/** The HTTP server for callers, over real sockets. */
import { createHash } from "node:crypto";
import { request as httpRequest } from "node:http";
import { connect } from "node:net";
import { afterAll, beforeAll, describe, expect, it, vi } from "vitest";
import { Configuration, ConfigurationHolder } from "../../src/configuration/index.js";
import { type CallerRequest, CallerServer, type TokenListener } from "../../src/entry/index.js";
import type { RequestOutcome } from "../../src/model/index.js";
import { baseRecords, logger } from "./harness.js";

type Handler = (request: CallerRequest, signal: AbortSignal, onToken?: TokenListener) => Promise<RequestOutcome>;

const done: RequestOutcome = { kind: "done", output: 1, stages: { encode: 1 }, costMilliseconds: 2 };
const holder = ConfigurationHolder.create();
const keyHash = createHash("sha256").update("api-key").digest("hex");
let handler: Handler;
let handled: CallerRequest[] = [];
let server: CallerServer;
let base: string;

beforeAll(async () => {
    const account = { name: "a1", plan: "p", keyHash };
    const forbidden = { name: "forbidden", stages: [] };
    holder.replace(
        Configuration.of(1, [
            ...baseRecords,
            { kind: "account", name: "a1", value: account },
            { kind: "pipeline", name: "forbidden", value: forbidden },
        ]),
    );
    server = await CallerServer.start({
        settings: {
            callerAddress: "127.0.0.1:0",
            defaultDeadlineMilliseconds: 4_000,
            maximumDeadlineMilliseconds: 10_000,
        },
        entry: {
            ready: true,
            handle: (request, signal, onToken) => {
                handled.push(request);
                return handler(request, signal, onToken);
            },
        },
        configuration: holder,
        logger,
        metrics: { increment: () => undefined },
        operators: (_, response) => void response.writeHead(299).end("operators"),
    });
    base = `http://${server.address}`;
});

afterAll(() => server.kill());

function post(
    path: string,
    headers: Record<string, string> = {},
    body = '{"input":{"prompt":"x"}}',
): Promise<Response> {
    handled = [];
    handler = () => Promise.resolve(done);
    const common = { "authorization": "Bearer api-key", "idempotency-key": "k" };
    return fetch(`${base}${path}`, { method: "POST", headers: { ...common, ...headers }, body });
}

const ask = "/v1/pipelines/ask";
const large = `{"input":1}${" ".repeat(1024 * 1024)}`;
const deep = `{"input":${"[".repeat(200_000)}${"]".repeat(200_000)}}`;

// Guards against work for callers that had left before it began: the end of a connection is read after its request.
describe("a caller that has closed its connection behind its request", () => {
    it.each([
        { case: "alone", repeated: 1 },
        { case: "behind a long body", repeated: 150_000 },
    ])("gets no work done: $case", async ({ repeated }) => {
        handled = [];
        handler = () => Promise.resolve(done);
        const [host = "", port = ""] = server.address.split(":");
        const socket = connect(Number(port), host).resume();
        const body = '{"input":{"prompt":"x"}}' + " ".repeat(repeated);
        const head = `POST ${ask} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer api-key\r\n`;
        socket.end(`${head}content-length: ${body.length}\r\n\r\n${body}`);
        await new Promise(resolve => socket.once("close", resolve));
        expect(handled).toEqual([]);
    });
});

// Guards against listeners that add up on a connection, of which Node warns from the eleventh on.
describe("a caller that sends 20 requests at once on its connection", () => {
    it("gets all answers, without a warning of the runtime", async () => {
        handled = [];
        handler = () => Promise.resolve(done);
        const warn = vi.spyOn(process, "emitWarning").mockImplementation(() => undefined);
        const [host = "", port = ""] = server.address.split(":");
        const socket = connect(Number(port), host);
        let received = "";
        socket.setEncoding("utf8").on("data", (text: string) => (received += text));
        const head = `POST ${ask} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer api-key\r\ncontent-length: 24\r\n\r\n`;
        socket.write(`${head}{"input":{"prompt":"x"}}`.repeat(20));
        await vi.waitFor(() => expect(received.match(/HTTP\/1.1 200 OK/g)).toHaveLength(20));
        expect(warn).not.toHaveBeenCalled();
        warn.mockRestore();
        socket.destroy();
    });
});

describe("a bad request gives no work", () => {
    it.each<[number, string, string, Record<string, string>, string?]>([
        [404, "unknown path", "/v2/pipelines/ask", {}],
        [404, "unknown pipeline", "/v1/pipelines/nothing", {}],
        [404, "name of an object's member", "/v1/pipelines/constructor", {}],
        [401, "no key", ask, { authorization: "" }],
        [401, "unknown key", ask, { authorization: "Bearer other" }],
        [401, "the hash instead of the key", ask, { authorization: `Bearer ${keyHash}` }],
        [403, "not in plan", "/v1/pipelines/forbidden", {}],
        [400, "deadline 0", ask, { "parsleyrun-deadline-ms": "0" }],
        [400, "deadline above the longest", ask, { "parsleyrun-deadline-ms": "10001" }],
        [400, "deadline that is no number", ask, { "parsleyrun-deadline-ms": "1e3" }],
        [400, "kind with a space", ask, { "parsleyrun-kind": "a b" }],
        [400, "key with a space", ask, { "idempotency-key": "a b" }],
        [400, "empty body", ask, {}, ""],
        [400, "not JSON", ask, {}, "{"],
        [400, "no input", ask, {}, "{}"],
        [400, "an array", ask, {}, "[]"],
        [400, "null", ask, {}, "null"],
        [413, "too large", ask, {}, large],
        [400, "nested too deeply", ask, {}, deep],
    ])("%i for %s", async (status, _, path, headers, body) => {
        const response = await post(path, headers, body);
        expect([response.status, handled.length]).toEqual([status, 0]);
        expect(await response.json()).toHaveProperty("error");
    });

    it("400 when a pipeline needs an idempotency key, and 405 for other methods", async () => {
        const headers = { authorization: "Bearer api-key" };
        const missing = await fetch(`${base}/v1/pipelines/book`, { method: "POST", headers, body: '{"input":1}' });
        const get = await fetch(`${base}${ask}`, { headers });
        expect([missing.status, get.status]).toEqual([400, 405]);
    });

    it("survives bytes that are not HTTP", async () => {
        const [host, port] = server.address.split(":");
        const answer = await new Promise<string>(resolve => {
            const socket = connect(Number(port), host, () => socket.write("\u0000\u0001garbage\r\n\r\n"));
            socket.on("data", data => resolve(data.toString()));
        });
        expect(answer).toMatch(/^HTTP\/1.1 400/);
        expect((await post(ask)).status).toBe(200);
    });
});

describe("outcomes", () => {
    it.each<[RequestOutcome, number, object, string | null]>([
        [done, 200, { outcome: "done", output: 1, stages: { encode: 1 } }, null],
        [
            { kind: "refused", reason: "overShare", retryAfterMilliseconds: 1_200, message: "" },
            429,
            { outcome: "refused", notRun: true, reason: "overShare", retryAfterMs: 1_200 },
            "2",
        ],
        [
            { kind: "refused", reason: "stopping", retryAfterMilliseconds: 100, message: "" },
            503,
            { outcome: "refused", notRun: true },
            "1",
        ],
        [{ kind: "failed", reason: "deadline", message: "", effects: "none" }, 504, { outcome: "failed" }, null],
        [
            { kind: "failed", reason: "targetFailed", message: "", effects: "applied" },
            502,
            { outcome: "failed", effects: "applied" },
            null,
        ],
        [{ kind: "unknown", reason: "linkLost", message: "" }, 500, { outcome: "unknown" }, null],
    ])("%o have status %i", async (outcome, status, body, retryAfter) => {
        const pending = post(ask);
        handler = () => Promise.resolve(outcome);
        const response = await pending;
        expect(response.status).toBe(status);
        expect(response.headers.get("retry-after")).toBe(retryAfter);
        expect(await response.json()).toMatchObject(body);
    });

    it("carry the headers of the request", async () => {
        await post(ask, { "parsleyrun-deadline-ms": "1500", "parsleyrun-kind": "chat" });
        expect(handled).toEqual([
            {
                account: "a1",
                pipeline: "ask",
                kind: "chat",
                deadlineMilliseconds: 1_500,
                idempotencyKey: "k",
                priority: 0,
                input: { prompt: "x" },
            },
        ]);
    });

    it("follow the tokens as server-sent events", async () => {
        const pending = post(ask, { accept: "text/event-stream" });
        handler = (_, __, onToken) => {
            onToken?.(0, "a\n");
            onToken?.(1, "b");
            return Promise.resolve(done);
        };
        const response = await pending;
        expect(response.headers.get("content-type")).toBe("text/event-stream");
        const outcome = { outcome: "done", output: 1, stages: { encode: 1 }, costMilliseconds: 2 };
        expect(await response.text()).toBe(
            'event: token\ndata: {"index":0,"token":"a\\n"}\n\nevent: token\ndata: {"index":1,"token":"b"}\n\n' +
                `event: outcome\ndata: ${JSON.stringify(outcome)}\n\n`,
        );
    });

    it("cancel the work of a caller that disconnects", async () => {
        const aborted = new Promise<void>(resolve => {
            handler = (_, signal) => new Promise(() => signal.addEventListener("abort", () => resolve()));
        });
        const headers = { authorization: "Bearer api-key" };
        const caller = httpRequest(`${base}${ask}`, { method: "POST", headers });
        caller.on("error", () => undefined);
        caller.end('{"input":1}');
        setTimeout(() => caller.destroy(), 100);
        await aborted;
    });
});

describe("other paths", () => {
    it("are health and the operators' handler", async () => {
        expect((await fetch(`${base}/healthz`)).status).toBe(200);
        expect((await fetch(`${base}/operator/v1/status`)).status).toBe(299);
    });
});
