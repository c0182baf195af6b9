/** Each kind of request through separate processes, and planned stops under load. */
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { expectedOutput, expectedTokens } from "../../src/standins/output.js";
import { type CallerAnswer, Deployment, until } from "./deployment.js";

let deployment: Deployment;

/** Payload of a stage: the request's input and the output of the stage before, as JSON text. */
function payload(input: unknown, previous = "null"): string {
    return `{"input":${JSON.stringify(input)},"previous":${previous}}`;
}

function generatePayload(input: unknown): string {
    return payload(input, expectedOutput("stock", payload(input), 0));
}

beforeAll(async () => {
    deployment = await Deployment.start({ bookMilliseconds: 300, tokenMilliseconds: 20 });
}, 60_000);

afterAll(async () => {
    await deployment.close();
});

describe("requests through separate processes", () => {
    // Guards against an answer that is incomplete or belongs to another request.
    it("answers an idempotent pipeline with the output of its last stage", async () => {
        const answer = await deployment.call("entry-1", "question", { input: { text: "a" } });
        expect(answer.outcome).toBe("done");
        const expected = expectedOutput("generate", generatePayload({ text: "a" }), 20);
        expect(JSON.stringify(answer.body["output"])).toBe(expected);
    });

    // Guards against tokens that are lost, repeated or out of order on the way through two links.
    it("streams every token once and in order, then the outcome", async () => {
        const answer = await deployment.call("entry-2", "question", { input: { text: "b" }, stream: true });
        expect(answer.outcome).toBe("done");
        expect(answer.tokens).toEqual(expectedTokens("generate", generatePayload({ text: "b" }), 20));
    });

    it("answers a plain call that is idempotent", async () => {
        const answer = await deployment.call("entry-1", "stock-check", { input: { item: 7 } });
        expect(answer.outcome).toBe("done");
        expect(JSON.stringify(answer.body["output"])).toBe(expectedOutput("stock", payload({ item: 7 }), 0));
    });

    // Guards against a second run of a key through another entry.
    it("runs a booking once and answers the same result through both entries", async () => {
        const first = await deployment.call("entry-1", "booking", { key: "booking-a" });
        const second = await deployment.call("entry-2", "booking", { key: "booking-a" });
        expect([first.outcome, second.outcome]).toEqual(["done", "done"]);
        expect(second.body["output"]).toEqual(first.body["output"]);
        expect(await deployment.runsOf("booking-a")).toBe(1);
    });
});

/** A bounded load through one entry: rounds of one request of each kind. */
async function load(entry: string, name: string, rounds: number): Promise<readonly CallerAnswer[]> {
    const answers: CallerAnswer[] = [];
    for (let round = 0; round < rounds; round += 1) {
        const kinds = [
            deployment.call(entry, "booking", { key: `${name}-${round}`, deadline: 10_000 }),
            deployment.call(entry, "stock-check", { deadline: 10_000 }),
            deployment.call(entry, "question", { stream: true, deadline: 10_000 }),
        ];
        answers.push(...(await Promise.all(kinds)));
    }
    return answers;
}

describe("a planned stop under load", () => {
    // Guards against a stop of an agent that cuts attempts off or loses bookings.
    it("of the agents of two services cuts no request", async () => {
        const loads = ["entry-1", "entry-2"].flatMap(entry =>
            [1, 2, 3].map(worker => load(entry, `agents-${entry}-${worker}`, 8)),
        );
        await until("bookings run", async () => (await deployment.runsOf("agents-entry-1-1-0")) === 1);
        deployment.daemon("book-1").signal("SIGTERM");
        deployment.daemon("generate-1").signal("SIGTERM");
        const answers = (await Promise.all(loads)).flat();
        expect(await deployment.daemon("book-1").ended).toEqual({ code: 0, signal: null });
        expect(await deployment.daemon("generate-1").ended).toEqual({ code: 0, signal: null });
        expect(answers.filter(({ outcome }) => outcome !== "done")).toEqual([]);
        await deployment.slotsOwnedBy(["book-2"]);
        await Promise.all(["book-1", "generate-1"].map(name => deployment.startDaemon(name)));
    });

    // Guards against a stop of an entry that breaks answers which were begun.
    it("of an entry finishes every request that it took, and refuses others as not run", async () => {
        const keys = Array.from({ length: 6 }, (_, index) => `entry-${index}`);
        const open = keys.flatMap(key => [
            deployment.call("entry-1", "booking", { key, deadline: 10_000 }),
            deployment.call("entry-1", "question", { stream: true, deadline: 10_000 }),
        ]);
        await until("bookings run", async () => (await deployment.runsOf("entry-0")) === 1);
        deployment.daemon("entry-1").signal("SIGTERM");
        await deployment.daemon("entry-1").logged("entry stops");
        const late = await deployment.call("entry-1", "stock-check");
        expect(["refused", "unreachable"]).toContain(late.outcome);
        const answers = await Promise.all(open);
        expect(answers.map(({ outcome }) => outcome)).toEqual(answers.map(() => "done"));
        expect(await deployment.daemon("entry-1").ended).toEqual({ code: 0, signal: null });
        for (const key of keys) expect(await deployment.runsOf(key)).toBe(1);
        expect(await deployment.objects("members/entries/entry-1")).toEqual([]);
        expect((await deployment.call("entry-2", "stock-check")).outcome).toBe("done");
    });
});
