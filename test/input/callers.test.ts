/** What callers and operators may send to an entry's HTTP side. */
import fc from "fast-check";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { ALPHA_KEY, bodyOf, collectUnhandled, InputSystem, OPERATOR_KEY, SEED, sendRaw } from "./system.js";

let system: InputSystem;
let unhandled: ReturnType<typeof collectUnhandled>;
let served = 0;

beforeAll(async () => {
    unhandled = collectUnhandled();
    system = await InputSystem.start();
});

afterAll(async () => {
    await system.stop();
    unhandled.stop();
    expect(unhandled.errors).toEqual([]);
});

async function serves(): Promise<void> {
    served += 1;
    expect(await system.servesAtOnce(`caller-${served}`)).toBe(true);
}

function head(headers: Readonly<Record<string, string>>, path = "/v1/pipelines/ask", method = "POST"): string {
    const all = { host: "entry", authorization: `Bearer ${ALPHA_KEY}`, ...headers };
    const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}`);
    return `${method} ${path} HTTP/1.1\r\n${lines.join("\r\n")}\r\n\r\n`;
}

function statusOf(text: string): number {
    return Number(/^HTTP\/1\.1 (\d{3})/.exec(text)?.[1] ?? 0);
}

describe("a caller's request", () => {
    // Guards against an error that is not told, or told in another form than docs/callers.md says.
    it.each([
        ["no key", { authorization: "" }, 401],
        ["an unknown key", { authorization: "Bearer unknown-key" }, 401],
        ["a key of another scheme", { authorization: `Basic ${ALPHA_KEY}` }, 401],
        ["two keys", { authorization: `Bearer ${ALPHA_KEY} ${ALPHA_KEY}` }, 401],
        ["a deadline of 0", { "parsleyrun-deadline-ms": "0" }, 400],
        ["a deadline that is too long", { "parsleyrun-deadline-ms": "10001" }, 400],
        ["a deadline that is no number", { "parsleyrun-deadline-ms": "1e3" }, 400],
        ["a kind with a space", { "parsleyrun-kind": "a b" }, 400],
        ["a long kind", { "parsleyrun-kind": "k".repeat(33) }, 400],
        ["an empty idempotency key", { "idempotency-key": "" }, 400],
        ["a long idempotency key", { "idempotency-key": "k".repeat(129) }, 400],
    ])("with %s is answered with an error", async (_name, headers, status) => {
        const answer = await system.call("ask", headers);
        expect(answer.status).toBe(status);
        expect(bodyOf(answer)).toMatchObject({ outcome: "error", error: expect.stringMatching(/./) as string });
        await serves();
    });

    it.each([
        ["nothing", ""],
        ["no JSON", "input"],
        ["a truncated body", '{"input": {"a": 1'],
        ["a list", "[1]"],
        ["null", "null"],
        ["no input", '{"inputs": 1}'],
        ["an inherited input", '{"__proto__": {"input": 1}}'],
        ["a body that is nested too deeply", `{"input":${"[".repeat(200_000)}${"]".repeat(200_000)}}`],
    ])("with %s as its body is answered with 400", async (_name, body) => {
        const answer = await system.call("ask", {}, body);
        expect(answer.status).toBe(400);
        expect(bodyOf(answer)).toMatchObject({ outcome: "error", error: expect.stringMatching(/body/) as string });
        await serves();
    });

    // Guards against a buffer that grows with the body.
    it.each([1_048_577, 2_000_000, 6_000_000])("with %s bytes is answered with 413 and not kept", async length => {
        const body = Buffer.alloc(length, "a");
        const request = Buffer.concat([Buffer.from(head({ "content-length": String(length) })), body]);
        const text = await sendRaw(system.address, request, { milliseconds: 5_000 });
        // A caller that sends more than is drained may lose the answer with its connection.
        expect([413, ...(length > 4_194_304 ? [0] : [])]).toContain(statusOf(text));
        await serves();
    });

    // Guards against an input that grows above the size of a link's message when its numbers are written again. The
    // message would close the link with every other request on it.
    it("with an input that grows when it is written again is answered with 413", async () => {
        const numbers = Array.from({ length: 200_000 }, () => "1E20").join(",");
        const answer = await system.call("ask", {}, `{"input":[${numbers}]}`);
        expect(answer.status).toBe(413);
        await serves();
    });

    it("with the largest input is served", async () => {
        const answer = await system.call("ask", {}, { input: "é".repeat(500_000) });
        expect(answer.status).toBe(200);
    });

    it.each(["/", "/v1", "/v1/pipelines", "/v2/pipelines/ask", "//", "/v1/pipelines/", "/v1/pipelines/ask/x", "*"])(
        "for %s is answered with 404",
        async path => {
            const request = `${head({ "content-length": "11", "connection": "close" }, path)}{"input":1}`;
            expect(statusOf(await sendRaw(system.address, request))).toBe(404);
        },
    );

    it.each(["GET", "PUT", "DELETE", "HEAD", "OPTIONS", "PATCH"])("by %s is answered with 405", async method => {
        const request = head({ connection: "close" }, "/v1/pipelines/ask", method);
        expect(statusOf(await sendRaw(system.address, request))).toBe(405);
    });

    // Guards against headers that are kept without a bound.
    it("with huge headers is answered with 431", async () => {
        const request = head({ "x-long": "a".repeat(100_000) });
        expect(statusOf(await sendRaw(system.address, request))).toBe(431);
        await serves();
    });

    // Guards against connections that slow or silent senders hold for ever.
    it("whose headers or body do not arrive is ended, and others are served meanwhile", async () => {
        const slow = [
            sendRaw(system.address, "POST /v1/pipelines/ask HTTP/1.1\r\nhost: a\r\n", { milliseconds: 20_000 }),
            sendRaw(system.address, `${head({ "content-length": "100" })}{"inp`, { milliseconds: 20_000 }),
            sendRaw(system.address, `${head({ "content-length": "100" })}{"inp`, { end: true, milliseconds: 20_000 }),
        ];
        await serves();
        const answers = await Promise.all(slow);
        expect(answers.slice(0, 2).map(statusOf)).toEqual([408, 408]);
        expect([0, 400]).toContain(statusOf(answers[2] ?? ""));
        await serves();
    });

    // Guards against a crash or an answer that is no JSON with an outcome.
    it(`is answered with an outcome, whatever it holds (seed ${SEED})`, async () => {
        const printable = fc.string({ unit: fc.constantFrom(...Array.from("aB0 .-_/%\\\"'~")), maxLength: 40 });
        const requests = fc.record({
            pipeline: fc.oneof(fc.constantFrom("ask", "reserve", "__proto__", "constructor"), fc.string()),
            headers: fc.record(
                {
                    "authorization": fc.oneof(fc.constant(`Bearer ${ALPHA_KEY}`), printable),
                    "idempotency-key": printable,
                    "parsleyrun-deadline-ms": fc.oneof(fc.nat(20_000).map(String), printable),
                    "parsleyrun-kind": printable,
                    "accept": fc.constantFrom("text/event-stream", "*/*", "text/event-stream;q=0"),
                    "content-type": printable,
                },
                { requiredKeys: [] },
            ),
            body: fc.oneof(
                fc.json(),
                fc.string(),
                fc.jsonValue().map(input => JSON.stringify({ input })),
                fc.record({ input: fc.jsonValue(), unknown: fc.jsonValue() }).map(value => JSON.stringify(value)),
            ),
        });
        await fc.assert(
            fc.asyncProperty(requests, async ({ pipeline, headers, body }) => {
                const answer = await system.call(encodeURIComponent(pipeline), headers, body);
                expect([200, 400, 401, 403, 404, 429, 502, 503, 504]).toContain(answer.status);
                if (!answer.text.startsWith("event: ")) expect(bodyOf(answer)["outcome"]).toMatch(/./);
            }),
            { seed: SEED, numRuns: 300 },
        );
        await serves();
    });
});

describe("an operator's request", () => {
    // Guards against a change that is made although its body is not understood, and against crashes.
    it(`is answered with an error of the interface, whatever it holds (seed ${SEED})`, async () => {
        const path = fc.oneof(
            fc.constantFrom("lists", "zones/east", "services/echo/traffic", "status", "report", "configuration"),
            // Clients take "." and ".." out of a path before they send it.
            fc
                .string()
                .filter(text => !/^\.{0,2}$/.test(text))
                .map(encodeURIComponent),
            fc.string().map(text => `status?version=${encodeURIComponent(text)}`),
            fc.constantFrom("zones/%", "zones/%ff", "services/%2f/traffic", "zones/a/b"),
        );
        const body = fc.oneof(
            fc.json(),
            fc.string(),
            fc
                .record({ lists: fc.oneof(fc.string(), fc.jsonValue()), version: fc.oneof(fc.integer(), fc.double()) })
                .map(value => JSON.stringify(value)),
            fc.record({ state: fc.string(), author: fc.string(), more: fc.string() }).map(each => JSON.stringify(each)),
        );
        const method = fc.constantFrom("GET", "POST", "PUT", "DELETE");
        const { version } = system.entry.holder.current;
        await fc.assert(
            fc.asyncProperty(method, path, body, async (verb, where, sent) => {
                const answer = await system.operate(verb, where, verb === "GET" ? undefined : sent);
                expect([200, 400, 404, 405, 409, 422, 503]).toContain(answer.status);
                if (answer.status !== 200) {
                    expect(bodyOf(answer)).toMatchObject({ error: { kind: expect.any(String) as string } });
                }
            }),
            { seed: SEED, numRuns: 300 },
        );
        expect(system.entry.holder.current.version).toBe(version);
        await serves();
    });

    it("that is too large or truncated changes nothing", async () => {
        const large = await system.operate("POST", "lists", JSON.stringify({ lists: "a".repeat(1_100_000) }));
        expect(large.status).toBe(413);
        const headers = { "authorization": `Bearer ${OPERATOR_KEY}`, "content-length": "100" };
        await sendRaw(system.address, `${head(headers, "/operator/v1/lists")}{"lists":`, { end: true });
        await serves();
    });
});
