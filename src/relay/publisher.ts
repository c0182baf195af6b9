/**
 * Passes on to followers what the store has said to this gateway.
 *
 * Followers get it only as the store has said it to this gateway itself, never at second hand, and are sent away as soon
 * as the store does not answer.
 */
import type { ServerResponse } from "node:http";
import type { ListOutcome, WatchOutcome } from "../store/index.js";
import { CONFIRM_INTERVAL_MS, encodeMessage, type RelayMessage } from "./message.js";
import { Mirror } from "./mirror.js";

/** Bytes that may wait for a follower that does not read, before its connection is closed. */
const MAXIMUM_WAITING_BYTES = 4 * 1024 * 1024;

interface Source {
    readonly mirror: Mirror;
    /** Time on the monotonic clock at which the store was asked for its latest answer. */
    confirmedAt: number;
}

/** Publishes the answers of the store. */
export class Publisher {
    private readonly sources = new Map<string, Source>();
    private readonly followers = new Set<ServerResponse>();
    private confirmTimer: NodeJS.Timeout | undefined;

    private constructor() {}

    static create(): Publisher {
        return new Publisher();
    }

    get followerCount(): number {
        return this.followers.size;
    }

    /** Sends a follower all that is known, and then each change until it leaves. */
    add(follower: ServerResponse): void {
        follower.writeHead(200, { "content-type": "application/x-ndjson" });
        this.followers.add(follower);
        follower.once("close", () => this.followers.delete(follower));
        for (const [prefix, source] of this.sources) this.send(follower, listMessage(prefix, source));
        this.confirmTimer ??= setInterval(() => this.confirm(), CONFIRM_INTERVAL_MS);
    }

    /** Records what the store has listed. */
    recordList(prefix: string, outcome: ListOutcome): void {
        if (outcome.kind !== "listed") return this.sendAway();
        const known = this.sources.get(prefix)?.mirror;
        if (known !== undefined && known.era > outcome.era) return;
        if (known?.era === outcome.era && known.revision > outcome.revision) return;
        const source = { mirror: Mirror.of(outcome), confirmedAt: performance.now() };
        this.sources.set(prefix, source);
        this.broadcast(listMessage(prefix, source));
    }

    /**
     * Records the answer to a watch from a revision. Returns false if what is known of the prefix is not what the watch has
     * followed, so that it has to be listed again.
     */
    recordWatch(prefix: string, from: number, outcome: WatchOutcome): boolean {
        if (outcome.kind === "unavailable") this.sendAway();
        if (outcome.kind !== "changed") return true;
        const source = this.sources.get(prefix);
        const step = { events: outcome.events, from, revision: outcome.revision, era: outcome.era };
        if (source === undefined || !source.mirror.apply(step)) {
            this.sources.delete(prefix);
            this.sendAway();
            return false;
        }
        source.confirmedAt = performance.now();
        if (step.revision > from) this.broadcast({ kind: "changed", prefix, ageMs: 0, ...step });
        return true;
    }

    /** Forgets all, since the store is no longer asked by this gateway itself. */
    clear(): void {
        this.sendAway();
        this.sources.clear();
    }

    /** Ends the responses to all followers. */
    sendAway(): void {
        for (const follower of this.followers) follower.end();
        this.followers.clear();
        clearInterval(this.confirmTimer);
        this.confirmTimer = undefined;
    }

    private confirm(): void {
        if (this.followers.size === 0) return this.sendAway();
        const ages = [...this.sources].map(([prefix, source]) => [prefix, ageOf(source)] as const);
        this.broadcast({ kind: "confirmed", ages: Object.fromEntries(ages) });
    }

    private broadcast(message: RelayMessage): void {
        if (this.followers.size === 0) return;
        const line = encodeMessage(message);
        for (const follower of this.followers) this.write(follower, line);
    }

    private send(follower: ServerResponse, message: RelayMessage): void {
        this.write(follower, encodeMessage(message));
    }

    private write(follower: ServerResponse, line: string): void {
        if (follower.writableLength > MAXIMUM_WAITING_BYTES) follower.destroy();
        else follower.write(line);
    }
}

function ageOf({ confirmedAt }: Source): number {
    return Math.round(performance.now() - confirmedAt);
}

function listMessage(prefix: string, source: Source): RelayMessage {
    return { ...source.mirror.list(), prefix, ageMs: ageOf(source) };
}
