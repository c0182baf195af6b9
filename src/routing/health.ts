/**
 * Outlier ejection: targets that fail, or are much slower than the others of their service, get no work for a time.
 *
 * The ejection time doubles with each further ejection. After it, the target is probed by one attempt at a time: an
 * answer readmits it, a failure ejects it for longer. At most half of the usable targets of a service are ejected at
 * any time, since using fewer targets does not help against a fault that they all share.
 */

/** Consecutive failures that eject a target. */
const FAILURES_TO_EJECT = 3;

/** First ejection time; it doubles with each further ejection. */
const FIRST_EJECTION_MS = 1_000;

const MAXIMUM_EJECTION_MS = 30_000;

/** A target is slow if its durations exceed this many times the median of its service. */
const SLOW_RATIO = 3;

/** Answers that a target needs before its durations are compared. */
const MINIMUM_SAMPLES = 20;

/** Weight of the latest duration in the moving average. */
const DURATION_WEIGHT = 0.1;

/** Time without an ejection after which the ejection time starts over. */
const EJECTION_RESET_MS = 120_000;

type Ejection = { readonly state: "in" } | { readonly state: "out"; readonly since: number; readonly until: number };

interface TargetHealth {
    ejection: Ejection;
    /** Ejections since the ejection time last started over. */
    recentEjections: number;
    lastEjectedAt: number;
    consecutiveFailures: number;
    samples: number;
    /** Moving average of durations relative to the expected duration of the stage. */
    slowness: number;
    /** Whether a probe is in progress. */
    isProbing: boolean;
}

/** Health of targets, as this process has observed it. */
export class Health {
    private readonly targets = new Map<string, TargetHealth>();

    private constructor(private readonly onChange: (target: string, ejected: boolean, reason: string) => void) {}

    /** `onChange` is called when a target is ejected or readmitted. */
    static create(onChange: (target: string, ejected: boolean, reason: string) => void = () => undefined): Health {
        return new Health(onChange);
    }

    /** Filters the ejected targets out of the usable targets of one service; at most half of them. */
    withoutEjected<Target extends { readonly name: string }>(service: readonly Target[]): readonly Target[] {
        const now = performance.now();
        if (!service.some(({ name }) => this.targets.get(name)?.ejection.state === "out")) return service;
        const keptOut = service
            .map(target => ({ target, ejection: this.targets.get(target.name)?.ejection }))
            .flatMap(({ target, ejection }) => (ejection?.state === "out" ? [{ target, ejection }] : []))
            .sort((left, right) => left.ejection.since - right.ejection.since)
            .slice(0, Math.floor(service.length / 2))
            .filter(
                ({ target, ejection }) => now < ejection.until || this.targets.get(target.name)?.isProbing === true,
            );
        const keptOutNames = new Set(keptOut.map(({ target }) => target.name));
        return service.filter(target => !keptOutNames.has(target.name));
    }

    /** Records that an attempt is being sent. An attempt at an ejected target is its probe. */
    recordSent(target: string): void {
        const health = this.targets.get(target);
        if (health?.ejection.state === "out") health.isProbing = true;
    }

    /** Records an attempt that says nothing about the target's health, such as a refused one. */
    recordInconclusive(target: string): void {
        const health = this.targets.get(target);
        if (health !== undefined) health.isProbing = false;
    }

    /**
     * Records an answered attempt. `slowness` is its duration relative to the expected duration of the stage; `service`
     * has the names of the usable targets of the service.
     */
    recordSuccess(target: string, slowness: number, service: readonly string[]): void {
        const health = this.healthOf(target);
        // Only a probe readmits: answers to attempts from before the ejection are no evidence of recovery.
        if (health.ejection.state === "out" && !health.isProbing) return;
        health.consecutiveFailures = 0;
        health.isProbing = false;
        if (health.ejection.state === "out") this.readmit(target, health);
        health.samples += 1;
        const weight = Math.max(DURATION_WEIGHT, 1 / health.samples);
        health.slowness += weight * (slowness - health.slowness);
        if (this.isSlow(health, service)) this.eject(target, health, service, "slow");
    }

    /** Records a failed attempt that counts against the target. */
    recordFailure(target: string, service: readonly string[]): void {
        const health = this.healthOf(target);
        const wasProbe = health.isProbing;
        health.isProbing = false;
        health.consecutiveFailures += 1;
        if (wasProbe || health.consecutiveFailures >= FAILURES_TO_EJECT) this.eject(target, health, service, "failing");
    }

    /** Discards the state of a target that no longer exists. */
    forget(target: string): void {
        this.targets.delete(target);
    }

    private isSlow(health: TargetHealth, service: readonly string[]): boolean {
        if (health.samples < MINIMUM_SAMPLES) return false;
        const judged = service
            .map(name => this.targets.get(name))
            .filter(other => other !== undefined && other.samples >= MINIMUM_SAMPLES)
            .map(other => other?.slowness ?? 0)
            .sort((left, right) => left - right);
        // The lower median, so that one of two targets can count as slow.
        const median = judged[Math.floor((judged.length - 1) / 2)];
        return median !== undefined && judged.length > 1 && health.slowness > SLOW_RATIO * median;
    }

    private eject(target: string, health: TargetHealth, service: readonly string[], reason: string): void {
        const now = performance.now();
        const wasEjected = health.ejection.state === "out";
        const others = service.filter(
            name => name !== target && this.targets.get(name)?.ejection.state === "out",
        ).length;
        if (others + 1 > Math.floor(service.length / 2)) return;
        if (now - health.lastEjectedAt > EJECTION_RESET_MS) health.recentEjections = 0;
        const periodMs = Math.min(MAXIMUM_EJECTION_MS, FIRST_EJECTION_MS * 2 ** health.recentEjections);
        health.ejection = { state: "out", since: now, until: now + periodMs };
        health.recentEjections += 1;
        health.lastEjectedAt = now;
        health.consecutiveFailures = 0;
        health.samples = 0;
        if (!wasEjected) this.onChange(target, true, reason);
    }

    private readmit(target: string, health: TargetHealth): void {
        health.ejection = { state: "in" };
        this.onChange(target, false, "answered");
    }

    private healthOf(target: string): TargetHealth {
        const existing = this.targets.get(target);
        if (existing !== undefined) return existing;
        const created: TargetHealth = {
            ejection: { state: "in" },
            recentEjections: 0,
            lastEjectedAt: 0,
            consecutiveFailures: 0,
            samples: 0,
            slowness: 0,
            isProbing: false,
        };
        this.targets.set(target, created);
        return created;
    }
}
