/**
 * The orders for the pieces of one stage of a request, at the gatherers that were asked for them.
 *
 * A sound gateway may be silent for a second or so and then go on. An order whose gatherer is silent therefore stays open
 * while another gatherer is asked for the same pieces. The first result of a piece counts; when all pieces have one, the
 * other orders are closed, and results that still come are released. A piece that one gatherer has lost waits for an order
 * at another one, unless that is silent for longer than a sound gateway.
 */
import type { GatewayPeer } from "../gateway/peers.js";
import { LONGEST_SOUND_SILENCE_MS } from "../model/silence.js";
import { startTimeout } from "../model/timeout.js";
import type { PeerAnswer } from "./order.js";
import type { PieceJob, PieceLossReason, PieceResult } from "./piece.js";

/** A call to a gateway that was not answered. */
export interface UnansweredCall {
    readonly reason: string;
}

/** How an order is sent. */
export interface SendOptions {
    /** Closes the order. */
    readonly signal: AbortSignal;
    /** Called with each sign that the gatherer works on the order. */
    readonly onProgress: () => void;
}

/** Sends an order for pieces to a gatherer; undefined stands for this gateway. */
export type SendOrder = (
    gatherer: GatewayPeer | undefined,
    jobs: readonly PieceJob[],
    options: SendOptions,
) => Promise<PeerAnswer | UnansweredCall>;

type OrderChange =
    /** "overdue" says that the gatherer was silent for so long that it may not go on. */
    | { readonly kind: "silent" | "overdue" | "resumed" }
    | { readonly kind: "unanswered"; readonly reason: string }
    /** `hasGivenBack` says whether the gatherer has not made some pieces since another one gathers the service now. */
    | { readonly kind: "answered"; readonly waitMs: number; readonly hasGivenBack: boolean }
    | { readonly kind: "threw"; readonly error: unknown };

/** What happened to an order. */
export type OrderEvent = OrderChange & {
    readonly gatherer: GatewayPeer | undefined;
    /** Time in milliseconds since the order was sent. */
    readonly waitedMs: number;
};

interface Order {
    readonly gatherer: GatewayPeer | undefined;
    readonly jobs: readonly PieceJob[];
    readonly sentAt: number;
    readonly abort: AbortController;
    state: "heard" | "silent" | "overdue";
}

/** Tracks the orders for the pieces of one stage of a request. */
export class StageOrders {
    private readonly open = new Set<Order>();
    private readonly made = new Map<PieceJob, PieceResult>();
    /** Results of pieces that a gatherer has lost. They count if no other order makes the piece. */
    private readonly lost = new Map<PieceJob, PieceResult>();
    private events: OrderEvent[] = [];
    private reportEvent = (): void => undefined;
    private hasEnded = false;

    private constructor(
        private readonly jobs: readonly PieceJob[],
        private readonly send: SendOrder,
        private readonly release: (handles: readonly string[]) => void,
    ) {}

    /** `release` releases results that come too late. */
    static create(
        jobs: readonly PieceJob[],
        send: SendOrder,
        release: (handles: readonly string[]) => void,
    ): StageOrders {
        return new StageOrders(jobs, send, release);
    }

    /** Whether each piece was made, or was lost and no other order may still make it. */
    get isSettled(): boolean {
        return this.jobs.every(job => this.made.has(job) || (this.lost.has(job) && !this.mayStillCome(job)));
    }

    /** The pieces without a result that no gatherer is heard to work on. */
    unattended(): readonly PieceJob[] {
        const isAttended = (job: PieceJob): boolean =>
            [...this.open].some(({ state, jobs }) => state === "heard" && jobs.includes(job));
        return this.jobs.filter(job => !this.made.has(job) && !this.lost.has(job) && !isAttended(job));
    }

    /** Sends an order for pieces. It counts as silent while its gatherer shows no progress for `silenceMs`. */
    start(gatherer: GatewayPeer | undefined, jobs: readonly PieceJob[], silenceMs: number): void {
        const order: Order = {
            gatherer,
            jobs,
            sentAt: performance.now(),
            abort: new AbortController(),
            state: "heard",
        };
        let cancelTimeout = (): void => undefined;
        const onProgress = (): void => {
            cancelTimeout();
            if (gatherer === undefined || !this.open.has(order)) return;
            if (order.state !== "heard") this.change(order, "heard", "resumed");
            cancelTimeout = startTimeout(() => {
                this.change(order, "silent", "silent");
                const overdueMs = Math.max(0, LONGEST_SOUND_SILENCE_MS - silenceMs);
                cancelTimeout = startTimeout(() => this.change(order, "overdue", "overdue"), overdueMs);
            }, silenceMs);
        };
        const close = (): void => {
            cancelTimeout();
            this.open.delete(order);
        };
        this.open.add(order);
        onProgress();
        void this.send(gatherer, jobs, { signal: order.abort.signal, onProgress })
            .then(answer => {
                close();
                this.recordAnswer(order, answer);
            })
            .catch((error: unknown) => {
                close();
                this.record(order, { kind: "threw", error });
            });
    }

    /** Resolves to what has happened since the last call, as soon as there is anything. */
    async nextEvents(signal: AbortSignal): Promise<readonly OrderEvent[]> {
        if (this.events.length === 0 && !signal.aborted) {
            const reported = new Promise<void>(resolve => (this.reportEvent = resolve));
            signal.addEventListener("abort", this.reportEvent, { once: true });
            await reported;
            signal.removeEventListener("abort", this.reportEvent);
        }
        const events = this.events;
        this.events = [];
        return events;
    }

    /** Closes the open orders. Results that still come are released. */
    end(): void {
        this.hasEnded = true;
        for (const order of this.open) order.abort.abort();
    }

    /** The results in the order of the pieces. Pieces without one are lost for the given reason. */
    results(reason: PieceLossReason): readonly PieceResult[] {
        const missing: PieceResult = { kind: "lost", reason, retryAfterMs: 0 };
        return this.jobs.map(job => this.made.get(job) ?? this.lost.get(job) ?? missing);
    }

    private mayStillCome(job: PieceJob): boolean {
        return [...this.open].some(({ state, jobs }) => state !== "overdue" && jobs.includes(job));
    }

    private change(order: Order, state: Order["state"], kind: "silent" | "overdue" | "resumed"): void {
        order.state = state;
        this.record(order, { kind });
    }

    private recordAnswer(order: Order, answer: PeerAnswer | UnansweredCall): void {
        if ("reason" in answer) return this.record(order, { kind: "unanswered", reason: answer.reason });
        const unneeded: string[] = [];
        let hasGivenBack = false;
        order.jobs.forEach((job, position) => {
            const result = answer.results[position];
            if (result?.kind === "made" && (this.hasEnded || this.made.has(job))) unneeded.push(result.handle);
            else if (result?.kind === "made") this.made.set(job, result);
            else if (result !== undefined && result.reason !== "givenBack") this.lost.set(job, result);
            else hasGivenBack = true;
        });
        if (unneeded.length > 0) this.release(unneeded);
        this.record(order, { kind: "answered", waitMs: answer.waitMs, hasGivenBack });
    }

    private record({ gatherer, sentAt }: Order, change: OrderChange): void {
        this.events.push({ ...change, gatherer, waitedMs: performance.now() - sentAt });
        this.reportEvent();
    }
}
