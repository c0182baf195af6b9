/**
 * Spreads what one gateway learns to all: each gateway with news sends what it knows to a few others at random, and
 * those do the same with what is new to them. The answer to a message has what the other gateway knows.
 *
 * No gateway has a special task, so the loss of any of them or a cut between some delays news but does not stop it. While
 * there is anything to know, a gateway also exchanges it with one other now and then, which reaches those that were cut
 * off. One that has just started asks a few others.
 */
import { z } from "zod";
import { Deadline } from "../model/index.js";
import { parseJson } from "../model/json.js";
import type { LineFields } from "../observability/index.js";
import type { PeerCalls } from "../stages/index.js";
import { NEVER_ABORTED } from "./attempt.js";
import type { GatewayPeer, GatewayPeers } from "./peers.js";

/** Path of the interface between gateways on which news is exchanged. */
export const NEWS_PATH = "/news";

/** Number of gateways to which news is sent; news reaches hundreds of gateways in six steps. */
const FAN_OUT = 3;

/** Time in milliseconds for which news is gathered before it is sent. */
const GATHER_MS = 20;

/** Interval in milliseconds of exchanges without news. */
const EXCHANGE_INTERVAL_MS = 1_000;

/** Time in milliseconds for an answer. */
const ANSWER_TIMEOUT_MS = 500;

const messageSchema = z.record(z.string(), z.unknown());

/** The knowledge that is spread. */
export interface SharedKnowledge {
    readonly isEmpty: boolean;
    /** What is known, as a value that can be encoded as JSON. */
    news(): unknown;
    /** Takes over what another gateway knows. Returns false if it is malformed. */
    merge(news: unknown): boolean;
}

/** What gossip depends on. */
export interface GossipEnvironment {
    readonly peers: GatewayPeers;
    readonly peerCalls: PeerCalls;
    /** Knowledge by topic. Gateways of other versions may have other topics. */
    readonly topics: Readonly<Record<string, SharedKnowledge>>;
    readonly onChange: (change: string, fields: LineFields) => void;
}

/** Exchanges knowledge with other gateways. */
export class Gossip {
    private sendTimer: NodeJS.Timeout | undefined;
    private readonly exchangeTimer: NodeJS.Timeout;

    private constructor(private readonly environment: GossipEnvironment) {
        this.exchangeTimer = setInterval(() => {
            if (Object.values(environment.topics).some(topic => !topic.isEmpty)) this.exchangeWithSome(1);
        }, EXCHANGE_INTERVAL_MS);
        this.exchangeTimer.unref();
    }

    static start(environment: GossipEnvironment): Gossip {
        return new Gossip(environment);
    }

    /** Sends what is known to a few gateways soon. */
    spread(): void {
        this.sendTimer ??= setTimeout(() => {
            this.sendTimer = undefined;
            this.exchangeWithSome(FAN_OUT);
        }, GATHER_MS);
    }

    /** Takes what another gateway knows; returns what this one knows, or undefined if the text is malformed. */
    receive(text: string): string | undefined {
        return this.merge(text) ? this.news() : undefined;
    }

    /** Asks a few gateways for what they know. */
    async learn(): Promise<void> {
        await Promise.all(this.somePeers(FAN_OUT).map(peer => this.exchange(peer)));
    }

    stop(): void {
        clearTimeout(this.sendTimer);
        clearInterval(this.exchangeTimer);
    }

    private exchangeWithSome(count: number): void {
        for (const peer of this.somePeers(count)) void this.exchange(peer);
    }

    private somePeers(count: number): readonly GatewayPeer[] {
        const remaining = [...this.environment.peers.others];
        const chosen: GatewayPeer[] = [];
        while (chosen.length < count && remaining.length > 0) {
            chosen.push(...remaining.splice(Math.floor(Math.random() * remaining.length), 1));
        }
        return chosen;
    }

    private async exchange(peer: GatewayPeer): Promise<void> {
        const { peerCalls, onChange } = this.environment;
        const limits = { deadline: Deadline.after(ANSWER_TIMEOUT_MS), signal: NEVER_ABORTED };
        const answer = await peerCalls.call(peer, NEWS_PATH, this.news(), limits);
        if (answer.kind === "failed") onChange("news not exchanged", { peer: peer.name, reason: answer.reason });
        else if (!this.merge(answer.text)) onChange("news malformed", { peer: peer.name });
    }

    private news(): string {
        const topics = Object.entries(this.environment.topics);
        return JSON.stringify(Object.fromEntries(topics.map(([name, topic]) => [name, topic.news()])));
    }

    private merge(text: string): boolean {
        const parsed = messageSchema.safeParse(parseJson(text));
        if (!parsed.success) return false;
        const known = Object.entries(this.environment.topics).filter(([name]) => name in parsed.data);
        return known.map(([name, topic]) => topic.merge(parsed.data[name])).every(Boolean);
    }
}
