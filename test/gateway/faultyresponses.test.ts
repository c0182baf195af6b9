/**
 * Responses that faulty targets write: a refusal of another request, an error in place of the rest of a stream, half a head.
 * Callers must not be told that a request was not run, nor get bytes that are not the response to it.
 */
import { afterEach, describe, expect, it } from "vitest";
import type { Behaviour } from "../platform/standintarget.js";
import { Deployment } from "./harness.js";

let deployment: Deployment;

afterEach(() => deployment.close());

function scriptBehaviours(service: string, behaviours: readonly Behaviour[]): void {
    let count = 0;
    for (const target of deployment.targets.values()) {
        if (!target.id.startsWith(service)) continue;
        target.behaviour = () => behaviours[count++] ?? (behaviours.at(-1) as Behaviour);
    }
}

function arrivalCount(): number {
    return [...deployment.targets.values()].reduce((sum, { arrivals }) => sum + arrivals.length, 0);
}

function response(status: string, headers: Readonly<Record<string, string>>, body = ""): string {
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    return `HTTP/1.1 ${status}\r\n${lines.join("")}\r\n${body}`;
}

const OWN = { "x-parsleyrun-request-id": "request-1", "x-parsleyrun-server-stamp": "stamp" };
const EVENTS = { ...OWN, "content-type": "text/event-stream" };

describe("a refusal of another request", () => {
    const refusal = (status: string): Behaviour => ({
        kind: "raw",
        text: response(status, {
            "x-parsleyrun-request-id": "earlier",
            "x-parsleyrun-not-executed": "1",
            "content-length": "0",
        }),
    });

    it.each([
        { path: "/book/1", service: "bookings", status: "503 Service Unavailable" },
        { path: "/book/1", service: "bookings", status: "429 Too Many Requests" },
        { path: "/draft/1", service: "engines", status: "503 Service Unavailable" },
        { path: "/draft/1", service: "engines", status: "409 Conflict" },
    ])("($status) does not show that $path was not run", async ({ path, service, status }) => {
        deployment = await Deployment.start({ bookings: 2, engines: 2 });
        scriptBehaviours(service, [refusal(status)]);
        const answer = await deployment.call({ path, body: "b" });
        expect(answer.status).toBe(502);
        expect(arrivalCount()).toBe(1);
    });

    it("does not become the response to a stream", async () => {
        deployment = await Deployment.start({ engines: 2 });
        const text = response("200 OK", { ...EVENTS, "x-parsleyrun-request-id": "earlier" }, "id: 1\ndata: other\n\n");
        scriptBehaviours("engines", [{ kind: "raw", text }]);
        const answer = await deployment.call({ path: "/draft/1", body: "b" });
        expect(answer.status).toBe(502);
        expect(answer.body).not.toContain("data: other");
    });
});

describe("an error in place of the rest of a stream", () => {
    const error = "the target has failed";
    it.each<{ name: string; text: string }>([
        {
            name: "with a status of its own",
            text: response("500 Internal Server Error", { ...OWN, "content-length": "23" }, `${error}\n\n`),
        },
        {
            name: "as text with status 200",
            text: response("200 OK", { ...OWN, "content-length": "23" }, `${error}\n\n`),
        },
        { name: "as an event stream", text: response("200 OK", { ...EVENTS, "content-length": "23" }, `${error}\n\n`) },
        {
            name: "with its whole head, within the body",
            text: response("200 OK", EVENTS, response("500 Internal Server Error", OWN, `${error}\n\n`)),
        },
        { name: "that repeats events", text: response("200 OK", EVENTS, `id: 1\ndata: ${error}\n\n`) },
    ])("$name does not reach the caller", async ({ text }) => {
        deployment = await Deployment.start({ engines: 2 });
        scriptBehaviours("engines", [
            { kind: "stream", events: 6, cutAfterBytes: 100 },
            { kind: "raw", text },
        ]);
        const answer = await deployment.call({ path: "/chat/1", body: "hello" });
        expect(answer).toMatchObject({ status: 200, complete: false });
        expect(answer.body).not.toContain(error);
        expect(answer.body).not.toContain("HTTP/");
        expect(answer.body).toMatch(/^(id: \d+\ndata: event \d+ of request-1\n\n)+$/);
    });

    it("after some of its events does not reach the caller, and the stream is resumed", async () => {
        deployment = await Deployment.start({ engines: 2 });
        const first = `id: 1\ndata: event 1 of request-1\n\n${response("500 Internal Server Error", OWN, `${error}\n\n`)}`;
        scriptBehaviours("engines", [
            { kind: "raw", text: response("200 OK", EVENTS, first) },
            { kind: "stream", events: 3 },
        ]);
        const answer = await deployment.call({ path: "/chat/1", body: "hello" });
        expect(answer).toMatchObject({ status: 200, complete: true });
        expect([...answer.body.matchAll(/^id: (\d+)$/gm)].map(match => match[1])).toEqual(["1", "2", "3"]);
        expect(answer.body).not.toContain("HTTP/");
    });
});

describe("a connection that is closed in the middle of a head", () => {
    const whole = response("200 OK", { ...EVENTS, "content-length": "100" });
    const cuts = [
        { where: "the status line", bytes: 11 },
        { where: "the first header's name", bytes: 25 },
        { where: "the last header's value", bytes: whole.length - 6 },
        { where: "the last header's line end", bytes: whole.length - 3 },
        { where: "the last line end", bytes: whole.length - 1 },
    ];
    it.each(
        cuts.flatMap(cut => [
            { ...cut, path: "/book/1", service: "bookings" },
            { ...cut, path: "/draft/1", service: "engines" },
        ]),
    )("in $where is no response to $path", async ({ path, service, bytes }) => {
        deployment = await Deployment.start({ bookings: 2, engines: 2 });
        scriptBehaviours(service, [{ kind: "raw", text: whole.slice(0, bytes) }]);
        const answer = await deployment.call({ path, body: "b" });
        expect(answer.status).toBe(502);
        expect(arrivalCount()).toBe(1);
    });

    it.each([
        { path: "/book/1", service: "bookings" },
        { path: "/draft/1", service: "engines" },
    ])("and before any content, without a length, is no response to $path", async ({ path, service }) => {
        deployment = await Deployment.start({ bookings: 2, engines: 2 });
        const headers = path === "/draft/1" ? EVENTS : OWN;
        scriptBehaviours(service, [{ kind: "raw", text: response("200 OK", headers) }]);
        const answer = await deployment.call({ path, body: "b" });
        expect(answer.status === 200 && answer.headers["content-length"] !== undefined).toBe(false);
        if (path === "/draft/1") expect(answer.status).toBe(502);
    });
});

describe("a response head that cannot be sent on", () => {
    it.each([
        { name: "status 099", status: "099 Odd", header: {} },
        { name: "status 000", status: "000 Odd", header: {} },
        { name: "status 1000", status: "1000 Odd", header: {} },
        { name: "a header without a name", status: "200 OK", header: { "": "b" } },
        { name: "a header name with a space", status: "200 OK", header: { "a b": "c" } },
        { name: "a header value with a control character", status: "200 OK", header: { a: "b\u0001c" } },
    ])("($name) leads to 502 and does not end the process", async ({ status, header }) => {
        deployment = await Deployment.start({ bookings: 1, engines: 1 });
        const body = "id: 1\ndata: x\n\n";
        const text = response(status, { ...OWN, ...header, "content-length": String(body.length) }, body);
        scriptBehaviours("", [{ kind: "raw", text }]);
        for (const path of ["/book/1", "/draft/1"]) {
            expect(await deployment.call({ path, body: "b" })).toMatchObject({ status: 502, complete: true });
        }
        expect(arrivalCount()).toBe(2);
    });

    it("for a control character in its reason phrase is sent on without it", async () => {
        deployment = await Deployment.start({ bookings: 1, engines: 1 });
        const body = "id: 1\ndata: x\n\n";
        const text = response("200 O\u0001K\u007f", { ...OWN, "content-length": String(body.length) }, body);
        scriptBehaviours("", [{ kind: "raw", text }]);
        for (const path of ["/book/1", "/draft/1"]) {
            expect(await deployment.call({ path, body: "b" })).toMatchObject({ status: 200, complete: true, body });
        }
    });
});
