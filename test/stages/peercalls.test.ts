/** Calls between gateways over keep-alive connections. */
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { GatewayPeer } from "../../src/gateway/peers.js";
import { MemoryAccount } from "../../src/memory/index.js";
import { Deadline } from "../../src/model/index.js";
import { PeerCalls } from "../../src/stages/peercalls.js";

/** Deadline in milliseconds that suffices on a busy machine. */
const PATIENCE_MS = 20_000;

let server: Server;
let sockets: Socket[];
let respond: (response: ServerResponse, call: number) => void;
let calls: PeerCalls;
let peer: GatewayPeer;

async function listen(port = 0): Promise<void> {
    let call = 0;
    server = createServer((request, response) => {
        request.resume();
        request.on("end", () => respond(response, (call += 1)));
    });
    server.on("connection", socket => sockets.push(socket));
    await new Promise<void>(resolve => server.listen(port, "127.0.0.1", resolve));
}

async function close(): Promise<void> {
    for (const socket of sockets) socket.destroy();
    await new Promise(resolve => server.close(resolve));
}

function call(limits: { readonly headTimeoutMs?: number; readonly signal?: AbortSignal } = {}): Promise<unknown> {
    const signal = limits.signal ?? new AbortController().signal;
    return calls.call(peer, "/pieces", "{}", { ...limits, deadline: Deadline.after(PATIENCE_MS), signal });
}

beforeEach(async () => {
    sockets = [];
    respond = (response, number): void => void response.end(`answer ${number}`);
    await listen();
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    peer = { name: "gateway-2", address } as GatewayPeer;
    calls = PeerCalls.create(MemoryAccount.create({ maximumBytes: 10_000_000 }));
});

afterEach(async () => {
    calls.close();
    await close();
});

describe("a call to another gateway", () => {
    it("reuses the connection of the previous call", async () => {
        expect(await call()).toEqual({ kind: "answered", text: "answer 1" });
        expect(await call()).toEqual({ kind: "answered", text: "answer 2" });
        expect(sockets).toHaveLength(1);
    });

    it("has a connection of its own while another call is in progress", async () => {
        await Promise.all([call(), call()]);
        expect(sockets).toHaveLength(2);
    });

    it("is sent on a new connection after the gateway has restarted", async () => {
        await call();
        const { port } = server.address() as AddressInfo;
        await close();
        await listen(port);
        expect(await call()).toEqual({ kind: "answered", text: "answer 1" });
    });

    it.each<[string, (response: ServerResponse) => void, string, boolean]>([
        ["is not answered", () => undefined, "no answer in time", true],
        [
            "is answered only in part",
            response => void response.writeHead(200, { "content-length": 9 }).write("half"),
            "answer stalled",
            true,
        ],
        ["is refused", response => void response.writeHead(503).end(), "status 503", false],
    ])("that %s fails, and the next one succeeds", async (_, answer, reason, isSilent) => {
        await call();
        respond = answer;
        const limits = { headTimeoutMs: 100, stallTimeoutMs: 100 };
        expect(await call(limits)).toEqual({ kind: "failed", reason, isSilent });
        respond = response => void response.end("again");
        expect(await call()).toEqual({ kind: "answered", text: "again" });
    });

    it("tells how long nothing was received from a gateway, whatever became of other calls", async () => {
        expect(calls.silentMs(peer)).toBe(Number.POSITIVE_INFINITY);
        let progress: NodeJS.Timeout | undefined;
        respond = (response, number): void => {
            if (number === 1) progress = setInterval(() => response.write(" "), 10);
        };
        const abort = new AbortController();
        const open = call({ signal: abort.signal });
        while (progress === undefined) await new Promise(resolve => setTimeout(resolve, 5));
        expect(await call({ headTimeoutMs: 300 })).toMatchObject({ kind: "failed", isSilent: true });
        expect(calls.silentMs(peer)).toBeLessThan(300);
        clearInterval(progress);
        abort.abort();
        await open;
    });

    it("closes the idle connections when the gateway does not answer on one of them", async () => {
        await Promise.all([call(), call(), call()]);
        respond = (): void => undefined;
        await call({ headTimeoutMs: 100 });
        const before = sockets.length;
        respond = (response): void => void response.end();
        await call();
        expect(sockets.length).toBe(before + 1);
    });

    it("ends with its caller, and other calls continue", async () => {
        const abort = new AbortController();
        const open: ServerResponse[] = [];
        respond = (response): void => void open.push(response);
        const ended = call({ signal: abort.signal });
        const other = call();
        while (open.length < 2) await new Promise(resolve => setTimeout(resolve, 5));
        abort.abort();
        expect(await ended).toEqual({ kind: "failed", reason: "cancelled", isSilent: false });
        for (const response of open) response.end("late");
        expect(await other).toEqual({ kind: "answered", text: "late" });
    });
});
