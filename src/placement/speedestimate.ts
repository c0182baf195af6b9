/**
 * Estimates how fast the targets of a service are: a lasting speed, and the pace at the moment.
 *
 * Load pattern: targets of one pool have lasting speeds of 0.7 to 1.7, and a noisy neighbour slows one down by 2.5 times
 * for some 600 ms several times a minute. The pace is what the target reports, and decays towards the usual one. The lasting
 * speed is learnt from this gateway's own first events: the expected time at usual speed, at the pace and load of that
 * moment, divided by the measured one. It is relative to the median of the service's targets, so that an error in the
 * expectation that all targets share cancels out. All state is in memory and belongs to one gateway.
 */
import type { Target } from "../gateway/target.js";
import { halfLifeWeight } from "../model/decay.js";
import type { EngineCost } from "./enginecost.js";
import { INITIAL_WORK_TIMES, ServiceTimes, workMs, type WorkTimes } from "./servicetimes.js";

/** Half-life in milliseconds of a reported pace: the usual duration of a slow phase. */
const PACE_HALF_LIFE_MS = 600;

/** Time in milliseconds for which a reported pace shows that a service reports paces. */
const PACE_REPORT_LIFETIME_MS = 10_000;

/**
 * Half-life in milliseconds of a sample of the lasting speed. One of 30 gateways has a first event of each engine only every
 * few seconds; a shorter one would leave it without enough samples.
 */
const SAMPLE_HALF_LIFE_MS = 20_000;

/** Weight of the assumption that a target has the usual speed, in samples. */
const INITIAL_SAMPLES = 3;

/** Bounds of a lasting speed, also of a single sample. */
const LOWEST_SPEED = 0.2;
const HIGHEST_SPEED = 5;

/** Interval in milliseconds after which the speeds of a service are computed again. */
const REFRESH_MS = 200;

/** Factor by which a speed has to change to be logged. */
const LOGGED_CHANGE = 1.25;

/** Shortest time in milliseconds between two log lines on one target. */
const LOG_INTERVAL_MS = 10_000;

/** A target's lasting speed relative to the median of its service; 1.7 processes 1.7 times as much in the same time. */
export interface LastingSpeed {
    readonly speed: number;
    /** 0 (nothing is known, and the speed is 1) to 1. */
    readonly confidence: number;
}

const UNKNOWN_SPEED: LastingSpeed = { speed: 1, confidence: 0 };

/** Samples of one target: logarithms of speeds, with weights that decay. */
interface SpeedSamples {
    weight: number;
    weightedSum: number;
    updatedAt: number;
    loggedSpeed: number;
    loggedAt: number;
}

interface ServiceEstimate {
    readonly times: ServiceTimes;
    readonly samples: Map<string, SpeedSamples>;
    speeds: ReadonlyMap<string, LastingSpeed>;
    computedAt: number;
}

/** What the costs of a service's targets are computed from. */
export interface ServiceSpeeds {
    readonly times: WorkTimes;
    readonly speedOf: (target: string) => LastingSpeed;
}

/** Called when the estimated lasting speed of a target has changed much. */
export type SpeedListener = (change: string, fields: Readonly<Record<string, unknown>>) => void;

/** Expected pace of a target at this moment; 1 is usual, 2.5 takes two and a half times as long. */
export function presentPace({ load, loadReportedAt }: Target, now: number): number {
    const pace = load?.pace;
    return pace === undefined ? 1 : 1 + (pace - 1) * halfLifeWeight(now - loadReportedAt, PACE_HALF_LIFE_MS);
}

/** Whether any of a service's targets has reported its pace lately. */
export function reportsPace(targets: readonly Target[], now: number): boolean {
    return targets.some(
        ({ load, loadReportedAt }) => load?.pace !== undefined && now - loadReportedAt <= PACE_REPORT_LIFETIME_MS,
    );
}

/** The lasting speeds of targets and the times of their services, as measured by this gateway. */
export class SpeedEstimates {
    private readonly services = new Map<string, ServiceEstimate>();

    private constructor(private readonly onChange: SpeedListener) {}

    static create(onChange: SpeedListener = () => undefined): SpeedEstimates {
        return new SpeedEstimates(onChange);
    }

    /** Records the time from sending a request, at a cost that was expected then, to its first event. */
    record({ target, work, pace: paceAtStart, transferMs }: EngineCost, milliseconds: number): void {
        const { service } = target.registration;
        const estimate = this.estimateOf(service);
        const now = performance.now();
        // The response has just reported the pace at the end.
        const pace = (paceAtStart + presentPace(target, now)) / 2;
        const usualMs = workMs(work, estimate.times.current);
        if (!(usualMs > 0) || !(milliseconds > 0)) return;
        const measuredMs = Math.max(milliseconds - transferMs, milliseconds / 4);
        // The more of the time is a transfer, the less it shows of the speed.
        const weight = usualMs / (usualMs + transferMs);
        const logarithm = Math.log(boundedSpeed((usualMs * pace) / measuredMs));
        const samples = this.samplesOf(estimate, target.name, now);
        const retained = halfLifeWeight(now - samples.updatedAt, SAMPLE_HALF_LIFE_MS);
        samples.weight = samples.weight * retained + weight;
        samples.weightedSum = samples.weightedSum * retained + weight * logarithm;
        samples.updatedAt = now;
        const { speed } = this.speedsOf(estimate, now).get(target.name) ?? UNKNOWN_SPEED;
        estimate.times.record(work, (measuredMs * speed) / pace);
    }

    /** Forgets a target that was removed or has restarted. */
    forget(target: string): void {
        for (const [service, estimate] of this.services) {
            if (!estimate.samples.delete(target)) continue;
            estimate.computedAt = Number.NEGATIVE_INFINITY;
            if (estimate.samples.size === 0) this.services.delete(service);
        }
    }

    /** What is known of a service. */
    of(service: string): ServiceSpeeds {
        const estimate = this.services.get(service);
        if (estimate === undefined) return { times: INITIAL_WORK_TIMES, speedOf: () => UNKNOWN_SPEED };
        const speeds = this.speedsOf(estimate, performance.now());
        return { times: estimate.times.current, speedOf: target => speeds.get(target) ?? UNKNOWN_SPEED };
    }

    /** What was last computed for a service. It changes nothing, so it does for explanations of decisions. */
    lastOf(service: string): ServiceSpeeds {
        const estimate = this.services.get(service);
        return {
            times: estimate?.times.current ?? INITIAL_WORK_TIMES,
            speedOf: target => estimate?.speeds.get(target) ?? UNKNOWN_SPEED,
        };
    }

    private estimateOf(service: string): ServiceEstimate {
        const existing = this.services.get(service);
        if (existing !== undefined) return existing;
        const created: ServiceEstimate = {
            times: ServiceTimes.create(),
            samples: new Map(),
            speeds: new Map(),
            computedAt: Number.NEGATIVE_INFINITY,
        };
        this.services.set(service, created);
        return created;
    }

    private samplesOf(estimate: ServiceEstimate, target: string, now: number): SpeedSamples {
        const existing = estimate.samples.get(target);
        if (existing !== undefined) return existing;
        const created = { weight: 0, weightedSum: 0, updatedAt: now, loggedSpeed: 1, loggedAt: now - LOG_INTERVAL_MS };
        estimate.samples.set(target, created);
        return created;
    }

    private speedsOf(estimate: ServiceEstimate, now: number): ReadonlyMap<string, LastingSpeed> {
        if (now - estimate.computedAt < REFRESH_MS) return estimate.speeds;
        const entries = [...estimate.samples].map(([target, samples]) => ({
            target,
            samples,
            mean: samples.weightedSum / samples.weight,
            weight: samples.weight * halfLifeWeight(now - samples.updatedAt, SAMPLE_HALF_LIFE_MS),
        }));
        const median = weightedMedian(entries);
        const speeds = new Map<string, LastingSpeed>();
        for (const { target, samples, mean, weight } of entries) {
            const confidence = weight / (weight + INITIAL_SAMPLES);
            const speed = boundedSpeed(Math.exp(confidence * (mean - median)));
            speeds.set(target, { speed, confidence });
            this.reportChange(target, samples, { speed, confidence }, now);
        }
        estimate.speeds = speeds;
        estimate.computedAt = now;
        return speeds;
    }

    private reportChange(
        target: string,
        samples: SpeedSamples,
        { speed, confidence }: LastingSpeed,
        now: number,
    ): void {
        const change = Math.max(speed / samples.loggedSpeed, samples.loggedSpeed / speed);
        if (change <= LOGGED_CHANGE || now - samples.loggedAt < LOG_INTERVAL_MS) return;
        const before = samples.loggedSpeed;
        samples.loggedSpeed = speed;
        samples.loggedAt = now;
        this.onChange("target speed changed", {
            target,
            before: rounded(before),
            speed: rounded(speed),
            confidence: rounded(confidence),
        });
    }
}

/** The median of the targets' means, each with its weight; at most 1, so that a busy target counts as one. */
function weightedMedian(entries: readonly { readonly mean: number; readonly weight: number }[]): number {
    const sorted = entries
        .map(({ mean, weight }) => ({ mean, weight: Math.min(1, weight) }))
        .sort((left, right) => left.mean - right.mean);
    const half = sorted.reduce((sum, { weight }) => sum + weight, 0) / 2;
    let sum = 0;
    for (const { mean, weight } of sorted) {
        sum += weight;
        if (sum >= half) return mean;
    }
    return 0;
}

function boundedSpeed(speed: number): number {
    return Math.min(HIGHEST_SPEED, Math.max(LOWEST_SPEED, speed));
}

function rounded(value: number): number {
    return Math.round(value * 100) / 100;
}
