/**
 * Connections of callers during a planned stop. A response tells its caller to close the connection, and what the caller
 * has sent behind it until then must have a response as well.
 */
import { afterEach, describe, expect, it, vi } from "vitest";
import { pause } from "../../src/model/pause.js";
import type { GatewayPhase } from "../../src/gateway/gateway.js";
import { CONFIGURATION, Deployment } from "./harness.js";
import { RawCaller, requestHead } from "./rawcaller.js";

let deployment: Deployment;
let caller: RawCaller;

afterEach(async () => {
    caller.close();
    await deployment.close();
});

const post = (path: string, id: string): string => requestHead("POST", path, id, { "content-length": 4 }) + "body";

/** Time in milliseconds of the grace period of 8 s that has passed when a stop begins late. */
const SPENT_GRACE_MS = 6_500;

const LONG_DEADLINE = { "x-parsleyrun-deadline-ms": 10_000 };

const Routes = CONFIGURATION.Routes.map(route => ({ ...route, TimeoutMs: 10_000 }));

async function start(): Promise<() => void> {
    deployment = await Deployment.start({ bookings: 1, engines: 1 }, 1, { ...CONFIGURATION, Routes });
    caller = await RawCaller.connect(deployment.callers[0] ?? "");
    let answerFirst = (): void => undefined;
    const held = new Promise<void>(resolve => (answerFirst = resolve));
    deployment.target("bookings-0").behaviour = ({ id }) =>
        id === "first" ? { kind: "answer", after: held } : { kind: "answer" };
    return answerFirst;
}

function enterPhase(phase: GatewayPhase): void {
    deployment.gateways[0]?.gateway.enterPhase(phase);
}

interface PipelinedCase {
    readonly sent: "before the stop" | "while the gateway drains";
    readonly phase: "draining" | "stopping";
    readonly route: "check" | "book" | "public";
    readonly following: number;
    readonly statuses: readonly number[];
}

const SENT = ["before the stop", "while the gateway drains"] as const;
const pipelinedCases: readonly PipelinedCase[] = SENT.flatMap(sent => [
    { sent, phase: "draining", route: "check", following: 1, statuses: [200, 200] },
    { sent, phase: "draining", route: "book", following: 3, statuses: [200, 200, 200, 200] },
    { sent, phase: "stopping", route: "check", following: 1, statuses: [200, 503] },
    { sent, phase: "stopping", route: "book", following: 3, statuses: [200, 503, 503, 503] },
    // More than a connection reads ahead.
    { sent, phase: "stopping", route: "public", following: 40, statuses: [200, ...Array<number>(40).fill(503)] },
]);

describe("requests that wait behind another one during a planned stop", () => {
    // Guards against a response that closes the connection while requests behind it have been read.
    it.each(pipelinedCases)(
        "have responses: $following on $route sent $sent, served while $phase",
        async ({ sent, phase, route, following, statuses }) => {
            const answerFirst = await start();
            const others = Array.from({ length: following }, (_, index) => post(`/${route}/2`, `other-${index}`));
            caller.write(post(`/${route}/1`, "first"));
            await vi.waitFor(() => expect(deployment.target("bookings-0").arrivals).toHaveLength(1));
            if (sent === "before the stop") caller.write(others.join(""));
            await pause(20);
            enterPhase("draining");
            if (sent === "while the gateway drains") caller.write(others.join(""));
            await pause(20);
            enterPhase(phase);
            answerFirst();
            expect(await caller.ended()).toBe("end");
            expect(caller.responses.map(({ status }) => status)).toEqual(statuses);
            const closing = caller.responses.map(({ headers }) => headers.get("connection") === "close");
            expect(closing).toEqual(statuses.map((_, index) => index === statuses.length - 1));
            const served = statuses.filter(status => status === 200).length;
            expect(deployment.target("bookings-0").arrivals).toHaveLength(served);
        },
    );

    it("have responses behind a stream that begins while the gateway drains", async () => {
        await start();
        deployment.target("engines-0").behaviour = () => ({ kind: "delayedStream", events: 3, delayMs: 100 });
        caller.write(post("/chat/1", "first") + post("/check/2", "second"));
        await vi.waitFor(() => expect(deployment.target("engines-0").arrivals).toHaveLength(1));
        enterPhase("draining");
        expect(await caller.ended()).toBe("end");
        expect(caller.text).toContain("event 3 of first");
        expect(caller.text).toContain("answer to second");
    });

    // Guards against a stop that ends with the response to the first request and leaves those behind it without one.
    it("have responses when the time for the one before them is over", async () => {
        await start();
        deployment.target("bookings-0").behaviour = () => ({ kind: "silent" });
        caller.write(requestHead("GET", "/check/1", "first", LONG_DEADLINE));
        caller.write(requestHead("GET", "/check/2", "second", LONG_DEADLINE));
        await vi.waitFor(() => expect(deployment.target("bookings-0").arrivals).toHaveLength(1));
        const stopped = deployment.gateways[0]?.stop(performance.now() - SPENT_GRACE_MS);
        expect(await caller.ended(5_000)).toBe("end");
        expect(caller.responses.map(({ status }) => status)).toEqual([504, 503]);
        await stopped;
        expect(deployment.linesOf("stopped")).toMatchObject([{ openRequests: 0 }]);
    }, 20_000);
});

describe("requests on idle connections while a stop closes others", () => {
    // Guards against a stop that closes all idle connections at once, without reading what arrives meanwhile.
    it("have responses", async () => {
        await start();
        const idle = await Promise.all(
            Array.from({ length: 60 }, () => RawCaller.connect(deployment.callers[0] ?? "")),
        );
        for (const each of idle) each.write(post("/check/1", "kept"));
        for (const each of idle) expect((await each.read(1)).map(({ status }) => status)).toEqual([200]);
        const stopped = deployment.gateways[0]?.stop(performance.now() - SPENT_GRACE_MS);
        while (idle[0]?.ending === undefined) await new Promise(resolve => setImmediate(resolve));
        const late = idle.slice(-10);
        for (const each of late) each.write(post("/check/1", "late"));
        for (const each of late) expect((await each.read(2)).map(({ status }) => status)).toEqual([200, 503]);
        await stopped;
        for (const each of idle) each.close();
    });
});
