/**
 * Gatherers of pieces that are silent for a second and then go on. Their order was closed after the silence, which threw
 * away the work on it, and the request was lost if no other gateway could make its pieces in time.
 */
import { afterEach, describe, expect, it, vi } from "vitest";
import { pause } from "../../src/model/pause.js";
import { KIND } from "../../src/platform/names.js";
import { CONFIGURATION, Deployment } from "./harness.js";
import { StandInGatherer } from "./standingatherer.js";

let deployment: Deployment;
let gatherer: StandInGatherer;

const CALL = {
    path: "/staged/1",
    headers: { "x-parsleyrun-pieces": "1,0", "x-parsleyrun-piece-key": "k", "x-parsleyrun-deadline-ms": "15000" },
};
const PATIENT = {
    ...CONFIGURATION,
    Routes: CONFIGURATION.Routes.map(route => ({ ...route, TimeoutMs: 15_000, TargetLatencyMs: 2_000 })),
};

const ONE_SILENCE = { after: 0, milliseconds: 1_200 };

/** Starts a gateway with targets, and a gatherer that is chosen for every service. */
async function start(targets: number, standIn: StandInGatherer): Promise<void> {
    gatherer = standIn;
    deployment = await Deployment.start({ engines: 1, encode: targets, rank: 1 }, 1, PATIENT);
    deployment.target("engines-0").behaviour = () => ({ kind: "stream", events: 1 });
    const address = await gatherer.listen();
    const capacity = { processors: 16, linkMegabits: 10_000 };
    deployment.platform.put(KIND.gateways, "large", { name: "large", zone: "east", address, capacity });
    await waitForGatherer();
}

function waitForGatherer(): Promise<void> {
    const router = deployment.gateways[0]?.gateway.pieceRouter;
    return vi.waitFor(() => expect(router?.gathererOf("encode")?.name).toBe("large"), 3_000);
}

afterEach(async () => {
    gatherer.close();
    await deployment.close();
});

describe("a gatherer that is silent once for 1.2 s", () => {
    it.each([
        { name: "before its first sign of progress", takesMs: 50, after: 0 },
        { name: "while it works", takesMs: 1_600, after: 300 },
        { name: "as it answers", takesMs: 400, after: 300 },
    ])("$name still gives the result if no other gateway can", async ({ takesMs, after }) => {
        await start(0, new StandInGatherer(() => ({ unreadMs: 0, takesMs }), { after, milliseconds: 1_200 }));
        expect((await deployment.call(CALL)).status).toBe(200);
        expect(gatherer.closedOrders).toBe(0);
        expect(deployment.linesOf("gatherer unreachable")).toMatchObject([{ id: "request-1", service: "encode" }]);
        await vi.waitFor(() => expect(deployment.linesOf("gatherer reachable again")).toHaveLength(1));
        await waitForGatherer();
    });

    it("gives the result if it is sooner than the next gatherer", async () => {
        await start(1, new StandInGatherer(() => ({ unreadMs: 0, takesMs: 50 }), ONE_SILENCE));
        const encode = deployment.target("encode-0");
        encode.callMs = 2_500;
        const startedAt = performance.now();
        expect((await deployment.call(CALL)).status).toBe(200);
        expect(performance.now() - startedAt).toBeLessThan(2_500);
        // The next gatherer is this gateway. It releases the result that is no longer needed.
        await vi.waitFor(() => expect(encode.released).toHaveLength(1), 4_000);
    });

    it("is asked no further once another one has given the result", async () => {
        await start(1, new StandInGatherer(() => ({ unreadMs: 0, takesMs: 2_000 }), ONE_SILENCE));
        expect((await deployment.call(CALL)).status).toBe(200);
        expect(deployment.target("encode-0").pieceCalls).toHaveLength(1);
        await vi.waitFor(() => expect(gatherer.closedOrders).toBe(1));
    });
});

describe("a gatherer that is silent for good", () => {
    it("does not hold a request whose pieces another one has lost", async () => {
        await start(1, new StandInGatherer(() => ({ unreadMs: 0, takesMs: 0 }), { after: 0, milliseconds: 60_000 }));
        deployment.target("encode-0").pieceReasons = () => "error";
        const startedAt = performance.now();
        expect((await deployment.call(CALL)).status).toBe(503);
        expect(performance.now() - startedAt).toBeLessThan(5_000);
    });

    it("holds a request only until another one has given the result", async () => {
        await start(1, new StandInGatherer(() => ({ unreadMs: 0, takesMs: 0 }), { after: 0, milliseconds: 60_000 }));
        expect((await deployment.call(CALL)).status).toBe(200);
        expect(deployment.target("encode-0").pieceCalls).toHaveLength(1);
        await pause(50);
        expect((await deployment.call({ ...CALL, id: "second" })).status).toBe(200);
        expect(gatherer.ordersOf("second")).toBe(0);
    });
});
