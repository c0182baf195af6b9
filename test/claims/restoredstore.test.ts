/** Guards against a second run of a key whose claim the store has lost when it was restored from a copy. */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { Agent } from "../../src/agent/index.js";
import { Deployment, type TestEntry } from "../agent/harness.js";

/** Time in which agents acquire and balance their slots. */
const SETTLE_MS = 4_000;
/** Time in which an agent takes the slots of an owner whose lease is gone, and recovers them. */
const TAKEOVER_MS = 14_000;

let deployment: Deployment;

beforeEach(() => {
    vi.useFakeTimers();
    deployment = new Deployment();
});

afterEach(() => {
    deployment.end();
    vi.useRealTimers();
});

async function advance(milliseconds: number): Promise<void> {
    await vi.advanceTimersByTimeAsync(milliseconds);
}

async function connect(name: string, agent: Agent): Promise<TestEntry> {
    const pending = deployment.connect(name, agent);
    await advance(5);
    return await pending;
}

describe("a store that has lost claims", () => {
    it.each([
        { owner: "goes on", ageMs: 1_000, kill: false },
        { owner: "goes on", ageMs: 3_000, kill: false },
        { owner: "dies", ageMs: 1_000, kill: true },
        { owner: "dies", ageMs: 3_000, kill: true },
    ])("does not lead to a second run if the owner $owner (copy of $ageMs ms ago)", async ({ ageMs, kill }) => {
        const owner = await deployment.startAgent("t1");
        const other = await deployment.startAgent("t2");
        await advance(SETTLE_MS);
        const entries = [await connect("e1", owner), await connect("e2", other)] as const;
        const keys = Array.from({ length: 8 }, (_, index) => `k${index}`);
        await advance(2_000);
        const first = keys.map(key => entries.map(entry => entry.outcome(deployment.book(entry, key))));
        expect(first).toHaveLength(8);
        await advance(500);
        const runsBefore = keys.map(key => deployment.runs(key));
        expect(runsBefore).toContain(1);
        deployment.store.restore(ageMs);
        if (kill) owner.kill();
        for (let round = 0; round < 4; round += 1) {
            await advance(TAKEOVER_MS / 2);
            const entry = entries[1];
            const attempts = keys.map(key => deployment.book(entry, key));
            await advance(500);
            expect(attempts.map(attempt => entry.outcome(attempt)).filter(outcome => outcome === undefined)).toEqual(
                [],
            );
        }
        const repeated = keys.filter((key, index) => runsBefore[index] === 1 && deployment.runs(key) > 1);
        expect(repeated).toEqual([]);
    });
});
