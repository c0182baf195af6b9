/**
 * Spreads what one gateway learns to all: each gateway with news sends what it knows to its successor in the order of names
 * and to a few others at random, in a few rounds, and those do the same with what is new to them. The answer to a message has what the other gateway knows.
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

/** Number of gateways chosen at random to which news is sent in one round. */
const FAN_OUT = 2;

/** Number of gateways that one which has just started asks. */
const FIRST_QUESTIONS = 3;

/** Number of rounds in which news is sent, since a message may be lost. */
const ROUNDS = 3;

/** Time in milliseconds for which news is gathered before the first round, and between rounds. */
const GATHER_MS = 20;
const ROUND_INTERVAL_MS = 100;

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
    readonly peers: Pick<GatewayPeers, "self" | "others">;
    readonly peerCalls: Pick<PeerCalls, "call">;
    /** Knowledge by topic. Gateways of other versions may have other topics. */
    readonly topics: Readonly<Record<string, SharedKnowledge>>;
    readonly onChange: (change: string, fields: LineFields) => void;
    /** Returns numbers from 0 to 1; for the choice of gateways. */
    readonly random?: () => number;
}

/** Exchanges knowledge with other gateways. */
export class Gossip {
    private roundTimer: NodeJS.Timeout | undefined;
    private remainingRounds = 0;
    private readonly exchangeTimer: NodeJS.Timeout;

    private constructor(private readonly environment: GossipEnvironment) {
        this.exchangeTimer = setInterval(() => {
            if (Object.values(environment.topics).every(topic => topic.isEmpty)) return;
            for (const peer of this.somePeers(1)) void this.exchange(peer);
        }, EXCHANGE_INTERVAL_MS);
        this.exchangeTimer.unref();
    }

    static start(environment: GossipEnvironment): Gossip {
        return new Gossip(environment);
    }

    /** Sends what is known to a few gateways soon, and to others after that. */
    spread(): void {
        this.remainingRounds = ROUNDS;
        this.roundTimer ??= setTimeout(() => this.sendRound(), GATHER_MS);
    }

    /** Takes what another gateway knows; returns what this one knows, or undefined if the text is malformed. */
    receive(text: string): string | undefined {
        return this.merge(text) ? this.news() : undefined;
    }

    /** Asks a few gateways for what they know. */
    async learn(): Promise<void> {
        await Promise.all(this.somePeers(FIRST_QUESTIONS).map(peer => this.exchange(peer)));
    }

    stop(): void {
        clearTimeout(this.roundTimer);
        clearInterval(this.exchangeTimer);
    }

    private sendRound(): void {
        this.remainingRounds -= 1;
        this.roundTimer = this.remainingRounds > 0 ? setTimeout(() => this.sendRound(), ROUND_INTERVAL_MS) : undefined;
        const { self, others } = this.environment.peers;
        // By chance alone, some gateways would hear news from nobody.
        const successor = successorOf(self, others);
        const receivers = new Set([...(successor === undefined ? [] : [successor]), ...this.somePeers(FAN_OUT)]);
        for (const peer of receivers) void this.exchange(peer);
    }

    private somePeers(count: number): readonly GatewayPeer[] {
        const { peers, random = Math.random } = this.environment;
        const remaining = [...peers.others];
        const chosen: GatewayPeer[] = [];
        while (chosen.length < count && remaining.length > 0) {
            chosen.push(...remaining.splice(Math.floor(random() * remaining.length), 1));
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

/** The gateway after `self` in the circular order of names; undefined if there is no other one. */
function successorOf(self: GatewayPeer, others: readonly GatewayPeer[]): GatewayPeer | undefined {
    const ordered = [...others].sort((left, right) => (left.name < right.name ? -1 : 1));
    return ordered.find(({ name }) => name > self.name) ?? ordered[0];
}
