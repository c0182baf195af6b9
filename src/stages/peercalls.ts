/**
 * Calls to other gateways, on connections that are kept.
 *
 * Each stage of a request takes an order and one or two releases, mostly to another gateway, and opening and closing
 * connections costs both ends processor time. A kept connection may have been closed by the other end or be cut off, which
 * shows only when it is used: then all unused ones to that gateway are given up, and the call is made once more on a new one
 * if the connection was found closed.
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

/** Connections that are kept to one gateway while nothing uses them. */
const MAXIMUM_FREE_CONNECTIONS = 16;

/** Time in milliseconds for which an unused connection is kept; less than the other end keeps it. */
const FREE_CONNECTION_MS = 3_000;

/** Largest answer of a gateway in bytes. */
const MAXIMUM_ANSWER_BYTES = 1_048_576;

/** Limits of a call. */
export interface PeerCallLimits extends AttemptLimits {
    /** Longest silence in milliseconds within an answer; undefined for no limit but the deadline. */
    readonly stallTimeoutMs?: number | undefined;
}

/** What a call came to. */
export type PeerCallOutcome =
    { readonly kind: "answered"; readonly text: string } | { readonly kind: "failed"; readonly reason: string };

/** The kept connections to other gateways. */
export class PeerCalls {
    private readonly agents = new Map<string, Agent>();

    private constructor() {}

    static create(): PeerCalls {
        return new PeerCalls();
    }

    /** Sends a JSON text and reads the answer. */
    async call({ address }: GatewayPeer, path: string, text: string, limits: PeerCallLimits): Promise<PeerCallOutcome> {
        const body = Buffer.from(text);
        const headers = ["content-type", "application/json", "content-length", String(body.length)];
        const order = { address, method: "POST", path, headers, body };
        const hadFree = this.hasFree(address);
        let sent = await sendOnPooledConnection(this.agentOf(address), order, limits);
        if (hadFree && isClosedEarly(sent)) {
            this.giveUp(address);
            sent = await sendOnPooledConnection(this.agentOf(address), order, limits);
        }
        if (sent.kind !== "answered") {
            if (sent.kind !== "cancelled") this.giveUp(address);
            return { kind: "failed", reason: "reason" in sent ? sent.reason : sent.kind };
        }
        const { outcome, bytes } = await readBody(sent.body, limits, MAXIMUM_ANSWER_BYTES);
        if (outcome.kind === "stalled") this.giveUp(address);
        if (outcome.kind !== "complete") return { kind: "failed", reason: `answer ${outcome.kind}` };
        if (sent.head.status !== 200) return { kind: "failed", reason: `status ${sent.head.status}` };
        return { kind: "answered", text: bytes.toString() };
    }

    /** Closes the unused connections. */
    close(): void {
        for (const address of [...this.agents.keys()]) this.giveUp(address);
    }

    private agentOf(address: string): Agent {
        const existing = this.agents.get(address);
        if (existing !== undefined) return existing;
        const created = new Agent({
            keepAlive: true,
            maxFreeSockets: MAXIMUM_FREE_CONNECTIONS,
            noDelay: true,
            timeout: FREE_CONNECTION_MS,
        });
        this.agents.set(address, created);
        return created;
    }

    private hasFree(address: string): boolean {
        return Object.keys(this.agents.get(address)?.freeSockets ?? {}).length > 0;
    }

    /** Gives up the unused connections to a gateway; calls in progress go on. */
    private giveUp(address: string): void {
        const agent = this.agents.get(address);
        if (agent === undefined) return;
        this.agents.delete(address);
        for (const sockets of Object.values(agent.freeSockets)) for (const socket of sockets ?? []) socket.destroy();
    }
}

/** Whether a connection was found closed, so that the other end has probably not read the call. */
function isClosedEarly(outcome: AttemptOutcome): boolean {
    return outcome.kind === "broken" && outcome.reason !== NO_ANSWER_IN_TIME;
}
