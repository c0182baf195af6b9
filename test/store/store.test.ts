import { createServer, type RequestListener, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { serveStore, type StandInServer, StandInStore } from "../../src/standins/index.js";
import { CallCounter, HttpStore, Lease, type LeaseOutcome, type Store, StoreView } from "../../src/store/index.js";

describe("HttpStore", () => {
    let standIn: StandInStore;
    let server: StandInServer;
    let callCounter: CallCounter;
    let store: HttpStore;

    beforeEach(async () => {
        standIn = StandInStore.create();
        server = await serveStore(standIn, "127.0.0.1:0");
        callCounter = CallCounter.create();
        store = HttpStore.create({ address: server.address, timeoutMilliseconds: 200, callCounter });
    });

    afterEach(async () => {
        store.close();
        await server.close();
    });

    it.each(["127.0.0.1:99999", "127.0.0.1:x", "not an address"])(
        "resolves to an outcome when the address of the store is %j",
        async address => {
            const elsewhere = HttpStore.create({ address, timeoutMilliseconds: 200, callCounter });
            expect((await elsewhere.list("a/")).kind).toBe("unavailable");
            expect((await elsewhere.read("a/b")).kind).toBe("unavailable");
            expect((await elsewhere.write("a/b", "1", 0)).kind).toBe("unavailable");
            expect((await elsewhere.watch("a/", 1, 100)).kind).toBe("unavailable");
        },
    );

    it("reads, lists, writes and removes with versions", async () => {
        expect(await store.read("a/b")).toEqual({ kind: "missing", era: 0 });
        expect(await store.write("a/b", "ü\n1", 0)).toEqual({ kind: "written", version: 1, era: 0 });
        expect(await store.write("a/b", "2", 0)).toEqual({ kind: "conflict" });
        const object = { key: "a/b", version: 1, value: "ü\n1" };
        expect(await store.read("a/b")).toEqual({ kind: "found", object, era: 0 });
        expect(await store.list("a/")).toEqual({ kind: "listed", objects: [object], revision: 1, era: 0 });
        const watch = store.watch("a/", 1, 5_000);
        expect(await store.remove("a/b", 1)).toEqual({ kind: "written", version: 2, era: 0 });
        expect(await watch).toEqual({ kind: "changed", events: [{ key: "a/b" }], revision: 2, era: 0 });
        expect(await store.watch("a/", 9, 100)).toMatchObject({ kind: "unavailable" });
        expect(callCounter.totals()).toMatchObject({
            read: { calls: 2, failed: 0 },
            write: { calls: 2 },
            watch: { calls: 2 },
        });
    });

    // Guards against reporting a write that may have taken effect as one without effect, and the reverse.
    it.each<[string, string, unknown[], string]>([
        ["outage", "setOutage", [true], "unavailable"],
        ["lost response", "loseWriteAnswers", [1], "unknown"],
        ["slow response", "setSlow", [1_000], "unknown"],
    ])("reports the outcome of a write with: %s", async (_, fault, values, kind) => {
        const body = JSON.stringify({ [fault]: values });
        expect((await fetch(`http://${server.address}/faults`, { method: "POST", body })).status).toBe(204);
        expect((await store.write("k", "1", 0)).kind).toBe(kind);
        expect(callCounter.totals().write).toEqual({ calls: 1, failed: 1 });
    });

    it.each<[string, RequestListener, string, string]>([
        ["status 500", (_, response) => void response.writeHead(500).end(), "unknown", "unavailable"],
        ["not JSON", (_, response) => void response.end("{"), "unknown", "unavailable"],
        [
            "another object",
            (_, response) => void response.end('{"key":"b","version":1,"value":""}'),
            "written",
            "unavailable",
        ],
        ["too large", (_, response) => void response.writeHead(413).end(), "unavailable", "unavailable"],
    ])("reports the outcomes of a write and a read with the response: %s", async (_, listener, write, read) => {
        const otherServer: Server = createServer(listener).listen(0, "127.0.0.1");
        await new Promise(resolve => otherServer.once("listening", resolve));
        const address = `127.0.0.1:${(otherServer.address() as AddressInfo).port}`;
        const client = HttpStore.create({ address, timeoutMilliseconds: 200, callCounter });
        expect((await client.write("a", "1", 0)).kind).toBe(write);
        expect((await client.read("a")).kind).toBe(read);
        client.close();
        await new Promise(resolve => otherServer.close(resolve));
        expect((await client.write("a", "1", 0)).kind).toBe("unavailable");
    });
});

describe("with a stand-in store", () => {
    let standIn: StandInStore;
    let writer: Store;

    beforeEach(() => {
        vi.useFakeTimers();
        standIn = StandInStore.create();
        writer = standIn.client("writer");
    });
    afterEach(() => void vi.useRealTimers());

    async function follow(prefix: string): Promise<{ view: StoreView; seen: string[] }> {
        const view = StoreView.start({ store: standIn.client("view"), prefix });
        const seen: string[] = [];
        view.subscribe(({ key, object }) => seen.push(`${key}=${object?.value ?? ""}`));
        await vi.advanceTimersByTimeAsync(0);
        return { view, seen };
    }

    describe("StoreView", () => {
        it("lists, follows changes and removals, and stops", async () => {
            await writer.write("p/a", "1", 0);
            const { view, seen } = await follow("p/");
            await view.ready;
            await writer.write("p/b", "2", 0);
            await writer.write("q/c", "3", 0);
            await writer.remove("p/a", 1);
            await vi.advanceTimersByTimeAsync(0);
            expect(seen).toEqual(["p/a=1", "p/b=2", "p/a="]);
            expect([...view.objects.keys()]).toEqual(["p/b"]);
            view.stop();
            await writer.write("p/b", "4", 1);
            await vi.advanceTimersByTimeAsync(100_000);
            expect(seen).toHaveLength(3);
            expect(standIn.counts("view").list).toBe(1);
        });

        it("keeps its objects during an outage, retries with bounded backoff and catches up", async () => {
            await writer.write("p/a", "1", 0);
            const { view } = await follow("p/");
            standIn.setOutage(true, "view");
            await writer.write("p/a", "2", 1);
            await vi.advanceTimersByTimeAsync(20_000);
            expect(view.available).toBe(false);
            expect(view.objects.get("p/a")?.value).toBe("1");
            expect(standIn.counts("view").list).toBeLessThan(60);
            standIn.setOutage(false, "view");
            await vi.advanceTimersByTimeAsync(1_000);
            expect(view.available).toBe(true);
            expect(view.objects.get("p/a")?.value).toBe("2");
        });

        it("goes on after an exception of a listener", async () => {
            const changes: string[] = [];
            const view = StoreView.start({
                store: standIn.client("view"),
                prefix: "p/",
                onAvailability: change => changes.push(change.kind === "lost" ? change.message : change.kind),
            });
            await view.ready;
            const seen: string[] = [];
            view.subscribe(({ key, object }) => {
                seen.push(`${key}=${object?.value ?? ""}`);
                if (object?.value === "odd") throw new Error("fault of a listener");
            });
            await writer.write("p/a", "odd", 0);
            await writer.write("p/b", "1", 0);
            await vi.advanceTimersByTimeAsync(2_000);
            await writer.write("p/a", "2", 1);
            await vi.advanceTimersByTimeAsync(2_000);
            expect(seen).toEqual(["p/a=odd", "p/b=1", "p/a=2"]);
            expect(changes).toEqual([expect.stringContaining("fault of a listener"), "regained"]);
            expect(view.available).toBe(true);
            view.stop();
        });

        it("ignores a stale list and never replaces an object by an older version", async () => {
            await writer.write("p/a", "1", 0);
            await vi.advanceTimersByTimeAsync(2_000);
            await writer.write("p/a", "2", 1);
            await writer.write("p/b", "1", 0);
            const { view, seen } = await follow("p/");
            standIn.setStaleReads(true, 1_000);
            standIn.setOutage(true);
            standIn.setOutage(false);
            await vi.advanceTimersByTimeAsync(500);
            expect(seen).toEqual(["p/a=2", "p/b=1"]);
            expect(view.objects.size).toBe(2);
        });
    });

    describe("Lease", () => {
        const DURATION = 3_000;

        function acquire(holder: string, waitMilliseconds = 10_000): Promise<LeaseOutcome> {
            const base = { store: standIn.client(holder), key: "leases/x", holder, incarnation: `${holder}1` };
            return Lease.acquire({ ...base, durationMilliseconds: DURATION, waitMilliseconds });
        }

        async function acquired(holder: string): Promise<Lease> {
            const outcome = acquire(holder);
            await vi.advanceTimersByTimeAsync(10_000);
            const settled = await outcome;
            if (settled.kind !== "acquired") throw new Error(`lease is ${settled.kind}`);
            return settled.lease;
        }

        it("is renewed while its holder runs, and is free immediately after a release", async () => {
            const lease = await acquired("a");
            expect(await Promise.race([acquire("b", 0), lease.ended])).toEqual({ kind: "held", holder: "a" });
            await vi.advanceTimersByTimeAsync(60_000);
            expect(lease.isHeld()).toBe(true);
            await lease.release();
            expect(lease.isHeld()).toBe(false);
            const next = await acquire("b", 0);
            expect(next.kind === "acquired" && next.lease.fencing).toBe(lease.fencing + 1);
        });

        // Guards against two holders at once: a candidate must wait longer than the holder considers its lease valid.
        it("is taken from a holder that cannot reach the store only after it has expired there", async () => {
            const lease = await acquired("a");
            standIn.setOutage(true, "a");
            let takenAt = 0;
            const candidate = acquire("b").then(outcome => {
                takenAt = performance.now();
                return outcome;
            });
            const lostAt = lease.ended.then(end => ({ end, at: performance.now() }));
            await vi.advanceTimersByTimeAsync(10_000);
            const { end, at } = await lostAt;
            expect(end).toBe("expired");
            expect((await candidate).kind).toBe("acquired");
            expect(takenAt).toBeGreaterThan(at + DURATION * 0.25);
        });

        it("is not held after its process was paused, and does not overwrite the next holder's record", async () => {
            const lease = await acquired("a");
            const now = performance.now();
            vi.spyOn(performance, "now").mockReturnValue(now + DURATION);
            expect(lease.isHeld()).toBe(false);
            vi.mocked(performance.now).mockRestore();
            const record = { holder: "b", incarnation: "b1", fencing: 2, durationMs: DURATION, renewal: "r" };
            const version = standIn.peek("leases/x")?.version ?? 0;
            await writer.write("leases/x", JSON.stringify(record), version);
            await vi.advanceTimersByTimeAsync(DURATION);
            expect(await lease.ended).toBe("taken");
            expect(JSON.parse(standIn.peek("leases/x")?.value ?? "")).toEqual(record);
        });

        // Guards against a holder that mistakes its own write for another's, or a lost write for one that took effect.
        it.each([
            ["took effect", true, false],
            ["had no effect", false, false],
            ["took effect, read from a stale replica", true, true],
        ])("is kept after lost responses to writes that %s", async (_, applied, stale) => {
            if (stale) standIn.setStaleReads(true, 200);
            standIn.loseWriteAnswers(1, applied);
            const lease = await acquired("a");
            expect(lease.fencing).toBe(1);
            standIn.loseWriteAnswers(2, applied);
            await vi.advanceTimersByTimeAsync(DURATION * 3);
            expect(lease.isHeld()).toBe(true);
        });

        it.each<[string, () => void, number, string]>([
            ["an outage", () => standIn.setOutage(true), 10_000, "unavailable"],
            ["a value that is not a lease", () => void writer.write("leases/x", "?", 0), 0, "unavailable"],
        ])("cannot be acquired with %s", async (_, fault, wait, kind) => {
            fault();
            const outcome = acquire("a", wait);
            await vi.advanceTimersByTimeAsync(wait);
            expect((await outcome).kind).toBe(kind);
        });

        it("is acquired by exactly one of several candidates", async () => {
            const outcomes = Promise.all(["a", "b", "c"].map(holder => acquire(holder, 5_000)));
            await vi.advanceTimersByTimeAsync(6_000);
            expect((await outcomes).map(outcome => outcome.kind).sort()).toEqual(["acquired", "held", "held"]);
        });
    });
});
