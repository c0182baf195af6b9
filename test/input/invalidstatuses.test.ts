/**
 * Answers whose status is no final status of HTTP, to calls for pieces and releases of results, to calls between gateways, and
 * to the clients of the store and the engines. Nothing that such an answer states may count.
 */
import { createServer, type Server } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { HttpEngine } from "../../src/agent/engineclient.js";
import { NEVER_ABORTED } from "../../src/gateway/attempt.js";
import type { Target } from "../../src/gateway/target.js";
import { TargetDirectory } from "../../src/gateway/targetdirectory.js";
import { MemoryAccount } from "../../src/memory/index.js";
import { Deadline } from "../../src/model/index.js";
import { pause } from "../../src/model/pause.js";
import { platformDialect } from "../../src/platform/dialect.js";
import { PlatformStore } from "../../src/platform/store.js";
import { callForPieces, PeerCalls, releaseResults } from "../../src/stages/index.js";
import { CallCounter, HttpStore } from "../../src/store/index.js";
import { listen } from "../platform/listening.js";
import { piecesOf } from "../stages/pieces.js";

let server: Server;
let counter: CallCounter;
const closers: (() => void)[] = [];

beforeEach(() => (counter = CallCounter.create()));

afterEach(() => {
    server.close();
    for (const close of closers.splice(0)) close();
});

/** Starts a server that answers each request with a status line, headers and a body. */
async function startServer(line: string, headers: readonly string[], body: string): Promise<string> {
    server = createServer(socket => {
        socket.on("error", () => undefined);
        const head = [line, ...headers, `content-length: ${body.length}`];
        socket.once("data", () => socket.end(`${head.join("\r\n")}\r\n\r\n${body}`));
    });
    return listen(server);
}

function closedLater<Client extends { close(): void }>(client: Client): Client {
    closers.push(() => client.close());
    return client;
}

/** Outcome of a call, or `unsettled` if it has none long after its answer. */
function settled<Outcome>(outcome: Promise<Outcome>): Promise<Outcome | "unsettled"> {
    return Promise.race([outcome, pause(1_500).then(() => "unsettled" as const)]);
}

const memory = MemoryAccount.create({ maximumBytes: 10_000_000 });

function targetAt(address: string): { readonly targets: TargetDirectory; readonly target: Target } {
    const targets = TargetDirectory.create(
        () => undefined,
        () => 1,
    );
    const rest = { zone: "east", version: "v1", slots: 1, state: "available", coldRemainingMs: 0 } as const;
    targets.put({ id: "a", incarnation: 1, service: "encode", address, ...rest });
    const target = targets.findByAddress(address);
    if (target === undefined) throw new Error(`${address} is not registered`);
    return { targets, target };
}

async function pieceCallKind(address: string): Promise<string> {
    const { targets, target } = targetAt(address);
    const limits = { deadline: Deadline.after(2_000), signal: NEVER_ABORTED, onSent: () => undefined };
    const pieces = piecesOf("r", 1, { targetMs: 2_000, deadlineMs: 2_000 });
    return (await callForPieces({ dialect: platformDialect, targets, memory }, target, pieces, limits)).kind;
}

async function releaseKind(address: string): Promise<string> {
    const failure = await releaseResults(platformDialect, targetAt(address).target, ["handle"]);
    return failure === undefined ? "released" : "failed";
}

async function peerCallKind(address: string): Promise<string> {
    const peer = { name: "b", zone: "z", address, capacity: { processors: 1, linkMegabits: 1_000 } };
    const calls = closedLater(PeerCalls.create(memory));
    const limits = { deadline: Deadline.after(2_000), signal: NEVER_ABORTED };
    return (await calls.call(peer, "/news", "{}", limits)).kind;
}

const ENGINE_REQUEST = {
    ...{ id: "1", operation: "echo", input: "{}", maximumTokens: 4, priority: 0, prefixHash: "" },
    ...{ resumeAfter: 0, streaming: true, idempotencyKey: "" },
};

async function lastEngineEvent(address: string): Promise<string | undefined> {
    const engine = closedLater(HttpEngine.create(address));
    let last: string | undefined;
    for await (const { kind } of engine.execute(ENGINE_REQUEST, AbortSignal.timeout(5_000))) last = kind;
    return last;
}

async function engineOrder(address: string): Promise<string> {
    const engine = closedLater(HttpEngine.create(address));
    return (await engine.order({ fencing: 1, kind: "loadAdapter", name: "a" })).kind;
}

async function engineLoad(address: string): Promise<string> {
    const load = await closedLater(HttpEngine.create(address)).load();
    return load === undefined ? "unknown" : "read";
}

const storeOptions = { timeoutMilliseconds: 1_000 };
const platformStore = (address: string): PlatformStore =>
    closedLater(PlatformStore.create({ address, ledger: counter, ...storeOptions }));
const httpStore = (address: string): HttpStore =>
    closedLater(HttpStore.create({ address, callCounter: counter, ...storeOptions }));

const load = '{"bootId":"b","cold":false,"running":1,"queued":0,"capacity":2}';

/** A call, the body and headers of its answer, and the outcome that such an answer must have. */
interface ClientCase {
    readonly client: string;
    readonly call: (address: string) => Promise<string | undefined>;
    readonly headers?: readonly string[];
    readonly body?: string;
    readonly outcome: string;
}

const kindOf = (outcome: Promise<{ readonly kind: string }>): Promise<string> => outcome.then(({ kind }) => kind);

const CLIENTS: readonly ClientCase[] = [
    { client: "a call for pieces", call: pieceCallKind, body: '{"Entries":[{"Handle":"h"}]}', outcome: "failed" },
    {
        client: "a call for pieces that is refused",
        call: pieceCallKind,
        headers: ["x-parsleyrun-not-executed: 1"],
        outcome: "failed",
    },
    { client: "a release of results", call: releaseKind, outcome: "failed" },
    { client: "a call to another gateway", call: peerCallKind, body: "{}", outcome: "failed" },
    { client: "an execution", call: lastEngineEvent, body: '{"error":"e"}', outcome: "lost" },
    { client: "an order to an engine", call: engineOrder, body: '{"error":"e"}', outcome: "unavailable" },
    { client: "the load of an engine", call: engineLoad, body: load, outcome: "unknown" },
    {
        client: "a read from the platform's store",
        call: address => kindOf(platformStore(address).read("p/a")),
        body: JSON.stringify({ Metadata: { Name: "a", Revision: 7 }, Spec: { value: 1 } }),
        outcome: "unavailable",
    },
    {
        client: "a write to the platform's store",
        call: address => kindOf(platformStore(address).write("p/a", "1", 3)),
        outcome: "unknown",
    },
    {
        client: "a read from the store",
        call: address => kindOf(httpStore(address).read("p/a")),
        body: JSON.stringify({ key: "p/a", version: 3, value: "1" }),
        outcome: "unavailable",
    },
    {
        client: "a write to the store",
        call: address => kindOf(httpStore(address).write("p/a", "1", 3)),
        body: '{"version":4}',
        outcome: "unknown",
    },
];

const STATUS_LINES: readonly string[] = [
    "HTTP/1.1 000 Nothing",
    "HTTP/1.1 99 Nothing",
    "HTTP/1.1 099 Nothing",
    "HTTP/1.1 100 Continue",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: other",
    "HTTP/1.1 103 Early Hints",
    "HTTP/1.1 600 Much",
    "HTTP/1.1 999 Much",
    "HTTP/1.1 1000 Much",
    "HTTP/1.1 abc OK",
    "HTTP/1.1 ",
    "HTTP/1.1",
];

describe.each(CLIENTS)("$client", ({ call, headers = [], body = "", outcome }) => {
    it.each(STATUS_LINES)(`ends as '${outcome}' after '%s'`, async line => {
        expect(await settled(call(await startServer(line, headers, body)))).toBe(outcome);
    });
});

describe("a release of results", () => {
    it.each([
        { line: "HTTP/1.1 200 OK", outcome: "released" },
        { line: "HTTP/1.1 204 No Content", outcome: "released" },
        // The handle has expired, or another target has the address: there is nothing left to release.
        { line: "HTTP/1.1 404 Not Found", outcome: "released" },
        { line: "HTTP/1.1 421 Misdirected Request", outcome: "released" },
        { line: "HTTP/1.1 500 Internal Server Error", outcome: "failed" },
        { line: "HTTP/1.1 503 Service Unavailable", outcome: "failed" },
    ])("is $outcome after '$line'", async ({ line, outcome }) => {
        expect(await releaseKind(await startServer(line, [], ""))).toBe(outcome);
    });
});

describe("an answer of the store with an invalid status", () => {
    it.each(["HTTP/1.1 000 Nothing", "HTTP/1.1 600 Much"])("counts as a failed call: '%s'", async line => {
        await platformStore(await startServer(line, [], "")).read("p/a");
        expect(counter.totals().read).toEqual({ calls: 1, failed: 1 });
    });

    // All later answers would belong to an earlier era.
    it.each(["HTTP/1.1 000 Nothing", "HTTP/1.1 600 Much"])("does not name the store's era: '%s'", async line => {
        const answers = [
            `${line}\r\nstore-era: 9\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`,
            "HTTP/1.1 404 Not Found\r\nstore-era: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n",
        ];
        server = createServer(socket => {
            socket.on("error", () => undefined);
            socket.once("data", () => socket.end(answers.shift() ?? ""));
        });
        const store = platformStore(await listen(server));
        expect((await store.read("p/a")).kind).toBe("unavailable");
        expect(await store.read("p/a")).toEqual({ kind: "missing", era: 1 });
    });
});
