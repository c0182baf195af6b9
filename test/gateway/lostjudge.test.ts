/**
 * The gateway that judges a roll-out is lost for good and stays registered. Another one must judge: before, no state was
 * written, and a bad version kept its share of the requests.
 */
import { createServer, type Server } from "node:net";
import { afterEach, describe, expect, it, vi } from "vitest";
import { chooseCoordinator } from "../../src/gateway/coordinator.js";
import { pause } from "../../src/model/pause.js";
import { Deployment } from "./harness.js";

const GATEWAYS = 3;
const DURATION_SECONDS = 4;

let deployment: Deployment;
let silent: Server | undefined;

afterEach(async () => {
    silent?.close();
    silent = undefined;
    await deployment.close();
});

/** Sends a request to each of the gateways every few milliseconds until the stored state is decided; returns that state. */
async function rollOut(gateways: readonly number[]): Promise<unknown> {
    deployment.platform.put("rollouts", "engines", {
        Service: "engines",
        Target: "v2",
        DurationS: DURATION_SECONDS,
    });
    const state = (): string =>
        (deployment.platform.status("rollouts", "engines") as { State?: string } | undefined)?.State ?? "";
    const open: Promise<unknown>[] = [];
    const end = performance.now() + 2 * DURATION_SECONDS * 1_000;
    for (let number = 0; !["completed", "reverted"].includes(state()) && performance.now() < end; number += 1) {
        for (const gateway of gateways) {
            open.push(deployment.call({ path: "/draft/1", id: `request-${gateway}-${number}` }, gateway));
        }
        await pause(10);
    }
    await Promise.all(open);
    return state();
}

describe("a roll-out whose judge was lost before", () => {
    it.each([
        { how: "refuses connections", isSilent: false, isBad: true, state: "reverted" },
        { how: "accepts connections and says nothing", isSilent: true, isBad: true, state: "reverted" },
        { how: "refuses connections", isSilent: false, isBad: false, state: "completed" },
    ])(
        "and $how is $state",
        async ({ isSilent, isBad, state }) => {
            deployment = await Deployment.start({ engines: 3 }, GATEWAYS);
            for (const target of deployment.targets.values()) target.behaviour = () => ({ kind: "stream", events: 2 });
            for (const id of ["engines-8", "engines-9"]) {
                const target = await deployment.addTarget("engines", id, { Version: "v2" });
                target.behaviour = () => (isBad ? { kind: "answer", status: 500 } : { kind: "stream", events: 2 });
            }
            const selves = deployment.gateways.map(({ gateway }) => gateway.self);
            const judge = selves.findIndex(self => self === chooseCoordinator("rollout engines", selves));
            await deployment.gateways[judge]?.kill();
            if (isSilent) {
                const [host = "", port = ""] = (deployment.peers[judge] ?? "").split(":");
                silent = createServer(socket => socket.on("error", () => undefined)).listen(Number(port), host);
            }
            const remaining = [0, 1, 2].filter(index => index !== judge);
            await vi.waitFor(() => expect(deployment.platform.names("parsleyrun-gateways")).toHaveLength(GATEWAYS));
            expect(await rollOut(remaining)).toBe(state);
            expect(deployment.linesOf("rollout taken over")).toMatchObject([{ rank: 1, service: "engines" }]);
        },
        20_000,
    );
});
