/** A slot owner that is stopped past its lease and continues after another agent took its slots over. */
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { decodeLease } from "../../src/claims/ownerlease.js";
import { slotOf } from "../../src/model/index.js";
import { Deployment, isTrueOutcome, targetKey, until } from "./deployment.js";

let deployment: Deployment;

beforeAll(async () => {
    deployment = await Deployment.start({ bookMilliseconds: 400, generateAgents: 1 });
}, 60_000);

afterAll(async () => {
    await deployment.close();
});

async function keysOwnedBy(agent: string, count: number): Promise<readonly string[]> {
    const { slots } = await deployment.slotTable();
    const keys = Array.from({ length: 400 }, (_, number) => `paused-${number}`);
    const owned = keys.filter(key => slots[slotOf("kettleby", key, "book", slots.length)]?.target === agent);
    return owned.slice(0, count);
}

/** Leases of an agent's tenures that nobody has taken. */
async function openLeases(agent: string): Promise<readonly string[]> {
    const objects = await deployment.objects("leases/owners/book/");
    return objects
        .filter(({ key, value }) => {
            const lease = decodeLease({ key, value, version: 1 });
            return lease?.holder === agent && lease.takenBy === "";
        })
        .map(({ key }) => key);
}

describe("a slot owner that is stopped past its lease", () => {
    // Guards against an owner that, after a pause, still runs keys whose slots it lost.
    it("runs nothing after it continues, and no key runs twice", async () => {
        const [running = "", ...waiting] = await keysOwnedBy("book-1", 5);
        expect(waiting).toHaveLength(4);
        const [lease] = await openLeases("book-1");
        const open = [deployment.call("entry-1", "booking", { key: running, deadline: 2_000 })];
        await until("the booking runs", async () => (await deployment.runsOf(running)) === 1);
        deployment.daemon("book-1").signal("SIGSTOP");
        // These arrive at the stopped process and are read when it continues.
        for (const key of waiting) open.push(deployment.call("entry-1", "booking", { key, deadline: 2_000 }));
        for (const answer of await Promise.all(open)) {
            expect({ answer, true: isTrueOutcome(answer) && answer.outcome !== "done" }).toMatchObject({ true: true });
        }
        await deployment.slotsOwnedBy(["book-2"]);
        const runsBefore = (await deployment.counts("book-1")).runsByKey;
        const again = await Promise.all(
            [running, ...waiting].map(key => deployment.call("entry-2", "booking", { key, deadline: 10_000 })),
        );
        expect(again.map(({ outcome }) => outcome)).toEqual(["unknown", ...waiting.map(() => "done")]);
        deployment.daemon("book-1").signal("SIGCONT");
        await until("the owner has begun a new tenure", async () => {
            const leases = await openLeases("book-1");
            return leases.length > 0 && !leases.includes(lease ?? "");
        });
        await deployment.serves("entry-1", "booking", () => `after-${Math.round(performance.now())}`);
        expect(await deployment.runsOf(running)).toBe(1);
        for (const key of waiting) expect(await deployment.runsOf(key)).toBe(1);
        const { runsByKey } = await deployment.counts("book-1");
        for (const key of [running, ...waiting].map(targetKey)) expect(runsByKey[key]).toBe(runsBefore[key]);
        expect(runsByKey[targetKey(running)]).toBe(1);
    }, 60_000);
});
