/**
 * Callers, other gateways and a store that send without end, at the memory limit of a gateway's process. What one of them
 * sends must not end the process, since all requests that it has taken would end with it.
 */
import { connect, createServer, type Server, type Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { CONFIGURATION } from "../gateway/harness.js";
import { freeAddress, pause, until } from "./daemons.js";
import { Stage } from "./stage.js";

/** Limits of the heap and of the process in megabytes, as in `deploy/system.toml` and on the deployed machines. */
const HEAP_MEGABYTES = 192;
const PROCESS_MEGABYTES = 350;

const BODY_BYTES = 4_194_304;

/** Time for which a test goes on sending. */
const FLOOD_MS = 6_000;

/** Time for which targets work on the requests of those who send too much. */
const SLOW_MS = 20_000;

/** Size of one write. */
const WRITE_BYTES = 65_536;

/** A connection on which a text is repeated until a number of bytes was written, the connection ends, or it is closed. */
class Flood {
    private written = 0;
    private received = "";
    isEnded = false;
    private readonly socket: Socket;

    constructor(
        address: string,
        first: string,
        private readonly repeated: string,
        private readonly maximumBytes: number,
    ) {
        const [host = "", port = ""] = address.split(":");
        this.socket = connect(Number(port), host, () => {
            this.socket.write(first, "latin1");
            this.writeNext();
        });
        this.socket.on("data", (bytes: Buffer) => (this.received += bytes.toString("latin1").slice(0, 1_000)));
        this.socket.on("error", () => (this.isEnded = true));
        this.socket.on("close", () => (this.isEnded = true));
    }

    /** Whether all was written, or the other side has answered or closed. */
    get isDone(): boolean {
        return this.isEnded || this.received !== "" || this.written >= this.maximumBytes;
    }

    get status(): number | undefined {
        return this.received === "" ? undefined : Number(this.received.split(" ")[1]);
    }

    close(): void {
        this.socket.destroy();
    }

    private writeNext(): void {
        if (this.isEnded || this.written >= this.maximumBytes) return;
        const count = Math.max(1, Math.floor(Math.min(WRITE_BYTES, this.maximumBytes) / this.repeated.length));
        this.written += count * this.repeated.length;
        this.socket.write(this.repeated.repeat(count), "latin1", () => setImmediate(() => this.writeNext()));
    }
}

/** Passes connections on to the store, and answers its calls without end instead once it is told to. */
class StoreProxy {
    address = "";
    /** Number of calls that were answered without end. */
    floods = 0;
    answer: { readonly first: string; readonly repeated: string } | undefined;
    private readonly sockets = new Set<Socket>();

    private constructor(
        private readonly server: Server,
        storeAddress: string,
    ) {
        const [host = "", port = ""] = storeAddress.split(":");
        server.on("connection", socket => {
            const upstream = connect(Number(port), host);
            for (const one of [socket, upstream]) {
                this.sockets.add(one);
                one.on("error", () => undefined);
                one.on("close", () => [socket, upstream].forEach(other => other.destroy()));
            }
            upstream.pipe(socket);
            socket.on("data", bytes => {
                if (this.answer === undefined) upstream.write(bytes);
                else this.flood(socket, upstream, this.answer);
            });
        });
    }

    static async start(storeAddress: string): Promise<StoreProxy> {
        const proxy = new StoreProxy(createServer(), storeAddress);
        proxy.address = await freeAddress();
        const [host = "", port = ""] = proxy.address.split(":");
        await new Promise<void>(resolve => proxy.server.listen(Number(port), host, resolve));
        return proxy;
    }

    close(): void {
        this.server.close();
        for (const socket of this.sockets) socket.destroy();
    }

    /** Ends all connections, so that the next calls are made on new ones. */
    disconnect(): void {
        for (const socket of this.sockets) socket.destroy();
    }

    private flood(socket: Socket, upstream: Socket, { first, repeated }: NonNullable<StoreProxy["answer"]>): void {
        this.floods += 1;
        upstream.unpipe(socket);
        socket.write(first, "latin1");
        const block = repeated.repeat(Math.ceil(WRITE_BYTES / repeated.length));
        let written = 0;
        const writeNext = (): void => {
            if (socket.destroyed || written > 50 * BODY_BYTES) return;
            written += block.length;
            socket.write(block, "latin1", () => setImmediate(writeNext));
        };
        writeNext();
    }
}

interface FloodCase {
    readonly sent: string;
    readonly count: number;
    readonly first: string;
    readonly repeated: string;
    /** Bytes that are sent after the first ones on each connection. */
    readonly bytes: number;
    readonly to?: "peers";
}

const head = (key: string, rest: string, path = "/check/1"): string =>
    `POST ${path} HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Parsleyrun-Request-Id: flood\r\n` +
    `X-Parsleyrun-Deadline-Ms: 15000\r\nAuthorization: Token ${key}\r\n${rest}\r\n\r\n`;

const cases: readonly FloodCase[] = [
    ...[1, 8, 60].map(count => ({
        sent: "bodies in chunks of one byte",
        count,
        first: head("good-key", "Transfer-Encoding: chunked"),
        repeated: "1\r\nx\r\n",
        bytes: 6 * (BODY_BYTES - 1),
    })),
    {
        sent: "bodies in chunks of one byte with a wrong key",
        count: 60,
        first: head("wrong-key", "Transfer-Encoding: chunked"),
        repeated: "1\r\nx\r\n",
        bytes: 6 * (BODY_BYTES - 1),
    },
    {
        sent: "bodies that stop before their last byte",
        count: 200,
        first: head("good-key", `Content-Length: ${BODY_BYTES}`),
        repeated: "x",
        bytes: BODY_BYTES - 1,
    },
];

const STORE_HEAD = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n";

const storeCases: readonly { answer: string; first: string; repeated: string }[] = [
    {
        answer: "chunks of one byte",
        first: `${STORE_HEAD}transfer-encoding: chunked\r\n\r\n`,
        repeated: "1\r\n \r\n",
    },
    { answer: "a body without a length", first: `${STORE_HEAD}\r\n{"events":[`, repeated: "[]," },
    { answer: "header lines", first: STORE_HEAD, repeated: "x-more: value\r\n" },
];

const peerCall = (path: string, length: number): string =>
    `POST ${path} HTTP/1.1\r\nHost: gateway\r\nContent-Length: ${length}\r\n\r\n`;

/** An order with as many pieces as fit into the largest call, on a service that this gateway gathers. */
const largestOrder = (index: number): string => {
    const stageFields = {
        requestId: `order-${index}`,
        stage: 0,
        pieces: 1,
        inputs: [],
        isLastUse: true,
        inputBytes: 1,
        resultBytes: 1,
        fetches: 1,
        priority: 1,
        deadlineMs: 10_000,
        targetMs: 10_000,
        zone: "east",
        begun: false,
    };
    const rest = JSON.stringify({ service: "encode", stage: stageFields });
    const indexes = "1,".repeat((BODY_BYTES - rest.length - 100) / 2);
    return `{"indexes":[${indexes}1],${rest.slice(1)}`;
};

interface LargeCase {
    readonly sent: string;
    readonly count: number;
    readonly to: "peers" | "callers";
    readonly text: (index: number) => string;
}

const largeCases: readonly LargeCase[] = [
    {
        sent: "requests with a billion pieces",
        count: 1,
        to: "callers",
        text: () => head("good-key", "X-Parsleyrun-Pieces: 1000000000,1\r\nContent-Length: 0", "/staged/1"),
    },
    ...[1, 20].map(count => ({
        sent: "orders of other gateways with as many pieces as fit",
        count,
        to: "peers" as const,
        text: (index: number) => {
            const order = largestOrder(index);
            return peerCall("/pieces", order.length) + order;
        },
    })),
    {
        sent: "orders of other gateways that stop before their end",
        count: 200,
        to: "peers",
        text: () => peerCall("/pieces", BODY_BYTES) + "x".repeat(BODY_BYTES - 1),
    },
];

const pipelined = (id: string, rest: string): string => head("good-key", `X-Id: ${id}\r\n${rest}`, "/check/1");

const PARTIAL_HEAD = "POST /check/1 HTTP/1.1\r\nHost: 127.0.0.1\r\n";

const connectionCases: readonly FloodCase[] = [
    {
        sent: "heads that are not completed",
        count: 1_500,
        first: PARTIAL_HEAD,
        repeated: `x-more: ${"v".repeat(1_000)}\r\n`,
        bytes: 120_000,
    },
    {
        sent: "heads of very many short fields that are not completed",
        count: 1_500,
        first: PARTIAL_HEAD,
        repeated: "a:b\r\n",
        bytes: 120_000,
    },
    {
        sent: "pipelined requests that wait",
        count: 600,
        first: head("good-key", "Content-Length: 0", "/check/slow"),
        repeated: pipelined("waiting", "Content-Length: 0"),
        bytes: 60_000,
    },
    {
        sent: "pipelined chunked bodies that wait",
        count: 100,
        first:
            head("good-key", "Content-Length: 0", "/check/slow") + pipelined("waiting", "Transfer-Encoding: chunked"),
        repeated: "1\r\nx\r\n",
        bytes: 1_000_000,
    },
    { sent: "connections without a byte", count: 2_500, first: "", repeated: "", bytes: 0 },
];

let stage: Stage;
let store: StoreProxy;
let floods: readonly Flood[] = [];

beforeEach(async () => {
    stage = await Stage.start([`--max-old-space-size=${HEAP_MEGABYTES}`], async address => {
        store = await StoreProxy.start(address);
        const machine = { memoryMegabytes: PROCESS_MEGABYTES };
        return { machine, store: { address: store.address, timeoutMilliseconds: 3_000 } };
    });
    const Limits = { ...CONFIGURATION.Limits, MaxBodyBytes: BODY_BYTES, HeaderTimeoutMs: 15_000 };
    stage.putConfiguration(15_000, { Limits });
    const usual = stage.target("bookings").behaviour;
    stage.target("bookings").behaviour = arrival =>
        arrival.id === "flood" ? { kind: "answer", after: pause(SLOW_MS) } : usual(arrival);
    await stage.gateway.logged('"before":1');
});

afterEach(async () => {
    for (const flood of floods) flood.close();
    await stage.close();
    store.close();
});

describe("a gateway process", () => {
    it.each([...cases, ...connectionCases])(
        "outlives $count of $sent, and serves a neighbour",
        async ({ count, first, repeated, bytes, to }) => {
            const kept = await stage.connectKept();
            const address = to === "peers" ? stage.peers : stage.callers;
            floods = Array.from({ length: count }, () => new Flood(address, first, repeated, bytes));
            const endsAt = performance.now() + FLOOD_MS;
            await until("sent", () => floods.every(({ isDone }) => isDone) || performance.now() > endsAt);
            const neighbours = [kept, await stage.connect()].map((caller, index) =>
                caller.send("/public/1", `neighbour-${index}`),
            );
            for (const answer of await Promise.all(neighbours)) {
                expect(answer, stage.gateway.errors.slice(-600)).toMatchObject({ status: 200, complete: true });
            }
            expect(await Promise.race([stage.gateway.ended, pause(50)])).toBeUndefined();
            expect(stage.gateway.peakResidentBytes() / 1e6).toBeLessThan(PROCESS_MEGABYTES);
        },
        60_000,
    );

    it.each(largeCases)(
        "outlives $count $sent, and serves a neighbour",
        async ({ count, to, text }) => {
            const kept = await stage.connectKept();
            floods = Array.from({ length: count }, (_, index) => new Flood(stage[to], text(index), "", 0));
            await pause(FLOOD_MS / 2);
            for (const caller of [kept, await stage.connect()]) {
                const answer = await caller.send("/public/1", "neighbour");
                expect(answer, stage.gateway.errors.slice(-600)).toMatchObject({ status: 200, complete: true });
            }
            expect(await Promise.race([stage.gateway.ended, pause(50)])).toBeUndefined();
            expect(stage.gateway.peakResidentBytes() / 1e6).toBeLessThan(PROCESS_MEGABYTES);
        },
        60_000,
    );

    it.each(storeCases)(
        "outlives a store that answers each call with $answer without end, and goes on with what it knows",
        async ({ first, repeated }) => {
            const kept = await stage.connectKept();
            store.answer = { first, repeated };
            store.disconnect();
            await until("several answers without end", () => store.floods >= 8);
            await pause(2_000);
            for (const caller of [kept, await stage.connect()]) {
                const answer = await caller.send("/public/1", "neighbour");
                expect(answer, stage.gateway.errors.slice(-600)).toMatchObject({ status: 200, complete: true });
            }
            expect(await Promise.race([stage.gateway.ended, pause(50)])).toBeUndefined();
            expect(stage.gateway.peakResidentBytes() / 1e6).toBeLessThan(PROCESS_MEGABYTES);
            expect(stage.gateway.errors).toContain("store lost");
            store.answer = undefined;
            store.disconnect();
            await stage.gateway.logged("store regained");
        },
        60_000,
    );
});
