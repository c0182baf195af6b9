/** A request that cannot be written as HTTP is rejected; before, it ended the process with all open requests. */
import { createServer } from "node:http";
import { connect } from "node:net";
import { afterEach, describe, expect, it, vi } from "vitest";
import { NEVER_ABORTED, sendAttempt } from "../../src/gateway/attempt.js";
import { Exchange } from "../../src/gateway/exchange.js";
import { Departure } from "../../src/model/departure.js";
import { Deadline } from "../../src/model/index.js";
import { StandInTarget } from "../platform/standintarget.js";
import { freeAddress } from "../processes/daemons.js";
import { CONFIGURATION, Deployment } from "./harness.js";
import { RawCaller, requestHead } from "./rawcaller.js";

let deployment: Deployment | undefined;

afterEach(async () => {
    await deployment?.close();
    deployment = undefined;
});

/** Sends a request as text, which may hold what `http.request` refuses; resolves to the status line. */
function callWithText(address: string, path: string): Promise<string> {
    const [host = "", port = ""] = address.split(":");
    return new Promise((resolve, reject) => {
        let text = "";
        const socket = connect(Number(port), host, () => {
            socket.write(
                `POST ${path} HTTP/1.1\r\nhost: desk.example\r\nx-parsleyrun-request-id: odd\r\n` +
                    "authorization: Token good-key\r\nconnection: close\r\ncontent-length: 0\r\n\r\n",
            );
        });
        socket.on("data", chunk => (text += chunk.toString()));
        socket.on("error", reject);
        socket.on("close", () => resolve(text.split("\r\n")[0] ?? ""));
    });
}

/** Whether a log line tells that request "odd" was rejected before an attempt, by the parser or by the gateway. */
function isRejection(line: Readonly<Record<string, unknown>>, caller: RegExp): boolean {
    if (line.id !== "odd") return false;
    if (line.message === "request ended") return line.outcome === "rejected" && line.attempts === 0;
    const isParsers = line.message === "request not read" && line.reason === "HPE_INVALID_URL" && line.status === 400;
    return isParsers && caller.test(String(line.caller));
}

const unsendablePaths = ["/check/\t1", "/check/\f1", "/book/\t1", "/chat/\t1", "/draft/\t1"];

/** Whether the targets have got nothing and are not blamed, and the gateway serves the next request. */
async function expectSoundNeighbour(deployment: Deployment): Promise<void> {
    expect([...deployment.targets.values()].flatMap(({ arrivals }) => arrivals)).toEqual([]);
    expect((await deployment.call({ path: "/book/1", id: "sound" })).status).toBe(200);
    expect(deployment.linesOf("target unreachable")).toEqual([]);
}

// Builds of Node's parser differ in whether they take these paths.
describe("a path that cannot be sent on", () => {
    it.each(unsendablePaths)("%j is rejected", async path => {
        deployment = await Deployment.start({ bookings: 2, engines: 1 });
        const address = deployment.callers[0] ?? "";
        expect(await callWithText(address, path)).toBe("HTTP/1.1 400 Bad Request");
        const rejections = (): unknown =>
            deployment?.lines.filter(line => isRejection(line, /^127\.0\.0\.1:\d+$/)).length;
        await vi.waitFor(() => expect(rejections()).toBe(1));
        await expectSoundNeighbour(deployment);
    });

    it.each(unsendablePaths)("%j is rejected by the gateway if the parser takes it", async path => {
        deployment = await Deployment.start({ bookings: 2, engines: 1 });
        const { context } = deployment.gateways[0]?.gateway ?? {};
        const server = createServer((request, response) => {
            request.url = path;
            const closesConnection = (): boolean => true;
            if (context === undefined) return;
            const receivedAt = performance.now();
            const connection = {
                hasWaiting: false,
                openedAt: receivedAt,
                acceptingMs: 0,
                departure: Departure.of(request.socket),
                watchInput: () => () => Promise.resolve(),
                catchUp: () => Promise.resolve(),
            };
            void Exchange.serve(context, { request, response, receivedAt, connection, closesConnection });
        });
        const address = await freeAddress();
        await new Promise<void>(resolve => server.listen(Number(address.split(":")[1]), "127.0.0.1", resolve));
        try {
            expect(await callWithText(address, "/check/1")).toBe("HTTP/1.1 400 Bad Request");
        } finally {
            server.close();
        }
        const ended = (): unknown => deployment?.linesOf("request ended", "odd");
        await vi.waitFor(() => expect(ended()).toMatchObject([{ outcome: "rejected", status: 400, attempts: 0 }]));
        expect(deployment.linesOf("request not sendable", "odd")).toHaveLength(1);
        await expectSoundNeighbour(deployment);
    });
});

describe("bytes that the parser rejects", () => {
    it.each([
        { case: "alone", before: "", status: 400 },
        {
            case: "behind a request in the same read",
            before: requestHead("GET", "/check/1", "first"),
            status: undefined,
        },
    ])("are logged with the id of their request, $case", async ({ before, status }) => {
        deployment = await Deployment.start({ bookings: 1 });
        const caller = await RawCaller.connect(deployment.callers[0] ?? "");
        caller.write(before + requestHead("GET", "/check/2 with spaces", "odd"));
        expect(await caller.ended()).toBe("end");
        await vi.waitFor(() => expect(deployment?.linesOf("request not read", "odd")).toHaveLength(1));
        const [line] = deployment.linesOf("request not read");
        expect(line).toMatchObject({ party: "callers", reason: expect.stringMatching(/^HPE_/) as string });
        expect(line?.status).toBe(status);
        caller.close();
    });
});

describe("an account whose name no header can hold", () => {
    it("has its requests rejected", async () => {
        const configuration = { ...CONFIGURATION, Tenants: [{ Name: "a\r\nb: c", ApiKeys: ["good-key"] }] };
        deployment = await Deployment.start({ bookings: 1 }, 1, configuration);
        expect((await deployment.call({ path: "/book/1" })).status).toBe(400);
        expect((await deployment.call({ path: "/public/1", key: undefined })).status).toBe(200);
    });
});

describe("an attempt", () => {
    it.each([
        { case: "a path with a control character", change: { path: "/\u0000" } },
        { case: "a path beyond Latin-1", change: { path: "/\u20ac" } },
        { case: "a method that is none", change: { method: "A B" } },
        { case: "a header with a line break", change: { headers: ["a", "b\r\nc: d"] } },
        { case: "a header beyond Latin-1", change: { headers: ["a", "\u20ac"] } },
        { case: "a header without a name", change: { headers: ["", "b"] } },
    ])("with $case is unsendable", async ({ change }) => {
        const target = await StandInTarget.start("a");
        const request = { address: target.address, method: "GET", path: "/", headers: [], body: undefined, ...change };
        const limits = { deadline: Deadline.after(1_000), signal: NEVER_ABORTED };
        expect(await sendAttempt(request, limits)).toMatchObject({ kind: "unsendable" });
        expect(target.arrivals).toEqual([]);
        target.close();
    });
});
