/** Requests that are sent on a connection before the response to an earlier one: none may be passed on and dropped. */
import { afterEach, describe, expect, it, vi } from "vitest";
import { pause } from "../../src/model/pause.js";
import type { Behaviour } from "../platform/standintarget.js";
import { CONFIGURATION, Deployment } from "./harness.js";
import { RawCaller, requestHead } from "./rawcaller.js";

let deployment: Deployment;
let caller: RawCaller;

afterEach(async () => {
    caller.close();
    await deployment.close();
});

async function start(configuration: unknown = CONFIGURATION): Promise<void> {
    deployment = await Deployment.start({ bookings: 1 }, 1, configuration);
    caller = await RawCaller.connect(deployment.callers[0] ?? "");
}

function arrivals(): readonly string[] {
    return deployment.target("bookings-0").arrivals.map(({ id }) => id);
}

const post = (path: string, id: string, body: string): string =>
    requestHead("POST", path, id, { "content-length": body.length }) + body;

describe("a request that is pipelined behind another", () => {
    it("is passed on only after the response to the other", async () => {
        await start();
        let answerFirst = (): void => undefined;
        const first = new Promise<void>(resolve => (answerFirst = resolve));
        deployment.target("bookings-0").behaviour = ({ id }) =>
            id === "first" ? { kind: "answer", after: first } : { kind: "answer" };
        caller.write(post("/book/1", "first", "a") + post("/book/2", "second", "b"));
        await pause(20);
        caller.write(post("/book/3", "third", "c"));
        await pause(100);
        expect(arrivals()).toEqual(["first"]);
        answerFirst();
        expect((await caller.read(3)).map(({ body }) => body)).toEqual(
            ["first", "second", "third"].map(id => `answer to ${id}`),
        );
        expect(arrivals()).toEqual(["first", "second", "third"]);
    });

    it.each<{ case: string; behaviour: Behaviour; phase?: "draining" | "stopping"; statuses: readonly number[] }>([
        { case: "has no length", behaviour: { kind: "unframed" }, statuses: [200] },
        {
            case: "is given while the gateway drains",
            behaviour: { kind: "answer" },
            phase: "draining",
            statuses: [200, 200],
        },
        {
            case: "is given while the gateway stops",
            behaviour: { kind: "answer" },
            phase: "stopping",
            statuses: [200, 503],
        },
    ])(
        "is passed on only if it gets a response: the response to the other $case",
        async ({ behaviour, phase, statuses }) => {
            await start();
            let answerFirst = (): void => undefined;
            const first = new Promise<void>(resolve => (answerFirst = resolve));
            deployment.target("bookings-0").behaviour = ({ id }) =>
                behaviour.kind === "answer" && id === "first" ? { ...behaviour, after: first } : behaviour;
            caller.write(post("/book/1", "first", "a") + post("/book/2", "second", "b"));
            await vi.waitFor(() => expect(arrivals()).toEqual(["first"]));
            if (phase !== undefined) deployment.gateways[0]?.gateway.enterPhase(phase);
            answerFirst();
            expect(await caller.ended()).toBe("end");
            expect(caller.responses.map(response => response.status)).toEqual(statuses);
            expect(arrivals()).toEqual(["first", "second"].slice(0, statuses.filter(status => status === 200).length));
        },
    );

    it("is not passed on if the caller leaves before its turn", async () => {
        await start();
        deployment.target("bookings-0").behaviour = () => ({ kind: "silent" });
        caller.write(post("/check/1", "first", "a") + post("/check/2", "second", "b"));
        await vi.waitFor(() => expect(arrivals()).toEqual(["first"]));
        caller.close();
        await vi.waitFor(() => expect(deployment.target("bookings-0").abandoned).toEqual(["first"]));
        await pause(100);
        expect(arrivals()).toEqual(["first"]);
        expect(await openRequests()).toBe(0);
    });

    it("has the time that is left of its own deadline", async () => {
        await start();
        let answerFirst = (): void => undefined;
        const first = new Promise<void>(resolve => (answerFirst = resolve));
        deployment.target("bookings-0").behaviour = ({ id }) =>
            id === "first" ? { kind: "answer", after: first } : { kind: "answer" };
        caller.write(post("/book/1", "first", "a") + post("/book/2", "second", "b"));
        await pause(400);
        answerFirst();
        expect(await caller.read(2)).toHaveLength(2);
        const [, second] = deployment.target("bookings-0").arrivals;
        expect(Number(second?.headers["x-parsleyrun-deadline-ms"])).toBeLessThanOrEqual(1_600);
    });
});

describe("a caller that leaves while its requests wait", () => {
    it.each([
        { case: "20 requests", count: 20, bodyBytes: 0 },
        { case: "50 requests", count: 50, bodyBytes: 0 },
        { case: "a request with a long body", count: 1, bodyBytes: 90_000 },
        { case: "two requests with long bodies", count: 2, bodyBytes: 90_000 },
    ])("is noticed: $case", async ({ count, bodyBytes }) => {
        const Limits = { ...CONFIGURATION.Limits, MaxBodyBytes: 100_000 };
        await start({ ...CONFIGURATION, Limits });
        const target = deployment.target("bookings-0");
        target.behaviour = () => ({ kind: "silent" });
        caller.write(post("/check/1", "first", "a"));
        await vi.waitFor(() => expect(target.arrivals).toHaveLength(1));
        for (let index = 0; index < count; index += 1) {
            caller.write(post("/check/1", `waiting-${index}`, "x".repeat(bodyBytes)));
            await pause(5);
        }
        await pause(100);
        caller.close();
        // The time of the first request ends after 2,000 ms.
        await vi.waitFor(() => expect(target.abandoned).toEqual(["first"]), 1_000);
        expect(deployment.linesOf("request ended", "first")).toMatchObject([{ outcome: "cancelled" }]);
        await pause(100);
        expect(arrivals()).toEqual(["first"]);
        expect(await openRequests()).toBe(0);
    });

    it("long bodies that wait are passed on whole", async () => {
        await start({ ...CONFIGURATION, Limits: { ...CONFIGURATION.Limits, MaxBodyBytes: 100_000 } });
        let answerFirst = (): void => undefined;
        const first = new Promise<void>(resolve => (answerFirst = resolve));
        const target = deployment.target("bookings-0");
        target.behaviour = ({ id }) => (id === "first" ? { kind: "answer", after: first } : { kind: "answer" });
        const bodies = Array.from({ length: 8 }, (_, index) => String(index).repeat(90_000));
        caller.write(post("/check/1", "first", "a"));
        bodies.forEach((body, index) => caller.write(post("/check/1", `long-${index}`, body)));
        await pause(200);
        answerFirst();
        expect(await caller.read(9)).toHaveLength(9);
        expect(target.arrivals.slice(1).map(({ body }) => body)).toEqual(bodies);
    });
});

describe("many pipelined requests", () => {
    const COUNT = 600;

    it("are all answered in order, and read only as they are served", async () => {
        await start();
        let answerFirst = (): void => undefined;
        const first = new Promise<void>(resolve => (answerFirst = resolve));
        deployment.target("bookings-0").behaviour = ({ id }) =>
            id === "r0" ? { kind: "answer", after: first } : { kind: "answer" };
        const ids = Array.from({ length: COUNT }, (_, index) => `r${index}`);
        const filler = "x".repeat(3_500);
        for (const id of ids) caller.write(requestHead("GET", "/check/1", id, { filler }));
        await vi.waitFor(() => expect(arrivals()).toEqual(["r0"]));
        await pause(200);
        // One read of a socket is 64 KB, which is about 20 of these requests.
        expect(await openRequests()).toBeLessThan(200);
        answerFirst();
        const responses = await caller.read(COUNT, 10_000);
        expect(responses.map(({ body }) => body)).toEqual(ids.map(id => `answer to ${id}`));
    }, 20_000);
});

async function openRequests(): Promise<number> {
    const page = await (await fetch(`http://${deployment.metrics[0]}/metrics`)).text();
    return Number(/^parsleyrun_open_requests (\d+)$/m.exec(page)?.[1]);
}
