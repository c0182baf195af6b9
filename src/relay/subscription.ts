/**
 * What one relay passes on to this gateway.
 *
 * It counts only while it is recent: the relay tells the age of its knowledge with each message, and the time since then is
 * added. A relay that is killed, paused, cut off from the store or from this gateway is therefore noticed within that
 * limit, whatever it last said.
 */
import { startTimeout } from "../model/timeout.js";
import type { StoreEra } from "../store/index.js";
import { decodeMessage, type RelayMessage } from "./message.js";
import { type Changed, type Listed, Mirror } from "./mirror.js";

/** Longest line of a relay in characters; the registrations of 5,900 targets take a few megabytes. */
const MAXIMUM_LINE_LENGTH = 16 * 1024 * 1024;

interface Copy {
    readonly mirror: Mirror;
    /** Latest time on the monotonic clock at which the store was known to be in this state. */
    readonly confirmedAt: number;
}

/** The messages of one relay, as they come. */
export class Subscription {
    private readonly copies = new Map<string, Copy>();
    /** Ends the waits for messages, by prefix. */
    private readonly waiting = new Map<string, Set<() => void>>();
    private rest = "";
    private isEnded = false;

    private constructor() {}

    static create(): Subscription {
        return new Subscription();
    }

    /** Takes a part of the relay's response. Returns false if it is malformed. */
    receive(part: string): boolean {
        const lines = (this.rest + part).split("\n");
        this.rest = lines.pop() ?? "";
        const isSound = lines.every(line => this.take(decodeMessage(line))) && this.rest.length <= MAXIMUM_LINE_LENGTH;
        if (!isSound) this.end();
        return isSound;
    }

    /** Records that the relay passes on nothing more. */
    end(): void {
        this.isEnded = true;
        for (const prefix of this.waiting.keys()) this.wake(prefix);
    }

    /** The era of the store in which a prefix is known; undefined if it is not. */
    eraOf(prefix: string): StoreEra | undefined {
        return this.copies.get(prefix)?.mirror.era;
    }

    /** The objects of a prefix; undefined if they are not known to be at most `limitMs` old. */
    list(prefix: string, limitMs: number): Listed | undefined {
        return this.remainingMs(prefix, limitMs) > 0 ? this.copies.get(prefix)?.mirror.list() : undefined;
    }

    /**
     * Waits for changes after a revision. Resolves to none after `timeoutMs`, to undefined as soon as it is not known that
     * there are none for longer than `limitMs`, and to "misaligned" if the changes have to be listed.
     */
    async watch(
        prefix: string,
        revision: number,
        timeoutMs: number,
        limitMs: number,
    ): Promise<Changed | "misaligned" | undefined> {
        const endsAt = performance.now() + timeoutMs;
        for (;;) {
            const remainingMs = this.remainingMs(prefix, limitMs);
            const mirror = this.copies.get(prefix)?.mirror;
            if (mirror === undefined || remainingMs <= 0) return undefined;
            // A view that has asked the store itself may be ahead of the relay.
            const changed =
                mirror.revision < revision
                    ? ({ kind: "changed", events: [], revision, era: mirror.era } as const)
                    : mirror.changesSince(revision);
            if (changed === undefined) return "misaligned";
            if (changed.revision > revision || performance.now() >= endsAt) return changed;
            await this.nextMessage(prefix, Math.min(remainingMs, endsAt - performance.now()));
        }
    }

    /** Waits until something is known of a prefix, the relay has ended, or a time has passed. */
    async known(prefix: string, timeoutMs: number): Promise<void> {
        const endsAt = performance.now() + timeoutMs;
        while (!this.copies.has(prefix) && !this.isEnded && performance.now() < endsAt) {
            await this.nextMessage(prefix, endsAt - performance.now());
        }
    }

    /** Milliseconds for which the copy of a prefix still counts. */
    private remainingMs(prefix: string, limitMs: number): number {
        const copy = this.copies.get(prefix);
        return copy === undefined || this.isEnded ? 0 : copy.confirmedAt + limitMs - performance.now();
    }

    private take(message: RelayMessage | undefined): boolean {
        if (message === undefined) return false;
        const now = performance.now();
        if (message.kind === "confirmed") {
            for (const [prefix, ageMs] of Object.entries(message.ages)) this.confirm(prefix, now - ageMs);
            return true;
        }
        const { prefix, ageMs } = message;
        if (message.kind === "listed") {
            this.copies.set(prefix, { mirror: Mirror.of(message), confirmedAt: now - ageMs });
            this.wake(prefix);
            return true;
        }
        const isApplied = this.copies.get(prefix)?.mirror.apply(message) === true;
        this.confirm(prefix, now - ageMs);
        this.wake(prefix);
        return isApplied;
    }

    private confirm(prefix: string, confirmedAt: number): void {
        const copy = this.copies.get(prefix);
        if (copy !== undefined && confirmedAt > copy.confirmedAt) this.copies.set(prefix, { ...copy, confirmedAt });
    }

    /** Waits until something is said of a prefix other than that it is confirmed. */
    private nextMessage(prefix: string, timeoutMs: number): Promise<void> {
        const waiting = this.waiting.get(prefix) ?? new Set();
        this.waiting.set(prefix, waiting);
        return new Promise(resolve => {
            const finish = (): void => {
                cancelTimeout();
                waiting.delete(finish);
                resolve();
            };
            const cancelTimeout = startTimeout(finish, Math.max(1, timeoutMs));
            waiting.add(finish);
        });
    }

    private wake(prefix: string): void {
        for (const finish of [...(this.waiting.get(prefix) ?? [])]) finish();
    }
}
