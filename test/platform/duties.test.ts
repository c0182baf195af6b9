/**
 * Calls that are the duty of one gateway at a time, on the wire.
 *
 * Guards against calls that are written after the duty has passed on, and bytes that arrive after a call was given up.
 */
import { createServer, type Server, type Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { DutyCall, DutyCallOptions } from "../../src/duties/index.js";
import { pause } from "../../src/model/pause.js";
import { callPlatform } from "../../src/platform/duties.js";
import { listen } from "./listening.js";

const USAGE: DutyCall = { kind: "usage", windowId: 7, counts: { a: 2 } };
const SCALE: DutyCall = { kind: "scale", service: "s", zone: "z", desired: 3 };

let server: Server;
let address: string;
let received: string;
let connections: Socket[];
let answer: string | undefined;

beforeEach(async () => {
    received = "";
    connections = [];
    answer = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    server = createServer(socket => {
        connections.push(socket);
        socket.on("error", () => undefined);
        socket.on("data", (bytes: Buffer) => {
            received += bytes.toString();
            if (answer !== undefined) socket.write(answer);
        });
    });
    address = await listen(server);
});
afterEach(() => {
    for (const socket of connections) socket.destroy();
    server.close();
});

function options(change: Partial<DutyCallOptions> = {}): DutyCallOptions {
    return { address, holder: "edge-1", fencing: 4_294_967_300, timeoutMs: 300, mayAct: () => true, ...change };
}

describe("a call to the platform", () => {
    it.each<[string, DutyCall, string, string]>([
        ["usage", USAGE, "/usage", '{"WindowId":7,"Counts":{"a":2}}'],
        ["a number of targets", SCALE, "/scale", '{"Service":"s","Zone":"z","Desired":3}'],
    ])("names its holder and token, and has %s", async (_, call, path, body) => {
        expect(await callPlatform(call, options())).toEqual({ kind: "accepted" });
        const [head = "", content] = received.split("\r\n\r\n");
        expect(head.startsWith(`POST ${path} HTTP/1.1\r\n`)).toBe(true);
        expect(head.toLowerCase()).toContain("x-parsleyrun-duty-holder: edge-1");
        expect(head.toLowerCase()).toContain("x-parsleyrun-fencing-token: 4294967300");
        expect(content).toBe(body);
    });

    it.each<[string, string | undefined, object]>([
        ["too many calls", "HTTP/1.1 429 No\r\ncontent-length: 0\r\n\r\n", { kind: "limited" }],
        ["a pause", "HTTP/1.1 429 No\r\nretry-after: 1.5\r\n\r\n", { kind: "limited", retryAfterMs: 1_500 }],
        ["an error", "HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n", { kind: "failed", reason: "status 503" }],
        ["another protocol", "nonsense\r\n\r\n", { kind: "failed", mayHaveArrived: true }],
        ["nothing", undefined, { kind: "failed", reason: "no answer in time", mayHaveArrived: true }],
    ])("that is answered with %s", async (_, text, expected) => {
        answer = text;
        expect(await callPlatform(USAGE, options())).toMatchObject(expected);
    });

    it("is not written when the duty has ended before its connection is open", async () => {
        const outcome = await callPlatform(USAGE, options({ mayAct: () => false }));
        expect(outcome).toMatchObject({ kind: "failed", mayHaveArrived: false });
        await pause(50);
        expect(received).toBe("");
    });

    it("to an address where nobody listens fails at once", async () => {
        const outcome = await callPlatform(USAGE, options({ address: "127.0.0.1:1" }));
        expect(outcome).toMatchObject({ kind: "failed", mayHaveArrived: false });
    });

    it("is reset when it is given up, so that nothing of it arrives later", async () => {
        const errors: string[] = [];
        answer = undefined;
        server.prependListener("connection", (socket: Socket) => {
            socket.on("error", (error: NodeJS.ErrnoException) => errors.push(error.code ?? ""));
        });
        await callPlatform(USAGE, options({ timeoutMs: 100 }));
        await pause(50);
        expect(errors).toEqual(["ECONNRESET"]);
    });
});
