/**
 * Bytes that are held for others are given back however a request ends. One kind of end that keeps them would fill the
 * account over hours, and the gateway would then refuse everything.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { HOLDING_BYTES, MEMORY_PARTIES } from "../../src/memory/index.js";
import type { Behaviour } from "../platform/standintarget.js";
import { CONFIGURATION, type CallOptions, Deployment } from "./harness.js";
import { RawCaller, requestHead } from "./rawcaller.js";

const REQUESTS = 12;

/** Longer than what a connection takes whose caller does not read. */
const LONG_BODY = "x".repeat(4_000_000);

let deployment: Deployment;

beforeEach(async () => {
    const services = { bookings: 2, engines: 2, encode: 2, rank: 2 };
    deployment = await Deployment.start(services, 2, CONFIGURATION);
});
afterEach(() => deployment.close());

function behave(behaviour: Behaviour): void {
    for (const target of deployment.targets.values()) target.behaviour = () => behaviour;
}

/** Idle connections that a gateway keeps to another one at most; each counts as a holding there. */
const IDLE_CONNECTIONS = 16;

async function expectNothingHeld(): Promise<void> {
    const accounts = deployment.gateways.map(({ gateway }) => gateway.context.memory);
    for (const memory of accounts) {
        const others = MEMORY_PARTIES.filter(party => party !== "gateways");
        const held = (): readonly number[] => others.map(party => memory.bytesOf(party));
        await vi.waitFor(() => expect(held()).toEqual(others.map(() => 0)), 8_000);
        await vi.waitFor(() =>
            expect(memory.bytesOf("gateways")).toBeLessThanOrEqual(IDLE_CONNECTIONS * HOLDING_BYTES),
        );
    }
    // The end of a gateway closes its connections to the others.
    for (const process of deployment.gateways.slice(1)) await process.kill();
    await vi.waitFor(() => expect(accounts.map(({ totalBytes }) => totalBytes)).toEqual(accounts.map(() => 0)), 8_000);
}

const staged = { "x-parsleyrun-pieces": "2,2" };

const behaviours: readonly { readonly end: string; readonly behaviour: Behaviour }[] = [
    { end: "complete", behaviour: { kind: "answer" } },
    { end: "complete and long", behaviour: { kind: "answer", body: LONG_BODY } },
    { end: "too long", behaviour: { kind: "answer", body: LONG_BODY + LONG_BODY } },
    { end: "a failure with a body", behaviour: { kind: "answer", status: 500, body: "failed" } },
    { end: "a rejection with a body", behaviour: { kind: "answer", status: 404, body: "none" } },
    { end: "without content", behaviour: { kind: "answer", status: 204, body: "" } },
    { end: "a stream", behaviour: { kind: "stream", events: 3 } },
    { end: "declined", behaviour: { kind: "full" } },
    { end: "without its inputs", behaviour: { kind: "inputsGone" } },
    { end: "cut", behaviour: { kind: "truncate" } },
    { end: "reset", behaviour: { kind: "reset" } },
    { end: "reset without a length", behaviour: { kind: "unframedReset" } },
    { end: "misdirected", behaviour: { kind: "otherAnswer" } },
    { end: "followed by another", behaviour: { kind: "extraAnswer" } },
    { end: "no answer", behaviour: { kind: "notHttp" } },
    { end: "late", behaviour: { kind: "silent" } },
];

const calls: readonly CallOptions[] = [
    { path: "/book/1", body: "body" },
    { path: "/check/1", body: "body" },
    { path: "/check/1", method: "HEAD" },
    { path: "/chat/1", body: "body" },
    { path: "/draft/1", body: "body" },
    { path: "/staged/1", body: "body", headers: staged },
    { path: "/check/1", body: "x".repeat(20_000) },
    { path: "/none/1", body: "body" },
    { path: "/check/1", body: "body", key: "bad-key" },
    { path: "/check/1", body: "body", leaveAfterMs: 10 },
    { path: "/chat/1", body: "body", leaveAfterMs: 10 },
    { path: "/staged/1", body: "body", headers: staged, leaveAfterMs: 10 },
];

describe("nothing is held after requests whose answers are", () => {
    it.each(behaviours)("$end", async ({ behaviour }) => {
        behave(behaviour);
        const options = calls.map((call, index) => ({ ...call, id: `request-${index}` }));
        const ended = Array.from({ length: REQUESTS / 4 }, () => options).flatMap((round, index) =>
            round.map(call => deployment.call(call, index % 2).catch(() => undefined)),
        );
        await Promise.all(ended);
        await expectNothingHeld();
    });
});

describe("nothing is held after a caller that leaves", () => {
    const post = requestHead("POST", "/check/1", "request", { "content-length": 4 });
    it.each<{ case: string; text: string; behaviour: Behaviour }>([
        { case: "within its body", text: `${post}bo`, behaviour: { kind: "answer" } },
        { case: "without reading", text: `${post}body`, behaviour: { kind: "answer", body: LONG_BODY } },
        {
            case: "without reading, with requests behind",
            text: `${post}body`.repeat(3),
            behaviour: { kind: "answer", body: LONG_BODY },
        },
        {
            case: "without reading, after CONNECT",
            text: `${post}bodyCONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n`,
            behaviour: { kind: "answer", body: LONG_BODY },
        },
        {
            case: "without reading, after bytes that are no request",
            text: `${post}bodynone\r\n\r\n`,
            behaviour: { kind: "answer", body: LONG_BODY },
        },
        { case: "before a silent target answers", text: `${post}body`, behaviour: { kind: "silent" } },
    ])("$case", async ({ text, behaviour }) => {
        behave(behaviour);
        const { memory } = deployment.gateways[0]?.gateway.context ?? {};
        const caller = await RawCaller.connect(deployment.callers[0] ?? "");
        caller.stopReading();
        caller.write(text);
        await vi.waitFor(() => expect(memory?.totalBytes).toBeGreaterThan(0));
        if (behaviour.kind === "answer" && text.includes("body")) {
            await vi.waitFor(() => expect(memory?.bytesOf("targets")).toBeGreaterThan(LONG_BODY.length));
        }
        caller.close();
        await expectNothingHeld();
    });
});

describe("nothing is held after a stop", () => {
    it.each<Behaviour>([{ kind: "silent" }, { kind: "answer", body: LONG_BODY }])("with $kind", async behaviour => {
        behave(behaviour);
        const caller = await RawCaller.connect(deployment.callers[0] ?? "");
        caller.stopReading();
        const head = requestHead("POST", "/check/1", "request", { "content-length": 4 });
        caller.write(`${head}body`);
        const [process] = deployment.gateways;
        await vi.waitFor(() => expect(process?.gateway.context.memory.totalBytes).toBeGreaterThan(0));
        await process?.stop();
        caller.close();
        await expectNothingHeld();
    });
});
