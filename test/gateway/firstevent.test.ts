/** The time that is left for engines, against recorded times of routes with long and short prompts. */
import { describe, expect, it } from "vitest";
import { FirstEventTimes } from "../../src/gateway/firstevent.js";

/** Deciles of the times of three routes on a day of high load, in milliseconds. */
const RECORDED = {
    long: [55, 62, 78, 95, 110, 128, 150, 187, 271, 395],
    middle: [35, 37, 40, 45, 50, 55, 68, 82, 143, 261],
    short: [29, 31, 33, 35, 36, 38, 43, 48, 70, 141],
};

/** Takes the recorded times in a seeded random order. */
function replay(times: readonly number[], count: number, onTime: (milliseconds: number) => void): void {
    let seed = 5;
    for (let index = 0; index < count; index += 1) {
        seed = (seed * 16_807) % 2_147_483_647;
        onTime(times[seed % times.length] ?? 0);
    }
}

describe("the time that is left for an engine", () => {
    it.each(Object.entries(RECORDED))("covers most requests of a route with %s prompts", (route, times) => {
        const estimates = FirstEventTimes.create();
        replay(times, 100, milliseconds => estimates.record(route, milliseconds));
        let [covered, count, sum] = [0, 0, 0];
        replay(times, 1_000, milliseconds => {
            if (milliseconds <= estimates.reserveMs(route)) covered += 1;
            sum += estimates.reserveMs(route);
            count += 1;
            estimates.record(route, milliseconds);
        });
        expect(covered / count).toBeGreaterThan(0.8);
        expect(sum / count).toBeLessThan(Math.max(...times));
    });

    it("is a usual one before the first request, and is kept by route", () => {
        const estimates = FirstEventTimes.create();
        replay(RECORDED.long, 100, milliseconds => estimates.record("long", milliseconds));
        expect(estimates.reserveMs("other")).toBe(200);
        expect(estimates.reserveMs("long")).toBeGreaterThan(200);
    });

    it.each([
        ["no time at all", 0, 30],
        ["an endless time", 60_000, 500],
    ])("stays within its limits for %s", (_, milliseconds, expected) => {
        const estimates = FirstEventTimes.create();
        for (let index = 0; index < 200; index += 1) estimates.record("route", milliseconds);
        expect(estimates.reserveMs("route")).toBe(expected);
    });
});
