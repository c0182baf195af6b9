/**
 * Hands counts over to the holder of the duties, over the calls between gateways.
 *
 * Gateways learn who the holder is from the holder itself, which tells all of them when it takes the duties, and from other
 * gateways: one that knows no holder asks the candidates in turn. This needs no calls to the store. The holder hands its own
 * counts to a deputy, the next candidate, so that they outlive it; whoever has counts of others hands them on to the next
 * holder.
 */
import { z } from "zod";
import { NEVER_ABORTED } from "../gateway/attempt.js";
import type { GatewayPeer, GatewayPeers } from "../gateway/peers.js";
import { runInBackground } from "../model/background.js";
import { Deadline } from "../model/index.js";
import { parseJson } from "../model/json.js";
import { pause } from "../model/pause.js";
import type { LineFields } from "../observability/index.js";
import type { PeerCalls } from "../stages/index.js";
import { candidateOrder, CANDIDATES } from "./candidates.js";
import { type FleetLoads, type ZoneLoad, zoneLoadSchema } from "./fleetloads.js";
import { type TargetOrders, toldOrderSchema } from "./targetorders.js";
import type { UsageCounter } from "./usagecounter.js";
import { Acknowledgements, entrySchema, type LedgerEntry, type UsageLedger } from "./usageledger.js";

/** Path of the interface between gateways on which counts are handed over. */
export const DUTIES_PATH = "/duties";

const TICK_MS = 50;

/** Time in milliseconds for an answer. */
const ANSWER_TIMEOUT_MS = 500;

/** Intervals in milliseconds at which gateways without news make sure that the holder is still there. */
const CANDIDATE_PROBE_MS = 1_000;
const PROBE_MS = 5_000;

/** Time in milliseconds after a failed call until the next one. */
const RETRY_MS = 300;

/** Time in milliseconds for which an answer of the holder shows that it is there. */
const HEARD_MS = 3_000;

/** Bounds in milliseconds of the interval at which counts of the running window are handed over. */
const SHORTEST_INTERVAL_MS = 200;
const LONGEST_INTERVAL_MS = 1_000;

/** Number of accounts in one message, about a quarter of what a gateway reads. */
const MESSAGE_ACCOUNTS = 10_000;

const holderSchema = z.object({ name: z.string(), fencing: z.int().min(1) });

const messageSchema = z.object({
    from: z.string(),
    /** Fencing number of the sender, if it holds the duties. */
    fencing: z.int().min(1).optional(),
    entries: z.array(entrySchema),
    /** What the sender has open at targets of services that are scaled. */
    loads: z.array(zoneLoadSchema).optional(),
});

const answerSchema = z.object({
    /** Identifies the start of the process that answers. */
    start: z.string(),
    /** Fencing number of the gateway that answers, if it holds the duties. */
    fencing: z.int().min(1).optional(),
    /** The holder as far as it is known. */
    holder: holderSchema.optional(),
    /** Windows that need no report any more. */
    closed: z.array(z.int()),
    /** The last orders for targets. */
    orders: z.array(toldOrderSchema).optional(),
});

/** What the hand-over depends on. */
export interface HandOverOptions {
    readonly peers: Pick<GatewayPeers, "self" | "others">;
    readonly peerCalls: Pick<PeerCalls, "call">;
    readonly start: string;
    readonly ledger: UsageLedger;
    readonly counter: Pick<UsageCounter, "update">;
    readonly windowMs: number;
    /** Fraction by which a count may be off. */
    readonly tolerance: number;
    /** Fencing number of this gateway's tenure, if it holds the duties. */
    readonly fencing: () => number | undefined;
    /** What all gateways have open at targets, and what this one has. */
    readonly fleetLoads: FleetLoads;
    readonly loads: () => readonly ZoneLoad[];
    readonly orders: Pick<TargetOrders, "told" | "learn">;
    readonly onChange: (change: string, fields: LineFields) => void;
}

/**
 * Interval at which counts of the running window are handed over. A gateway that loses power loses what it has counted since,
 * which is to be at most half of the tolerance if all gateways have the same share of the requests.
 */
export function handOverIntervalMs(windowMs: number, tolerance: number, gateways: number): number {
    const interval = (windowMs * tolerance * gateways) / 2;
    return Math.min(LONGEST_INTERVAL_MS, Math.max(SHORTEST_INTERVAL_MS, interval));
}

/** Sends and receives counts. */
export class HandOver {
    private known: z.infer<typeof holderSchema> | undefined;
    private heardAt = Number.NEGATIVE_INFINITY;
    private sentAt = Number.NEGATIVE_INFINITY;
    private isFailing = false;
    private isCalling = false;
    private turn = 0;
    /** The process and its tenure that has acknowledged entries. */
    private receiver = "";
    private acknowledged = Acknowledgements.create();
    private readonly timer: NodeJS.Timeout;

    private constructor(private readonly options: HandOverOptions) {
        this.timer = setInterval(() => this.tick(), TICK_MS);
        this.timer.unref();
    }

    static start(options: HandOverOptions): HandOver {
        return new HandOver(options);
    }

    /** Whether the holder has lately answered this gateway. */
    get hearsHolder(): boolean {
        return this.known !== undefined && !this.isFailing && performance.now() - this.heardAt < HEARD_MS;
    }

    /** Place of this gateway in the order of candidates. */
    get rank(): number {
        return this.order.indexOf(this.options.peers.self.name);
    }

    /** Takes a message. Returns the answer, or undefined if the message is malformed. */
    receive(text: string): string | undefined {
        const message = messageSchema.safeParse(parseJson(text)).data;
        if (message === undefined) return undefined;
        if (message.fencing !== undefined) this.learn({ name: message.from, fencing: message.fencing }, true);
        for (const entry of message.entries) this.options.ledger.put(entry);
        if (message.loads !== undefined) this.options.fleetLoads.put(message.from, message.loads);
        const { start, ledger } = this.options;
        const fencing = this.options.fencing();
        const orders = fencing === undefined ? undefined : [...this.options.orders.told];
        const answer = { start, fencing, holder: this.holder(), closed: [...ledger.closed], orders };
        return JSON.stringify(answer satisfies z.infer<typeof answerSchema>);
    }

    /** Tells all gateways that this one holds the duties. */
    announce(): void {
        for (const peer of this.options.peers.others) this.run(() => this.call(peer, []));
    }

    /** Hands everything over that was not, within a time; for a planned stop. */
    async flush(timeoutMs: number): Promise<void> {
        const deadline = Deadline.after(timeoutMs);
        while (!deadline.passed()) {
            this.options.counter.update();
            const receiver = this.findReceiver();
            if (receiver === undefined || this.pending().length === 0) return;
            this.sentAt = performance.now();
            await this.handOver(receiver, this.pending());
            if (this.isFailing || this.known === undefined) await pause(TICK_MS);
        }
    }

    stop(): void {
        clearInterval(this.timer);
    }

    private get order(): readonly string[] {
        const { self, others } = this.options.peers;
        return candidateOrder([self.name, ...others.map(({ name }) => name)]);
    }

    private holder(): z.infer<typeof holderSchema> | undefined {
        const fencing = this.options.fencing();
        return fencing === undefined ? this.known : { name: this.options.peers.self.name, fencing };
    }

    private tick(): void {
        const { counter, peers, windowMs, tolerance } = this.options;
        counter.update();
        const loads = this.options.loads();
        this.options.fleetLoads.put(peers.self.name, loads);
        const receiver = this.isCalling ? undefined : this.findReceiver();
        if (receiver === undefined) return;
        const sinceMs = performance.now() - this.sentAt;
        if (this.isFailing && sinceMs < RETRY_MS) return;
        const pending = this.pending();
        const intervalMs = handOverIntervalMs(windowMs, tolerance, peers.others.length + 1);
        const isDue = pending.some(({ isFinal }) => isFinal) || (pending.length > 0 && sinceMs >= intervalMs);
        const isSearching = this.known === undefined || this.rank < CANDIDATES || loads.length > 0;
        const isProbe = sinceMs >= (isSearching ? CANDIDATE_PROBE_MS : PROBE_MS);
        if (!isDue && !isProbe) return;
        this.sentAt = performance.now();
        this.isCalling = true;
        this.run(() => this.handOver(receiver, pending).finally(() => (this.isCalling = false)));
    }

    /** The gateway that gets counts, or is asked for the holder. */
    private findReceiver(): GatewayPeer | undefined {
        const { peers } = this.options;
        const peerOf = (name: string | undefined): GatewayPeer | undefined =>
            peers.others.find(peer => peer.name === name);
        const candidates = this.order.filter(name => name !== peers.self.name).slice(0, CANDIDATES);
        if (this.options.fencing() !== undefined) return peerOf(candidates[0]);
        return peerOf(this.known?.name) ?? peerOf(candidates[this.turn % Math.max(1, candidates.length)]);
    }

    /** What the receiver does not have. A deputy gets the holder's own counts only, a gateway that is no holder nothing. */
    private pending(): readonly LedgerEntry[] {
        const { ledger, start, fencing } = this.options;
        const isHolder = fencing() !== undefined;
        if (!isHolder && this.known === undefined) return [];
        const entries = ledger.pending(this.acknowledged, entry => !isHolder || entry.start === start);
        let accounts = 0;
        const fits = (entry: LedgerEntry): boolean => {
            accounts += Object.keys(entry.counts).length + 1;
            return accounts <= MESSAGE_ACCOUNTS;
        };
        const fitting = entries.filter(fits);
        return fitting.length > 0 ? fitting : entries.slice(0, 1);
    }

    private async handOver(receiver: GatewayPeer, entries: readonly LedgerEntry[]): Promise<void> {
        const answer = await this.call(receiver, entries);
        const isHolder = this.options.fencing() !== undefined;
        this.isFailing = answer === undefined;
        if (answer === undefined) {
            this.turn += 1;
            if (receiver.name === this.known?.name) this.known = undefined;
            return;
        }
        for (const id of answer.closed) this.options.ledger.close(id);
        if (answer.fencing !== undefined) this.options.orders.learn(answer.orders ?? []);
        if (isHolder || answer.fencing !== undefined) {
            const identity = JSON.stringify([receiver.name, answer.start, answer.fencing ?? ""]);
            if (identity !== this.receiver) this.acknowledged = Acknowledgements.create();
            this.receiver = identity;
            this.acknowledged.add(entries);
        }
        if (answer.fencing !== undefined) this.learn({ name: receiver.name, fencing: answer.fencing }, true);
        else if (!isHolder) {
            if (receiver.name === this.known?.name) this.known = undefined;
            const { holder } = answer;
            if (holder === undefined || holder.name === receiver.name) this.turn += 1;
            else this.learn(holder, false);
        }
    }

    private learn(holder: z.infer<typeof holderSchema>, isFromHolder: boolean): void {
        if (holder.name === this.options.peers.self.name) return;
        if (this.known !== undefined && this.known.fencing > holder.fencing) return;
        this.known = holder;
        if (!isFromHolder) return;
        this.heardAt = performance.now();
        this.isFailing = false;
    }

    private async call(
        peer: GatewayPeer,
        entries: readonly LedgerEntry[],
    ): Promise<z.infer<typeof answerSchema> | undefined> {
        const { peers, peerCalls, onChange } = this.options;
        const loads = this.options.loads();
        const message = {
            from: peers.self.name,
            fencing: this.options.fencing(),
            entries: [...entries],
            loads: loads.length > 0 ? [...loads] : undefined,
        };
        const text = JSON.stringify(message satisfies z.infer<typeof messageSchema>);
        const limits = { deadline: Deadline.after(ANSWER_TIMEOUT_MS), signal: NEVER_ABORTED };
        const outcome = await peerCalls.call(peer, DUTIES_PATH, text, limits);
        const reason = outcome.kind === "failed" ? outcome.reason : "malformed answer";
        const answer = outcome.kind === "failed" ? undefined : answerSchema.safeParse(parseJson(outcome.text)).data;
        if (answer === undefined) onChange("counts not handed over", { peer: peer.name, reason });
        return answer;
    }

    private run(task: () => Promise<unknown>): void {
        const onFailure = (fields: LineFields): void => this.options.onChange("task failed unexpectedly", fields);
        runInBackground("hand-over of counts", onFailure, task);
    }
}
