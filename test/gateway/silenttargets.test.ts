/**
 * Targets of resumable streams that fall silent, and those that go on after a while. A gateway that leaves such a target
 * although the stream cannot continue elsewhere takes an answer from its caller that would have come.
 */
import { afterEach, describe, expect, it, vi } from "vitest";
import { pause } from "../../src/model/pause.js";
import { Deployment } from "./harness.js";
import { EVENTS, expectWholeStream, scriptEngines, SILENCES, silentStream } from "./silentstreams.js";

let deployment: Deployment;

afterEach(() => deployment.close());

/** Longer than the timeouts of the route's streams (900 ms), with enough time left before its deadline (2 s). */
const SILENCE_MS = 1_150;
const ENDLESS_MS = 5_000;
/** A target may be at work on a request for so long after the request was sent to another one. */
const LONGEST_OVERLAP_MS = 400;

const SILENT_STREAMS = SILENCES.map(silence => ({ silence }));

function arrivalCount(): number {
    return [...deployment.targets.values()].reduce((sum, { arrivals }) => sum + arrivals.length, 0);
}

describe("a stream whose target is silent for a while", () => {
    it.each(SILENT_STREAMS)("$silence is not ended when no attempt is left", async ({ silence }) => {
        deployment = await Deployment.start({ engines: 3 });
        scriptEngines(deployment, { kind: "reset" }, silentStream(silence, SILENCE_MS));
        expectWholeStream(await deployment.call({ path: "/chat/1" }));
        expect(arrivalCount()).toBe(2);
    });

    it.each(SILENT_STREAMS)("$silence is not ended when no retry is left", async ({ silence }) => {
        deployment = await Deployment.start({ engines: 2 });
        deployment.leaveRetries("engines", 0);
        scriptEngines(deployment, silentStream(silence, SILENCE_MS));
        expectWholeStream(await deployment.call({ path: "/chat/1" }));
        expect(arrivalCount()).toBe(1);
    });

    it.each(SILENT_STREAMS)("$silence is not ended when there is no other target", async ({ silence }) => {
        deployment = await Deployment.start({ engines: 1 });
        scriptEngines(deployment, silentStream(silence, SILENCE_MS));
        expectWholeStream(await deployment.call({ path: "/chat/1" }));
        expect(arrivalCount()).toBe(1);
    });

    it.each(SILENT_STREAMS)("$silence is not ended when the other target is leaving", async ({ silence }) => {
        deployment = await Deployment.start({ engines: 2 });
        deployment.register("engines", "engines-1", { State: "draining" });
        await vi.waitFor(() => expect(deployment.linesOf("target draining")).toHaveLength(1));
        scriptEngines(deployment, silentStream(silence, SILENCE_MS));
        expectWholeStream(await deployment.call({ path: "/chat/1" }));
        expect(arrivalCount()).toBe(1);
    });

    it("and that is not resumable waits for it until the deadline", async () => {
        deployment = await Deployment.start({ engines: 2 });
        scriptEngines(deployment, silentStream("between events", SILENCE_MS));
        expectWholeStream(await deployment.call({ path: "/draft/1" }));
        expect(arrivalCount()).toBe(1);
    });
});

describe("a stream whose target stays silent", () => {
    it.each(SILENT_STREAMS)(
        "$silence moves to another target, and is at both for a short time",
        async ({ silence }) => {
            deployment = await Deployment.start({ engines: 2 });
            const [first, second] = [deployment.target("engines-0"), deployment.target("engines-1")];
            first.behaviour = () => silentStream(silence, ENDLESS_MS);
            second.behaviour = () => ({ kind: "stream", events: EVENTS });
            const answered = deployment.call({ path: "/chat/1" });
            await vi.waitFor(() => expect(first.abandoned).toHaveLength(1), { timeout: 3_000, interval: 5 });
            expect(performance.now() - (second.arrivals[0]?.at ?? 0)).toBeLessThan(LONGEST_OVERLAP_MS);
            expectWholeStream(await answered);
            expect(second.arrivals).toHaveLength(1);
        },
    );

    it.each(SILENT_STREAMS)("$silence moves on when another target comes", async ({ silence }) => {
        deployment = await Deployment.start({ engines: 1 });
        deployment.target("engines-0").behaviour = () => silentStream(silence, ENDLESS_MS);
        const answered = deployment.call({ path: "/chat/1" });
        await pause(SILENCE_MS);
        (await deployment.addTarget("engines", "engines-1")).behaviour = () => ({ kind: "stream", events: EVENTS });
        expectWholeStream(await answered);
        expect(arrivalCount()).toBe(2);
    });

    it.each(SILENT_STREAMS)("$silence moves on when its target has started anew under its id", async ({ silence }) => {
        deployment = await Deployment.start({ engines: 1 });
        scriptEngines(deployment, silentStream(silence, ENDLESS_MS), { kind: "stream", events: EVENTS });
        const answered = deployment.call({ path: "/chat/1" });
        await vi.waitFor(() => expect(arrivalCount()).toBe(1));
        deployment.register("engines", "engines-0", { born: 2_000 });
        expectWholeStream(await answered);
        expect(arrivalCount()).toBe(2);
    });

    it.each(SILENT_STREAMS)("$silence ends at its deadline when there is no other", async ({ silence }) => {
        deployment = await Deployment.start({ engines: 1 });
        scriptEngines(deployment, silentStream(silence, ENDLESS_MS));
        const answer = await deployment.call({ path: "/chat/1" });
        if (silence === "between events") expect(answer).toMatchObject({ status: 200, complete: false });
        else expect(answer.status).toBe(504);
        expect(deployment.linesOf("silent attempt continues")).toHaveLength(1);
    });
});
