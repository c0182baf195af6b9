/**
 * Stage services that the gateway's configuration does not name, beside a change of it. A request whose pieces are never
 * looked at again gets neither an answer nor a refusal.
 */
import { afterEach, describe, expect, it, vi } from "vitest";
import { piecesOf } from "../stages/pieces.js";
import { type CallAnswer, CONFIGURATION, Deployment } from "./harness.js";

let deployment: Deployment;

afterEach(() => deployment.close());

const STAGED = CONFIGURATION.Routes.map(route => ({ ...route, TargetLatencyMs: 1_500 }));
const WITH_STAGES = { ...CONFIGURATION, Routes: STAGED };
const WITHOUT_STAGES = {
    ...CONFIGURATION,
    Version: 2,
    Routes: STAGED.filter(route => !("Phases" in route)),
    Services: CONFIGURATION.Services.filter(({ Name }) => Name !== "encode" && Name !== "rank"),
};

function callStaged(id: string): Promise<CallAnswer> {
    const headers = { "x-parsleyrun-pieces": "1,0", "x-parsleyrun-piece-key": "key" };
    return deployment.call({ path: "/staged/1", id, headers, leaveAfterMs: 3_000 });
}

async function waitForQueuedPiece(): Promise<void> {
    await vi.waitFor(() => expect(deployment.gateways[0]?.gateway.queueOf("encode").length).toBe(1));
}

async function changeConfiguration(configuration: { readonly Version: number }): Promise<void> {
    deployment.platform.put("config", "main", configuration);
    await vi.waitFor(() => expect(deployment.gateways[0]?.gateway.configuration?.version).toBe(configuration.Version));
}

describe("a request whose stage service is removed from the configuration", () => {
    it("while its pieces wait is still answered", async () => {
        deployment = await Deployment.start({ engines: 1, encode: 1, rank: 1 }, 1, WITH_STAGES);
        deployment.target("engines-0").behaviour = () => ({ kind: "stream", events: 1 });
        const encode = deployment.target("encode-0");
        encode.callMs = 400;
        const first = callStaged("first");
        await vi.waitFor(() => expect(encode.pieceCalls).toHaveLength(1));
        const second = callStaged("second");
        await waitForQueuedPiece();
        await changeConfiguration(WITHOUT_STAGES);
        expect((await Promise.all([first, second])).map(({ status }) => status)).toEqual([200, 200]);
    });

    it("and whose targets are gone is refused", async () => {
        deployment = await Deployment.start({ engines: 1, encode: 0, rank: 1 }, 1, WITH_STAGES);
        const answered = callStaged("first");
        await waitForQueuedPiece();
        await changeConfiguration(WITHOUT_STAGES);
        expect((await answered).status).toBe(503);
    });
});

// Another gateway may have the new configuration sooner than the gatherer of its pieces.
describe("pieces of a service that is not configured yet", () => {
    it("are made once it is", async () => {
        deployment = await Deployment.start({ engines: 1, encode: 1, rank: 1 }, 1, WITHOUT_STAGES);
        const queue = deployment.gateways[0]?.gateway.queueOf("encode");
        const made = queue?.make(piecesOf("first", 2), new AbortController().signal);
        await changeConfiguration({ ...WITH_STAGES, Version: 3 });
        expect((await made)?.map(({ kind }) => kind)).toEqual(["made", "made"]);
    });

    it("are lost at their deadline if it is not", async () => {
        deployment = await Deployment.start({ engines: 1, encode: 1, rank: 1 }, 1, WITHOUT_STAGES);
        const queue = deployment.gateways[0]?.gateway.queueOf("encode");
        const results = await queue?.make(piecesOf("first", 2, { deadlineMs: 300 }), new AbortController().signal);
        expect(results).toMatchObject([{ reason: "late" }, { reason: "late" }]);
    });
});
