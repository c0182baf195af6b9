/**
 * Targets that turn a request away and name a time for which they want no more. A gateway that does not read it goes on
 * sending requests, and refuses callers without saying when there is room.
 */
import { afterEach, describe, expect, it, vi } from "vitest";
import { pause } from "../../src/model/pause.js";
import { Deployment } from "./harness.js";

let deployment: Deployment;

afterEach(() => deployment.close());

const STAGES = { "x-parsleyrun-pieces": "2,1", "x-parsleyrun-piece-key": "key" };

function requestCount(id: string): number {
    const target = deployment.target(id);
    return target.arrivals.length + target.pieceCalls.length;
}

async function start(gateways = 1): Promise<void> {
    deployment = await Deployment.start({ bookings: 2, engines: 2, encode: 2, rank: 1 }, gateways);
    for (const [id, target] of deployment.targets) {
        if (id.startsWith("engines")) target.behaviour = () => ({ kind: "stream", events: 2 });
    }
}

/** Lets the targets turn requests away with a `Retry-After`. */
function turnAway(ids: readonly string[], retryAfter: string): void {
    for (const id of ids) {
        deployment.target(id).behaviour = () => ({ kind: "full" });
        deployment.target(id).retryAfter = retryAfter;
    }
}

const KINDS = [
    { kind: "calls", service: "bookings", path: "/check/1", headers: {} },
    { kind: "calls that may not be repeated", service: "bookings", path: "/book/1", headers: {} },
    { kind: "streams", service: "engines", path: "/chat/1", headers: {} },
    { kind: "calls for pieces", service: "encode", path: "/staged/1", headers: STAGES },
];

describe("a target that requests a pause", () => {
    it.each(KINDS)("gets no $kind until it ends", async ({ service, path, headers }) => {
        await start();
        const id = `${service}-0`;
        turnAway([id], "1.2");
        const send = async (request: string): Promise<number> =>
            (await deployment.call({ path, id: request, headers })).status;
        for (let index = 0; requestCount(id) === 0 && index < 40; index += 1) await send(`first-${index}`);
        const statuses = await Promise.all(Array.from({ length: 12 }, (_, index) => send(`next-${index}`)));
        expect(requestCount(id)).toBe(1);
        expect(statuses).toEqual(statuses.map(() => 200));
        expect(deployment.linesOf("target paused")).toMatchObject([{ target: id, pauseMs: 1_200 }]);
        expect(deployment.linesOf("target ejected")).toEqual([]);
        await pause(1_300);
        for (let index = 0; requestCount(id) === 1 && index < 40; index += 1) await send(`later-${index}`);
        expect(requestCount(id)).toBeGreaterThan(1);
    });

    it.each([
        { retryAfter: "Wed, 21 Oct 2026 07:28:00 GMT" },
        { retryAfter: "-5" },
        { retryAfter: "1e9" },
        { retryAfter: "soon" },
        { retryAfter: "" },
    ])("is not understood with the value '$retryAfter', which is logged", async ({ retryAfter }) => {
        await start();
        turnAway(["bookings-0"], retryAfter);
        for (let index = 0; requestCount("bookings-0") < 2 && index < 60; index += 1) {
            expect((await deployment.call({ path: "/check/1", id: `request-${index}` })).status).toBe(200);
        }
        expect(requestCount("bookings-0")).toBe(2);
        await vi.waitFor(() => expect(deployment.linesOf("target pause ignored").length).toBeGreaterThan(0));
        expect(deployment.linesOf("target paused")).toEqual([]);
    });

    it("of an absurd length is bounded", async () => {
        await start();
        turnAway(["bookings-0"], "99999999999999999999");
        for (let index = 0; requestCount("bookings-0") === 0 && index < 40; index += 1) {
            await deployment.call({ path: "/check/1", id: `request-${index}` });
        }
        await vi.waitFor(() => expect(deployment.linesOf("target paused")).toMatchObject([{ pauseMs: 60_000 }]));
    });
});

/** Far less than the deadline of a request. */
const AT_ONCE_MS = 1_000;

describe("a request whose targets all pause for longer than it can wait", () => {
    /** The pieces of all gateways are gathered at one of them, which alone knows of the pauses. */
    const cases = [
        ...KINDS.map(kind => ({ ...kind, gateways: 1 })),
        ...KINDS.filter(({ service }) => service === "encode").flatMap(kind =>
            [2, 3].map(gateways => ({ ...kind, gateways })),
        ),
    ];

    it.each(cases)(
        "is refused at once, with the time at which there is room: $kind of $gateways gateways",
        async ({ service, path, headers, gateways }) => {
            await start(gateways);
            const ids = [`${service}-0`, `${service}-1`];
            turnAway(ids, "5");
            for (let index = 0; ids.some(id => requestCount(id) === 0) && index < 40; index += 1) {
                await deployment.call({ path, id: `first-${index}`, headers });
            }
            const before = ids.map(requestCount);
            const otherPieces = requestCount("rank-0");
            const startedAt = performance.now();
            const answers = await Promise.all(
                Array.from({ length: 8 }, (_, index) =>
                    deployment.call({ path, id: `next-${index}`, headers }, index % gateways),
                ),
            );
            expect(performance.now() - startedAt).toBeLessThan(AT_ONCE_MS);
            expect(answers.map(({ status }) => status)).toEqual(answers.map(() => 503));
            expect(ids.map(requestCount)).toEqual(before);
            expect(requestCount("rank-0")).toBe(otherPieces);
            const returnTimes = answers.map(answer => Number(answer.headers["retry-after"]));
            for (const seconds of returnTimes) {
                expect(seconds).toBeGreaterThan(2);
                expect(seconds).toBeLessThan(6.1);
            }
            expect(new Set(returnTimes).size).toBeGreaterThan(4);
        },
    );

    it("is refused at once also if the last one pauses while its pieces wait", async () => {
        await start();
        turnAway(["encode-0", "encode-1"], "5");
        const startedAt = performance.now();
        const answer = await deployment.call({ path: "/staged/1", headers: STAGES });
        expect(performance.now() - startedAt).toBeLessThan(AT_ONCE_MS);
        expect(answer.status).toBe(503);
        expect(Number(answer.headers["retry-after"])).toBeGreaterThan(4);
    });
});
