/** Non-idempotent stages run at most once despite failures of links, of the store and of slot owners. */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { Agent } from "../../src/agent/index.js";
import { LEASE_DURATION_MS } from "../../src/claims/ownerlease.js";
import { Withdrawn_State } from "../../src/link/index.js";
import type { StandInEngine } from "../../src/standins/index.js";
import { bookingService, Deployment, type TestEntry } from "../agent/harness.js";

/** Time in which agents acquire and balance their slots. */
const SETTLE_MS = 4_000;
/** Time in which another agent takes over the slots of a dead owner. */
const TAKEOVER_MS = 14_000;

let deployment: Deployment;

beforeEach(() => {
    vi.useFakeTimers();
    deployment = new Deployment();
});

afterEach(() => {
    deployment.end();
    vi.useRealTimers();
});

async function advance(milliseconds: number): Promise<void> {
    await vi.advanceTimersByTimeAsync(milliseconds);
}

async function connect(name: string, agent: Agent): Promise<TestEntry> {
    const pending = deployment.connect(name, agent);
    await advance(5);
    return await pending;
}

/** One agent that owns all slots, and an entry linked to it. */
async function startSingleOwner(): Promise<{ agent: Agent; entry: TestEntry }> {
    const agent = await deployment.startAgent("t1");
    await advance(SETTLE_MS);
    return { agent, entry: await connect("e1", agent) };
}

/** A second agent, which starts after the first one owns the slots. */
async function startSuccessor(): Promise<Agent> {
    return await deployment.startAgent("t2");
}

describe("claims of one owner", () => {
    it("runs duplicates over two links once and gives both the same output", async () => {
        const { agent, entry } = await startSingleOwner();
        const other = await connect("e2", agent);
        const first = deployment.book(entry, "k1");
        const second = deployment.book(other, "k1");
        await advance(300);
        const third = deployment.book(other, "k1");
        await advance(50);
        expect([entry.outcome(first), other.outcome(second), other.outcome(third)]).toEqual([
            "completed",
            "replayed",
            "replayed",
        ]);
        expect(deployment.runs("k1")).toBe(1);
    });

    it("continues a run when its link closes, so that the key's result is known afterwards", async () => {
        const { agent, entry } = await startSingleOwner();
        deployment.book(entry, "k1");
        await advance(20);
        entry.link.close("cut");
        await advance(300);
        const other = await connect("e2", agent);
        const attempt = deployment.book(other, "k1");
        await advance(50);
        expect(other.outcome(attempt)).toBe("replayed");
        expect(deployment.runs("k1")).toBe(1);
    });

    it.each([
        { name: "took effect", applied: true },
        { name: "had no effect", applied: false },
    ])("runs once when the answer to a commit that $name is lost", async ({ applied }) => {
        const { entry } = await startSingleOwner();
        deployment.store.loseWriteAnswers(1, applied);
        const attempt = deployment.book(entry, "k1");
        await advance(600);
        expect(entry.outcome(attempt)).toBe("completed");
        expect([deployment.runs("k1"), deployment.claims("k1")]).toEqual([1, 1]);
    });

    it("answers unknown and never runs a key whose commit stays in doubt until the deadline", async () => {
        const { entry } = await startSingleOwner();
        deployment.store.loseWriteAnswers(1_000, true);
        const attempt = deployment.book(entry, "k1", { remainingMilliseconds: 300 });
        await advance(1);
        deployment.store.setStaleReads(true, 60_000);
        await advance(600);
        expect(entry.outcome(attempt)).toBe("unknown commitUnknown");
        deployment.store.setStaleReads(false);
        deployment.store.loseWriteAnswers(0);
        await advance(1_000);
        const again = deployment.book(entry, "k1");
        await advance(300);
        expect(entry.outcome(again)).toBe("unknown commitUnknown");
        expect(deployment.runs("k1")).toBe(0);
    });

    it("refuses new keys in a store outage, runs them after it, and answers known keys during it", async () => {
        const { entry } = await startSingleOwner();
        deployment.book(entry, "k1");
        await advance(300);
        deployment.store.setOutage(true);
        const known = deployment.book(entry, "k1");
        const fresh = deployment.book(entry, "k2");
        await advance(300);
        expect([entry.outcome(known), entry.outcome(fresh)]).toEqual(["replayed", "refused storeUnavailable"]);
        expect(deployment.runs("k2")).toBe(0);
        deployment.store.setOutage(false);
        await advance(SETTLE_MS);
        const later = deployment.book(entry, "k2");
        await advance(300);
        expect(entry.outcome(later)).toBe("completed");
    });

    it.each([
        { name: "failed", fault: () => deployment.engines[0]?.failNext(1), outcome: "unknown targetLost", runs: 1 },
        { name: "lost", fault: () => deployment.engines[0]?.truncateNext(1), outcome: "unknown targetLost", runs: 1 },
        {
            name: "ended by an error of the engine client",
            fault: () =>
                vi.spyOn(deployment.engines[0] as StandInEngine, "execute").mockImplementation(() => {
                    throw new Error("client fault");
                }),
            outcome: "unknown targetLost",
            runs: 0,
        },
        {
            name: "rejected",
            fault: () => deployment.engines[0]?.rejectNext(1),
            outcome: "failed rejectedByService",
            runs: 0,
        },
    ])("never runs a key again after its run was $name", async ({ fault, outcome, runs }) => {
        const { entry } = await startSingleOwner();
        fault();
        const first = deployment.book(entry, "k1");
        await advance(300);
        const second = deployment.book(entry, "k1");
        await advance(300);
        expect([entry.outcome(first), entry.outcome(second)]).toEqual([outcome, outcome]);
        expect(deployment.runs("k1")).toBe(runs);
    });

    it("runs a key on a later attempt if the target did not start the first run", async () => {
        const { entry } = await startSingleOwner();
        deployment.engines[0]?.crash(1_000);
        const first = deployment.book(entry, "k1");
        await advance(300);
        expect(entry.outcome(first)).toBe("refused overloaded");
        await advance(1_000);
        const second = deployment.book(entry, "k1");
        await advance(1_000);
        expect(entry.outcome(second)).toBe("completed");
        expect(deployment.runs("k1")).toBe(1);
    });

    it("refuses a late attempt of a withdrawn key, so that a caller's 'not run' stays true", async () => {
        const { entry } = await startSingleOwner();
        deployment.withdraw(entry, "k1");
        await advance(10);
        expect(entry.bodies("withdrawn")[0]?.state).toBe(Withdrawn_State.WITHDRAWN);
        const late = deployment.book(entry, "k1");
        await advance(300);
        expect(entry.outcome(late)).toBe("refused withdrawn");
        expect(deployment.runs("k1")).toBe(0);
        await advance(10_000);
        const later = deployment.book(entry, "k1");
        await advance(300);
        expect(entry.outcome(later)).toBe("completed");
    });

    it.each([
        { name: "running", wait: 20, state: Withdrawn_State.RUNNING },
        { name: "completed", wait: 300, state: Withdrawn_State.COMPLETED },
    ])("does not withdraw a key that is $name", async ({ wait, state }) => {
        const { entry } = await startSingleOwner();
        const attempt = deployment.book(entry, "k1");
        await advance(wait);
        deployment.withdraw(entry, "k1");
        await advance(300);
        expect(entry.bodies("withdrawn")[0]?.state).toBe(state);
        expect(entry.outcome(attempt)).toBe("completed");
    });

    it.each([
        { name: "epoch", fields: () => ({ slotEpoch: 77 }), outcome: "refused notOwner" },
        {
            name: "slot",
            fields: () => ({ slot: (deployment.slotOf("k1").slot + 1) % bookingService.slots }),
            outcome: "refused notOwner",
        },
        { name: "key", fields: () => ({ idempotencyKey: "" }), outcome: "refused unsupported" },
    ])("refuses a booking with a wrong $name", async ({ fields, outcome }) => {
        const { entry } = await startSingleOwner();
        const attempt = deployment.book(entry, "k1", fields());
        await advance(300);
        expect(entry.outcome(attempt)).toBe(outcome);
        expect(deployment.engines[0]?.counters().runs).toBe(0);
    });
});

describe("slots of several owners", () => {
    it("distributes the slots evenly over the running agents", async () => {
        for (const name of ["t1", "t2", "t3"]) await deployment.startAgent(name);
        await advance(SETTLE_MS * 2);
        const counts = deployment.agents.map(agent => agent.ownedSlots.length).sort();
        expect(counts).toEqual([2, 3, 3]);
        const all = deployment.agents.flatMap(agent => agent.ownedSlots).sort();
        expect(all).toEqual([0, 1, 2, 3, 4, 5, 6, 7]);
    });

    it("moves the slots of a zone that goes out to agents in other zones, and back, without running a key again", async () => {
        const inside = await deployment.startAgent("t1", {}, "z1");
        const outside = await deployment.startAgent("t2", {}, "z2");
        await advance(SETTLE_MS * 2);
        expect([inside.ownedSlots.length, outside.ownedSlots.length]).toEqual([4, 4]);
        const { slot } = deployment.slotOf("k1");
        const owner = inside.ownedSlots.includes(slot) ? inside : outside;
        const entry = await connect("e1", owner);
        deployment.book(entry, "k1");
        await advance(300);
        const zone = (state: "in" | "out") => ({ kind: "zone", name: "z1", value: { name: "z1", state } }) as const;
        for (const agent of deployment.agents) deployment.configure(agent, [zone("out")]);
        await advance(SETTLE_MS * 2);
        expect([inside.ownedSlots.length, outside.ownedSlots.length]).toEqual([0, 8]);
        const other = await connect("e2", outside);
        const again = deployment.book(other, "k1");
        await advance(300);
        expect([other.outcome(again), deployment.runs("k1")]).toEqual(["replayed", 1]);
        for (const agent of deployment.agents) deployment.configure(agent, [zone("in")]);
        await advance(SETTLE_MS * 2);
        expect([inside.ownedSlots.length, outside.ownedSlots.length]).toEqual([4, 4]);
    });

    it("answers the results and the claims of a dead owner without running anything again", async () => {
        const { agent, entry } = await startSingleOwner();
        deployment.engines[0]?.crash(100);
        deployment.book(entry, "notStarted");
        await advance(1_000);
        deployment.engines[0]?.turnWarm();
        deployment.book(entry, "finished");
        await advance(300);
        deployment.book(entry, "running");
        await advance(20);
        expect(deployment.runs("running")).toBe(1);
        agent.kill();
        const successor = await startSuccessor();
        await advance(TAKEOVER_MS);
        expect(successor.ownedSlots).toHaveLength(bookingService.slots);
        const other = await connect("e2", successor);
        const attempts = ["finished", "running", "notStarted"].map(key => deployment.book(other, key));
        await advance(300);
        expect(attempts.map(attempt => other.outcome(attempt))).toEqual([
            "replayed",
            "unknown claimWithoutResult",
            "completed",
        ]);
        expect(["finished", "running", "notStarted"].map(key => deployment.runs(key))).toEqual([1, 1, 1]);
    });

    it("hands over slots and results at a planned stop without waiting for a lease to expire", async () => {
        const { agent, entry } = await startSingleOwner();
        const successor = await startSuccessor();
        await advance(SETTLE_MS);
        expect(agent.ownedSlots.length).toBe(4);
        const key = Array.from({ length: 50 }, (_, index) => `k${index}`).find(
            name => deployment.slotOf(name).owner?.target === "t1",
        ) as string;
        const attempt = deployment.book(entry, key);
        await advance(20);
        const stopped = agent.stop();
        await advance(2_500);
        await stopped;
        expect(entry.outcome(attempt)).toBe("completed");
        expect(successor.ownedSlots).toHaveLength(bookingService.slots);
        const other = await connect("e2", successor);
        const again = deployment.book(other, key);
        await advance(100);
        expect(other.outcome(again)).toBe("replayed");
        expect(deployment.runs(key)).toBe(1);
    });

    // Guards against timers that keep the process alive for seconds after all slots were released.
    it("leaves no timer running after a planned stop", async () => {
        const { agent } = await startSingleOwner();
        const stopped = agent.stop();
        await advance(100);
        await stopped;
        await advance(LEASE_DURATION_MS / 4);
        expect(vi.getTimerCount()).toBe(0);
    });

    it("moves slots under load without running a key twice or losing a result", async () => {
        const agent = await deployment.startAgent("t1", { timePerCall: 300, concurrency: 100, batchLimit: 100 });
        await advance(SETTLE_MS);
        const entry = await connect("e1", agent);
        const successor = await startSuccessor();
        const other = await connect("e2", successor);
        const entries = new Map([
            ["t1", entry],
            ["t2", other],
        ]);
        const keys = Array.from({ length: 200 }, (_, index) => `k${index}`);
        for (const key of keys) {
            deployment.book(entry, key);
            await advance(20);
        }
        await advance(SETTLE_MS);
        expect([agent, successor].map(each => each.ownedSlots.length)).toEqual([4, 4]);
        const ran = keys.filter(key => deployment.runs(key) === 1);
        expect(ran.length).toBeGreaterThan(20);
        const outcomes = new Set<string>();
        for (const key of ran) {
            const owner = entries.get(deployment.slotOf(key).owner?.target ?? "") as TestEntry;
            const attempt = deployment.book(owner, key);
            await advance(100);
            outcomes.add(owner.outcome(attempt));
        }
        expect([...outcomes]).toEqual(["replayed"]);
        expect(keys.filter(key => deployment.runs(key) > 1)).toEqual([]);
    });

    it("does not run or withdraw keys at an owner that lost its slots while it was cut off from the store", async () => {
        const { agent, entry } = await startSingleOwner();
        const { epoch } = deployment.slotOf("k1").owner ?? { epoch: 0 };
        deployment.store.setOutage(true, "t1");
        const successor = await startSuccessor();
        await advance(TAKEOVER_MS);
        expect(successor.ownedSlots).toHaveLength(bookingService.slots);
        const other = await connect("e2", successor);
        const fresh = deployment.book(other, "k1");
        await advance(300);
        expect(other.outcome(fresh)).toBe("completed");
        const query = deployment.withdraw(entry, "k2", epoch);
        deployment.store.setOutage(false, "t1");
        const attempt = deployment.book(entry, "k1", { slotEpoch: epoch });
        await advance(300);
        expect(entry.outcome(attempt)).toBe("refused notOwner");
        expect(entry.bodies("withdrawn").find(answer => answer.query === query)?.state).toBe(Withdrawn_State.NOT_OWNER);
        expect(deployment.runs("k1")).toBe(1);
        await advance(SETTLE_MS * 2);
        expect([agent, successor].map(each => each.ownedSlots.length)).toEqual([4, 4]);
    });

    it("does not take the slots of owners that could not renew their leases in a store outage", async () => {
        const { agent } = await startSingleOwner();
        const other = await startSuccessor();
        await advance(SETTLE_MS);
        deployment.store.setOutage(true);
        await advance(60_000);
        deployment.store.setOutage(false);
        const before = deployment.slotOf("k1").owner?.epoch;
        await advance(SETTLE_MS);
        expect([agent, other].map(each => each.ownedSlots.length)).toEqual([4, 4]);
        expect(deployment.slotOf("k1").owner?.epoch).toBe(before);
    });
});

describe("services that continue without the store", () => {
    beforeEach(() => {
        deployment = new Deployment({ ...bookingService, whenStoreUnavailable: "continue" });
    });

    it("runs new keys in an outage and commits their results afterwards", async () => {
        const { agent, entry } = await startSingleOwner();
        deployment.store.setOutage(true);
        const attempt = deployment.book(entry, "k1");
        await advance(300);
        expect(entry.outcome(attempt)).toBe("completed");
        deployment.store.setOutage(false);
        await advance(SETTLE_MS);
        const stopped = agent.stop();
        await advance(3_000);
        await stopped;
        const successor = await startSuccessor();
        await advance(SETTLE_MS);
        const other = await connect("e2", successor);
        const again = deployment.book(other, "k1");
        await advance(300);
        expect(other.outcome(again)).toBe("replayed");
        expect(deployment.runs("k1")).toBe(1);
    });

    it("does not take the slots of a silent owner, which may still be running keys", async () => {
        const { agent } = await startSingleOwner();
        agent.kill();
        const successor = await startSuccessor();
        await advance(TAKEOVER_MS * 2);
        expect(successor.ownedSlots).toHaveLength(0);
    });
});
