/**
 * What a gatherer knows about one target: calls in progress, memory for results, and slowness.
 *
 * A target that takes several times as long as configured makes whole calls late. It gets only pieces that are on time
 * in spite of that, and later single pieces as probes that show whether it is fast again. A target that did not answer
 * in time may be slow, unresponsive, or silent for a moment; it gets only single pieces until it answers in time. Health
 * (src/routing) ejects targets altogether; this applies to the others.
 *
 * One silence says nothing about the speed of a target. Once it has ended, the target counts as fast as before; if the next
 * call takes as long again, it is slow.
 */
import type { StageCapacity } from "../gateway/configuration.js";
import type { Target } from "../gateway/target.js";
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

/**
 * Time in milliseconds from a silence being noticed to the first probe. Most silences have ended by then, and the answers to
 * the calls in progress show it at no risk to another piece. The time doubles with each probe that is silent as well.
 */
const FIRST_PROBE_PAUSE_MS = 1_000;

/** Longest time in milliseconds between probes; the decayed slowness of an unresponsive target is still high by then. */
const LONGEST_PROBE_PAUSE_MS = 4_000;

/** A silence of a target: calls outlast their timeouts, and nothing is answered. */
interface Silence {
    /** When the latest probe, or else the first call, was found to be silent. */
    readonly noticedAt: number;
    /** Number of calls that were sent into the silence, each after the one before had been found silent. */
    readonly calls: number;
    /** What was known of the slowness before. */
    readonly slownessBefore: number;
    readonly measuredBefore: number;
}

/** Tracks one target of a stage service. */
export class TargetTracker {
    /** The target gets no call before this time on the monotonic clock. */
    private blockedUntil = 0;
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
    private silence: Silence | undefined;
    /** Silences since a call was last answered in time, and the end of the last one. */
    private endedSilences = 0;
    private silenceEndedAt = Number.NEGATIVE_INFINITY;
    private lastAnswerAt = Number.NEGATIVE_INFINITY;

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

    /** Whether a target that gets only probes may get the next one. */
    get isProbeDue(): boolean {
        if (this.silence === undefined) return true;
        const { noticedAt, calls } = this.silence;
        const pauseMs = Math.min(LONGEST_PROBE_PAUSE_MS, FIRST_PROBE_PAUSE_MS * 2 ** (calls - 1));
        return performance.now() >= noticedAt + pauseMs;
    }

    /**
     * Whether the target gets only single pieces: its last call timed out, or its slowness has decayed since it was
     * slow.
     */
    get isProbeOnly(): boolean {
        return this.lastCallTimedOut || (this.latestSlowness >= SLOW_RATIO && !this.isSlow);
    }

    /** Whether the target does not get calls like others: it is slow, or gets only probes. */
    get isImpaired(): boolean {
        return this.isSlow || this.isProbeOnly;
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

    /** Records the end of a call. One that was silent had its slot taken away then. */
    callEnded(bytes: number, wasSilent: boolean): void {
        if (!wasSilent) this.callsInProgress -= 1;
        this.reservedBytes -= bytes;
    }

    hasAnsweredSince(time: number): boolean {
        return this.lastAnswerAt >= time;
    }

    /**
     * Records an answered call. `ratio` is its duration relative to the expected one. Returns the slowness that the answer
     * shows: for a call that was held up by a single silence, the one that was known before.
     */
    recordAnswer(startedAt: number, ratio: number, wasSilent: boolean): number {
        this.lastAnswerAt = performance.now();
        const wasSentBeforeEnd = startedAt < this.silenceEndedAt;
        if (this.silence !== undefined) this.endSilence(this.silence);
        const isHeldUp = wasSilent && (wasSentBeforeEnd || this.endedSilences === 1);
        if (isHeldUp) return this.slowness;
        if (!wasSilent) this.endedSilences = 0;
        this.lastCallTimedOut = false;
        this.setSlowness(this.slowness + SLOWNESS_WEIGHT * (ratio - this.slowness));
        return ratio;
    }

    /**
     * Records that a call has outlasted its timeout. Its slot is free again, and its memory remains reserved until it ends.
     * The target may still be busy with it, so it gets no other for the expected duration.
     */
    recordSilent(startedAt: number, expectedMs: number): void {
        const now = performance.now();
        this.callsInProgress -= 1;
        this.blockedUntil = now + expectedMs;
        // Further calls that were in progress when the silence was noticed belong to it.
        if (this.silence !== undefined && startedAt <= this.silence.noticedAt) return;
        const { slownessBefore, measuredBefore, calls } = this.silence ?? {
            slownessBefore: this.latestSlowness,
            measuredBefore: this.measuredAt,
            calls: 0,
        };
        this.silence = { noticedAt: now, calls: calls + 1, slownessBefore, measuredBefore };
        this.lastCallTimedOut = true;
        this.setSlowness(Math.max(this.slowness, (now - startedAt) / expectedMs));
    }

    /** Records that the target is full. It gets no call for a time. */
    recordDeclined(pauseMs: number): void {
        this.lastAnswerAt = performance.now();
        this.blockedUntil = this.lastAnswerAt + pauseMs;
        if (this.silence !== undefined) this.endSilence(this.silence);
    }

    private endSilence({ slownessBefore, measuredBefore }: Silence): void {
        this.silence = undefined;
        this.endedSilences += 1;
        this.silenceEndedAt = performance.now();
        this.latestSlowness = slownessBefore;
        this.measuredAt = measuredBefore;
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

/** The trackers of the targets of one service: one for each registration, since a restarted target holds no results. */
export class TargetTrackers {
    private readonly trackers = new WeakMap<Target, TargetTracker>();

    private constructor() {}

    static create(): TargetTrackers {
        return new TargetTrackers();
    }

    of(target: Target): TargetTracker {
        const existing = this.trackers.get(target);
        if (existing !== undefined) return existing;
        const created = TargetTracker.create();
        this.trackers.set(target, created);
        return created;
    }

    /** Slowness of a slow target, and 1 for others, so that small differences do not affect the choice. */
    slownessOf(target: Target): number {
        const tracker = this.of(target);
        return tracker.isSlow ? tracker.slowness : 1;
    }
}
