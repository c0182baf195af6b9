/** Idempotent pipelines from a caller's request to its outcome. */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { Deployment, echo, request, type Script, type ScriptedAgent, Submission } from "./harness.js";
import type { ConfigurationChange } from "../../src/configuration/index.js";
import type { Entry } from "../../src/entry/index.js";

let deployment: Deployment;
let entry: Entry;
let encoders: ScriptedAgent[];
let generators: ScriptedAgent[];

beforeEach(async () => {
    vi.useFakeTimers();
    deployment = new Deployment();
    encoders = await deployment.startAgents("encode-service");
    generators = await deployment.startAgents("generate-service", 3);
    entry = await deployment.startEntry("e1");
    await deployment.pass(20);
});

afterEach(() => {
    deployment.end();
    vi.useRealTimers();
});

/** Inputs with different prefixes, which have different homes. */
function prompts(count: number): readonly object[] {
    return Array.from({ length: count }, (_, number) => ({ prompt: `prompt ${number}` }));
}

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
        const inputs = ["first", "second", "third", "fourth", "fifth"];
        const submissions = inputs.map(input => new Submission(entry, request("ask", { input })));
        await deployment.pass(20);
        for (const reply of [...held].reverse()) {
            echo(reply);
            reply.complete('"late"');
            reply.send({ case: "stageResult", value: { attempt: reply.message.attempt + 1_000 } });
        }
        await deployment.pass(50);
        for (const [index, { outcome }] of submissions.entries()) {
            expect(outcome).toMatchObject({ stages: { encode: { payload: { input: inputs[index] } } } });
        }
        expect(deployment.counters.get("attempt.lateAnswers")).toBe(10);
    });
});

describe("a stream", () => {
    it("resumes at another target after the link is lost, without lost or doubled tokens", async () => {
        const all = ["a", "b", "c", "d", "e", "f"];
        let runs = 0;
        script(generators, reply => {
            const from = reply.message.resumeAfter;
            runs += 1;
            reply.accept();
            if (runs === 1) {
                reply.tokens(0, all.slice(0, 3));
                setTimeout(reply.die, 10);
                return;
            }
            // One token that the entry already holds is sent again.
            reply.tokens(from - 1, all.slice(from - 1));
            reply.complete(JSON.stringify(all.join("")), all.length);
        });
        const submission = new Submission(entry, request("ask"));
        await deployment.pass(100);
        expect(submission.outcome).toMatchObject({ kind: "done", output: "abcdef" });
        expect(submission.tokens).toEqual(all.map((token, index) => `${index}:${token}`));
        expect(
            generators
                .flatMap(agent => agent.runs)
                .map(run => run.resumeAfter)
                .sort(),
        ).toEqual([0, 3]);
    });

    it.each<[string, Script]>([
        ["a gap in the tokens is passed on", reply => reply.tokens(1, ["b"])],
        ["an answer is complete without its last token", reply => (reply.tokens(0, ["a"]), reply.complete('"ab"', 2))],
        ["an output that is not JSON is delivered", reply => (reply.tokens(0, ["a", "b"]), reply.complete("ab", 2))],
    ])("prevents that %s", async (_, faulty) => {
        let runs = 0;
        script(generators, reply => {
            runs += 1;
            if (runs === 1) return faulty(reply);
            reply.tokens(reply.message.resumeAfter, ["a", "b"].slice(reply.message.resumeAfter));
            reply.complete('"ab"', 2);
        });
        const submission = new Submission(entry, request("ask"));
        await deployment.pass(100);
        expect(submission.outcome).toMatchObject({ kind: "done", output: "ab" });
        expect(submission.tokens).toEqual(["0:a", "1:b"]);
    });
});

describe("retries", () => {
    it.each<[string, object, Script, Script | undefined]>([
        ["refused", { kind: "refused", reason: "cold" }, reply => reply.refuse("cold"), undefined],
        ["failed", { kind: "failed", effects: "none" }, reply => reply.fail("targetFailed"), undefined],
        [
            "failed",
            { kind: "failed", effects: "none" },
            reply => reply.refuse("cold"),
            reply => reply.fail("targetFailed"),
        ],
        [
            "failed",
            { kind: "failed", reason: "rejectedByService" },
            reply => reply.fail("rejectedByService"),
            undefined,
        ],
        ["failed", { kind: "failed", effects: "none" }, () => undefined, undefined],
    ])("end in %s only when that is true of every attempt (%o)", async (_, expected, first, second) => {
        script(encoders.slice(0, 1), first);
        script(encoders.slice(1), second ?? first);
        const submission = new Submission(entry, request("ask"));
        await deployment.pass(4_100);
        expect(submission.outcome).toMatchObject(expected);
    });

    it("fail a request whose later stage is refused, since its first stage ran", async () => {
        script(generators, reply => reply.refuse("overloaded"));
        const submission = new Submission(entry, request("ask"));
        await deployment.pass(4_100);
        expect(submission.outcome).toMatchObject({ kind: "failed", effects: "none", reason: "deadline" });
    });

    it("cost nothing after refusals, and a tenth of the requests after failures", async () => {
        script(encoders.slice(0, 1), reply => reply.refuse("overloaded"));
        const refused = Array.from({ length: 50 }, () => new Submission(entry, request("ask")));
        await deployment.pass(1_000);
        expect(refused.every(submission => submission.outcome?.kind === "done")).toBe(true);
        script(encoders, reply => reply.fail("targetFailed"));
        for (const { runs } of encoders) runs.length = 0;
        const failed = Array.from({ length: 100 }, () => new Submission(entry, request("ask")));
        await deployment.pass(500);
        expect(failed.every(submission => submission.outcome?.kind === "failed")).toBe(true);
        const attempts = encoders.reduce((sum, { runs }) => sum + runs.length, 0);
        expect(attempts).toBeGreaterThan(100);
        expect(attempts).toBeLessThanOrEqual(132);
    });

    it("leave a silent target for another one", async () => {
        script(generators.slice(0, 1), () => undefined);
        const submissions = prompts(12).map(input => new Submission(entry, request("ask", { input })));
        await deployment.pass(2_000);
        expect(submissions.map(submission => submission.outcome?.kind)).toEqual(Array(12).fill("done"));
        expect(generators[0]?.runs).not.toHaveLength(0);
        expect(generators[0]?.cancelled).toHaveLength(generators[0]?.runs.length ?? -1);
    });

    it("stop when the caller disconnects, and the target is told", async () => {
        script(generators, reply => reply.accept());
        const submission = new Submission(entry, request("ask"));
        await deployment.pass(50);
        submission.controller.abort();
        await deployment.pass(10);
        expect(submission.outcome).toMatchObject({ kind: "failed", reason: "cancelled" });
        expect(generators.flatMap(agent => agent.cancelled)).toHaveLength(1);
    });
});

describe("content that crashes targets", () => {
    const poison = { prompt: "poison" };

    it("is run twice, then refused at every entry, while its neighbours are served", async () => {
        const other = await deployment.startEntry("e2");
        await deployment.pass(100);
        script(generators, reply => {
            if (reply.message.payload.includes("poison")) reply.fail("targetLost");
            else echo(reply);
        });
        const first = new Submission(entry, request("ask", { input: poison }));
        await deployment.pass(100);
        expect(first.outcome).toMatchObject({ kind: "failed", reason: "quarantined" });
        const again = [entry, other].map(each => new Submission(each, request("ask", { input: poison })));
        const neighbour = new Submission(other, request("ask", { input: { prompt: "other" } }));
        await deployment.pass(100);
        expect(again.map(({ outcome }) => outcome)).toMatchObject(
            Array(2).fill({ kind: "refused", reason: "quarantined" }),
        );
        expect(neighbour.outcome?.kind).toBe("done");
        const runs = generators.flatMap(agent => agent.runs).filter(run => run.payload.includes("poison"));
        expect(runs).toHaveLength(2);
    });

    it.each([0, 1_500])("is told from content that was in flight when links were cut for %i ms", async cutFor => {
        let cuts = 0;
        script(generators, reply => {
            cuts += 1;
            if (cuts > 2) return echo(reply);
            for (const agent of generators) for (const link of agent.links.splice(0)) link.close("cut");
            deployment.reachable = (_, to) => !to.startsWith("generate");
            setTimeout(() => (deployment.reachable = () => true), cutFor);
        });
        const cut = new Submission(entry, request("ask", { input: poison, deadlineMilliseconds: 10_000 }));
        await deployment.pass(10_000);
        expect(cut.outcome?.kind).toBe("done");
        expect(cuts).toBe(3);
    });

    it("is found when agents come back with another incarnation", async () => {
        script(generators, reply => reply.die());
        const killer = new Submission(entry, request("ask", { input: poison }));
        await deployment.pass(10);
        for (const agent of generators) await agent.listen("restarted");
        await deployment.pass(4_000);
        script(generators, echo);
        const again = new Submission(entry, request("ask", { input: poison }));
        await deployment.pass(100);
        expect(killer.outcome?.kind).toBe("failed");
        expect(again.outcome).toMatchObject({ kind: "refused", reason: "quarantined" });
    });
});

describe("load", () => {
    it("goes away from a target that fails, and comes back with a probe after it works again", async () => {
        script(encoders.slice(0, 1), reply => reply.fail("targetFailed"));
        const runs = async (count: number): Promise<number> => {
            const before = encoders[0]?.runs.length ?? 0;
            for (const input of prompts(count)) {
                void new Submission(entry, request("ask", { input }));
                await deployment.pass(5);
            }
            return (encoders[0]?.runs.length ?? 0) - before;
        };
        expect(await runs(40)).toBe(3);
        await deployment.pass(1_000);
        for (const input of prompts(20)) void new Submission(entry, request("ask", { input }));
        await deployment.pass(100);
        expect(encoders[0]?.runs).toHaveLength(4);
        script(encoders, echo);
        await deployment.pass(2_000);
        expect(await runs(40)).toBeGreaterThan(10);
    });

    it("gives back its place when it ends, and is refused while all places are taken", async () => {
        const small = await deployment.startEntry("e2", { settings: { maximumRequests: 1 } });
        await deployment.pass(50);
        for (let round = 0; round < 3; round += 1) {
            const both = [1, 2].map(() => new Submission(small, request("ask")));
            await deployment.pass(50);
            expect(both.map(({ outcome }) => outcome?.kind)).toEqual(["done", "refused"]);
        }
    });

    it("waits behind other work at a target that answers, without a second attempt", async () => {
        for (const agent of generators) {
            let busyUntil = 0;
            agent.script = reply => {
                busyUntil = Math.max(busyUntil, performance.now()) + 150;
                setTimeout(() => echo(reply), busyUntil - performance.now());
            };
        }
        const submissions = prompts(15).map(input => new Submission(entry, request("ask", { input })));
        await deployment.pass(3_000);
        expect(submissions.every(({ outcome }) => outcome?.kind === "done")).toBe(true);
        expect(generators.flatMap(agent => agent.runs)).toHaveLength(15);
    });
});

describe("routing", () => {
    const change = { author: "test", removed: [] } as const;

    function advance(version: number, set: ConfigurationChange["set"]): void {
        deployment.holders[0]?.advance({ ...change, version, id: `c${version}`, set });
    }

    it("sends nothing to a zone that is out or to a leaving target", async () => {
        const [far] = await deployment.startAgents("encode-service", 1, { zone: "z2", version: "v9" });
        advance(2, [{ kind: "zone", name: "z1", value: { name: "z1", state: "out" } }]);
        encoders[0]?.links[0]?.send({ case: "leaving", value: { reason: "test" } });
        await deployment.pass(100);
        const submission = new Submission(entry, request("ask"));
        await deployment.pass(4_100);
        expect(encoders.flatMap(agent => agent.runs)).toHaveLength(0);
        expect(far?.runs).toHaveLength(1);
        expect(submission.outcome?.kind).toBe("failed");
        advance(3, [{ kind: "zone", name: "z1", value: { name: "z1", state: "in" } }]);
        const next = prompts(8).map(input => new Submission(entry, request("ask", { input })));
        await deployment.pass(200);
        expect(next.every(({ outcome }) => outcome?.kind === "done")).toBe(true);
        expect(encoders.map(agent => agent.runs.length)).toEqual([0, 8]);
    });

    it("gives a candidate its share and an unnamed version nothing", async () => {
        const [candidate] = await deployment.startAgents("encode-service", 1, { version: "v2" });
        const [unnamed] = await deployment.startAgents("encode-service", 1, { version: "v9" });
        const value = { service: "encode-service", stable: "v1", candidate: { version: "v2", fraction: 0.25 } };
        advance(2, [{ kind: "traffic", name: "encode-service", value }]);
        await deployment.pass(100);
        const shares: number[] = [];
        for (const input of prompts(100)) {
            void new Submission(entry, request("ask", { input }));
            await deployment.pass(20);
            shares.push(candidate?.runs.length ?? 0);
        }
        expect(shares.every((share, index) => share <= 0.25 * (index + 1) + 1)).toBe(true);
        expect(shares.at(-1)).toBeGreaterThanOrEqual(24);
        expect(unnamed?.runs).toHaveLength(0);
    });
});
