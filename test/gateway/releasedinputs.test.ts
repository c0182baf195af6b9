/**
 * Streams whose stage results were released at the first event. An engine without these results declines the request, so
 * that a stream which leaves its engine for another one is lost.
 */
import { afterEach, describe, expect, it } from "vitest";
import type { Behaviour } from "../platform/standintarget.js";
import { type CallAnswer, CONFIGURATION, Deployment } from "./harness.js";

let deployment: Deployment;

afterEach(() => deployment.close());

const EVENTS = 4;
const CONFIGURATION_WITH_RESUMABLE_STAGES = {
    ...CONFIGURATION,
    Routes: CONFIGURATION.Routes.map(route =>
        "Phases" in route ? { ...route, MaxAttempts: 2, Resumable: true, ItlTargetMs: 100 } : route,
    ),
};

/** Sends a request whose first engine handles it as given, and whose others have none of its inputs after their release. */
async function callStaged(first: Behaviour): Promise<CallAnswer> {
    deployment = await Deployment.start({ engines: 2, encode: 1, rank: 1 }, 1, CONFIGURATION_WITH_RESUMABLE_STAGES);
    const rank = deployment.target("rank-0");
    deployment.target("engines-0").behaviour = () => first;
    deployment.target("engines-1").behaviour = () =>
        rank.released.length > 0 ? { kind: "inputsGone" } : { kind: "stream", events: EVENTS };
    return deployment.call({
        path: "/staged/1",
        headers: { "x-parsleyrun-pieces": "1,1", "x-parsleyrun-piece-key": "key" },
    });
}

function eventCount({ body }: CallAnswer): number {
    return [...body.matchAll(/^id: \d+$/gm)].length;
}

describe("a stream with stages", () => {
    it("is not cut when its engine is silent between events", async () => {
        const silence = { after: 2, milliseconds: 1_150 };
        const answer = await callStaged({ kind: "stream", events: EVENTS, silence });
        expect(answer).toMatchObject({ status: 200, complete: true });
        expect(eventCount(answer)).toBe(EVENTS);
        expect(deployment.target("engines-1").arrivals).toEqual([]);
    });

    it("moves to another engine before its first event", async () => {
        const silence = { after: "head", milliseconds: 5_000 } as const;
        const answer = await callStaged({ kind: "stream", events: EVENTS, silence });
        expect(answer).toMatchObject({ status: 200, complete: true });
        expect(eventCount(answer)).toBe(EVENTS);
    });

    it("is not sent to another engine for nothing after it broke between events", async () => {
        const answer = await callStaged({ kind: "stream", events: EVENTS, gapMs: 50, cutAfterBytes: 100 });
        expect(answer).toMatchObject({ status: 200, complete: false });
        expect(deployment.target("engines-1").arrivals).toEqual([]);
    });
});
