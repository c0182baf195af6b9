/**
 * Streams that are lost because the gateway leaves a silent target before another one serves them. The target may decline,
 * break or be silent itself, or there may be no time for it, while the first target would have gone on.
 */
import { afterEach, describe, expect, it, vi } from "vitest";
import { Deadline } from "../../src/model/index.js";
import { pause } from "../../src/model/pause.js";
import { KIND } from "../../src/platform/names.js";
import type { Behaviour } from "../platform/standintarget.js";
import { CONFIGURATION, Deployment } from "./harness.js";
import { EVENTS, expectWholeStream, scriptEngines, SILENCES, silentStream } from "./silentstreams.js";

let deployment: Deployment;

afterEach(() => deployment.close());

/** Longer than the timeouts of the route's streams (900 ms), as a working target may be silent. */
const SILENCE_MS = 1_150;
/** A target may be at work on a request for so long after the request was sent to another one. */
const LONGEST_OVERLAP_MS = 400;

interface OtherTargets {
    readonly others: string;
    readonly count: number;
    readonly behaviour: Behaviour;
}

const OTHERS: readonly OtherTargets[] = [
    { others: "decline: one", count: 1, behaviour: { kind: "full" } },
    { others: "decline: two", count: 2, behaviour: { kind: "full" } },
    { others: "decline: three", count: 3, behaviour: { kind: "full" } },
    { others: "have lost the inputs", count: 1, behaviour: { kind: "inputsGone" } },
    { others: "reset the connection", count: 2, behaviour: { kind: "reset" } },
    { others: "are silent", count: 1, behaviour: { kind: "silent" } },
    { others: "are silent after the head", count: 1, behaviour: silentStream("before the first event", 5_000) },
    {
        others: "send a comment and are silent",
        count: 1,
        behaviour: {
            kind: "stream",
            events: EVENTS,
            silence: { after: "head", milliseconds: 5_000 },
            hasComment: true,
        },
    },
    { others: "take longer to answer", count: 1, behaviour: { kind: "delayedStream", events: EVENTS, delayMs: 700 } },
    { others: "fail", count: 1, behaviour: { kind: "answer", status: 500 } },
    { others: "answer another request", count: 1, behaviour: { kind: "otherAnswer" } },
    { others: "write no HTTP", count: 1, behaviour: { kind: "notHttp" } },
    { others: "break off within an event", count: 1, behaviour: { kind: "stream", events: 4, cutAfterBytes: 20 } },
];

const CASES = SILENCES.flatMap(silence => OTHERS.map(other => ({ silence, ...other })));

describe("a stream whose target is silent for a while is whole", () => {
    it.each(CASES)("when it is silent $silence and the others $others", async ({ silence, count, behaviour }) => {
        deployment = await Deployment.start({ engines: count + 1 });
        scriptEngines(deployment, silentStream(silence, SILENCE_MS), behaviour);
        expectWholeStream(await deployment.call({ path: "/chat/1" }));
    });

    it.each(SILENCES)("when it is silent %s and a planned stop leaves little time", async silence => {
        deployment = await Deployment.start({ engines: 2 });
        scriptEngines(deployment, silentStream(silence, SILENCE_MS), { kind: "stream", events: EVENTS });
        const answered = deployment.call({ path: "/chat/1" });
        await vi.waitFor(() => expect(arrivalCount()).toBe(1));
        deployment.gateways[0]?.gateway.context.shutdown.begin(Deadline.after(1_700));
        expectWholeStream(await answered);
    });

    it.each(SILENCES)("when it is silent %s and the other is replaced meanwhile", async silence => {
        deployment = await Deployment.start({ engines: 2 });
        scriptEngines(deployment, silentStream(silence, SILENCE_MS), { kind: "full" });
        const answered = deployment.call({ path: "/chat/1" });
        await vi.waitFor(() => expect(arrivalCount()).toBe(1));
        const other = [...deployment.targets.values()].find(({ arrivals }) => arrivals.length === 0);
        setTimeout(() => deployment.register("engines", other?.id ?? "", { born: 2_000 }), 895);
        expectWholeStream(await answered);
    });

    it.each(SILENCES)(
        "when it is silent %s, is not registered any more, and the other declines late",
        async silence => {
            deployment = await Deployment.start({ engines: 2 });
            scriptEngines(deployment, silentStream(silence, 1_400), { kind: "full", after: pause(1_600) });
            const answered = deployment.call({ path: "/chat/1" });
            await vi.waitFor(() => expect(arrivalCount()).toBe(1));
            const first = [...deployment.targets.values()].find(({ arrivals }) => arrivals.length > 0);
            deployment.platform.remove(KIND.targets, first?.id ?? "");
            expectWholeStream(await answered);
        },
    );

    it.each(SILENCES)("when it is silent %s, a connection to it fails, and the other declines late", async silence => {
        deployment = await Deployment.start({ engines: 2 });
        scriptEngines(deployment, silentStream(silence, 1_400), { kind: "full", after: pause(1_600) });
        const answered = deployment.call({ path: "/chat/1" });
        await vi.waitFor(() => expect(arrivalCount()).toBe(1));
        const first = [...deployment.targets.values()].find(({ arrivals }) => arrivals.length > 0);
        await pause(1_000);
        const targets = deployment.gateways[0]?.gateway.targets;
        const target = targets?.findByAddress(first?.address ?? "");
        if (target !== undefined) targets?.recordUnreachable(target);
        expectWholeStream(await answered);
    });

    it.each(SILENCES)("when it is silent %s twice as long as its timeout and the others decline", async silence => {
        deployment = await Deployment.start({ engines: 3 });
        scriptEngines(deployment, silentStream(silence, 1_700), { kind: "full" });
        expectWholeStream(await deployment.call({ path: "/chat/1" }));
    });
});

function arrivalCount(): number {
    return [...deployment.targets.values()].reduce((sum, { arrivals }) => sum + arrivals.length, 0);
}

describe("a stream that is sent to a second target", () => {
    it.each([
        { others: "answer at once", delayMs: 1 },
        { others: "answer after a while", delayMs: 250 },
        { others: "answer late", delayMs: 800 },
    ])("is at work at both for a short time only, when the others $others", async ({ delayMs }) => {
        deployment = await Deployment.start({ engines: 2 });
        scriptEngines(deployment, silentStream("between events", 5_000), {
            kind: "delayedStream",
            events: EVENTS,
            delayMs,
        });
        const first = (): number => [...deployment.targets.values()].findIndex(({ abandoned }) => abandoned.length > 0);
        const answered = deployment.call({ path: "/chat/1", headers: { "x-parsleyrun-deadline-ms": "6000" } });
        await vi.waitFor(() => expect(arrivalCount()).toBe(2), 3_000);
        const sentAt = performance.now();
        await vi.waitFor(() => expect(first()).toBeGreaterThanOrEqual(0), 3_000);
        expect(performance.now() - sentAt).toBeLessThan(LONGEST_OVERLAP_MS);
        await answered;
    });

    it("goes on there although the first one stays silent and the second is slow", async () => {
        const Routes = CONFIGURATION.Routes.map(route => ({ ...route, TimeoutMs: 8_000 }));
        deployment = await Deployment.start({ engines: 2 }, 1, { ...CONFIGURATION, Routes });
        const slow: Behaviour = { kind: "delayedStream", events: EVENTS, delayMs: 800 };
        scriptEngines(deployment, silentStream("between events", 60_000), slow);
        const headers = { "x-parsleyrun-deadline-ms": "8000" };
        expectWholeStream(await deployment.call({ path: "/chat/1", headers }));
    });

    it.each(SILENCES)("goes on there before its caller leaves when the first one stays silent %s", async silence => {
        deployment = await Deployment.start({ engines: 2 });
        const slow: Behaviour = { kind: "delayedStream", events: EVENTS, delayMs: 350 };
        scriptEngines(deployment, silentStream(silence, 60_000), slow);
        // Callers of this route leave when they have waited 2 s for an event.
        const answer = deployment.call({ path: "/chat/1", leaveAfterMs: 2_000 }).catch(() => undefined);
        expectWholeStream((await answer) ?? { status: 0, headers: {}, body: "", complete: false });
    });
});

describe("one silence of a target", () => {
    it("is counted once, however many streams it holds up", async () => {
        const engines = 3;
        deployment = await Deployment.start({ engines });
        const silentUntil = performance.now() + 1_200;
        const silent = deployment.target("engines-0");
        silent.behaviour = () => silentStream("between events", silentUntil - performance.now());
        for (const id of ["engines-1", "engines-2"]) {
            deployment.target(id).behaviour = () => ({ kind: "stream", events: EVENTS, gapMs: 50 });
        }
        const answers = await Promise.all(
            Array.from({ length: 30 }, (_, index) => deployment.call({ path: "/chat/1", id: `request-${index}` })),
        );
        expect(silent.arrivals.length).toBeGreaterThan(3);
        for (const answer of answers) expectWholeStream(answer);
        expect(deployment.linesOf("target ejected")).toEqual([]);
    });
});
