/**
 * Answers without a length whose connection is reset, to the clients of the store, the VM list, the operators' interface, the
 * engines and other gateways. Half of such an answer, or its status alone, must not pass as the whole answer.
 */
import { createServer, type Server } from "node:net";
import { afterEach, describe, expect, it, vi } from "vitest";
import { HttpEngine } from "../../src/agent/engineclient.js";
import { OperatorClient } from "../../src/commandline/client.js";
import { NEVER_ABORTED } from "../../src/gateway/attempt.js";
import { VmList } from "../../src/membership/index.js";
import { MemoryAccount } from "../../src/memory/index.js";
import { Deadline } from "../../src/model/index.js";
import { PlatformStore } from "../../src/platform/store.js";
import { openRelayStream } from "../../src/relay/index.js";
import { PeerCalls } from "../../src/stages/index.js";
import { CallCounter, HttpStore } from "../../src/store/index.js";
import { listen } from "../platform/listening.js";
import { type ConnectionEnding, endConnection } from "../platform/standintarget.js";

let server: Server;
const closers: (() => void)[] = [];

afterEach(() => {
    server.close();
    for (const close of closers.splice(0)) close();
});

/** Starts a server that answers each request with a status and a text, without a length, and ends the connection. */
async function startServer(status: number, text: string, ending: ConnectionEnding): Promise<string> {
    server = createServer(socket => {
        socket.on("error", () => undefined);
        const bytes = `HTTP/1.1 ${status} Status\r\nconnection: close\r\n\r\n${text}`;
        socket.once("data", () => socket.write(bytes, () => endConnection[ending](socket)));
    });
    return listen(server);
}

/** Keeps a client until the end of its test. */
function closedLater<Client extends { close(): void }>(client: Client): Client {
    closers.push(() => client.close());
    return client;
}

const storeOptions = { timeoutMilliseconds: 2_000, callCounter: CallCounter.create(), ledger: CallCounter.create() };
const platformStore = (address: string): PlatformStore =>
    closedLater(PlatformStore.create({ address, ...storeOptions }));
const httpStore = (address: string): HttpStore => closedLater(HttpStore.create({ address, ...storeOptions }));

const platformObject = JSON.stringify({ Metadata: { Name: "a", Revision: 7 }, Spec: { value: 1 } });
const platformList = JSON.stringify({ Entries: [JSON.parse(platformObject)], At: 9 });
const platformEvents = JSON.stringify({ events: [], At: 9 });
const storeObject = JSON.stringify({ key: "p/a", version: 3, value: "1" });

const ENGINE_REQUEST = {
    ...{ id: "1", operation: "echo", input: "{}", maximumTokens: 4, priority: 0, prefixHash: "" },
    ...{ resumeAfter: 0, streaming: true, idempotencyKey: "" },
};
const started = '{"started":true,"bootId":"b","cold":false}\n';
const completed = '{"done":true,"output":{"a":1},"tokens":1,"costMilliseconds":2}\n';

async function lastEngineEvent(address: string): Promise<unknown> {
    const engine = closedLater(HttpEngine.create(address));
    let last: unknown;
    for await (const { kind } of engine.execute(ENGINE_REQUEST, AbortSignal.timeout(5_000))) last = kind;
    return last;
}

async function isVmListed(address: string): Promise<unknown> {
    const list = VmList.start({ address, intervalMilliseconds: 20 });
    closers.push(() => list.stop());
    return vi.waitUntil(() => list.vms.length > 0, { timeout: 300, interval: 10 }).catch(() => false);
}

function peerCallKind(address: string): Promise<unknown> {
    const peer = { name: "b", zone: "z", address, capacity: { processors: 1, linkMegabits: 1_000 } };
    const calls = closedLater(PeerCalls.create(MemoryAccount.create({ maximumBytes: 1e6 })));
    const limits = { deadline: Deadline.after(2_000), signal: NEVER_ABORTED };
    return calls.call(peer, "/news", "{}", limits).then(({ kind }) => kind);
}

function relayStreamEnd(address: string): Promise<unknown> {
    const peer = { name: "b", zone: "z", address, capacity: { processors: 1, linkMegabits: 1_000 } };
    const lines: string[] = [];
    const reader = {
        onOpen: () => undefined,
        receive: (part: string) => {
            lines.push(...part.split("\n").slice(0, -1));
            return true;
        },
        signal: NEVER_ABORTED,
    };
    return openRelayStream(peer, reader).then(reason => (reason === "complete" ? lines : "broken"));
}

/** A call, the whole answer to it, and what it comes to if the answer is whole and if it is broken off. */
interface ClientCase {
    readonly client: string;
    readonly call: (address: string) => Promise<unknown>;
    readonly status?: number;
    readonly answer: string;
    readonly whole: unknown;
    readonly brokenOff: unknown;
}

const kindOf = (outcome: Promise<{ readonly kind: string }>): Promise<string> => outcome.then(({ kind }) => kind);

const CLIENTS: readonly ClientCase[] = [
    {
        client: "a read from the platform's store",
        call: address => kindOf(platformStore(address).read("p/a")),
        answer: platformObject,
        whole: "found",
        brokenOff: "unavailable",
    },
    {
        client: "a read of a missing object from the platform's store",
        call: address => kindOf(platformStore(address).read("p/a")),
        status: 404,
        answer: '{"error":"missing"}',
        whole: "missing",
        brokenOff: "unavailable",
    },
    {
        client: "a list of the platform's store",
        call: address => kindOf(platformStore(address).list("p/")),
        answer: platformList,
        whole: "listed",
        brokenOff: "unavailable",
    },
    {
        client: "a watch at the platform's store",
        call: address => kindOf(platformStore(address).watch("p/", 1, 100)),
        answer: platformEvents,
        whole: "changed",
        brokenOff: "unavailable",
    },
    {
        client: "a write to the platform's store",
        call: address => kindOf(platformStore(address).write("p/a", "1", 3)),
        answer: platformObject,
        whole: "written",
        brokenOff: "unknown",
    },
    {
        client: "a removal at the platform's store",
        call: address => kindOf(platformStore(address).remove("p/a", 3)),
        answer: platformObject,
        whole: "written",
        brokenOff: "unknown",
    },
    {
        client: "a status written to the platform's store",
        call: address => kindOf(platformStore(address).writeStatus("p/a", { State: "reverted" }, 3)),
        answer: platformObject,
        whole: "written",
        brokenOff: "unknown",
    },
    {
        client: "a read from the object store",
        call: address => kindOf(httpStore(address).read("p/a")),
        answer: storeObject,
        whole: "found",
        brokenOff: "unavailable",
    },
    {
        client: "a write to the object store",
        call: address => kindOf(httpStore(address).write("p/a", "1", 3)),
        answer: '{"version":4}',
        whole: "written",
        brokenOff: "unknown",
    },
    {
        client: "the list of VMs",
        call: isVmListed,
        answer: '{"vms":[{"name":"a","zone":"z","state":"live"}]}',
        whole: true,
        brokenOff: false,
    },
    {
        client: "an operator's change",
        call: address => kindOf(OperatorClient.create([address], "key").applyLists({})),
        answer: '{"version":4}',
        whole: "answered",
        brokenOff: "noAnswer",
    },
    {
        client: "an execution at an engine",
        call: lastEngineEvent,
        answer: started + completed,
        whole: "completed",
        brokenOff: "lost",
    },
    {
        client: "an order to an engine",
        call: address =>
            kindOf(closedLater(HttpEngine.create(address)).order({} as unknown as Parameters<HttpEngine["order"]>[0])),
        answer: '{"applied":true}',
        whole: "applied",
        brokenOff: "unavailable",
    },
    {
        client: "the load of an engine",
        call: async address => (await closedLater(HttpEngine.create(address)).load())?.running,
        answer: '{"bootId":"b","cold":false,"running":1,"queued":0,"capacity":2}',
        whole: 1,
        brokenOff: undefined,
    },
    {
        client: "a call to another gateway",
        call: peerCallKind,
        answer: '{"isBad":false}',
        whole: "answered",
        brokenOff: "failed",
    },
    {
        client: "the stream of a relay",
        call: relayStreamEnd,
        answer: "first line\nsecond line\n",
        whole: ["first line", "second line"],
        brokenOff: "broken",
    },
];

const parts: readonly (readonly [string, (answer: string) => string])[] = [
    ["half of its answer", answer => answer.slice(0, answer.length / 2)],
    ["all of its answer", answer => answer],
    ["the head of its answer", () => ""],
];

describe.each(CLIENTS)("$client without a length", ({ call, status = 200, answer, whole, brokenOff }) => {
    it.each<ConnectionEnding>(["end", "endAndClose"])(
        "is whole if the connection ends in order ('%s')",
        async ending => {
            expect(await call(await startServer(status, answer, ending))).toEqual(whole);
        },
    );

    describe.each<ConnectionEnding>(["resetAtOnce", "resetLater"])("'%s'", ending => {
        it.each(parts)("is not whole after %s", async (_name, part) => {
            const outcome = await call(await startServer(status, part(answer), ending));
            // The result of an execution is a line of its own, and marks the end.
            const isMarked = answer.endsWith(completed) && part(answer) === answer;
            expect(outcome).toEqual(isMarked ? whole : brokenOff);
        });
    });
});
