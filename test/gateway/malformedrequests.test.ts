/** Bytes on a connection that are no request: they must not replace or cut the response to the request before them. */
import { afterEach, describe, expect, it, vi } from "vitest";
import { pause } from "../../src/model/pause.js";
import { Deployment } from "./harness.js";
import { RawCaller, requestHead } from "./rawcaller.js";

let deployment: Deployment;
let caller: RawCaller;

afterEach(async () => {
    caller.close();
    await deployment.close();
});

async function start(): Promise<void> {
    deployment = await Deployment.start({ bookings: 1, engines: 1 });
    caller = await RawCaller.connect(deployment.callers[0] ?? "");
}

const notRequests: readonly {
    readonly case: string;
    readonly text: string;
    readonly waitMs: number;
}[] = [
    {
        case: "bytes that are no request",
        text: "no request\r\n\r\n",
        waitMs: 100,
    },
    // The limit for the time of a head is one second.
    {
        case: "half a head that is not continued",
        text: "GET /check/2 HTTP/1.1\r\nho",
        waitMs: 1_700,
    },
    {
        case: "a head that is too long",
        text: requestHead("GET", "/check/2", "x".repeat(140_000)),
        waitMs: 100,
    },
];

describe("a request that is followed by", () => {
    it.each(notRequests)("$case gets its response", async ({ text, waitMs }) => {
        await start();
        let answer = (): void => undefined;
        const after = new Promise<void>(resolve => (answer = resolve));
        deployment.target("bookings-0").behaviour = () => ({
            kind: "answer",
            after,
        });
        caller.write(requestHead("GET", "/check/1", "first"));
        await vi.waitFor(() => expect(deployment.target("bookings-0").arrivals).toHaveLength(1));
        caller.write(text);
        await pause(waitMs);
        answer();
        const [response] = await caller.read(1);
        expect(response).toMatchObject({ status: 200, body: "answer to first" });
        expect(await caller.ended()).toBe("end");
        expect(caller.responses).toHaveLength(1);
    });

    it.each(notRequests)("$case gets its whole stream", async ({ text }) => {
        await start();
        deployment.target("engines-0").behaviour = () => ({
            kind: "stream",
            events: 20,
            gapMs: 80,
        });
        caller.write(requestHead("POST", "/draft/1", "first", { "content-length": 0 }));
        await vi.waitFor(() => expect(caller.text).toContain("id: 2\n"));
        caller.write(text);
        expect(await caller.ended(5_000)).toBe("end");
        expect(caller.text).toContain("id: 20\n");
        expect(caller.text.endsWith("0\r\n\r\n")).toBe(true);
    });
});

describe("a caller that sends", () => {
    it.each([
        {
            case: "bytes that are no request",
            status: 400,
            text: "no request\r\n\r\n",
        },
        { case: "half a head", status: 408, text: "GET /check/2 HTTP/1.1\r\nho" },
        {
            case: "a head that is too long",
            status: 431,
            text: requestHead("GET", "/check/2", "x".repeat(400_000)),
        },
    ])("$case gets a rejection ($status)", async ({ status, text }) => {
        await start();
        caller.stopReading();
        for (let index = 0; index < text.length; index += 100_000) {
            caller.write(text.slice(index, index + 100_000));
            await pause(20);
        }
        await pause(1_500);
        caller.continueReading();
        expect((await caller.read(1)).map(response => response.status)).toEqual([status]);
        expect(await caller.ended()).toBe("end");
    });

    it("the rest of a head while the gateway is frozen is served", async () => {
        await start();
        const head = requestHead("GET", "/check/1", "first");
        caller.write(head.slice(0, 30));
        await pause(600);
        caller.write(head.slice(30));
        for (const end = performance.now() + 1_500; performance.now() < end;);
        expect((await caller.read(1)).map(response => response.status)).toEqual([200]);
    });
});

const chunkedHead = (id: string): string => requestHead("POST", "/book/1", id, { "transfer-encoding": "chunked" });

describe("a request whose body is malformed is rejected at once, not at its deadline:", () => {
    const bodies: readonly { readonly case: string; readonly parts: readonly string[]; readonly status: number }[] = [
        { case: "a size that is no number", parts: ["xyz\r\n"], status: 400 },
        { case: "a size that is no number, after a chunk", parts: ["4\r\nbody\r\n", "xyz\r\n"], status: 400 },
        { case: "a chunk that is longer than its size", parts: ["4\r\nbody and more\r\n"], status: 400 },
        { case: "a long extension of a chunk", parts: [`4;${"x".repeat(60_000)}\r\nbody\r\n`], status: 413 },
    ];

    it.each(bodies)("$case ($status)", async ({ parts, status }) => {
        await start();
        caller.write(chunkedHead("first"));
        for (const part of parts) {
            await pause(30);
            caller.write(part);
        }
        expect((await caller.read(1)).map(response => response.status)).toEqual([status]);
        expect(await caller.ended()).toBe("end");
        expect(deployment.target("bookings-0").arrivals).toEqual([]);
        const ended = (): unknown => deployment.linesOf("request ended", "first");
        await vi.waitFor(() => expect(ended()).toMatchObject([{ outcome: "rejected", status }]));
    });

    it.each(bodies)("$case, behind another request ($status)", async ({ parts, status }) => {
        await start();
        let answer = (): void => undefined;
        const after = new Promise<void>(resolve => (answer = resolve));
        deployment.target("bookings-0").behaviour = () => ({ kind: "answer", after });
        caller.write(requestHead("GET", "/check/1", "first") + chunkedHead("second"));
        for (const part of parts) {
            await pause(30);
            caller.write(part);
        }
        await pause(100);
        answer();
        expect((await caller.read(2)).map(response => response.status)).toEqual([200, status]);
        expect(await caller.ended()).toBe("end");
        expect(deployment.target("bookings-0").arrivals.map(({ id }) => id)).toEqual(["first"]);
    });
});

describe("a response that closes the connection reaches a caller that", () => {
    it("reads it only after the time for which the connection is kept to read the rest", async () => {
        await start();
        const body = "x".repeat(3_000_000);
        deployment.target("bookings-0").behaviour = () => ({ kind: "answer", body });
        caller.write(requestHead("GET", "/check/1", "first", { connection: "close" }));
        await caller.readHeads(1);
        caller.stopReading();
        await pause(6_000);
        caller.continueReading();
        expect(await caller.ended()).toBe("end");
        expect(caller.text.endsWith(`\r\n\r\n${body}`)).toBe(true);
    }, 15_000);

    const closing: readonly { readonly case: string; readonly draining: boolean; readonly path: string }[] = [
        { case: "from a gateway that drains", draining: true, path: "/check/1" },
        { case: "without a length", draining: false, path: "/check/unframed" },
        { case: "to a request that asks for it", draining: false, path: "/check/1" },
    ];

    it.each(closing)("is in the middle of its next head ($case)", async ({ draining, path }) => {
        await start();
        if (draining) deployment.gateways[0]?.gateway.enterPhase("draining");
        let answer = (): void => undefined;
        const after = new Promise<void>(resolve => (answer = resolve));
        deployment.target("bookings-0").behaviour = ({ path: unframed }) =>
            unframed === "/check/unframed" ? { kind: "unframed" } : { kind: "answer", after };
        caller.stopReading();
        const next = requestHead("GET", "/check/2", "second", { filler: "x".repeat(3_000) });
        const headers = draining ? {} : { connection: "close" };
        caller.write(requestHead("GET", path, "first", headers) + next.slice(0, 1_000));
        await vi.waitFor(() => expect(deployment.target("bookings-0").arrivals).toHaveLength(1));
        answer();
        for (let sent = 1_000; sent < next.length; sent += 500) {
            await pause(30);
            caller.write(next.slice(sent, sent + 500));
        }
        await pause(100);
        caller.continueReading();
        expect(await caller.ended()).toBe("end");
        expect(caller.responses.map(response => response.status)).toEqual([200]);
        expect(deployment.target("bookings-0").arrivals.map(({ id }) => id)).toEqual(["first"]);
    });
});

const CONNECT = "CONNECT desk.example:443 HTTP/1.1\r\nhost: desk.example:443\r\n\r\n";

describe("CONNECT", () => {
    it.each([
        { case: "alone", text: CONNECT },
        { case: "with bytes for the other end", text: `${CONNECT}${"x".repeat(20_000)}` },
    ])("is answered: $case", async ({ text }) => {
        await start();
        caller.stopReading();
        caller.write(text);
        await pause(50);
        caller.write("more bytes for the other end");
        await pause(100);
        caller.continueReading();
        expect((await caller.read(1)).map(({ status }) => status)).toEqual([501]);
        expect(await caller.ended()).toBe("end");
    });

    it("is answered after the requests before it", async () => {
        await start();
        let answer = (): void => undefined;
        const after = new Promise<void>(resolve => (answer = resolve));
        deployment.target("bookings-0").behaviour = () => ({ kind: "answer", after });
        caller.write(requestHead("GET", "/check/1", "first") + requestHead("GET", "/check/2", "second") + CONNECT);
        await vi.waitFor(() => expect(deployment.target("bookings-0").arrivals).toHaveLength(1));
        await pause(100);
        expect(caller.ending).toBeUndefined();
        answer();
        expect((await caller.read(3)).map(({ status }) => status)).toEqual([200, 200, 501]);
        expect(await caller.ended()).toBe("end");
    });

    it("does not stop the stream before it, whose caller reads slowly", async () => {
        await start();
        const events = Array.from({ length: 2_000 }, (_, index) => `id: ${index + 1}\ndata: ${"x".repeat(4_000)}\n\n`);
        const head =
            "x-parsleyrun-request-id: first\r\nx-parsleyrun-server-stamp: s\r\ncontent-type: text/event-stream";
        deployment.target("engines-0").behaviour = () => ({
            kind: "raw",
            text: `HTTP/1.1 200 OK\r\n${head}\r\nconnection: close\r\n\r\n${events.join("")}`,
        });
        caller.write(requestHead("POST", "/draft/1", "first", { "content-length": 0 }) + CONNECT);
        await caller.readHeads(1);
        caller.stopReading();
        await pause(300);
        caller.continueReading();
        expect(await caller.ended(5_000)).toBe("end");
        expect(caller.text).toContain("id: 2000\n");
        expect(caller.text).toMatch(/\r\n0\r\n\r\nHTTP\/1\.1 501 /);
    });

    it("does not hide that its caller has left", async () => {
        await start();
        deployment.target("bookings-0").behaviour = () => ({ kind: "silent" });
        caller.write(requestHead("GET", "/check/1", "first") + CONNECT);
        await vi.waitFor(() => expect(deployment.target("bookings-0").arrivals).toHaveLength(1));
        caller.close();
        await vi.waitFor(() => expect(deployment.target("bookings-0").abandoned).toEqual(["first"]));
    });
});
