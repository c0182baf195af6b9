/** An exception in the handling of one request or peer call ends only that, not the process with all open requests. */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { NEWS_PATH } from "../../src/gateway/gossip.js";
import { OBSERVATIONS_PATH } from "../../src/gateway/rolloutcontroller.js";
import type { Gateway } from "../../src/gateway/index.js";
import { RequestRetries } from "../../src/gateway/requestretries.js";
import { PEER_PATHS } from "../../src/stages/index.js";
import { Deployment } from "./harness.js";

const ERROR = new Error("a fault of the program");
const fail = (): never => {
    throw ERROR;
};

let deployment: Deployment;
let gateway: Gateway;

beforeEach(async () => {
    deployment = await Deployment.start({ bookings: 1, engines: 1, encode: 1, rank: 1 });
    gateway = deployment.gateways[0]?.gateway as Gateway;
});

afterEach(async () => {
    vi.restoreAllMocks();
    await deployment.close();
});

describe("an exception in a request", () => {
    it.each<{ name: string; path: string; arrange: () => void; status: number }>([
        {
            name: "before its route is known",
            path: "/book/1",
            arrange: () => vi.spyOn(gateway.context, "configuration").mockImplementationOnce(fail),
            status: 500,
        },
        {
            name: "when its target is chosen",
            path: "/book/1",
            arrange: () => vi.spyOn(gateway.targets, "usable").mockImplementationOnce(fail),
            status: 500,
        },
        {
            name: "after its response",
            path: "/book/1",
            arrange: () => vi.spyOn(gateway.targets, "recordSuccess").mockImplementationOnce(fail),
            status: 500,
        },
        {
            name: "in an event of its stream, before the first byte",
            path: "/draft/1",
            arrange: () => vi.spyOn(gateway.targets, "recordSuccess").mockImplementationOnce(fail),
            status: 500,
        },
        {
            name: "within its stream",
            path: "/draft/1",
            arrange: () => {
                const success = vi.spyOn(gateway.targets, "recordSuccess");
                const heard = vi.spyOn(gateway.targets, "recordHeard").mockImplementation(() => {
                    if (success.mock.calls.length === 0) return;
                    heard.mockRestore();
                    fail();
                });
            },
            status: 200,
        },
        {
            name: "in its stages",
            path: "/staged/1",
            arrange: () => vi.spyOn(gateway.pieceRouter, "make").mockImplementationOnce(fail),
            status: 500,
        },
    ])("$name ends only this request", async ({ path, arrange, status }) => {
        const other = deployment.target("bookings-0");
        let respond = (): void => undefined;
        const after = new Promise<void>(resolve => (respond = resolve));
        other.behaviour = () => ({ kind: "answer", after });
        const open = deployment.call({ path: "/check/1", id: "open" });
        await vi.waitFor(() => expect(other.arrivals).toHaveLength(1));
        other.behaviour = () => ({ kind: "answer" });
        deployment.target("engines-0").behaviour = () => ({ kind: "stream", events: 3, gapMs: 5 });
        arrange();
        const headers = { "x-parsleyrun-pieces": "1,1", "x-parsleyrun-piece-key": "k" };
        const answer = await deployment.call({ path, id: "odd", body: "b", headers });
        expect(answer.status).toBe(status);
        expect(answer.headers["x-parsleyrun-not-executed"]).toBeUndefined();
        const logged = (): unknown => deployment.linesOf("request failed unexpectedly", "odd");
        await vi.waitFor(() => expect(logged()).toMatchObject([{ error: expect.stringContaining(ERROR.message) }]));
        await vi.waitFor(() => expect(deployment.linesOf("request ended", "odd")).toMatchObject([{ status: 500 }]));
        respond();
        expect((await open).status).toBe(200);
    });
});

describe("an exception after the answer", () => {
    it.each<{ name: string; path: string; arrange: () => void; ends: boolean }>([
        {
            name: "as its stream has ended",
            path: "/draft/1",
            arrange: () => vi.spyOn(gateway.targets, "recordEnded").mockImplementationOnce(fail),
            ends: false,
        },
        {
            name: "in the release of stage results",
            path: "/staged/1",
            arrange: () => vi.spyOn(gateway.pieceRouter, "release").mockImplementation(fail),
            ends: true,
        },
        {
            name: "in the release of its retries",
            path: "/book/1",
            arrange: () => vi.spyOn(RequestRetries.prototype, "end").mockImplementationOnce(fail),
            ends: true,
        },
        {
            name: "as its times are recorded",
            path: "/book/1",
            arrange: () => vi.spyOn(gateway.context.requestTimes, "record").mockImplementation(fail),
            ends: true,
        },
        {
            name: "as its end is logged",
            path: "/book/1",
            arrange: () => vi.spyOn(gateway.context, "onRequestEnd").mockImplementationOnce(fail),
            ends: false,
        },
    ])("$name neither changes it nor ends the process", async ({ path, arrange, ends }) => {
        deployment.target("engines-0").behaviour = () => ({ kind: "stream", events: 3, gapMs: 5 });
        arrange();
        const headers = { "x-parsleyrun-pieces": "1,1", "x-parsleyrun-piece-key": "k" };
        const answer = await deployment.call({ path, id: "odd", body: "b", headers });
        expect(answer).toMatchObject({ status: 200, complete: true });
        const logged = (): unknown => deployment.linesOf("request failed unexpectedly", "odd")[0];
        await vi.waitFor(() => expect(logged()).toMatchObject({ error: expect.stringContaining(ERROR.message) }));
        if (ends) {
            const ended = (): unknown => deployment.linesOf("request ended", "odd");
            await vi.waitFor(() => expect(ended()).toMatchObject([{ outcome: "answered", status: 200 }]));
        }
        vi.restoreAllMocks();
        expect((await deployment.call({ path: "/check/1", id: "next" })).status).toBe(200);
    });
});

describe("an exception in the stages of a request after its deadline", () => {
    it("is logged once, and neither changes its answer nor ends the process", async () => {
        vi.spyOn(gateway.pieceRouter, "make").mockImplementationOnce(async () => {
            await new Promise(resolve => setTimeout(resolve, 400));
            return fail();
        });
        const headers = {
            "x-parsleyrun-pieces": "1,1",
            "x-parsleyrun-piece-key": "k",
            "x-parsleyrun-deadline-ms": "200",
        };
        const answer = await deployment.call({ path: "/staged/1", id: "odd", body: "b", headers });
        expect(answer.status).toBe(503);
        const logged = (): unknown => deployment.linesOf("task failed unexpectedly", "odd");
        const error = expect.stringContaining(ERROR.message) as string;
        await vi.waitFor(() => expect(logged()).toMatchObject([{ task: "late stage results", error }]));
        expect(deployment.linesOf("request failed unexpectedly")).toEqual([]);
        expect((await deployment.call({ path: "/check/1", id: "next" })).status).toBe(200);
    });
});

describe("an exception in a call of another gateway", () => {
    it.each<{ path: string; body: string; arrange: () => void }>([
        { path: NEWS_PATH, body: "{}", arrange: () => vi.spyOn(gateway.gossip, "receive").mockImplementation(fail) },
        {
            path: OBSERVATIONS_PATH,
            body: "{}",
            arrange: () => vi.spyOn(gateway.rolloutController, "receive").mockImplementation(fail),
        },
        {
            path: PEER_PATHS.release,
            body: '{"service":"encode","handles":[],"isEarly":false}',
            arrange: () => vi.spyOn(gateway.pieceRouter, "releaseHere").mockImplementation(fail),
        },
        {
            path: PEER_PATHS.make,
            body: '{"service":"encode","indexes":[]}',
            arrange: () => vi.spyOn(gateway.pieceRouter, "makeForPeer").mockImplementation(fail),
        },
    ])("at $path ends only this call", async ({ path, body, arrange }) => {
        arrange();
        const answer = await fetch(`http://${deployment.peers[0]}${path}`, { method: "POST", body })
            .then(async response => ({ status: response.status, text: await response.text() }))
            .catch(() => ({ status: 0, text: "" }));
        expect(answer.status).not.toBe(200);
        const logged = (): unknown => deployment.linesOf("peer call failed unexpectedly");
        await vi.waitFor(() => expect(logged()).toMatchObject([{ path }]));
        expect((await deployment.call({ path: "/book/1" })).status).toBe(200);
    });
});

describe("the counts of a target after an exception", () => {
    const CALLS: readonly { readonly kind: string; readonly path: string; readonly service: string }[] = [
        { kind: "a call", path: "/book/1", service: "bookings" },
        { kind: "a stream before its first event", path: "/draft/1", service: "engines" },
    ];

    it.each(CALLS)("in $kind are those of before", async ({ path, service }) => {
        deployment.target("engines-0").behaviour = () => ({ kind: "stream", events: 3 });
        vi.spyOn(gateway.targets, "recordReport").mockImplementationOnce(fail);
        const headers = { "x-parsleyrun-token-count": "1000,10" };
        expect((await deployment.call({ path, id: "odd", headers })).status).toBe(500);
        const target = gateway.targets.findByAddress(deployment.target(`${service}-0`).address);
        expect(target).toMatchObject({ outstanding: 0, pendingPromptTokens: 0 });
    });
});
