/** One agent with its links: attempts, refusals, planned stop and bad messages. */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { expectedOutput } from "../../src/standins/index.js";
import { Deployment } from "./harness.js";

let deployment: Deployment;

beforeEach(() => {
    vi.useFakeTimers();
    deployment = new Deployment();
});

afterEach(() => {
    deployment.end();
    vi.useRealTimers();
});

async function connected(): ReturnType<Deployment["connect"]> {
    const agent = await deployment.startAgent("t1");
    const pending = deployment.connect("e1", agent);
    await vi.advanceTimersByTimeAsync(5);
    return await pending;
}

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
        expect(entry.bodies("stageAccepted").map(accepted => accepted.attempt)).toEqual([first, second]);
    });
});
