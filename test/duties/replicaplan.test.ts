/**
 * The number of targets under load that rises, bursts and falls.
 *
 * Guards against orders that come too late for a rise, that follow a short lull, or that change direction within a boot.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { DutyCall } from "../../src/duties/index.js";
import { FleetLoads } from "../../src/duties/fleetloads.js";
import { desiredReplicas, historyMs, type LastOrder, type LoadSample } from "../../src/duties/replicaplan.js";
import { type ScaledZone, TargetOrders } from "../../src/duties/targetorders.js";
import { decodeConfiguration } from "../../src/platform/configuration.js";
import { CONFIGURATION } from "../gateway/harness.js";

const BOOT_MS = 20_000;
const BOUNDS = { minimum: 2, maximum: 10, bootMs: BOOT_MS };
const SLOTS = 10;
const STEP_MS = 500;

/** Orders that follow from a load over time, by the second of the order. The targets follow each order after a boot. */
function ordersFor(seconds: number, loadAt: (second: number) => number, isComplete = true): [number, number][] {
    const orders: [number, number][] = [];
    const samples: LoadSample[] = [];
    let lastOrder: LastOrder | undefined;
    let registered = 4;
    for (let now = 0; now <= seconds * 1_000; now += STEP_MS) {
        samples.push({ at: now, open: loadAt(now / 1_000), isComplete });
        if (lastOrder !== undefined && now >= lastOrder.at + BOOT_MS) registered = lastOrder.desired;
        const state = { now, bounds: BOUNDS, knownSince: 0, slotsPerTarget: SLOTS, registered, lastOrder };
        const desired = desiredReplicas({ ...state, samples: samples.slice(-2 * (historyMs(BOUNDS) / STEP_MS)) });
        if (desired === (lastOrder?.desired ?? registered)) continue;
        lastOrder = { desired, at: now };
        orders.push([now / 1_000, desired]);
    }
    return orders;
}

describe("the number of targets", () => {
    it("stays under a load that fits", () => {
        expect(ordersFor(300, () => 28)).toEqual([]);
    });

    it("rises at once when the load does not fit, and not further than the maximum", () => {
        const [first] = ordersFor(60, second => (second < 10 ? 20 : 60));
        expect(first?.[0]).toBeLessThanOrEqual(12);
        expect(first?.[1]).toBeGreaterThanOrEqual(6);
        expect(ordersFor(60, () => 1_000).at(-1)?.[1]).toBe(10);
    });

    it("rises before a growing load has filled the targets", () => {
        const [first] = ordersFor(60, second => 10 + second);
        expect(first?.[0]).toBeLessThan(20);
    });

    it("does not fall in a lull that is shorter than a boot and a burst", () => {
        expect(ordersFor(300, second => (second % 45 < 5 ? 30 : 5))).toEqual([]);
    });

    it("falls by one target at a time, each after a boot and a burst, to the minimum", () => {
        const orders = ordersFor(600, () => 1);
        expect(orders.map(([, desired]) => desired)).toEqual([3, 2]);
        expect(orders[0]?.[0]).toBeGreaterThanOrEqual(historyMs(BOUNDS) / 1_000);
        expect((orders[1]?.[0] ?? 0) - (orders[0]?.[0] ?? 0)).toBeGreaterThanOrEqual(historyMs(BOUNDS) / 1_000);
    });

    it("does not fall while some gateways have not told their load", () => {
        expect(ordersFor(600, () => 1, false)).toEqual([]);
    });

    it("never changes direction downwards within a boot, whatever the load does", () => {
        let seed = 11;
        const random = (): number => (seed = (seed * 48_271) % 2_147_483_647) / 2_147_483_647;
        const levels = Array.from({ length: 200 }, () => Math.floor(random() * 90));
        const orders = ordersFor(3_000, second => levels[Math.floor(second / 15)] ?? 0);
        expect(orders.length).toBeGreaterThan(3);
        for (const [index, [second, desired]] of orders.entries()) {
            const before = orders[index - 1];
            if (before === undefined || desired >= before[1]) continue;
            expect(second - before[0]).toBeGreaterThan(BOOT_MS / 1_000);
            expect(before[1] - desired).toBe(1);
        }
    });

    it("is brought within its limits", () => {
        const state = { now: 0, samples: [], knownSince: 0, slotsPerTarget: 1, lastOrder: undefined };
        expect(desiredReplicas({ ...state, bounds: BOUNDS, registered: 0 })).toBe(2);
        expect(desiredReplicas({ ...state, bounds: BOUNDS, registered: 40 })).toBe(10);
    });
});

describe("orders for targets", () => {
    beforeEach(() => {
        vi.useFakeTimers();
    });
    afterEach(() => {
        vi.useRealTimers();
    });

    const scaled = (zone: string, isClosed = false): ScaledZone => {
        return { service: "s", zone, bounds: BOUNDS, registered: 4, slotsPerTarget: SLOTS, isClosed };
    };

    interface World {
        readonly calls: DutyCall[];
        fencing: number | undefined;
        zones: readonly ScaledZone[];
        open: Readonly<Record<string, number>>;
        readonly orders: TargetOrders;
    }

    function start(): World {
        const loads = FleetLoads.create();
        const calls: DutyCall[] = [];
        const world = { calls, fencing: 7 as number | undefined, zones: [scaled("a"), scaled("b")], open: {} };
        const tenure = {
            get fencing() {
                return world.fencing;
            },
            get actingMs() {
                return world.fencing === undefined ? 0 : 3_000;
            },
        };
        const orders = TargetOrders.start({
            address: "127.0.0.1:1",
            gateway: "g",
            callPlatform: call => {
                calls.push(call);
                return Promise.resolve({ kind: "accepted" });
            },
            callsPerSecond: 50,
            tenure,
            loads,
            gateways: () => ["g"],
            zones: () => world.zones,
            onChange: () => undefined,
        });
        setInterval(() => {
            const told = Object.entries(world.open).map(([zone, open]) => ({ service: "s", zone, open: Number(open) }));
            loads.put("g", told);
        }, 250);
        return Object.assign(world, { orders });
    }

    it("are sent by the holder only, and once", async () => {
        const world = start();
        world.open = { a: 60, b: 20 };
        world.fencing = undefined;
        await vi.advanceTimersByTimeAsync(5_000);
        expect(world.calls).toEqual([]);
        world.fencing = 8;
        await vi.advanceTimersByTimeAsync(5_000);
        expect(world.calls).toEqual([{ kind: "scale", service: "s", zone: "a", desired: 8 }]);
        world.orders.stop();
    });

    it("give the load of a closed zone to the open ones", async () => {
        const world = start();
        world.open = { a: 30, b: 30 };
        await vi.advanceTimersByTimeAsync(5_000);
        expect(world.calls).toEqual([]);
        world.zones = [scaled("a"), scaled("b", true)];
        await vi.advanceTimersByTimeAsync(5_000);
        const calls = world.calls.map(call => (call.kind === "scale" ? [call.zone, call.desired] : []));
        expect(calls.every(([zone]) => zone === "a")).toBe(true);
        expect(calls.at(-1)?.[1]).toBeGreaterThanOrEqual(8);
        world.orders.stop();
    });

    it("of an earlier holder are not repeated or lowered by the next one", async () => {
        const world = start();
        world.fencing = undefined;
        world.orders.learn([{ service: "s", zone: "a", desired: 9, ageMs: 1_000 }]);
        world.open = { a: 60, b: 20 };
        world.fencing = 9;
        await vi.advanceTimersByTimeAsync(10_000);
        expect(world.calls).toEqual([]);
        world.orders.stop();
    });
});

describe("the limits in a configuration", () => {
    it.each<[string, unknown, object | undefined]>([
        ["complete", { Min: 1, Max: 4, BootS: 12 }, { minimum: 1, maximum: 4, bootMs: 12_000 }],
        ["without a boot time", { Min: 1, Max: 4 }, { minimum: 1, maximum: 4, bootMs: 30_000 }],
        ["absent", undefined, undefined],
        ["in the wrong order", { Min: 5, Max: 4 }, undefined],
        ["of another form", "2..5", undefined],
    ])("%s", (_, Autoscale, expected) => {
        const Services = CONFIGURATION.Services.map((service, index) =>
            index === 0 ? { ...service, Autoscale } : service,
        );
        const decoded = decodeConfiguration(JSON.stringify({ ...CONFIGURATION, Services }));
        expect(decoded.kind === "decoded" ? decoded.value.services[0]?.scaling : "invalid").toEqual(expected);
    });
});
