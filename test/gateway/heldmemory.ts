/** A gateway whose account of held memory can be read, and a caller that is connected to it. */
import type { MemoryAccount } from "../../src/memory/index.js";
import { Deployment } from "./harness.js";
import { RawCaller } from "./rawcaller.js";

/** What such a test works with; the test closes the caller and the deployment. */
export interface HeldMemory {
    readonly deployment: Deployment;
    readonly caller: RawCaller;
    readonly memory: MemoryAccount;
}

/** Starts a gateway with targets by service, and connects a caller. */
export async function startHeldMemory(services: Readonly<Record<string, number>>): Promise<HeldMemory> {
    const deployment = await Deployment.start(services);
    const caller = await RawCaller.connect(deployment.callers[0] ?? "");
    const [process] = deployment.gateways;
    if (process === undefined) throw new Error("no gateway");
    return { deployment, caller, memory: process.gateway.context.memory };
}
