/** When turned-away callers come back, replayed for bursts above what a stage service can make. */
import { describe, expect, it } from "vitest";
import { Overload } from "../../src/stages/overload.js";

/** Longest wait in milliseconds that callers agree to: a third of what is left of 6 s. */
const CALLER_LIMIT_MS = 2_000;

/** Serves 40 requests a second, of 30 that come all the time and 80 in a burst of 5 s. Callers come back once. */
function replayBurst(retryAfterMs: (now: number, forecastMs: number) => number): {
    readonly turnedAway: number;
    readonly turnedAwayTwice: number;
} {
    let [waiting, turnedAway, turnedAwayTwice] = [0, 0, 0];
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
            turnedAway += isFirst ? 1 : 0;
            turnedAwayTwice += isFirst ? 0 : 1;
            const wait = Math.min(CALLER_LIMIT_MS, retryAfterMs(now, 500));
            if (isFirst) returning.push(now + wait);
        }
    }
    return { turnedAway, turnedAwayTwice };
}

describe("callers that are turned away in a burst", () => {
    it("are turned away again less often than with the forecast of the queue alone", () => {
        const overload = Overload.create(() => 0.5);
        const ours = replayBurst((now, forecastMs) => overload.recordRefusal(now, forecastMs));
        const byForecast = replayBurst((_, forecastMs) => forecastMs);
        expect(byForecast.turnedAway).toBeGreaterThan(50);
        const shareOf = (replay: typeof ours): number => replay.turnedAwayTwice / replay.turnedAway;
        expect(shareOf(ours)).toBeLessThan(shareOf(byForecast));
    });

    it.each<[string, readonly number[], number, number]>([
        ["alone", [0], 500, 500],
        ["early in an overload", [0, 300], 500, 500],
        ["late in an overload", [0, 900, 1_800, 2_700], 500, 2_700],
        ["after the end of the last overload", [0, 900, 1_800, 5_000], 500, 500],
        ["in a very long overload", Array.from({ length: 12 }, (_, index) => index * 900), 500, 4_000],
    ])("%s", (_, times, forecastMs, expected) => {
        const overload = Overload.create(() => 0);
        expect(times.map(now => overload.recordRefusal(now, forecastMs)).at(-1)).toBe(expected);
    });

    it("do not come back together", () => {
        let next = 0;
        const overload = Overload.create(() => (next += 0.25));
        expect([1, 2, 3].map(() => overload.recordRefusal(0, 400))).toEqual([450, 500, 550]);
    });
});
