/** An exception in work beside requests is logged and does not end the process with all open requests. */
import { afterEach, describe, expect, it, vi } from "vitest";
import { Gossip } from "../../src/gateway/gossip.js";
import type { GatewayPeer, GatewayPeers } from "../../src/gateway/peers.js";
import { RolloutController } from "../../src/gateway/rolloutcontroller.js";
import { Rollouts } from "../../src/gateway/rollouts.js";
import { MemoryAccount } from "../../src/memory/index.js";
import { PeerCalls } from "../../src/stages/index.js";
import { Deployment } from "./harness.js";

const FAILED = "task failed unexpectedly";
const ERROR = new Error("a fault of the program");
const capacity = { processors: 1, linkMegabits: 1 };
const peer = (name: string): GatewayPeer => ({ name, zone: "east", address: "127.0.0.1:7001", capacity });

afterEach(() => {
    vi.useRealTimers();
    vi.restoreAllMocks();
});

describe("an exception", () => {
    it("in an exchange of news does not end it", async () => {
        vi.useFakeTimers();
        const changes: string[] = [];
        const gossip = Gossip.start({
            peers: { self: peer("a"), others: [peer("b")] },
            peerCalls: { call: () => Promise.reject(ERROR) },
            topics: { words: { digest: () => "", news: () => 0, merge: () => true } },
            onChange: change => changes.push(change),
        });
        gossip.spread();
        await vi.advanceTimersByTimeAsync(3_000);
        gossip.stop();
        expect(changes.filter(change => change === FAILED).length).toBeGreaterThanOrEqual(5);
    });

    it("in a write of a roll-out's state leads to another write", async () => {
        vi.useFakeTimers();
        const changes: string[] = [];
        const rollouts = Rollouts.create({ share: 0.1, allowance: 10 }, () => 1);
        rollouts.put({ service: "s", version: "v2", durationMs: 60_000, state: undefined, revision: 1 });
        let writes = 0;
        const controller = RolloutController.create({
            peers: { self: peer("a"), others: [] } as unknown as GatewayPeers,
            peerCalls: PeerCalls.create(MemoryAccount.create({ maximumBytes: 1_000_000 })),
            rollouts,
            isStoreLost: () => false,
            writeState: () => {
                writes += 1;
                return Promise.reject(ERROR);
            },
            onChange: change => changes.push(change),
        });
        controller.follow();
        await vi.advanceTimersByTimeAsync(2_000);
        controller.stop();
        expect(writes).toBeGreaterThanOrEqual(2);
        expect(changes).toContain(FAILED);
    });

    it("in a call for pieces loses these pieces, and the next request is served", async () => {
        const deployment = await Deployment.start({ engines: 1, encode: 1, rank: 1 });
        deployment.target("engines-0").behaviour = () => ({ kind: "stream", events: 3 });
        const targets = deployment.gateways[0]?.gateway.targets;
        if (targets !== undefined) {
            vi.spyOn(targets, "recordSuccess").mockImplementationOnce(() => {
                throw ERROR;
            });
        }
        const headers = { "x-parsleyrun-pieces": "1,1", "x-parsleyrun-piece-key": "k" };
        expect((await deployment.call({ path: "/staged/1", id: "odd", headers })).status).toBe(503);
        await vi.waitFor(() => expect(deployment.linesOf(FAILED)).toHaveLength(1));
        expect((await deployment.call({ path: "/staged/1", headers })).status).toBe(200);
        await deployment.close();
    });
});
