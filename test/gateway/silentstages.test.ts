/**
 * Targets of stages that are silent for longer than a request may take. Its caller must be told at the time limit, not
 * once the gateway has given the call up.
 */
import { afterEach, describe, expect, it, vi } from "vitest";
import { CONFIGURATION, Deployment } from "./harness.js";

let deployment: Deployment;

afterEach(() => deployment.close());

const TIMEOUT_MS = 1_500;
const SLACK_MS = 500;

/** Calls that are expected to take this long are given up late enough for the second one to outlast the request. */
const Services = CONFIGURATION.Services.map(service =>
    "Segments" in service ? { ...service, Segments: { ...service.Segments, CallMs: 200 } } : service,
);

describe("a request whose stage's target is silent", () => {
    it.each([{ gateways: 1 }, { gateways: 2 }])("is refused in time by one of $gateways", async ({ gateways }) => {
        const Routes = CONFIGURATION.Routes.map(route => ({ ...route, TimeoutMs: TIMEOUT_MS }));
        const configuration = { ...CONFIGURATION, Routes, Services };
        deployment = await Deployment.start({ engines: 1, encode: 1, rank: 1 }, gateways, configuration);
        deployment.target("encode-0").callMs = 6_000;
        const headers = { "x-parsleyrun-pieces": "2,1", "x-parsleyrun-piece-key": "key" };
        const longerDeadline = { ...headers, "x-parsleyrun-deadline-ms": "6000" };
        const startedAt = performance.now();
        const answers = await Promise.all(
            Array.from({ length: gateways }, (_, gateway) =>
                deployment.call({ path: "/staged/1", id: `request-${gateway}`, headers: longerDeadline }, gateway),
            ),
        );
        expect(performance.now() - startedAt).toBeLessThan(TIMEOUT_MS + SLACK_MS);
        expect(answers.map(({ status }) => status)).toEqual(answers.map(() => 503));
    });

    it("leaves no results behind that the target makes later", async () => {
        const Routes = CONFIGURATION.Routes.map(route => ({ ...route, TimeoutMs: 300 }));
        deployment = await Deployment.start({ engines: 1, encode: 1, rank: 1 }, 1, { ...CONFIGURATION, Routes });
        const encode = deployment.target("encode-0");
        encode.callMs = 400;
        const headers = { "x-parsleyrun-pieces": "2,1", "x-parsleyrun-piece-key": "key" };
        expect((await deployment.call({ path: "/staged/1", headers })).status).toBe(503);
        await vi.waitFor(() => expect(new Set(encode.released).size).toBe(2));
    });
});

// Guards against a planned stop that waits for the call of a stage and then ends without a response.
it("is refused by a gateway that stops", async () => {
    const Routes = CONFIGURATION.Routes.map(route => ({ ...route, TimeoutMs: 15_000 }));
    const safeRoutes = Routes.map(route => ("Phases" in route ? { ...route, Kind: "safe" } : route));
    deployment = await Deployment.start({ engines: 1, encode: 1, rank: 1 }, 1, {
        ...CONFIGURATION,
        Routes: safeRoutes,
        Services: CONFIGURATION.Services.map(service =>
            "Segments" in service ? { ...service, Segments: { ...service.Segments, CallMs: 900 } } : service,
        ),
    });
    const encode = deployment.target("encode-0");
    encode.callMs = 60_000;
    const headers = {
        "x-parsleyrun-pieces": "2,1",
        "x-parsleyrun-piece-key": "key",
        "x-parsleyrun-deadline-ms": "15000",
    };
    const open = deployment.call({ path: "/staged/1", headers });
    await vi.waitFor(() => expect(encode.pieceCalls).toHaveLength(1));
    const stopped = deployment.gateways[0]?.stop();
    expect((await open).status).toBe(503);
    await stopped;
    expect(deployment.linesOf("stopped")).toMatchObject([{ openRequests: 0 }]);
}, 20_000);
