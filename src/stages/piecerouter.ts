/**
 * Routing of pieces to gatherers: for each stage service, one gateway, the gatherer, batches the pieces of all.
 *
 * If each gateway batched only its own pieces, targets would get many small calls. All gateways choose the gatherer from
 * the same registrations (`gateway/coordinator`), so no agreement is needed. A gatherer that cannot be reached is skipped;
 * a gateway that reaches no other one gathers its pieces itself.
 *
 * A gateway that stops, or sees that another one is now the gatherer of a service, gives the waiting pieces back to
 * their senders. Two gatherers would each forecast from their own queue alone, admit too much work for the targets that
 * they share, and send calls that wait for each other.
 */
import { NEVER_ABORTED } from "../gateway/attempt.js";
import type { GatewayPeer } from "../gateway/peers.js";
import { runInBackground } from "../model/background.js";
import { Deadline } from "../model/index.js";
import { chooseCoordinator } from "../gateway/coordinator.js";
import {
    decodeAnswer,
    encodeOrder,
    encodeRelease,
    type PeerAnswer,
    type PeerOrder,
    type ReleaseOrder,
} from "./order.js";
import type { PeerCalls } from "./peercalls.js";
import type { PieceJob, PieceResult } from "./piece.js";
import type { StageQueue } from "./queue.js";
import { RecentWaits } from "./waits.js";

/** Paths of the interface between gateways. */
export const PEER_PATHS = { make: "/pieces", release: "/releases" } as const;

/** Interval in milliseconds at which a gatherer sends progress while it works on an order. */
export const PROGRESS_INTERVAL_MS = 200;

/** Silence in milliseconds after which a gatherer counts as unreachable: three missed progress intervals. */
const PROGRESS_TIMEOUT_MS = 700;

/** Factor by which the timeout of an order grows when it is sent again to a gatherer that is alive but slow. */
const RESEND_TIMEOUT_RATIO = 2;

/** Time in milliseconds for which a gatherer that gave pieces back is skipped; by then the store reports the change. */
const GIVEN_BACK_SKIP_MS = 1_500;

/**
 * Time in milliseconds after a change of gatherers in which two may call the same targets: until all gateways know of the
 * change, and the calls that the earlier gatherer had sent have ended.
 */
const HANDOVER_MS = 1_500;

/** Interval in milliseconds at which an unreachable gatherer is probed. */
const PROBE_INTERVAL_MS = 1_000;

/** Timeout in milliseconds of a release order to another gateway. */
const RELEASE_TIMEOUT_MS = 500;

/** An order without pieces, which a gatherer answers at once. */
const PROBE: PeerOrder = { service: "", jobs: [] };

/** Result of a piece that another gatherer is to make. */
export const GIVEN_BACK: PieceResult = { kind: "lost", reason: "givenBack", retryAfterMs: 0 };

/** What a router depends on. */
export interface PieceRouterEnvironment {
    readonly self: GatewayPeer;
    /** The other registered gateways. */
    readonly otherGateways: () => readonly GatewayPeer[];
    readonly peerCalls: PeerCalls;
    /** Whether this gateway gathers pieces; one that is stopping does so only if there is no other. */
    readonly isGathering: () => boolean;
    readonly queueOf: (service: string) => StageQueue;
    /** The existing queues, by service. */
    readonly queues: () => ReadonlyMap<string, StageQueue>;
    readonly onDecision: (decision: string, detail: Readonly<Record<string, unknown>>) => void;
    /** Called with the outcome and the duration of each call to another gateway. */
    readonly onPeerCall: (outcome: string, milliseconds: number) => void;
    /** Longest recent delay of this process's event loop in milliseconds, for the log. */
    readonly eventLoopDelayMs: () => number;
}

/** A call to a gateway that was not answered. */
interface UnansweredCall {
    readonly reason: string;
    readonly waitedMs: number;
    /** Whether the order was not answered in time although the gateway was heard on other connections meanwhile. */
    readonly isPeerAlive: boolean;
}

/** Sends pieces and releases to the gatherer of their service, which may be this gateway. */
export class PieceRouter {
    /** Names of gateways that could not be reached. */
    private readonly unreachable = new Set<string>();
    /** Time on the monotonic clock until which a gateway is skipped for a service, by service and gateway. */
    private readonly skippedUntil = new Map<string, number>();
    private stopped = false;
    /** Time on the monotonic clock at which the gatherers may have changed last. */
    private gatherersChangedAt = performance.now();
    private readonly recentWaits = RecentWaits.create();
    /** Name of the last gatherer of each service, for the log. */
    private readonly lastGatherers = new Map<string, string>();

    private constructor(private readonly environment: PieceRouterEnvironment) {}

    static create(environment: PieceRouterEnvironment): PieceRouter {
        return new PieceRouter(environment);
    }

    /** Makes the pieces of one stage of a request at their gatherer; those given back or unanswered go to another. */
    async make(jobs: readonly PieceJob[], signal: AbortSignal): Promise<readonly PieceResult[]> {
        const service = jobs[0]?.service ?? "";
        const results = new Map<PieceJob, PieceResult>();
        let remainingJobs = jobs;
        let timeoutMs = PROGRESS_TIMEOUT_MS;
        const latest = Math.max(0, ...jobs.map(({ deadline }) => deadline.at));
        while (remainingJobs.length > 0 && !signal.aborted && performance.now() < latest) {
            const gatherer = this.gathererOf(service);
            this.logGatherer(service, gatherer?.name ?? this.environment.self.name);
            const order = { service, jobs: remainingJobs };
            const answers =
                gatherer === undefined
                    ? await this.makeHere(order, signal)
                    : await this.sendOrder(gatherer, order, signal, timeoutMs);
            if ("results" in answers) this.recentWaits.record(service, answers.waitMs);
            const unanswered = remainingJobs.filter((job, position) => {
                const answer = "results" in answers ? answers.results[position] : undefined;
                if (answer !== undefined && !isGivenBack(answer)) results.set(job, answer);
                return !results.has(job);
            });
            if (unanswered.length > 0 && gatherer !== undefined && !signal.aborted) {
                if ("reason" in answers) {
                    if (answers.isPeerAlive) timeoutMs *= RESEND_TIMEOUT_RATIO;
                    this.recordUnanswered(gatherer, jobs, answers);
                } else this.skippedUntil.set(`${service} ${gatherer.name}`, performance.now() + GIVEN_BACK_SKIP_MS);
            }
            remainingJobs = unanswered;
        }
        const reason = signal.aborted ? "cancelled" : "late";
        return jobs.map(job => results.get(job) ?? { kind: "lost", reason, retryAfterMs: 0 });
    }

    /** Makes the pieces of another gateway's order, or gives them back if this gateway stops and another gathers. */
    async makeForPeer({ service, jobs }: PeerOrder, signal: AbortSignal): Promise<readonly PieceResult[]> {
        if (jobs.length === 0) return [];
        const mustGiveBack = !this.environment.isGathering() && this.gathererOf(service) !== undefined;
        return mustGiveBack ? jobs.map(() => GIVEN_BACK) : this.environment.queueOf(service).make(jobs, signal);
    }

    /** Called when gatherers may have changed: gives back the waiting pieces of services that another gateway now gathers. */
    handleGathererChange(): void {
        this.gatherersChangedAt = performance.now();
        for (const [service, queue] of this.environment.queues()) {
            const gatherer = queue.length === 0 ? undefined : this.gathererOf(service);
            if (gatherer === undefined) continue;
            this.environment.onDecision("pieces given back", {
                service,
                pieces: queue.length,
                gatherer: gatherer.name,
            });
            queue.giveBack();
        }
    }

    /**
     * Whether no other gateway calls the targets that this one calls. A call to a shared target may wait behind the call
     * of another gatherer. Gateways that stop at the same time each gather their own pieces.
     */
    get gathersAlone(): boolean {
        return this.environment.isGathering() && performance.now() - this.gatherersChangedAt >= HANDOVER_MS;
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

    private routeRelease(order: ReleaseOrder): void {
        const gatherer = this.gathererOf(order.service);
        if (gatherer === undefined) this.releaseHere(order);
        else this.run("release", () => this.releaseAtPeer(gatherer, order));
    }

    /** The gateway that gathers a service's pieces; undefined if it is this one. */
    gathererOf(service: string): GatewayPeer | undefined {
        const now = performance.now();
        const { self, isGathering, otherGateways } = this.environment;
        const others = otherGateways().filter(
            ({ name }) => !this.unreachable.has(name) && (this.skippedUntil.get(`${service} ${name}`) ?? 0) <= now,
        );
        const chosen = chooseCoordinator(service, isGathering() ? [self, ...others] : others);
        return chosen === self ? undefined : chosen;
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
    private recordUnanswered(peer: GatewayPeer, jobs: readonly PieceJob[], call: UnansweredCall): void {
        const { reason, waitedMs, isPeerAlive } = call;
        if (this.unreachable.has(peer.name)) return;
        if (!isPeerAlive) {
            this.unreachable.add(peer.name);
            this.gatherersChangedAt = performance.now();
            this.run("probe of a gateway", () => this.waitUntilReachable(peer, performance.now()));
        }
        this.environment.onDecision(isPeerAlive ? "order sent again" : "gatherer unreachable", {
            peer: peer.name,
            id: jobs[0]?.requestId,
            service: jobs[0]?.service,
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
            if (this.stopped) return;
            if (peer === undefined) break;
            if ("results" in (await this.sendOrder(peer, PROBE, NEVER_ABORTED, PROGRESS_TIMEOUT_MS))) break;
        }
        this.unreachable.delete(unreachablePeer.name);
        this.gatherersChangedAt = performance.now();
        const afterMs = Math.round(performance.now() - since);
        this.environment.onDecision("gatherer reachable again", { peer: unreachablePeer.name, afterMs });
    }

    private run(task: string, run: () => Promise<void>): void {
        runInBackground(task, fields => this.environment.onDecision("task failed unexpectedly", fields), run);
    }

    /** Sends an order. */
    private async sendOrder(
        peer: GatewayPeer,
        { service, jobs }: PeerOrder,
        signal: AbortSignal,
        timeoutMs: number,
    ): Promise<PeerAnswer | UnansweredCall> {
        const { peerCalls } = this.environment;
        const sentAt = performance.now();
        const longest = Math.max(0, ...jobs.map(job => job.deadline.remainingMs()));
        const answer = await peerCalls.call(peer, PEER_PATHS.make, encodeOrder(service, jobs), {
            deadline: Deadline.after(longest + PROGRESS_TIMEOUT_MS),
            signal,
            headTimeoutMs: timeoutMs,
            stallTimeoutMs: timeoutMs,
        });
        const waitedMs = performance.now() - sentAt;
        this.environment.onPeerCall(answer.kind, waitedMs);
        if (answer.kind === "failed") {
            const isPeerAlive = answer.isSilent && peerCalls.silentMs(peer) < PROGRESS_TIMEOUT_MS;
            return { reason: answer.reason, waitedMs, isPeerAlive };
        }
        const unreadable = { reason: "unreadable answer", waitedMs, isPeerAlive: false };
        return decodeAnswer(answer.text, jobs.length) ?? unreadable;
    }

    private logGatherer(service: string, gatherer: string): void {
        const before = this.lastGatherers.get(service);
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

function isGivenBack(result: PieceResult): boolean {
    return result.kind === "lost" && result.reason === "givenBack";
}
