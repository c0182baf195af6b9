/** Retry times of refused callers, in single cases and in a replayed burst above the capacity of a stage service. */
import { describe, expect, it } from "vitest";
import { Overload } from "../../src/stages/overload.js";

/** Longest wait in milliseconds that callers accept: a third of the time left of a 6 s deadline. */
const MAXIMUM_WAIT_MS = 2_000;

/**
 * Serves 40 requests a second while 30 a second arrive, and 80 during a burst of 5 s. A refused caller retries once.
 */
function replayBurst(retryAfterMs: (now: number, forecastMs: number) => number): {
    readonly refused: number;
    readonly refusedTwice: number;
} {
    let [waiting, refused, refusedTwice] = [0, 0, 0];
    const returning: number[] = [];
    for (let now = 0; now < 20_000; now += 25) {
        waiting = Math.max(0, waiting - 1);
        const arrivals = now >= 5_000 && now < 10_000 ? 2 : 0.75;
        const first = Math.floor((now / 25 + 1) * arrivals) - Math.floor((now / 25) * arrivals);
        const again = returning.filter(at => at <= now).length;
        for (const at of returning.filter(due => due <= now)) returning.splice(returning.indexOf(at), 1);
        for (let request = 0; request < first + again; request += 1) {
            if (waiting < 20) {
                waiting += 1;
                continue;
            }
            const isFirst = request < first;
            refused += isFirst ? 1 : 0;
            refusedTwice += isFirst ? 0 : 1;
            const wait = Math.min(MAXIMUM_WAIT_MS, retryAfterMs(now, 500));
            if (isFirst) returning.push(now + wait);
        }
    }
    return { refused, refusedTwice };
}

describe("callers that are refused in a burst", () => {
    it("are turned away again less often than with the forecast of the queue alone", () => {
        const overload = Overload.create(() => 0.5);
        const byOverload = replayBurst((now, forecastMs) => overload.recordRefusal(now, forecastMs));
        const byForecast = replayBurst((_, forecastMs) => forecastMs);
        expect(byForecast.refused).toBeGreaterThan(50);
        const shareOf = (replay: typeof byOverload): number => replay.refusedTwice / replay.refused;
        expect(shareOf(byOverload)).toBeLessThan(shareOf(byForecast));
    });

    it.each<[string, readonly number[], number, number]>([
        ["get the forecast when refused alone", [0], 500, 500],
        ["get the forecast early in an overload", [0, 300], 500, 500],
        ["get the time that the overload has lasted", [0, 900, 1_800, 2_700], 500, 2_700],
        ["get the forecast in a new overload", [0, 900, 1_800, 5_000], 500, 500],
        ["get at most 4 s in a very long overload", Array.from({ length: 12 }, (_, index) => index * 900), 500, 4_000],
    ])("%s", (_, times, forecastMs, expected) => {
        const overload = Overload.create(() => 0);
        expect(times.map(now => overload.recordRefusal(now, forecastMs)).at(-1)).toBe(expected);
    });

    it("do not retry together", () => {
        let next = 0;
        const overload = Overload.create(() => (next += 0.25));
        expect([1, 2, 3].map(() => overload.recordRefusal(0, 400))).toEqual([450, 500, 550]);
    });
});
