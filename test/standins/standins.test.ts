import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { EngineEvent, EngineRequest } from "../../src/agent/engine.js";
import { expectedOutput, expectedTokens, StandInEngine, StandInStore } from "../../src/standins/index.js";

const LIMITS = {
    operations: ["encode", "generate", "book"],
    nonIdempotent: ["book"],
    concurrency: 4,
    coldConcurrency: 1,
};

function request(part: Partial<EngineRequest> = {}): EngineRequest {
    const base = { id: "1", operation: "encode", input: '"a"', maximumTokens: 0, priority: 0, prefixHash: "" };
    return { ...base, resumeAfter: 0, streaming: false, idempotencyKey: "", ...part };
}

async function gather(source: AsyncIterable<EngineEvent>): Promise<EngineEvent[]> {
    const events: EngineEvent[] = [];
    for await (const event of source) events.push(event);
    return events;
}

async function collect(engine: StandInEngine, part: Partial<EngineRequest> = {}): Promise<EngineEvent[]> {
    return gather(engine.execute(request(part), new AbortController().signal));
}

async function lastKind(engine: StandInEngine, part: Partial<EngineRequest> = {}): Promise<string | undefined> {
    return (await collect(engine, part)).at(-1)?.kind;
}

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

describe("StandInStore", () => {
    // Guards against tests that pass because a fault switch does nothing.
    it.each<[string, (store: StandInStore) => void, string]>([
        ["no fault", () => undefined, "written"],
        ["outage", store => store.setOutage(true), "unavailable"],
        ["outage of another client", store => store.setOutage(true, "b"), "written"],
        ["answer lost", store => store.loseWriteAnswers(1), "unknown"],
        ["slower than the timeout", store => store.setSlow(2_000), "unknown"],
    ])("answers a write under: %s", async (_, fault, kind) => {
        const store = StandInStore.create();
        fault(store);
        const outcome = store.client("a").write("k", "v", 0);
        await vi.advanceTimersByTimeAsync(2_000);
        expect((await outcome).kind).toBe(kind);
        expect(store.peek("k") !== undefined).toBe(kind !== "unavailable");
    });

    it("refuses writes on another version, above the rate and above the size limit", async () => {
        const store = StandInStore.create({ writesPerSecond: 5 });
        const client = store.client("a");
        const kinds = [];
        for (const [value, version] of [
            ["1", 0],
            ["2", 0],
            ["2", 1],
            ["x".repeat(1_048_577), 2],
            ["3", 2],
            ["4", 3],
        ]) {
            kinds.push((await client.write("k", value as string, version as number)).kind);
        }
        expect(kinds).toEqual(["written", "conflict", "written", "unavailable", "written", "unavailable"]);
        expect(store.counts("a")).toMatchObject({ write: 6, refused: 1 });
    });

    it("wakes a waiting watch at once and refuses a revision that it no longer has", async () => {
        const store = StandInStore.create({ maximumHistory: 2 });
        const client = store.client("a");
        const watch = client.watch("p/", 0, 10_000);
        await client.write("other", "1", 0);
        await client.write("p/k", "1", 0);
        expect(await watch).toMatchObject({ kind: "changed", events: [{ key: "p/k" }], revision: 2 });
        const idle = client.watch("p/", 2, 1_000);
        await vi.advanceTimersByTimeAsync(1_000);
        expect(await idle).toMatchObject({ kind: "changed", events: [], revision: 2 });
        for (let version = 1; version < 5; version += 1) await client.write("p/k", "2", version);
        expect(await client.watch("p/", 1, 1_000)).toMatchObject({ kind: "unavailable" });
        const cut = client.watch("p/", 6, 1_000);
        store.setOutage(true);
        expect((await cut).kind).toBe("unavailable");
    });

    it("serves older versions while reads are stale, with the revision that belongs to them", async () => {
        const store = StandInStore.create();
        const client = store.client("a");
        await client.write("k", "old", 0);
        await vi.advanceTimersByTimeAsync(1_500);
        await client.write("k", "new", 1);
        store.setStaleReads(true);
        expect(await client.read("k")).toMatchObject({ object: { value: "old", version: 1 } });
        expect(await client.list("")).toMatchObject({ objects: [{ value: "old" }], revision: 1 });
        store.setStaleReads(false);
        expect(await client.read("k")).toMatchObject({ object: { value: "new" } });
    });
});

describe("StandInEngine", () => {
    it("streams the expected tokens and resumes after those that the caller holds", async () => {
        const engine = StandInEngine.create({ ...LIMITS, timePerCall: 10, timePerToken: 1, startsCold: false });
        const tokens = expectedTokens("generate", '"a"', 20);
        for (const resumeAfter of [0, 5]) {
            const events = collect(engine, { operation: "generate", maximumTokens: 20, streaming: true, resumeAfter });
            await vi.advanceTimersByTimeAsync(100);
            const streamed = (await events).flatMap(event => (event.kind === "token" ? [event.token] : []));
            expect(streamed).toEqual(tokens.slice(resumeAfter));
            const output = expectedOutput("generate", '"a"', 20);
            expect((await events).at(-1)).toMatchObject({ kind: "completed", output, tokens: tokens.length });
        }
    });

    it.each<[string, (engine: StandInEngine) => void, Partial<EngineRequest>, string]>([
        ["no fault", () => undefined, {}, "completed"],
        ["failure", engine => engine.failNext(1), {}, "failed"],
        ["truncation", engine => engine.truncateNext(1), {}, "lost"],
        ["rejection", engine => engine.rejectNext(1), {}, "rejected"],
        ["failing fraction", engine => engine.setFailFraction(1, "encode"), {}, "failed"],
        ["crash marker", engine => engine.setCrashMarker("a"), {}, "lost"],
        ["target down", engine => engine.crash(1_000), {}, "notStarted"],
        ["unknown operation", () => undefined, { operation: "other" }, "rejected"],
        ["missing key", () => undefined, { operation: "book" }, "rejected"],
    ])("ends an execution under: %s", async (_, fault, part, kind) => {
        const engine = StandInEngine.create({ ...LIMITS, timePerCall: 10, startsCold: false });
        fault(engine);
        const last = lastKind(engine, part);
        await vi.advanceTimersByTimeAsync(100);
        expect(await last).toBe(kind);
    });

    it("fails work above its cold concurrency and is warm after the calls that were set", async () => {
        const engine = StandInEngine.create({ ...LIMITS, timePerCall: 10, warmAfterCalls: 1 });
        const kinds = Promise.all([lastKind(engine), lastKind(engine)]);
        await vi.advanceTimersByTimeAsync(200);
        expect(await kinds).toContain("failed");
        expect(engine.cold).toBe(false);
        expect(engine.counters().highestColdConcurrency).toBe(2);
    });

    it("loses running work in a crash, changes its boot id and counts runs by key", async () => {
        const engine = StandInEngine.create({ ...LIMITS, timePerCall: 10, startsCold: false });
        const before = await engine.load();
        const events = collect(engine, { operation: "book", idempotencyKey: "k" });
        await vi.advanceTimersByTimeAsync(1);
        engine.crash();
        expect((await events).at(-1)?.kind).toBe("lost");
        expect((await engine.load())?.bootId).not.toBe(before?.bootId);
        expect(engine.counters().runsByKey).toEqual({ k: 1 });
    });

    it("runs higher priorities first and cancels through the signal", async () => {
        const engine = StandInEngine.create({ ...LIMITS, batchLimit: 1, timePerCall: 10, startsCold: false });
        const order: number[] = [];
        const abort = new AbortController();
        const cancelled = gather(engine.execute(request(), abort.signal));
        const others = [1, 5, 3].map(async priority => {
            await collect(engine, { priority });
            order.push(priority);
        });
        await vi.advanceTimersByTimeAsync(1);
        abort.abort();
        await vi.advanceTimersByTimeAsync(200);
        await Promise.all(others);
        expect((await cancelled).at(-1)?.kind).toBe("lost");
        expect(order).toEqual([5, 3, 1]);
    });

    it.each([
        ["enforced", "staleFencing"],
        ["ignored", "applied"],
    ] as const)("answers an order with an old fencing number when fencing is %s", async (fencing, kind) => {
        const engine = StandInEngine.create({ ...LIMITS, timePerCall: 10, fencing });
        await engine.order({ fencing: 5, kind: "loadVersion", name: "v2" });
        expect((await engine.order({ fencing: 4, kind: "loadVersion", name: "v1" })).kind).toBe(kind);
    });
});
