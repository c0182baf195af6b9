/** Gateways apply changes in the store, also after it was unavailable, went silent or dropped its history. */
import { afterEach, describe, expect, it, vi } from "vitest";
import { CONFIGURATION, Deployment } from "./harness.js";

let deployment: Deployment;

afterEach(async () => {
    await deployment.close();
});

async function targetsReached(count: number): Promise<ReadonlySet<string>> {
    for (const target of deployment.targets.values()) target.arrivals.length = 0;
    await Promise.all(
        Array.from({ length: count }, (_, index) => deployment.call({ path: "/check/1", id: `request-${index}` })),
    );
    return new Set([...deployment.targets].filter(([, target]) => target.arrivals.length > 0).map(([id]) => id));
}

function eligibleTargetNames(): readonly string[] {
    return deployment.gateways[0]?.gateway.targets.eligible("bookings").map(({ name }) => name) ?? [];
}

const exclusions: readonly {
    readonly case: string;
    readonly change: (deployment: Deployment) => void;
    readonly remaining: readonly string[];
}[] = [
    {
        case: "a draining target",
        change: ({ register }) => register.call(deployment, "bookings", "bookings-0", { State: "draining" }),
        remaining: ["bookings-1"],
    },
    {
        case: "a target whose registration is gone",
        change: ({ platform }) => void platform.remove("servers", "bookings-0"),
        remaining: ["bookings-1"],
    },
    {
        case: "a target in a closed zone",
        change: ({ platform, register }) => {
            register.call(deployment, "bookings", "bookings-0", { Zone: "west" });
            platform.put("evacuations", "west", {});
        },
        remaining: ["bookings-1"],
    },
    {
        case: "an invalid registration",
        change: ({ platform }) => void platform.put("servers", "bookings-0", { Service: 7 }),
        remaining: ["bookings-1"],
    },
    {
        case: "an unknown state",
        change: ({ register }) => register.call(deployment, "bookings", "bookings-0", { State: "resting" }),
        remaining: ["bookings-1"],
    },
    {
        case: "a late registration of an earlier incarnation",
        change: ({ register }) => {
            register.call(deployment, "bookings", "bookings-0", { born: 2_000 });
            register.call(deployment, "bookings", "bookings-0", { born: 1_500, State: "draining" });
        },
        remaining: ["bookings-0", "bookings-1"],
    },
];

describe("targets", () => {
    it.each(exclusions)("follow the registry: $case", async ({ change, remaining: left }) => {
        deployment = await Deployment.start({ bookings: 2 });
        change(deployment);
        await vi.waitFor(() => expect(eligibleTargetNames()).toEqual(left));
        expect([...(await targetsReached(12))].sort()).toEqual(left);
    });

    it("that another target replaced at the same address run nothing", async () => {
        deployment = await Deployment.start({ bookings: 2 });
        deployment.register("bookings", "bookings-0", { Address: deployment.target("bookings-1").address });
        await vi.waitFor(() => {
            const target = deployment.gateways[0]?.gateway.targets.eligible("bookings")[0];
            expect(target?.registration.address).toBe(deployment.target("bookings-1").address);
        });
        expect(await targetsReached(8)).toEqual(new Set(["bookings-1"]));
        const named = deployment
            .target("bookings-1")
            .arrivals.map(({ headers }) => headers["x-parsleyrun-expect-instance"]);
        expect(new Set(named)).toEqual(new Set(["bookings-1"]));
    });

    it("that are cold get no more than this gateway's part of their rate", async () => {
        deployment = await Deployment.start({ engines: 1 });
        deployment.register("engines", "engines-0", { ColdRemainingMs: 60_000 });
        await vi.waitFor(() => expect(deployment.linesOf("target cold")).toHaveLength(1));
        const target = deployment.target("engines-0");
        target.behaviour = () => ({ kind: "stream", events: 1 });
        const headers = { "x-parsleyrun-deadline-ms": "800" };
        await Promise.all(
            Array.from({ length: 40 }, (_, index) =>
                deployment.call({ path: "/draft/1", id: `request-${index}`, headers }),
            ),
        );
        // 10 a second are allowed, for one gateway; the calls wait up to 0.2 s.
        expect(target.arrivals.length).toBeGreaterThan(0);
        expect(target.arrivals.length).toBeLessThanOrEqual(10);
    });
});

describe("a store", () => {
    it("that is unavailable leaves its last state in use, and lapsed registrations of living targets are kept", async () => {
        deployment = await Deployment.start({ bookings: 2 });
        deployment.platform.down = true;
        deployment.platform.cutConnections();
        await vi.waitFor(() => expect(deployment.linesOf("store lost").length).toBeGreaterThanOrEqual(3));
        expect((await targetsReached(8)).size).toBe(2);
        deployment.platform.remove("servers", "bookings-0");
        deployment.platform.down = false;
        await vi.waitFor(() => expect(deployment.linesOf("registration lapsed")).toHaveLength(1), 3_000);
        expect(eligibleTargetNames()).toHaveLength(2);
        deployment.register("bookings", "bookings-0");
        await new Promise(resolve => setTimeout(resolve, 2_600));
        expect(eligibleTargetNames()).toHaveLength(2);
    });

    it("that was unavailable: a target whose registration is missing after the grace time is removed", async () => {
        deployment = await Deployment.start({ bookings: 2 });
        deployment.platform.down = true;
        deployment.platform.cutConnections();
        await vi.waitFor(() => expect(deployment.linesOf("store lost").length).toBeGreaterThanOrEqual(3));
        deployment.platform.remove("servers", "bookings-0");
        deployment.platform.down = false;
        await vi.waitFor(() => expect(eligibleTargetNames()).toHaveLength(1), 5_000);
    });

    it("that dropped its history is listed again at once", async () => {
        deployment = await Deployment.start({ bookings: 2 });
        deployment.platform.put("config", "main", { ...CONFIGURATION, Version: 2 });
        deployment.platform.compact();
        deployment.platform.remove("servers", "bookings-0");
        await vi.waitFor(() => expect(deployment.gateways[0]?.gateway.configuration?.version).toBe(2), 1_500);
        await vi.waitFor(() => expect(eligibleTargetNames()).toEqual(["bookings-1"]), 1_500);
    });

    it("that went silent is noticed within the timeout of one watch", async () => {
        deployment = await Deployment.start({ bookings: 2 });
        deployment.platform.silent = true;
        await new Promise(resolve => setTimeout(resolve, 100));
        deployment.platform.silent = false;
        deployment.platform.put("config", "main", { ...CONFIGURATION, Version: 2 });
        await vi.waitFor(() => expect(deployment.gateways[0]?.gateway.configuration?.version).toBe(2), 3_500);
    });
});

describe("configurations", () => {
    it("only ever move to a higher version", async () => {
        deployment = await Deployment.start({ bookings: 1 });
        deployment.platform.put("config", "main", { ...CONFIGURATION, Version: 5, Routes: [] });
        await vi.waitFor(async () => expect((await deployment.call({ path: "/check/1" })).status).toBe(404));
        deployment.platform.put("config", "main", { ...CONFIGURATION, Version: 4 });
        deployment.platform.put("config", "main", {
            ...CONFIGURATION,
            Version: 6,
            Routes: CONFIGURATION.Routes.slice(0, 1),
        });
        await vi.waitFor(async () => expect((await deployment.call({ path: "/book/1" })).status).toBe(200));
        expect((await deployment.call({ path: "/check/1" })).status).toBe(404);
    });

    it("that are invalid are ignored and logged", async () => {
        deployment = await Deployment.start({ bookings: 1 });
        deployment.platform.put("config", "main", { Version: 9, Routes: "none" });
        await vi.waitFor(() => expect(deployment.linesOf("configuration ignored")).toHaveLength(1));
        expect((await deployment.call({ path: "/check/1" })).status).toBe(200);
    });

    it("that take a key away reject it", async () => {
        deployment = await Deployment.start({ bookings: 1 });
        const withoutKey = { ...CONFIGURATION, Version: 2, Tenants: [{ Name: "kettleby", ApiKeys: [] }] };
        deployment.platform.put("config", "main", withoutKey);
        await vi.waitFor(async () => expect((await deployment.call({ path: "/check/1" })).status).toBe(401));
    });
});

describe("a planned stop", () => {
    it("turns readiness off, finishes open requests, and removes the registration", async () => {
        deployment = await Deployment.start({ engines: 1 });
        deployment.target("engines-0").behaviour = () => ({ kind: "stream", events: 30, gapMs: 50 });
        const open = deployment.call({ path: "/draft/1" });
        await vi.waitFor(() => expect(deployment.target("engines-0").arrivals).toHaveLength(1));
        const stopped = deployment.gateways[0]?.stop();
        expect(await deployment.isReady()).toBe(false);
        const late = await deployment.call({ path: "/draft/1", id: "request-2" });
        expect(late.headers.connection).toBe("close");
        expect(await open).toMatchObject({ complete: true });
        await stopped;
        expect(deployment.platform.names("parsleyrun-gateways")).toEqual([]);
        await expect(deployment.call({ path: "/draft/1" })).rejects.toThrow();
    });
});
