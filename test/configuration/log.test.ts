/** The change log and the feed with a store that has conflicts, lost responses, outages and stale reads. */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
    changeKey,
    Configuration,
    type ConfigurationDifference,
    ConfigurationFeed,
    ConfigurationHolder,
    ConfigurationLog,
    HEAD_KEY,
    snapshotKey,
} from "../../src/configuration/index.js";
import { StandInStore } from "../../src/standins/index.js";

beforeEach(() => {
    vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout", "performance"] });
});

const feeds: ConfigurationFeed[] = [];

afterEach(() => {
    for (const feed of feeds.splice(0)) feed.stop();
    vi.useRealTimers();
});

function zone(name: string, state: "in" | "out" = "out"): ConfigurationDifference {
    return { set: [{ kind: "zone", name, value: { name, state } }], removed: [] };
}

class Operator {
    readonly holder = ConfigurationHolder.create();
    readonly log: ConfigurationLog;

    constructor(store: StandInStore, name: string) {
        this.log = ConfigurationLog.create({ store: store.client(name), holder: this.holder });
    }

    accept(difference: ConfigurationDifference, base = this.holder.current) {
        return finish(this.log.accept({ base, author: "test", difference }));
    }
}

/** Advances the clock until the promise settles. */
async function finish<Value>(promise: Promise<Value>): Promise<Value> {
    let settled = false;
    void promise.finally(() => (settled = true));
    for (let step = 0; step < 2_000 && !settled; step += 1) await vi.advanceTimersByTimeAsync(10);
    if (!settled) throw new Error("did not settle in 20 s");
    return promise;
}

function feedOf(store: StandInStore, name: string, holder = ConfigurationHolder.create()) {
    const feed = ConfigurationFeed.start({ store: store.client(name), holder });
    feeds.push(feed);
    return { feed, holder };
}

describe("a store that is restored from a copy", () => {
    it("gets the changes that it has lost again, so that a process that starts later has them", async () => {
        const store = StandInStore.create();
        const operator = new Operator(store, "a");
        const first = feedOf(store, "f1", operator.holder);
        const second = feedOf(store, "f2");
        await finish(Promise.all([first.feed.ready, second.feed.ready]));
        await operator.accept(zone("east"));
        await vi.advanceTimersByTimeAsync(3_000);
        await operator.accept(zone("west"));
        await operator.accept(zone("south"));
        await vi.advanceTimersByTimeAsync(2_000);
        store.restore(3_000);
        expect(store.peek(changeKey(2))).toBeUndefined();
        await vi.advanceTimersByTimeAsync(4_000);
        const late = feedOf(store, "f3");
        await finish(late.feed.ready);
        const records = second.holder.current.allRecords();
        expect(records).toHaveLength(3);
        expect(late.holder.current.allRecords()).toEqual(records);
    });
});

describe("accepting a change", () => {
    it("lets one of two racing operators win and shows the other what won", async () => {
        const store = StandInStore.create();
        const [first, second] = [new Operator(store, "a"), new Operator(store, "b")];
        const outcomes = await Promise.all([first.accept(zone("east")), second.accept(zone("west"))]);
        expect(outcomes.map(({ kind }) => kind).sort()).toEqual(["accepted", "conflict"]);
        const lost = outcomes.find(outcome => outcome.kind === "conflict");
        expect(lost).toMatchObject({ winner: { version: 1 }, difference: { set: [{ kind: "zone" }] } });
        expect(second.holder.current.allRecords()).toEqual(first.holder.current.allRecords());
    });

    it("applies no version above the head, which a restart with stale reads would revert", async () => {
        const store = StandInStore.create();
        const { holder } = feedOf(store, "b");
        const behind: number[] = [];
        const operator = new Operator(store, "a");
        for (const each of [holder, operator.holder]) {
            each.subscribe(({ version }) => {
                const head = JSON.parse(store.peek(HEAD_KEY)?.value ?? '{"version":0}') as { readonly version: number };
                if (head.version < version) behind.push(version);
            });
        }
        await operator.accept(zone("east"));
        const orphan = { version: 2, id: "x", author: "test", ...zone("west") };
        await finish(store.client("c").write(changeKey(2), JSON.stringify(orphan), 0));
        await vi.advanceTimersByTimeAsync(4_000);
        expect({ version: holder.current.version, behind }).toEqual({ version: 2, behind: [] });
    });

    it("does not apply the winner of a conflict before the first version is confirmed", async () => {
        const store = StandInStore.create();
        const operator = new Operator(store, "a");
        await operator.accept(zone("east"));
        await operator.accept(zone("west"));
        const holder = ConfigurationHolder.create();
        const log = ConfigurationLog.create({ store: store.client("b"), holder, isConfirmed: () => false });
        const outcome = await log.accept({ base: holder.current, author: "test", difference: zone("north") });
        expect([outcome.kind, holder.current.version]).toEqual(["unavailable", 0]);
    });

    it.each([
        { answer: "lost after the write took effect", applied: true, count: 1 },
        { answer: "lost before the write took effect", applied: false, count: 1 },
        { answer: "lost twice, the first time after the write took effect", applied: true, count: 2 },
    ])("is accepted once when the answer is $answer", async ({ applied, count }) => {
        const store = StandInStore.create();
        const operator = new Operator(store, "a");
        store.loseWriteAnswers(count, applied);
        expect(await operator.accept(zone("east"))).toMatchObject({ kind: "accepted", warning: undefined });
        expect(store.keys("configuration/changes/")).toEqual([changeKey(1)]);
        expect(store.peek(HEAD_KEY)?.value).toBe('{"version":1}');
    });

    it("recognises its own write through stale reads, so that it does not report a conflict with itself", async () => {
        const store = StandInStore.create();
        store.setStaleReads(true, 120);
        store.loseWriteAnswers(1);
        expect(await new Operator(store, "a").accept(zone("east"))).toMatchObject({ kind: "accepted" });
    });

    it("reports unknown, not unavailable, when the response is lost and an outage follows", async () => {
        const store = StandInStore.create();
        const client = store.client("a");
        const holder = ConfigurationHolder.create();
        const log = ConfigurationLog.create({
            holder,
            store: {
                ...client,
                write: async (key, value, expected) => {
                    const outcome = await client.write(key, value, expected);
                    store.setOutage(true);
                    return outcome;
                },
            },
        });
        store.loseWriteAnswers(1);
        const accepting = log.accept({ base: holder.current, author: "test", difference: zone("east") });
        expect(await finish(accepting)).toMatchObject({ kind: "unknown", version: 1 });
        expect(store.peek(changeKey(1))).toBeDefined();
    });

    it("changes nothing during a store outage", async () => {
        const store = StandInStore.create();
        store.setOutage(true);
        const operator = new Operator(store, "a");
        expect(await operator.accept(zone("east"))).toMatchObject({ kind: "unavailable" });
        expect(operator.holder.current.version).toBe(0);
        expect(store.keys()).toEqual([]);
    });

    it("creates no version for an empty difference and rejects one that does not fit into an object", async () => {
        const operator = new Operator(StandInStore.create(), "a");
        expect(await operator.accept({ set: [], removed: [] })).toEqual({ kind: "unchanged", version: 0 });
        expect(await operator.accept(zone("x".repeat(1_000_000)))).toMatchObject({ kind: "tooLarge" });
    });
});

describe("feed", () => {
    it("starts from the snapshot and the changes after it, and applies further changes", async () => {
        const store = StandInStore.create();
        const operator = new Operator(store, "a");
        for (let version = 1; version <= 70; version += 1) {
            await operator.accept(zone(`zone${version}`));
            await vi.advanceTimersByTimeAsync(10);
        }
        expect(store.peek(snapshotKey(64))).toBeDefined();
        const { feed, holder } = feedOf(store, "b");
        await finish(feed.ready);
        expect(holder.current.allRecords()).toEqual(operator.holder.current.allRecords());
        expect(store.counts("b").read).toBeLessThan(20);
        await operator.accept(zone("last"));
        await vi.advanceTimersByTimeAsync(100);
        expect(holder.current.version).toBe(71);
        expect(feed.available).toBe(true);
    });

    it("takes no first version from a stale store, which would revert an accepted change", async () => {
        const store = StandInStore.create();
        const operator = new Operator(store, "a");
        await operator.accept(zone("east"));
        await vi.advanceTimersByTimeAsync(5_000);
        await operator.accept(zone("west"));
        store.setStaleReads(true, 3_000);
        const { feed, holder } = feedOf(store, "b");
        const versions: number[] = [];
        holder.subscribe(configuration => versions.push(configuration.version));
        await vi.advanceTimersByTimeAsync(1_000);
        expect(versions).toEqual([]);
        await finish(feed.ready);
        expect(versions).toEqual([2]);
    });

    it("does not need the store's confirmation for a version that a peer has supplied", async () => {
        const store = StandInStore.create();
        await new Operator(store, "a").accept(zone("east"));
        const holder = ConfigurationHolder.create();
        holder.replace(Configuration.of(1, []));
        await finish(feedOf(store, "b", holder).feed.ready);
        expect(store.counts("b").write).toBe(0);
    });

    it("starts with a peer's configuration during a store outage, and waits without a peer", async () => {
        const store = StandInStore.create();
        store.setOutage(true);
        const { feed, holder } = feedOf(store, "b");
        let ready = false;
        void feed.ready.then(() => (ready = true));
        await vi.advanceTimersByTimeAsync(2_000);
        expect({ ready, available: feed.available }).toEqual({ ready: false, available: false });
        holder.replace(Configuration.of(7, []));
        await finish(feed.ready);
        expect(holder.current.version).toBe(7);
    });

    it("applies a change whose author crashed before it wrote the head within 4 s, and raises the head", async () => {
        const store = StandInStore.create();
        const { feed, holder } = feedOf(store, "b");
        await finish(feed.ready);
        const change = { version: 1, id: "x", author: "test", ...zone("east") };
        await store.client("a").write(changeKey(1), JSON.stringify(change), 0);
        await vi.advanceTimersByTimeAsync(4_000);
        expect(holder.current.version).toBe(1);
        await finish(feedOf(store, "c").feed.ready);
        expect(store.peek(HEAD_KEY)?.value).toBe('{"version":1}');
    });

    it("reads again soon when the store returns a head before its change, so that the change is in force in time", async () => {
        const store = StandInStore.create();
        const { feed, holder } = feedOf(store, "b");
        await finish(feed.ready);
        await vi.advanceTimersByTimeAsync(400);
        const author = new Operator(store, "a");
        store.setStaleReads(true, 300);
        await author.accept(zone("east"));
        await vi.advanceTimersByTimeAsync(500);
        expect(holder.current.version).toBe(1);
    });

    it.each(["{", "1", '{"version":9,"set":[],"removed":[]}', '{"version":1}'])(
        "keeps its configuration and keeps running when a change in the store is %s",
        async text => {
            const store = StandInStore.create();
            const running = feedOf(store, "b");
            await finish(running.feed.ready);
            await store.client("a").write(changeKey(1), text, 0);
            const starting = feedOf(store, "c");
            await vi.advanceTimersByTimeAsync(3_000);
            for (const { feed, holder } of [running, starting]) {
                expect([holder.current.version, feed.available]).toEqual([0, false]);
            }
        },
    );

    it("never reverts to an older version after stale reads, and resumes after an outage", async () => {
        const store = StandInStore.create();
        const operator = new Operator(store, "a");
        const { feed, holder } = feedOf(store, "b");
        await finish(feed.ready);
        const versions: number[] = [];
        holder.subscribe(configuration => versions.push(configuration.version));
        await operator.accept(zone("east"));
        store.setStaleReads(true, 2_000);
        await operator.accept(zone("west"));
        await vi.advanceTimersByTimeAsync(4_000);
        store.setStaleReads(false);
        store.setOutage(true);
        await vi.advanceTimersByTimeAsync(3_000);
        expect(feed.available).toBe(false);
        store.setOutage(false);
        await operator.accept(zone("north"));
        await vi.advanceTimersByTimeAsync(1_000);
        expect(versions).toEqual([1, 2, 3]);
    });
});
