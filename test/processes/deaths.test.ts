/** Processes that die without notice in the middle of requests. */
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { slotOf } from "../../src/model/index.js";
import { type CallerAnswer, Deployment, isTrueOutcome, until } from "./deployment.js";

let deployment: Deployment;

beforeAll(async () => {
    deployment = await Deployment.start({ bookMilliseconds: 500, tokenMilliseconds: 30 });
}, 60_000);

afterAll(async () => {
    await deployment.close();
});

/** A key whose slot an agent owns. */
async function keyOwnedBy(agent: string, name: string): Promise<string> {
    const { slots } = await deployment.slotTable();
    for (let number = 0; number < 1_000; number += 1) {
        const key = `${name}-${number}`;
        if (slots[slotOf("kettleby", key, "book", slots.length)]?.target === agent) return key;
    }
    throw new Error(`${agent} owns no slot`);
}

async function readsTruth(key: string, answer: CallerAnswer): Promise<void> {
    const runs = await deployment.runsOf(key);
    expect({ key, answer, true: isTrueOutcome(answer) }).toMatchObject({ true: true });
    expect(runs, `runs of ${key}`).toBeLessThanOrEqual(1);
    if (answer.outcome === "done") expect(runs, `${key} is done`).toBe(1);
    if (answer.outcome === "refused") expect(runs, `${key} is refused as not run`).toBe(0);
}

describe("the death of an entry in the middle of a booking", () => {
    // Guards against a second run when the caller sends a key again after its entry died.
    it("leaves the run alone; the same key through another entry reads its result", async () => {
        const broken = deployment.call("entry-1", "booking", { key: "entry-death" });
        await until("the booking runs", async () => (await deployment.runsOf("entry-death")) === 1);
        await deployment.daemon("entry-1").kill();
        expect((await broken).outcome).toBe("broken");
        const again = await deployment.call("entry-2", "booking", { key: "entry-death" });
        expect(again.outcome).toBe("done");
        await deployment.startDaemon("entry-1");
        await deployment.serves("entry-1", "stock-check");
        const third = await deployment.call("entry-1", "booking", { key: "entry-death" });
        expect(third.body["output"]).toEqual(again.body["output"]);
        expect(await deployment.runsOf("entry-death")).toBe(1);
    });
});

describe("the death of agents in the middle of requests", () => {
    // Guards against lost or repeated tokens when a stream moves to another target, and against a cut answer.
    it("moves streams to another target without a gap or a repeat", async () => {
        const streams = Array.from({ length: 8 }, (_, index) => {
            const input = { text: `stream ${index}` };
            return deployment.call("entry-2", "question", { stream: true, input, deadline: 10_000 });
        });
        const { runs } = await deployment.counts("generate-1");
        await until("streams run", async () => (await deployment.counts("generate-1")).runs > runs);
        await deployment.daemon("generate-1").kill();
        for (const answer of await Promise.all(streams)) {
            expect(answer.outcome).toBe("done");
            expect(answer.body["output"]).toMatchObject({ text: answer.tokens.join("") });
        }
        await deployment.startDaemon("generate-1");
    });

    // Guards against untrue outcomes and second runs after the death of a slot owner.
    it("gives true outcomes for bookings, runs each at most once, and serves the slots again", async () => {
        const key = await keyOwnedBy("book-1", "owner-death");
        const keys = [key, ...Array.from({ length: 9 }, (_, index) => `agent-death-${index}`)];
        const bookings = keys.map((each, index) =>
            deployment.call(`entry-${1 + (index % 2)}`, "booking", { key: each, deadline: 3_000 }),
        );
        await until("the booking runs", async () => (await deployment.runsOf(key)) === 1);
        await deployment.daemon("book-1").kill();
        const answers = await Promise.all(bookings);
        for (const [index, each] of keys.entries()) await readsTruth(each, answers[index] as CallerAnswer);
        expect(answers[0]?.outcome).toBe("unknown");
        await deployment.startDaemon("book-1");
        await until("the slots are owned again", async () => {
            const owners = (await deployment.slotTable()).slots.map(owner => owner?.journals.at(-1));
            return owners.every(owner => owner !== undefined) && new Set(owners).size === 2;
        });
        await deployment.slotsOwnedBy(["book-1", "book-2"]);
        for (const [index, each] of keys.entries()) {
            const again = await deployment.call("entry-1", "booking", { key: each, deadline: 10_000 });
            if (answers[index]?.outcome === "done") expect(again.outcome).toBe("done");
            await readsTruth(each, again);
        }
        const fresh = await keyOwnedBy("book-1", "after-restart");
        expect((await deployment.call("entry-2", "booking", { key: fresh })).outcome).toBe("done");
    }, 60_000);
});
