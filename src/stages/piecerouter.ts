/**
 * Where pieces are put into calls: each stage service has one gateway that gathers the pieces of all gateways.
 *
 * Several gateways that each fill calls from their own requests would send many small calls. The gatherer is chosen by
 * rendezvous hashing over the registered gateways, so no agreement is needed: two gateways with different views only
 * send smaller calls. A gatherer that cannot be reached is passed over, at last by the gateway itself.
 *
 * A gateway that stops, or sees that another one gathers a service now, gives the waiting pieces back to those who sent
 * them: two gatherers would each forecast from their own queue alone, take on too much for the targets that they share, and
 * send calls that wait for each other.
 */
import { NEVER_ABORTED } from "../gateway/attempt.js";
import type { GatewayPeer } from "../gateway/peers.js";
import { Deadline } from "../model/index.js";
import { rendezvousWeight } from "../routing/index.js";
import {
    decodeAnswer,
    encodeOrder,
    encodeRelease,
    type PeerAnswer,
    type PeerOrder,
    type ReleaseOrder,
} from "./order.js";
import { PeerCalls } from "./peercalls.js";
import type { PieceJob, PieceResult } from "./piece.js";
import type { StageQueue } from "./queue.js";
import { RecentWaits } from "./waits.js";

/** Paths of the gateways' own interface. */
export const PEER_PATHS = { make: "/pieces", release: "/releases" } as const;

/** Interval in milliseconds at which a gatherer shows that it is still working on an order. */
export const PROGRESS_INTERVAL_MS = 200;

/** Silence in milliseconds after which a gatherer is passed over: three missed signs of progress. */
const PROGRESS_TIMEOUT_MS = 700;

/** Time in milliseconds for which a gatherer that gave pieces back is passed over: the store tells the change by then. */
const GIVEN_BACK_PAUSE_MS = 1_500;

/** Interval in milliseconds at which a gatherer that could not be reached is asked whether it is back. */
const PROBE_INTERVAL_MS = 1_000;

/** Time in milliseconds for passing on released results. */
const RELEASE_TIMEOUT_MS = 500;

const GIVEN_BACK: PieceResult = { kind: "lost", reason: "givenBack", retryAfterMs: 0 };

/** What gathering works with. */
export interface PieceRouterEnvironment {
    readonly self: string;
    /** All registered gateways, this one included. */
    readonly peers: () => readonly GatewayPeer[];
    /** Whether this gateway gathers at all; one that stops does so only when there is no other. */
    readonly isGathering: () => boolean;
    readonly queueOf: (service: string) => StageQueue;
    /** The queues that exist, by service. */
    readonly queues: () => ReadonlyMap<string, StageQueue>;
    readonly onDecision: (decision: string, detail: Readonly<Record<string, unknown>>) => void;
}

/** Sends pieces to their gatherer. */
export class PieceRouter {
    /** Gateways that could not be reached, by name. */
    private readonly unreachable = new Set<string>();
    /** Time on the monotonic clock until which a gateway does not gather a service, by service and gateway. */
    private readonly passedOverUntil = new Map<string, number>();
    private readonly peerCalls = PeerCalls.create();
    private stopped = false;
    private readonly waits = RecentWaits.create();

    private constructor(private readonly environment: PieceRouterEnvironment) {}

    static create(environment: PieceRouterEnvironment): PieceRouter {
        return new PieceRouter(environment);
    }

    /** Makes the pieces of one stage of a request. */
    async make(jobs: readonly PieceJob[], signal: AbortSignal): Promise<readonly PieceResult[]> {
        const service = jobs[0]?.service ?? "";
        const results = new Map<PieceJob, PieceResult>();
        let open = jobs;
        while (open.length > 0 && !signal.aborted) {
            const gatherer = this.gathererOf(service);
            const answers =
                gatherer === undefined
                    ? await this.makeHere(service, open, signal)
                    : await this.makeAt(gatherer, service, open, signal);
            const unanswered = open.filter((job, position) => {
                const answer = answers?.[position];
                if (answer !== undefined && !isGivenBack(answer)) results.set(job, answer);
                return !results.has(job);
            });
            if (unanswered.length > 0 && gatherer !== undefined && !signal.aborted) {
                if (answers === undefined) this.noteUnreachable(gatherer, jobs);
                else this.passedOverUntil.set(`${service} ${gatherer.name}`, performance.now() + GIVEN_BACK_PAUSE_MS);
            }
            open = unanswered;
        }
        return jobs.map(job => results.get(job) ?? { kind: "lost", reason: "cancelled", retryAfterMs: 0 });
    }

    /** Makes the pieces of another gateway's order. */
    async makeForPeer({ service, jobs }: PeerOrder, signal: AbortSignal): Promise<readonly PieceResult[]> {
        if (jobs.length === 0) return [];
        const refused = !this.environment.isGathering() && this.gathererOf(service) !== undefined;
        return refused ? jobs.map(() => GIVEN_BACK) : this.environment.queueOf(service).make(jobs, signal);
    }

    /** Gives back the waiting pieces of services that another gateway gathers now. */
    giveBack(): void {
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

    /** Time in milliseconds that pieces of a service waited of late; it counts less the longer ago it was told. */
    recentWaitMs(service: string): number {
        return this.waits.waitMs(service);
    }

    /** Time in milliseconds that a piece waits in this gateway's queue of a service. */
    queueWaitMs(service: string): number {
        return this.environment.queues().get(service)?.waitMs ?? 0;
    }

    private async makeHere(
        service: string,
        jobs: readonly PieceJob[],
        signal: AbortSignal,
    ): Promise<readonly PieceResult[]> {
        const queue = this.environment.queueOf(service);
        const results = await queue.make(jobs, signal);
        this.waits.record(service, queue.waitMs);
        return results;
    }

    /** Gives up results that are not needed any more. */
    release(service: string, handles: readonly string[]): void {
        this.passOn({ service, handles, isEarly: false });
    }

    /** Gives up results that calls in progress have read and that nothing else needs, where their room is needed. */
    releaseEarly(service: string, handles: readonly string[]): void {
        this.passOn({ service, handles, isEarly: true });
    }

    /** Gives up results for this or another gateway. */
    releaseHere({ service, handles, isEarly }: ReleaseOrder): void {
        const queue = this.environment.queueOf(service);
        if (isEarly) queue.releaseEarly(handles);
        else queue.release(handles);
    }

    private passOn(order: ReleaseOrder): void {
        const gatherer = this.gathererOf(order.service);
        if (gatherer === undefined) this.releaseHere(order);
        else void this.releaseAt(gatherer, order);
    }

    /** The gateway that gathers a service's pieces; undefined for this one. */
    gathererOf(service: string): GatewayPeer | undefined {
        const now = performance.now();
        let best: GatewayPeer | undefined;
        let bestWeight = this.environment.isGathering()
            ? rendezvousWeight(service, this.environment.self)
            : Number.NEGATIVE_INFINITY;
        for (const peer of this.environment.peers()) {
            if (peer.name === this.environment.self) continue;
            if (this.unreachable.has(peer.name)) continue;
            if ((this.passedOverUntil.get(`${service} ${peer.name}`) ?? 0) > now) continue;
            const weight = rendezvousWeight(service, peer.name);
            if (weight > bestWeight) [best, bestWeight] = [peer, weight];
        }
        return best;
    }

    /** Ends the questions to gateways that could not be reached, and closes unused connections. */
    stop(): void {
        this.stopped = true;
        this.peerCalls.close();
    }

    /** Passes a gateway over until it answers again. Pieces are not used to find out, since each would be late. */
    private noteUnreachable(peer: GatewayPeer, jobs: readonly PieceJob[]): void {
        if (this.unreachable.has(peer.name)) return;
        this.unreachable.add(peer.name);
        this.environment.onDecision("gatherer unreachable", { peer: peer.name, id: jobs[0]?.requestId });
        void this.waitUntilReachable(peer, performance.now());
    }

    private async waitUntilReachable(lost: GatewayPeer, since: number): Promise<void> {
        const registered = (): GatewayPeer | undefined =>
            this.environment.peers().find(({ name }) => name === lost.name);
        for (;;) {
            await new Promise(resolve => setTimeout(resolve, PROBE_INTERVAL_MS).unref());
            const peer = registered();
            if (this.stopped) return;
            if (peer === undefined || (await this.order(peer, "", [], NEVER_ABORTED)) !== undefined) break;
        }
        this.unreachable.delete(lost.name);
        const afterMs = Math.round(performance.now() - since);
        this.environment.onDecision("gatherer reachable again", { peer: lost.name, afterMs });
    }

    private async makeAt(
        peer: GatewayPeer,
        service: string,
        jobs: readonly PieceJob[],
        signal: AbortSignal,
    ): Promise<readonly PieceResult[] | undefined> {
        const answer = await this.order(peer, service, jobs, signal);
        if (answer !== undefined) this.waits.record(service, answer.waitMs);
        return answer?.results;
    }

    /** Sends an order; undefined when the gateway does not answer it. */
    private async order(
        peer: GatewayPeer,
        service: string,
        jobs: readonly PieceJob[],
        signal: AbortSignal,
    ): Promise<PeerAnswer | undefined> {
        const longest = Math.max(0, ...jobs.map(job => job.deadline.remainingMs()));
        const answer = await this.peerCalls.call(peer, PEER_PATHS.make, encodeOrder(service, jobs), {
            deadline: Deadline.after(longest + PROGRESS_TIMEOUT_MS),
            signal,
            headTimeoutMs: PROGRESS_TIMEOUT_MS,
            stallTimeoutMs: PROGRESS_TIMEOUT_MS,
        });
        return answer.kind === "answered" ? decodeAnswer(answer.text, jobs.length) : undefined;
    }

    private async releaseAt(peer: GatewayPeer, order: ReleaseOrder): Promise<void> {
        const limits = { deadline: Deadline.after(RELEASE_TIMEOUT_MS), signal: NEVER_ABORTED };
        const answer = await this.peerCalls.call(peer, PEER_PATHS.release, encodeRelease(order), limits);
        if (answer.kind === "answered") return;
        this.environment.onDecision("release passed on failed", { peer: peer.name, reason: answer.reason });
        this.releaseHere(order);
    }
}

function isGivenBack(result: PieceResult): boolean {
    return result.kind === "lost" && result.reason === "givenBack";
}
