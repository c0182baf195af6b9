/** Zone moves end with exactly one result on time, whatever happens to controllers and store. */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { SubjectRecordWriter } from "../../src/moves/change.js";
import { Fleet } from "./harness.js";

let fleet: Fleet;

beforeEach(async () => {
    vi.useFakeTimers();
    fleet = await Fleet.start();
});

afterEach(() => {
    fleet.end();
    vi.useRealTimers();
});

async function declareZoneMove(direction: "out" | "back", doneBy?: number, answerTime = 50): Promise<void> {
    const outcome = fleet.declareZone(direction, doneBy);
    await fleet.advance(answerTime);
    expect(await outcome).toMatchObject({ kind: "declared" });
}

/** Checks that the newest move has the result, that it never changed, and that the configuration agrees with it. */
function expectOneResult(kind: "done" | "takenBack", late = false): void {
    const { result, doneByMilliseconds } = fleet.move();
    expect(result).toMatchObject({ kind, late });
    if (!late) expect(result?.elapsedMilliseconds).toBeLessThanOrEqual(doneByMilliseconds);
    expect([...fleet.results.values()].map(seen => seen.size)).toEqual([1]);
    expect(fleet.zoneState()).toBe(kind === "done" ? "out" : "in");
    const states = fleet.moveChanges().map(({ set }) => (set[0]?.value as { readonly state: string }).state);
    expect(states).toEqual(kind === "done" ? ["out"] : states.length === 1 ? ["in"] : ["out", "in"]);
}

describe("a zone move out", () => {
    const conditions = [
        {
            what: "an acknowledgement",
            set: () => (fleet.unacknowledged = ["agent-7"]),
            named: "agent-7 has not acknowledged",
        },
        {
            what: "the end of open work",
            set: () => (fleet.work = [{ entry: "e2", attempts: 3 }]),
            named: "e2 has 3 open",
        },
        {
            what: "an entry's count",
            set: () => (fleet.work = [{ entry: "e2", attempts: undefined }]),
            named: "e2 has not counted",
        },
        {
            what: "the slots' move",
            set: () => (fleet.slotOwner = "book-east"),
            named: "book-east owns 1 slots",
        },
    ];

    it.each(conditions)("waits for $what, and is then done", async ({ set }) => {
        set();
        await declareZoneMove("out");
        await fleet.advance(10_000);
        expect(fleet.move().state).toBe("open");
        expect(fleet.zoneState()).toBe("out");
        fleet.unacknowledged = [];
        fleet.work = [];
        fleet.slotOwner = "book-west";
        await fleet.advance(1_000);
        expectOneResult("done");
    });

    it.each(conditions)("is rolled back in time without $what, and the reason names it", async ({ set, named }) => {
        set();
        await declareZoneMove("out", 20_000);
        await fleet.advance(40_000);
        expectOneResult("takenBack");
        expect(fleet.move().result?.reason).toContain(named);
    });

    it("back is done once it is acknowledged, despite open work, and otherwise restores the previous state", async () => {
        await fleet.setZone("operator", "out");
        fleet.work = [{ entry: "e2", attempts: 3 }];
        await declareZoneMove("back");
        await fleet.advance(2_000);
        expect(fleet.move().result).toMatchObject({ kind: "done" });
        expect(fleet.zoneState()).toBe("in");
        await fleet.setZone("operator", "out");
        fleet.unacknowledged = ["agent-7"];
        await declareZoneMove("back", 20_000);
        await fleet.advance(20_000);
        expect(fleet.move().result).toMatchObject({ kind: "takenBack", late: false });
        expect(fleet.zoneState()).toBe("out");
    });
});

/** Start of the faults in milliseconds after the declaration: before, during and after the configuration change. */
const TIMES = [0, 20, 60, 250, 700, 3_000, 9_000];
const OUTCOMES = [
    { kind: "done", readyAt: 6_000 },
    { kind: "takenBack", readyAt: Infinity },
] as const;
const CASES = TIMES.flatMap(at => OUTCOMES.map(outcome => ({ at, ...outcome }))).filter(
    ({ at, readyAt }) => at < readyAt,
);

describe("a zone move has one result", () => {
    async function runWithFault(readyAt: number, at: number, fault: () => void, doneBy = 20_000): Promise<void> {
        fleet.unacknowledged = ["agent-7"];
        await declareZoneMove("out", doneBy);
        let passed = 50;
        const until = async (time: number): Promise<void> => {
            await fleet.advance(Math.max(0, time - passed));
            passed = Math.max(passed, time);
        };
        const ready = async (): Promise<void> => {
            await until(readyAt);
            fleet.unacknowledged = [];
        };
        await until(at);
        fault();
        if (readyAt < Infinity) await ready();
        await until(doneBy + 30_000);
    }

    it.each(CASES)("when its controller dies after $at ms: $kind", async ({ at, kind, readyAt }) => {
        await runWithFault(readyAt, at, () => fleet.kill(at < 50 ? fleet.firstAlive : fleet.controllingEntry()));
        expectOneResult(kind);
    });

    it("when its controller dies as it rolls the move back", async () => {
        await runWithFault(Infinity, 16_020, () => fleet.kill(fleet.controllingEntry()));
        expectOneResult("takenBack");
    });

    it.each(CASES)(
        "when its controller is paused past its lease after $at ms: $kind",
        async ({ at, kind, readyAt }) => {
            await runWithFault(readyAt, at, () => {
                const { client } = at < 50 ? fleet.firstAlive : fleet.controllingEntry();
                client.pause();
                setTimeout(() => client.continue(), 10_000);
            });
            expectOneResult(kind);
        },
    );

    it.each(CASES)("when answers of the store are lost after $at ms: $kind", async ({ at, kind, readyAt }) => {
        await runWithFault(readyAt, at, () => {
            fleet.store.loseWriteAnswers(5, true);
            setTimeout(() => fleet.store.loseWriteAnswers(5, false), 500);
        });
        expectOneResult(kind);
    });

    it.each(CASES)("when the store is down for 8 s after $at ms: $kind", async ({ at, kind, readyAt }) => {
        await runWithFault(
            readyAt,
            at,
            () => {
                fleet.store.setOutage(true);
                setTimeout(() => fleet.store.setOutage(false), 8_000);
            },
            30_000,
        );
        expectOneResult(kind);
    });

    it.each([
        { at: 0, what: "before its change is made" },
        { at: 3_000, what: "after its change is made" },
        { at: 15_990, what: "as it is rolled back" },
    ])(
        "recorded as late, with a reason, when the store is down from $what until after the deadline",
        async ({ at }) => {
            await runWithFault(Infinity, at, () => {
                fleet.store.setOutage(true);
                setTimeout(() => fleet.store.setOutage(false), 25_000);
            });
            expectOneResult("takenBack", true);
            const { result } = fleet.move();
            expect(result?.elapsedMilliseconds).toBeGreaterThan(20_000);
            expect(result?.elapsedMilliseconds).toBeLessThan(at + 25_000 + 6_000);
            expect(result?.reason).toContain("recorded after the set time");
        },
    );
});

describe("concurrent operators", () => {
    it("keep their change of the zone, which ends the open move", async () => {
        fleet.unacknowledged = ["agent-7"];
        await declareZoneMove("out", 20_000);
        await fleet.advance(1_000);
        await fleet.setZone("anna", "in");
        await fleet.advance(2_000);
        expect(fleet.move().result).toMatchObject({ kind: "takenBack", reason: expect.stringContaining("by anna") });
        expect(fleet.moveChanges()).toHaveLength(1);
    });

    it("keep their change when another controller takes over", async () => {
        fleet.unacknowledged = ["agent-7"];
        await declareZoneMove("out", 20_000);
        await fleet.advance(1_000);
        fleet.kill(fleet.controllingEntry());
        await fleet.setZone("anna", "in");
        await fleet.advance(10_000);
        expect(fleet.move().result).toMatchObject({ kind: "takenBack", reason: expect.stringContaining("by anna") });
        expect([fleet.moveChanges().length, fleet.zoneState()]).toEqual([1, "in"]);
    });

    it("keep their change when a move that changed nothing yet is rolled back, and a paused controller cannot write", async () => {
        for (const { controller } of fleet.entries) controller.kill();
        await declareZoneMove("out");
        const [entry] = fleet.entries;
        if (entry === undefined) throw new Error("no entry");
        await fleet.setZone("anna", "out");
        const pausedBase = entry.holder.current;
        const store = fleet.store.client("e1");
        const change = SubjectRecordWriter.of({ store, holder: entry.holder, log: entry.log }, fleet.move(), "zone");
        const record = { kind: "zone", name: "east", value: { name: "east", state: "in" } } as const;
        const outcome = await change.restore(record, () => true);
        expect(outcome).toMatchObject({ kind: "overridden", by: { author: "anna" } });
        expect(fleet.zoneState()).toBe("out");
        const late = { base: pausedBase, author: "move zone-east-1", difference: { set: [record], removed: [] } };
        expect(await entry.log.accept(late)).toMatchObject({ kind: "conflict" });
    });

    it("declare opposite moves at the same time: one wins, and the other reads which", async () => {
        fleet.unacknowledged = ["agent-7"];
        for (let round = 1; round <= 5; round += 1) {
            const [first, second] = fleet.entries;
            const orders = [fleet.declareZone("out", 20_000, first), fleet.declareZone("back", 20_000, second)];
            await fleet.advance(500);
            const outcomes = await Promise.all(orders);
            expect(outcomes.map(({ kind }) => kind).sort()).toEqual(["declared", "open"]);
            const moves = outcomes.map(outcome => ("move" in outcome ? outcome.move.declaration : ""));
            expect(new Set(moves).size).toBe(1);
            await fleet.advance(20_000);
            expect(fleet.moves()).toHaveLength(round);
        }
    });

    it.each([true, false])("declare a move once when the answer is lost (write applied: %s)", async applied => {
        fleet.store.loseWriteAnswers(2, applied);
        await declareZoneMove("out", 20_000, 500);
        await fleet.advance(20_000);
        expect(fleet.moves()).toHaveLength(1);
        expectOneResult("done");
    });

    it("open no second move from a stale view of the moves", async () => {
        fleet.unacknowledged = ["agent-7"];
        await declareZoneMove("out", 20_000);
        fleet.store.setStaleReads(true, 300);
        const outcome = fleet.declareZone("back", 20_000, fleet.entries[1]);
        await fleet.advance(3_000);
        expect(await outcome).toMatchObject({ kind: "open", move: { number: 1 } });
    });
});
