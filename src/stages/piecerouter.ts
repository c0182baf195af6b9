/**
 * Routing of pieces to gatherers: for each stage service, one gateway or a few, the gatherers, batch the pieces of all.
 *
 * If each gateway batched only its own pieces, targets would get many small calls. All gateways choose the gatherers from
 * the same registrations (`stages/gatherers`), so no agreement is needed. A gatherer that cannot be reached is skipped;
 * a gateway that reaches no other one gathers its pieces itself. One that is silent is skipped by new orders, and those that
 * it works on stay open, since it may go on (`stages/stageorders`).
 *
 * A gateway that stops, or sees that another one is now the gatherer of a service, gives the waiting pieces back to
 * their senders. Two gatherers would each forecast from their own queue alone, admit too much work for the targets that
 * they share, and send calls that wait for each other.
 */
import { NEVER_ABORTED } from "../gateway/attempt.js";
import type { GatewayPeer } from "../gateway/peers.js";
import { runInBackground } from "../model/background.js";
import { Deadline } from "../model/index.js";
import { LONGEST_SOUND_SILENCE_MS } from "../model/silence.js";
import { assignTargets, chooseGatherer, type Gatherers } from "./gatherers.js";
import {
    decodeAnswer,
    encodeOrder,
    encodeRelease,
    type PeerAnswer,
    type PeerOrder,
    type ReleaseOrder,
} from "./order.js";
import type { PeerCallLimits, PeerCalls } from "./peercalls.js";
import type { PieceJob, PieceResult } from "./piece.js";
import type { StageQueue } from "./queue.js";
import { type OrderEvent, StageOrders, type UnansweredCall } from "./stageorders.js";
import { SHORTEST_LIMIT_MS, SilenceLimits } from "./silencelimits.js";
import { RecentWaits } from "./waits.js";

/** Paths of the interface between gateways. */
export const PEER_PATHS = { make: "/pieces", release: "/releases" } as const;

/** Interval in milliseconds at which a gatherer sends progress while it works on an order. */
export const PROGRESS_INTERVAL_MS = 200;

/** Time in milliseconds by which a timer may be early, so that what the silent order received last is no sign of life. */
const TIMER_SLACK_MS = 5;

/** Factor by which the timeout of an order grows when it is sent again to a gatherer that is alive but slow. */
const RESEND_TIMEOUT_RATIO = 2;

/** Time in milliseconds for which a gatherer that gave pieces back is skipped; by then the store reports the change. */
const GIVEN_BACK_SKIP_MS = 1_500;

/** Interval in milliseconds at which an unreachable gatherer is probed. */
const PROBE_INTERVAL_MS = 1_000;

/** Timeout in milliseconds of a release order to another gateway. Nothing waits for it. */
const RELEASE_TIMEOUT_MS = LONGEST_SOUND_SILENCE_MS;

/** An order without pieces, which a gatherer answers at once. */
const PROBE: PeerOrder = { service: "", jobs: [] };

/** Reason of an order whose gatherer is silent. */
const NO_PROGRESS = "no progress in time";

/** Result of a piece that another gatherer is to make. */
export const GIVEN_BACK: PieceResult = { kind: "lost", reason: "givenBack", retryAfterMs: 0 };

/** What a router depends on. */
export interface PieceRouterEnvironment {
    readonly self: GatewayPeer;
    /** Changes with each change of a registration of a gateway or a target. */
    readonly registrationRevision: () => string;
    /** The other registered gateways. */
    readonly otherGateways: () => readonly GatewayPeer[];
    readonly peerCalls: PeerCalls;
    /** Whether this gateway gathers pieces; one that is stopping does so only if there is no other. */
    readonly isGathering: () => boolean;
    readonly queueOf: (service: string) => StageQueue;
    /** Names of a service's registered targets, and of those that may be used now. */
    readonly targetNames: (service: string) => {
        readonly registered: readonly string[];
        readonly usable: readonly string[];
    };
    /** Name of the target that holds a result; undefined when it is not registered. */
    readonly holderOf: (handle: string) => string | undefined;
    /** The existing queues, by service. */
    readonly queues: () => ReadonlyMap<string, StageQueue>;
    readonly onDecision: (decision: string, detail: Readonly<Record<string, unknown>>) => void;
    /** Called with the outcome and the duration of each call to another gateway. */
    readonly onPeerCall: (outcome: string, milliseconds: number) => void;
    /** Longest recent delay of this process's event loop in milliseconds, for the log. */
    readonly eventLoopDelayMs: () => number;
}

/** Sends pieces and releases to the gatherer of their service, which may be this gateway. */
export class PieceRouter {
    /** Gateways that could not be reached, by name, with the time on the monotonic clock since when. */
    private readonly unreachableSince = new Map<string, number>();
    /** Gateways that are skipped for a service until a time on the monotonic clock, by service and name. */
    private readonly skipped = new Map<string, { readonly peer: GatewayPeer; readonly until: number }>();
    private stopped = false;
    /** The last gatherers of each service, and what they were chosen from. */
    private readonly gatherers = new Map<string, { readonly source: string; readonly chosen: Gatherers }>();
    private readonly recentWaits = RecentWaits.create();
    private readonly silenceLimits: SilenceLimits;
    /** Names of the last gatherers of each service, for the log. */
    private readonly lastGatherers = new Map<string, string>();

    private constructor(private readonly environment: PieceRouterEnvironment) {
        this.silenceLimits = SilenceLimits.create(environment.self);
    }

    static create(environment: PieceRouterEnvironment): PieceRouter {
        return new PieceRouter(environment);
    }

    /**
     * Makes the pieces of one stage of a request at their gatherer; those given back or unanswered go to another. While a
     * gatherer is silent, the next one is asked as well.
     */
    async make(jobs: readonly PieceJob[], signal: AbortSignal): Promise<readonly PieceResult[]> {
        const service = jobs[0]?.service ?? "";
        const latest = Math.max(0, ...jobs.map(({ deadline }) => deadline.at));
        // Grows when an order is sent again to a gatherer that is alive but slow.
        let patience = 1;
        let gatherer: GatewayPeer | undefined;
        const orders = StageOrders.create(
            jobs,
            (gatherer, orderedJobs, options) => {
                const order = { service, jobs: orderedJobs };
                return gatherer === undefined
                    ? this.makeHere(order, options.signal)
                    : this.sendOrder(gatherer, order, options);
            },
            handles => this.release(service, handles),
        );
        try {
            while (!orders.isSettled && !signal.aborted && performance.now() < latest) {
                const unattended = orders.unattended();
                if (unattended.length > 0) {
                    gatherer = this.gathererOf(service, gatherer);
                    this.logGatherers(service);
                    const limitMs = gatherer === undefined ? 0 : this.silenceLimits.limitMs(gatherer);
                    orders.start(gatherer, unattended, limitMs * patience);
                }
                for (const event of await orders.nextEvents(signal)) {
                    const isResent = !signal.aborted && this.handleEvent(service, jobs[0], event);
                    if (isResent) patience *= RESEND_TIMEOUT_RATIO;
                }
            }
        } finally {
            orders.end();
        }
        return orders.results(signal.aborted ? "cancelled" : "late");
    }

    /** Handles what happened to an order. Returns whether the order is sent to the same gatherer again. */
    private handleEvent(service: string, job: PieceJob | undefined, event: OrderEvent): boolean {
        const { gatherer, waitedMs } = event;
        if (event.kind === "threw") throw event.error;
        if (event.kind === "answered") {
            this.recentWaits.record(service, event.waitMs);
            this.recentWaits.record(waitKey(service, gatherer ?? this.environment.self), event.waitMs);
        }
        if (gatherer === undefined) return false;
        switch (event.kind) {
            case "overdue":
                return false;
            case "answered":
                if (!event.hasGivenBack) return false;
                this.skipped.set(waitKey(service, gatherer), {
                    peer: gatherer,
                    until: performance.now() + GIVEN_BACK_SKIP_MS,
                });
                return false;
            case "resumed":
                this.recordReachable(gatherer);
                return false;
            case "silent": {
                const { peerCalls } = this.environment;
                const limitMs = this.silenceLimits.limitMs(gatherer);
                const isPeerAlive = peerCalls.silentMs(gatherer) < limitMs - TIMER_SLACK_MS;
                peerCalls.renew(gatherer);
                this.recordUnanswered(gatherer, job, { reason: NO_PROGRESS, waitedMs, isPeerAlive });
                return isPeerAlive;
            }
            case "unanswered":
                this.recordUnanswered(gatherer, job, { reason: event.reason, waitedMs, isPeerAlive: false });
                return false;
        }
    }

    /** Makes the pieces of another gateway's order, or gives them back if this gateway stops and another gathers. */
    async makeForPeer({ service, jobs }: PeerOrder, signal: AbortSignal): Promise<readonly PieceResult[]> {
        if (jobs.length === 0) return [];
        const mustGiveBack = !this.environment.isGathering() && this.gathererOf(service) !== undefined;
        return mustGiveBack ? jobs.map(() => GIVEN_BACK) : this.environment.queueOf(service).make(jobs, signal);
    }

    /** Gives back the waiting pieces of services that another gateway now gathers. */
    giveBack(): void {
        for (const [service, queue] of this.environment.queues()) {
            if (queue.length === 0) continue;
            const { self, onDecision } = this.environment;
            const { gateways } = this.gatherersOf(service);
            if (gateways.length === 0 || gateways.includes(self)) continue;
            onDecision("pieces given back", { service, pieces: queue.length, gatherer: gateways[0]?.name });
            queue.giveBack();
        }
    }

    /** Recent queueing time of a service in milliseconds, decayed since it was reported. */
    recentWaitMs(service: string): number {
        return this.recentWaits.waitMs(service);
    }

    /** Expected wait in milliseconds of a piece in this gateway's queue of a service. */
    queueWaitMs(service: string): number {
        return this.environment.queues().get(service)?.waitMs ?? 0;
    }

    private async makeHere({ service, jobs }: PeerOrder, signal: AbortSignal): Promise<PeerAnswer> {
        const queue = this.environment.queueOf(service);
        const results = await queue.make(jobs, signal);
        return { results, waitMs: queue.waitMs };
    }

    /** Releases results that are no longer needed. */
    release(service: string, handles: readonly string[]): void {
        this.routeRelease({ service, handles, isEarly: false });
    }

    /** Releases results that calls in progress have read and nothing else needs, if their holder is short of memory. */
    releaseEarly(service: string, handles: readonly string[]): void {
        this.routeRelease({ service, handles, isEarly: true });
    }

    /** Releases results through the queue of this gateway. */
    releaseHere({ service, handles, isEarly }: ReleaseOrder): void {
        const queue = this.environment.queueOf(service);
        if (isEarly) queue.releaseEarly(handles);
        else queue.release(handles);
    }

    /** Sends the handles to the gatherers that own their holders. */
    private routeRelease(order: ReleaseOrder): void {
        const { self, holderOf } = this.environment;
        const { gateways, owners } = this.gatherersOf(order.service);
        const byOwner = new Map<GatewayPeer, string[]>();
        for (const handle of order.handles) {
            const owner = owners.get(holderOf(handle) ?? "") ?? gateways[0] ?? self;
            byOwner.set(owner, [...(byOwner.get(owner) ?? []), handle]);
        }
        for (const [owner, handles] of byOwner) {
            const part = { ...order, handles };
            if (owner === self) this.releaseHere(part);
            else this.run("release", () => this.releaseAtPeer(owner, part));
        }
    }

    /**
     * A gateway that gathers a service's pieces; undefined if it is this one. `before` is kept if it still does so, and an
     * order that is sent again then joins the one that is in progress.
     */
    gathererOf(service: string, before?: GatewayPeer): GatewayPeer | undefined {
        const { self, targetNames } = this.environment;
        const gatherers = this.gatherersOf(service);
        if (before !== undefined && gatherers.gateways.includes(before)) return before;
        const waitMs = (gatherer: GatewayPeer): number => this.recentWaits.waitMs(waitKey(service, gatherer));
        const chosen = chooseGatherer(gatherers, targetNames(service).usable, waitMs);
        return chosen === self ? undefined : chosen;
    }

    /** Those of the targets that this gateway calls: the ones that it owns, or all if it owns none. */
    ownTargets<Named extends { readonly name: string }>(service: string, targets: readonly Named[]): readonly Named[] {
        const { gateways, owners } = this.gatherersOf(service);
        if (gateways.length <= 1) return targets;
        const own = targets.filter(({ name }) => owners.get(name) === this.environment.self);
        return own.length > 0 ? own : targets;
    }

    /** Number of gateways that gather a service's pieces. */
    gathererCount(service: string): number {
        return Math.max(1, this.gatherersOf(service).gateways.length);
    }

    private gatherersOf(service: string): Gatherers {
        const { self, isGathering, otherGateways, targetNames, registrationRevision } = this.environment;
        const skipped = this.skippedNames(service);
        const source = [registrationRevision(), isGathering(), ...this.unreachableSince.keys(), "", ...skipped].join(
            " ",
        );
        const known = this.gatherers.get(service);
        if (known?.source === source) return known.chosen;
        const registered = otherGateways();
        this.silenceLimits.keepOnly(new Set(registered.map(({ name }) => name)));
        const others = registered.filter(({ name }) => !this.unreachableSince.has(name) && !skipped.has(name));
        const candidates = isGathering() ? [self, ...others] : others;
        const chosen = assignTargets(service, targetNames(service).registered, candidates);
        this.gatherers.set(service, { source, chosen });
        return chosen;
    }

    /** Names of the gateways that gave pieces of a service back a short time ago. */
    private skippedNames(service: string): ReadonlySet<string> {
        const now = performance.now();
        const names = new Set<string>();
        for (const [key, { peer, until }] of this.skipped) {
            if (until <= now) this.skipped.delete(key);
            else if (key === waitKey(service, peer)) names.add(peer.name);
        }
        return names;
    }

    /** Stops probing unreachable gateways. */
    stop(): void {
        this.stopped = true;
    }

    /**
     * Records an order that was not answered. A gateway that is silent altogether is skipped until it answers a probe;
     * pieces are not used as probes, since each would be late. To one that is alive the order is sent again: a second
     * gatherer would plan for the same targets, and both would send calls that wait for each other.
     */
    private recordUnanswered(
        peer: GatewayPeer,
        job: PieceJob | undefined,
        call: { readonly reason: string; readonly waitedMs: number; readonly isPeerAlive: boolean },
    ): void {
        const { reason, waitedMs, isPeerAlive } = call;
        if (this.unreachableSince.has(peer.name)) return;
        if (!isPeerAlive) {
            const since = performance.now();
            this.unreachableSince.set(peer.name, since);
            this.run("probe of a gateway", () => this.waitUntilReachable(peer, since));
        }
        this.environment.onDecision(isPeerAlive ? "order sent again" : "gatherer unreachable", {
            peer: peer.name,
            id: job?.requestId,
            service: job?.service,
            reason,
            waitedMs: Math.round(waitedMs),
            eventLoopDelayMs: Math.round(this.environment.eventLoopDelayMs()),
        });
    }

    private async waitUntilReachable(unreachablePeer: GatewayPeer, since: number): Promise<void> {
        const registered = (): GatewayPeer | undefined =>
            this.environment.otherGateways().find(({ name }) => name === unreachablePeer.name);
        for (;;) {
            await new Promise(resolve => setTimeout(resolve, PROBE_INTERVAL_MS).unref());
            const peer = registered();
            // An order in progress may have shown meanwhile that the gateway is back.
            if (this.stopped || this.unreachableSince.get(unreachablePeer.name) !== since) return;
            if (peer === undefined || (await this.answersProbe(peer))) break;
        }
        if (this.unreachableSince.get(unreachablePeer.name) === since) this.recordReachable(unreachablePeer);
    }

    private async answersProbe(peer: GatewayPeer): Promise<boolean> {
        const limitMs = this.silenceLimits.limitMs(peer);
        const limits = { headTimeoutMs: limitMs, stallTimeoutMs: limitMs };
        return "results" in (await this.sendOrder(peer, PROBE, { ...limits, signal: NEVER_ABORTED }));
    }

    private recordReachable({ name }: GatewayPeer): void {
        const since = this.unreachableSince.get(name);
        if (since === undefined) return;
        this.unreachableSince.delete(name);
        const afterMs = Math.round(performance.now() - since);
        this.environment.onDecision("gatherer reachable again", { peer: name, afterMs });
    }

    private run(task: string, run: () => Promise<void>): void {
        runInBackground(task, fields => this.environment.onDecision("task failed unexpectedly", fields), run);
    }

    /** Sends an order. */
    private async sendOrder(
        peer: GatewayPeer,
        { service, jobs }: PeerOrder,
        limits: Omit<PeerCallLimits, "deadline">,
    ): Promise<PeerAnswer | UnansweredCall> {
        const sentAt = performance.now();
        const longest = Math.max(0, ...jobs.map(job => job.deadline.remainingMs()));
        let lastSignAt = sentAt;
        const onProgress = (): void => {
            const now = performance.now();
            this.silenceLimits.record(peer.name, now - lastSignAt);
            lastSignAt = now;
            limits.onProgress?.();
        };
        const answer = await this.environment.peerCalls.call(peer, PEER_PATHS.make, encodeOrder(service, jobs), {
            ...limits,
            onProgress,
            deadline: Deadline.after(longest + SHORTEST_LIMIT_MS),
        });
        this.environment.onPeerCall(answer.kind, performance.now() - sentAt);
        if (answer.kind === "failed") return { reason: answer.reason };
        return decodeAnswer(answer.text, jobs.length) ?? { reason: "unreadable answer" };
    }

    private logGatherers(service: string): void {
        const before = this.lastGatherers.get(service);
        const gatherer = this.gatherersOf(service)
            .gateways.map(({ name }) => name)
            .join(" ");
        if (before === gatherer) return;
        this.lastGatherers.set(service, gatherer);
        this.environment.onDecision("gatherer chosen", { service, gatherer, before });
    }

    private async releaseAtPeer(peer: GatewayPeer, order: ReleaseOrder): Promise<void> {
        const limits = { deadline: Deadline.after(RELEASE_TIMEOUT_MS), signal: NEVER_ABORTED };
        const answer = await this.environment.peerCalls.call(peer, PEER_PATHS.release, encodeRelease(order), limits);
        if (answer.kind === "answered") return;
        this.environment.onDecision("release passed on failed", { peer: peer.name, reason: answer.reason });
        this.releaseHere(order);
    }
}

function waitKey(service: string, gatherer: GatewayPeer): string {
    return `${service} ${gatherer.name}`;
}
