/**
 * Answers that a target begins while the gateway still sends the request, and breaks off. Node takes the end of the connection
 * for the end of a body without a length, so callers could get a part of an answer as the whole one.
 */
import { createServer, type Server, type Socket } from "node:net";
import { afterEach, describe, expect, it, vi } from "vitest";
import { HttpEngine } from "../../src/agent/engineclient.js";
import { NEVER_ABORTED, sendAttempt } from "../../src/gateway/attempt.js";
import { MemoryAccount } from "../../src/memory/index.js";
import { Deadline } from "../../src/model/index.js";
import { PlatformStore } from "../../src/platform/store.js";
import { PeerCalls } from "../../src/stages/index.js";
import { CallCounter } from "../../src/store/index.js";
import { listen } from "../platform/listening.js";
import { type ConnectionEnding, endConnection } from "../platform/standintarget.js";
import { CONFIGURATION, Deployment } from "./harness.js";

/** Half of it exceeds what the buffers of both sockets take together (about 10 MB on Linux). */
const LONG_UPLOAD = Buffer.alloc(32_000_000, "x");

/** Fits into the socket buffers, so that the gateway has sent it when the answer begins. */
const SHORT_UPLOAD = Buffer.alloc(60_000, "x");

/** Upload of the callers in tests with a gateway. */
const CALLER_UPLOAD_BYTES = 12_000_000;

const servers: Server[] = [];
const sockets = new Set<Socket>();
let deployment: Deployment | undefined;

afterEach(async () => {
    for (const server of servers.splice(0)) server.close();
    for (const socket of sockets) socket.destroy();
    sockets.clear();
    await deployment?.close();
    deployment = undefined;
});

interface Answer {
    readonly text: string;
    readonly ending: ConnectionEnding;
}

/** Time in milliseconds in which the gateway learns that the kernel has taken its last bytes. */
const SENDING_MS = 20;

/**
 * Starts a server that reads some bytes of each request, writes an answer, reads no more and ends the connection. Returns its
 * address.
 */
async function startServer(readBytes: number, nextAnswer: () => Answer): Promise<string> {
    const server = createServer({ allowHalfOpen: true }, socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        let received = 0;
        const receive = (chunk: Buffer): void => {
            received += chunk.length;
            if (received < readBytes) return;
            socket.off("data", receive).pause();
            const { text, ending } = nextAnswer();
            setTimeout(() => socket.write(text, () => endConnection[ending](socket)), SENDING_MS);
        };
        socket.on("data", receive);
    });
    servers.push(server);
    return listen(server);
}

/** Answers of which the last bytes are missing, or may be. */
const HEADS = {
    "without a length": "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n",
    "with a length that is too long": "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n",
    "in chunks without the last one": "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nb\r\n",
} as const;

const PART = "half of the";

const UPLOADS = [
    { upload: "the first bytes of a long upload", body: LONG_UPLOAD, read: 1, isSent: false },
    { upload: "half of a long upload", body: LONG_UPLOAD, read: LONG_UPLOAD.length / 2, isSent: false },
    { upload: "a long upload but 1 byte", body: LONG_UPLOAD, read: LONG_UPLOAD.length - 1, isSent: true },
    { upload: "the first bytes of a short upload", body: SHORT_UPLOAD, read: 1, isSent: true },
    { upload: "half of a short upload", body: SHORT_UPLOAD, read: SHORT_UPLOAD.length / 2, isSent: true },
    { upload: "a short upload", body: SHORT_UPLOAD, read: SHORT_UPLOAD.length, isSent: true },
] as const;

/** Sends a request and reads its answer to the end. */
async function outcomeOf(address: string, body: Buffer): Promise<string> {
    const limits = { deadline: Deadline.after(10_000), signal: NEVER_ABORTED };
    const headers = ["content-length", String(body.length)];
    const attempt = await sendAttempt({ address, method: "POST", path: "/", headers, body }, limits);
    if (attempt.kind !== "answered") return attempt.kind;
    return (await attempt.body.read({ ...limits, onChunk: () => undefined })).kind;
}

const ENDINGS: readonly ConnectionEnding[] = ["end", "endAndClose", "resetAtOnce", "resetLater"];

/**
 * Outcomes of an answer. One without a length is complete if its connection ends in order after the request was handed to the
 * kernel: it looks like the answer of a target that does not read its requests to the end. A close that follows discards what
 * the target has not read and resets the connection, which is seen if it comes in time.
 */
function expectedOutcomes(name: string, ending: ConnectionEnding, isSent: boolean): readonly string[] {
    if (name !== "without a length" || !isSent || ending.startsWith("reset")) return ["broken"];
    return ending === "end" ? ["complete"] : ["complete", "broken"];
}

describe.each(Object.entries(HEADS))("an answer %s", (name, head) => {
    describe.each(ENDINGS)("that ends with '%s'", ending => {
        it.each(UPLOADS)("after $upload", async ({ body, read, isSent }) => {
            const address = await startServer(read, () => ({ text: head + PART, ending }));
            expect(expectedOutcomes(name, ending, isSent)).toContain(await outcomeOf(address, body));
        });
    });
});

describe("a whole answer to a request that is still being sent", () => {
    it.each([
        { answer: "with a length", text: "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok" },
        {
            answer: "in chunks",
            text: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        },
        // Servers refuse a long body in this way, and a refusal without its last bytes does no harm.
        { answer: "that refuses it without a length", text: "HTTP/1.1 413 Too Long\r\nconnection: close\r\n\r\nno" },
    ])("$answer is complete", async ({ text }) => {
        const address = await startServer(1, () => ({ text, ending: "end" }));
        expect(await outcomeOf(address, LONG_UPLOAD)).toBe("complete");
    });
});

/** Calls of other clients with a long request, and their outcomes if the answer breaks off while it is sent. */
const CLIENTS: readonly {
    readonly client: string;
    readonly part: string;
    readonly outcome: string;
    readonly call: (address: string) => Promise<{ readonly kind: string }>;
}[] = [
    {
        client: "a write to the platform's store",
        part: "",
        outcome: "unknown",
        call: async address => {
            const store = PlatformStore.create({ address, ledger: CallCounter.create(), timeoutMilliseconds: 5_000 });
            return store.write("p/a", JSON.stringify(LONG_UPLOAD.toString()), 3).finally(() => store.close());
        },
    },
    {
        client: "an order to an engine",
        part: "",
        outcome: "unavailable",
        call: async address => {
            const engine = HttpEngine.create(address);
            const order = { fencing: 1, kind: "loadAdapter", name: LONG_UPLOAD.toString() } as const;
            return engine.order(order).finally(() => engine.close());
        },
    },
    {
        client: "a call to another gateway",
        part: "{}",
        outcome: "failed",
        call: async address => {
            const peer = { name: "b", zone: "z", address, capacity: { processors: 1, linkMegabits: 1_000 } };
            const calls = PeerCalls.create(MemoryAccount.create({ maximumBytes: 1_000_000 }));
            const limits = { deadline: Deadline.after(5_000), signal: NEVER_ABORTED };
            return calls.call(peer, "/news", LONG_UPLOAD.toString(), limits).finally(() => calls.close());
        },
    },
];

describe.each(ENDINGS)("an answer without a length that breaks off during a long request, '%s'", ending => {
    it.each(CLIENTS)("to $client ends as '$outcome'", async ({ call, part, outcome }) => {
        const text = HEADS["without a length"] + part;
        const address = await startServer(1, () => ({ text, ending }));
        expect((await call(address)).kind).toBe(outcome);
    });
});

const EVENT = "id: 1\ndata: part of it\n\n";
const WHOLE: Answer = { text: "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole", ending: "end" };

/** What a caller gets whose first target breaks off during the upload, and how many targets get the request. */
const CALLS = [
    { path: "/book/1", service: "bookings", part: PART, answer: { status: 502, complete: true }, attempts: 1 },
    { path: "/check/1", service: "bookings", part: PART, answer: { status: 200, body: "whole" }, attempts: 2 },
    { path: "/draft/1", service: "engines", part: EVENT, answer: { complete: false }, attempts: 1 },
    { path: "/draft/1", service: "engines", part: "", answer: { status: 502, complete: true }, attempts: 1 },
] as const;

describe.each(ENDINGS)("a target that breaks off an answer without a length during an upload, '%s'", ending => {
    it.each(CALLS)("on $path after '$part'", async ({ path, service, part, answer, attempts }) => {
        const limits = { ...CONFIGURATION.Limits, MaxBodyBytes: 2 * CALLER_UPLOAD_BYTES };
        deployment = await Deployment.start({ [service]: 2 }, 1, { ...CONFIGURATION, Limits: limits });
        let count = 0;
        const nextAnswer = (): Answer => (count++ === 0 ? { text: HEADS["without a length"] + part, ending } : WHOLE);
        const { targets } = deployment.gateways[0]?.gateway.context ?? {};
        for (const id of [`${service}-0`, `${service}-1`]) {
            const address = await startServer(1, nextAnswer);
            deployment.register(service, id, { Address: address, Seqno: 2 });
            await vi.waitFor(() => expect(targets?.findByAddress(address)).toBeDefined());
        }
        const received = await deployment.call({ path, body: "x".repeat(CALLER_UPLOAD_BYTES) });
        // A reset may discard the event before it was read.
        const isDiscarded = ending.startsWith("reset") && part === EVENT && received.status === 502;
        if (!isDiscarded) expect(received).toMatchObject(answer);
        expect(received.body).not.toContain(PART);
        expect(count).toBe(attempts);
    });
});
