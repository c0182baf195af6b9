/** What arrives at the link addresses of an agent and an entry that run over real sockets. */
import { create } from "@bufbuild/protobuf";
import { createClient } from "@connectrpc/connect";
import { createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import fc from "fast-check";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { parseRecords, parseChange } from "../../src/configuration/records.js";
import {
    ConnectNetwork,
    type Hello,
    type HelloInit,
    type Link,
    type LinkBodyInit,
    type LinkMessage,
    LinkMessageSchema,
    LinkService,
    Role,
} from "../../src/link/index.js";
import { collectUnhandled, InputSystem, nextAddress, SEED, sendRaw, SYSTEM_KEY, until } from "./system.js";

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

function addresses(): readonly string[] {
    return [system.agentLink("echo"), system.agentLink("book"), system.entryLink];
}

async function serves(): Promise<void> {
    served += 1;
    expect(await system.servesAtOnce(`link-${served}`)).toBe(true);
}

const HELLO = {
    ...{ role: Role.ENTRY, name: "stranger", incarnation: "i", zone: "east", vm: "vm", key: SYSTEM_KEY },
    ...{ address: "127.0.0.1:1", configurationVersion: 1_000_000 },
} satisfies HelloInit;

interface StreamEnd {
    readonly received: readonly LinkMessage[];
    readonly error: string;
}

/** Opens a bare stream, sends messages and reads until the other end closes, at most for a time. */
async function openStream(address: string, bodies: readonly LinkBodyInit[], milliseconds: number): Promise<StreamEnd> {
    const received: LinkMessage[] = [];
    const baseUrl = `http://${address}`;
    const sessionManager = new Http2SessionManager(baseUrl);
    const client = createClient(LinkService, createConnectTransport({ httpVersion: "2", baseUrl, sessionManager }));
    const controller = new AbortController();
    const timer = setTimeout(() => controller.abort("still open"), milliseconds);
    async function* send(): AsyncGenerator<LinkMessage> {
        for (const body of bodies) yield create(LinkMessageSchema, { body });
        await new Promise(resolve => controller.signal.addEventListener("abort", resolve));
    }
    try {
        for await (const message of client.open(send(), { signal: controller.signal })) received.push(message);
        return { received, error: "" };
    } catch (error) {
        return { received, error: controller.signal.aborted ? "still open" : String(error) };
    } finally {
        clearTimeout(timer);
        controller.abort("ended");
        sessionManager.abort();
    }
}

describe("a link address", () => {
    // Guards against bytes that end the process or disturb the links that are open.
    it(`survives random bytes (seed ${SEED})`, async () => {
        const preface = Buffer.from("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
        const bytes = fc
            .tuple(fc.boolean(), fc.uint8Array({ maxLength: 2_000 }))
            .map(([http2, random]) => Buffer.concat([http2 ? preface : Buffer.alloc(0), random]));
        await fc.assert(
            fc.asyncProperty(fc.constantFrom(0, 1, 2), bytes, async (index, sent) => {
                await sendRaw(addresses()[index] ?? "", sent, { end: true, milliseconds: 200 });
                await serves();
            }),
            { seed: SEED, numRuns: 40 },
        );
    });

    it("answers HTTP/1.1 without serving it", async () => {
        for (const address of addresses()) {
            const text = await sendRaw(address, "GET / HTTP/1.1\r\nhost: a\r\n\r\n", { milliseconds: 300 });
            expect(text).not.toMatch(/^HTTP\/1.1 2/);
        }
        await serves();
    });

    // Guards against a process without the key that reads or sends anything.
    it.each([
        ["a wrong key", { case: "hello", value: { ...HELLO, key: `${SYSTEM_KEY}x` } }, /key is not accepted/],
        ["an empty key", { case: "hello", value: { ...HELLO, key: "" } }, /key is not accepted/],
        ["no hello first", { case: "leaving", value: { reason: "r" } }, /first message is not a hello/],
        ["a message without a body", { case: undefined }, /first message is not a hello/],
    ] as const)("refuses %s without telling anything", async (_name, body, message) => {
        for (const address of addresses()) {
            const end = await openStream(address, [body as LinkBodyInit], 3_000);
            expect(end.received).toEqual([]);
            expect(end.error).toMatch(message);
        }
        await serves();
    });

    it("closes a stream on which no hello comes in time", async () => {
        const ends = await Promise.all(addresses().map(address => openStream(address, [], 4_000)));
        for (const { received, error } of ends) {
            expect(received).toEqual([]);
            expect(error).toMatch(/no hello in time/);
        }
    });

    // Guards against a process that is taken for one of another role.
    it.each([Role.AGENT, Role.UNSPECIFIED])("closes the link of a hello with role %s", async role => {
        for (const address of addresses()) {
            const end = await openStream(address, [{ case: "hello", value: { ...HELLO, role } }], 3_000);
            expect(end.received.map(({ body }) => body.case).filter(kind => kind !== "hello")).toEqual([]);
            expect(end.error).not.toBe("still open");
        }
        await serves();
    });

    // Guards against a buffer for messages of any size.
    it("closes the link on which a message above the limit arrives, and no other", async () => {
        const payload = JSON.stringify("a".repeat(5 * 1024 * 1024));
        for (const address of addresses()) {
            const messages: LinkBodyInit[] = [
                { case: "hello", value: HELLO },
                { case: "runStage", value: { attempt: 1, service: "echo", payload } },
            ];
            expect((await openStream(address, messages, 5_000)).error).not.toBe("still open");
        }
        await serves();
    });
});

const text = fc.oneof(fc.string({ maxLength: 20 }), fc.constantFrom("", "echo", "book", "alpha", "{}", "null"));
const number = fc.oneof(fc.nat(10), fc.constantFrom(2 ** 32 - 1, 0));
const unreadable = fc.oneof(fc.json(), text).filter(json => parseRecords(json) === undefined);
const unreadableChange = fc.oneof(fc.json(), text).filter(json => parseChange(json) === undefined);

function message<Value>(kind: string, value: fc.Arbitrary<Value>): fc.Arbitrary<LinkBodyInit> {
    return value.map(each => ({ case: kind, value: each }) as unknown as LinkBodyInit);
}

const anyMessage = fc.oneof(
    message(
        "runStage",
        fc.record({
            ...{ attempt: number, requestId: text, account: text, kind: text, pipeline: text, stage: text },
            ...{ service: text, operation: text, remainingMilliseconds: number, priority: fc.integer(), payload: text },
            ...{ maximumTokens: number, resumeAfter: number, prefixHash: text, streaming: fc.boolean() },
            ...{ idempotent: fc.boolean(), idempotencyKey: text, slot: number, slotEpoch: number, fingerprint: text },
        }),
    ),
    message("cancelStage", fc.record({ attempt: number })),
    message("stageAccepted", fc.record({ attempt: number })),
    message("stageTokens", fc.record({ attempt: number, firstIndex: number, tokens: fc.array(text) })),
    message("stageResult", fc.record({ attempt: number })),
    message(
        "withdraw",
        fc.record({ query: number, account: text, idempotencyKey: text, stage: text, service: text, slot: number }),
    ),
    message("withdrawn", fc.record({ query: number, output: text })),
    message("loadReport", fc.record({ configurationVersion: number })),
    message(
        "configurationUpdate",
        fc.record({ version: number, snapshot: unreadable, changes: fc.array(unreadableChange, { maxLength: 2 }) }),
    ),
    message("acknowledge", fc.record({ configurationVersion: number })),
    message("peerNotice", fc.constant({})),
    message("hello", fc.constant(HELLO)),
    fc.constant({ case: undefined } as LinkBodyInit),
);

const CONFIGURATION_VERSION = 1;

describe("messages of a process that holds the key", () => {
    // Guards against a valid message at the wrong place that ends a process, its configuration or other links.
    it(`disturb nothing, whatever they are (seed ${SEED})`, async () => {
        const messages = fc.array(anyMessage, { minLength: 1, maxLength: 20 });
        await fc.assert(
            fc.asyncProperty(fc.constantFrom(0, 1, 2), messages, async (index, sent) => {
                await openStream(addresses()[index] ?? "", [{ case: "hello", value: HELLO }, ...sent], 60);
                await serves();
            }),
            { seed: SEED, numRuns: 60 },
        );
        for (const { agent } of system.agents.values()) {
            expect(agent.load().queued).toBeLessThanOrEqual(64);
            expect(agent.configurationHolder.current.version).toBe(CONFIGURATION_VERSION);
        }
        expect(system.entry.holder.current.version).toBe(CONFIGURATION_VERSION);
    });

    // Guards against work that is sent to a process which is no agent.
    it("do not make a process with another role a target", async () => {
        const network = ConnectNetwork.create(SYSTEM_KEY);
        const received: (string | undefined)[] = [];
        const links: Link[] = [];
        const address = nextAddress();
        const hello: HelloInit = { ...HELLO, name: "echo-false", service: "echo", version: "v1", address };
        const listener = await network.listen(
            address,
            () => hello,
            link => {
                links.push(link);
                void (async () => {
                    for await (const body of link.messages) received.push(body.case);
                })();
            },
        );
        const member = { ...hello, key: undefined, role: undefined };
        const client = system.store.client("test");
        await client.write("members/agents/echo-false", JSON.stringify(member), 0);
        await until("the entry has opened a link", () => links.length > 0);
        const peer: Hello | undefined = links[0]?.peer;
        expect(peer?.role).toBe(Role.ENTRY);
        for (let call = 0; call < 20; call += 1) expect((await system.call("ask")).status).toBe(200);
        expect(received).not.toContain("runStage");
        const version = system.store.peek("members/agents/echo-false")?.version ?? 0;
        await client.remove("members/agents/echo-false", version);
        for (const link of links) link.close("test ended");
        await listener.close();
    });

    // Guards against an agent whose messages end the entry or another agent's work.
    it(`of an agent disturb nothing at the entry (seed ${SEED})`, async () => {
        const network = ConnectNetwork.create(SYSTEM_KEY);
        const samples = fc.sample(anyMessage, { seed: SEED, numRuns: 400 });
        const address = nextAddress();
        const hello: HelloInit = {
            ...{ ...HELLO, role: Role.AGENT, name: "echo-noise", service: "echo", version: "v1", address },
            configurationVersion: CONFIGURATION_VERSION,
        };
        let accepted = 0;
        const links: Link[] = [];
        const listener = await network.listen(
            address,
            () => hello,
            link => {
                accepted += 1;
                links.push(link);
                link.send({ case: "leaving", value: { reason: "no work is wanted" } });
                for (const sample of samples.slice(accepted * 20, accepted * 20 + 20)) link.send(sample);
            },
        );
        const client = system.store.client("test");
        const member = { ...hello, key: undefined, role: undefined };
        await client.write("members/agents/echo-noise", JSON.stringify(member), 0);
        await until("the entry has read the messages of several links", () => accepted >= 3);
        await serves();
        expect(system.entry.holder.current.version).toBe(CONFIGURATION_VERSION);
        const version = system.store.peek("members/agents/echo-noise")?.version ?? 0;
        await client.remove("members/agents/echo-noise", version);
        for (const link of links) link.close("test ended");
        await listener.close();
        await serves();
    });
});
