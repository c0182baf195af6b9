/**
 * A change of the gatherer while requests run their stages. For a short time two gateways call the same targets, and a
 * call may wait there behind a call of the other gateway.
 */
import { afterEach, describe, expect, it, vi } from "vitest";
import { KIND } from "../../src/platform/names.js";
import { pause } from "../../src/model/pause.js";
import { CONFIGURATION, Deployment } from "./harness.js";

let deployment: Deployment;

afterEach(() => deployment.close());

/** Configured duration of a call; inputs count as read after half of it. */
const CALL_MS = 300;

/** Time in milliseconds of the grace period of 8 s that has passed when a stop begins late. */
const SPENT_GRACE_MS = 6_500;

/** Results so large that a holder of one is short of memory. */
const RESULT_BYTES = 200_000;

const configuration = {
    ...CONFIGURATION,
    Routes: CONFIGURATION.Routes.map(route => ({
        ...route,
        TimeoutMs: 10_000,
        ...("Phases" in route
            ? {
                  Phases: [
                      { Service: "encode", After: [], SizeBytes: RESULT_BYTES },
                      { Service: "rank", After: [0], SizeBytes: RESULT_BYTES },
                  ],
              }
            : {}),
    })),
    Services: CONFIGURATION.Services.map(service =>
        "Segments" in service ? { ...service, Segments: { ...service.Segments, CallMs: CALL_MS } } : service,
    ),
};

async function start(gateways: number): Promise<void> {
    deployment = await Deployment.start({ engines: 1, encode: 1, rank: 1 }, gateways, configuration);
    for (const id of ["encode-0", "rank-0"]) deployment.target(id).callMs = CALL_MS;
    deployment.target("engines-0").behaviour = () => ({ kind: "stream", events: 2 });
}

async function callStaged(id: string, gateway: number): Promise<void> {
    const headers = {
        "x-parsleyrun-pieces": "1,1",
        "x-parsleyrun-piece-key": "key",
        "x-parsleyrun-deadline-ms": "10000",
    };
    const answer = await deployment.call({ path: "/staged/1", id, headers }, gateway);
    expect(answer).toMatchObject({ status: 200, complete: true });
}

const earlyReleases = (): number => deployment.linesOf("results released early").length;

describe("results that a call has probably read", () => {
    // Guards against a loss of memory at targets that are short of it.
    it("are released early by a gateway that gathers alone", async () => {
        await start(1);
        await pause(1_600);
        await callStaged("request-1", 0);
        expect(earlyReleases()).toBe(1);
    }, 20_000);

    // Guards against a call that waits behind one of the earlier gatherer and finds its inputs gone at its turn.
    it.each([
        { change: "another gateway stops", gateways: 2, act: (): void => void deployment.gateways[1]?.stop() },
        { change: "another gateway starts", gateways: 1, act: (): void => void deployment.addGateway("gateway-1") },
        { change: "this gateway stops", gateways: 1, act: (): void => void deployment.gateways[0]?.stop() },
    ])(
        "are kept until the call has ended when $change",
        async ({ change, gateways, act }) => {
            await start(gateways);
            await pause(1_600);
            await callStaged("request-0", 0);
            const before = earlyReleases();
            const registered = (): number => deployment.platform.names(KIND.gateways).length;
            const count = registered();
            act();
            await vi.waitFor(() => expect(registered(), change).not.toBe(count), 3_000);
            await callStaged("request-1", 0);
            expect(earlyReleases()).toBe(before);
        },
        20_000,
    );
});

describe("an order of another gateway that is still open at the end of a planned stop", () => {
    // Guards against an order whose connection is cut, for which its sender takes the gateway for unreachable.
    it.each([{ gateways: 2 }, { gateways: 3 }])(
        "goes to another gatherer of $gateways, and its request is served",
        async ({ gateways }) => {
            deployment = await Deployment.start({ engines: 1, encode: 1, rank: 1 }, gateways, {
                ...configuration,
                // A stream would not wait for stages that are expected to take this long.
                Routes: configuration.Routes.map(route => ("Phases" in route ? { ...route, Kind: "safe" } : route)),
                Services: configuration.Services.map(service =>
                    "Segments" in service ? { ...service, Segments: { ...service.Segments, CallMs: 2_000 } } : service,
                ),
            });
            const gatherer = deployment.gateways.findIndex(
                ({ gateway }) => gateway.pieceRouter.gathererOf("encode") === undefined,
            );
            const encode = deployment.target("encode-0");
            encode.callMs = 60_000;
            const served = callStaged("request-1", (gatherer + 1) % gateways);
            await vi.waitFor(() => expect(encode.pieceCalls).toHaveLength(1));
            encode.callMs = 20;
            await deployment.gateways[gatherer]?.stop(performance.now() - SPENT_GRACE_MS);
            await served;
            expect(encode.pieceCalls).toHaveLength(2);
            expect(deployment.linesOf("gatherer unreachable")).toEqual([]);
            expect(deployment.linesOf("stopped")).toMatchObject([{ openRequests: 0 }]);
        },
        20_000,
    );
});
