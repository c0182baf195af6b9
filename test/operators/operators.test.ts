/**
 * The operators' interface: each error says what to do next, an operator whose change conflicts reads the accepted one,
 * and the status names the processes that have not acknowledged a version.
 */
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { StandInStore } from "../../src/standins/index.js";
import { KEY, LISTS, OperatorHarness } from "./harness.js";

let harness: OperatorHarness;
const startedHarnesses: OperatorHarness[] = [];

beforeEach(async () => {
    harness = await OperatorHarness.start();
    startedHarnesses.push(harness);
});

afterEach(() => {
    for (const started of startedHarnesses.splice(0)) started.close();
});

const apply = (lists: string, version: number, more: object = {}) =>
    harness.call("POST", "lists", { lists, version, ...more });

const moveOf = (name: string, withinSeconds = 60) => ({ kind: "zone", name, direction: "out", withinSeconds });

describe("moves", () => {
    it("are declared once: a second declaration is refused with the open move", async () => {
        const first = await harness.call("POST", "moves", { ...moveOf("east"), author: "anna" });
        expect(first).toMatchObject({ status: 200, body: { move: { id: "zone-east-1", state: "open" } } });
        const second = await harness.call("POST", "moves", { ...moveOf("east"), direction: "back", author: "ben" });
        const message = expect.stringContaining("move zone-east-1 (zone east out, by anna) is open");
        expect(second).toMatchObject({ status: 409, body: { error: { kind: "conflict", message } } });
        expect(await harness.call("POST", "moves", moveOf("west"))).toMatchObject({ status: 200 });
        const listed = (await harness.call("GET", "moves")).body as { readonly moves: readonly { id: string }[] };
        expect(listed.moves.map(({ id }) => id)).toEqual(["zone-east-1", "zone-west-1"]);
        expect(await harness.call("GET", "moves/zone-west-1")).toMatchObject({ body: { move: { name: "west" } } });
    });

    it("to a version need a stable version to compare with, no other candidate and no slots", async () => {
        await apply(LISTS, 0);
        const declare = (name: string, version: string) =>
            harness.call("POST", "moves", { kind: "version", name, version, withinSeconds: 60 });
        const split = (body: object) => harness.call("POST", "services/encode/traffic", body);
        const refused = async (name: string, version: string, message: string): Promise<void> => {
            const expected = { error: { kind: "badRequest", message: expect.stringContaining(message) } };
            expect(await declare(name, version)).toMatchObject({ status: 400, body: expected });
        };
        await refused("book", "v2", "slots of a service stay");
        await refused("encode", "v2", "no stable version");
        await split({ stable: "v1", candidate: { version: "v3", fraction: 0.1 } });
        await refused("encode", "v2", '"v3" is already under trial');
        await split({ stable: "v1" });
        await refused("encode", "v1", "already the stable one");
        const move = { id: "version-encode-1", order: "version encode v2" };
        expect(await declare("encode", "v2")).toMatchObject({ status: 200, body: { move } });
    });

    it("are not declared while the store is down, and have an unknown outcome when its response is lost", async () => {
        harness.store.setOutage(true);
        expect(await harness.call("POST", "moves", moveOf("east"))).toMatchObject({ status: 503 });
        harness.store.setOutage(false);
        harness.store.loseWriteAnswers(100, false);
        expect(await harness.call("POST", "moves", moveOf("east"))).toMatchObject({ status: 500 });
        expect(harness.store.keys("moves/")).toEqual([]);
    });
});

describe("refused requests", () => {
    const cases = [
        { fault: "no key", method: "GET", path: "status", headers: { authorization: "" }, status: 401 },
        {
            fault: "wrong key",
            method: "GET",
            path: "status",
            headers: { authorization: `Bearer ${KEY}x` },
            status: 401,
        },
        { fault: "wrong key on a change", method: "POST", path: "lists", headers: { authorization: "x" }, status: 401 },
        { fault: "unknown path", method: "GET", path: "nothing", status: 404 },
        { fault: "path that cannot be decoded", method: "POST", path: "zones/%ff", status: 404 },
        { fault: "wrong method", method: "DELETE", path: "lists", status: 405 },
        { fault: "a body that is not JSON", method: "POST", path: "lists", body: "{", status: 400 },
        { fault: "unknown key", method: "POST", path: "zones/east", body: { state: "out", at: 1 }, status: 400 },
        { fault: "wrong state", method: "POST", path: "zones/east", body: { state: "in" }, status: 400 },
        { fault: "body too large", method: "POST", path: "lists", body: "x".repeat(1_100_000), status: 413 },
        { fault: "unknown zone", method: "POST", path: "zones/north", body: { state: "out" }, status: 404 },
        { fault: "unknown service", method: "POST", path: "services/x/traffic", body: { stable: "v1" }, status: 404 },
        { fault: "wrong version", method: "GET", path: "status?version=x", status: 400 },
        { fault: "move of an unknown zone", method: "POST", path: "moves", body: moveOf("north"), status: 404 },
        { fault: "move with a time limit of 0 s", method: "POST", path: "moves", body: moveOf("east", 0), status: 400 },
        {
            fault: "version move of an unknown service",
            method: "POST",
            path: "moves",
            body: { kind: "version", name: "x", version: "v2", withinSeconds: 60 },
            status: 404,
        },
        {
            fault: "version move with too high a share",
            method: "POST",
            path: "moves",
            body: { kind: "version", name: "encode", version: "v2", withinSeconds: 60, share: 0.6 },
            status: 400,
        },
        { fault: "unknown move", method: "GET", path: "moves/zone-east-1", status: 404 },
        {
            fault: "a move's name as author",
            method: "POST",
            path: "zones/east",
            body: { state: "out", author: "move zone-east-1" },
            status: 400,
        },
    ];

    it.each(cases)(
        "get status $status and the next step for $fault",
        async ({ method, path, body, headers, status }) => {
            const answer = await harness.call(method, path, body, headers);
            expect(answer.status).toBe(status);
            expect(answer.body).toMatchObject({
                error: { kind: expect.any(String), message: expect.any(String), next: expect.stringMatching(/./) },
            });
            expect(harness.store.keys()).toEqual([]);
        },
    );

    it("change nothing before the entry has confirmed its first configuration, which may be outdated", async () => {
        harness.confirmed = false;
        expect(await apply(LISTS, 0)).toMatchObject({ status: 503, body: { error: { kind: "starting" } } });
        expect(await harness.call("POST", "zones/east", { state: "out" })).toMatchObject({ status: 503 });
        expect(await harness.call("GET", "configuration")).toMatchObject({ status: 503 });
    });
});

describe("lists", () => {
    it("are accepted as one version and read back without a difference", async () => {
        expect(await apply(LISTS, 0)).toMatchObject({ status: 200, body: { kind: "accepted", version: 1 } });
        const { body } = await harness.call("GET", "configuration");
        const { lists } = body as { lists: string };
        expect(lists).not.toContain("kettleby-key");
        expect(await apply(lists, 1)).toMatchObject({ status: 200, body: { kind: "unchanged", version: 1 } });
    });

    it("change nothing on a dry run and show what would change", async () => {
        const answer = await apply(LISTS, 0, { dryRun: true });
        expect(answer).toMatchObject({ status: 200, body: { kind: "dryRun", version: 0 } });
        expect(answer).toMatchObject({ body: { difference: { set: expect.arrayContaining(["plan/large"]) } } });
        expect(harness.store.keys()).toEqual([]);
    });

    it("are refused with every fault and its line", async () => {
        const answer = await apply(LISTS.replace("plan: large", "plan: huge"), 0);
        expect(answer).toMatchObject({
            status: 422,
            body: { error: { faults: [{ line: 13, path: "accounts[0].plan" }] } },
        });
    });

    it("edited from an older version conflict with later changes, which they would revert", async () => {
        await apply(LISTS, 0);
        await harness.call("POST", "zones/east", { state: "out", author: "first" });
        const stale = LISTS.replace("kettleby-key", "other-key-1");
        for (const answer of [await apply(stale, 1), await apply(`version: 1\n${stale}`, 2)]) {
            expect(answer).toMatchObject({
                status: 409,
                body: {
                    error: {
                        changes: [{ version: 2, author: "first", set: ["zone/east"] }],
                        own: { set: ["account/kettleby"] },
                    },
                },
            });
        }
        expect(harness.holder.current.version).toBe(2);
    });

    it("applied concurrently at two entries: one is accepted, the other is told the accepted change", async () => {
        const second = await OperatorHarness.start(harness.store);
        startedHarnesses.push(second);
        const answers = await Promise.all([
            apply(LISTS, 0, { author: "first" }),
            second.call("POST", "lists", { lists: LISTS, version: 0, author: "second" }),
        ]);
        expect(answers.map(({ status }) => status).sort()).toEqual([200, 409]);
        const lost = answers.find(({ status }) => status === 409);
        expect(lost).toMatchObject({ body: { error: { changes: [{ version: 1 }], own: { removed: [] } } } });
    });

    it("are refused by an entry whose version is older than the one that the operator read", async () => {
        expect(await apply(LISTS, 5)).toMatchObject({ status: 503, body: { error: { kind: "behind" } } });
    });

    it("change nothing while the store is down, and are accepted once when its response is lost", async () => {
        harness.store.setOutage(true);
        expect(await apply(LISTS, 0)).toMatchObject({ status: 503, body: { error: { kind: "storeUnavailable" } } });
        harness.store.setOutage(false);
        harness.store.loseWriteAnswers(1);
        expect(await apply(LISTS, 0)).toMatchObject({ status: 200, body: { version: 1 } });
        expect(harness.store.keys("configuration/changes/")).toHaveLength(1);
    });
});

describe("zones and traffic", () => {
    it("take effect on top of other operators' changes, so that an edit does not delay a zone change", async () => {
        const second = await OperatorHarness.start(harness.store);
        startedHarnesses.push(second);
        await second.call("POST", "lists", { lists: LISTS, version: 0 });
        await second.call("POST", "zones/west", { state: "out" });
        const answer = await harness.call("POST", "zones/east", { state: "out" });
        expect(answer).toMatchObject({ status: 200, body: { kind: "accepted", version: 3 } });
        expect(harness.holder.current.isZoneInService("east")).toBe(false);
        expect(await harness.call("POST", "zones/east", { state: "out" })).toMatchObject({
            body: { kind: "unchanged" },
        });
        await harness.call("POST", "zones/east", { state: "back" });
        expect(harness.holder.current.isZoneInService("east")).toBe(true);
    });

    it("split the traffic of a service and warn of versions without targets", async () => {
        await apply(LISTS, 0);
        const candidate = { version: "v2", fraction: 0.05 };
        const answer = await harness.call("POST", "services/encode/traffic", { stable: "v1", candidate });
        expect(answer).toMatchObject({ body: { version: 2, warnings: [expect.stringContaining('"v2"')] } });
        expect(harness.holder.current.find("traffic", "encode")).toEqual({
            service: "encode",
            stable: "v1",
            candidate,
        });
        const same = await harness.call("POST", "services/encode/traffic", {
            stable: "v1",
            candidate: { version: "v1", fraction: 0.1 },
        });
        expect(same.status).toBe(400);
    });
});

describe("status", () => {
    const waitingFor = async (query = ""): Promise<unknown> => {
        const { body } = await harness.call("GET", `status${query}`);
        return (body as { configuration: { waitingFor: unknown } }).configuration.waitingFor;
    };

    it("names the processes whose current incarnation has not acknowledged the version", async () => {
        await apply(LISTS, 0);
        expect(await waitingFor()).toEqual(["encode1", "entry2"]);
        harness.acknowledgeAll(1);
        expect(await waitingFor()).toEqual([]);
        harness.acknowledged = [
            { name: "entry2", incarnation: "earlier", configurationVersion: 1 },
            { name: "encode1", incarnation: "i3", configurationVersion: 1 },
        ];
        expect(await waitingFor()).toEqual(["entry2"]);
        expect(await waitingFor("?version=2")).toEqual(["encode1", "entry1", "entry2"]);
    });

    it("does not wait for processes whose VM is gone, which would never acknowledge", async () => {
        await apply(LISTS, 0);
        harness.goneVms.add("vm2").add("vm3");
        expect(await harness.call("GET", "status")).toMatchObject({
            body: { configuration: { inForceEverywhere: true } },
        });
    });

    it("shows zones, slots, the store and members", async () => {
        await apply(LISTS, 0);
        await harness.call("POST", "zones/east", { state: "out" });
        expect((await harness.call("GET", "status")).body).toMatchObject({
            store: { available: true },
            slots: [{ service: "book", slots: 4, owned: 1, owners: { a: 1 } }],
            zones: [
                { name: "east", state: "out", targets: 1 },
                { name: "west", state: "in", targets: 0 },
            ],
            processes: [{ name: "encode1", role: "agent" }, { name: "entry1", version: 2 }, { name: "entry2" }],
        });
    });
});

describe("a lost store response", () => {
    it("is reported as unknown and not as refused, since the change may be accepted", async () => {
        const store = StandInStore.create();
        const other = await OperatorHarness.start(store);
        startedHarnesses.push(other);
        store.loseWriteAnswers(100, false);
        const answer = await other.call("POST", "lists", { lists: LISTS, version: 0 });
        expect(answer).toMatchObject({ status: 500, body: { error: { kind: "unknown" } } });
    });
});
