/**
 * The queue of one stage service at the gateway that gathers its pieces.
 *
 * Pieces of all requests and gateways wait here for a free target and are batched into calls. If a call fails or is silent,
 * its pieces are queued again, also for other targets: making a piece twice does no harm. A piece is lost only if no call of
 * it is in progress and none is left, or if it is late.
 */
import type { StageCapacity } from "../gateway/configuration.js";
import type { Target } from "../gateway/target.js";
import { pauseReturnMs } from "../gateway/targetpause.js";
import { runInBackground } from "../model/background.js";
import { LONGEST_SOUND_SILENCE_MS } from "../model/silence.js";
import { WindowBudget } from "../routing/index.js";
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
import { Overload } from "./overload.js";
import type { PieceJob, PieceLossReason, PieceResult } from "./piece.js";
import { mayAsk, type QueuedPiece } from "./queuedpiece.js";
import type { StageQueueEnvironment } from "./queueenvironment.js";
import { ReleaseBatcher } from "./releasebatcher.js";
import { type PieceFailure, StageCalls } from "./stagecalls.js";
import { TargetTrackers } from "./targettracker.js";

/** Number of failed or silent calls after which a piece is lost. */
const MAXIMUM_CALLS_PER_PIECE = 3;

/** Retries for each piece in the window; a service that fails more often gets no more load from retries. */
export const RETRIES_PER_PIECE = 0.2;

/**
 * Further retries in one window: the pieces of several full calls that are lost with their targets. A gateway that takes the
 * gathering over has them anew, because such a loss often comes with that of the gateway before.
 */
export const RETRY_ALLOWANCE = 60;

/** Length in milliseconds of the window over which retries are counted. */
const RETRY_WINDOW_MS = 10_000;

/** Interval in milliseconds at which waiting pieces are checked against deadlines and usable targets. */
const RECHECK_INTERVAL_MS = 25;

/** Shortest retry time in milliseconds for a caller whose pieces were dropped as late. */
const MINIMUM_LATE_RETRY_MS = 500;

/** Bytes between zones that weigh as much as one unit of slowness, which is the expected duration once more. */
const BYTES_PER_SLOWNESS = 100_000_000;

const CANCELLED: PieceResult = { kind: "lost", reason: "cancelled", retryAfterMs: 0 };

/** The queue of one stage service. */
export class StageQueue {
    private waiting: QueuedPiece[] = [];
    private readonly trackers = TargetTrackers.create();
    private readonly releases: ReleaseBatcher;
    private readonly calls: StageCalls;
    private recheckTimer: NodeJS.Timeout | undefined;
    private readonly overload = Overload.create();
    private readonly retryBudget: WindowBudget;

    private constructor(
        private readonly service: string,
        private readonly environment: StageQueueEnvironment,
    ) {
        this.retryBudget = WindowBudget.create({
            windowMs: RETRY_WINDOW_MS,
            fractionOfRequests: RETRIES_PER_PIECE,
            allowance: () => RETRY_ALLOWANCE / (environment.gathererCount?.() ?? 1),
        });
        this.releases = ReleaseBatcher.create({
            ...environment,
            service,
            trackerOf: target => this.trackers.of(target),
            onReleased: () => this.dispatch(),
        });
        this.calls = StageCalls.create({
            ...environment,
            service,
            trackerOf: target => this.trackers.of(target),
            release: handles => this.release(handles),
            run: task => this.run(task),
            onMade: (piece, handle) => this.settle(piece, { kind: "made", handle }),
            onNotMade: (piece, failure) => this.handleFailure(piece, failure),
            onDeclined: pieces => this.queueDeclined(pieces),
            onSilent: pieces => this.queueSilent(pieces),
            onSlotFreed: () => this.dispatch(),
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
        if (signal.aborted) return Promise.resolve(jobs.map(() => CANCELLED));
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
                        callsInProgress: new Set(),
                        isSettled: false,
                        hasUnusedRetry: false,
                        crossZoneBytesByZone,
                        queuedAt,
                        signal,
                        resolve,
                    });
                }),
        );
        signal.addEventListener("abort", () => this.dropCancelled(), { once: true });
        this.dispatch();
        return Promise.all(results).finally(() => jobs.slice(0, 1).forEach(job => this.calls.forgetInputs(job)));
    }

    /** Returns all pieces that are not in a call to their senders, so that another gateway can make them. */
    giveBack(): void {
        for (const piece of this.waiting.splice(0)) {
            if (piece.callsInProgress.size === 0) this.lose(piece, "givenBack");
            else this.returnUnusedRetry(piece);
        }
    }

    /** Releases results that are no longer needed. */
    release(handles: readonly string[]): void {
        this.releases.add(handles);
    }

    /** Releases results that calls in progress have read, if their holder is short of memory. */
    releaseEarly(handles: readonly string[]): void {
        this.releases.addEarly(handles);
    }

    private ownOf(targets: readonly Target[]): readonly Target[] {
        return this.environment.ownTargets?.(targets) ?? targets;
    }

    /** Capacity of the usable targets; undefined until the service is configured. */
    private usableCapacity(): QueueCapacity | undefined {
        const capacity = this.environment.capacity();
        if (capacity === undefined) return undefined;
        const { targets: directory } = this.environment;
        const callsPerSecond = 1_000 / fullCallMs(capacity);
        const speeds = this.ownOf(directory.working(this.service)).map(target => {
            const limitedSpeed = directory.limitPartOf(target) / capacity.slots / callsPerSecond;
            return Math.min(1 / this.trackers.slownessOf(target), limitedSpeed);
        });
        const targets = speeds.reduce((sum, speed) => sum + speed, 0) * capacity.slots;
        return { targets, batch: capacity.batch, callMs: capacity.callMs, pieceMs: capacity.pieceMs };
    }

    /** The refusal of a request whose pieces cannot be made in time; undefined for one that is admitted. */
    private refusalFor(jobs: readonly PieceJob[]): PieceResult | undefined {
        const pauseMs = this.environment.targets.pauseMs(this.service);
        if (pauseMs !== undefined && jobs.every(({ deadline }) => pauseMs >= deadline.remainingMs())) {
            return this.pauseRefusal(jobs[0], pauseMs);
        }
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

    /** The refusal of a piece whose targets have all requested pauses that outlast its deadline. */
    private pauseRefusal(job: PieceJob | undefined, pauseMs: number): PieceResult {
        const { requestId: id, stage } = job ?? {};
        const retryAfterMs = pauseReturnMs(pauseMs);
        this.environment.onDecision("targets paused", {
            id,
            service: this.service,
            stage,
            pauseMs: Math.round(pauseMs),
            retryAfterMs,
        });
        return { kind: "lost", reason: "noTarget", retryAfterMs };
    }

    /** Refuses waiting pieces whose deadline comes before the first pause of a target ends. */
    private refusePaused(): void {
        const pauseMs = this.environment.targets.pauseMs(this.service);
        if (pauseMs === undefined) return;
        for (const piece of [...this.waiting]) {
            if (piece.callsInProgress.size > 0 || piece.deadline.remainingMs() > pauseMs) continue;
            this.settle(piece, this.pauseRefusal(piece, pauseMs));
        }
    }

    private dropCancelled(): void {
        const cancelled = [...this.waiting, ...this.calls.pieces()].filter(({ signal }) => signal.aborted);
        for (const piece of cancelled) this.lose(piece, "cancelled");
    }

    private lose(piece: QueuedPiece, reason: PieceLossReason): void {
        if (piece.isSettled) return;
        const { requestId, stage, index, calls } = piece;
        if (reason !== "cancelled" && reason !== "givenBack") {
            this.environment.onDecision("piece lost", { id: requestId, stage, index, calls, reason });
        }
        const retryAfterMs =
            reason === "late" ? this.overload.recordRefusal(performance.now(), MINIMUM_LATE_RETRY_MS) : 0;
        this.settle(piece, { kind: "lost", reason, retryAfterMs });
    }

    /** Gives a piece its result and takes it out of the queue. */
    private settle(piece: QueuedPiece, result: PieceResult): void {
        if (piece.isSettled) return;
        piece.isSettled = true;
        this.withdraw(piece);
        this.calls.closeUnneeded(piece);
        piece.resolve(result);
    }

    /** Takes a piece out of the queue, if it waits there. */
    private withdraw(piece: QueuedPiece): void {
        const position = this.waiting.indexOf(piece);
        if (position >= 0) this.waiting.splice(position, 1);
        this.returnUnusedRetry(piece);
    }

    private useRetry(piece: QueuedPiece): void {
        if (piece.hasUnusedRetry) this.retryBudget.use();
        piece.hasUnusedRetry = false;
    }

    private returnUnusedRetry(piece: QueuedPiece): void {
        if (piece.hasUnusedRetry) this.retryBudget.giveBack();
        piece.hasUnusedRetry = false;
    }

    /** Sends calls as long as pieces wait and targets are free. */
    private dispatch(): void {
        this.dropLate();
        this.refusePaused();
        const capacity = this.environment.capacity();
        if (capacity !== undefined && this.waiting.length > 0) this.sendCalls(capacity);
        if (this.waiting.length > 0) this.recheckTimer ??= setTimeout(() => this.recheck(), RECHECK_INTERVAL_MS);
    }

    private sendCalls(capacity: StageCapacity): void {
        const usable = this.ownOf(this.environment.targets.usable(this.service));
        let free = usable.filter(target => this.trackers.of(target).isFree(capacity.slots));
        while (free.length > 0 && this.waiting.length > 0) {
            const target = this.bestTarget(free, capacity);
            free = free.filter(other => other !== target);
            const pieces = this.piecesFor(target, usable, capacity);
            if (pieces.length === 0) continue;
            const taken = new Set(pieces);
            this.waiting = this.waiting.filter(piece => !taken.has(piece));
            for (const piece of pieces) this.useRetry(piece);
            this.run(async () => {
                try {
                    await this.calls.send(target, pieces, capacity);
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
            this.trackers.slownessOf(target) * BYTES_PER_SLOWNESS +
            (urgent === undefined ? 0 : this.crossZoneBytesTo(urgent, target.registration.zone));
        return free.reduce((best, target) => (costOf(target) < costOf(best) ? target : best));
    }

    /** The pieces of the next call to a target; none if the waiting pieces should be made elsewhere. */
    private piecesFor(target: Target, usable: readonly Target[], capacity: StageCapacity): readonly QueuedPiece[] {
        const tracker = this.trackers.of(target);
        const freeBytes = tracker.freeBytes(capacity);
        if (this.waiting.every(({ resultBytes }) => resultBytes > freeBytes)) return [];
        const ordered = this.rankFor(target, usable, capacity);
        const allImpaired = usable.every(other => this.trackers.of(other).isImpaired);
        if (allImpaired || !tracker.isImpaired) return fillBatch(ordered, capacity.batch, freeBytes);
        const earliestEnd = performance.now() + fullCallMs(capacity) * tracker.measuredSlowness;
        const onTimePieces = ordered.filter(({ piece }) => piece.targetTime.at >= earliestEnd);
        if (!tracker.isProbeOnly) return fillBatch(onTimePieces, capacity.batch, freeBytes);
        if (!tracker.isProbeDue) return [];
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
            if (!mayAsk(piece, target, now)) return false;
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
        const isForecast = capacity !== undefined && capacity.targets > 0;
        for (const piece of [...this.waiting]) {
            // A piece with a call in progress is not dropped: that call may still make it, and pieces on time go first.
            const isDroppable = isForecast && piece.callsInProgress.size === 0;
            if (piece.deadline.passed() || (isDroppable && shouldDrop(piece, now, onTimeCount, capacity))) {
                this.lose(piece, "late");
            }
        }
    }

    /** Queues the pieces of a silent call once more, as far as calls and the retry budget allow. Returns how many. */
    private queueSilent(pieces: readonly QueuedPiece[]): number {
        let moved = 0;
        for (const piece of pieces) {
            if (piece.isSettled) continue;
            piece.calls += 1;
            if (!this.isWaiting(piece) && this.retry(piece, false)) moved += 1;
        }
        return moved;
    }

    private queueDeclined(pieces: readonly QueuedPiece[]): void {
        for (const piece of pieces) if (!piece.isSettled && !this.isWaiting(piece)) this.waiting.push(piece);
    }

    /** Queues a piece again that a call has not made, or loses it if that was its last call. */
    private handleFailure(piece: QueuedPiece, { reason, isCounted, isBudgetExempt }: PieceFailure): void {
        if (piece.isSettled) return;
        if (reason === "late" || piece.deadline.passed()) return this.lose(piece, "late");
        if (!isCounted) piece.calls += 1;
        else if (piece.callsInProgress.size > 0) return;
        if (this.isWaiting(piece)) return;
        if (reason === "inputGone") return this.awaitCallsInProgress(piece);
        if (!this.retry(piece, isBudgetExempt) && piece.callsInProgress.size === 0) this.lose(piece, reason);
    }

    /**
     * Leaves a piece whose inputs are gone to the calls that are in progress, which may have read them before. It is lost if
     * these are silent for longer than a sound target.
     */
    private awaitCallsInProgress(piece: QueuedPiece): void {
        const startedAt = [...piece.callsInProgress].map(call => call.startedAt);
        const latest = Math.max(Number.NEGATIVE_INFINITY, ...startedAt) + LONGEST_SOUND_SILENCE_MS;
        const waitMs = latest - performance.now();
        if (waitMs <= 0) this.lose(piece, "inputGone");
        else setTimeout(() => this.run(() => this.lose(piece, "inputGone")), waitMs);
    }

    /** Queues a piece again if it has calls left and, unless it is exempt, the retry budget allows it. */
    private retry(piece: QueuedPiece, isBudgetExempt: boolean): boolean {
        if (piece.calls >= MAXIMUM_CALLS_PER_PIECE) return false;
        if (!isBudgetExempt) {
            if (!this.retryBudget.available()) return false;
            this.retryBudget.take();
        }
        piece.hasUnusedRetry = !isBudgetExempt;
        this.waiting.push(piece);
        return true;
    }

    private isWaiting(piece: QueuedPiece): boolean {
        return this.waiting.includes(piece);
    }
}
