/**
 * Answers that no target may send, such as one that is too long. A request that gets them everywhere must not take them
 * to all targets and have them count as faulty, and a target must not seem to have refused what it has run.
 */
import { afterEach, expect, it } from "vitest";
import type { Behaviour } from "../platform/standintarget.js";
import { CONFIGURATION, Deployment } from "./harness.js";

const HEAD = "HTTP/1.1 200 OK\r\nx-parsleyrun-request-id: request-1\r\nx-parsleyrun-server-stamp: s\r\n";
const CHUNKED = `${HEAD}transfer-encoding: chunked\r\n\r\n`;
const STREAM = `${HEAD}content-type: text/event-stream\r\n\r\n`;
const TARGETS = 4;

let deployment: Deployment;

afterEach(() => deployment.close());

async function start(): Promise<void> {
    const Routes = CONFIGURATION.Routes.map(route => ({ ...route, TimeoutMs: 20_000, MaxAttempts: 4 }));
    deployment = await Deployment.start({ bookings: TARGETS, engines: TARGETS }, 1, { ...CONFIGURATION, Routes });
}

function behaveAll(behaviour: Behaviour): void {
    for (const target of deployment.targets.values()) target.behaviour = () => behaviour;
}

function arrivals(): number {
    return [...deployment.targets.values()].reduce((sum, target) => sum + target.arrivals.length, 0);
}

const headers = { "x-parsleyrun-deadline-ms": "20000" };

it.each([
    { answer: "a body that is too long", path: "/check/1", first: `${HEAD}\r\n`, repeated: "x" },
    { answer: "a body in too many parts", path: "/check/1", first: CHUNKED, repeated: "4\r\nbody\r\n" },
    { answer: "a head that is too long", path: "/check/1", first: `${HEAD}filler: `, repeated: "x" },
    { answer: "a stream without new events", path: "/chat/1", first: STREAM, repeated: ": comment\n\n" },
])("$answer is taken to two targets at most", async ({ path, first, repeated }) => {
    await start();
    deployment.leaveRetries(path === "/chat/1" ? "engines" : "bookings", 10);
    behaveAll({ kind: "endless", first, repeated });
    const { status, complete } = await deployment.call({ path, headers });
    expect(status === 200 && complete).toBe(false);
    expect(arrivals()).toBe(2);
});

it.each([503, 429])("an incomplete answer to a stream with status %i is no refusal of the gateway", async status => {
    await start();
    behaveAll({
        kind: "raw",
        text: `HTTP/1.1 ${status} Failed\r\nx-parsleyrun-server-stamp: s\r\ncontent-length: 10\r\n\r\nhalf`,
    });
    const answer = await deployment.call({ path: "/draft/1", headers });
    expect(answer.status).toBe(502);
});
