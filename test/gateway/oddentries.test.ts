/** An odd entry in the store names nothing that a gateway uses, does not end the process, and is logged once. */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { startGateway, type GatewayProcess } from "../../src/daemon/gateway.js";
import { GatewayPeers } from "../../src/gateway/index.js";
import { DecisionLog, LineSink } from "../../src/observability/index.js";
import { KIND } from "../../src/platform/names.js";
import { platformEnvironment } from "../../src/platform/source.js";
import { gatewaySettingsSchema } from "../../src/settings/index.js";
import { CallCounter } from "../../src/store/index.js";
import { entryText, ScriptedStore } from "../platform/scriptedstore.js";
import { freeAddress } from "../processes/daemons.js";
import { CONFIGURATION } from "./harness.js";

const DEEP = "[".repeat(50_000) + "]".repeat(50_000);
const TARGET = {
    Service: "bookings",
    Address: "127.0.0.1:7001",
    Zone: "east",
    Version: "v1",
    Slots: 6,
    State: "available",
};
const ROLLOUT = { Service: "bookings", Target: "v2", DurationS: 60 };

let store: ScriptedStore;
let process: GatewayProcess;
let lines: Readonly<Record<string, unknown>>[];

async function start(): Promise<void> {
    const settings = gatewaySettingsSchema.parse({
        name: "gateway-0",
        zone: "east",
        callerAddress: await freeAddress(),
        readinessAddress: await freeAddress(),
        peerAddress: await freeAddress(),
        rollouts: { share: 0.1, allowance: 50 },
        store: { address: store.address, timeoutMilliseconds: 300 },
    });
    const sink = LineSink.create((text, done) => {
        for (const line of text.trim().split("\n")) lines.push(JSON.parse(line) as Readonly<Record<string, unknown>>);
        done(null);
    });
    process = await startGateway(settings, {
        ...platformEnvironment({ ...settings.store, ledger: CallCounter.create() }),
        log: DecisionLog.create(settings.name, sink),
    });
    await vi.waitFor(() => expect(lines.some(({ message }) => message === "store followed")).toBe(true), 3_000);
}

beforeEach(async () => {
    store = await ScriptedStore.start();
    lines = [];
});

afterEach(async () => {
    await process.kill();
    store.close();
});

/** Texts of a value of the kind's sound objects, with which an odd value is compared. */
const sound = (name: string, spec: unknown) => (revision: number) => entryText(name, revision, spec);
const withSpec = (name: string, text: string) => (revision: number) =>
    `{"Metadata":{"Name":"${name}","Revision":${revision}},"Spec":${text}}`;

const ODD_VALUES: readonly (readonly [string, string])[] = [
    ["null", "null"],
    ["a list", "[1]"],
    ["a text", '"x"'],
    ["a very long text", `"${"x".repeat(200_000)}"`],
    ["nested very deep", DEEP],
    ["nested very deep in one field", `{"Service":${DEEP},"Version":${DEEP},"Target":${DEEP},"name":${DEEP}}`],
    ["with fields of its prototype only", `{"__proto__":${JSON.stringify({ ...TARGET, ...CONFIGURATION })}}`],
    ["with thousands of odd fields", JSON.stringify({ Routes: new Array(5_000).fill(7), Slots: [] })],
];

function logged(message: string): readonly Readonly<Record<string, unknown>>[] {
    return lines.filter(line => line.message === message);
}

function longestLine(): number {
    return Math.max(
        ...lines.filter(({ message }) => String(message).endsWith("ignored")).map(line => JSON.stringify(line).length),
    );
}

describe.each(ODD_VALUES)("a value that is %s", (_, text) => {
    it("keeps the configuration in force, in a list and in a watch", async () => {
        store.add(KIND.configuration, "a", withSpec("a", text));
        store.add(KIND.configuration, "main", sound("main", CONFIGURATION));
        await start();
        expect(process.gateway.configuration?.version).toBe(1);
        store.report(KIND.configuration, withSpec("main", text));
        await vi.waitFor(() => expect(logged("configuration ignored")).toHaveLength(2));
        expect(process.gateway.configuration?.version).toBe(1);
        store.report(KIND.configuration, withSpec("main", text), sound("main", { ...CONFIGURATION, Version: 2 }));
        await vi.waitFor(() => expect(process.gateway.configuration?.version).toBe(2));
        expect(longestLine()).toBeLessThan(1_000);
    });

    it("names no target, and the others hold", async () => {
        store.add(KIND.targets, "a", sound("a", TARGET));
        store.add(KIND.targets, "b", withSpec("b", text));
        store.add(KIND.targets, "c", sound("c", TARGET));
        await start();
        expect(process.gateway.targets.names()).toEqual(["a", "c"]);
        store.report(KIND.targets, withSpec("a", text), sound("d", TARGET));
        await vi.waitFor(() => expect(process.gateway.targets.names()).toEqual(["c", "d"]));
        store.report(KIND.targets, withSpec("a", text), sound("b", TARGET));
        await vi.waitFor(() => expect(process.gateway.targets.names()).toEqual(["c", "d", "b"]));
        await vi.waitFor(() => expect(logged("registration ignored")).toHaveLength(2));
        expect(longestLine()).toBeLessThan(1_000);
    });

    it("closes a zone by its name alone", async () => {
        store.add(KIND.targets, "a", sound("a", TARGET));
        store.add(KIND.targets, "b", sound("b", { ...TARGET, Zone: "west" }));
        store.add(KIND.closedZones, "west", withSpec("west", text));
        await start();
        const eligible = (): readonly string[] => process.gateway.targets.eligible("bookings").map(({ name }) => name);
        expect(eligible()).toEqual(["a"]);
        store.report(KIND.closedZones, withSpec("east", text));
        await vi.waitFor(() => expect(eligible()).toEqual([]));
    });

    it("leaves the roll-outs of other services and the one that was read", async () => {
        store.add(KIND.rollouts, "bookings", sound("bookings", ROLLOUT));
        store.add(KIND.rollouts, "engines", withSpec("engines", text));
        await start();
        const version = (): string | undefined => process.gateway.context.rollouts.find("bookings")?.version;
        expect(version()).toBe("v2");
        store.report(KIND.rollouts, withSpec("bookings", text));
        await vi.waitFor(() => expect(logged("rollout ignored")).toHaveLength(2));
        expect(version()).toBe("v2");
        store.report(KIND.rollouts, withSpec("engines", text), sound("bookings", { ...ROLLOUT, Target: "v3" }));
        await vi.waitFor(() => expect(version()).toBe("v3"));
        expect(logged("rollout ignored")).toHaveLength(2);
        expect(longestLine()).toBeLessThan(1_000);
    });

    it("does not make a registered gateway count as gone", () => {
        const capacity = { processors: 1, linkMegabits: 1 };
        const peer = (name: string): unknown => ({ name, zone: "east", address: "127.0.0.1:7001", capacity });
        const peers = GatewayPeers.create(peer("a") as GatewayPeers["self"], "gateways/");
        const apply = (name: string, value: string, version: number): void =>
            peers.apply({ key: `gateways/${name}`, object: { key: `gateways/${name}`, version, value } });
        apply("a", JSON.stringify(peer("a")), 1);
        apply("b", JSON.stringify(peer("b")), 2);
        apply("b", text, 3);
        apply("c", text, 4);
        expect(peers.all.map(({ name }) => name)).toEqual(["a", "b"]);
        peers.apply({ key: "gateways/b" });
        expect(peers.count).toBe(1);
    });
});

describe("whether a gateway is called, if its registration has", () => {
    const capacity = { processors: 1, linkMegabits: 1 };
    const sound = { name: "b", zone: "east", address: "127.0.0.1:7001", capacity };
    it.each<[string, unknown, number]>([
        ["all that is needed", sound, 2],
        ["port 0", { ...sound, address: "127.0.0.1:0" }, 1],
        ["port 99999", { ...sound, address: "127.0.0.1:99999" }, 1],
        ["a host that is no address", { ...sound, address: "999.1.1.1:80" }, 1],
        ["another name", { ...sound, name: "c" }, 1],
        ["a very long zone", { ...sound, zone: "z".repeat(100_000) }, 1],
        ["no capacity that counts", { ...sound, capacity: { processors: -1, linkMegabits: 1 } }, 1],
        ["a capacity as text", { ...sound, capacity: { processors: "1", linkMegabits: 1 } }, 1],
    ])("%s", (_, registration, count) => {
        const peers = GatewayPeers.create({ ...sound, name: "a" }, "gateways/");
        for (const [name, value] of Object.entries({ a: { ...sound, name: "a" }, b: registration })) {
            const key = `gateways/${name}`;
            peers.apply({ key, object: { key, version: 1, value: JSON.stringify(value) } });
        }
        expect(peers.all).toHaveLength(count);
    });
});
