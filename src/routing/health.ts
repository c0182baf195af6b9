/**
 * Ejection of targets that fail or are much slower than the others of their service.
 *
 * An ejected target gets no work for a period that grows with each ejection. Then it is probed by one attempt at a
 * time: an answer readmits it, a failure ejects it for longer. At most half of the usable targets of a service are kept
 * out at any time, since a fault that all of them share is not cured by using fewer.
 */

/** Failures in a row that eject a target. */
const FAILURES_TO_EJECT = 3;

/** First ejection period; it doubles with each further one. */
const FIRST_PERIOD_MS = 1_000;

const LONGEST_PERIOD_MS = 30_000;

/** A target whose durations are this many times the median of its service is slow. */
const SLOW_RATIO = 3;

/** Answers of a target before its durations are judged. */
const SAMPLES_TO_JUDGE = 20;

/** Weight of the newest duration in the moving average. */
const DURATION_WEIGHT = 0.1;

/** Time without an ejection after which the period starts over. */
const FORGET_AFTER_MS = 120_000;

type Ejection = { readonly state: "in" } | { readonly state: "out"; readonly since: number; readonly until: number };

interface TargetHealth {
    ejection: Ejection;
    /** Ejections in close succession. */
    ejections: number;
    lastEjectedAt: number;
    failuresInRow: number;
    samples: number;
    /** Moving average of durations relative to what is expected of the stage. */
    slowness: number;
    /** Whether a probe is open. */
    probing: boolean;
}

/** Health of the targets, as this entry has seen it. */
export class Health {
    private readonly targets = new Map<string, TargetHealth>();

    private constructor(private readonly onChange: (target: string, ejected: boolean, reason: string) => void) {}

    /** `onChange` is called when a target is ejected or readmitted. */
    static create(onChange: (target: string, ejected: boolean, reason: string) => void = () => undefined): Health {
        return new Health(onChange);
    }

    /** The targets that may get work, of the usable targets of one service. Keeps out at most half of them. */
    withoutEjected<Target extends { readonly name: string }>(service: readonly Target[]): readonly Target[] {
        const now = performance.now();
        if (!service.some(({ name }) => this.targets.get(name)?.ejection.state === "out")) return service;
        const kept = service
            .map(target => ({ target, ejection: this.targets.get(target.name)?.ejection }))
            .flatMap(({ target, ejection }) => (ejection?.state === "out" ? [{ target, ejection }] : []))
            .sort((left, right) => left.ejection.since - right.ejection.since)
            .slice(0, Math.floor(service.length / 2))
            .filter(({ target, ejection }) => now < ejection.until || this.targets.get(target.name)?.probing === true);
        const out = new Set(kept.map(({ target }) => target.name));
        return service.filter(target => !out.has(target.name));
    }

    /** Counts an attempt that is being sent. */
    recordSent(target: string): void {
        const health = this.targets.get(target);
        if (health?.ejection.state === "out") health.probing = true;
    }

    /** An attempt ended without saying anything about the target's health, such as by a refusal. */
    recordInconclusive(target: string): void {
        const health = this.targets.get(target);
        if (health !== undefined) health.probing = false;
    }

    /**
     * An attempt was answered. `slowness` is its duration relative to what is expected of the stage; `service` are the
     * names of the usable targets of the service.
     */
    recordSuccess(target: string, slowness: number, service: readonly string[]): void {
        const health = this.healthOf(target);
        // Only a probe readmits: answers to attempts from before the ejection say nothing new.
        if (health.ejection.state === "out" && !health.probing) return;
        health.failuresInRow = 0;
        health.probing = false;
        if (health.ejection.state === "out") this.readmit(target, health);
        health.samples += 1;
        const weight = Math.max(DURATION_WEIGHT, 1 / health.samples);
        health.slowness += weight * (slowness - health.slowness);
        if (this.isSlow(health, service)) this.eject(target, health, service, "slow");
    }

    /** An attempt failed in a way that speaks against the target. */
    recordFailure(target: string, service: readonly string[]): void {
        const health = this.healthOf(target);
        const probe = health.probing;
        health.probing = false;
        health.failuresInRow += 1;
        if (probe || health.failuresInRow >= FAILURES_TO_EJECT) this.eject(target, health, service, "failing");
    }

    /** Forgets a target that is no longer present. */
    forget(target: string): void {
        this.targets.delete(target);
    }

    private isSlow(health: TargetHealth, service: readonly string[]): boolean {
        if (health.samples < SAMPLES_TO_JUDGE) return false;
        const judged = service
            .map(name => this.targets.get(name))
            .filter(other => other !== undefined && other.samples >= SAMPLES_TO_JUDGE)
            .map(other => other?.slowness ?? 0)
            .sort((left, right) => left - right);
        // The lower median, so that one of two targets can be found slow.
        const median = judged[Math.floor((judged.length - 1) / 2)];
        return median !== undefined && judged.length > 1 && health.slowness > SLOW_RATIO * median;
    }

    private eject(target: string, health: TargetHealth, service: readonly string[], reason: string): void {
        const now = performance.now();
        const renewed = health.ejection.state === "out";
        const out = service.filter(name => name !== target && this.targets.get(name)?.ejection.state === "out").length;
        if (out + 1 > Math.floor(service.length / 2)) return;
        if (now - health.lastEjectedAt > FORGET_AFTER_MS) health.ejections = 0;
        const period = Math.min(LONGEST_PERIOD_MS, FIRST_PERIOD_MS * 2 ** health.ejections);
        health.ejection = { state: "out", since: now, until: now + period };
        health.ejections += 1;
        health.lastEjectedAt = now;
        health.failuresInRow = 0;
        health.samples = 0;
        if (!renewed) this.onChange(target, true, reason);
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
            ejections: 0,
            lastEjectedAt: 0,
            failuresInRow: 0,
            samples: 0,
            slowness: 0,
            probing: false,
        };
        this.targets.set(target, created);
        return created;
    }
}
