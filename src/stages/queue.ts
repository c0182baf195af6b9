/**
 * The queue of one stage service at the gateway that gathers its pieces.
 *
 * Pieces of all requests and gateways wait here for a free target and are batched into calls. If a call fails, its
 * pieces are queued again, also for other targets: making a piece twice does no harm. Late pieces may be dropped.
 */
import type { StageCapacity } from "../gateway/configuration.js";
import type { PieceAnswer } from "../gateway/dialect.js";
import type { Target } from "../gateway/target.js";
import { runInBackground } from "../model/background.js";
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
import { abandonedResults, unmadePieces } from "./piececall.js";
import type { PieceJob, PieceLossReason, PieceResult } from "./piece.js";
import type { StageQueueEnvironment } from "./queueenvironment.js";
import { ReleaseBatcher } from "./releasebatcher.js";
import { TargetTracker } from "./targettracker.js";

/** Number of unsuccessful calls after which a piece is lost. */
const MAXIMUM_CALLS_PER_PIECE = 3;

/** Retries that each piece adds to the budget; a service that fails more often gets no more load from retries. */
export const RETRIES_PER_PIECE = 0.2;

/** Largest burst of retries: the pieces of several full calls that are lost with their targets. */
export const MAXIMUM_RETRY_BURST = 60;

/** Interval in milliseconds at which waiting pieces are checked against deadlines and usable targets. */
const RECHECK_INTERVAL_MS = 25;

/** Time in milliseconds for which a target that reported itself full gets no call. */
const FULL_PAUSE_MS = 60;

/** Shortest retry time in milliseconds for a caller whose pieces were dropped as late. */
const MINIMUM_LATE_RETRY_MS = 500;

/** Fraction of a call's fixed time after which its inputs have been read; targets read them before they start work. */
const INPUT_READ_SHARE = 0.5;

/** Bytes between zones that weigh as much as one unit of slowness, which is the expected duration once more. */
const BYTES_PER_SLOWNESS = 100_000_000;

interface QueuedPiece extends PieceJob {
    /** Unsuccessful calls so far. */
    calls: number;
    /** Cache of bytes moved between zones, by the target's zone; shared by the pieces of one stage of a request. */
    readonly crossZoneBytesByZone: Map<string, number>;
    readonly queuedAt: number;
    readonly signal: AbortSignal;
    readonly resolve: (result: PieceResult) => void;
}

/** The queue of one stage service. */
export class StageQueue {
    private waiting: QueuedPiece[] = [];
    /** One tracker for each registration of a target; a restarted target holds no results. */
    private readonly trackers = new WeakMap<Target, TargetTracker>();
    private readonly releases: ReleaseBatcher;
    private readonly inputUse = InputUse.create();
    private recheckTimer: NodeJS.Timeout | undefined;
    private readonly overload = Overload.create();
    private readonly retryBudget = RetryBudget.create({
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
            trackerOf: target => this.trackerOf(target),
            onReleased: () => this.dispatch(),
        });
    }

    static create(service: string, environment: StageQueueEnvironment): StageQueue {
        return new StageQueue(service, environment);
    }

    get length(): number {
        return this.waiting.length;
    }

    /** Expected wait in milliseconds of a piece that can be on time, until its call starts. */
    get waitMs(): number {
        const capacity = this.usableCapacity();
        if (capacity === undefined || capacity.targets === 0) return 0;
        return forecastMs(this.countOnTime(capacity), 1, capacity) - fullCallMs(capacity);
    }

    /** Makes the pieces of one stage of a request. */
    make(jobs: readonly PieceJob[], signal: AbortSignal): Promise<readonly PieceResult[]> {
        const refusal = this.refusalFor(jobs);
        if (refusal !== undefined) return Promise.resolve(jobs.map(() => refusal));
        const crossZoneBytesByZone = new Map<string, number>();
        const results = jobs.map(
            job =>
                new Promise<PieceResult>(resolve => {
                    this.retryBudget.deposit();
                    const queuedAt = performance.now();
                    this.waiting.push({
                        ...job,
                        calls: 0,
                        crossZoneBytesByZone,
                        queuedAt,
                        signal,
                        resolve,
                    });
                }),
        );
        signal.addEventListener("abort", () => this.dropCancelled(), { once: true });
        this.dispatch();
        return Promise.all(results).finally(() => jobs.slice(0, 1).forEach(job => this.inputUse.forget(job)));
    }

    /** Returns all pieces that are not in a call to their senders, so that another gateway can make them. */
    giveBack(): void {
        for (const piece of this.waiting.splice(0)) this.lose(piece, "givenBack");
    }

    /** Releases results that are no longer needed. */
    release(handles: readonly string[]): void {
        this.releases.add(handles);
    }

    /** Releases results that calls in progress have read, if their holder is short of memory. */
    releaseEarly(handles: readonly string[]): void {
        this.releases.addEarly(handles);
    }

    /** Capacity of the usable targets; undefined until the service is configured. */
    private usableCapacity(): QueueCapacity | undefined {
        const capacity = this.environment.capacity();
        if (capacity === undefined) return undefined;
        const { targets: directory } = this.environment;
        const callsPerSecond = 1_000 / fullCallMs(capacity);
        const speeds = directory.working(this.service).map(target => {
            const limitedSpeed = directory.limitPartOf(target) / capacity.slots / callsPerSecond;
            return Math.min(1 / this.slownessOf(target), limitedSpeed);
        });
        const targets = speeds.reduce((sum, speed) => sum + speed, 0) * capacity.slots;
        return { targets, batch: capacity.batch, callMs: capacity.callMs, pieceMs: capacity.pieceMs };
    }

    /** The refusal of a request whose pieces cannot be made in time; undefined for one that is admitted. */
    private refusalFor(jobs: readonly PieceJob[]): PieceResult | undefined {
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

    private dropCancelled(): void {
        this.waiting = this.waiting.filter(piece => {
            if (!piece.signal.aborted) return true;
            this.lose(piece, "cancelled");
            return false;
        });
    }

    private lose(piece: QueuedPiece, reason: PieceLossReason): void {
        const { requestId, stage, index, calls } = piece;
        if (reason !== "cancelled" && reason !== "givenBack") {
            this.environment.onDecision("piece lost", { id: requestId, stage, index, calls, reason });
        }
        const retryAfterMs =
            reason === "late" ? this.overload.recordRefusal(performance.now(), MINIMUM_LATE_RETRY_MS) : 0;
        piece.resolve({ kind: "lost", reason, retryAfterMs });
    }

    /** Sends calls as long as pieces wait and targets are free. */
    private dispatch(): void {
        this.dropLate();
        const capacity = this.environment.capacity();
        if (capacity !== undefined && this.waiting.length > 0) this.sendCalls(capacity);
        if (this.waiting.length > 0) this.recheckTimer ??= setTimeout(() => this.recheck(), RECHECK_INTERVAL_MS);
    }

    private sendCalls(capacity: StageCapacity): void {
        const usable = this.environment.targets.usable(this.service);
        let free = usable.filter(target => this.trackerOf(target).isFree(capacity.slots));
        while (free.length > 0 && this.waiting.length > 0) {
            const target = this.bestTarget(free, capacity);
            free = free.filter(other => other !== target);
            const pieces = this.piecesFor(target, usable, capacity);
            if (pieces.length === 0) continue;
            const taken = new Set(pieces);
            this.waiting = this.waiting.filter(piece => !taken.has(piece));
            this.run(async () => {
                try {
                    await this.call(target, pieces, capacity);
                } catch (error) {
                    for (const piece of pieces) this.lose(piece, "failed");
                    throw error;
                }
            });
        }
    }

    /** The free target with the lowest cost of slowness and of bytes that the most urgent piece moves between zones. */
    private bestTarget(free: readonly Target[], capacity: StageCapacity): Target {
        const urgent = mostUrgent(this.waiting, performance.now(), fullCallMs(capacity));
        const costOf = (target: Target): number =>
            this.slownessOf(target) * BYTES_PER_SLOWNESS +
            (urgent === undefined ? 0 : this.crossZoneBytesTo(urgent, target.registration.zone));
        return free.reduce((best, target) => (costOf(target) < costOf(best) ? target : best));
    }

    /** The pieces of the next call to a target; none if the waiting pieces should be made elsewhere. */
    private piecesFor(target: Target, usable: readonly Target[], capacity: StageCapacity): readonly QueuedPiece[] {
        const tracker = this.trackerOf(target);
        const freeBytes = tracker.freeBytes(capacity);
        if (this.waiting.every(({ resultBytes }) => resultBytes > freeBytes)) return [];
        const ordered = this.rankFor(target, usable, capacity);
        const allSlow = usable.every(other => this.trackerOf(other).isSlow);
        if (allSlow || (!tracker.isSlow && !tracker.isProbeOnly)) return fillBatch(ordered, capacity.batch, freeBytes);
        const earliestEnd = performance.now() + fullCallMs(capacity) * tracker.measuredSlowness;
        const onTimePieces = ordered.filter(({ piece }) => piece.targetTime.at >= earliestEnd);
        if (!tracker.isProbeOnly) return fillBatch(onTimePieces, capacity.batch, freeBytes);
        // A probe may fail, so it takes the piece that can wait longest.
        return fillBatch((onTimePieces.length > 0 ? onTimePieces : ordered).slice(-1), 1, freeBytes);
    }

    private rankFor(
        target: Target,
        usable: readonly Target[],
        capacity: StageCapacity,
    ): ReturnType<typeof rankForTarget<QueuedPiece>> {
        const now = performance.now();
        const callMs = fullCallMs(capacity);
        const { zone } = target.registration;
        const zones = [...new Set(usable.map(other => other.registration.zone))];
        // When more than a full call waits, holding pieces back would leave calls partly empty.
        const canHoldBack = this.waiting.length <= capacity.batch;
        const candidates = this.waiting.filter(piece => {
            if (!canHoldBack) return true;
            const leastBytes = Math.min(...zones.map(other => this.crossZoneBytesTo(piece, other)));
            return !waitsForCloserTarget(piece, now, callMs, this.crossZoneBytesTo(piece, zone), leastBytes);
        });
        return rankForTarget(candidates, now, callMs, piece => this.crossZoneBytesTo(piece, zone) * capacity.batch);
    }

    private crossZoneBytesTo(piece: QueuedPiece, zone: string): number {
        const known = piece.crossZoneBytesByZone.get(zone);
        if (known !== undefined) return known;
        const zoneOf = (handle: string): string => this.environment.holderOf(handle)?.registration.zone ?? "";
        const bytes = crossZoneBytes(piece, zone, zoneOf, piece.inputBytes);
        piece.crossZoneBytesByZone.set(zone, bytes);
        return bytes;
    }

    private recheck(): void {
        this.recheckTimer = undefined;
        this.run(() => this.dispatch());
    }

    private run(task: () => void | Promise<void>): void {
        const { onDecision } = this.environment;
        runInBackground(`queue of ${this.service}`, fields => onDecision("task failed unexpectedly", fields), task);
    }

    private countOnTime(capacity: QueueCapacity): number {
        const latest = performance.now() + fullCallMs(capacity);
        return this.waiting.filter(piece => piece.targetTime.at >= latest).length;
    }

    private dropLate(): void {
        const now = performance.now();
        if (this.waiting.length === 0) return;
        const capacity = this.usableCapacity();
        const onTimeCount = capacity === undefined ? 0 : this.countOnTime(capacity);
        this.waiting = this.waiting.filter(piece => {
            const isForecast = capacity !== undefined && capacity.targets > 0;
            const isDroppable = isForecast && shouldDrop(piece, now, onTimeCount, capacity);
            if (!piece.deadline.passed() && !isDroppable) return true;
            this.lose(piece, "late");
            return false;
        });
    }

    private async call(target: Target, pieces: readonly QueuedPiece[], capacity: StageCapacity): Promise<void> {
        const { callForPieces, targets } = this.environment;
        const tracker = this.trackerOf(target);
        const bytes = pieces.reduce((sum, piece) => sum + piece.resultBytes, 0);
        const expectedMs = capacity.callMs + pieces.length * capacity.pieceMs;
        const startedAt = performance.now();
        tracker.callStarted(bytes);
        targets.recordSent(target);
        const readMs = capacity.callMs * INPUT_READ_SHARE * tracker.slowness;
        let readTimer: NodeJS.Timeout | undefined;
        const outcome = await callForPieces(target, pieces, tracker.callTimeoutMs(expectedMs), () => {
            readTimer = setTimeout(() => this.recordInputsRead(pieces), readMs);
        });
        clearTimeout(readTimer);
        targets.recordEnded(target);
        tracker.callEnded(bytes);
        const tookMs = performance.now() - startedAt;
        if (outcome.kind === "answered") {
            tracker.recordAnswer(tookMs / expectedMs);
            targets.recordSuccess(target, tookMs / expectedMs);
            this.logUnmade(target, pieces, outcome.answers, tracker.freeBytes(capacity));
            const until = performance.now() + capacity.resultLifetimeMs;
            pieces.forEach((piece, index) => {
                const answer = outcome.answers[index];
                if (answer?.kind === "made") tracker.addResult(answer.handle, piece.resultBytes, until);
                this.settle(piece, answer);
            });
            if (outcome.answers.some(answer => answer.kind === "noRoom")) tracker.recordNoRoom(capacity);
        } else {
            this.environment.onDecision("stage call failed", {
                service: this.service,
                target: target.name,
                ids: pieces.map(piece => piece.requestId),
                reason: outcome.reason,
                tookMs: Math.round(tookMs),
                expectedMs: Math.round(expectedMs),
                slowness: Math.round(tracker.slowness * 10) / 10,
            });
            if (outcome.kind === "full") {
                targets.recordInconclusive(target);
                tracker.blockedUntil = performance.now() + FULL_PAUSE_MS;
                for (const piece of pieces) this.waiting.push(piece);
            } else {
                if (outcome.kind === "gaveUp") {
                    targets.recordFailure(target);
                    tracker.recordTimeout(tookMs, expectedMs);
                } else {
                    targets.recordUnreachable(target);
                }
                for (const piece of pieces) this.retry(piece, "failed", outcome.kind === "notSent");
            }
        }
        // Results of cancelled requests must not occupy their holder's memory.
        this.release(abandonedResults(pieces, outcome));
        this.dispatch();
    }

    private recordInputsRead(pieces: readonly QueuedPiece[]): void {
        const handles = this.inputUse.recordRead(pieces);
        if (handles.length > 0) this.environment.onInputsRead(handles);
    }

    /** Logs one line for a call in which some pieces were not made. */
    private logUnmade(
        target: Target,
        pieces: readonly QueuedPiece[],
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

    private settle(piece: QueuedPiece, answer: PieceAnswer | undefined): void {
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

    /** Queues a piece again if it has calls left and, unless it is exempt, the retry budget allows it. */
    private retry(piece: QueuedPiece, reason: PieceLossReason, isBudgetExempt: boolean): void {
        if (piece.signal.aborted) return this.lose(piece, "cancelled");
        piece.calls += 1;
        if (piece.calls >= MAXIMUM_CALLS_PER_PIECE) return this.lose(piece, reason);
        if (!isBudgetExempt) {
            if (!this.retryBudget.available()) return this.lose(piece, reason);
            this.retryBudget.take();
        }
        this.waiting.push(piece);
    }

    /** Slowness of a slow target, and 1 for others, so that small differences do not affect the choice. */
    private slownessOf(target: Target): number {
        const tracker = this.trackerOf(target);
        return tracker.isSlow ? tracker.slowness : 1;
    }

    private trackerOf(target: Target): TargetTracker {
        const existing = this.trackers.get(target);
        if (existing !== undefined) return existing;
        const created = TargetTracker.create();
        this.trackers.set(target, created);
        return created;
    }
}
