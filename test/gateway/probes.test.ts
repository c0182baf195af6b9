/**
 * Probes of ejected targets that end without saying anything about their health. A probe that counts as in progress for ever
 * keeps its target out for ever, as only one is sent at a time.
 */
import { afterEach, describe, expect, it, vi } from "vitest";
import { pause } from "../../src/model/pause.js";
import type { Behaviour } from "../platform/standintarget.js";
import { Deployment } from "./harness.js";

let deployment: Deployment;

afterEach(() => deployment.close());

/** Longer than the first ejection. */
const EJECTION_MS = 1_100;

interface ProbeCase {
    readonly end: string;
    readonly service: "engines" | "bookings";
    readonly path: string;
    readonly behaviour: Behaviour;
    readonly leaveAfterMs?: number;
    readonly isDown?: boolean;
}

const silent = { kind: "stream", events: 1, silence: { after: "head", milliseconds: 60_000 } } as const;
const stream = { service: "engines", path: "/chat/1" } as const;
const call = { service: "bookings", path: "/check/1" } as const;

const CASES: readonly ProbeCase[] = [
    { end: "the caller leaves before the first event", ...stream, behaviour: silent, leaveAfterMs: 300 },
    { end: "the deadline passes before the first event", ...stream, behaviour: silent },
    { end: "the stream is complete without events", ...stream, behaviour: { kind: "stream", events: 0 } },
    { end: "the target has lost the inputs", ...stream, behaviour: { kind: "inputsGone" } },
    { end: "the target does not know the path", ...stream, behaviour: { kind: "answer", status: 404 } },
    { end: "the target is full", ...stream, behaviour: { kind: "full" } },
    { end: "the target does not listen", ...stream, behaviour: silent, isDown: true },
    { end: "a call's target does not listen", ...call, behaviour: silent, isDown: true },
    { end: "a call's caller leaves within the answer", ...call, behaviour: silent, leaveAfterMs: 300 },
];

describe("a target is probed again", () => {
    it.each(CASES)("when $end", async ({ service, path, behaviour, leaveAfterMs, isDown = false }) => {
        deployment = await Deployment.start({ [service]: 2 });
        const [probed, other] = [`${service}-0`, `${service}-1`];
        const targets = deployment.gateways[0]?.gateway.targets;
        const usable = (): readonly string[] => targets?.usable(service).map(({ name }) => name) ?? [];
        const target = targets?.findByAddress(deployment.target(probed).address);
        if (target === undefined) throw new Error("target is not registered");
        for (let failure = 0; failure < 3; failure += 1) targets?.recordFailure(target);
        expect(usable()).toEqual([other]);
        // The probe is the only target that is left.
        deployment.register(service, other, { State: "draining" });
        await vi.waitFor(() => expect(usable()).toEqual([probed]));
        deployment.target(probed).behaviour = () => behaviour;
        if (isDown) deployment.target(probed).crash(1_000);
        await deployment.call({ path, ...(leaveAfterMs === undefined ? {} : { leaveAfterMs }) }).catch(() => undefined);
        deployment.register(service, other, { born: 2_000 });
        await vi.waitFor(() => expect(usable()).toContain(other));
        await pause(EJECTION_MS);
        await vi.waitFor(() => expect(usable()).toContain(probed), 2_000);
    });
});
