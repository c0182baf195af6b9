/** Refusals that are sent before the whole body was read: a close that resets the connection discards them. */
import { afterEach, describe, expect, it, vi } from "vitest";
import { pause } from "../../src/model/pause.js";
import { CONFIGURATION, Deployment } from "./harness.js";
import { RawCaller, requestHead } from "./rawcaller.js";

const BODY_BYTES = 110_000;
const LIMITS = { ...CONFIGURATION.Limits, MaxBodyBytes: 120_000 };

let deployment: Deployment;
let caller: RawCaller | undefined;

afterEach(async () => {
    caller?.close();
    await deployment.close();
});

async function start(): Promise<RawCaller> {
    deployment = await Deployment.start({ bookings: 1 }, 1, { ...CONFIGURATION, Limits: LIMITS });
    caller = await RawCaller.connect(deployment.callers[0] ?? "");
    return caller;
}

const withLength = (bytes: number) => ({ "content-length": bytes });
const chunked = { "transfer-encoding": "chunked" };
const chunk = (bytes: number): string => `${bytes.toString(16)}\r\n${"x".repeat(bytes)}\r\n`;

/** A request in parts that are sent one after another. */
interface Case {
    readonly case: string;
    readonly status: number;
    readonly path?: string;
    readonly headers: Readonly<Record<string, string | number>>;
    readonly phase?: "draining" | "stopping";
    readonly parts: readonly string[];
}

const halves = ["x".repeat(BODY_BYTES / 2), "x".repeat(BODY_BYTES / 2)];
const slow = Array.from({ length: 11 }, () => "x".repeat(BODY_BYTES / 11));
const cases: readonly Case[] = [
    { case: "an unknown route", status: 404, path: "/gone/1", headers: withLength(BODY_BYTES), parts: halves },
    { case: "a body in parts", status: 404, path: "/gone/1", headers: withLength(BODY_BYTES), parts: slow },
    {
        case: "a body of 18 KB",
        status: 404,
        path: "/gone/1",
        headers: withLength(18_000),
        parts: ["x".repeat(9_000), "x".repeat(9_000)],
    },
    {
        case: "a body in chunks",
        status: 404,
        path: "/gone/1",
        headers: chunked,
        parts: [chunk(50_000), chunk(50_000), "0\r\n\r\n"],
    },
    {
        case: "a body that waits for 100-continue",
        status: 404,
        path: "/gone/1",
        headers: { ...withLength(BODY_BYTES), expect: "100-continue" },
        parts: halves,
    },
    {
        case: "an unknown key",
        status: 401,
        headers: { ...withLength(BODY_BYTES), authorization: "Token gone" },
        parts: halves,
    },
    {
        case: "a long head",
        status: 431,
        headers: { ...withLength(BODY_BYTES), filler: "x".repeat(5_000) },
        parts: halves,
    },
    {
        case: "a long body with a length",
        status: 413,
        headers: withLength(700_000),
        parts: ["x".repeat(350_000), "x".repeat(350_000)],
    },
    {
        case: "a long body in chunks",
        status: 413,
        headers: chunked,
        parts: [chunk(90_000), chunk(90_000), chunk(90_000), "0\r\n\r\n"],
    },
    {
        case: "a late body",
        status: 408,
        headers: { ...withLength(BODY_BYTES), "x-parsleyrun-deadline-ms": 20 },
        parts: slow,
    },
    { case: "a gateway that stops", status: 503, headers: withLength(BODY_BYTES), phase: "stopping", parts: halves },
    {
        case: "a gateway that drains",
        status: 404,
        path: "/gone/1",
        headers: withLength(BODY_BYTES),
        phase: "draining",
        parts: halves,
    },
];

describe("a caller that sends its whole body before it reads gets the refusal of", () => {
    it.each(cases)("$case ($status)", async ({ status, path = "/book/1", headers, phase, parts }) => {
        const sender = await start();
        if (phase !== undefined) deployment.gateways[0]?.gateway.enterPhase(phase);
        sender.stopReading();
        sender.write(requestHead("POST", path, "request-1", headers));
        for (const part of parts) {
            await pause(30);
            sender.write(part);
        }
        await pause(100);
        sender.continueReading();
        const [refusal] = await sender.read(1);
        expect(refusal).toMatchObject({ status });
        expect(refusal?.headers.get("connection")).toBe("close");
        expect(await sender.ended()).toBe("end");
        expect(deployment.target("bookings-0").arrivals).toEqual([]);
    });

    it("a gateway that does not know its configuration yet (503)", async () => {
        const sender = await start();
        deployment.platform.close();
        const { gateway } = await deployment.addGateway("starting");
        expect(gateway.configuration).toBeUndefined();
        sender.close();
        caller = await RawCaller.connect(deployment.callers[1] ?? "");
        caller.stopReading();
        caller.write(requestHead("POST", "/book/1", "request-1", withLength(BODY_BYTES)));
        for (const half of halves) {
            await pause(30);
            caller.write(half);
        }
        await pause(100);
        caller.continueReading();
        expect((await caller.read(1)).map(({ status }) => status)).toEqual([503]);
        expect(await caller.ended()).toBe("end");
    });

    it("a route that was removed, before a second request that came with the body", async () => {
        const sender = await start();
        sender.stopReading();
        sender.write(requestHead("POST", "/gone/1", "request-1", withLength(BODY_BYTES)));
        await pause(30);
        sender.write("x".repeat(BODY_BYTES) + requestHead("GET", "/check/1", "request-2"));
        await pause(100);
        sender.continueReading();
        expect(await sender.ended()).toBe("end");
        expect(sender.responses.map(({ status }) => status)).toEqual([404]);
        expect(deployment.target("bookings-0").arrivals).toEqual([]);
    });
});

describe("a caller that was refused", () => {
    it("and never ends its body is cut", async () => {
        const sender = await start();
        sender.write(requestHead("POST", "/gone/1", "request-1", withLength(BODY_BYTES)));
        expect((await sender.read(1)).map(({ status }) => status)).toEqual([404]);
        expect(await sender.ended()).toBe("end");
        const { openRequests } = await readMetrics();
        expect(openRequests).toBe(1);
        // The gateway waits for the rest of the body for a limited time.
        await vi.waitFor(async () => expect((await readMetrics()).openRequests).toBe(0), 8_000);
    }, 20_000);

    it("and sends without end is cut", async () => {
        const sender = await start();
        sender.write(requestHead("POST", "/gone/1", "request-1", chunked));
        const data = chunk(60_000);
        for (let count = 0; count < 200 && sender.ending !== "reset"; count += 1) {
            sender.write(data);
            await pause(5);
        }
        expect(sender.responses.map(({ status }) => status)).toEqual([404]);
        await vi.waitFor(async () => expect((await readMetrics()).openRequests).toBe(0), 8_000);
    }, 20_000);

    it("is waited for when the gateway stops, until its body has ended", async () => {
        const sender = await start();
        sender.stopReading();
        sender.write(requestHead("POST", "/gone/1", "request-1", withLength(BODY_BYTES)));
        await pause(30);
        const stopped = deployment.gateways[0]?.stop();
        const part = "x".repeat(BODY_BYTES / 11);
        for (let count = 0; count < 11; count += 1) {
            sender.write(part);
            await pause(300);
        }
        sender.continueReading();
        expect(await sender.ended()).toBe("end");
        expect(sender.responses.map(({ status }) => status)).toEqual([404]);
        await stopped;
    }, 20_000);
});

async function readMetrics(): Promise<{ readonly openRequests: number }> {
    const page = await (await fetch(`http://${deployment.metrics[0]}/metrics`)).text();
    return { openRequests: Number(/^parsleyrun_open_requests (\d+)$/m.exec(page)?.[1]) };
}
