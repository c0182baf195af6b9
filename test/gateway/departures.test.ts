/**
 * Callers that leave just before their request is sent: the end of their connection arrives in the same turn of the event
 * loop as what the gateway waits for, and may be read after it. No request may be sent then.
 */
import { createServer } from "node:http";
import { connect, Socket } from "node:net";
import { afterEach, describe, expect, it, vi } from "vitest";
import { sendAttempt } from "../../src/gateway/attempt.js";
import type { RequestHandler } from "../../src/gateway/connection.js";
import { Listener } from "../../src/gateway/server.js";
import { MemoryAccount } from "../../src/memory/index.js";
import { Deadline } from "../../src/model/index.js";
import { pause } from "../../src/model/pause.js";
import { encodeOrder, PEER_PATHS } from "../../src/stages/index.js";
import { endOfTurn } from "../../src/model/turn.js";
import { StandInTarget } from "../platform/standintarget.js";
import { freeAddress } from "../processes/daemons.js";
import { Deployment } from "./harness.js";
import { RawCaller, requestHead } from "./rawcaller.js";

let deployment: Deployment | undefined;
let caller: RawCaller | undefined;

afterEach(async () => {
    vi.restoreAllMocks();
    caller?.close();
    await deployment?.close();
    deployment = undefined;
});

function arrivals(): readonly string[] {
    return [...(deployment?.targets.values() ?? [])].flatMap(target => target.arrivals.map(({ id }) => id));
}

/** Calls back in the turn in which a connection to an address is begun, before the turn in which it is open. */
function whenConnecting(address: string, listener: () => void): void {
    const { connect } = Socket.prototype;
    const connectAndReport = function (this: Socket, ...parameters: unknown[]): Socket {
        const text = JSON.stringify(parameters);
        const socket = Reflect.apply(connect, this, parameters) as Socket;
        // Node begins the connection in the next tick.
        if (text.includes(`"port":${address.split(":")[1]}`)) process.nextTick(listener);
        return socket;
    };
    vi.spyOn(Socket.prototype, "connect").mockImplementation(connectAndReport as typeof connect);
}

describe("a caller that leaves while a connection to the target is opened", () => {
    it.each([
        { path: "/check/1", service: "bookings" },
        { path: "/book/1", service: "bookings" },
        { path: "/chat/1", service: "engines" },
        { path: "/draft/1", service: "engines" },
    ])("has no request sent to $path", async ({ path, service }) => {
        deployment = await Deployment.start({ [service]: 1 });
        caller = await RawCaller.connect(deployment.callers[0] ?? "");
        const leave = vi.fn(() => caller?.close());
        whenConnecting(deployment.target(`${service}-0`).address, leave);
        caller.write(requestHead("GET", path, "left"));
        await vi.waitFor(() => expect(deployment?.linesOf("request ended", "left")).toHaveLength(1));
        expect(leave).toHaveBeenCalledOnce();
        await pause(50);
        expect(arrivals()).toEqual([]);
        expect(deployment?.linesOf("request ended", "left")).toMatchObject([
            { outcome: "cancelled", reason: "caller left", attempts: 0 },
        ]);
    });
});

describe("an attempt that is aborted in the turn in which its connection opens", () => {
    it("sends nothing", async () => {
        const target = await StandInTarget.start("bookings-0");
        try {
            const abort = new AbortController();
            const request = { method: "GET", path: "/check/1", headers: [], body: undefined };
            const limits = { deadline: Deadline.after(2_000), signal: abort.signal };
            const attempt = sendAttempt({ ...request, address: target.address }, limits);
            // Opens in the same turn, after the connection of the attempt.
            const [host = "", port = ""] = target.address.split(":");
            const other = connect(Number(port), host);
            other.once("connect", () => abort.abort());
            expect(await attempt).toEqual({ kind: "cancelled", sent: false });
            await pause(50);
            expect(target.arrivals).toEqual([]);
            other.destroy();
        } finally {
            target.close();
        }
    });
});

describe("a caller that leaves while a request waits behind another one", () => {
    const CHUNKED = { "transfer-encoding": "chunked" };
    const chunks = (count: number): string => "1\r\nx\r\n".repeat(count) + "0\r\n\r\n";

    it.each([
        { body: "a length", headers: { "content-length": 4 }, text: "body" },
        { body: "one chunk", headers: CHUNKED, text: chunks(1) },
        { body: "many chunks", headers: CHUNKED, text: chunks(300) },
    ])("has neither sent on when the body of the second has $body", async ({ headers, text }) => {
        deployment = await Deployment.start({ bookings: 1 });
        const target = deployment.target("bookings-0");
        target.behaviour = ({ id }) => (id === "first" ? { kind: "answer", after: pause(500) } : { kind: "answer" });
        caller = await RawCaller.connect(deployment.callers[0] ?? "");
        caller.write(requestHead("GET", "/check/1", "first"));
        await vi.waitFor(() => expect(arrivals()).toEqual(["first"]));
        caller.write(requestHead("POST", "/check/1", "second", headers) + text);
        await pause(100);
        caller.close();
        await vi.waitFor(() => expect(target.abandoned).toEqual(["first"]), 400);
        await pause(600);
        expect(arrivals()).toEqual(["first"]);
    });
});

describe("a caller that has left behind a long body of its next request", () => {
    it("has no request sent on", async () => {
        deployment = await Deployment.start({ bookings: 1 });
        caller = await RawCaller.connect(deployment.callers[0] ?? "");
        const second = requestHead("POST", "/check/1", "second", { "content-length": 150_000 });
        caller.write(requestHead("GET", "/check/1", "first") + second + "x".repeat(150_000));
        caller.close();
        await pause(300);
        expect(arrivals()).toEqual([]);
    });
});

describe("the end of a connection that is not read while memory gives way", () => {
    it("is read before the handler of its request goes on", async () => {
        const memory = MemoryAccount.create({ maximumBytes: 20_000 });
        let report: (hasLeft: boolean) => void = () => undefined;
        const hasLeft = new Promise<boolean>(resolve => (report = resolve));
        const serve: RequestHandler = (_request, _response, _receivedAt, connection) => {
            caller?.close();
            // The other connection has to give way.
            memory.open("callers", () => undefined).resize(10_000);
            const caughtUp = connection.watchInput();
            void endOfTurn()
                .then(caughtUp)
                .then(() => report(connection.departure.at !== undefined));
        };
        const address = await freeAddress();
        const limits = { memory, party: "callers", maximumConnections: 10 } as const;
        const listener = await Listener.listen(createServer(), address, { ...limits, serve });
        const other = await RawCaller.connect(address);
        try {
            other.write(`GET / HTTP/1.1\r\nx: ${"x".repeat(7_000)}`);
            await vi.waitFor(() => expect(memory.totalBytes).toBeGreaterThan(14_000));
            caller = await RawCaller.connect(address);
            caller.write(requestHead("GET", "/", "first"));
            expect(await hasLeft).toBe(true);
        } finally {
            other.close();
            await listener.close();
        }
    });
});

describe("pieces for a caller that has left", () => {
    const STAGED = { "x-parsleyrun-pieces": "2,2", "content-length": 4 };

    function pieceCalls(): number {
        return deployment?.target("encode-0").pieceCalls.length ?? 0;
    }

    it.each([
        { case: "gathered by the same gateway", gateways: 1 },
        { case: "gathered by one of two gateways", gateways: 2 },
    ])("are not asked for if the close was there when the request was read: $case", async ({ gateways }) => {
        deployment = await Deployment.start({ engines: 1, encode: 1, rank: 1 }, gateways);
        for (const address of deployment.callers) {
            caller = await RawCaller.connect(address);
            caller.write(requestHead("POST", "/staged/1", "left", STAGED) + "body");
            caller.close();
        }
        await vi.waitFor(() => expect(deployment?.linesOf("request ended", "left")).toHaveLength(gateways));
        await pause(100);
        expect(pieceCalls()).toBe(0);
        expect(arrivals()).toEqual([]);
    });

    it("are not asked for if it leaves while the connection to their target is opened", async () => {
        deployment = await Deployment.start({ engines: 1, encode: 1, rank: 1 });
        caller = await RawCaller.connect(deployment.callers[0] ?? "");
        const leave = vi.fn(() => caller?.close());
        whenConnecting(deployment.target("encode-0").address, leave);
        caller.write(requestHead("POST", "/staged/1", "left", STAGED) + "body");
        await vi.waitFor(() => expect(deployment?.linesOf("request ended", "left")).toHaveLength(1));
        expect(leave).toHaveBeenCalledOnce();
        await pause(100);
        expect(pieceCalls()).toBe(0);
    });

    it("are not asked for if the order of another gateway was closed when it was read", async () => {
        deployment = await Deployment.start({ engines: 1, encode: 1, rank: 1 });
        const order = encodeOrder("encode", [
            {
                service: "encode",
                requestId: "left",
                stage: 0,
                index: 0,
                pieces: 1,
                key: undefined,
                inputs: [],
                isLastUse: false,
                inputBytes: 0,
                resultBytes: 1_000,
                fetches: 0,
                priority: 1,
                deadline: Deadline.after(2_000),
                targetTime: Deadline.after(1_000),
                zone: "east",
                begun: false,
            },
        ]);
        const head = requestHead("POST", PEER_PATHS.make, "order", { "content-length": order.length });
        const [ordered, closed] = [
            await RawCaller.connect(deployment.peers[0] ?? ""),
            await RawCaller.connect(deployment.peers[0] ?? ""),
        ];
        closed.write(head + order);
        closed.close();
        await pause(200);
        expect(pieceCalls()).toBe(0);
        // An order that stays open is served.
        ordered.write(head + order);
        await vi.waitFor(() => expect(ordered.text).toContain("made"));
        expect(pieceCalls()).toBe(1);
        ordered.close();
    });
});
