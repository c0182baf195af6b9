/** Links between entries, configuration over links, start and planned stop. */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { Deployment, echo, request, Submission } from "./harness.js";

let deployment: Deployment;

beforeEach(() => {
    vi.useFakeTimers();
    deployment = new Deployment();
});

afterEach(() => {
    deployment.end();
    vi.useRealTimers();
});

const change = { id: "c2", author: "test", set: [], removed: [] };

describe("configuration over links", () => {
    it("brings a starting entry, the agents and an entry that was cut off to the newest version", async () => {
        await deployment.startAgents("encode-service");
        const first = await deployment.startEntry("e1");
        const second = await deployment.startEntry("e2", { version: 0 });
        expect(second.ready).toBe(false);
        const early = [undefined, "key"].map(
            idempotencyKey => new Submission(second, request("book", { idempotencyKey })),
        );
        await deployment.pass(100);
        expect(early.map(({ outcome }) => outcome)).toMatchObject([
            { kind: "refused", reason: "starting" },
            { kind: "unknown", reason: "ownerUnreachable" },
        ]);
        expect(deployment.holders[1]?.current.version).toBe(1);
        deployment.reachable = () => false;
        deployment.holders[0]?.advance({ ...change, version: 2 });
        await deployment.pass(3_000);
        expect(first.processVersions().map(({ configurationVersion }) => configurationVersion)).toEqual([2, 1, 1, 1]);
        deployment.reachable = () => true;
        await deployment.pass(3_000);
        expect(deployment.holders[1]?.current.version).toBe(2);
        expect(first.processVersions()).toMatchObject(
            ["e1", "e2", "encode-service-v1-1", "encode-service-v1-2"].map(name => ({ name, configurationVersion: 2 })),
        );
        expect(second.processVersions()[1]).toMatchObject({ name: "e1", incarnation: first.incarnation });
    });
});

describe("links between entries", () => {
    it.each([
        ["the directory", []],
        ["the directory and the settings", ["127.0.0.1:7100", "127.0.0.1:7101"]],
    ])("are one for each pair with addresses from %s", async (_, peers) => {
        for (const name of ["e2", "e1"]) await deployment.startEntry(name, { settings: { peers } });
        await deployment.pass(3_000);
        const opened = [...(deployment.network as unknown as { links: ReadonlySet<unknown> }).links];
        expect(opened).toHaveLength(2);
    });

    it("exist with addresses from the settings alone, so that a start while the store is down finds peers", async () => {
        await deployment.startEntry("e1");
        deployment.publish({ entries: [] });
        await deployment.startEntry("e2", { version: 0, settings: { peers: ["127.0.0.1:7100"] } });
        deployment.publish({ entries: [] });
        await deployment.pass(100);
        expect(deployment.holders[1]?.current.version).toBe(1);
    });
});

describe("a planned stop", () => {
    it("refuses new requests and finishes the open ones", async () => {
        const agents = [
            ...(await deployment.startAgents("encode-service")),
            ...(await deployment.startAgents("generate-service")),
        ];
        const entry = await deployment.startEntry("e1");
        await deployment.pass(20);
        for (const agent of agents) agent.script = reply => void setTimeout(() => echo(reply), 200);
        const open = new Submission(entry, request("ask"));
        await deployment.pass(20);
        let stopped = false;
        void entry.stop().then(() => {
            stopped = true;
        });
        const late = new Submission(entry, request("ask"));
        await deployment.pass(100);
        expect(late.outcome).toMatchObject({ kind: "refused", reason: "stopping" });
        expect(stopped).toBe(false);
        await deployment.pass(500);
        expect(open.outcome?.kind).toBe("done");
        expect(stopped).toBe(true);
    });
});
