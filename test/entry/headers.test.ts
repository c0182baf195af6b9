/** The HTTP API for callers as documented in docs/callers.md: headers, limits and responses to invalid requests. */
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { Configuration, ConfigurationHolder, type ConfigurationRecord } from "../../src/configuration/index.js";
import { type CallerRequest, CallerServer } from "../../src/entry/index.js";
import { hashText } from "../../src/model/index.js";

const KEY = "kettleby-key";
const stage = { name: "encode", service: "encode", operation: "encode", streaming: false, maximumTokens: 0 };
const records: readonly ConfigurationRecord[] = [
    {
        kind: "pipeline",
        name: "question",
        value: { name: "question", stages: [{ ...stage, idempotent: true, costMilliseconds: 1 }] },
    },
    { kind: "plan", name: "large", value: { name: "large", pipelines: ["question"], stages: [], share: 1 } },
    { kind: "account", name: "kettleby", value: { name: "kettleby", plan: "large", keyHash: hashText(KEY) } },
];

let server: CallerServer;
let received: CallerRequest[];

beforeEach(async () => {
    received = [];
    const configuration = ConfigurationHolder.create();
    configuration.replace(Configuration.of(1, records));
    server = await CallerServer.start({
        settings: {
            callerAddress: "127.0.0.1:0",
            defaultDeadlineMilliseconds: 4_000,
            maximumDeadlineMilliseconds: 10_000,
        },
        entry: {
            ready: true,
            handle: request => {
                received.push(request);
                return Promise.resolve({ kind: "done", output: 1, stages: {}, costMilliseconds: 1 });
            },
        },
        configuration,
        logger: { debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined },
        metrics: { increment: () => undefined },
    });
});

afterEach(() => {
    server.kill();
});

async function ask(headers: Record<string, string>, body = '{"input":1}', pipeline = "question") {
    const response = await fetch(`http://${server.address}/v1/pipelines/${pipeline}`, {
        method: "POST",
        headers: { authorization: `Bearer ${KEY}`, ...headers },
        body,
    });
    return { status: response.status, body: (await response.json()) as unknown };
}

describe("headers", () => {
    it.each([
        { name: "their defaults", headers: {}, read: { priority: 0, kind: "default", deadlineMilliseconds: 4_000 } },
        { name: "the highest priority", headers: { "parsleyrun-priority": "10" }, read: { priority: 10 } },
        { name: "the lowest priority", headers: { "parsleyrun-priority": "-10" }, read: { priority: -10 } },
        {
            name: "the longest key",
            headers: { "idempotency-key": "k".repeat(128) },
            read: { idempotencyKey: "k".repeat(128) },
        },
    ])("are read with $name", async ({ headers, read }) => {
        expect(await ask(headers)).toMatchObject({ status: 200, body: { outcome: "done" } });
        expect(received).toMatchObject([read]);
    });
});

describe("a wrong request", () => {
    // Guards against responses without an outcome, which callers treat as broken, and against running the request.
    it.each([
        { name: "unknown key", headers: { authorization: "Bearer other" }, status: 401 },
        { name: "unknown pipeline", headers: {}, pipeline: "other", status: 404 },
        { name: "priority above 10", headers: { "parsleyrun-priority": "11" }, status: 400 },
        { name: "priority that is no number", headers: { "parsleyrun-priority": "high" }, status: 400 },
        { name: "idempotency key above 128 characters", headers: { "idempotency-key": "k".repeat(129) }, status: 400 },
        { name: "deadline above the longest", headers: { "parsleyrun-deadline-ms": "10001" }, status: 400 },
        { name: "body that is no JSON", headers: {}, body: "{", status: 400 },
        { name: "body above 1 MiB", headers: {}, body: `{"input":"${"x".repeat(1_100_000)}"}`, status: 413 },
    ])("with $name gets $status and the outcome error", async ({ headers, body, pipeline, status }) => {
        const answer = await ask(headers as Record<string, string>, body, pipeline);
        expect(answer).toMatchObject({ status, body: { outcome: "error", error: expect.any(String) } });
        expect(received).toEqual([]);
    });
});
