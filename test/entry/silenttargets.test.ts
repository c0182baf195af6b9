/**
 * Targets that are silent for 1.2 s and go on, and targets that are silent for good. An inactivity timeout may end an
 * attempt only if there is something better to do than to wait; otherwise work that would have been finished is lost. A
 * silence that counts once for each attempt that it holds up ejects a sound target, and its load goes to the others.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createRandom } from "../../src/bench/random.js";
import type { Entry } from "../../src/entry/index.js";
import { VersionTrials } from "../../src/entry/trials.js";
import { RetryBudgets } from "../../src/routing/index.js";
import { Deployment, echo, request, type Script, type ScriptedAgent, Submission } from "./harness.js";

const SILENCE_MS = 1_200;

let deployment: Deployment;
let entry: Entry;

beforeEach(async () => {
    vi.useFakeTimers();
    deployment = new Deployment();
    entry = await deployment.startEntry("e1");
});

afterEach(() => {
    deployment.end();
    vi.restoreAllMocks();
    vi.useRealTimers();
});

async function startAgents(service: string, scripts: readonly Script[]): Promise<readonly ScriptedAgent[]> {
    const agents = await deployment.startAgents(service, scripts.length);
    agents.forEach((agent, index) => (agent.script = scripts[index] ?? echo));
    await deployment.pass(50);
    return agents;
}

/** Each attempt is answered after a silence. */
const goesOn: Script = reply => void setTimeout(() => echo(reply), SILENCE_MS);

/** A target that is silent once; all its answers come when the silence ends. */
function pausesOnce(): Script {
    let endsAt: number | undefined;
    return reply => {
        endsAt ??= performance.now() + SILENCE_MS;
        setTimeout(() => echo(reply), Math.max(0, endsAt - performance.now()));
    };
}

const silent: Script = () => undefined;

const count = (agents: readonly ScriptedAgent[], list: "runs" | "cancelled"): number =>
    agents.reduce((sum, agent) => sum + agent[list].length, 0);

describe("an attempt at a silent target goes on", () => {
    it.each<{ case: string; scripts: () => readonly Script[]; hasRetries: boolean }>([
        { case: "if it is the only target", scripts: () => [goesOn], hasRetries: true },
        { case: "if it is the only target, which is silent once", scripts: () => [pausesOnce()], hasRetries: true },
        { case: "without a retry for the other target", scripts: () => [goesOn, goesOn], hasRetries: false },
    ])("$case, and completes", async ({ scripts, hasRetries }) => {
        await startAgents("generate-service", [echo]);
        const agents = await startAgents("encode-service", scripts());
        if (!hasRetries) vi.spyOn(RetryBudgets.prototype, "take").mockReturnValue(false);
        const submission = new Submission(entry, request("ask"));
        await deployment.pass(SILENCE_MS + 50);
        expect(submission.outcome).toMatchObject({ kind: "done" });
        expect([count(agents, "runs"), count(agents, "cancelled")]).toEqual([1, 0]);
    });

    it("in the middle of its stream, if it is the only target", async () => {
        await startAgents("encode-service", [echo]);
        const agents = await startAgents("generate-service", [
            reply => {
                reply.accept();
                reply.tokens(0, ["a", "b"]);
                setTimeout(() => {
                    reply.tokens(2, ["c"]);
                    reply.complete('"abc"', 3);
                }, SILENCE_MS);
            },
        ]);
        const submission = new Submission(entry, request("ask"));
        await deployment.pass(SILENCE_MS + 50);
        expect(submission.outcome).toMatchObject({ kind: "done", output: "abc" });
        expect(submission.tokens).toEqual(["0:a", "1:b", "2:c"]);
        expect([count(agents, "runs"), count(agents, "cancelled")]).toEqual([1, 0]);
    });

    it("until the deadline, and is then cancelled", async () => {
        const agents = await startAgents("encode-service", [silent]);
        const submission = new Submission(entry, request("ask"));
        await deployment.pass(3_900);
        expect(submission.outcome).toBeUndefined();
        await deployment.pass(200);
        expect(submission.outcome).toMatchObject({ kind: "failed", reason: "deadline" });
        expect([count(agents, "runs"), count(agents, "cancelled")]).toEqual([1, 1]);
    });

    it("until another target is there", async () => {
        await startAgents("generate-service", [echo]);
        const agents = await startAgents("encode-service", [silent]);
        const submission = new Submission(entry, request("ask"));
        await deployment.pass(1_000);
        await deployment.startAgents("encode-service", 1, { version: "v2" });
        await deployment.pass(1_000);
        expect(submission.outcome).toMatchObject({ kind: "done" });
        expect([count(agents, "runs"), count(agents, "cancelled")]).toEqual([1, 1]);
    });
});

describe("an attempt at a silent target is left", () => {
    it("for a target that refused before the silence", async () => {
        await startAgents("generate-service", [echo]);
        let isFull = true;
        const full: Script = reply => (isFull ? reply.refuse("overloaded") : echo(reply));
        const agents = await startAgents("encode-service", [silent, full, full]);
        const submissions = Array.from({ length: 6 }, (_, index) => {
            return new Submission(entry, request("ask", { input: { prompt: `prompt ${index}` } }));
        });
        await deployment.pass(100);
        isFull = false;
        await deployment.pass(1_000);
        expect(submissions.map(({ outcome }) => outcome?.kind)).toEqual(Array(6).fill("done"));
        expect(agents[0]?.cancelled).toHaveLength(agents[0]?.runs.length ?? -1);
    });

    it("for another one at the same target, if that answers other attempts", async () => {
        await startAgents("generate-service", [echo]);
        let isFirst = true;
        const [agent] = await startAgents("encode-service", [
            reply => {
                if (!isFirst) echo(reply);
                isFirst = false;
            },
        ]);
        const stuck = new Submission(entry, request("ask"));
        for (let index = 0; index < 30; index += 1) {
            await deployment.pass(100);
            void new Submission(entry, request("ask", { input: { prompt: `prompt ${index}` } }));
        }
        await deployment.pass(50);
        expect(stuck.outcome).toMatchObject({ kind: "done" });
        expect(agent?.runs).toHaveLength(32);
        expect(agent?.cancelled).toHaveLength(1);
    });
});

describe("a non-idempotent stage", () => {
    it("whose owner is silent once gets the result of its only run", async () => {
        await startAgents("encode-service", [echo]);
        const [owner] = await startAgents("book-service", [pausesOnce()]);
        if (owner !== undefined) deployment.own(owner);
        const submission = new Submission(entry, request("book", { idempotencyKey: "key" }));
        await deployment.pass(SILENCE_MS + 150);
        expect(submission.outcome).toMatchObject({ kind: "done" });
        expect(owner?.cancelled).toEqual([]);
    });
});

describe("a silence of one of several targets", () => {
    beforeEach(() => vi.spyOn(Math, "random").mockImplementation(createRandom(1)));

    /** Submits requests at an interval and returns them. */
    async function submit(requests: number, intervalMs: number): Promise<readonly Submission[]> {
        const submissions: Submission[] = [];
        for (let index = 0; index < requests; index += 1) {
            submissions.push(new Submission(entry, request("ask", { input: { prompt: `prompt ${index}` } })));
            await deployment.pass(intervalMs);
        }
        return submissions;
    }

    const kindsOf = (submissions: readonly Submission[]): readonly unknown[] =>
        submissions.map(({ outcome }) => outcome?.kind);

    const ejections = (): number => deployment.counters.get("target.ejected") ?? 0;

    it.each<{ case: string; hasRetries: boolean }>([
        { case: "whose attempts are made elsewhere", hasRetries: true },
        { case: "whose attempts stay for want of retries", hasRetries: false },
    ])("$case counts once, and does not eject it", async ({ hasRetries }) => {
        await startAgents("generate-service", [echo]);
        const agents = await startAgents("encode-service", [echo, echo, echo]);
        const [first] = agents;
        await submit(6, 10);
        if (!hasRetries) vi.spyOn(RetryBudgets.prototype, "take").mockReturnValue(false);
        if (first !== undefined) first.script = pausesOnce();
        const runsBefore = first?.runs.length ?? 0;
        const submissions = await submit(24, 1);
        await deployment.pass(SILENCE_MS + 50);
        expect((first?.runs.length ?? 0) - runsBefore).toBeGreaterThan(3);
        expect(kindsOf(submissions)).toEqual(Array(24).fill("done"));
        expect(ejections()).toBe(0);
        const runsAfter = first?.runs.length ?? 0;
        await submit(24, 1);
        await deployment.pass(50);
        expect((first?.runs.length ?? 0) - runsAfter).toBeGreaterThan(3);
    });

    it.each<{
        case: string;
        scripts: () => readonly Script[];
        requests: number;
        failed: number;
        stops: number | undefined;
    }>([
        {
            case: "is one failed answer of its version",
            scripts: () => [pausesOnce(), echo],
            requests: 100,
            failed: 1,
            stops: undefined,
        },
        // The trial decides after ten answers. Longer loads look slow, by the whole milliseconds of the paused clock.
        {
            case: "that all targets of a version share stops it",
            scripts: () => [silent, silent],
            requests: 400,
            failed: 10,
            stops: 1,
        },
    ])("$case", async ({ scripts, requests, failed, stops }) => {
        const value = { service: "encode-service", stable: "v1", candidate: { version: "v2", fraction: 0.5 } };
        entry = await deployment.startEntry("e2", { records: [{ kind: "traffic", name: "encode-service", value }] });
        const record = vi.spyOn(VersionTrials.prototype, "record");
        await startAgents("generate-service", [echo]);
        await startAgents("encode-service", [echo, echo]);
        const candidates = await deployment.startAgents("encode-service", 2, { version: "v2" });
        await deployment.pass(50);
        scripts().forEach((script, index) => {
            const candidate = candidates[index];
            if (candidate !== undefined) candidate.script = script;
        });
        const submissions = [...(await submit(40, 1)), ...(await submit(requests, 50))];
        await deployment.pass(4_000);
        expect(count(candidates, "runs")).toBeGreaterThan(6);
        expect(kindsOf(submissions)).toEqual(Array(40 + requests).fill("done"));
        const answers = record.mock.calls.map(([answer]) => answer);
        expect(answers.filter(answer => answer.version === "v2" && answer.failed)).toHaveLength(failed);
        expect(deployment.counters.get("version.stopped")).toBe(stops);
    });

    it.each<{ case: string; script: Script }>([
        { case: "has answered nothing", script: silent },
        { case: "accepts its attempts", script: reply => reply.accept() },
    ])("that does not end keeps it from most requests, and ejects it at last: it $case", async ({ script }) => {
        await startAgents("generate-service", [echo]);
        const [first] = await startAgents("encode-service", [script, echo, echo]);
        const early = await submit(60, 10);
        await deployment.pass(1_000);
        const runsBefore = first?.runs.length ?? 0;
        const submissions = [...early, ...(await submit(1_000, 10))];
        await deployment.pass(4_000);
        expect(kindsOf(submissions)).toEqual(Array(1_060).fill("done"));
        expect((first?.runs.length ?? 0) - runsBefore).toBeLessThanOrEqual(10);
        expect(ejections()).toBe(1);
    });
});
