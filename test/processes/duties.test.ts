/**
 * The holder of the duties as a process that is frozen, for longer than its lease or shorter, or killed.
 *
 * Guards against calls of a frozen holder that are sent after its successor's, and counts that it changes when it goes on.
 */
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { pause } from "../../src/model/pause.js";
import { CONFIGURATION } from "../gateway/harness.js";
import { StandInCloud } from "../platform/standincloud.js";
import { StandInPlatform } from "../platform/standinplatform.js";
import { StandInTarget } from "../platform/standintarget.js";
import { type Daemon, freeAddress, ProcessGroup, until } from "./daemons.js";

const GATEWAYS = 3;
const LEASE_MS = 1_000;
const TAKEN = '"duty taken"';

let group: ProcessGroup;
let platform: StandInPlatform;
let cloud: StandInCloud;
let target: StandInTarget;
let gateways: Daemon[];
let callers: string[];

beforeEach(async () => {
    group = ProcessGroup.create();
    platform = await StandInPlatform.start();
    cloud = await StandInCloud.start();
    target = await StandInTarget.start("bookings-0");
    const routes = CONFIGURATION.Routes.map(route => ({ ...route, Host: "127.0.0.1" }));
    platform.put("config", "main", { ...CONFIGURATION, Routes: routes });
    const record = { Service: "bookings", Address: target.address, Zone: "east", Version: "v1", Slots: 4, born: 1 };
    platform.put("servers", "bookings-0", { ...record, State: "available" });
    gateways = [];
    callers = [];
    for (let index = 0; index < GATEWAYS; index += 1) {
        const address = await freeAddress();
        callers.push(address);
        const settings = {
            name: `gateway-${index}`,
            zone: "east",
            callerAddress: address,
            readinessAddress: await freeAddress(),
            peerAddress: await freeAddress(),
            store: { address: platform.address, timeoutMilliseconds: 300 },
            duties: { address: cloud.address, leaseMilliseconds: LEASE_MS, usageWindowSeconds: 1, usageDueSeconds: 8 },
        };
        gateways.push(group.spawn("gateway", `gateway-${index}`, settings));
    }
    await until("a gateway reports", () => cloud.reports.size > 0);
}, 60_000);

afterEach(async () => {
    await group.close();
    platform.close();
    cloud.close();
    target.close();
});

function holder(): Daemon {
    const name = cloud.calls.at(-1)?.holder;
    const found = gateways.find(gateway => gateway.name === name);
    if (found === undefined) throw new Error(`no gateway ${name}`);
    return found;
}

let sent = 0;

async function sendTo(indexes: readonly number[], count: number): Promise<void> {
    for (let round = 0; round < count; round += 1) {
        for (const index of indexes) {
            sent += 1;
            const headers = {
                "x-parsleyrun-request-id": `request-${sent}`,
                "x-parsleyrun-deadline-ms": "2000",
                "authorization": "Token good-key",
            };
            const options = { method: "POST", body: "b", headers };
            expect((await fetch(`http://${callers[index]}/check/1`, options)).status).toBe(200);
        }
        await pause(40);
    }
}

/** Checks the order of tokens, and that windows have one content and none is missing. */
function expectRules(): void {
    const tokens = cloud.calls.map(({ token }) => token);
    expect(tokens).toEqual([...tokens].sort((left, right) => left - right));
    const contents = new Map(cloud.calls.map(({ body }) => [body.WindowId ?? 0, JSON.stringify(body.Counts)]));
    for (const { body } of cloud.calls) expect(JSON.stringify(body.Counts)).toBe(contents.get(body.WindowId ?? 0));
    const ids = [...cloud.reports.keys()].sort((left, right) => left - right);
    expect(ids).toEqual(ids.map((_, index) => (ids[0] ?? 0) + index));
}

function reported(): number {
    const counts = [...cloud.reports.values()].map(([first]) => first?.body.Counts?.kettleby ?? 0);
    return counts.reduce((sum, count) => sum + count, 0);
}

describe("the holder of the duties", () => {
    it.each<[string, number, number]>([
        ["longer than its lease", 6_000, 2],
        ["shorter than its lease", 700, 1],
    ])(
        "that is frozen for %s sends nothing that its successor has sent, or before a renewal",
        async (_, freezeMs, holders) => {
            const before = sent;
            await sendTo([0, 1, 2], 20);
            await pause(1_200);
            const frozen = holder();
            const others = [0, 1, 2].filter(index => gateways[index] !== frozen);
            frozen.signal("SIGSTOP");
            await Promise.all([pause(freezeMs), sendTo(others, 20)]);
            frozen.signal("SIGCONT");
            await sendTo([0, 1, 2], 10);
            const total = sent - before;
            await until(`${total} requests are reported`, () => reported() === total);
            await pause(2_000);
            expect(reported()).toBe(total);
            expectRules();
            expect(new Set(cloud.calls.map(call => call.holder)).size).toBe(holders);
        },
        60_000,
    );

    it("that is killed is followed by another one, and no window is missing", async () => {
        const killed = holder();
        killed.signal("SIGKILL");
        const calls = cloud.calls.length;
        await until("another gateway reports", () => cloud.calls.length > calls + 4);
        expect(holder().name).not.toBe(killed.name);
        expect(holder().errors).toContain(TAKEN);
        expectRules();
    }, 60_000);
});
