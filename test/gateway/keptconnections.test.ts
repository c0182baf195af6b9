/** Responses that leave their connection usable: one that is closed after them costs the caller a new connection. */
import { afterEach, describe, expect, it } from "vitest";
import { Deployment } from "./harness.js";
import { RawCaller, requestHead } from "./rawcaller.js";

let deployment: Deployment;
let caller: RawCaller;

afterEach(async () => {
    caller.close();
    await deployment.close();
});

async function start(firstResponse = ""): Promise<void> {
    deployment = await Deployment.start({ bookings: 1 });
    deployment.target("bookings-0").behaviour = ({ id }) =>
        id === "first" ? { kind: "raw", text: firstResponse } : { kind: "answer" };
    caller = await RawCaller.connect(deployment.callers[0] ?? "");
}

/** Sends a second request on the connection after the head of the first response, which must not close it. */
async function expectKept(): Promise<string> {
    await caller.readHeads(1);
    const first = caller.text;
    expect(first).not.toMatch(/^connection: close\r$/im);
    caller.write(requestHead("GET", "/check/2", "second"));
    await caller.readHeads(2);
    expect(caller.text.slice(first.length)).toMatch(/^HTTP\/1\.1 200 OK\r\n/);
    await expect.poll(() => caller.text.endsWith("answer to second")).toBe(true);
    return first;
}

const OWN = "x-parsleyrun-request-id: first\r\nx-parsleyrun-server-stamp: s\r\n";

describe("a connection is kept after a response without a body:", () => {
    it.each([
        { case: "204 without a length", method: "GET", head: "204 No Content\r\n" },
        { case: "304 without a length", method: "GET", head: "304 Not Modified\r\netag: a\r\n" },
        {
            case: "304 with the length of what it stands for",
            method: "GET",
            head: "304 Not Modified\r\ncontent-length: 9\r\n",
        },
        { case: "to HEAD without a length", method: "HEAD", head: "200 OK\r\n" },
        { case: "to HEAD, in chunks", method: "HEAD", head: "200 OK\r\ntransfer-encoding: chunked\r\n" },
        { case: "to HEAD, from a target that closes", method: "HEAD", head: "200 OK\r\nconnection: close\r\n" },
        { case: "to HEAD with a length", method: "HEAD", head: "200 OK\r\ncontent-length: 9\r\n" },
    ])("$case", async ({ method, head }) => {
        await start(`HTTP/1.1 ${head}${OWN}\r\n`);
        caller.write(requestHead(method, "/check/1", "first"));
        const response = await expectKept();
        expect(response.startsWith(`HTTP/1.1 ${head.split("\r\n")[0]}\r\n`)).toBe(true);
        // No length may be made up: it would be that of the body which the response stands for.
        const lengths = /^content-length: \d+\r$/im;
        expect(lengths.exec(response)?.[0]).toBe(lengths.exec(head)?.[0]);
    });
});

describe("a connection is kept after the refusal of a request without a body:", () => {
    it.each<{
        case: string;
        status: number;
        method?: string;
        path?: string;
        headers?: Record<string, string | number>;
    }>([
        { case: "an unknown route", status: 404, path: "/gone/1" },
        {
            case: "an unknown route, with a length of 0",
            status: 404,
            method: "POST",
            path: "/gone/1",
            headers: { "content-length": 0 },
        },
        { case: "an unknown key", status: 401, headers: { authorization: "Token gone" } },
        { case: "a long head", status: 431, headers: { filler: "x".repeat(5_000) } },
    ])("$case ($status)", async ({ status, method = "GET", path = "/check/1", headers }) => {
        await start();
        caller.write(requestHead(method, path, "request-1", headers));
        expect(await expectKept()).toMatch(new RegExp(`^HTTP/1\\.1 ${status} `));
    });
});
