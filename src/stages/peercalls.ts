/**
 * Calls to other gateways over keep-alive connections.
 *
 * Each stage of a request sends an order and one or two releases, mostly to another gateway; a new connection for each
 * would cost both ends processor time. An idle connection may have been closed by the peer or cut off, which shows only
 * when it is used. When a call fails, all idle connections to that gateway are closed. If the connection turns out to
 * be closed, the call is sent once more on a new one.
 */
import { Agent } from "node:http";
import {
    type AttemptLimits,
    type AttemptOutcome,
    NO_ANSWER_IN_TIME,
    readBody,
    sendOnPooledConnection,
} from "../gateway/attempt.js";
import type { GatewayPeer } from "../gateway/peers.js";

/** Idle connections kept open to one gateway. */
const MAXIMUM_IDLE_CONNECTIONS = 16;

/** Time in milliseconds for which an idle connection is kept; shorter than the peer keeps it. */
const IDLE_CONNECTION_TIMEOUT_MS = 3_000;

/** Largest answer of a gateway in bytes. */
const MAXIMUM_ANSWER_BYTES = 1_048_576;

/** Limits of a call. */
export interface PeerCallLimits extends AttemptLimits {
    /** Longest silence in milliseconds within an answer; undefined for no limit but the deadline. */
    readonly stallTimeoutMs?: number | undefined;
}

/** Outcome of a call. */
export type PeerCallOutcome =
    { readonly kind: "answered"; readonly text: string } | { readonly kind: "failed"; readonly reason: string };

/** Sends calls to other gateways and reuses the connections. */
export class PeerCalls {
    private readonly agents = new Map<string, Agent>();

    private constructor() {}

    static create(): PeerCalls {
        return new PeerCalls();
    }

    /** Posts a JSON text and reads the whole answer. */
    async call({ address }: GatewayPeer, path: string, text: string, limits: PeerCallLimits): Promise<PeerCallOutcome> {
        const body = Buffer.from(text);
        const headers = ["content-type", "application/json", "content-length", String(body.length)];
        const request = { address, method: "POST", path, headers, body };
        const hadIdleConnection = this.hasIdleConnection(address);
        let attempt = await sendOnPooledConnection(this.agentOf(address), request, limits);
        if (hadIdleConnection && isClosedEarly(attempt)) {
            this.closeIdle(address);
            attempt = await sendOnPooledConnection(this.agentOf(address), request, limits);
        }
        if (attempt.kind !== "answered") {
            if (attempt.kind !== "cancelled") this.closeIdle(address);
            return { kind: "failed", reason: "reason" in attempt ? attempt.reason : attempt.kind };
        }
        const { outcome, bytes } = await readBody(attempt.body, limits, MAXIMUM_ANSWER_BYTES);
        if (outcome.kind === "stalled") this.closeIdle(address);
        if (outcome.kind !== "complete") return { kind: "failed", reason: `answer ${outcome.kind}` };
        if (attempt.head.status !== 200) return { kind: "failed", reason: `status ${attempt.head.status}` };
        return { kind: "answered", text: bytes.toString() };
    }

    /** Closes all idle connections. */
    close(): void {
        for (const address of [...this.agents.keys()]) this.closeIdle(address);
    }

    private agentOf(address: string): Agent {
        const existing = this.agents.get(address);
        if (existing !== undefined) return existing;
        const created = new Agent({
            keepAlive: true,
            maxFreeSockets: MAXIMUM_IDLE_CONNECTIONS,
            noDelay: true,
            timeout: IDLE_CONNECTION_TIMEOUT_MS,
        });
        this.agents.set(address, created);
        return created;
    }

    private hasIdleConnection(address: string): boolean {
        return Object.keys(this.agents.get(address)?.freeSockets ?? {}).length > 0;
    }

    /** Closes the idle connections to a gateway; calls in progress continue. */
    private closeIdle(address: string): void {
        const agent = this.agents.get(address);
        if (agent === undefined) return;
        this.agents.delete(address);
        for (const sockets of Object.values(agent.freeSockets)) for (const socket of sockets ?? []) socket.destroy();
    }
}

/** Whether the connection broke before an answer, so that the peer has probably not read the call. */
function isClosedEarly(outcome: AttemptOutcome): boolean {
    return outcome.kind === "broken" && outcome.reason !== NO_ANSWER_IN_TIME;
}
