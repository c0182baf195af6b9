/** Idempotent pipelines from a caller's request to its outcome. */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { Deployment, echo, request, type Script, type ScriptedAgent, Submission } from "./harness.js";
import type { Entry } from "../../src/entry/index.js";

let deployment: Deployment;
let entry: Entry;
let encoders: ScriptedAgent[];

beforeEach(async () => {
    vi.useFakeTimers();
    deployment = new Deployment();
    encoders = await deployment.startAgents("encode-service");
    await deployment.startAgents("generate-service", 3);
    entry = await deployment.startEntry("e1");
    await deployment.pass(20);
});

afterEach(() => {
    deployment.end();
    vi.useRealTimers();
});

function script(agents: readonly ScriptedAgent[], next: Script): void {
    for (const agent of agents) agent.script = next;
}

describe("a pipeline", () => {
    it("gives each stage the caller's input and the previous output, and its caller its own answer", async () => {
        const inputs = Array.from({ length: 8 }, (_, number) => ({ prompt: `question ${number}` }));
        const submissions = inputs.map(input => new Submission(entry, request("ask", { input })));
        await deployment.pass(50);
        for (const [index, submission] of submissions.entries()) {
            const input = inputs[index];
            const encoded = { stage: "encode", payload: { input, previous: null } };
            const output = { stage: "generate", payload: { input, previous: encoded } };
            expect(submission.outcome).toMatchObject({ kind: "done", output, stages: { encode: encoded } });
        }
    });
});

describe("answers", () => {
    it("are matched by attempt: crossed ones reach their own request, late and foreign ones are dropped", async () => {
        const held: Parameters<Script>[0][] = [];
        script(encoders, reply => void held.push(reply));
        const first = new Submission(entry, request("ask", { input: "first" }));
        const second = new Submission(entry, request("ask", { input: "second" }));
        await deployment.pass(20);
        for (const reply of [...held].reverse()) {
            echo(reply);
            reply.complete('"late"');
            reply.send({ case: "stageResult", value: { attempt: reply.message.attempt + 1_000 } });
        }
        await deployment.pass(50);
        expect(first.outcome).toMatchObject({ stages: { encode: { payload: { input: "first" } } } });
        expect(second.outcome).toMatchObject({ stages: { encode: { payload: { input: "second" } } } });
        expect(deployment.counters.get("attempt.lateAnswers")).toBe(4);
    });
});
