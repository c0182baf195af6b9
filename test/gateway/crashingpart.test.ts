/**
 * Requests whose prompts share one part crash each engine that begins to answer them. The gateways must recognise the
 * part from few crashes and refuse such requests at once; requests that share only the other parts keep being served.
 */
import { pause } from "../../src/model/pause.js";
import type { Behaviour } from "../platform/standintarget.js";
import { afterEach, describe, expect, it, vi } from "vitest";
import * as crashing from "./crashingengines.js";
import { CRASHES_TO_RECOGNISE, DOWN_MS, REQUESTS_AFTER_RECOGNITION } from "./crashingengines.js";
import { Deployment, type CallAnswer } from "./harness.js";

/** Time in milliseconds in which all gateways learn of crashes. */
const CONTACT_MS = 3_000;

const ROUNDS = 30;

let deployment: Deployment;

afterEach(() => deployment.close());

function crashes(): number {
    return crashing.crashesOf(deployment);
}

function registerAfterCrashes(service: string): void {
    crashing.registerAfterCrashes(deployment, service);
}

function ask(id: string, path: string, parts: readonly string[], gateway: number): Promise<CallAnswer> {
    return crashing.ask(deployment, { id, path, parts }, gateway);
}

function crashOn(part: string): void {
    registerAfterCrashes("engines");
    for (const target of deployment.targets.values()) {
        target.behaviour = ({ headers }) =>
            String(headers["x-parsleyrun-prefix-hash"]).includes(`${part}:`)
                ? { kind: "crash", downMs: DOWN_MS }
                : { kind: "stream", events: 3 };
    }
}

describe("a request that crashes targets and comes again", () => {
    // The same path, caller and body: it has no parts, so it is recognised by its content.
    it.each([
        { kind: "an idempotent call", path: "/check/1" },
        { kind: "a call that runs at most once", path: "/book/1" },
    ])("is refused when it is $kind", async ({ path }) => {
        deployment = await Deployment.start({ bookings: 6 }, 3);
        registerAfterCrashes("bookings");
        for (const target of deployment.targets.values()) {
            target.behaviour = ({ body }) =>
                body === "deadly" ? { kind: "crash", downMs: DOWN_MS } : { kind: "answer" };
        }
        for (let round = 0; round < ROUNDS; round += 1) {
            const calls = ["deadly", "sound"].map((body, index) =>
                deployment.call({ id: `${body}-${round}`, path, body }, (round + index) % 3),
            );
            const [deadly, sound] = await Promise.all(calls);
            expect(deadly?.status).toBeGreaterThanOrEqual(502);
            if (round > ROUNDS / 2) expect(sound?.status).toBe(200);
        }
        expect(crashes()).toBeLessThanOrEqual(CRASHES_TO_RECOGNISE + REQUESTS_AFTER_RECOGNITION);
        expect((await deployment.call({ id: "last", path, body: "deadly" })).status).toBe(503);
    });
});

describe("targets that crash for another reason", () => {
    // Harmless requests with the same parts wait at all of them, and come again when the targets are back.
    const waits: Behaviour = { kind: "delayedStream", events: 3, delayMs: 150 };
    const isInProgress: Behaviour = { kind: "stream", events: 10, gapMs: 30 };
    it.each([
        { times: 1, requests: "wait", slow: waits },
        { times: 3, requests: "wait", slow: waits },
        { times: 1, requests: "are in progress", slow: isInProgress },
        { times: 3, requests: "are in progress", slow: isInProgress },
    ])("all at once, $times times, while requests $requests, hold no request back", async ({ times, slow }) => {
        deployment = await Deployment.start({ engines: 6 }, 3);
        registerAfterCrashes("engines");
        for (const target of deployment.targets.values()) {
            target.behaviour = () => slow;
        }
        for (let time = 0; time < times; time += 1) {
            const waiting = Array.from({ length: 12 }, (_, index) =>
                ask(`waiting-${time}-${index}`, "/draft/1", ["first", `second-${index % 3}`], index % 3),
            );
            await pause(100);
            for (const target of deployment.targets.values()) target.crash(DOWN_MS);
            await Promise.all(waiting);
            await pause(1_100);
            const answers = await Promise.all(
                Array.from({ length: 9 }, (_, index) =>
                    ask(`later-${time}-${index}`, "/draft/1", ["first", `second-${index % 3}`], index % 3),
                ),
            );
            expect(answers.map(({ status }) => status)).toEqual(answers.map(() => 200));
        }
    });
});

describe("a prompt part that crashes targets", () => {
    it.each([
        { where: "before a part that sound requests share", deadly: ["first", "deadly", "shared"] },
        { where: "after the parts that sound requests share", deadly: ["first", "shared", "deadly"] },
    ])("is recognised by all gateways when it is $where", async ({ deadly }) => {
        deployment = await Deployment.start({ engines: 6 }, 3);
        crashOn("deadly");
        const sound: CallAnswer[] = [];
        for (let round = 0; round < ROUNDS; round += 1) {
            const [deadlyAnswer, soundAnswer] = await Promise.all([
                ask(`deadly-${round}`, "/chat/1", deadly, round % 3),
                ask(`sound-${round}`, "/chat/1", ["first", "shared"], (round + 1) % 3),
            ]);
            expect(deadlyAnswer.status).not.toBe(200);
            sound.push(soundAnswer);
        }
        expect(crashes()).toBeLessThanOrEqual(CRASHES_TO_RECOGNISE + REQUESTS_AFTER_RECOGNITION);
        const later = sound.slice(ROUNDS / 2);
        expect(later.filter(({ status, complete }) => status === 200 && complete)).toHaveLength(later.length);
    });

    // The answer to a stream was checked for a crash only if its status was 200.
    it("is recognised when its targets crash in the middle of an error answer", async () => {
        deployment = await Deployment.start({ engines: 6 }, 3);
        registerAfterCrashes("engines");
        for (const target of deployment.targets.values()) {
            target.behaviour = () => ({ kind: "crashInError", downMs: DOWN_MS });
        }
        for (let round = 0; round < ROUNDS; round += 1) {
            await ask(`deadly-${round}`, "/draft/1", ["first", "deadly"], round % 3);
        }
        expect(crashes()).toBeLessThanOrEqual(CRASHES_TO_RECOGNISE + REQUESTS_AFTER_RECOGNITION);
    });

    it("is refused before any stage is run, with the time to come back", async () => {
        deployment = await Deployment.start({ engines: 4, encode: 1, rank: 1 });
        crashOn("deadly");
        const pieces = { "x-parsleyrun-pieces": "1,1", "x-parsleyrun-piece-key": "key" };
        const staged = (id: string): Promise<CallAnswer> =>
            deployment.call({
                id,
                path: "/staged/1",
                body: id,
                headers: { ...pieces, "x-parsleyrun-prefix-hash": `deadly:100,own-${id}:100` },
            });
        for (let round = 0; round < CRASHES_TO_RECOGNISE; round += 1) await staged(`staged-${round}`);
        const callsBefore = deployment.target("encode-0").pieceCalls.length;
        const answer = await staged("last");
        expect(answer.status).toBe(503);
        expect(Number(answer.headers["retry-after"])).toBeGreaterThan(0);
        expect(deployment.target("encode-0").pieceCalls).toHaveLength(callsBefore);
    });

    it("becomes known to more gateways than one tells directly", async () => {
        deployment = await Deployment.start({ engines: 6 }, 9);
        crashOn("deadly");
        for (let round = 0; round < CRASHES_TO_RECOGNISE; round += 1) {
            await ask(`deadly-${round}`, "/draft/1", ["deadly"], 0);
        }
        const before = crashes();
        await vi.waitFor(() => {
            const news = deployment.gateways.map(({ gateway }) => gateway.gossip.receive('{"digest":""}'));
            // Until the failed trial is known, a gateway rightly sends such a request on trial.
            expect(news.every(text => text?.includes('"tried":["part deadly"]'))).toBe(true);
        }, CONTACT_MS);
        for (let gateway = 0; gateway < 9; gateway += 1) {
            expect((await ask(`later-${gateway}`, "/draft/1", ["deadly"], gateway)).status).toBe(503);
        }
        expect(crashes()).toBe(before);
    });

    it("is recognised for requests that have been admitted and wait for a target", async () => {
        deployment = await Deployment.start({ engines: 1 });
        crashOn("deadly");
        await ask("first", "/draft/1", ["deadly"], 0);
        const waiting = Array.from({ length: 4 }, (_, index) => ask(`waiting-${index}`, "/draft/1", ["deadly"], 0));
        await pause(30);
        const crash = { target: "other 1", ageMs: 0, responding: ["part deadly"], waiting: [], tried: [] };
        const topics = { crashes: { crashes: [crash], served: [] } };
        deployment.gateways[0]?.gateway.gossip.receive(JSON.stringify({ digest: "", topics }));
        await Promise.all(waiting);
        // The first request, and one on trial.
        expect(deployment.target("engines-0").arrivals.length).toBeLessThanOrEqual(2);
    });

    it("is known to a gateway that starts later", async () => {
        deployment = await Deployment.start({ engines: 6 }, 2);
        crashOn("deadly");
        for (let round = 0; round < CRASHES_TO_RECOGNISE; round += 1) {
            await ask(`deadly-${round}`, "/draft/1", ["deadly"], round % 2);
        }
        await deployment.addGateway("gateway-2");
        await vi.waitFor(async () => expect(await deployment.isReady(2)).toBe(true), 3_000);
        const before = crashes();
        expect((await ask("later", "/draft/1", ["deadly"], 2)).status).toBe(503);
        expect(crashes()).toBe(before);
    });
});
