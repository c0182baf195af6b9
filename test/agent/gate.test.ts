/** The gate keeps a target within its concurrency limit and refuses attempts for the true reason. */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { Gate, type GateRequest, type GateRun } from "../../src/agent/gate.js";
import { Deadline, type StageOutcome } from "../../src/model/index.js";
import { logger, metrics } from "./harness.js";

const done: StageOutcome = { kind: "completed", output: "1", tokens: 0, costMilliseconds: 1, replayed: false };

beforeEach(() => {
    vi.useFakeTimers();
});

afterEach(() => {
    vi.useRealTimers();
});

function createGate(warm = 8, cold = 2, maximumQueued = 64): Gate {
    const gate = Gate.create({ maximumQueued, logger, metrics });
    gate.setLimits({ warm, cold });
    return gate;
}

function request(fields: Partial<GateRequest> & { remaining?: number } = {}): GateRequest {
    return {
        operation: "check",
        priority: 0,
        deadline: Deadline.after(fields.remaining ?? 4_000),
        cancellable: true,
        signal: new AbortController().signal,
        ...fields,
    };
}

/** A task that takes `milliseconds` and reports the given start and end of an execution. */
function task(
    milliseconds: number,
    report: { boot?: string; cold?: boolean; result?: "succeeded" | "failed" } = {},
): (run: GateRun) => Promise<StageOutcome> {
    return async run => {
        run.started(report.boot ?? "boot", report.cold ?? false);
        await new Promise<void>(resolve => {
            setTimeout(resolve, milliseconds);
            run.signal.addEventListener("abort", () => resolve());
        });
        run.finished(run.signal.aborted ? "neutral" : (report.result ?? "succeeded"));
        return run.signal.aborted ? { kind: "failed", reason: "cancelled", message: "", costMilliseconds: 0 } : done;
    };
}

/** Runs tasks one after the other until the gate admits its warm limit. */
async function warmUp(gate: Gate): Promise<void> {
    for (let count = 0; count < 40; count += 1) {
        void gate.run(request(), task(1));
        await vi.advanceTimersByTimeAsync(2);
    }
}

/** Starts runs of one second. The returned list receives the index and outcome of each run when it ends. */
function startRuns(gate: Gate, count: number, cancellable = true): string[] {
    const ends: string[] = [];
    for (let index = 0; index < count; index += 1) {
        void gate.run(request({ cancellable }), task(1_000)).then(outcome => ends.push(`${index} ${outcome.kind}`));
    }
    return ends;
}

describe("limit", () => {
    it("starts at the cold limit and rises with successes, so that a restarted agent does not overload its target", async () => {
        const gate = createGate();
        startRuns(gate, 10);
        expect(gate.load).toEqual({ running: 2, queued: 8, limit: 2, cold: false });
        await vi.advanceTimersByTimeAsync(6_000);
        await warmUp(gate);
        expect(gate.load).toMatchObject({ limit: 8, cold: false });
    });

    it("admits one run at a time before a configuration is known", () => {
        const gate = Gate.create({ maximumQueued: 64, logger, metrics });
        startRuns(gate, 3);
        expect(gate.load).toMatchObject({ running: 1, limit: 1 });
    });

    it("does not rise with successes of runs that started cold", async () => {
        const gate = createGate();
        for (let count = 0; count < 20; count += 1) {
            for (let pair = 0; pair < 2; pair += 1) void gate.run(request(), task(1, { cold: true }));
            await vi.advanceTimersByTimeAsync(2);
        }
        expect(gate.load).toMatchObject({ limit: 2, cold: true });
    });

    const load = { bootId: "boot", cold: false, running: 0, queued: 0, capacity: 8 };
    it.each([
        { name: "a new boot id in a load report", turn: (gate: Gate) => gate.observeLoad({ ...load, bootId: "new" }) },
        { name: "a cold load report", turn: (gate: Gate) => gate.observeLoad({ ...load, cold: true }) },
        { name: "a cold start of an execution", turn: (gate: Gate) => gate.observeStart("boot", true) },
        { name: "a new boot id at the start of an execution", turn: (gate: Gate) => gate.observeStart("new", true) },
        {
            name: "three failures in a row",
            turn: (gate: Gate) => {
                for (let count = 0; count < 3; count += 1) gate.observeResult("check", "failed", 1, true);
            },
        },
    ])("returns to the cold limit and cancels the youngest excess runs on $name", async ({ turn }) => {
        const gate = createGate();
        await warmUp(gate);
        const ends = startRuns(gate, 9);
        expect(gate.load).toMatchObject({ running: 8, queued: 1 });
        turn(gate);
        await vi.advanceTimersByTimeAsync(1);
        expect(gate.load).toMatchObject({ running: 2, queued: 1, limit: 2, cold: true });
        expect(ends).toEqual([7, 6, 5, 4, 3, 2].map(index => `${index} failed`));
    });

    it("cancels no non-idempotent run", async () => {
        const gate = createGate();
        await warmUp(gate);
        const ends = startRuns(gate, 4, false);
        gate.observeStart("boot", true);
        await vi.advanceTimersByTimeAsync(1);
        expect([gate.load.running, ends]).toEqual([4, []]);
    });

    it("ignores a late load report from an earlier boot", async () => {
        const gate = createGate();
        await warmUp(gate);
        gate.observeStart("new", false);
        for (let count = 0; count < 40; count += 1) gate.observeResult("check", "succeeded", 1, true);
        gate.observeLoad({ ...load, bootId: "boot", cold: true });
        expect(gate.load).toMatchObject({ limit: 8, cold: false });
    });
});

describe("waiting attempts", () => {
    it("run by priority and then by deadline", async () => {
        const gate = createGate(1, 1);
        const order: string[] = [];
        const start = (name: string, priority: number, remaining: number): void => {
            void gate.run(request({ priority, remaining }), run => {
                order.push(name);
                return task(10)(run);
            });
        };
        start("first", 0, 4_000);
        start("late", 0, 4_000);
        start("early", 0, 2_000);
        start("urgent", 1, 4_000);
        await vi.advanceTimersByTimeAsync(100);
        expect(order).toEqual(["first", "urgent", "early", "late"]);
    });

    it.each([
        { name: "overloaded when the queue is full", queued: 2, remaining: 4_000, reason: "overloaded" },
        { name: "deadline when their time ends before there is room", queued: 1, remaining: 50, reason: "deadline" },
    ])("are refused as $name, before they reach the target", async ({ queued, remaining, reason }) => {
        const gate = createGate(1, 1, 2);
        startRuns(gate, queued + 1);
        let called = false;
        const outcome = gate.run(request({ remaining }), run => {
            called = true;
            return task(1)(run);
        });
        await vi.advanceTimersByTimeAsync(60);
        expect(await outcome).toMatchObject({ kind: "refused", reason });
        await vi.advanceTimersByTimeAsync(5_000);
        expect(called).toBe(false);
    });

    it("are refused at once when recent runs took longer than the remaining time, until those runs expire", async () => {
        const gate = createGate(1, 1);
        for (let count = 0; count < 4; count += 1) gate.observeResult("check", "succeeded", 300, true);
        expect(gate.refusal(request({ remaining: 200 }))?.reason).toBe("deadline");
        expect(gate.refusal(request({ remaining: 400 }))).toBeUndefined();
        expect(gate.refusal(request({ remaining: 200, operation: "other" }))).toBeUndefined();
        await vi.advanceTimersByTimeAsync(5_001);
        expect(gate.refusal(request({ remaining: 200 }))).toBeUndefined();
    });

    it("leave the queue when their sender cancels them, without freeing the place of a running attempt", async () => {
        const gate = createGate(1, 1);
        startRuns(gate, 1);
        const controller = new AbortController();
        const outcome = gate.run(request({ signal: controller.signal }), task(1));
        controller.abort();
        expect(await outcome).toMatchObject({ kind: "refused", reason: "withdrawn" });
        expect(gate.load).toMatchObject({ running: 1, queued: 0 });
    });
});
