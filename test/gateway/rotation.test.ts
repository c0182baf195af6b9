/**
 * A gateway with a small machine must not be the one at which callers wait while larger gateways of its zone are idle. Guards
 * against a load balancer that gives each gateway the same number of connections whatever its machine can bear, and against a
 * zone in which so many withdraw that all are used again.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { mayWithdraw, Rotation, type RotationMember } from "../../src/gateway/rotation.js";

const SHORT_MS = 60;

function zoneOf(processors: readonly number[], zone = "east"): readonly RotationMember[] {
    return processors.map((value, index) => ({
        name: `${zone}-${index}`,
        zone,
        capacity: { processors: value },
    }));
}

/** Indexes of the gateways of a zone that may withdraw. */
function withdrawing(processors: readonly number[], others: readonly RotationMember[] = []): readonly number[] {
    const members = zoneOf(processors);
    return members.flatMap((self, index) => {
        const peers = [...members.filter(member => member !== self), ...others];
        return mayWithdraw(self, peers) ? [index] : [];
    });
}

beforeEach(() => {
    vi.useFakeTimers();
});
afterEach(() => {
    vi.useRealTimers();
});

describe("the gateways that may withdraw", () => {
    it.each([
        { name: "a zone of equal machines", processors: [0.5, 0.5, 0.5], expected: [] },
        { name: "a zone with small machines", processors: [1.35, 1.35, 0.18, 0.18, 0.18, 0.6], expected: [2, 3, 4] },
        { name: "more small machines than large ones", processors: [1.35, 0.18, 0.18, 0.18], expected: [] },
        { name: "one gateway", processors: [0.18], expected: [] },
        { name: "two gateways", processors: [1.35, 0.18], expected: [1] },
        { name: "machines that are not twice as large", processors: [0.3, 0.3, 0.18], expected: [] },
    ])("in $name are $expected", ({ processors, expected }) => {
        expect(withdrawing(processors)).toEqual(expected);
        expect(expected.length).toBeLessThanOrEqual(processors.length / 2);
    });

    it("are not those of a zone whose larger gateways are in other zones", () => {
        expect(withdrawing([0.18, 0.18], zoneOf([1.35, 1.35, 1.35], "west"))).toEqual([]);
    });
});

describe("a gateway", () => {
    it("withdraws while its processor is short, and returns when it has time left", () => {
        const rotation = Rotation.create(() => true);
        expect(rotation.update(10)).toBeUndefined();
        expect(rotation.update(SHORT_MS)).toBe("withdrawn");
        vi.advanceTimersByTime(1_000);
        expect(rotation.update(0)).toBeUndefined();
        vi.advanceTimersByTime(3_100);
        expect(rotation.update(SHORT_MS)).toBeUndefined();
        expect(rotation.isWithdrawn).toBe(true);
        expect(rotation.update(1)).toBe("returned");
        expect(rotation.isWithdrawn).toBe(false);
    });

    it("stays out of rotation for longer each time that the same load makes it short again", () => {
        const rotation = Rotation.create(() => true);
        const changes: number[] = [];
        for (let at = 0; at < 60_000; at += 100) {
            // Connections come back to it within a second of its return.
            const isShort = !rotation.isWithdrawn;
            if (rotation.update(isShort ? SHORT_MS : 0) === "withdrawn") changes.push(at);
            vi.advanceTimersByTime(100);
        }
        expect(changes.length).toBeLessThanOrEqual(5);
    });

    it("returns when the larger gateways have left", () => {
        let othersAreThere = true;
        const rotation = Rotation.create(() => othersAreThere);
        rotation.update(SHORT_MS);
        othersAreThere = false;
        expect(rotation.update(SHORT_MS)).toBe("returned");
        expect(rotation.update(SHORT_MS)).toBeUndefined();
    });
});
