/** Requests with stages under load, in a simulated deployment whose stage services are near their capacity. */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { type Load, type Silence, simulateLoad } from "./load.js";
import { load, SERVICES } from "./loads.js";

beforeEach(() => vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout", "performance"] }));
afterEach(() => vi.useRealTimers());

describe("requests with stages", () => {
    it("are served on time under normal load", async () => {
        const { worth, unanswered } = await simulateLoad(load(1));
        expect(unanswered).toBe(0);
        expect(worth).toBeGreaterThan(0.95);
    });

    it.each<[string, readonly Silence[]]>([
        [
            "targets that are silent once for 1.2 s",
            ["reader-0", "notifier-1", "reviewer-2", "reader-1"].map((target, index) => ({
                target,
                at: 1_500 + 2_000 * index,
                milliseconds: 1_200,
            })),
        ],
        ["a target that is silent for good", [{ target: "reader-0", at: 3_000, milliseconds: 1_000_000 }]],
    ])("are served beside %s", async (_, silences) => {
        const { worth, unanswered, pieces, madeAgain } = await simulateLoad({ ...load(1), silences });
        expect(unanswered).toBe(0);
        expect(worth).toBeGreaterThan(0.9);
        expect(madeAgain).toBeLessThan(0.02 * pieces);
    });

    it("lose little to the limited memory of targets at twice that load", async () => {
        const ample = Object.entries(SERVICES).map(([name, each]) => [name, { ...each, memoryBytes: 1_000_000_000 }]);
        const limited = await simulateLoad(load(2));
        const unlimited = await simulateLoad(load(2, Object.fromEntries(ample) as Load["services"]));
        expect(limited.worth).toBeGreaterThan(0.95 * unlimited.worth);
    }, 30_000);
});
