/** The choice of the gateway that gathers a service's pieces: a small machine cannot handle the pieces of all gateways. */
import { describe, expect, it } from "vitest";
import type { GatewayPeer } from "../../src/gateway/peers.js";
import { chooseGatherer } from "../../src/stages/gatherers.js";

const SERVICES = Array.from({ length: 40 }, (_, index) => `service-${index}`);

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
    readonly gatherers: RegExp;
}[] = [
    {
        case: "many small machines beside a few large ones",
        candidates: [...gateways("small", 21, 0.243, 10), ...gateways("large", 8, 1.35, 200)],
        gatherers: /^large-/,
    },
    {
        case: "machines whose only difference is a slow link",
        candidates: [...gateways("slow", 9, 0.5, 7), ...gateways("fast", 3, 0.5, 1_000)],
        gatherers: /^fast-/,
    },
    {
        case: "a machine with many processors and a slow link, and balanced ones",
        candidates: [...gateways("unbalanced", 3, 4, 10), ...gateways("balanced", 3, 1, 500)],
        gatherers: /^balanced-/,
    },
    {
        case: "small machines only",
        candidates: gateways("small", 5, 0.12, 10),
        gatherers: /^small-/,
    },
];

describe("gatherers", () => {
    it.each(cases)("are machines with enough capacity: $case", ({ candidates, gatherers }) => {
        const chosen = SERVICES.map(service => chooseGatherer(service, candidates)?.name ?? "");
        for (const name of chosen) expect(name).toMatch(gatherers);
        // Services are spread over the machines.
        expect(new Set(chosen).size).toBeGreaterThan(1);
    });

    it("do not depend on the order of the registrations", () => {
        const candidates = [...gateways("small", 5, 0.243, 10), ...gateways("large", 3, 1.35, 200)];
        for (const service of SERVICES) {
            expect(chooseGatherer(service, [...candidates].reverse())).toBe(chooseGatherer(service, candidates));
        }
    });

    it("are undefined without candidates", () => {
        expect(chooseGatherer("service", [])).toBeUndefined();
    });
});
