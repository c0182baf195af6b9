/**
 * A gatherer that is alive but slow to answer an order must not be replaced: a second gatherer would send calls to the
 * same targets, and orders would be made twice.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { KIND } from "../../src/platform/names.js";
import { Deployment } from "./harness.js";
import { StandInGatherer } from "./standingatherer.js";

/** Time in milliseconds for which the gatherer leaves an order unread; longer than the timeout of an order. */
const UNREAD_MS = 1_000;

let deployment: Deployment;
let gatherer: StandInGatherer;

async function startWith(slow: StandInGatherer): Promise<void> {
    gatherer = slow;
    const address = await gatherer.listen();
    const capacity = { processors: 16, linkMegabits: 10_000 };
    deployment.platform.put(KIND.gateways, "large", { name: "large", zone: "east", address, capacity });
    const router = deployment.gateways[0]?.gateway.pieceRouter;
    await vi.waitFor(() => expect(router?.gathererOf("encode")?.name).toBe("large"));
}

function callStaged(id: string): Promise<number> {
    const headers = { "x-parsleyrun-pieces": "1,0", "x-parsleyrun-piece-key": "k" };
    return deployment.call({ path: "/staged/1", headers, id }).then(({ status }) => status);
}

beforeEach(async () => {
    deployment = await Deployment.start({ engines: 1, encode: 1, rank: 1 });
    deployment.target("engines-0").behaviour = () => ({ kind: "stream", events: 1 });
});

afterEach(async () => {
    gatherer.close();
    await deployment.close();
});

describe("a gatherer", () => {
    it("that leaves one order unread while it works on another is not taken for unreachable", async () => {
        await startWith(
            new StandInGatherer(({ stage }) =>
                stage?.requestId === "steady" ? { unreadMs: 0, takesMs: 1_600 } : { unreadMs: UNREAD_MS, takesMs: 50 },
            ),
        );
        const steady = callStaged("steady");
        await vi.waitFor(() => expect(gatherer.ordersOf("steady")).toBe(1));
        expect(await callStaged("unread")).toBe(200);
        expect(await steady).toBe(200);
        expect(deployment.linesOf("gatherer unreachable")).toEqual([]);
        expect(deployment.target("encode-0").pieceCalls).toEqual([]);
        await vi.waitFor(() => expect(deployment.linesOf("order sent again")).toHaveLength(1));
    });

    it("that is silent altogether is replaced", async () => {
        await startWith(new StandInGatherer(() => ({ unreadMs: 5_000, takesMs: 0 })));
        expect(await callStaged("silent")).toBe(200);
        await vi.waitFor(() => expect(deployment.linesOf("gatherer unreachable")).toHaveLength(1));
        expect(deployment.target("encode-0").pieceCalls).toHaveLength(1);
    });
});
