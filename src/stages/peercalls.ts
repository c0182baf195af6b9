/**
 * Calls to other gateways over keep-alive connections.
 *
 * Each stage of a request sends an order and one or two releases, mostly to another gateway; a new connection for each
 * would cost both ends processor time. An idle connection may have been closed by the peer or cut off, which shows only
 * when it is used. When a call fails, all idle connections to that gateway are closed. If the connection turns out to
 * be closed, the call is sent once more on a new one.
 *
 * Whether a gateway is alive is judged from everything that it sends, not from the call that went unanswered: a gateway
 * that is short of processor time answers late, and a connection may go silent although its gateway is alive.
 */
import { Agent } from "node:http";
import {
    type AttemptLimits,
    type AttemptOutcome,
    NO_ANSWER_IN_TIME,
    sendOnPooledConnection,
} from "../gateway/attempt.js";
import { bodyFailureReason, HeldBody } from "../gateway/heldbody.js";
import type { GatewayPeer } from "../gateway/peers.js";
import type { MemoryAccount } from "../memory/index.js";
import { SignsOfLife } from "./signsoflife.js";

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
    /** Called when anything of the answer was received. */
    readonly onProgress?: () => void;
}

/** Outcome of a call. */
export type PeerCallOutcome =
    | { readonly kind: "answered"; readonly text: string }
    /** `isSilent` says that the time for an answer ended, not that the gateway or its machine refused the call. */
    | { readonly kind: "failed"; readonly reason: string; readonly isSilent: boolean };

/** Sends calls to other gateways and reuses the connections. */
export class PeerCalls {
    private readonly agents = new Map<string, Agent>();
    private readonly signs = SignsOfLife.create();

    private constructor(private readonly memory: MemoryAccount) {}

    /** `memory` holds the answers. */
    static create(memory: MemoryAccount): PeerCalls {
        return new PeerCalls(memory);
    }

    /** Posts a JSON text and reads the whole answer. */
    async call(peer: GatewayPeer, path: string, content: string, limits: PeerCallLimits): Promise<PeerCallOutcome> {
        const startedAt = performance.now();
        const outcome = await this.send(peer, path, content, limits);
        if (outcome.kind === "failed" && !limits.signal.aborted) this.signs.recordUnanswered(peer.address, startedAt);
        return outcome;
    }

    private async send(
        { address }: GatewayPeer,
        path: string,
        content: string,
        limits: PeerCallLimits,
    ): Promise<PeerCallOutcome> {
        const sentBody = Buffer.from(content);
        const headers = ["content-type", "application/json", "content-length", String(sentBody.length)];
        const request = { address, method: "POST", path, headers, body: sentBody };
        const hadIdleConnection = this.hasIdleConnection(address);
        let attempt = await sendOnPooledConnection(this.agentOf(address), request, limits);
        if (hadIdleConnection && isClosedEarly(attempt)) {
            this.closeIdle(address);
            attempt = await sendOnPooledConnection(this.agentOf(address), request, limits);
        }
        if (attempt.kind !== "answered") {
            if (attempt.kind !== "cancelled") this.closeIdle(address);
            const reason = "reason" in attempt ? attempt.reason : attempt.kind;
            const isSilent = attempt.kind === "expired" || reason === NO_ANSWER_IN_TIME;
            return { kind: "failed", reason, isSilent };
        }
        const onBytes = (): void => {
            this.signs.recordHeard(address);
            limits.onProgress?.();
        };
        onBytes();
        const holding = { memory: this.memory, party: "gateways", maximumBytes: MAXIMUM_ANSWER_BYTES } as const;
        const { outcome, body } = await HeldBody.read(attempt.body, { ...limits, onBytes }, holding);
        const text = body.bytes.toString();
        body.release();
        if (outcome.kind === "stalled") this.closeIdle(address);
        if (outcome.kind !== "complete") {
            const isSilent = outcome.kind === "stalled" || outcome.kind === "expired";
            return { kind: "failed", reason: bodyFailureReason(outcome), isSilent };
        }
        const { status } = attempt.head;
        if (status !== 200) return { kind: "failed", reason: `status ${status}`, isSilent: false };
        return { kind: "answered", text };
    }

    /** Milliseconds since anything was received from a gateway; infinite if nothing was. */
    silentMs({ address }: GatewayPeer): number {
        return this.signs.silentMs(address);
    }

    /** Milliseconds for which several calls in a row to a gateway have gone unanswered; 0 if the last one was answered. */
    unansweredMs({ address }: GatewayPeer): number {
        return this.signs.unansweredMs(address);
    }

    /** Closes the idle connections to a gateway, which may be dead. */
    renew({ address }: GatewayPeer): void {
        this.closeIdle(address);
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
