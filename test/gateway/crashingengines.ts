/** What tests of prompt parts that crash engines share: engines that are back after a crash, and requests with parts. */
import { type CallAnswer, type Deployment } from "./harness.js";

/** Number of crashes after which a part is known, and of requests that may still reach targets then. */
export const CRASHES_TO_RECOGNISE = 5;
export const REQUESTS_AFTER_RECOGNITION = 3;

/** Time in milliseconds for which a crashed engine is down. */
export const DOWN_MS = 120;

/** Registers targets again when they are back after a crash, with a later start. */
export function registerAfterCrashes(deployment: Deployment, service: string): void {
    for (const target of deployment.targets.values()) {
        target.onRestart = () => deployment.register(service, target.id, { born: 1_000 + target.crashCount });
    }
}

/** Number of crashes of all targets. */
export function crashesOf(deployment: Deployment): number {
    return [...deployment.targets.values()].reduce((sum, { crashCount }) => sum + crashCount, 0);
}

/** A streaming request whose prompt has these parts and one of its own. */
export interface PromptRequest {
    readonly id: string;
    readonly path: string;
    readonly parts: readonly string[];
}

/** Sends a request to a gateway. */
export function ask(deployment: Deployment, { id, path, parts }: PromptRequest, gateway: number): Promise<CallAnswer> {
    const prompt = [...parts, `own-${id}`].map(part => `${part}:100`).join(",");
    const headers = { "x-parsleyrun-prefix-hash": prompt, "x-parsleyrun-token-count": "400,10" };
    return deployment.call({ id, path, body: `body of ${id}`, headers }, gateway);
}
