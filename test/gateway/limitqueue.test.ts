/**
 * How long requests wait for limits, and when refused ones may come back. Times that are too early make callers come in vain,
 * and times that are equal make them come together.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { LimitQueue } from "../../src/gateway/limitqueue.js";
import { TokenBucket } from "../../src/routing/index.js";

beforeEach(() => {
    vi.useFakeTimers();
});
afterEach(() => {
    vi.useRealTimers();
});

function queueWith(rates: readonly number[] | undefined): LimitQueue {
    const buckets = rates?.map(perSecond => {
        const bucket = TokenBucket.create({ perSecond, capacity: 1 });
        bucket.take();
        return bucket;
    });
    return LimitQueue.create({ limitBuckets: () => buckets });
}

describe("LimitQueue", () => {
    it.each([
        { name: "no limits", rates: undefined, ahead: 3, expected: undefined },
        { name: "one limit", rates: [2], ahead: 0, expected: 500 },
        { name: "others ahead", rates: [2], ahead: 2, expected: 1_500 },
        { name: "two limits", rates: [2, 2], ahead: 2, expected: 1_000 },
        { name: "no part", rates: [0], ahead: 0, expected: Number.POSITIVE_INFINITY },
    ])("forecasts the wait with $name", ({ rates, ahead, expected }) => {
        expect(queueWith(rates).waitMs("engines", ahead)).toBe(expected);
    });

    it("counts a request until it is sent or given up, once", () => {
        const queue = queueWith([1]);
        const [first] = [queue.add("engines"), queue.add("engines")];
        expect(queue.unsentRequests("engines")).toBe(2);
        first?.();
        first?.();
        expect(queue.unsentRequests("engines")).toBe(1);
    });

    it("tells refused requests to come back one after the other", () => {
        const queue = queueWith([1, 1]);
        expect([0, 1, 2].map(() => Math.round(queue.returnMs("engines", 1_000)))).toEqual([1_000, 1_500, 2_000]);
        vi.advanceTimersByTime(5_000);
        expect(Math.round(queue.returnMs("engines", 1_000))).toBe(1_000);
    });

    it("leaves requests to other gateways if it has no part", () => {
        const time = queueWith([0]).returnMs("engines", Number.POSITIVE_INFINITY);
        expect(time).toBeGreaterThanOrEqual(1_000);
        expect(time).toBeLessThanOrEqual(2_000);
    });
});
