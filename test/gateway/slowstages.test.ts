/**
 * Targets and gatherers of stages that are slow, or silent for a second and then go on. Their calls were given up while
 * they were worked on, and the request was refused although all of its pieces were made in time.
 */
import { afterEach, describe, expect, it } from "vitest";
import type { StandInTarget } from "../platform/standintarget.js";
import { type CallAnswer, CONFIGURATION, Deployment } from "./harness.js";

let deployment: Deployment;

afterEach(() => deployment.close());

const DEADLINE_MS = 15_000;
const PIECES = { "x-parsleyrun-pieces": "2,1", "x-parsleyrun-piece-key": "key" };
const PATIENT = {
    ...CONFIGURATION,
    // Callers of streams wait for the first event in proportion to the latency objective.
    Routes: CONFIGURATION.Routes.map(route => ({ ...route, TimeoutMs: DEADLINE_MS, TargetLatencyMs: 2_000 })),
};

function callStaged(gateway: number, id: string): Promise<CallAnswer> {
    const headers = { ...PIECES, "x-parsleyrun-deadline-ms": String(DEADLINE_MS) };
    return deployment.call({ path: "/staged/1", id, headers }, gateway);
}

/** Starts the deployment, with the same behaviour of all targets of the first stage. */
async function start(targets: number, gateways: number, prepare: (target: StandInTarget) => void): Promise<void> {
    deployment = await Deployment.start({ engines: 1, encode: targets, rank: 1 }, gateways, PATIENT);
    deployment.target("engines-0").behaviour = () => ({ kind: "stream", events: 2 });
    for (let index = 0; index < targets; index += 1) prepare(deployment.target(`encode-${index}`));
}

const SHAPES = [1, 2].flatMap(targets => [1, 2].map(gateways => ({ targets, gateways })));

describe("a request whose stage's targets", () => {
    it.each(SHAPES.flatMap(shape => [700, 1_200, 1_800].map(callMs => ({ ...shape, callMs }))))(
        "take $callMs ms for each call is served ($targets targets, $gateways gateways)",
        async ({ targets, gateways, callMs }) => {
            await start(targets, gateways, target => (target.callMs = callMs));
            const answers = await Promise.all(
                SHAPES.slice(0, gateways).map((_, index) => callStaged(index, `r${index}`)),
            );
            expect(answers.map(({ status, complete }) => ({ status, complete }))).toEqual(
                answers.map(() => ({ status: 200, complete: true })),
            );
        },
    );

    it.each(SHAPES)(
        "are silent once for 1.2 s is served ($targets targets, $gateways gateways)",
        async ({ targets, gateways }) => {
            await start(targets, gateways, target => (target.pieceSilence = { call: 1, milliseconds: 1_200 }));
            const answers = await Promise.all(
                SHAPES.slice(0, gateways).map((_, index) => callStaged(index, `r${index}`)),
            );
            expect(answers.map(({ status }) => status)).toEqual(answers.map(() => 200));
        },
    );
});
