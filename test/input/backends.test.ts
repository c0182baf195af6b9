/** Answers of targets and of the store that are malformed, oversized or incomplete. */
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { create, toBinary } from "@bufbuild/protobuf";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import fc from "fast-check";
import { HttpEngine } from "../../src/agent/engineclient.js";
import type { EngineEvent } from "../../src/agent/index.js";
import { ConfigurationFeed, ConfigurationHolder } from "../../src/configuration/index.js";
import { Ownership } from "../../src/claims/index.js";
import type { Service } from "../../src/model/index.js";
import { StageResultSchema, StageTokensSchema } from "../../src/link/index.js";
import {
    MemberRegistration,
    MEMBERS_PREFIX,
    MembershipView,
    SLOTS_PREFIX,
    SlotView,
    VmList,
} from "../../src/membership/index.js";
import { StandInStore } from "../../src/standins/index.js";
import { CallCounter, HttpStore, StoreView } from "../../src/store/index.js";
import { collectUnhandled, SEED, until } from "./system.js";

const silent = (): undefined => undefined;
const logger = { debug: silent, info: silent, warn: silent, error: silent };
const metrics = { increment: silent };

let server: Server;
let respond: (response: ServerResponse) => void;
let address: string;
let unhandled: ReturnType<typeof collectUnhandled>;

beforeEach(async () => {
    unhandled = collectUnhandled();
    server = createServer((_request, response) => respond(response));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
});

afterEach(() => {
    server.close();
    server.closeAllConnections();
    unhandled.stop();
    expect(unhandled.errors).toEqual([]);
});

const REQUEST = {
    ...{ id: "1", operation: "echo", input: "{}", maximumTokens: 4, priority: 0, prefixHash: "" },
    ...{ resumeAfter: 0, streaming: true, idempotencyKey: "" },
};

async function execute(engine: HttpEngine): Promise<readonly EngineEvent[]> {
    const events: EngineEvent[] = [];
    for await (const event of engine.execute(REQUEST, AbortSignal.timeout(5_000))) events.push(event);
    return events;
}

/** Whether a link can carry what an event comes to; one that it cannot carry would close the link. */
function isCarried(event: EngineEvent): boolean {
    if (event.kind === "token") {
        const message = create(StageTokensSchema, { firstIndex: event.index, tokens: [event.token] });
        return toBinary(StageTokensSchema, message).length < 4 * 1024 * 1024;
    }
    if (event.kind !== "completed") return true;
    const { output, tokens, costMilliseconds } = event;
    const outcome = { case: "completed", value: { output, tokens, costMilliseconds } } as const;
    return toBinary(StageResultSchema, create(StageResultSchema, { outcome })).length < 4 * 1024 * 1024;
}

const validLines = [
    { started: true, bootId: "b", cold: false },
    { index: 0, token: "t" },
    { done: true, output: { a: 1 }, tokens: 1, costMilliseconds: 2 },
    { failed: "no" },
];
const SERVICE: Service = {
    ...{ name: "book", kind: "plain", slots: 2, whenStoreUnavailable: "refuse" },
    ...{ fencing: "ignored", concurrency: 1, coldConcurrency: 1 },
};

const anyNumber = fc.oneof(fc.maxSafeInteger(), fc.double(), fc.constantFrom(2 ** 32, 2 ** 40, -1, 1e300));
const mutatedLine = fc
    .tuple(fc.constantFrom(...validLines), fc.string(), fc.oneof(anyNumber, fc.jsonValue()), fc.nat(3))
    .map(([line, extra, value, position]) => {
        const key = Object.keys(line)[position] ?? extra;
        return JSON.stringify({ ...line, [key]: value });
    });
const anyLine = fc.oneof(mutatedLine, fc.json(), fc.string({ unit: "binary" }), fc.constantFrom("", "{", "null"));

describe("answers of a target", () => {
    // Guards against a crash, a second last event, or a value that closes the link on which it is reported.
    it(`are one valid run of events, whatever the lines (seed ${SEED})`, async () => {
        const engine = HttpEngine.create(address);
        const answers = fc.tuple(
            fc.constantFrom(200, 200, 200, 200, 204, 302, 400, 429, 500, 503),
            fc.array(anyLine, { maxLength: 6 }),
            fc.boolean(),
            fc.boolean(),
        );
        await fc.assert(
            fc.asyncProperty(answers, async ([status, lines, complete, cut]) => {
                respond = response => {
                    response.writeHead(status);
                    const text = lines.join("\n") + (complete ? "\n" : "");
                    if (cut) response.write(text, () => response.destroy());
                    else response.end(text);
                };
                const events = await execute(engine);
                const terminal = events.filter(({ kind }) => kind !== "started" && kind !== "token");
                expect(terminal).toEqual([events.at(-1)]);
                expect(events.every(isCarried)).toBe(true);
            }),
            { seed: SEED, numRuns: 300 },
        );
        engine.close();
    });

    // Guards against a count that the link's message cannot hold, and against an output above a message's size.
    it.each([
        ["too many tokens", '{"done":true,"output":1,"tokens":4294967296,"costMilliseconds":1}'],
        ["an unrepresentable cost", '{"done":true,"output":1,"tokens":1,"costMilliseconds":1e300}'],
        ["an index out of range", '{"index":4294967296,"token":"t"}'],
        [
            "an output that grows when it is written again",
            `{"done":true,"output":[${Array.from({ length: 200_000 }, () => "1E20").join(",")}],"tokens":1,"costMilliseconds":1}`,
        ],
    ])("with %s are a lost result", async (_name, line) => {
        const engine = HttpEngine.create(address);
        respond = response => response.end(`{"started":true,"bootId":"b","cold":false}\n${line}\n`);
        expect((await execute(engine)).at(-1)).toMatchObject({ kind: "lost" });
        engine.close();
    });

    // Guards against a buffer that grows with a line that never ends.
    it("with a line that never ends are given up after about one line's length", async () => {
        const engine = HttpEngine.create(address);
        let written = 0;
        const closed = new Promise(resolve => {
            respond = response => {
                response.once("close", resolve);
                const write = (): void => {
                    while (!response.destroyed && written < 64 * 1024 * 1024) {
                        written += 65_536;
                        if (!response.write(Buffer.alloc(65_536, "a"))) return void response.once("drain", write);
                    }
                };
                write();
            };
        });
        expect(await execute(engine)).toEqual([{ kind: "lost", message: "Error: line is too long" }]);
        await closed;
        expect(written).toBeLessThan(32 * 1024 * 1024);
        engine.close();
    });

    it(`to a load question are a load or nothing (seed ${SEED})`, async () => {
        const engine = HttpEngine.create(address);
        await fc.assert(
            fc.asyncProperty(fc.oneof(fc.json(), fc.string()), async text => {
                respond = response => response.end(text);
                const load = await engine.load();
                expect(load === undefined || Number.isInteger(load.capacity)).toBe(true);
            }),
            { seed: SEED, numRuns: 100 },
        );
        engine.close();
    });
});

describe("answers of the store", () => {
    // Guards against a crash, or an outcome that claims what the answer does not say.
    it(`are an outcome of the call, whatever the body (seed ${SEED})`, async () => {
        const store = HttpStore.create({ address, timeoutMilliseconds: 2_000, callCounter: CallCounter.create() });
        const object = fc.record({ key: fc.string(), version: anyNumber, value: fc.jsonValue() });
        const body = fc.oneof(
            fc.json(),
            fc.string(),
            fc.record({ objects: fc.array(object), revision: anyNumber }).map(value => JSON.stringify(value)),
            fc.record({ version: anyNumber }).map(value => JSON.stringify(value)),
            fc.record({ events: fc.array(object), revision: anyNumber }).map(value => JSON.stringify(value)),
        );
        const status = fc.constantFrom(200, 200, 200, 404, 410, 412, 429, 500, 503);
        await fc.assert(
            fc.asyncProperty(status, body, async (code, text) => {
                respond = response => response.writeHead(code).end(text);
                expect(["missing", "found", "unavailable"]).toContain((await store.read("k")).kind);
                expect(["listed", "unavailable"]).toContain((await store.list("p/")).kind);
                const written = await store.write("k", "v", 0);
                expect(["written", "conflict", "unavailable", "unknown"]).toContain(written.kind);
                if (written.kind === "unavailable") expect(code).not.toBe(200);
                expect(["changed", "unavailable"]).toContain((await store.watch("p/", 0, 10)).kind);
            }),
            { seed: SEED, numRuns: 100 },
        );
        store.close();
    });

    // Guards against memory that grows with an answer that never ends.
    it("that never end are given up at a bounded size", async () => {
        const store = HttpStore.create({ address, timeoutMilliseconds: 20_000, callCounter: CallCounter.create() });
        let written = 0;
        const limit = 256 * 1024 * 1024;
        respond = response => {
            const write = (): void => {
                while (!response.destroyed && written < limit) {
                    written += 1_048_576;
                    if (!response.write(Buffer.alloc(1_048_576, "a"))) return void response.once("drain", write);
                }
                response.end();
            };
            write();
        };
        expect((await store.list("p/")).kind).toBe("unavailable");
        expect(written).toBeLessThan(limit / 2);
        store.close();
    });
});

describe("answers of the VM list", () => {
    // Guards against memory that grows with an answer that never ends.
    it("that never end are given up at a bounded size", async () => {
        let written = 0;
        const limit = 256 * 1024 * 1024;
        const closed = new Promise(resolve => {
            respond = response => {
                response.once("close", resolve);
                const write = (): void => {
                    while (!response.destroyed && written < limit) {
                        written += 1_048_576;
                        if (!response.write(Buffer.alloc(1_048_576, "a"))) return void response.once("drain", write);
                    }
                    response.end();
                };
                write();
            };
        });
        const list = VmList.start({ address, intervalMilliseconds: 60_000 });
        await closed;
        list.stop();
        expect(list.available).toBe(false);
        expect(written).toBeLessThan(limit / 2);
    });

    // Guards against a poll that ends the process or forgets VMs because of a malformed answer.
    it(`are a list or nothing, whatever the body (seed ${SEED})`, async () => {
        let body = '{"vms":[{"name":"a","zone":"east","state":"live"}]}';
        let polls = 0;
        respond = response => {
            polls += 1;
            response.end(body);
        };
        const list = VmList.start({ address, intervalMilliseconds: 1 });
        await until("the list was read", () => list.available);
        const samples = fc.sample(fc.oneof(fc.json(), fc.string()), { seed: SEED, numRuns: 50 });
        for (const sample of samples.filter(text => !text.includes('"vms"'))) {
            body = sample;
            const before = polls;
            await until("the list was polled twice", () => polls >= before + 2);
            expect(list.state("a")).toBe("live");
        }
        list.stop();
    });
});

/** Texts that an object of the store may hold although nobody should have written them. */
const anyObject = fc.oneof(
    fc.json(),
    fc.string(),
    fc.constantFrom("null", "[]", "{}", "5", '{"slots":[5]}', '{"version":1e300}', '{"version":-1}', '{"version":0.5}'),
);

/** Slot ownership of one agent, after it had time to look at the slots. */
async function own(store: StandInStore): Promise<Ownership> {
    const ownership = Ownership.create({
        ...{ store: store.client("agent"), service: "book", target: "t", incarnation: "i", logger, metrics },
    });
    ownership.configure({ ...SERVICE, slots: 2 }, true);
    await new Promise(resolve => setTimeout(resolve, 600));
    return ownership;
}

describe("objects of the store", () => {
    // Guards against an entry that ends because of one malformed object below `members/` or `slots/`.
    it(`that are malformed do not end the views (seed ${SEED})`, async () => {
        const slot = { target: "t", incarnation: "i", epoch: 1, journals: ["j"] };
        await fc.assert(
            fc.asyncProperty(anyObject, anyObject, async (first, second) => {
                const store = StandInStore.create();
                const client = store.client("view");
                const views = ["members/", "slots/"].map(prefix => StoreView.start({ store: client, prefix }));
                const [members, slots] = views as [StoreView, StoreView];
                const directory = MembershipView.of(members);
                const tables = SlotView.of(slots);
                await Promise.all(views.map(view => view.ready));
                await client.write(`${MEMBERS_PREFIX}entries/bad`, first, 0);
                await client.write(`${MEMBERS_PREFIX}agents/bad`, second, 0);
                await client.write(`${SLOTS_PREFIX}bad`, first, 0);
                const entry = { name: "e", zone: "z", vm: "v", address: "a", incarnation: "i" };
                await client.write(`${MEMBERS_PREFIX}entries/e`, JSON.stringify(entry), 0);
                await client.write(`${SLOTS_PREFIX}good`, JSON.stringify({ service: "good", slots: [slot, null] }), 0);
                await new Promise(resolve => setTimeout(resolve, 5));
                expect(directory.current.entries).toContainEqual(entry);
                expect(tables.find("good")?.slots).toEqual([slot, undefined]);
                for (const view of views) view.stop();
            }),
            { seed: SEED, numRuns: 60 },
        );
    });

    // Guards against a feed that ends, spins or puts a malformed configuration in force.
    it(`that are malformed do not end the configuration feed (seed ${SEED})`, async () => {
        await fc.assert(
            fc.asyncProperty(anyObject, anyObject, anyObject, async (head, snapshot, change) => {
                const store = StandInStore.create();
                const client = store.client("feed");
                await client.write("configuration/snapshots/000000000064", snapshot, 0);
                await client.write("configuration/changes/000000000065", change, 0);
                await client.write("configuration/head", '{"version":64}', 0);
                const holder = ConfigurationHolder.create();
                const feed = ConfigurationFeed.start({ store: client, holder });
                await new Promise(resolve => setTimeout(resolve, 5));
                const version = store.peek("configuration/head")?.version ?? 0;
                await client.write("configuration/head", head, version);
                await new Promise(resolve => setTimeout(resolve, 5));
                feed.stop();
                for (const record of holder.current.allRecords()) {
                    expect(record).toMatchObject({ kind: expect.any(String), name: expect.any(String) });
                }
                expect(store.counts("feed").read).toBeLessThan(100);
            }),
            { seed: SEED, numRuns: 60 },
        );
    });

    // Guards against an agent that ends because of a malformed slot table or lease.
    it(`that are malformed do not end slot ownership (seed ${SEED})`, async () => {
        const samples = fc.sample(fc.tuple(anyObject, anyObject), { seed: SEED, numRuns: 60 });
        await Promise.all(
            samples.map(async ([table, lease]) => {
                const store = StandInStore.create();
                await store.client("test").write("leases/owners/book/other", lease, 0);
                await store.client("test").write("slots/book", table, 0);
                const ownership = await own(store);
                expect(ownership.currentSession?.lease.valid).toBe(true);
                ownership.kill();
            }),
        );
    });

    // Guards against a takeover that ends the agent, or admits keys whose claims it could not read.
    it(`that are malformed segments keep their slot from being served (seed ${SEED})`, async () => {
        const samples = fc.sample(anyObject, { seed: SEED, numRuns: 60 });
        const owner = { target: "", incarnation: "", epoch: 1, journals: ["old"] };
        const table = JSON.stringify({ service: "book", slots: [owner, null] });
        await Promise.all(
            samples.map(async segment => {
                const store = StandInStore.create();
                await store.client("test").write("claims/book/old/00000000", segment, 0);
                await store.client("test").write("slots/book", table, 0);
                const ownership = await own(store);
                expect(ownership.currentSession?.registry.slotNumbers).toEqual([]);
                expect(store.peek("claims/book/old/00000000")?.value).toBe(segment);
                ownership.kill();
            }),
        );
    });

    // Guards against a planned stop that fails because another process wrote its member object.
    it("that replaced a member do not fail its withdrawal", async () => {
        const store = StandInStore.create();
        const client = store.client("entry");
        const member = MemberRegistration.startEntry(client, {
            name: "e",
            zone: "z",
            vm: "v",
            address: "a",
            incarnation: "i",
        });
        await member.published;
        const version = store.peek("members/entries/e")?.version ?? 0;
        await client.write("members/entries/e", "null", version);
        await member.deregister();
        expect(store.peek("members/entries/e")?.value).toBe("null");
    });
});
