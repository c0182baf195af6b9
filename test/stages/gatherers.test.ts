/**
 * The gatherers of a stage service. One gatherer for a fleet of small machines was short of processor time, and several
 * that shared the targets sent calls that waited for each other.
 */
import { describe, expect, it } from "vitest";
import type { GatewayPeer } from "../../src/gateway/peers.js";
import { assignTargets, chooseGatherer } from "../../src/stages/gatherers.js";

function gateways(count: number, processors: number): readonly GatewayPeer[] {
    return Array.from({ length: count }, (_, index) => ({
        name: `gateway-${index}`,
        zone: "east",
        address: `10.0.0.${index}:1`,
        capacity: { processors, linkMegabits: 1_000 },
    }));
}

function targets(count: number): readonly string[] {
    return Array.from({ length: count }, (_, index) => `target-${index}`);
}

/** Numbers from 0 to 1 that do not depend on the run. */
function numbers(): () => number {
    let state = 1;
    return () => (state = (state * 16_807) % 2_147_483_647) / 2_147_483_647;
}

describe("the gatherers of a service", () => {
    it.each([
        { case: "few targets before usual machines", targetCount: 4, fleet: gateways(5, 0.513), gatherers: 1 },
        { case: "many targets before usual machines", targetCount: 29, fleet: gateways(30, 0.513), gatherers: 4 },
        { case: "few targets before very small machines", targetCount: 7, fleet: gateways(18, 0.12), gatherers: 7 },
        { case: "more targets than gateways", targetCount: 50, fleet: gateways(3, 0.12), gatherers: 3 },
        { case: "no targets yet", targetCount: 0, fleet: gateways(5, 0.513), gatherers: 1 },
        { case: "no gateways", targetCount: 4, fleet: [], gatherers: 0 },
        {
            case: "a few large machines among small ones",
            targetCount: 24,
            fleet: [...gateways(53, 0.243), ...gateways(60, 1.35).slice(53)],
            gatherers: 2,
        },
    ])("are as many as its targets need: $case", ({ targetCount, fleet, gatherers }) => {
        expect(assignTargets("encode", targets(targetCount), fleet).gateways).toHaveLength(gatherers);
    });

    it.each([2, 7, 24, 29])("own %i targets in equal parts, each target once", count => {
        const names = targets(count);
        const { gateways: chosen, owners } = assignTargets("encode", names, gateways(18, 0.2));
        expect([...owners.keys()].sort()).toEqual([...names].sort());
        const parts = chosen.map(gateway => [...owners.values()].filter(owner => owner === gateway).length);
        expect(Math.max(...parts)).toBeLessThanOrEqual(Math.ceil(count / chosen.length));
    });

    it("do not depend on the order of registrations", () => {
        const fleet = gateways(18, 0.2);
        const forwards = assignTargets("encode", targets(24), fleet);
        const backwards = assignTargets("encode", [...targets(24)].reverse(), [...fleet].reverse());
        expect([...backwards.owners].sort()).toEqual([...forwards.owners].sort());
    });

    it("keep most targets when one gatherer leaves", () => {
        const fleet = gateways(18, 0.2);
        const before = assignTargets("encode", targets(24), fleet);
        const [leaving] = before.gateways;
        const after = assignTargets(
            "encode",
            targets(24),
            fleet.filter(gateway => gateway !== leaving),
        );
        const moved = targets(24).filter(
            name => before.owners.get(name) !== leaving && before.owners.get(name) !== after.owners.get(name),
        );
        expect(moved.length).toBeLessThanOrEqual(6);
    });
});

describe("the gatherer of an order", () => {
    it("is drawn by the number of usable targets that it owns", () => {
        const gatherers = assignTargets("encode", targets(24), gateways(18, 0.2));
        const [without] = gatherers.gateways;
        const usable = targets(24).filter(name => gatherers.owners.get(name) !== without);
        const random = numbers();
        const counts = new Map<string, number>();
        for (let draw = 0; draw < 4_000; draw += 1) {
            const name = chooseGatherer(gatherers, usable, () => 0, random)?.name ?? "";
            counts.set(name, (counts.get(name) ?? 0) + 1);
        }
        expect(counts.has(without?.name ?? "")).toBe(false);
        for (const [name, count] of counts) {
            const share = usable.filter(target => gatherers.owners.get(target)?.name === name).length / usable.length;
            expect(count / 4_000).toBeGreaterThan(share * 0.8);
            expect(count / 4_000).toBeLessThan(share * 1.2);
        }
    });

    it("is the one with the shorter wait of two", () => {
        const gatherers = assignTargets("encode", targets(24), gateways(18, 0.2));
        const [busy] = gatherers.gateways;
        const random = numbers();
        let busyCount = 0;
        for (let draw = 0; draw < 4_000; draw += 1) {
            const chosen = chooseGatherer(gatherers, targets(24), peer => (peer === busy ? 500 : 0), random);
            if (chosen === busy) busyCount += 1;
        }
        // Both draws have to be the busy one.
        expect(busyCount / 4_000).toBeLessThan(2 * (1 / gatherers.gateways.length) ** 2);
    });
});
