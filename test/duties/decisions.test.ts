/**
 * The parts of the duties that decide, without a network.
 *
 * Guards against reports that are fixed too early or too late, counts that a repeated message doubles, windows that follow
 * a jump of the clock, and calls that are sent without a valid lease.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { candidateOrder } from "../../src/duties/candidates.js";
import { CallPacer } from "../../src/duties/callpacer.js";
import { FreezeWatch } from "../../src/duties/freezewatch.js";
import { handOverIntervalMs } from "../../src/duties/handover.js";
import { Tenure } from "../../src/duties/tenure.js";
import { TrueClock } from "../../src/duties/trueclock.js";
import { RequestUsage, UsageCounter } from "../../src/duties/usagecounter.js";
import { Acknowledgements, KEPT_WINDOWS, type LedgerEntry, UsageLedger } from "../../src/duties/usageledger.js";
import { decideWindow, type WindowState } from "../../src/duties/usageplan.js";
import type { ReadOutcome, Store, WriteOutcome } from "../../src/store/index.js";

describe("the decision on a window", () => {
    const ended: WindowState = {
        now: 1_000,
        endsAt: 0,
        dueAt: 10_000,
        takenAt: -60_000,
        isFixed: false,
        mayLackReports: false,
        isComplete: true,
    };

    it.each<[string, Partial<WindowState>, string]>([
        ["complete, before its counts have settled", { now: 900 }, "wait"],
        ["complete and settled", {}, "fix"],
        ["incomplete, long before its report is due", { isComplete: false, now: 7_400 }, "wait"],
        ["incomplete, 2.5 s before its report is due", { isComplete: false, now: 7_500 }, "fix"],
        ["fixed", { isFixed: true, now: 100 }, "send"],
        ["fixed and too late", { isFixed: true, now: 9_990 }, "giveUp"],
        ["not fixed and too late", { now: 10_000 }, "giveUp"],
        ["from before a new holder in a restored store", { mayLackReports: true, takenAt: 500 }, "giveUp"],
        ["of a new holder in a restored store", { mayLackReports: true, takenAt: -100 }, "fix"],
        ["fixed before the store was restored", { mayLackReports: true, takenAt: 500, isFixed: true }, "send"],
        ["incomplete at a late holder", { isComplete: false, now: 8_000, takenAt: 7_000 }, "wait"],
        ["incomplete at a late holder that has waited", { isComplete: false, now: 8_500, takenAt: 7_000 }, "fix"],
        ["incomplete at a very late holder", { isComplete: false, now: 9_000, takenAt: 8_900 }, "fix"],
        ["with a report that is due soon", { isComplete: false, dueAt: 3_000, now: 500 }, "fix"],
    ])("%s", (_, change, kind) => {
        expect(decideWindow({ ...ended, ...change }).kind).toBe(kind);
    });
});

describe("the interval of hand-overs", () => {
    it.each([
        [5_000, 0.05, 3, 375],
        [5_000, 0.05, 8, 1_000],
        [5_000, 0.05, 90, 1_000],
        [1_000, 0.05, 1, 200],
    ])("windows of %d ms, tolerance %d, %d gateways: %d ms", (windowMs, tolerance, gateways, expected) => {
        expect(handOverIntervalMs(windowMs, tolerance, gateways)).toBeCloseTo(expected);
    });
});

describe("the clock of windows", () => {
    it("follows drift, and not jumps in either direction", () => {
        const readings = { wall: 1_000_000, monotonic: 5_000 };
        const jumps: number[] = [];
        const clock = TrueClock.create(jumpMs => jumps.push(jumpMs), {
            wall: () => readings.wall,
            monotonic: () => readings.monotonic,
        });
        const pass = (milliseconds: number, extra = 0): number => {
            readings.monotonic += milliseconds;
            readings.wall += milliseconds + extra;
            return clock.now();
        };
        expect(pass(1_000)).toBe(1_001_000);
        expect(pass(1_000, 5)).toBe(1_002_005);
        expect(pass(1_000, 3_000)).toBe(1_003_005);
        expect(pass(1_000)).toBe(1_004_005);
        expect(pass(1_000, -5_000)).toBe(1_005_005);
        expect(pass(1_000, 2)).toBe(1_006_007);
        expect(jumps).toEqual([3_000, -5_000]);
    });
});

describe("the ledger", () => {
    const entry = (change: Partial<LedgerEntry>): LedgerEntry => ({
        windowId: 100,
        gateway: "a",
        start: "a1",
        revision: 1,
        isFinal: false,
        counts: { x: 1 },
        ...change,
    });

    it("replaces totals of one process and adds those of others, in whichever order they come", () => {
        const ledger = UsageLedger.create();
        const entries = [
            entry({}),
            entry({ revision: 3, counts: { x: 5, y: 0 } }),
            entry({ revision: 2, counts: { x: 3 } }),
            entry({ start: "a2", counts: { x: 10 } }),
            entry({ gateway: "b", start: "b1", counts: { y: 7 }, isFinal: true }),
        ];
        for (const given of [...entries, ...entries]) ledger.put(given);
        expect(ledger.totals(100)).toEqual({ x: 15, y: 7 });
        expect([...ledger.completeGateways(100)]).toEqual(["b"]);
    });

    it("keeps the last windows, and none whose report was acknowledged", () => {
        const ledger = UsageLedger.create();
        for (let windowId = 0; windowId < 100; windowId += 1) {
            ledger.advance(windowId);
            ledger.put(entry({ windowId }));
        }
        expect(ledger.pending(Acknowledgements.create(), () => true)).toHaveLength(KEPT_WINDOWS);
        ledger.close(99);
        ledger.put(entry({ windowId: 99, revision: 9 }));
        expect(ledger.totals(99)).toEqual({});
        ledger.put(entry({ windowId: 50 }));
        expect(ledger.totals(50)).toEqual({});
    });

    it("has nothing pending that was acknowledged, until it changes or its window ends", () => {
        const ledger = UsageLedger.create();
        const acknowledged = Acknowledgements.create();
        ledger.put(entry({}));
        acknowledged.add(ledger.pending(acknowledged, () => true));
        expect(ledger.pending(acknowledged, () => true)).toEqual([]);
        ledger.put(entry({ isFinal: true }));
        expect(ledger.pending(acknowledged, () => true)).toHaveLength(1);
    });
});

describe("a gateway's counts", () => {
    it("belong to the window in which they began, also when they are taken back later", () => {
        let now = 10_000;
        const ledger = UsageLedger.create();
        const options = { gateway: "a", start: "a1", windowMs: 1_000, now: () => now, ledger };
        const counter = UsageCounter.create(options);
        counter.count("x");
        const takeBack = counter.count("x");
        now = 11_100;
        counter.update();
        expect(ledger.totals(10)).toEqual({ x: 2 });
        expect(ledger.completeGateways(10).size).toBe(0);
        takeBack();
        now = 15_300;
        counter.update();
        expect(ledger.totals(10)).toEqual({ x: 1 });
        // Windows without requests are complete as well, also those in which the process did not run.
        for (const id of [10, 11, 12, 13, 14]) expect(ledger.completeGateways(id).size).toBe(1);
        expect(ledger.completeGateways(15).size).toBe(0);
    });

    it.each<[string, readonly ("run" | "none")[], number]>([
        ["a run", ["run"], 1],
        ["a run that was none", ["run", "none"], 0],
        ["a run after one that was none", ["run", "none", "run"], 1],
        ["two runs", ["run", "run"], 1],
        ["two runs, one of which was none", ["run", "run", "none"], 1],
        ["two runs that were none", ["run", "run", "none", "none"], 0],
    ])("have one request for %s", (_, steps, expected) => {
        let count = 0;
        const usage = RequestUsage.create(() => {
            count += 1;
            return () => (count -= 1);
        }, "x");
        for (const step of steps) (step === "run" ? () => usage.recordRun() : () => usage.recordNoRun())();
        expect(count).toBe(expected);
    });

    it("have no request without an account", () => {
        const countRun = vi.fn(() => () => undefined);
        RequestUsage.create(countRun, undefined).recordRun();
        expect(countRun).not.toHaveBeenCalled();
    });
});

describe("the order of candidates", () => {
    it("stays when other gateways come or go", () => {
        const names = Array.from({ length: 30 }, (_, index) => `gateway-${index}`);
        const order = candidateOrder(names);
        const fewer = names.filter((_, index) => index % 3 !== 0);
        expect(candidateOrder([...fewer].reverse())).toEqual(order.filter(name => fewer.includes(name)));
    });
});

describe("with paused time", () => {
    beforeEach(() => {
        vi.useFakeTimers();
    });
    afterEach(() => {
        vi.useRealTimers();
    });

    it("calls pause for longer after each failure, and follow the accepted rate otherwise", () => {
        const pacer = CallPacer.create(50, 1_000, () => 0.5);
        const waitMs = (): number => {
            let waited = 0;
            for (; !pacer.mayCall; waited += 10) vi.advanceTimersByTime(10);
            return waited;
        };
        const failures = Array.from({ length: 5 }, () => {
            pacer.recordNotAccepted();
            return waitMs();
        });
        expect(failures).toEqual([200, 400, 800, 1_000, 1_000]);
        pacer.recordNotAccepted(1_500);
        expect(waitMs()).toBe(1_500);
        pacer.recordAccepted();
        expect(waitMs()).toBe(40);
        pacer.recordNotAccepted();
        expect(waitMs()).toBe(200);
    });

    it("two candidates never act at a time or in the order A, B, A, while links to the store fail and processes freeze", async () => {
        const LEASE_MS = 3_000;
        const store = new MemoryStore();
        const isCut = [false, false, false];
        const freezes = isCut.map(() => FreezeWatch.start(300));
        const tenures = isCut.map((_, index) =>
            Tenure.start({
                store: store.seenBy(() => isCut[index] ?? false),
                key: "duties/holder",
                gateway: `gateway-${index}`,
                start: String(index),
                leaseMs: LEASE_MS,
                freezes: freezes[index] ?? FreezeWatch.start(300),
                rank: () => index,
                hearsHolder: () => false,
                onTaken: () => undefined,
                onChange: () => undefined,
            }),
        );
        const acts: { readonly at: number; readonly index: number; readonly fencing: number }[] = [];
        let seed = 7;
        const random = (): number => (seed = (seed * 48_271) % 2_147_483_647) / 2_147_483_647;
        for (let step = 0; step < 20_000; step += 1) {
            await vi.advanceTimersByTimeAsync(20);
            if (random() < 0.004) {
                const index = Math.floor(random() * 3);
                isCut[index] = !(isCut[index] ?? false);
            }
            if (random() < 0.004) freezes[Math.floor(random() * 3)]?.record();
            for (const [index, tenure] of tenures.entries()) {
                if (tenure.actingMs > 0) acts.push({ at: performance.now(), index, fencing: tenure.fencing ?? 0 });
            }
        }
        for (const tenure of tenures) tenure.abandon();
        for (const freeze of freezes) freeze.stop();
        expect(acts.length).toBeGreaterThan(5_000);
        expect(new Set(acts.map(({ index }) => index)).size).toBe(3);
        const changes = acts.filter((act, index) => act.fencing !== acts[index - 1]?.fencing);
        const fencings = changes.map(({ fencing }) => fencing);
        expect(fencings).toEqual([...new Set(fencings)].sort((left, right) => left - right));
        for (const [index, act] of acts.entries()) {
            const last = acts[index - 1];
            if (last === undefined || last.index === act.index) continue;
            const earlier = acts.slice(0, index).findLast(other => other.index === act.index);
            if (earlier !== undefined) expect(act.at - earlier.at).toBeGreaterThan(LEASE_MS);
        }
    });
});

describe("a freeze", () => {
    it("is noticed at the first look after it", () => {
        const watch = FreezeWatch.start(100);
        const startedAt = performance.now();
        expect(watch.lastResumedAt).toBe(Number.NEGATIVE_INFINITY);
        while (performance.now() - startedAt < 400);
        expect(watch.lastResumedAt).toBeGreaterThan(startedAt);
        watch.stop();
    });
});

/** One object with conditional writes; its clients can be cut off, after which some writes are applied without an answer. */
class MemoryStore {
    private value = "";
    private version = 0;

    seenBy(isCut: () => boolean): Store {
        const unavailable = { kind: "unavailable", message: "cut off" } as const;
        const read = (): Promise<ReadOutcome> => {
            if (isCut()) return Promise.resolve(unavailable);
            if (this.version === 0) return Promise.resolve({ kind: "missing", era: 0 });
            const object = { key: "duties/holder", version: this.version, value: this.value };
            return Promise.resolve({ kind: "found", object, era: 0 });
        };
        const write = (_key: string, value: string, expected: number): Promise<WriteOutcome> => {
            if (isCut()) return Promise.resolve(unavailable);
            if (expected !== this.version) return Promise.resolve({ kind: "conflict" });
            this.version += 1;
            this.value = value;
            return Promise.resolve({ kind: "written", version: this.version, era: 0 });
        };
        const unused = (): never => {
            throw new Error("not used");
        };
        return { read, write, list: unused, watch: unused, remove: unused };
    }
}
