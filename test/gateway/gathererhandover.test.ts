/** A change of the gatherer of a stage service at the end of a planned stop, as requests see it whose stages run. */
import { afterEach, describe, expect, it, vi } from "vitest";
import { CONFIGURATION, Deployment } from "./harness.js";

let deployment: Deployment;

afterEach(() => deployment.close());

/** Time in milliseconds of the grace period of 8 s that has passed when a stop begins late. */
const SPENT_GRACE_MS = 6_500;

const configuration = {
    ...CONFIGURATION,
    // A stream would not wait for stages that are expected to take this long.
    Routes: CONFIGURATION.Routes.map(route => ({
        ...route,
        TimeoutMs: 10_000,
        ...("Phases" in route ? { Kind: "safe" } : {}),
    })),
    Services: CONFIGURATION.Services.map(service =>
        "Segments" in service ? { ...service, Segments: { ...service.Segments, CallMs: 2_000 } } : service,
    ),
};

async function callStaged(gateway: number): Promise<void> {
    const headers = {
        "x-parsleyrun-pieces": "1,1",
        "x-parsleyrun-piece-key": "key",
        "x-parsleyrun-deadline-ms": "10000",
    };
    const answer = await deployment.call({ path: "/staged/1", headers }, gateway);
    expect(answer).toMatchObject({ status: 200, complete: true });
}

describe("an order of another gateway that is still open at the end of a planned stop", () => {
    // Guards against an order whose connection is cut, for which its sender takes the gateway for unreachable.
    it.each([{ gateways: 2 }, { gateways: 3 }])(
        "goes to another gatherer of $gateways, and its request is served",
        async ({ gateways }) => {
            deployment = await Deployment.start({ engines: 1, encode: 1, rank: 1 }, gateways, configuration);
            const gatherer = deployment.gateways.findIndex(
                ({ gateway }) => gateway.pieceRouter.gathererOf("encode") === undefined,
            );
            const encode = deployment.target("encode-0");
            encode.callMs = 60_000;
            const served = callStaged((gatherer + 1) % gateways);
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
