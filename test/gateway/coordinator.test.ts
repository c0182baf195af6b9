/** The choice of the gateway that does a task for all, such as gathering pieces: a small machine cannot bear it. */
import { describe, expect, it } from "vitest";
import type { GatewayPeer } from "../../src/gateway/peers.js";
import { chooseCoordinator } from "../../src/gateway/coordinator.js";

const TASKS = Array.from({ length: 40 }, (_, index) => `task-${index}`);

function gateways(kind: string, count: number, processors: number, linkMegabits: number): readonly GatewayPeer[] {
    return Array.from({ length: count }, (_, index) => ({
        name: `${kind}-${index}`,
        zone: "east",
        address: `10.0.0.${index}:1`,
        capacity: { processors, linkMegabits },
    }));
}

const cases: readonly {
    readonly case: string;
    readonly candidates: readonly GatewayPeer[];
    readonly coordinators: RegExp;
}[] = [
    {
        case: "many small machines beside a few large ones",
        candidates: [...gateways("small", 21, 0.243, 10), ...gateways("large", 8, 1.35, 200)],
        coordinators: /^large-/,
    },
    {
        case: "machines whose only difference is a slow link",
        candidates: [...gateways("slow", 9, 0.5, 7), ...gateways("fast", 3, 0.5, 1_000)],
        coordinators: /^fast-/,
    },
    {
        case: "a machine with many processors and a slow link, and balanced ones",
        candidates: [...gateways("unbalanced", 3, 4, 10), ...gateways("balanced", 3, 1, 500)],
        coordinators: /^balanced-/,
    },
    {
        case: "small machines only",
        candidates: gateways("small", 5, 0.12, 10),
        coordinators: /^small-/,
    },
];

describe("coordinators", () => {
    it.each(cases)("are machines with enough capacity: $case", ({ candidates, coordinators }) => {
        const chosen = TASKS.map(task => chooseCoordinator(task, candidates)?.name ?? "");
        for (const name of chosen) expect(name).toMatch(coordinators);
        // Tasks are spread over the machines.
        expect(new Set(chosen).size).toBeGreaterThan(1);
    });

    it("do not depend on the order of the registrations", () => {
        const candidates = [...gateways("small", 5, 0.243, 10), ...gateways("large", 3, 1.35, 200)];
        for (const task of TASKS) {
            expect(chooseCoordinator(task, [...candidates].reverse())).toBe(chooseCoordinator(task, candidates));
        }
    });

    it("are undefined without candidates", () => {
        expect(chooseCoordinator("task", [])).toBeUndefined();
    });
});
