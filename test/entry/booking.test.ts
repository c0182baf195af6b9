/** Pipelines with a non-idempotent stage: run at most once, with an outcome that matches what was run. */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { Entry } from "../../src/entry/index.js";
import { Withdrawn_State } from "../../src/link/index.js";
import { Deployment, echo, request, type Script, type ScriptedAgent, Submission } from "./harness.js";

let deployment: Deployment;

beforeEach(() => {
    vi.useFakeTimers();
    deployment = new Deployment();
});

afterEach(() => {
    deployment.end();
    vi.useRealTimers();
});

describe("at most once, with real agents", () => {
    async function start(): Promise<{ entries: Entry[]; runs: () => number; agents: readonly { kill(): void }[] }> {
        await deployment.startAgents("encode-service");
        const started = await deployment.startBookingAgents(2);
        const entries = [await deployment.startEntry("e1"), await deployment.startEntry("e2")];
        await deployment.pass(3_000);
        const runs = (): number => started.reduce((sum, { engine }) => sum + engine.counters().runs, 0);
        return { entries, runs, agents: started.map(({ agent }) => agent) };
    }

    const keyed = request("reserve", { idempotencyKey: "k1" });

    it("one key through two entries, at once and later, is run once and gives each the same output", async () => {
        const { entries, runs } = await start();
        const submissions = [...entries, ...entries].map(entry => new Submission(entry, keyed));
        await deployment.pass(1_000);
        submissions.push(...entries.map(entry => new Submission(entry, keyed)));
        await deployment.pass(1_000);
        expect(submissions.map(({ outcome }) => outcome?.kind)).toEqual(Array(6).fill("done"));
        const outputs = submissions.map(({ outcome }) => outcome?.kind === "done" && JSON.stringify(outcome.output));
        expect(new Set(outputs).size).toBe(1);
        expect(runs()).toBe(1);
        const other = new Submission(entries[0] as Entry, request("reserve", { idempotencyKey: "k2" }));
        await deployment.pass(1_000);
        expect(other.outcome?.kind).toBe("done");
        expect(runs()).toBe(2);
    });

    it("an entry dies in the middle of a run and the caller sends the key through another one", async () => {
        const { entries, runs } = await start();
        const first = new Submission(entries[0] as Entry, keyed);
        while (runs() === 0) await deployment.pass(1);
        entries[0]?.kill();
        const second = new Submission(entries[1] as Entry, keyed);
        await deployment.pass(4_100);
        expect(first.outcome?.kind).toBe("unknown");
        expect(second.outcome?.kind).toBe("done");
        expect(runs()).toBe(1);
    });

    it("the network is cut in the middle of a run", async () => {
        const { entries, runs } = await start();
        const submission = new Submission(entries[0] as Entry, keyed);
        while (runs() === 0) await deployment.pass(1);
        deployment.reachable = from => !from.startsWith("127.0.0.1:72");
        await deployment.pass(1_500);
        deployment.reachable = () => true;
        await deployment.pass(1_500);
        expect(submission.outcome?.kind).toBe("done");
        expect(runs()).toBe(1);
    });

    it("the owner dies in the middle of a run, and its successor answers for it", async () => {
        const { entries, runs, agents } = await start();
        const submission = new Submission(entries[0] as Entry, keyed);
        while (runs() === 0) await deployment.pass(1);
        const owner = deployment.bookers.findIndex(agent => agent.load().running > 0);
        agents[owner]?.kill();
        await deployment.pass(4_100);
        expect(submission.outcome).toMatchObject({ kind: "unknown", reason: "linkLost" });
        await deployment.pass(12_000);
        const later = new Submission(entries[1] as Entry, keyed);
        await deployment.pass(4_100);
        expect(later.outcome).toMatchObject({ kind: "unknown", reason: "claimWithoutResult" });
        expect(runs()).toBe(1);
    });
});

describe("with a scripted owner", () => {
    let entry: Entry;
    let owner: ScriptedAgent;
    let second: ScriptedAgent;

    async function start(budget?: number): Promise<void> {
        await deployment.startAgents("encode-service");
        [owner, second] = (await deployment.startAgents("book-service")) as [ScriptedAgent, ScriptedAgent];
        deployment.own(owner);
        const value = { millisecondsPerSecond: budget ?? 0 };
        const records = budget === undefined ? [] : [{ kind: "budget", name: "common", value } as const];
        entry = await deployment.startEntry("e1", { records });
        await deployment.pass(20);
    }

    const keyed = (pipeline: string) => request(pipeline, { idempotencyKey: "k1" });

    it.each<[string, string, Withdrawn_State | "unreachable", object]>([
        ["withdrawn", "reserve", Withdrawn_State.WITHDRAWN, { kind: "refused", reason: "overShare" }],
        ["running", "reserve", Withdrawn_State.RUNNING, { kind: "unknown", reason: "claimWithoutResult" }],
        ["in doubt", "reserve", Withdrawn_State.UNKNOWN, { kind: "unknown", reason: "claimWithoutResult" }],
        ["completed", "reserve", Withdrawn_State.COMPLETED, { kind: "done", output: { seat: 4 } }],
        ["completed before a later stage", "book", Withdrawn_State.COMPLETED, { kind: "failed", effects: "applied" }],
        ["owned by nobody", "reserve", Withdrawn_State.NOT_OWNER, { kind: "unknown", reason: "ownerUnreachable" }],
        ["unreachable", "reserve", "unreachable", { kind: "unknown", reason: "ownerUnreachable" }],
    ])("admission refuses only what was not run: the key is %s", async (_, pipeline, state, expected) => {
        await start(0);
        if (state === "unreachable") owner.die();
        else owner.withdrawal = () => ({ state, output: '{"seat":4}' });
        const submission = new Submission(entry, keyed(pipeline));
        await deployment.pass(1_500);
        expect(submission.outcome).toMatchObject(expected);
        expect(owner.runs).toHaveLength(0);
    });

    it.each<[string, string, Script, object]>([
        ["storeUnavailable", "book", reply => reply.refuse("storeUnavailable"), { kind: "refused" }],
        ["storeUnavailable", "reserve", reply => reply.refuse("storeUnavailable"), { kind: "failed", effects: "none" }],
        ["overloaded", "book", reply => reply.refuse("overloaded"), { kind: "refused", reason: "overloaded" }],
        ["a failure", "book", reply => reply.fail("rejectedByService"), { kind: "failed", effects: "none" }],
        ["output that is not JSON", "book", reply => reply.complete("x"), { kind: "failed", effects: "applied" }],
        ["no answer", "book", () => undefined, { kind: "unknown" }],
    ])("the owner answers with %s in %s", async (_, pipeline, script, expected) => {
        await start();
        owner.script = script;
        const submission = new Submission(entry, keyed(pipeline));
        await deployment.pass(4_200);
        expect(submission.outcome).toMatchObject(expected);
        expect(new Set(owner.runs.map(run => run.idempotencyKey))).toEqual(new Set(["k1"]));
        expect(second.runs).toHaveLength(0);
    });

    it("fails with effects applied when a stage after the booking cannot run", async () => {
        await start();
        for (const agent of deployment.agents) {
            if (agent !== owner) agent.script = reply => reply.fail("rejectedByService");
        }
        const submission = new Submission(entry, keyed("book"));
        await deployment.pass(100);
        expect(submission.outcome).toMatchObject({ kind: "failed", effects: "applied" });
    });

    it("goes to the next owner with its epoch when the slot has moved, and to no other target", async () => {
        await start();
        owner.script = reply => reply.refuse("notOwner");
        const submission = new Submission(entry, keyed("reserve"));
        await deployment.pass(200);
        expect(second.runs).toHaveLength(0);
        deployment.own(second, 2);
        await deployment.pass(200);
        expect(submission.outcome?.kind).toBe("done");
        expect(second.runs.map(run => run.slotEpoch)).toEqual([2]);
        expect(owner.runs.every(run => run.slotEpoch === 1)).toBe(true);
    });

    it("asks the owner again after the link was lost, and does not go to an owner of another incarnation", async () => {
        await start();
        owner.script = reply => reply.die();
        const submission = new Submission(entry, keyed("reserve"));
        await deployment.pass(200);
        owner.script = echo;
        await owner.listen("restarted");
        await deployment.pass(1_000);
        expect(owner.runs).toHaveLength(1);
        deployment.own(owner, 2, "restarted");
        await deployment.pass(1_000);
        expect(submission.outcome?.kind).toBe("done");
        expect(owner.runs.map(run => [run.idempotencyKey, run.slotEpoch])).toEqual([
            ["k1", 1],
            ["k1", 2],
        ]);
    });

    it("is not cancelled when the caller disconnects, since it may have had its effect", async () => {
        await start();
        owner.script = reply => reply.accept();
        const submission = new Submission(entry, keyed("reserve"));
        await deployment.pass(100);
        submission.controller.abort();
        await deployment.pass(100);
        expect(submission.outcome).toBeUndefined();
        expect(owner.cancelled).toHaveLength(0);
    });
});
