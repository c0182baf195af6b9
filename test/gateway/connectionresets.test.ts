/**
 * An answer without a length ends with its connection. If its target breaks off and resets the connection, the half that has
 * arrived must not pass as the whole answer: Node reports an orderly end if the reset is there when the last bytes are read.
 */
import { Agent } from "node:http";
import { createServer, type Server, type Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { NEVER_ABORTED, sendAttempt, sendOnPooledConnection } from "../../src/gateway/attempt.js";
import { Deadline } from "../../src/model/index.js";
import { pause } from "../../src/model/pause.js";
import { type ConnectionEnding, endConnection } from "../platform/standintarget.js";
import { listen } from "../platform/listening.js";
import { Deployment } from "./harness.js";

const HEAD = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";

let server: Server | undefined;
let deployment: Deployment | undefined;

afterEach(async () => {
    server?.close();
    server = undefined;
    await deployment?.close();
    deployment = undefined;
});

/** Starts a server that answers each request with `bytes` and ends the connection. */
async function startServer(bytes: string, ending: ConnectionEnding): Promise<string> {
    server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => socket.write(bytes, () => endConnection[ending](socket)));
    });
    return listen(server);
}

function block(milliseconds: number): void {
    for (const end = performance.now() + milliseconds; performance.now() < end;);
}

/** How an answer is read. */
const READERS: Readonly<Record<string, () => Promise<void> | undefined>> = {
    "reads at once": () => undefined,
    "is busy for a while": () => pause(5),
    "blocks the process": () => {
        block(60);
        return undefined;
    },
};

const BODIES = { "half a body": "half of the ans", "no body": "", "a long body": "x".repeat(300_000) };

const ENDINGS: readonly { readonly ending: ConnectionEnding; readonly kind: "complete" | "broken" }[] = [
    { ending: "end", kind: "complete" },
    { ending: "endAndClose", kind: "complete" },
    { ending: "resetAtOnce", kind: "broken" },
    { ending: "resetLater", kind: "broken" },
];

const READS = ENDINGS.flatMap(({ ending, kind }) =>
    Object.entries(BODIES).flatMap(([body, bytes]) =>
        Object.entries(READERS).map(([reader, onChunk]) => ({ ending, kind, body, bytes, reader, onChunk })),
    ),
);

describe("an answer without a length", () => {
    it.each(READS)("with $body and '$ending' is $kind to a reader that $reader", async read => {
        const address = await startServer(HEAD + read.bytes, read.ending);
        const limits = { deadline: Deadline.after(5_000), signal: NEVER_ABORTED };
        const request = { address, method: "GET", path: "/", headers: [], body: undefined };
        const attempt = await sendAttempt(request, limits);
        if (attempt.kind !== "answered") {
            // The reset has discarded the head.
            expect(read.kind).toBe("broken");
            return;
        }
        let bytes = "";
        const onChunk = (chunk: Buffer): Promise<void> | undefined => {
            bytes += chunk.toString();
            return read.onChunk();
        };
        expect((await attempt.body.read({ ...limits, onChunk })).kind).toBe(read.kind);
        if (read.kind === "complete") expect(bytes).toBe(read.bytes);
    });
});

describe("a body that ends with its head", () => {
    it.each([
        { case: "204", method: "GET", head: "HTTP/1.1 204 No Content\r\n\r\n" },
        { case: "a response to HEAD", method: "HEAD", head: "HTTP/1.1 200 OK\r\n\r\n" },
        { case: "one with a length", method: "GET", head: "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok" },
        {
            case: "one in chunks",
            method: "GET",
            head: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        },
    ])("or whose end is marked is complete though its connection is reset: $case", async ({ method, head }) => {
        const address = await startServer(head, "resetAtOnce");
        const limits = { deadline: Deadline.after(5_000), signal: NEVER_ABORTED };
        const attempt = await sendAttempt({ address, method, path: "/", headers: [], body: undefined }, limits);
        if (attempt.kind !== "answered") throw new Error(attempt.kind);
        expect(await attempt.body.read({ ...limits, onChunk: () => undefined })).toEqual({ kind: "complete" });
    });
});

it("a connection that is used again keeps no listeners of earlier answers", async () => {
    const sockets = new Set<Socket>();
    server = createServer(socket => {
        sockets.add(socket);
        socket.on("data", () => socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"));
    });
    const address = await listen(server);
    const agent = new Agent({ keepAlive: true });
    const limits = { deadline: Deadline.after(5_000), signal: NEVER_ABORTED };
    const counts: number[] = [];
    for (let call = 0; call < 20; call += 1) {
        const request = { address, method: "GET", path: "/", headers: [], body: undefined };
        const attempt = await sendOnPooledConnection(agent, request, limits);
        if (attempt.kind !== "answered") throw new Error(attempt.kind);
        await attempt.body.read({ ...limits, onChunk: () => undefined });
        await pause(1);
        const [socket] = Object.values(agent.freeSockets)[0] ?? [];
        counts.push((socket?.listenerCount("end") ?? 0) + (socket?.listenerCount("error") ?? 0));
    }
    expect(sockets.size).toBe(1);
    expect(counts.at(-1)).toBe(counts[0]);
    agent.destroy();
    for (const socket of sockets) socket.destroy();
});

const EVENTS = [1, 2, 3, 4].map(id => `id: ${id}\ndata: event ${id}\n\n`);
const TWO_EVENTS = EVENTS.slice(0, 2).join("");

/** What a caller gets if its first target breaks off, on routes that may be retried, resumed, or neither. */
const CALLS: readonly {
    readonly path: string;
    readonly service: "bookings" | "engines";
    readonly body: string;
    readonly answer: Readonly<Record<string, unknown>>;
    readonly arrivals: number;
}[] = [
    { path: "/check/1", service: "bookings", body: "half of the ans", answer: { status: 200 }, arrivals: 2 },
    { path: "/check/1", service: "bookings", body: "", answer: { status: 200 }, arrivals: 2 },
    { path: "/book/1", service: "bookings", body: "half of the ans", answer: { status: 502 }, arrivals: 1 },
    { path: "/book/1", service: "bookings", body: "", answer: { status: 502 }, arrivals: 1 },
    {
        path: "/chat/1",
        service: "engines",
        body: TWO_EVENTS,
        answer: { status: 200, complete: true, body: EVENTS.join("") },
        arrivals: 2,
    },
    {
        path: "/chat/1",
        service: "engines",
        body: `${TWO_EVENTS}id: 3\nda`,
        answer: { status: 200, complete: true, body: EVENTS.join("") },
        arrivals: 2,
    },
    {
        path: "/chat/1",
        service: "engines",
        body: "",
        answer: { status: 200, complete: true, body: EVENTS.join("") },
        arrivals: 2,
    },
    {
        path: "/draft/1",
        service: "engines",
        body: TWO_EVENTS,
        answer: { status: 200, complete: false, body: TWO_EVENTS },
        arrivals: 1,
    },
    {
        path: "/draft/1",
        service: "engines",
        body: `${TWO_EVENTS}id: 3\nda`,
        answer: { status: 200, complete: false, body: TWO_EVENTS },
        arrivals: 1,
    },
];

describe.each<ConnectionEnding>(["resetAtOnce", "resetLater"])(
    "a target that breaks off without a length, '%s'",
    ending => {
        it.each(CALLS)("after '$body' on $path", async ({ path, service, body, answer, arrivals }) => {
            deployment = await Deployment.start({ [service]: 2 });
            let attempts = 0;
            for (const target of deployment.targets.values()) {
                target.behaviour = ({ headers }) => {
                    attempts += 1;
                    if (attempts === 1) return { kind: "withoutLength", body, ending };
                    const after = Number(headers["last-event-id"] ?? 0);
                    return service === "bookings"
                        ? { kind: "answer" }
                        : { kind: "withoutLength", body: EVENTS.slice(after).join(""), ending: "end" };
                };
            }
            const received = await deployment.call({ path, body: "b" });
            expect(received).toMatchObject(answer);
            expect(received.body).not.toBe("half of the ans");
            expect(attempts).toBe(arrivals);
        });
    },
);
