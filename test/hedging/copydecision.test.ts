/**
 * When a slow call is sent to a second target. The cases guard against copies that add to an overload, copies beyond the
 * limits that operators set, and copies of calls that may not be repeated.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
    CopyBudget,
    type CopyGrant,
    copyDelayMs,
    decideCopy,
    RouteLatencies,
    type SlowCall,
    type TargetWork,
} from "../../src/hedging/index.js";

const IDLE: TargetWork = { running: 0, waiting: 0, slots: 4 };

/** A call for which a copy is sent. */
const SLOW: SlowCall = {
    elapsedMs: 100,
    slowMs: 100,
    latencyObjectiveMs: 500,
    remainingMs: 1_000,
    hasAttemptLeft: true,
    isStopping: false,
    isSuspected: false,
    hasRetryLeft: true,
    hasCopyLeft: true,
    isLimitReached: false,
    pool: [IDLE, IDLE],
    other: () => IDLE,
};

beforeEach(() => vi.useFakeTimers());

afterEach(() => vi.useRealTimers());

describe("a copy", () => {
    it("of a slow call is sent", () => {
        expect(decideCopy(SLOW)).toEqual({ kind: "send" });
    });

    it.each([
        { case: "quicker than the 95th percentile", change: { elapsedMs: 99 } },
        { case: "quicker than a tenth of the objective", change: { elapsedMs: 40, slowMs: 20 } },
        { case: "of a route of which too little is known", change: { slowMs: undefined } },
    ])("of a call $case is not due", ({ change }) => {
        expect(decideCopy({ ...SLOW, ...change })).toEqual({ kind: "notDue" });
    });

    it.each([
        { change: { hasAttemptLeft: false }, obstacle: "no attempt is left" },
        { change: { isStopping: true }, obstacle: "stopping" },
        { change: { isSuspected: true }, obstacle: "request may crash targets" },
        { change: { remainingMs: 99 }, obstacle: "no time is left" },
        { change: { hasCopyLeft: false }, obstacle: "no copy is left" },
        { change: { hasRetryLeft: false }, obstacle: "no retry is left" },
        { change: { other: (): undefined => undefined }, obstacle: "no other target" },
        { change: { pool: [], other: (): undefined => undefined }, obstacle: "no other target" },
        { change: { isLimitReached: true }, obstacle: "targets are busy" },
        { change: { other: (): TargetWork => ({ ...IDLE, waiting: 1 }) }, obstacle: "targets are busy" },
        { change: { other: (): TargetWork => ({ ...IDLE, running: 4 }) }, obstacle: "targets are busy" },
        { change: { pool: [{ ...IDLE, running: 4, waiting: 2 }, IDLE] }, obstacle: "targets are busy" },
    ])("is denied: $change", ({ change, obstacle }) => {
        expect(decideCopy({ ...SLOW, ...change })).toEqual({ kind: "denied", obstacle });
    });

    it("is never sent as the load of the pool rises above its free capacity", () => {
        // Running work, at 10 targets of 4 slots; the one that would get the copy stays idle.
        const sentAt = Array.from({ length: 60 }, (_, work) => work).filter(work => {
            const busy = Array.from({ length: 9 }, (_, index) => Math.max(0, Math.min(6, work - index * 6)));
            const pool = [IDLE, ...busy.map(count => ({ running: Math.min(4, count), waiting: count - 4, slots: 4 }))];
            const checked = pool.map(target => ({ ...target, waiting: Math.max(0, target.waiting) }));
            return decideCopy({ ...SLOW, pool: checked }).kind === "send";
        });
        expect(Math.max(...sentAt)).toBe(27);
    });
});

describe("the 95th percentile of a route", () => {
    it("is known from 30 latencies on", () => {
        const latencies = RouteLatencies.create();
        for (let index = 0; index < 29; index += 1) latencies.record("check", 10);
        expect(latencies.slowMs("check")).toBeUndefined();
        latencies.record("check", 10);
        vi.advanceTimersByTime(100);
        expect(latencies.slowMs("check")).toBe(10);
        expect(latencies.slowMs("book")).toBeUndefined();
    });

    it("follows the recent latencies and forgets old ones and removed routes", () => {
        const latencies = RouteLatencies.create();
        for (let index = 1; index <= 100; index += 1) latencies.record("check", index);
        expect(latencies.slowMs("check")).toBe(95);
        vi.advanceTimersByTime(30_000);
        for (let index = 0; index < 400; index += 1) latencies.record("check", 10);
        expect(latencies.slowMs("check")).toBe(10);
        vi.advanceTimersByTime(60_001);
        expect(latencies.slowMs("check")).toBeUndefined();
        for (let index = 0; index < 30; index += 1) latencies.record("check", 10);
        latencies.keepOnly(new Set());
        expect(latencies.slowMs("check")).toBeUndefined();
    });

    it("stays the same when copies answer all calls that are slower", () => {
        const latencies = RouteLatencies.create();
        // One call in ten is slow, with latencies spread over 100 to 400 ms.
        const ownMs = (index: number): number => (index % 10 === 0 ? 100 + (((index / 10) * 37) % 100) * 3 : 10);
        for (let index = 0; index < 1_000; index += 1) latencies.record("check", ownMs(index));
        const beforeMs = latencies.slowMs("check") ?? 0;
        for (let index = 0; index < 4_000; index += 1) {
            vi.advanceTimersByTime(10);
            const delayMs = copyDelayMs({ slowMs: latencies.slowMs("check"), latencyObjectiveMs: 500 }) ?? 0;
            // A copy is answered 10 ms after it is sent.
            latencies.record("check", Math.min(ownMs(index), delayMs + 10));
        }
        expect(beforeMs).toBeGreaterThan(200);
        expect(latencies.slowMs("check")).toBeGreaterThan(0.8 * beforeMs);
    });
});

describe("the budget of copies", () => {
    const options = { windowMs: 10_000, fractionOfRequests: 0.05, fractionOfTargetTime: 0.05 };

    it("holds under a burst of slow answers, by number and by time", () => {
        const budget = CopyBudget.create(options);
        const grants: CopyGrant[] = [];
        for (let index = 0; index < 200; index += 1) {
            budget.recordRequest();
            budget.recordAttempt(50);
        }
        // All of 1,000 further calls are due for a copy at once.
        for (let index = 0; index < 1_000; index += 1) if (budget.available(40)) grants.push(budget.take(40));
        expect(grants).toHaveLength(10);
        for (const grant of grants) grant.end(40);
        expect(budget.available(40)).toBe(false);
        vi.advanceTimersByTime(11_000);
        expect(budget.isUnused).toBe(true);
    });

    it("is limited by the time of copies where they take longer than other attempts", () => {
        const budget = CopyBudget.create(options);
        for (let index = 0; index < 200; index += 1) {
            budget.recordRequest();
            budget.recordAttempt(50);
        }
        const grants = [200, 200].map(longestMs => budget.take(longestMs));
        expect(budget.available(200)).toBe(false);
        // What a copy did not use is there for others.
        grants[0]?.end(50);
        expect(budget.available(200)).toBe(true);
        expect(budget.available(300)).toBe(false);
    });

    it("gets back the copies that were not sent, once", () => {
        const budget = CopyBudget.create(options);
        for (let index = 0; index < 20; index += 1) {
            budget.recordRequest();
            budget.recordAttempt(1_000);
        }
        const grant = budget.take(10);
        expect(budget.available(10)).toBe(false);
        grant.end(undefined);
        grant.end(10);
        expect(budget.available(10)).toBe(true);
    });

    it.each([
        { fractionOfRequests: 0, fractionOfTargetTime: 1 },
        { fractionOfRequests: 1, fractionOfTargetTime: 0 },
    ])("allows no copy with $fractionOfRequests and $fractionOfTargetTime", fractions => {
        const budget = CopyBudget.create({ ...options, ...fractions });
        budget.recordRequest();
        budget.recordAttempt(1_000);
        expect(budget.available(1)).toBe(false);
    });
});
