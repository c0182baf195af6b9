/** Configuration over the death of an entry while the store is stale or down, and wrong settings. */
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { Deployment, pause, SYSTEM_KEY, until } from "./deployment.js";

let deployment: Deployment;

beforeAll(async () => {
    deployment = await Deployment.start({ generateAgents: 1, bookAgents: 1 });
}, 60_000);

afterAll(async () => {
    await deployment.close();
});

async function changeBudget(entry: string, amount: number): Promise<number> {
    return deployment.applyLists(entry, { budget: { millisecondsPerSecond: amount } });
}

/** The version that an entry has in force; undefined while it says that it is starting. */
async function versionOf(entry: string): Promise<number | undefined> {
    const { status, body } = await deployment.operate(entry, "GET", "configuration");
    if (status === 200) return Number(body["version"]);
    expect(body).toMatchObject({ error: { kind: "starting" } });
    return undefined;
}

/** Reads the version of an entry until it reaches one, and checks that none below it is ever in force. */
async function neverBelow(entry: string, version: number): Promise<void> {
    await until(`${entry} has version ${version}`, async () => {
        const read = await versionOf(entry);
        expect(read ?? version, "version in force").toBeGreaterThanOrEqual(version);
        return read !== undefined;
    });
}

describe("the configuration of an entry that is killed and restarted", () => {
    // Guards against a revert to an older state that a stale read shows.
    it("never goes back while the store serves stale reads", async () => {
        let version = 0;
        for (let amount = 100_001; amount <= 100_004; amount += 1) version = await changeBudget("entry-1", amount);
        await until("entry-2 follows", async () => (await versionOf("entry-2")) === version);
        await deployment.fault("store", { setStaleReads: [true, 3_000] });
        const last = await changeBudget("entry-1", 100_005);
        expect(last).toBe(version + 1);
        await until("entry-2 follows", async () => (await versionOf("entry-2")) === last);
        await deployment.restart("entry-2");
        await neverBelow("entry-2", last);
        await deployment.fault("store", { setStaleReads: [false] });
    });

    // Guards against an entry that serves an older or empty configuration because no peer confirms it.
    it("never goes back when the entry has no peer and the store serves stale reads", async () => {
        const before = await versionOf("entry-1");
        await deployment.addEntry("entry-4", []);
        await deployment.fault("store", { setStaleReads: [true, 2_000] });
        const last = await changeBudget("entry-1", 100_006);
        expect(last).toBe((before ?? 0) + 1);
        await deployment.startDaemon("entry-4");
        await neverBelow("entry-4", last);
        await deployment.fault("store", { setStaleReads: [false] });
        await deployment.daemon("entry-4").kill();
    });

    // Guards against an entry that starts with no or an old configuration in an outage although its peers have it.
    it("comes from the peers while the store is down", async () => {
        const last = await changeBudget("entry-1", 100_007);
        await until("entry-2 follows", async () => (await versionOf("entry-2")) === last);
        await deployment.fault("store", { setOutage: [true] });
        await deployment.restart("entry-2");
        await neverBelow("entry-2", last);
        await deployment.fault("store", { setOutage: [false] });
    });

    // Guards against requests that are served without a configuration.
    it("is refused as starting without a peer while the store is down, and taken from the store later", async () => {
        const last = (await versionOf("entry-1")) ?? 0;
        await deployment.addEntry("entry-3", []);
        await deployment.fault("store", { setOutage: [true] });
        await deployment.startDaemon("entry-3");
        for (let look = 0; look < 5; look += 1) {
            expect(await versionOf("entry-3")).toBeUndefined();
            const answer = await deployment.call("entry-3", "stock-check");
            expect(answer).toMatchObject({ status: 503, body: { outcome: "refused", reason: "starting" } });
            await pause(100);
        }
        await deployment.fault("store", { setOutage: [false] });
        await neverBelow("entry-3", last);
        await deployment.serves("entry-3", "stock-check");
    });
});

describe("wrong settings", () => {
    const address = "127.0.0.1:1";
    const common = { name: "wrong", zone: "east", vm: "vm", systemKey: SYSTEM_KEY, linkAddress: address };
    const store = { address };
    const entry = {
        ...common,
        store,
        callerAddress: address,
        operatorKey: "operator-key",
        seat: { index: 0, count: 1 },
    };
    const agent = { ...common, store, service: "book", version: "v1", targetAddress: address };
    const cases = [
        {
            kind: "entry",
            path: "store.timeoutMilliseconds",
            settings: { ...entry, store: { address, timeoutMilliseconds: "fast" } },
        },
        { kind: "entry", path: "seat", settings: { ...entry, seat: { index: 2, count: 2 } } },
        { kind: "entry", path: "seat.cuont", settings: { ...entry, seat: { index: 0, count: 1, cuont: 1 } } },
        { kind: "entry", path: "peers[1]", settings: { ...entry, peers: [address, "host:1"] } },
        { kind: "entry", path: "tls.authority", settings: { ...entry, tls: { certificate: "a", privateKey: "b" } } },
        { kind: "agent", path: "targetAddress", settings: { ...agent, targetAddress: "127.0.0.1:99999" } },
        { kind: "agent", path: "systemKey", settings: { ...agent, systemKey: "short" } },
        { kind: "agent", path: "maximumQueued", settings: { ...agent, maximumQueued: -1 } },
        { kind: "agent", path: "", settings: "name: [" },
    ] as const;

    // Guards against a process that starts half way, or an error that does not say which key is wrong.
    it.each(cases)("of an $kind: names $path and ends with 2", async ({ kind, path, settings }) => {
        const process = deployment.group.spawn(kind, "wrong", settings);
        expect(await process.ended).toEqual({ code: 2, signal: null });
        expect(process.errors).toMatch(/^error: .*wrong-\d+\.yaml/);
        expect(process.errors).toContain(path === "" ? "yaml:1" : `: ${path}: `);
        expect(process.errors).toContain("next: correct the settings");
        expect(process.errors).not.toContain("started");
        expect(await deployment.objects("members/")).not.toContainEqual(
            expect.objectContaining({ key: expect.stringContaining("wrong") as string }),
        );
    });
});
