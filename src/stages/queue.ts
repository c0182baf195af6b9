/**
 * The queue of one stage service at the gateway that gathers its pieces.
 *
 * Pieces of all requests and gateways wait here for a free target, are put into calls together, and are asked for again
 * elsewhere when a call breaks. A piece may be made twice without harm; a request whose time is up is given up.
 */
import type { StageCapacity } from "../gateway/configuration.js";
import type { PieceAnswer } from "../gateway/dialect.js";
import type { Target, TargetDirectory } from "../gateway/target.js";
import { RetryBudget } from "../routing/index.js";
import {
    admit,
    crossZoneBytes,
    fillBatch,
    forecastMs,
    fullCallMs,
    mostUrgent,
    type QueueCapacity,
    rankForTarget,
    shouldDrop,
    waitsForCloserTarget,
} from "./batch.js";
import { InputUse } from "./inputuse.js";
import { Overload } from "./overload.js";
import { abandonedResults, type CallOutcome, unmadePieces } from "./piececall.js";
import type { PieceJob, PieceLossReason, PieceResult } from "./piece.js";
import { ReleaseBatcher } from "./releasebatcher.js";
import { TargetTracker } from "./targettracker.js";

/** What a queue works with. */
export interface StageQueueEnvironment {
    readonly targets: TargetDirectory;
    /** Asks a target for pieces; gives up after a time in milliseconds. `onSent` is called when the target was reached. */
    readonly callForPieces: (
        target: Target,
        pieces: readonly PieceJob[],
        timeoutMs: number,
        onSent: () => void,
    ) => Promise<CallOutcome>;
    /** Tells a target that results are not needed any more. Resolves to the reason of a failure. */
    readonly releaseResults: (target: Target, handles: readonly string[]) => Promise<string | undefined>;
    /** The target that holds a result; undefined when it is not registered. */
    readonly holderOf: (handle: string) => Target | undefined;
    readonly capacity: () => StageCapacity | undefined;
    /** Called with results that calls in progress have read and that nothing else needs. */
    readonly onInputsRead: (handles: readonly string[]) => void;
    readonly onDecision: (decision: string, detail: Readonly<Record<string, unknown>>) => void;
}

/** Calls in which a piece may be asked for. */
const MAXIMUM_CALLS_PER_PIECE = 3;

/** Repeats that each piece allows; a service that fails more often than that gets no more work by repeats. */
export const RETRIES_PER_PIECE = 0.2;

/** Repeats that are allowed at once: those of some full calls that are lost with their targets. */
export const MAXIMUM_RETRY_BURST = 60;

/** Time in milliseconds between two looks for a usable target while pieces wait and none is free. */
const RECHECK_MS = 25;

/** Time in milliseconds for which a target that was full gets no call. */
const FULL_PAUSE_MS = 60;

/** Shortest time in milliseconds after which a caller whose pieces were given up as late comes back. */
const LATE_RETRY_MS = 500;

/** Part of a call's fixed time after which its inputs have been read; targets read them before they begin to work. */
const READ_SHARE = 0.5;

/** Bytes between zones that weigh as much as a target being slower by its expected time. */
const SLOWNESS_BYTES = 100_000_000;

interface Waiting extends PieceJob {
    calls: number;
    /** Bytes between zones by zone of the target; pieces of one stage of a request share them. */
    readonly crossingByZone: Map<string, number>;
    readonly queuedAt: number;
    readonly signal: AbortSignal;
    readonly resolve: (result: PieceResult) => void;
}

/** The queue of one stage service. */
export class StageQueue {
    private waiting: Waiting[] = [];
    /** Each registration of a target has its own; a restarted target holds no results. */
    private readonly makers = new WeakMap<Target, TargetTracker>();
    private readonly releases: ReleaseBatcher;
    private readonly inputUse = InputUse.create();
    private timer: NodeJS.Timeout | undefined;
    private readonly overload = Overload.create();
    private readonly budget = RetryBudget.create({
        fractionOfRequests: RETRIES_PER_PIECE,
        perSecond: 0,
        maximum: MAXIMUM_RETRY_BURST,
    });

    private constructor(
        private readonly service: string,
        private readonly environment: StageQueueEnvironment,
    ) {
        this.releases = ReleaseBatcher.create({
            ...environment,
            service,
            trackerOf: target => this.makerOf(target),
            onReleased: () => this.dispatch(),
        });
    }

    static create(service: string, environment: StageQueueEnvironment): StageQueue {
        return new StageQueue(service, environment);
    }

    get length(): number {
        return this.waiting.length;
    }

    /** Time in milliseconds that a piece which can be on time waits for its call. */
    get waitMs(): number {
        const capacity = this.usableCapacity();
        if (capacity === undefined || capacity.targets === 0) return 0;
        return forecastMs(this.countOnTime(capacity), 1, capacity) - fullCallMs(capacity);
    }

    /** Makes the pieces of one request's stage. */
    make(jobs: readonly PieceJob[], signal: AbortSignal): Promise<readonly PieceResult[]> {
        const refusal = this.refusal(jobs);
        if (refusal !== undefined) return Promise.resolve(jobs.map(() => refusal));
        const crossingByZone = new Map<string, number>();
        const results = jobs.map(
            job =>
                new Promise<PieceResult>(resolve => {
                    this.budget.deposit();
                    const queuedAt = performance.now();
                    this.waiting.push({ ...job, calls: 0, crossingByZone, queuedAt, signal, resolve });
                }),
        );
        signal.addEventListener("abort", () => this.drop(), { once: true });
        this.dispatch();
        return Promise.all(results).finally(() => jobs.slice(0, 1).forEach(job => this.inputUse.forget(job)));
    }

    /** Ends the wait of all pieces that are in no call, so that another gateway can make them. */
    giveBack(): void {
        for (const piece of this.waiting.splice(0)) this.lose(piece, "givenBack");
    }

    /** Gives up results that are not needed any more. */
    release(handles: readonly string[]): void {
        this.releases.add(handles);
    }

    /** Gives up results that calls in progress have read, where their room is needed. */
    releaseEarly(handles: readonly string[]): void {
        this.releases.addEarly(handles);
    }

    /** Capacity of the targets that can be used now; undefined while the service is not configured. */
    private usableCapacity(): QueueCapacity | undefined {
        const capacity = this.environment.capacity();
        if (capacity === undefined) return undefined;
        const usable = this.environment.targets.usable(this.service);
        const speeds = usable.map(target => 1 / this.slownessOf(target));
        const targets = speeds.reduce((sum, speed) => sum + speed, 0) * capacity.slots;
        return { targets, batch: capacity.batch, callMs: capacity.callMs, pieceMs: capacity.pieceMs };
    }

    /** Refuses a request whose pieces cannot be made in time, so that it does not wait in vain. */
    private refusal(jobs: readonly PieceJob[]): PieceResult | undefined {
        const capacity = this.usableCapacity();
        if (capacity === undefined) return undefined;
        const admission = admit(this.waiting, jobs, capacity, performance.now());
        if (admission.kind !== "refused") return undefined;
        const { neededMs } = admission;
        const retryAfterMs = this.overload.recordRefusal(performance.now(), admission.retryAfterMs);
        this.environment.onDecision("stage refused", {
            id: jobs[0]?.requestId,
            service: this.service,
            stage: jobs[0]?.stage,
            waiting: this.waiting.length,
            targets: capacity.targets,
            neededMs: Math.round(neededMs),
            remainingMs: Math.round(jobs[0]?.deadline.remainingMs() ?? 0),
            retryAfterMs: Math.round(retryAfterMs),
        });
        return { kind: "lost", reason: "overloaded", retryAfterMs };
    }

    private drop(): void {
        this.waiting = this.waiting.filter(piece => {
            if (!piece.signal.aborted) return true;
            this.lose(piece, "cancelled");
            return false;
        });
    }

    private lose(piece: Waiting, reason: PieceLossReason): void {
        const { requestId, stage, index, calls } = piece;
        if (reason !== "cancelled" && reason !== "givenBack") {
            this.environment.onDecision("piece lost", { id: requestId, stage, index, calls, reason });
        }
        const retryAfterMs = reason === "late" ? this.overload.recordRefusal(performance.now(), LATE_RETRY_MS) : 0;
        piece.resolve({ kind: "lost", reason, retryAfterMs });
    }

    /** Sends calls while pieces wait and targets are free. */
    private dispatch(): void {
        this.dropLate();
        const capacity = this.environment.capacity();
        if (capacity === undefined || this.waiting.length === 0) return;
        const usable = this.environment.targets.usable(this.service);
        let free = usable.filter(target => this.makerOf(target).isFree(capacity.slots));
        while (free.length > 0 && this.waiting.length > 0) {
            const target = this.bestTarget(free, capacity);
            free = free.filter(other => other !== target);
            const pieces = this.piecesFor(target, usable, capacity);
            if (pieces.length === 0) continue;
            const taken = new Set(pieces);
            this.waiting = this.waiting.filter(piece => !taken.has(piece));
            void this.call(target, pieces, capacity);
        }
        if (this.waiting.length > 0) this.timer ??= setTimeout(() => this.recheck(), RECHECK_MS);
    }

    /** Of the free targets that are not slow, the one to which the most urgent piece moves least between zones. */
    private bestTarget(free: readonly Target[], capacity: StageCapacity): Target {
        const first = mostUrgent(this.waiting, performance.now(), fullCallMs(capacity));
        const cost = (target: Target): number =>
            this.slownessOf(target) * SLOWNESS_BYTES +
            (first === undefined ? 0 : this.crossingBytes(first, target.registration.zone));
        return free.reduce((best, target) => (cost(target) < cost(best) ? target : best));
    }

    /** The pieces of the next call to a target; none when those that wait are better made elsewhere. */
    private piecesFor(target: Target, usable: readonly Target[], capacity: StageCapacity): readonly Waiting[] {
        const maker = this.makerOf(target);
        const freeBytes = maker.freeBytes(capacity);
        if (this.waiting.every(({ resultBytes }) => resultBytes > freeBytes)) return [];
        const ordered = this.orderFor(target, usable, capacity);
        const onlySlow = usable.every(other => this.makerOf(other).isSlow);
        if (onlySlow || (!maker.isSlow && !maker.isProbeOnly)) return fillBatch(ordered, capacity.batch, freeBytes);
        const earliest = performance.now() + fullCallMs(capacity) * maker.measuredSlowness;
        const patient = ordered.filter(({ piece }) => piece.targetTime.at >= earliest);
        if (!maker.isProbeOnly) return fillBatch(patient, capacity.batch, freeBytes);
        // The piece that can wait longest is asked for, since the call may be in vain.
        return fillBatch((patient.length > 0 ? patient : ordered).slice(-1), 1, freeBytes);
    }

    private orderFor(
        target: Target,
        usable: readonly Target[],
        capacity: StageCapacity,
    ): ReturnType<typeof rankForTarget<Waiting>> {
        const now = performance.now();
        const callMs = fullCallMs(capacity);
        const { zone } = target.registration;
        const zones = [...new Set(usable.map(other => other.registration.zone))];
        // With a full call waiting, holding pieces back would leave calls half empty.
        const held = this.waiting.length <= capacity.batch;
        const candidates = this.waiting.filter(piece => {
            if (!held) return true;
            const least = Math.min(...zones.map(other => this.crossingBytes(piece, other)));
            return !waitsForCloserTarget(piece, now, callMs, this.crossingBytes(piece, zone), least);
        });
        return rankForTarget(candidates, now, callMs, piece => this.crossingBytes(piece, zone) * capacity.batch);
    }

    private crossingBytes(piece: Waiting, zone: string): number {
        const known = piece.crossingByZone.get(zone);
        if (known !== undefined) return known;
        const zoneOf = (handle: string): string => this.environment.holderOf(handle)?.registration.zone ?? "";
        const bytes = crossZoneBytes(piece, zone, zoneOf, piece.inputBytes);
        piece.crossingByZone.set(zone, bytes);
        return bytes;
    }

    private recheck(): void {
        this.timer = undefined;
        this.dispatch();
    }

    private countOnTime(capacity: QueueCapacity): number {
        const latest = performance.now() + fullCallMs(capacity);
        return this.waiting.filter(piece => piece.targetTime.at >= latest).length;
    }

    private dropLate(): void {
        const now = performance.now();
        const capacity = this.usableCapacity();
        if (capacity === undefined || this.waiting.length === 0) return;
        const onTime = this.countOnTime(capacity);
        this.waiting = this.waiting.filter(piece => {
            const hopeless = capacity.targets > 0 && shouldDrop(piece, now, onTime, capacity);
            if (!piece.deadline.passed() && !hopeless) return true;
            this.lose(piece, "late");
            return false;
        });
    }

    private async call(target: Target, pieces: readonly Waiting[], capacity: StageCapacity): Promise<void> {
        const { callForPieces, targets } = this.environment;
        const maker = this.makerOf(target);
        const bytes = pieces.reduce((sum, piece) => sum + piece.resultBytes, 0);
        const expectedMs = capacity.callMs + pieces.length * capacity.pieceMs;
        const startedAt = performance.now();
        maker.callStarted(bytes);
        targets.recordSent(target);
        const readMs = capacity.callMs * READ_SHARE * maker.slowness;
        let readTimer: NodeJS.Timeout | undefined;
        const outcome = await callForPieces(target, pieces, maker.callTimeoutMs(expectedMs), () => {
            readTimer = setTimeout(() => this.noteRead(pieces), readMs);
        });
        clearTimeout(readTimer);
        targets.recordEnded(target);
        maker.callEnded(bytes);
        const tookMs = performance.now() - startedAt;
        if (outcome.kind === "answered") {
            maker.recordAnswer(tookMs / expectedMs);
            targets.recordSuccess(target, tookMs / expectedMs);
            this.noteUnmade(target, pieces, outcome.answers, maker.freeBytes(capacity));
            const until = performance.now() + capacity.resultLifetimeMs;
            pieces.forEach((piece, index) => {
                const answer = outcome.answers[index];
                if (answer?.kind === "made") maker.addResult(answer.handle, piece.resultBytes, until);
                this.settle(piece, answer);
            });
            if (outcome.answers.some(answer => answer.kind === "noRoom")) maker.recordNoRoom(capacity);
        } else {
            this.environment.onDecision("stage call failed", {
                service: this.service,
                target: target.name,
                ids: pieces.map(piece => piece.requestId),
                reason: outcome.reason,
                tookMs: Math.round(tookMs),
                expectedMs: Math.round(expectedMs),
                slowness: Math.round(maker.slowness * 10) / 10,
            });
            if (outcome.kind === "full") {
                targets.recordInconclusive(target);
                maker.blockedUntil = performance.now() + FULL_PAUSE_MS;
                for (const piece of pieces) this.waiting.push(piece);
            } else {
                if (outcome.kind === "gaveUp") {
                    targets.recordFailure(target);
                    maker.recordTimeout(tookMs, expectedMs);
                } else {
                    targets.recordUnreachable(target);
                }
                for (const piece of pieces) this.retry(piece, "failed", outcome.kind === "notSent");
            }
        }
        // The result's holder must not keep what nobody waits for.
        this.release(abandonedResults(pieces, outcome));
        this.dispatch();
    }

    private noteRead(pieces: readonly Waiting[]): void {
        const handles = this.inputUse.recordRead(pieces);
        if (handles.length > 0) this.environment.onInputsRead(handles);
    }

    /** One line for a call of which some pieces were not made. */
    private noteUnmade(
        target: Target,
        pieces: readonly Waiting[],
        answers: readonly PieceAnswer[],
        freeBytes: number,
    ): void {
        const unmade = unmadePieces(pieces, answers);
        if (unmade.length === 0) return;
        this.environment.onDecision("pieces not made", {
            service: this.service,
            target: target.name,
            asked: pieces.length,
            unmade: unmade.length,
            reasons: [...new Set(unmade.map(({ kind }) => kind))],
            ids: [...new Set(unmade.map(({ id }) => id))],
            freeBytes: Math.round(freeBytes),
        });
    }

    private settle(piece: Waiting, answer: PieceAnswer | undefined): void {
        switch (answer?.kind) {
            case "made":
                return piece.resolve({ kind: "made", handle: answer.handle });
            case "late":
                return this.lose(piece, "late");
            case "inputGone":
                return this.lose(piece, "inputGone");
            case "noRoom":
                return this.retry(piece, "noRoom", true);
            default:
                return this.retry(piece, "failed", false);
        }
    }

    /** Puts a piece back into the queue, if it may be asked for once more. */
    private retry(piece: Waiting, reason: PieceLossReason, free: boolean): void {
        if (piece.signal.aborted) return this.lose(piece, "cancelled");
        piece.calls += 1;
        if (piece.calls >= MAXIMUM_CALLS_PER_PIECE) return this.lose(piece, reason);
        if (!free) {
            if (!this.budget.available()) return this.lose(piece, reason);
            this.budget.take();
        }
        this.waiting.push(piece);
    }

    /** Slowness of a target as far as it matters for the choice; small differences do not. */
    private slownessOf(target: Target): number {
        const maker = this.makerOf(target);
        return maker.isSlow ? maker.slowness : 1;
    }

    private makerOf(target: Target): TargetTracker {
        const existing = this.makers.get(target);
        if (existing !== undefined) return existing;
        const created = TargetTracker.create();
        this.makers.set(target, created);
        return created;
    }
}
