/**
 * Answers of targets whose status is no final status of HTTP. They must not reach a caller, and what they state must not
 * count: a target that fails in this way may have run the request.
 */
import { afterEach, describe, expect, it } from "vitest";
import type { Arrival } from "../platform/standintarget.js";
import { Deployment } from "./harness.js";

let deployment: Deployment;

afterEach(() => deployment.close());

/** Status lines, each without its line end. */
const STATUS_LINES: readonly string[] = [
    "HTTP/1.1 000 Nothing",
    "HTTP/1.1 0 Nothing",
    "HTTP/1.1 99 Nothing",
    "HTTP/1.1 099 Nothing",
    "HTTP/1.1 100 Continue",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 103 Early Hints",
    "HTTP/1.1 199 Provisional",
    "HTTP/1.1 600 Much",
    "HTTP/1.1 799 Much",
    "HTTP/1.1 999 Much",
    "HTTP/1.1 1000 Much",
    "HTTP/1.1 0200 OK",
    "HTTP/1.1 -200 OK",
    "HTTP/1.1 65736 OK",
    "HTTP/1.1 abc OK",
    "HTTP/1.1 2x0 OK",
    "HTTP/1.1 200OK",
    "HTTP/1.1  OK",
    "HTTP/1.1 ",
    "HTTP/1.1",
    "200 OK",
];

/** Headers that would make the gateway take the answer for a refusal, and send the request to another target. */
const REFUSAL = "x-parsleyrun-not-executed: 1\r\n";

const EVENT = "id: 1\ndata: uncounted\n\n";

function headerLines(id: string, isRefusal: boolean): string {
    const own = `x-parsleyrun-request-id: ${id}\r\nx-parsleyrun-server-stamp: s\r\n`;
    return own + (isRefusal ? REFUSAL : "");
}

/** Starts targets of which the first to get a request answers it with a status line, and all others properly. */
async function startWithFirst(service: string, answer: (arrival: Arrival) => string): Promise<() => number> {
    deployment = await Deployment.start({ [service]: 3 });
    let arrivals = 0;
    for (const target of deployment.targets.values()) {
        target.behaviour = arrival => {
            arrivals += 1;
            if (arrivals === 1) return { kind: "raw", text: answer(arrival) };
            return service === "bookings" ? { kind: "answer" } : { kind: "stream", events: 2 };
        };
    }
    return () => arrivals;
}

const ROUTES = [
    { path: "/book/1", service: "bookings", status: 502, arrivals: 1 },
    { path: "/check/1", service: "bookings", status: 200, arrivals: 2 },
    { path: "/draft/1", service: "engines", status: 502, arrivals: 1 },
    { path: "/chat/1", service: "engines", status: 200, arrivals: 2 },
] as const;

describe.each(ROUTES)("$path is answered with $status after", ({ path, service, status, arrivals }) => {
    it.each(STATUS_LINES)("'%s'", async line => {
        const count = await startWithFirst(
            service,
            ({ id }) => `${line}\r\n${headerLines(id, false)}content-length: ${EVENT.length}\r\n\r\n${EVENT}`,
        );
        const answer = await deployment.call({ path, body: "b" });
        expect(answer).toMatchObject({ status, complete: true });
        expect(answer.body).not.toContain("uncounted");
        expect(count()).toBe(arrivals);
    });

    // A body that ends with the connection, as after a status that has none.
    it.each(["HTTP/1.1 000 Nothing", "HTTP/1.1 100 Continue", "HTTP/1.1 600 Much", "HTTP/1.1 999 Much"])(
        "'%s' without a length",
        async line => {
            const count = await startWithFirst(service, ({ id }) => `${line}\r\n${headerLines(id, false)}\r\n${EVENT}`);
            const answer = await deployment.call({ path, body: "b" });
            expect(answer).toMatchObject({ status, complete: true });
            expect(answer.body).not.toContain("uncounted");
            expect(count()).toBe(arrivals);
        },
    );
});

describe("a refusal whose status is none does not show that the request was not run", () => {
    it.each(
        ["HTTP/1.1 000 Nothing", "HTTP/1.1 600 Much", "HTTP/1.1 999 Much", "HTTP/1.1 1000 Much"].flatMap(line => [
            { line, path: "/book/1", service: "bookings" },
            { line, path: "/draft/1", service: "engines" },
        ]),
    )("'$line' on $path", async ({ line, path, service }) => {
        const count = await startWithFirst(
            service,
            ({ id }) => `${line}\r\n${headerLines(id, true)}content-length: 0\r\n\r\n`,
        );
        expect((await deployment.call({ path, body: "b" })).status).toBe(502);
        expect(count()).toBe(1);
    });
});

it.each([200, 299, 304, 404, 499, 500, 599])("the status %i is passed on", async status => {
    deployment = await Deployment.start({ bookings: 1 });
    deployment.target("bookings-0").behaviour = () => ({ kind: "answer", status, body: "" });
    expect((await deployment.call({ path: "/book/1", body: "b" })).status).toBe(status);
});
