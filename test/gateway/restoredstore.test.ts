/**
 * Guards against gateways that hold on to versions and revisions of a store that was restored from a copy: they then
 * follow no change any more, or take the older state of the copy for news.
 */
import { afterEach, describe, expect, it, vi } from "vitest";
import { pause } from "../../src/model/pause.js";
import { KIND } from "../../src/platform/names.js";
import { CONFIGURATION, Deployment } from "./harness.js";

/** Time in milliseconds in which a change has to be in force. */
const APPLY_MS = 2_000;

let deployment: Deployment;

afterEach(async () => {
    await deployment.close();
});

function eligible(service = "bookings", gateway = 0): readonly string[] {
    const names = deployment.gateways[gateway]?.gateway.targets.eligible(service).map(({ name }) => name) ?? [];
    return [...names].sort();
}

function version(): number | undefined {
    return deployment.gateways[0]?.gateway.configuration?.version;
}

function configure(changes: Readonly<Record<string, unknown>>): void {
    deployment.platform.put(KIND.configuration, "main", { ...CONFIGURATION, ...changes });
}

async function restored(count = 1): Promise<void> {
    await vi.waitFor(() => {
        const lines = deployment.linesOf("store restored");
        expect(lines).toHaveLength(5 * count * deployment.gateways.length);
    }, APPLY_MS);
}

/** Checks again and again for a time. */
async function holdsFor(milliseconds: number, check: () => unknown): Promise<void> {
    for (const end = performance.now() + milliseconds; performance.now() < end; await pause(20)) await check();
}

const withoutKey = { Tenants: [{ Name: "kettleby", ApiKeys: [] }] };

const cases: readonly {
    readonly case: string;
    /** Before the copy is taken. */
    readonly before?: () => void;
    /** After that: what the restoration loses. */
    readonly lost: () => void;
    /** In force before the restoration, and all the time after it. */
    readonly inForce: () => void;
    /** Writes again what was lost. */
    readonly again: () => void;
}[] = [
    {
        case: "a configuration",
        lost: () => configure({ Version: 2, Routes: CONFIGURATION.Routes.slice(0, 1) }),
        inForce: () => expect(version()).toBe(2),
        again: () => configure({ Version: 2, Routes: CONFIGURATION.Routes.slice(0, 1) }),
    },
    {
        case: "a key that was taken away",
        lost: () => configure({ Version: 2, ...withoutKey }),
        inForce: () =>
            expect(deployment.gateways[0]?.gateway.configuration?.authenticate("good-key").kind).toBe("unknownKey"),
        again: () => configure({ Version: 2, ...withoutKey }),
    },
    {
        case: "the registration of a target",
        before: () => deployment.platform.remove(KIND.targets, "bookings-1"),
        lost: () => deployment.register("bookings", "bookings-1"),
        inForce: () => expect(eligible()).toEqual(["bookings-0", "bookings-1"]),
        again: () => deployment.register("bookings", "bookings-1"),
    },
    {
        case: "the report of a target that drains",
        lost: () => deployment.register("bookings", "bookings-1", { State: "draining" }),
        inForce: () => expect(eligible()).toEqual(["bookings-0"]),
        again: () => deployment.register("bookings", "bookings-1", { State: "draining" }),
    },
    {
        case: "the removal of a target",
        lost: () => deployment.platform.remove(KIND.targets, "bookings-1"),
        inForce: () => expect(eligible()).toEqual(["bookings-0"]),
        again: () => deployment.platform.remove(KIND.targets, "bookings-1"),
    },
    {
        case: "the restart of a target",
        lost: () => deployment.register("bookings", "bookings-1", { born: 2_000, Zone: "west" }),
        inForce: () => {
            const targets = deployment.gateways[0]?.gateway.targets.eligible("bookings") ?? [];
            expect(targets.map(({ registration }) => registration.zone)).toContain("west");
        },
        again: () => deployment.register("bookings", "bookings-1", { born: 2_000, Zone: "west" }),
    },
    {
        case: "the closing of a zone",
        before: () => deployment.register("bookings", "bookings-1", { Zone: "west" }),
        lost: () => deployment.platform.put(KIND.closedZones, "west", {}),
        inForce: () => expect(eligible()).toEqual(["bookings-0"]),
        again: () => deployment.platform.put(KIND.closedZones, "west", {}),
    },
    {
        case: "the opening of a zone",
        before: () => {
            deployment.register("bookings", "bookings-1", { Zone: "west" });
            deployment.platform.put(KIND.closedZones, "west", {});
        },
        lost: () => deployment.platform.remove(KIND.closedZones, "west"),
        inForce: () => expect(eligible()).toEqual(["bookings-0", "bookings-1"]),
        again: () => deployment.platform.remove(KIND.closedZones, "west"),
    },
];

describe("a store that is restored from a copy and has lost", () => {
    it.each(cases)("$case: keeps in force what was in force, then follows changes", async item => {
        deployment = await Deployment.start({ bookings: 2 });
        const { platform } = deployment;
        item.before?.();
        await pause(100);
        platform.takeCopy();
        item.lost();
        await vi.waitFor(item.inForce, APPLY_MS);
        platform.restore();
        const callsBefore = platform.calls.length;
        await restored();
        await holdsFor(300, item.inForce);
        item.again();
        await holdsFor(300, item.inForce);
        configure({ Version: 9, Routes: [] });
        await vi.waitFor(() => expect(version()).toBe(9), APPLY_MS);
        // Five views list and watch; a loop of refused watches takes hundreds of calls a second.
        expect(platform.calls.length - callsBefore).toBeLessThan(60);
    });

    it("nothing twice in a row: follows each time", async () => {
        deployment = await Deployment.start({ bookings: 2 });
        const { platform } = deployment;
        for (const round of [1, 2, 3]) {
            platform.takeCopy();
            configure({ Version: 10 * round });
            await vi.waitFor(() => expect(version()).toBe(10 * round), APPLY_MS);
            platform.restore();
            await restored(round);
            configure({ Version: 10 * round });
            configure({ Version: 10 * round + 1 });
            await vi.waitFor(() => expect(version()).toBe(10 * round + 1), APPLY_MS);
        }
    });

    it("the registrations of gateways: all register again and are counted all the time", async () => {
        deployment = await Deployment.start({ bookings: 1 });
        const { platform } = deployment;
        platform.takeCopy();
        await deployment.addGateway("gateway-1");
        await vi.waitFor(() => expect([...platform.names(KIND.gateways)].sort()).toEqual(["gateway-0", "gateway-1"]));
        const counts = (): Promise<readonly (string | undefined)[]> =>
            Promise.all(
                deployment.metrics.map(async address => {
                    const page = await (await fetch(`http://${address}/metrics`)).text();
                    return /^\w*gateways (\d+)$/m.exec(page)?.[1];
                }),
            );
        await vi.waitFor(async () => expect(await counts()).toEqual(["2", "2"]), APPLY_MS);
        platform.restore();
        await restored();
        await vi.waitFor(() => expect([...platform.names(KIND.gateways)].sort()).toEqual(["gateway-0", "gateway-1"]));
        await holdsFor(500, async () => expect(await counts()).toEqual(["2", "2"]));
    });

    it.each(["completed", "reverted"])("the state of a roll-out that was %s: writes it again", async State => {
        deployment = await Deployment.start({ engines: 2 }, 2);
        const { platform } = deployment;
        const spec = { Service: "engines", Target: "v2", DurationS: 60 };
        platform.put(KIND.rollouts, "engines", spec, { State: "in_progress", Target: "v2" });
        await pause(100);
        platform.takeCopy();
        platform.put(KIND.rollouts, "engines", spec, { State, Target: "v2" });
        const decided = (): boolean => deployment.linesOf("rollout").filter(line => line.state === State).length === 2;
        await vi.waitFor(() => expect(decided()).toBe(true), APPLY_MS);
        platform.restore();
        await vi.waitFor(
            () => expect(platform.status(KIND.rollouts, "engines")).toEqual({ State, Target: "v2" }),
            3_000,
        );
        expect(deployment.linesOf("rollout state written").filter(line => line.state !== State)).toEqual([]);
    });

    it("a roll-out before its state was written: writes the state once it is requested again", async () => {
        deployment = await Deployment.start({ engines: 2 }, 2);
        const { platform } = deployment;
        const spec = { Service: "engines", Target: "v2", DurationS: 60 };
        platform.takeCopy();
        for (let zone = 0; zone < 20; zone += 1) platform.put(KIND.closedZones, `nowhere-${zone}`, {});
        platform.put(KIND.rollouts, "engines", spec);
        await vi.waitFor(() => expect(deployment.linesOf("rollout")).toHaveLength(2), APPLY_MS);
        platform.restore();
        platform.put(KIND.rollouts, "engines", spec);
        await vi.waitFor(
            () => expect(platform.status(KIND.rollouts, "engines")).toMatchObject({ State: "in_progress" }),
            3_000,
        );
    });

    it("a decision that was acknowledged and not reported: writes it again", async () => {
        deployment = await Deployment.start({ engines: 2 });
        const { platform } = deployment;
        const spec = { Service: "engines", Target: "v2", DurationS: 60 };
        platform.put(KIND.rollouts, "engines", spec, { State: "in_progress", Target: "v2" });
        await vi.waitFor(() => expect(deployment.linesOf("rollout")).toHaveLength(1), APPLY_MS);
        platform.takeCopy();
        const { rollouts } = deployment.gateways[0]?.gateway.context ?? {};
        const rollout = rollouts?.find("engines");
        if (rollout !== undefined) rollouts?.recordDecision(rollout, "completed", rollout.revision + 1);
        platform.restore();
        await vi.waitFor(
            () => expect(platform.status(KIND.rollouts, "engines")).toEqual({ State: "completed", Target: "v2" }),
            3_000,
        );
    });

    it("the opening of a zone, which is closed anew at once: closes it in time", async () => {
        deployment = await Deployment.start({ bookings: 2 });
        const { platform } = deployment;
        deployment.register("bookings", "bookings-1", { Zone: "west" });
        platform.put(KIND.closedZones, "west", {});
        await vi.waitFor(() => expect(eligible()).toEqual(["bookings-0"]), APPLY_MS);
        platform.takeCopy();
        platform.remove(KIND.closedZones, "west");
        await vi.waitFor(() => expect(eligible()).toHaveLength(2), APPLY_MS);
        platform.restore();
        platform.put(KIND.closedZones, "west", {});
        await vi.waitFor(() => expect(eligible()).toEqual(["bookings-0"]), APPLY_MS);
    });
});
