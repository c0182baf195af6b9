/** Checks the time reserved for engines against recorded times of routes with long and short prompts. */
import { describe, expect, it } from "vitest";
import { FirstEventTimes } from "../../src/gateway/firstevent.js";

/** Deciles in milliseconds of the times to the first event on three routes, on a day of high load. */
const RECORDED_TIMES = {
    long: [55, 62, 78, 95, 110, 128, 150, 187, 271, 395],
    middle: [35, 37, 40, 45, 50, 55, 68, 82, 143, 261],
    short: [29, 31, 33, 35, 36, 38, 43, 48, 70, 141],
};

/** Draws recorded times at random, from a fixed seed. */
function sampleTimes(times: readonly number[], count: number, onSample: (milliseconds: number) => void): void {
    let seed = 5;
    for (let index = 0; index < count; index += 1) {
        seed = (seed * 16_807) % 2_147_483_647;
        onSample(times[seed % times.length] ?? 0);
    }
}

describe("the time reserved for an engine", () => {
    it.each(Object.entries(RECORDED_TIMES))("covers most requests of a route with %s prompts", (route, times) => {
        const estimates = FirstEventTimes.create();
        sampleTimes(times, 100, milliseconds => estimates.record(route, milliseconds));
        let [covered, count, sum] = [0, 0, 0];
        sampleTimes(times, 1_000, milliseconds => {
            if (milliseconds <= estimates.reserveMs(route)) covered += 1;
            sum += estimates.reserveMs(route);
            count += 1;
            estimates.record(route, milliseconds);
        });
        expect(covered / count).toBeGreaterThan(0.8);
        expect(sum / count).toBeLessThan(Math.max(...times));
    });

    it("has a default before the first request of a route, and is estimated by route", () => {
        const estimates = FirstEventTimes.create();
        sampleTimes(RECORDED_TIMES.long, 100, milliseconds => estimates.record("long", milliseconds));
        expect(estimates.reserveMs("other")).toBe(200);
        expect(estimates.reserveMs("long")).toBeGreaterThan(200);
    });

    it.each([
        ["instant first events", 0, 30],
        ["very late first events", 60_000, 500],
    ])("stays within its limits for %s", (_, milliseconds, expected) => {
        const estimates = FirstEventTimes.create();
        for (let index = 0; index < 200; index += 1) estimates.record("route", milliseconds);
        expect(estimates.reserveMs("route")).toBe(expected);
    });
});
