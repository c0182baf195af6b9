/** One agent and its links: attempts, refusals, planned stop and invalid messages. */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { Agent } from "../../src/agent/index.js";
import { Configuration, type ConfigurationRecord } from "../../src/configuration/index.js";
import { Role } from "../../src/link/index.js";
import { expectedOutput } from "../../src/standins/index.js";
import { Deployment, type TestEntry } from "./harness.js";

let deployment: Deployment;

beforeEach(() => {
    vi.useFakeTimers();
    deployment = new Deployment();
});

afterEach(() => {
    deployment.end();
    vi.useRealTimers();
});

async function connect(agent: Agent, name: string): Promise<TestEntry> {
    const pending = deployment.connect(name, agent);
    await vi.advanceTimersByTimeAsync(5);
    return await pending;
}

async function connected(): Promise<TestEntry> {
    return await connect(await deployment.startAgent("t1"), "e1");
}

const zoneOut: ConfigurationRecord = { kind: "zone", name: "z1", value: { name: "z1", state: "out" } };

describe("attempts", () => {
    it("answers with the output of the operation, so that no result is lost or mixed up", async () => {
        const entry = await connected();
        const first = entry.run({ payload: '{"a":1}' });
        const second = entry.run({ payload: '{"a":2}', maximumTokens: 8, streaming: true });
        await vi.advanceTimersByTimeAsync(200);
        const outputs = [first, second].map(attempt => entry.result(attempt)?.outcome.value);
        expect(outputs).toMatchObject([
            { output: expectedOutput("check", '{"a":1}', 0) },
            { output: expectedOutput("check", '{"a":2}', 8) },
        ]);
        const tokens = entry.bodies("stageTokens").flatMap(batch => batch.tokens);
        expect(JSON.parse(expectedOutput("check", '{"a":2}', 8))).toMatchObject({ text: tokens.join("") });
        const order = entry.received.filter(body => body.case === "stageTokens" || body.case === "stageResult");
        expect(order.at(-1)?.case).toBe("stageResult");
        expect(entry.bodies("stageAccepted").map(accepted => accepted.attempt)).toEqual([first, second]);
    });

    it.each([
        { name: "operation", fields: { operation: "" } },
        { name: "request id", fields: { requestId: "" } },
        { name: "payload", fields: { payload: "{" } },
        { name: "service", fields: { service: "other" } },
        { name: "idempotency key", fields: { idempotent: false } },
    ])("refuses a message with a bad $name without running it, and keeps serving the link", async ({ fields }) => {
        const entry = await connected();
        const bad = entry.run(fields);
        const good = entry.run({});
        await vi.advanceTimersByTimeAsync(200);
        expect([entry.outcome(bad), entry.outcome(good)]).toEqual(["refused unsupported", "completed"]);
        expect(deployment.engines[0]?.counters().runs).toBe(1);
    });

    it("never gives a cold target more than its cold limit over two links", async () => {
        const agent = await deployment.startAgent("t1", { startsCold: true, warmAfterCalls: 30 });
        const entries = [await connect(agent, "e1"), await connect(agent, "e2")];
        for (let round = 0; round < 20; round += 1) {
            for (const entry of entries) for (let count = 0; count < 5; count += 1) entry.run({});
            await vi.advanceTimersByTimeAsync(100);
            if (round === 14) deployment.engines[0]?.crash();
        }
        await vi.advanceTimersByTimeAsync(5_000);
        const counters = deployment.engines[0]?.counters();
        expect(counters?.highestColdConcurrency).toBe(2);
        expect(counters?.highestConcurrency).toBeGreaterThan(2);
        expect(entries.flatMap(entry => entry.bodies("stageResult"))).toHaveLength(200);
    });

    it("cancels the runs above the cold limit when the target turns cold without notice", async () => {
        const agent = await deployment.startAgent("t1");
        const entry = await connect(agent, "e1");
        for (let count = 0; count < 40; count += 1) {
            entry.run({});
            await vi.advanceTimersByTimeAsync(30);
        }
        await vi.advanceTimersByTimeAsync(500);
        expect(agent.load()).toMatchObject({ limit: 6, running: 0 });
        deployment.engines[0]?.setSlowFactor(100);
        for (let count = 0; count < 6; count += 1) entry.run({ remainingMilliseconds: 9_000 });
        await vi.advanceTimersByTimeAsync(10);
        expect(agent.load().running).toBe(6);
        deployment.engines[0]?.turnCold();
        await vi.advanceTimersByTimeAsync(1_100);
        expect(agent.load()).toMatchObject({ running: 2, limit: 2, cold: true });
        const cancelled = entry.bodies("stageResult").filter(result => result.outcome.case === "failed");
        expect(cancelled.map(result => entry.outcome(result.attempt))).toEqual(Array(4).fill("failed cancelled"));
    });

    it("cancels idempotent work at the target on request and when the link closes", async () => {
        const entry = await connected();
        const attempt = entry.run({});
        entry.run({});
        await vi.advanceTimersByTimeAsync(10);
        entry.link.send({ case: "cancelStage", value: { attempt } });
        await vi.advanceTimersByTimeAsync(10);
        expect(entry.outcome(attempt)).toBe("failed cancelled");
        entry.link.close("cut");
        await vi.advanceTimersByTimeAsync(10);
        expect(deployment.engines[0]?.counters()).toMatchObject({ runs: 2, cancelled: 2, completed: 0 });
    });

    it.each([
        { name: "failed", fault: () => deployment.engines[0]?.failNext(1), outcome: "failed targetFailed" },
        { name: "lost", fault: () => deployment.engines[0]?.truncateNext(1), outcome: "failed targetLost" },
        { name: "declined", fault: () => deployment.engines[0]?.rejectNext(1), outcome: "failed rejectedByService" },
        { name: "not started", fault: () => deployment.engines[0]?.crash(500), outcome: "refused overloaded" },
        { name: "too slow", fault: () => deployment.engines[0]?.setSlowFactor(1_000), outcome: "failed deadline" },
    ])("reports the true outcome of an execution that is $name", async ({ fault, outcome }) => {
        const entry = await connected();
        fault();
        const attempt = entry.run({});
        await vi.advanceTimersByTimeAsync(5_000);
        expect(entry.outcome(attempt)).toBe(outcome);
    });
});

describe("refusals of new work", () => {
    it("refuses while its zone is out and serves again afterwards; running work finishes normally", async () => {
        const entry = await connected();
        const [agent] = deployment.agents as [Agent];
        const running = entry.run({});
        await vi.advanceTimersByTimeAsync(10);
        deployment.configure(agent, [zoneOut]);
        const refused = entry.run({});
        await vi.advanceTimersByTimeAsync(200);
        expect([entry.outcome(running), entry.outcome(refused)]).toEqual(["completed", "refused zoneOut"]);
        deployment.configure(agent);
        const again = entry.run({});
        await vi.advanceTimersByTimeAsync(200);
        expect(entry.outcome(again)).toBe("completed");
    });

    it("gives work that waits back when its zone goes out, so that nothing starts there later", async () => {
        const entry = await connected();
        const attempts = Array.from({ length: 6 }, () => entry.run({}));
        await vi.advanceTimersByTimeAsync(10);
        deployment.configure(deployment.agents[0] as Agent, [zoneOut]);
        await vi.advanceTimersByTimeAsync(500);
        const outcomes = attempts.map(attempt => entry.outcome(attempt));
        expect(outcomes).toEqual([...Array(2).fill("completed"), ...Array(4).fill("refused zoneOut")]);
    });

    it("finishes running work at a planned stop, refuses new work and removes its member object", async () => {
        const entry = await connected();
        const [agent] = deployment.agents as [Agent];
        expect(deployment.store.keys("members/")).toEqual(["members/agents/t1"]);
        const running = entry.run({});
        await vi.advanceTimersByTimeAsync(10);
        const stopped = agent.stop();
        const refused = entry.run({});
        await vi.advanceTimersByTimeAsync(3_000);
        await stopped;
        expect([entry.outcome(running), entry.outcome(refused)]).toEqual(["completed", "refused leaving"]);
        expect(entry.bodies("leaving")).toHaveLength(1);
        expect(deployment.store.keys("members/")).toEqual([]);
        expect(await entry.link.closed).toBe("closed by the peer");
    });

    it("starts while the store is down and writes its member object when the store is back", async () => {
        deployment.store.setOutage(true);
        const entry = await connected();
        const attempt = entry.run({});
        await vi.advanceTimersByTimeAsync(3_000);
        expect(entry.outcome(attempt)).toBe("completed");
        deployment.store.setOutage(false);
        await vi.advanceTimersByTimeAsync(3_000);
        expect(deployment.store.keys("members/")).toEqual(["members/agents/t1"]);
    });
});

describe("sessions", () => {
    it("acknowledges each configuration update with the version in force, also when it does not apply", async () => {
        const entry = await connected();
        const update = (version: number, snapshot: string, changes: string[]): void => {
            entry.link.send({ case: "configurationUpdate", value: { version, snapshot, changes } });
        };
        update(7, JSON.stringify([zoneOut]), []);
        update(3, "[]", []);
        update(9, "", [JSON.stringify({ version: 9, id: "a", author: "b", set: [], removed: [] })]);
        update(10, "not JSON", []);
        await vi.advanceTimersByTimeAsync(10);
        expect(entry.bodies("acknowledge").map(body => body.configurationVersion)).toEqual([7, 7, 7, 7]);
        expect((deployment.agents[0] as Agent).configurationHolder.current).toBeInstanceOf(Configuration);
    });

    it("reports load each second on a link that is otherwise idle", async () => {
        const entry = await connected();
        await vi.advanceTimersByTimeAsync(5_000);
        const reports = entry.bodies("loadReport");
        expect(reports.length).toBeGreaterThanOrEqual(3);
        expect(reports.length).toBeLessThanOrEqual(5);
    });

    it("closes a link whose peer is not an entry", async () => {
        const agent = await deployment.startAgent("t1");
        const pending = deployment.network.at("x").connect(agent.address, { role: Role.AGENT, name: "x" });
        await vi.advanceTimersByTimeAsync(5);
        const outcome = await pending;
        expect(outcome.kind === "connected" ? await outcome.link.closed : outcome.kind).toBe("closed by the peer");
    });
});
