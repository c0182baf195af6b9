/** The time that a planned stop leaves for requests, and what counts as the usual time of a route. */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { Shutdown } from "../../src/gateway/shutdown.js";
import { UsualTimes } from "../../src/gateway/usualtimes.js";
import { Deadline } from "../../src/model/index.js";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

describe("a planned stop with 3 s left", () => {
    // Guards against a request that is taken though it outlasts the grace period, and against a needless refusal.
    it.each([
        { usualMs: 100, deadlineMs: 15_000, hasTime: true },
        { usualMs: 3_500, deadlineMs: 15_000, hasTime: false },
        { usualMs: 3_500, deadlineMs: 2_000, hasTime: true },
        { usualMs: Number.POSITIVE_INFINITY, deadlineMs: 15_000, hasTime: false },
        { usualMs: Number.POSITIVE_INFINITY, deadlineMs: 2_000, hasTime: true },
    ])("has time: $hasTime for $usualMs ms within $deadlineMs ms", ({ usualMs, deadlineMs, hasTime }) => {
        const shutdown = Shutdown.create();
        const deadline = Deadline.after(deadlineMs);
        expect(shutdown.hasTimeFor(usualMs, deadline)).toBe(true);
        expect(shutdown.limit(deadline).remainingMs()).toBe(deadlineMs);
        shutdown.begin(Deadline.after(3_000));
        expect(shutdown.hasTimeFor(usualMs, deadline)).toBe(hasTime);
        expect(shutdown.limit(deadline).remainingMs()).toBe(Math.min(3_000, deadlineMs));
    });

    it("calls back when the time is over, unless that was cancelled", () => {
        const shutdown = Shutdown.create();
        const [open, ended] = [vi.fn(), vi.fn()];
        shutdown.onDue(open);
        shutdown.onDue(ended)();
        shutdown.begin(Deadline.after(3_000));
        vi.advanceTimersByTime(2_999);
        expect(open).not.toHaveBeenCalled();
        vi.advanceTimersByTime(1);
        expect(open).toHaveBeenCalledOnce();
        expect(ended).not.toHaveBeenCalled();
    });
});

describe("the usual time of a route", () => {
    // Guards against a single slow request that makes a route look slow for ever.
    it("is the longest of its last 32 requests, and infinite without one", () => {
        const times = UsualTimes.create();
        times.record("chat", 5_000);
        times.record("chat", 900);
        expect(times.usualMs("chat")).toBe(5_000);
        for (let count = 0; count < 31; count += 1) times.record("chat", 800);
        expect(times.usualMs("chat")).toBe(900);
        expect(times.usualMs("book")).toBe(Number.POSITIVE_INFINITY);
    });
});
