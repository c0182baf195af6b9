/**
 * Callers, other gateways and a store that send without end, at the memory limit of a gateway's process. What one of them
 * sends must not end the process, since all requests that it has taken would end with it.
 */
import { connect, type Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { CONFIGURATION } from "../gateway/harness.js";
import { pause, until } from "./daemons.js";
import { Stage } from "./stage.js";

/** Limits of the heap and of the process in megabytes, as in `deploy/system.toml` and on the deployed machines. */
const HEAP_MEGABYTES = 192;
const PROCESS_MEGABYTES = 350;

const BODY_BYTES = 4_194_304;

/** Time for which a test goes on sending. */
const FLOOD_MS = 6_000;

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

let stage: Stage;
let floods: readonly Flood[] = [];

beforeEach(async () => {
    const machine = { memoryMegabytes: PROCESS_MEGABYTES };
    stage = await Stage.start([`--max-old-space-size=${HEAP_MEGABYTES}`], { machine });
    const Limits = { ...CONFIGURATION.Limits, MaxBodyBytes: BODY_BYTES, HeaderTimeoutMs: 15_000 };
    stage.putConfiguration(15_000, { Limits });
    await stage.gateway.logged('"before":1');
});

afterEach(async () => {
    for (const flood of floods) flood.close();
    await stage.close();
});

describe("a gateway process", () => {
    it.each(cases)(
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
});
