/**
 * Spreads what one gateway learns to all. A gateway with news sends what it knows to its successor in the order of names and
 * to a few others at random, in a few rounds, and those do the same with what is new to them.
 *
 * Each gateway also compares a digest of what it knows with that of one other every second, and both exchange what they
 * know if the digests differ. This reaches gateways that were cut off. No gateway has a special task, so the loss of any
 * of them delays news but does not stop it.
 */
import { createHash } from "node:crypto";
import { z } from "zod";
import { type OnTaskFailure, runInBackground } from "../model/background.js";
import { Deadline } from "../model/index.js";
import { parseJson } from "../model/json.js";
import type { LineFields } from "../observability/index.js";
import type { PeerCalls } from "../stages/index.js";
import { NEVER_ABORTED } from "./attempt.js";
import { NewsPace } from "./newspace.js";
import type { GatewayPeer, GatewayPeers } from "./peers.js";

/** Path of the interface between gateways on which news is exchanged. */
export const NEWS_PATH = "/news";

/** Number of gateways chosen at random to which news is sent in one round. */
const FAN_OUT = 2;

/** Number of gateways that one which has just started asks. */
const FIRST_QUESTIONS = 3;

/** Number of rounds in which news is sent, since a message may be lost. */
const ROUNDS = 3;

/** Time in milliseconds for which news is gathered before the first round. */
const GATHER_MS = 20;

/** Time in milliseconds for which something is news to the gateways that are told of it, longer than all rounds. */
const RECENT_MS = 2_000;

/** Interval in milliseconds at which digests are compared. */
const COMPARE_INTERVAL_MS = 1_000;

/** Time in milliseconds for an answer. */
const ANSWER_TIMEOUT_MS = 500;

/** A message or its answer; the digest is that of the sender. */
const messageSchema = z.object({ digest: z.string(), topics: z.record(z.string(), z.unknown()).optional() });

type Message = z.infer<typeof messageSchema>;

/** How much of what is known a message has. */
type Extent = "nothing" | "recent" | "all";

/** The knowledge that is spread. */
export interface SharedKnowledge {
    /** A text that is the same at all gateways that know the same. */
    digest(): string;
    /**
     * What is known, as a value that can be encoded as JSON. With `withinMs`, what has not changed in these last milliseconds
     * may be left out.
     */
    news(withinMs?: number): unknown;
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
    private readonly compareTimer: NodeJS.Timeout;
    private readonly pace = NewsPace.create();

    private constructor(private readonly environment: GossipEnvironment) {
        this.compareTimer = setInterval(() => {
            for (const peer of this.somePeers(1)) this.run(() => this.compare(peer));
        }, COMPARE_INTERVAL_MS);
        this.compareTimer.unref();
    }

    static start(environment: GossipEnvironment): Gossip {
        return new Gossip(environment);
    }

    /** Sends what is known to a few gateways soon, and to others after that. */
    spread(): void {
        this.remainingRounds = ROUNDS;
        this.roundTimer ??= setTimeout(() => this.sendRound(), Math.max(GATHER_MS, this.pace.waitMs()));
    }

    /**
     * Takes a message of another gateway. Returns the answer, with what this gateway knows if that differs, or undefined if
     * the message is malformed.
     */
    receive(text: string): string | undefined {
        return this.pace.measure(() => {
            const message = this.merge(text);
            if (message === undefined) return undefined;
            if (message.digest === this.digest()) return this.encode("nothing");
            return this.encode(message.topics === undefined ? "all" : "recent");
        });
    }

    /** Asks a few gateways for what they know. */
    async learn(): Promise<void> {
        await Promise.all(this.somePeers(FIRST_QUESTIONS).map(peer => this.compare(peer)));
    }

    stop(): void {
        clearTimeout(this.roundTimer);
        clearInterval(this.compareTimer);
    }

    private run(exchange: () => Promise<unknown>): void {
        const onFailure: OnTaskFailure = fields => this.environment.onChange("task failed unexpectedly", fields);
        runInBackground("exchange of news", onFailure, exchange);
    }

    private sendRound(): void {
        this.remainingRounds -= 1;
        this.pace.recordRound();
        this.roundTimer = this.remainingRounds > 0 ? setTimeout(() => this.sendRound(), this.pace.waitMs()) : undefined;
        const { self, others } = this.environment.peers;
        // By chance alone, some gateways would hear news from nobody.
        const successor = successorOf(self, others);
        const receivers = new Set([...(successor === undefined ? [] : [successor]), ...this.somePeers(FAN_OUT)]);
        for (const peer of receivers) this.run(() => this.send(peer, "recent"));
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

    /** Compares digests with another gateway. If they differ, both learn what the other one knows. */
    async compare(peer: GatewayPeer): Promise<void> {
        const answer = await this.send(peer, "nothing");
        if (answer !== undefined && answer.digest !== this.digest()) await this.send(peer, "all");
    }

    /** Sends a message and takes the answer; undefined if there is none. */
    private async send(peer: GatewayPeer, extent: Extent): Promise<Message | undefined> {
        const { peerCalls, onChange } = this.environment;
        const limits = { deadline: Deadline.after(ANSWER_TIMEOUT_MS), signal: NEVER_ABORTED };
        const text = this.pace.measure(() => this.encode(extent));
        const outcome = await peerCalls.call(peer, NEWS_PATH, text, limits);
        if (outcome.kind === "failed") {
            onChange("news not exchanged", { peer: peer.name, reason: outcome.reason });
            return undefined;
        }
        const answer = this.pace.measure(() => this.merge(outcome.text));
        if (answer === undefined) onChange("news malformed", { peer: peer.name });
        return answer;
    }

    private digest(): string {
        const hash = createHash("sha256");
        for (const [name, topic] of Object.entries(this.environment.topics)) {
            hash.update(`${name}\n${topic.digest()}\n`);
        }
        return hash.digest("base64url");
    }

    private encode(extent: Extent): string {
        const digest = this.digest();
        if (extent === "nothing") return JSON.stringify({ digest } satisfies Message);
        const withinMs = extent === "recent" ? RECENT_MS : undefined;
        const topics = Object.entries(this.environment.topics).map(([name, topic]) => [name, topic.news(withinMs)]);
        return JSON.stringify({ digest, topics: Object.fromEntries(topics) } satisfies Message);
    }

    /** Takes over what a message tells; undefined if it is malformed. */
    private merge(text: string): Message | undefined {
        const message = messageSchema.safeParse(parseJson(text)).data;
        const { topics = {} } = message ?? {};
        const known = Object.entries(this.environment.topics).filter(([name]) => name in topics);
        const isMerged = known.map(([name, topic]) => topic.merge(topics[name])).every(Boolean);
        return isMerged ? message : undefined;
    }
}

/** The gateway after `self` in the circular order of names; undefined if there is no other one. */
function successorOf(self: GatewayPeer, others: readonly GatewayPeer[]): GatewayPeer | undefined {
    const ordered = [...others].sort((left, right) => (left.name < right.name ? -1 : 1));
    return ordered.find(({ name }) => name > self.name) ?? ordered[0];
}
