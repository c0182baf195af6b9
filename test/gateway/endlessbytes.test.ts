/**
 * Targets in trouble that send bytes without end, in a head or a body, until the caller closes. The gateway has to close
 * such a connection soon: otherwise it reads and keeps bytes until the request's deadline.
 */
import { afterEach, describe, expect, it, vi } from "vitest";
import { CONFIGURATION, Deployment } from "./harness.js";

/** Time in milliseconds within which the connection is closed; the route's own timeout is much longer. */
const CLOSED_WITHIN_MS = 10_000;
const ROUTE_TIMEOUT_MS = 60_000;

/** Bytes that a target may have written by then: the largest response, and the buffers of both sockets. */
const MOST_BYTES = 24_000_000;

const HEAD = "HTTP/1.1 200 OK\r\nx-parsleyrun-request-id: endless-1\r\nx-parsleyrun-server-stamp: s\r\n";
const STREAM_HEAD = `${HEAD}content-type: text/event-stream\r\n\r\n`;

const answers: readonly {
    readonly case: string;
    readonly path: string;
    readonly first: string;
    readonly repeated: string;
}[] = [
    { case: "empty lines before a head", path: "/check/1", first: "", repeated: "\r\n" },
    { case: "provisional heads", path: "/check/1", first: "", repeated: "HTTP/1.1 102 Processing\r\n\r\n" },
    { case: "header lines", path: "/check/1", first: HEAD, repeated: "filler: x\r\n" },
    { case: "a header value", path: "/check/1", first: `${HEAD}filler: `, repeated: "x" },
    { case: "a reason phrase", path: "/check/1", first: "HTTP/1.1 200 ", repeated: "O" },
    { case: "bytes that are no head", path: "/check/1", first: "", repeated: "no answer " },
    { case: "a body without a length", path: "/check/1", first: `${HEAD}\r\n`, repeated: "x" },
    {
        case: "chunks",
        path: "/check/1",
        first: `${HEAD}transfer-encoding: chunked\r\n\r\n`,
        repeated: "4\r\nbody\r\n",
    },
    {
        case: "the extension of a chunk",
        path: "/check/1",
        first: `${HEAD}transfer-encoding: chunked\r\n\r\n4;`,
        repeated: "x",
    },
    {
        case: "trailers",
        path: "/check/1",
        first: `${HEAD}transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n`,
        repeated: "filler: x\r\n",
    },
    { case: "the body of a failure", path: "/draft/1", first: "HTTP/1.1 500 Failed\r\n\r\n", repeated: "x" },
    { case: "an event without an end", path: "/draft/1", first: `${STREAM_HEAD}id: 1\ndata: `, repeated: "x" },
    { case: "lines of an event", path: "/draft/1", first: `${STREAM_HEAD}id: 1\n`, repeated: "data: x\n" },
    { case: "events without ids", path: "/draft/1", first: STREAM_HEAD, repeated: "data: x\n\n" },
    { case: "an event over and over", path: "/draft/1", first: STREAM_HEAD, repeated: "id: 1\ndata: x\n\n" },
    { case: "empty lines in a stream", path: "/draft/1", first: STREAM_HEAD, repeated: "\n" },
];

let deployment: Deployment;

afterEach(async () => {
    await deployment.close();
});

describe("a target that sends without end", () => {
    it.each(answers)("$case is left soon, and the caller gets no success", async ({ path, first, repeated }) => {
        const Routes = CONFIGURATION.Routes.map(route => ({ ...route, TimeoutMs: ROUTE_TIMEOUT_MS, MaxAttempts: 1 }));
        deployment = await Deployment.start({ engines: 1, bookings: 1 }, 1, { ...CONFIGURATION, Routes });
        for (const target of deployment.targets.values()) {
            target.behaviour = () => ({ kind: "endless", first, repeated });
        }
        const headers = { "x-parsleyrun-deadline-ms": String(ROUTE_TIMEOUT_MS) };
        const answer = deployment.call({ path, id: "endless-1", headers });
        const written = (): readonly number[] => [...deployment.targets.values()].map(target => target.endlessBytes);
        const closed = (): number =>
            [...deployment.targets.values()].reduce((sum, { endlessClosed }) => sum + endlessClosed, 0);
        await vi.waitFor(() => expect(closed()).toBe(1), CLOSED_WITHIN_MS);
        expect(Math.max(...written())).toBeLessThan(MOST_BYTES);
        const { status, complete } = await answer;
        expect(status === 200 && complete).toBe(false);
        expect([200, 500, 502]).toContain(status);
    });
});
