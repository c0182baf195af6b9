/** Idle connections: none is closed before the time that was announced on it, or while a request on it arrives. */
import { afterEach, describe, expect, it, vi } from "vitest";
import { pause } from "../../src/model/pause.js";
import { CONFIGURATION, Deployment } from "./harness.js";
import { RawCaller, requestHead } from "./rawcaller.js";

let deployment: Deployment;
let caller: RawCaller;
let answerSlow: () => void;

afterEach(async () => {
    caller.close();
    await deployment.close();
});

function configuration(version: number, idleMs: number): unknown {
    const Routes = CONFIGURATION.Routes.map(route => ({ ...route, TimeoutMs: 10_000 }));
    return { ...CONFIGURATION, Routes, Version: version, Limits: { ...CONFIGURATION.Limits, IdleTimeoutMs: idleMs } };
}

async function start(idleMs: number): Promise<void> {
    deployment = await Deployment.start({ bookings: 1 }, 1, configuration(1, idleMs));
    const slow = new Promise<void>(resolve => (answerSlow = resolve));
    deployment.target("bookings-0").behaviour = ({ path }) =>
        path === "/check/slow" ? { kind: "answer", after: slow } : { kind: "answer" };
    caller = await RawCaller.connect(deployment.callers[0] ?? "");
}

async function setIdleTimeout(idleMs: number): Promise<void> {
    deployment.platform.put("config", "main", configuration(2, idleMs));
    await vi.waitFor(() => expect(deployment.gateways[0]?.gateway.configuration?.version).toBe(2));
}

const get = (path: string, id = "request-1"): string =>
    requestHead("GET", path, id, { "x-parsleyrun-deadline-ms": 10_000 });

/** Time in milliseconds for which the connection is promised to stay open after the last response. */
function announcedMs(): number {
    const header = caller.responses.at(-1)?.headers.get("keep-alive");
    return 1_000 * Number(/timeout=(\d+)/.exec(header ?? "")?.[1]);
}

/** Blocks the event loop, as a frozen process does. */
function block(milliseconds: number): void {
    const end = performance.now() + milliseconds;
    while (performance.now() < end);
}

async function expectServed(): Promise<void> {
    const { length } = caller.responses;
    caller.write(get("/check/1", "request-2"));
    expect((await caller.read(length + 1)).map(({ status }) => status)).toEqual(Array(length + 1).fill(200));
}

describe("an idle connection is not closed before the time that was announced on it", () => {
    it.each<{ case: string; idleMs: number; during?: number; after?: number; request?: "slow" }>([
        { case: "on the first connection of a gateway", idleMs: 1_000 },
        { case: "if the limit is lowered during the request", idleMs: 4_000, during: 1_000 },
        { case: "if the limit is lowered while it is idle", idleMs: 4_000, after: 1_000 },
        { case: "if the limit is raised during the request", idleMs: 1_000, during: 4_000 },
    ])(
        "$case",
        async ({ idleMs, during, after }) => {
            await start(idleMs);
            // Connections take over the limit that was in force when an earlier request began.
            await deployment.call({ path: "/check/0", id: "request-0" });
            caller.write(get("/check/slow"));
            await vi.waitFor(() => expect(deployment.target("bookings-0").arrivals).toHaveLength(2));
            if (during !== undefined) {
                await setIdleTimeout(during);
                await deployment.call({ path: "/check/0", id: "request-0" });
            }
            answerSlow();
            expect(await caller.read(1)).toHaveLength(1);
            const idleSince = performance.now();
            if (after !== undefined) {
                await setIdleTimeout(after);
                await deployment.call({ path: "/check/0", id: "request-0" });
            }
            expect(announcedMs()).toBeGreaterThanOrEqual(idleMs);
            while (performance.now() < idleSince + announcedMs() - 10) {
                expect(caller.ending).toBeUndefined();
                await pause(10);
            }
            await expectServed();
            expect(await caller.ended(9_000)).toBe("end");
        },
        30_000,
    );
});

describe("a connection that has become idle", () => {
    it("under a lower limit is kept for a raised one", async () => {
        await start(1_000);
        caller.write(get("/check/1"));
        expect(await caller.read(1)).toHaveLength(1);
        await setIdleTimeout(6_000);
        await pause(4_800);
        await expectServed();
    }, 20_000);

    it("is not closed on a request that arrived while the gateway was frozen", async () => {
        await start(1_000);
        caller.write(get("/check/1"));
        expect(await caller.read(1)).toHaveLength(1);
        // The timer expires after three seconds.
        await pause(2_500);
        caller.write(get("/check/1", "request-2"));
        block(1_500);
        expect(await caller.read(2)).toHaveLength(2);
    }, 20_000);

    it.each([
        { case: "is not closed in the middle of a head", first: 20 },
        { case: "is not closed in the middle of a body", first: 330 },
    ])(
        "$case",
        async ({ first }) => {
            await start(1_000);
            caller.write(get("/check/1"));
            expect(await caller.read(1)).toHaveLength(1);
            await pause(2_700);
            const request = requestHead("POST", "/check/1", "request-2", { "content-length": 200 }) + "x".repeat(200);
            caller.write(request.slice(0, first));
            await pause(600);
            caller.write(request.slice(first));
            expect(await caller.read(2)).toHaveLength(2);
        },
        20_000,
    );

    it("is not closed while a request on it is served for longer than the limit", async () => {
        await start(1_000);
        caller.write(get("/check/1"));
        expect(await caller.read(1)).toHaveLength(1);
        caller.write(get("/check/slow"));
        await pause(4_000);
        answerSlow();
        expect(await caller.read(2)).toHaveLength(2);
    }, 20_000);

    it("is closed at last", async () => {
        await start(1_000);
        caller.write(get("/check/1"));
        expect(await caller.read(1)).toHaveLength(1);
        expect(await caller.ended(6_000)).toBe("end");
    }, 20_000);
});
