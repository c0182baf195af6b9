/** Gateways of a large fleet that follow the store through relays, over real connections. */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { GatewayProcess } from "../../src/daemon/gateway.js";
import { relaysAmong } from "../../src/relay/relays.js";
import { CONFIGURATION, Deployment } from "./harness.js";

const GATEWAYS = 8;
const RELAYS = 6;

let deployment: Deployment;

beforeEach(async () => {
    deployment = await Deployment.start({ bookings: 1, engines: 1 }, GATEWAYS);
    deployment.target("bookings-0").behaviour = () => ({ kind: "answer" });
    await vi.waitFor(() => expect(followers()).toHaveLength(GATEWAYS - RELAYS), 5_000);
}, 20_000);

afterEach(() => deployment.close());

/** The gateways that follow a relay, by the last line that they logged of one. */
function followers(): readonly string[] {
    const last = new Map<string, string>();
    for (const { message, process } of deployment.lines) {
        if (message === "relay followed" || message === "relay left") last.set(String(process), message);
    }
    return [...last].filter(([, message]) => message === "relay followed").map(([name]) => name);
}

function relayProcesses(): readonly GatewayProcess[] {
    const peers = deployment.gateways.map(({ gateway }) => gateway.self);
    const names = relaysAmong(peers).map(({ name }) => name);
    return deployment.gateways.filter(({ name }) => names.includes(name));
}

async function change(version: number): Promise<void> {
    deployment.platform.put("config", "main", { ...CONFIGURATION, Version: version });
    const versions = (): readonly (number | undefined)[] =>
        deployment.gateways.map(({ gateway }) => gateway.configuration?.version);
    await vi.waitFor(() => expect(new Set(versions())).toEqual(new Set([version])), 3_000);
}

describe("a gateway that follows a relay", () => {
    it("learns changes of the configuration", async () => {
        await change(2);
        await change(3);
    });

    it("learns them when relays have stopped as planned, which end at once", async () => {
        const startedAt = performance.now();
        const stopped = relayProcesses().slice(0, 3);
        await Promise.all(stopped.map(process => process.stop()));
        expect(performance.now() - startedAt).toBeLessThan(6_000);
        expect(deployment.linesOf("stopped")).toMatchObject(stopped.map(() => ({ openRequests: 0 })));
        for (const process of stopped) deployment.gateways.splice(deployment.gateways.indexOf(process), 1);
        await change(2);
    }, 20_000);

    it("learns them when its relay is killed", async () => {
        const killed = relayProcesses();
        const [first, ...rest] = killed;
        await first?.kill();
        for (const process of killed.slice(0, 1)) {
            deployment.gateways.splice(deployment.gateways.indexOf(process), 1);
        }
        expect(rest).toHaveLength(RELAYS - 1);
        await change(2);
    });

    it("learns them when the store was down", async () => {
        deployment.platform.down = true;
        await new Promise(resolve => setTimeout(resolve, 1_500));
        deployment.platform.down = false;
        await change(2);
    });
});
