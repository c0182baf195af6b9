/**
 * What a gatherer knows of one target that makes pieces: calls in progress, room for results, and slowness.
 *
 * A target that takes several times as long as its service says makes whole calls late. It gets pieces that are on time
 * in spite of that, and later single ones that show whether it is quick again. A target that has not answered in time may
 * be slow or silent; until it answers, it gets single pieces only. Health (src/routing) keeps targets out altogether; this
 * is about those that it lets in.
 */
import type { StageCapacity } from "../gateway/configuration.js";
import { halfLifeWeight } from "../model/decay.js";

/** Results can be larger than their service says; room is kept for that. */
const SIZE_MARGIN = 1.15;

/** Weight of the newest call in the moving average of slowness. */
const SLOWNESS_WEIGHT = 0.5;

/** Time in milliseconds after which half of a slowness is forgotten; the next trial follows within two of these. */
const SLOWNESS_HALF_LIFE_MS = 2_000;

/** Largest slowness from which forgetting starts, so that a silent target is tried again as soon as a very slow one. */
const LARGEST_SLOWNESS = 6;

/** Part of the results' lifetime within which unknown ones are taken to expire; when they have not, a piece tells so. */
const UNKNOWN_LIFETIME = 0.5;

/** From this slowness on a target counts as slow. */
const SLOW_RATIO = 2;

/** A call that takes this many times its expected duration, plus the slack, is given up. */
const CALL_TIMEOUT_RATIO = 2.5;
const CALL_TIMEOUT_SLACK_MS = 400;

/** One target of a stage service. */
export class TargetTracker {
    /** The target gets no call before this time on the monotonic clock. */
    blockedUntil = 0;
    private callsInProgress = 0;
    private reservedBytes = 0;
    private readonly held = new Map<string, { readonly bytes: number; readonly until: number }>();
    /** Results that were released, until the time at which they would have expired. */
    private readonly gone = new Map<string, number>();
    /** Room in bytes that was taken by results of which this gatherer does not know, and when that was seen. */
    private unknownBytes = 0;
    private unknownAt = 0;
    private lastSlowness = 1;
    private measuredAt = 0;
    /** Whether the last call was given up. */
    private isSilent = false;

    private constructor() {}

    static create(): TargetTracker {
        return new TargetTracker();
    }

    /** Duration of a call relative to what the service says; what was measured longer ago counts less. */
    get slowness(): number {
        const weight = halfLifeWeight(performance.now() - this.measuredAt, SLOWNESS_HALF_LIFE_MS);
        return 1 + (Math.min(LARGEST_SLOWNESS, this.lastSlowness) - 1) * weight;
    }

    /**
     * Slowness after the last call, whatever its age. Time makes a trial due but does not show that the target has become
     * quicker, so this decides which pieces are on time there.
     */
    get measuredSlowness(): number {
        return this.lastSlowness;
    }

    get isSlow(): boolean {
        return this.slowness >= SLOW_RATIO;
    }

    /** Whether the target did not answer the last call in time, or was slow long ago, and gets single pieces only. */
    get isProbeOnly(): boolean {
        return this.isSilent || (this.lastSlowness >= SLOW_RATIO && !this.isSlow);
    }

    isFree(slots: number): boolean {
        return this.callsInProgress < slots && this.blockedUntil <= performance.now();
    }

    /** Bytes of results for which the target has room. Unknown results expire one after the other. */
    freeBytes(capacity: StageCapacity): number {
        const age = (performance.now() - this.unknownAt) / (capacity.resultLifetimeMs * UNKNOWN_LIFETIME);
        return this.unreservedBytes(capacity) - this.unknownBytes * Math.max(0, 1 - age);
    }

    /** Whether a full call of pieces like those that are held finds no room. */
    isShortOfRoom(capacity: StageCapacity): boolean {
        const largest = Math.max(0, ...[...this.held.values()].map(({ bytes }) => bytes));
        return this.freeBytes(capacity) < largest * capacity.batch;
    }

    /** A piece found no room although there should have been some: results of an earlier gatherer take it. */
    recordNoRoom(capacity: StageCapacity): void {
        this.unknownBytes = Math.max(0, this.unreservedBytes(capacity));
        this.unknownAt = performance.now();
    }

    private unreservedBytes(capacity: StageCapacity): number {
        const now = performance.now();
        let used = this.reservedBytes;
        for (const [handle, { bytes, until }] of this.held) {
            if (until <= now) this.held.delete(handle);
            else used += bytes;
        }
        return capacity.memoryBytes / SIZE_MARGIN - used;
    }

    /** Time in milliseconds after which a call is given up. */
    callTimeoutMs(expectedMs: number): number {
        return expectedMs * this.slowness * CALL_TIMEOUT_RATIO + CALL_TIMEOUT_SLACK_MS;
    }

    callStarted(bytes: number): void {
        this.callsInProgress += 1;
        this.reservedBytes += bytes;
    }

    callEnded(bytes: number): void {
        this.callsInProgress -= 1;
        this.reservedBytes -= bytes;
    }

    /** A call was answered. `ratio` is its duration relative to what was expected. */
    recordAnswer(ratio: number): void {
        this.isSilent = false;
        this.setSlowness(this.slowness + SLOWNESS_WEIGHT * (ratio - this.slowness));
    }

    /** A call was given up. The target may still work on it for about as long again. */
    recordTimeout(tookMs: number, expectedMs: number): void {
        this.isSilent = true;
        this.setSlowness(Math.max(this.slowness, tookMs / expectedMs));
        this.blockedUntil = performance.now() + expectedMs;
    }

    addResult(handle: string, bytes: number, until: number): void {
        this.held.set(handle, { bytes, until });
    }

    removeResults(handles: readonly string[]): void {
        const now = performance.now();
        for (const [handle, until] of this.gone) if (until <= now) this.gone.delete(handle);
        for (const handle of handles) {
            const until = this.held.get(handle)?.until;
            if (until !== undefined) this.gone.set(handle, until);
            this.held.delete(handle);
        }
    }

    hasReleased(handle: string): boolean {
        return this.gone.has(handle);
    }

    private setSlowness(slowness: number): void {
        this.lastSlowness = Math.max(1, slowness);
        this.measuredAt = performance.now();
    }
}
