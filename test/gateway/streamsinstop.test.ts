/** Streams that break while the gateway stops. What was begun has no other response, so it is worth a try elsewhere. */
import { afterEach, describe, expect, it, vi } from "vitest";
import type { Behaviour } from "../platform/standintarget.js";
import { CONFIGURATION, Deployment } from "./harness.js";

let deployment: Deployment;

afterEach(() => deployment.close());

/** Time in milliseconds of the grace period of 8 s that has passed when the stop begins. */
const SPENT_GRACE_MS = 5_500;

const EVENTS = 4;
const broken: Behaviour = { kind: "stream", events: EVENTS, gapMs: 100, cutAfterBytes: 100 };

describe("a stream that breaks during a planned stop", () => {
    // Guards against a begun stream that is cut although the time that is left suffices for the rest of it.
    it.each<{ usual: string; before: Behaviour | undefined }>([
        { usual: "unknown", before: undefined },
        { usual: "longer than the time that is left", before: { kind: "stream", events: 2, gapMs: 2_500 } },
        { usual: "short", before: { kind: "stream", events: 2 } },
    ])(
        "goes on at another engine when its usual time is $usual",
        async ({ before }) => {
            const Routes = CONFIGURATION.Routes.map(route => ({ ...route, TimeoutMs: 10_000, ItlTargetMs: 1_000 }));
            deployment = await Deployment.start({ engines: 2 }, 1, { ...CONFIGURATION, Routes });
            const engines = [deployment.target("engines-0"), deployment.target("engines-1")];
            const headers = { "x-parsleyrun-deadline-ms": "10000" };
            if (before !== undefined) {
                for (const engine of engines) engine.behaviour = () => before;
                expect(await deployment.call({ path: "/chat/1", id: "earlier", headers })).toMatchObject({
                    status: 200,
                });
            }
            const arrivals = (): number =>
                engines.reduce((sum, engine) => sum + engine.arrivals.filter(({ id }) => id === "request-1").length, 0);
            for (const engine of engines) {
                engine.behaviour = () => (arrivals() > 1 ? { kind: "stream", events: EVENTS } : broken);
            }
            const answer = deployment.call({ path: "/chat/1", headers });
            await vi.waitFor(() => expect(arrivals()).toBe(1));
            const stopped = deployment.gateways[0]?.stop(performance.now() - SPENT_GRACE_MS);
            expect(await answer).toMatchObject({ status: 200, complete: true });
            expect([...(await answer).body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id))).toEqual([
                1, 2, 3, 4,
            ]);
            await stopped;
        },
        20_000,
    );
});
