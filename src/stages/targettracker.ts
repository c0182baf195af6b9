/**
 * What a gatherer knows about one target: calls in progress, memory for results, and slowness.
 *
 * A target that takes several times as long as configured makes whole calls late. It gets only pieces that are on time
 * in spite of that, and later single pieces as probes that show whether it is fast again. A target that did not answer
 * in time may be slow or unresponsive; it gets only single pieces until it answers. Health (src/routing) ejects targets
 * altogether; this applies to the others.
 */
import type { StageCapacity } from "../gateway/configuration.js";
import { halfLifeWeight } from "../model/decay.js";

/** Factor by which results may exceed their configured size; memory is kept free for that. */
const SIZE_MARGIN = 1.15;

/** Weight of the latest call in the moving average of slowness. */
const SLOWNESS_WEIGHT = 0.5;

/** Half-life of a measured slowness in milliseconds; the next probe follows within two half-lives. */
const SLOWNESS_HALF_LIFE_MS = 2_000;

/** Largest slowness from which decay starts, so that an unresponsive target is probed as soon as a very slow one. */
const LARGEST_SLOWNESS = 6;

/**
 * Fraction of the results' lifetime within which results of an earlier gatherer are assumed to expire. If they have
 * not, the next piece finds no room again.
 */
const UNKNOWN_LIFETIME_SHARE = 0.5;

/** Slowness from which a target counts as slow. */
const SLOW_RATIO = 2;

/** A call times out after this many times its expected duration, plus the slack. */
const CALL_TIMEOUT_RATIO = 2.5;
const CALL_TIMEOUT_SLACK_MS = 400;

/** Tracks one target of a stage service. */
export class TargetTracker {
    /** The target gets no call before this time on the monotonic clock. */
    blockedUntil = 0;
    private callsInProgress = 0;
    private reservedBytes = 0;
    private readonly results = new Map<string, { readonly bytes: number; readonly until: number }>();
    /** Released results, with the time at which they would have expired. */
    private readonly releasedUntil = new Map<string, number>();
    /** Bytes occupied by results of an earlier gatherer, and the time at which they were noticed. */
    private unknownBytes = 0;
    private unknownAt = 0;
    private latestSlowness = 1;
    private measuredAt = 0;
    private lastCallTimedOut = false;

    private constructor() {}

    static create(): TargetTracker {
        return new TargetTracker();
    }

    /** Duration of calls relative to the configured one; a measurement decays towards 1 as it ages. */
    get slowness(): number {
        const weight = halfLifeWeight(performance.now() - this.measuredAt, SLOWNESS_HALF_LIFE_MS);
        return 1 + (Math.min(LARGEST_SLOWNESS, this.latestSlowness) - 1) * weight;
    }

    /**
     * Slowness after the last call, without decay. The age of a measurement makes a probe due but does not show that
     * the target has become faster, so this value decides which pieces are on time there.
     */
    get measuredSlowness(): number {
        return this.latestSlowness;
    }

    get isSlow(): boolean {
        return this.slowness >= SLOW_RATIO;
    }

    /**
     * Whether the target gets only single pieces: its last call timed out, or its slowness has decayed since it was
     * slow.
     */
    get isProbeOnly(): boolean {
        return this.lastCallTimedOut || (this.latestSlowness >= SLOW_RATIO && !this.isSlow);
    }

    isFree(slots: number): boolean {
        return this.callsInProgress < slots && this.blockedUntil <= performance.now();
    }

    /** Free memory for results in bytes. Results of an earlier gatherer are assumed to expire gradually. */
    freeBytes(capacity: StageCapacity): number {
        const age = (performance.now() - this.unknownAt) / (capacity.resultLifetimeMs * UNKNOWN_LIFETIME_SHARE);
        return this.unreservedBytes(capacity) - this.unknownBytes * Math.max(0, 1 - age);
    }

    /** Whether a full call of pieces as large as the largest held result would not fit. */
    isShortOfMemory(capacity: StageCapacity): boolean {
        const largest = Math.max(0, ...[...this.results.values()].map(({ bytes }) => bytes));
        return this.freeBytes(capacity) < largest * capacity.batch;
    }

    /** Records that a piece unexpectedly found no room, which means that results of an earlier gatherer occupy it. */
    recordNoRoom(capacity: StageCapacity): void {
        this.unknownBytes = Math.max(0, this.unreservedBytes(capacity));
        this.unknownAt = performance.now();
    }

    private unreservedBytes(capacity: StageCapacity): number {
        const now = performance.now();
        let used = this.reservedBytes;
        for (const [handle, { bytes, until }] of this.results) {
            if (until <= now) this.results.delete(handle);
            else used += bytes;
        }
        return capacity.memoryBytes / SIZE_MARGIN - used;
    }

    /** Timeout of a call in milliseconds. */
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

    /** Records an answered call. `ratio` is its duration relative to the expected one. */
    recordAnswer(ratio: number): void {
        this.lastCallTimedOut = false;
        this.setSlowness(this.slowness + SLOWNESS_WEIGHT * (ratio - this.slowness));
    }

    /**
     * Records a timed-out call. The target may still be busy with it, so it gets no other for the expected duration.
     */
    recordTimeout(tookMs: number, expectedMs: number): void {
        this.lastCallTimedOut = true;
        this.setSlowness(Math.max(this.slowness, tookMs / expectedMs));
        this.blockedUntil = performance.now() + expectedMs;
    }

    addResult(handle: string, bytes: number, until: number): void {
        this.results.set(handle, { bytes, until });
    }

    removeResults(handles: readonly string[]): void {
        const now = performance.now();
        for (const [handle, until] of this.releasedUntil) if (until <= now) this.releasedUntil.delete(handle);
        for (const handle of handles) {
            const until = this.results.get(handle)?.until;
            if (until !== undefined) this.releasedUntil.set(handle, until);
            this.results.delete(handle);
        }
    }

    hasReleased(handle: string): boolean {
        return this.releasedUntil.has(handle);
    }

    private setSlowness(slowness: number): void {
        this.latestSlowness = Math.max(1, slowness);
        this.measuredAt = performance.now();
    }
}
