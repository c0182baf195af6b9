/** Callers of a soak. They keep using open connections until the process at the other end is gone. */
import { Agent, request } from "node:http";
import { pause } from "../processes/daemons.js";
import type { SoakDeployment } from "./deployment.js";
import type { CallerObservation, RequestKind } from "./promises.js";

/** Kinds of requests. */
export const KINDS: readonly RequestKind[] = ["book", "check", "draft", "chat", "staged", "extra"];

/** Time in milliseconds after its deadline at which a caller gives a request up. */
const PATIENCE_MS = 6_000;

export function pick<Item>(random: () => number, items: readonly Item[]): Item {
    const item = items[Math.floor(random() * items.length)];
    if (item === undefined) throw new Error("nothing to pick from");
    return item;
}

/** Longest answer in characters that a caller keeps; all proper ones are shorter. */
const MAXIMUM_ANSWER = 1_000_000;

/** Sends requests to gateways and records how they end. */
export class SoakCallers {
    readonly observations: CallerObservation[] = [];
    private requests = 0;

    private constructor(
        private readonly deployment: SoakDeployment,
        private readonly prefix: string,
        private readonly deadlineMs: number,
        private readonly random: () => number,
    ) {}

    static create(deployment: SoakDeployment, prefix: string, deadlineMs: number, random: () => number): SoakCallers {
        return new SoakCallers(deployment, prefix, deadlineMs, random);
    }

    /** Sends one request after the other on connections that are kept. */
    async callUntil(isOver: () => boolean): Promise<void> {
        const agent = new Agent({ keepAlive: true });
        while (!isOver()) {
            await this.callOnce(agent);
            await pause(5 + this.random() * 40);
        }
        agent.destroy();
    }

    callOnce(agent: Agent, kinds: readonly RequestKind[] = KINDS): Promise<void> {
        const { gateways, version } = this.deployment;
        const gateway = pick(this.random, gateways);
        // Until a configuration has added a route, there is none to ask for.
        const kind = pick(this.random, version === 1 ? kinds.filter(each => each !== "extra") : kinds);
        this.requests += 1;
        const id = `${this.prefix}-${this.requests}`;
        const addedIn = kind === "extra" ? 2 + Math.floor(this.random() * (version - 1)) : undefined;
        const path = `/${kind === "extra" ? `extra-${addedIn}` : kind}/1`;
        const [host = "", port = ""] = String(gateway.settings.callerAddress).split(":");
        const startedAt = performance.now();
        const incarnation = `${gateway.name} start ${gateway.starts}`;
        return new Promise(resolve => {
            const finish = (status: number, body: string, complete: boolean): void => {
                const times = { startedAt, endedAt: performance.now() };
                const observation = { id, kind, incarnation, ...times, status, body, complete };
                this.observations.push(addedIn === undefined ? observation : { ...observation, addedIn });
                resolve();
            };
            const headers = {
                "host": "desk.example",
                "authorization": "Token good-key",
                "x-parsleyrun-request-id": id,
                "x-parsleyrun-deadline-ms": String(this.deadlineMs),
                ...(kind === "staged" ? { "x-parsleyrun-pieces": "2,1", "x-parsleyrun-piece-key": id } : {}),
            };
            const outgoing = request({ host, port, path, method: "POST", agent, headers }, response => {
                let body = "";
                response.on("data", (chunk: Buffer) => {
                    body += chunk.toString();
                    if (body.length > MAXIMUM_ANSWER) response.destroy();
                });
                response.on("error", () => undefined);
                response.on("close", () => finish(response.statusCode ?? 0, body, response.complete));
            });
            outgoing.setTimeout(this.deadlineMs + PATIENCE_MS, () => outgoing.destroy());
            outgoing.on("error", () => finish(0, "", false));
            outgoing.end("b");
        });
    }
}
