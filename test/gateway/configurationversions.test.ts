/**
 * Many versions of the configuration in one answer of the store, as after an outage or in a series of changes. Each one
 * that was decoded kept the event loop busy, so that requests that had been read were answered after their callers had left.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { startGateway, type GatewayProcess } from "../../src/daemon/gateway.js";
import { DecisionLog, LineSink } from "../../src/observability/index.js";
import { platformEnvironment } from "../../src/platform/source.js";
import { gatewaySettingsSchema } from "../../src/settings/index.js";
import { CallCounter } from "../../src/store/index.js";
import { StandInPlatform } from "../platform/standinplatform.js";
import { freeAddress } from "../processes/daemons.js";
import { CONFIGURATION } from "./harness.js";

/** Versions in one answer. */
const VERSIONS = 30;

let platform: StandInPlatform;
let process: GatewayProcess;
/** What happened, in order: `decode` for a decoded configuration, `turn` for a turn of the event loop. */
let order: string[];
let watching: boolean;

function watchTurns(): void {
    if (!watching) return;
    if (order.at(-1) !== "turn") order.push("turn");
    setImmediate(watchTurns);
}

async function start(): Promise<void> {
    const settings = gatewaySettingsSchema.parse({
        name: "gateway-0",
        zone: "east",
        callerAddress: await freeAddress(),
        readinessAddress: await freeAddress(),
        peerAddress: await freeAddress(),
        store: { address: platform.address, timeoutMilliseconds: 300 },
    });
    const environment = platformEnvironment({ ...settings.store, ledger: CallCounter.create() });
    const { source } = environment;
    process = await startGateway(settings, {
        ...environment,
        source: {
            ...source,
            decodeConfiguration: text => {
                order.push("decode");
                return source.decodeConfiguration(text);
            },
        },
        log: DecisionLog.create(
            settings.name,
            LineSink.create((_, done) => done(null)),
        ),
    });
    await vi.waitFor(() => expect(process.gateway.configuration?.version).toBe(1), 3_000);
}

function put(Version: unknown): void {
    platform.put("config", "main", { ...CONFIGURATION, Version });
}

const decoded = (): number => order.filter(entry => entry === "decode").length;

beforeEach(async () => {
    order = [];
    platform = await StandInPlatform.start();
    put(1);
    await start();
    order = [];
    watching = true;
    watchTurns();
});

afterEach(async () => {
    watching = false;
    await process.kill();
    platform.close();
});

describe("versions of the configuration in one answer", () => {
    it("are decoded once, the newest of them", async () => {
        for (let version = 2; version <= VERSIONS; version += 1) put(version);
        await vi.waitFor(() => expect(process.gateway.configuration?.version).toBe(VERSIONS), 3_000);
        // The answer may have been written after the first of them.
        expect(decoded()).toBeLessThanOrEqual(2);
    });

    it("are decoded in turns of their own until one can be read", async () => {
        for (let version = 2; version <= 5; version += 1) put(version);
        for (let count = 0; count < 4; count += 1) put("none");
        await vi.waitFor(() => expect(process.gateway.configuration?.version).toBe(5), 3_000);
        expect(order.join(" ")).not.toContain("decode decode");
    });

    // A version that was taken by gateways to which it came by itself must not be skipped by others.
    it.each<{ case: string; changes: readonly (number | "removal" | "unreadable")[]; inForce: number }>([
        { case: "a version and its removal", changes: [2, "removal"], inForce: 2 },
        { case: "a removal and a version", changes: ["removal", 2], inForce: 2 },
        { case: "versions and a removal after them", changes: [2, 3, "removal"], inForce: 3 },
        { case: "versions and a removal between them", changes: [2, "removal", 3], inForce: 3 },
        { case: "a version, its removal and an unreadable one", changes: [2, "removal", "unreadable"], inForce: 2 },
    ])("are in force though the object is removed: $case", async ({ changes, inForce }) => {
        for (const change of changes) {
            if (change === "removal") platform.remove("config", "main");
            else put(change === "unreadable" ? "none" : change);
        }
        await vi.waitFor(() => expect(process.gateway.configuration?.version).toBe(inForce), 1_000);
    });

    it("that are many and large are replaced by a list", async () => {
        const notes = "x".repeat(1_000_000);
        for (let version = 2; version <= 12; version += 1) {
            platform.put("config", "main", { ...CONFIGURATION, Version: version, notes });
        }
        await vi.waitFor(() => expect(process.gateway.configuration?.version).toBe(12), 3_000);
        const lists = platform.calls.filter(call => call === "GET /objects/config");
        expect(lists).toHaveLength(2);
    });
});
