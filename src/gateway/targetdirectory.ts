/**
 * The targets known to the gateway: their registrations and what the gateway's own requests show about them.
 *
 * A target is usable if it is registered and available, its zone is not closed, it is not ejected, and this gateway's part
 * of its request rate, while it is cold or names a limit, is not used up.
 *
 * The directory decides what an outcome means and whom it tells; the state of each target is in `knowntarget`.
 */
import { Health, type TokenBucket } from "../routing/index.js";
import type { GatewayConfiguration } from "./configuration.js";
import type { RequestedPause, ResponseMetadata } from "./dialect.js";
import { createTarget, type KnownTarget, knownTarget } from "./knowntarget.js";
import { LeavingTargets } from "./leavingtargets.js";
import type { Target, TargetRegistration } from "./target.js";
import { TargetIndex } from "./targetindex.js";
import { decidePause } from "./targetpause.js";

/** Time in milliseconds for which an unreachable target gets no requests; doubles with each failure. */
const UNREACHABLE_PAUSE_MS = 250;
const LONGEST_UNREACHABLE_PAUSE_MS = 1_000;

/** What a response says about its target. */
export type TargetReport = Pick<ResponseMetadata, "load" | "limitPerSecond" | "wrongTarget" | "isLeaving" | "pause">;

/** Receives changes of targets, for the log. */
export type TargetChangeListener = (change: string, target: string, detail: Readonly<Record<string, unknown>>) => void;

/** Called with the outcome of an attempt; `slowness` is absent where the time says nothing about the target. */
export type OutcomeListener = (target: Target, route: string, failed: boolean, slowness: number | undefined) => void;

/** What a directory depends on beside its registrations. */
export interface TargetDirectoryOptions {
    /** Whether a target may get nothing, whatever its state. */
    readonly isExcluded?: (target: Target) => boolean;
    readonly onOutcome?: OutcomeListener;
    /** Called with the limit that a response named, or undefined. */
    readonly onLimit?: (target: Target, perSecond: number | undefined) => void;
    /** This gateway's part of a target's limit in requests a second; undefined if the target names none. */
    readonly limitPartOf?: (target: Target) => number | undefined;
}

/** The targets of all services. */
export class TargetDirectory {
    private readonly targets = TargetIndex.create();
    private readonly leaving = LeavingTargets.create();
    private closedZones: ReadonlySet<string> = new Set();
    private readonly health: Health;

    private constructor(
        private readonly configuration: () => GatewayConfiguration | undefined,
        private readonly gatewayCount: () => number,
        private readonly onChange: TargetChangeListener,
        private readonly options: TargetDirectoryOptions,
    ) {
        this.health = Health.create((target, ejected, reason) => {
            onChange(ejected ? "ejected" : "readmitted", target, { reason });
        });
    }

    static create(
        configuration: () => GatewayConfiguration | undefined,
        gatewayCount: () => number,
        onChange: TargetChangeListener = () => undefined,
        options: TargetDirectoryOptions = {},
    ): TargetDirectory {
        return new TargetDirectory(configuration, gatewayCount, onChange, options);
    }

    get size(): number {
        return this.targets.size;
    }

    /**
     * Adds a target or updates its registration. Registrations of earlier incarnations are ignored, and so are those that
     * may be older than the report that a target is draining: draining ends only with the incarnation.
     */
    put(stored: TargetRegistration, mayBeOlder = false): void {
        const isLeaving = this.leaving.has(stored);
        const registration: TargetRegistration = isLeaving ? { ...stored, state: "draining" } : stored;
        const known = this.targets.find(registration.id);
        if (known !== undefined && registration.incarnation < known.registration.incarnation) return;
        const isSameIncarnation = known?.registration.incarnation === registration.incarnation;
        if (mayBeOlder && isSameIncarnation && known.registration.state === "draining") return;
        const restarted = known !== undefined && registration.incarnation > known.registration.incarnation;
        if (known === undefined || restarted || known.registration.service !== registration.service) {
            this.remove(registration.id);
            this.add(registration);
            this.onChange(restarted ? "restarted" : "registered", registration.id, { ...registration });
            return;
        }
        if (known.registration.state !== registration.state) this.onChange(registration.state, registration.id, {});
        this.targets.replaceRegistration(known, registration);
        this.extendColdPeriod(known, registration.coldRemainingMs);
    }

    /** Removes a target. */
    remove(id: string): void {
        const known = this.targets.find(id);
        if (known === undefined) return;
        this.targets.remove(known);
        this.health.forget(id);
        this.onChange("removed", id, {});
    }

    /** Names of all registered targets. */
    names(): readonly string[] {
        return this.targets.names();
    }

    /** Increases when a target is added or removed. */
    get revision(): number {
        return this.targets.revision;
    }

    /** Names of the registered targets of a service. */
    namesOf(service: string): readonly string[] {
        return this.targets.ofService(service).map(({ name }) => name);
    }

    /** The registered targets of a service, whether or not they may be used. */
    registered(service: string): readonly Target[] {
        return this.targets.ofService(service);
    }

    /** Whether targets of a zone get no requests. */
    isClosed(zone: string): boolean {
        return this.closedZones.has(zone);
    }

    /** Sets the zones whose targets get no requests. */
    closeZones(zones: ReadonlySet<string>): void {
        for (const zone of zones) if (!this.closedZones.has(zone)) this.onChange("zoneClosed", zone, {});
        for (const zone of this.closedZones) if (!zones.has(zone)) this.onChange("zoneOpened", zone, {});
        this.closedZones = new Set(zones);
    }

    /** The target with an address; if there are several, the one registered last. */
    findByAddress(address: string): Target | undefined {
        return this.targets.findByAddress(address);
    }

    /** The targets of a service that are available, in an open zone and not excluded. */
    eligible(service: string): readonly Target[] {
        return this.targets
            .ofService(service)
            .filter(
                target =>
                    target.registration.state === "available" &&
                    !this.closedZones.has(target.registration.zone) &&
                    this.options.isExcluded?.(target) !== true,
            );
    }

    /** The eligible targets that may get a request now: working and within their limits. */
    usable(service: string): readonly Target[] {
        return this.working(service).filter(target => this.limitBucketOf(target)?.available() ?? true);
    }

    /**
     * Those of the targets that are not silent. A target that was silent, and has not been heard since, gets one request at
     * a time, preferably one that can move to another target.
     */
    withoutSilent(targets: readonly Target[], canMove: boolean): readonly Target[] {
        return targets.filter(target => knownTarget(target).silence.allowsRequest(target.outstanding, canMove));
    }

    /** The eligible targets that are healthy, reachable and within the cold rate, whatever limits they name. */
    working(service: string): readonly Target[] {
        const now = performance.now();
        const gatewayCount = this.gatewayCount();
        return this.health.withoutEjected(this.eligible(service)).filter(target => {
            const { unreachableUntil, pausedUntil, rate } = knownTarget(target);
            return unreachableUntil <= now && pausedUntil <= now && rate.admitsWhileCold(gatewayCount);
        });
    }

    /**
     * Milliseconds until the first target of a service ends the pause that it has requested; undefined unless all eligible
     * targets have requested one.
     */
    pauseMs(service: string): number | undefined {
        const eligible = this.eligible(service);
        const firstEnd = Math.min(...eligible.map(target => knownTarget(target).pausedUntil));
        const milliseconds = firstEnd - performance.now();
        return eligible.length > 0 && milliseconds > 0 ? milliseconds : undefined;
    }

    /** This gateway's part of the limit that a target names, in requests a second; infinite without a limit. */
    limitPartOf(target: Target): number {
        return this.options.limitPartOf?.(target) ?? Number.POSITIVE_INFINITY;
    }

    /** The buckets of a service's working targets; undefined unless all of them name limits. */
    limitBuckets(service: string): readonly TokenBucket[] | undefined {
        const working = this.working(service);
        const buckets = working.flatMap(target => this.limitBucketOf(target) ?? []);
        return buckets.length > 0 && buckets.length === working.length ? buckets : undefined;
    }

    isCold(target: Target): boolean {
        return this.targets.find(target.name)?.rate.isCold() ?? false;
    }

    /** Records an attempt that is about to be sent. */
    recordSent(target: Target, promptTokens = 0): void {
        const known = knownTarget(target);
        known.outstanding += 1;
        known.pendingPromptTokens += promptTokens;
        if (this.isCold(known)) known.rate.takeWhileCold();
        this.takeFromLimit(known);
        if (this.isRegistered(known)) this.health.recordSent(known.name);
    }

    /** Counts a call to a target against its limit. */
    takeFromLimit(target: Target): void {
        this.limitBucketOf(target)?.take();
    }

    /** Records that a prompt no longer waits at the target: its first event came, or the attempt ended. */
    recordPromptRead(target: Target, promptTokens: number): void {
        const known = knownTarget(target);
        known.pendingPromptTokens = Math.max(0, known.pendingPromptTokens - promptTokens);
    }

    /** Records the end of an attempt. */
    recordEnded(target: Target): void {
        const known = knownTarget(target);
        known.outstanding = Math.max(0, known.outstanding - 1);
    }

    /** Records what a response says about its target, unless another target has sent it. */
    recordReport(target: Target, { load, limitPerSecond, wrongTarget, isLeaving, pause }: TargetReport): void {
        if (wrongTarget) return;
        const known = knownTarget(target);
        this.recordHeard(known);
        this.options.onLimit?.(known, limitPerSecond);
        if (isLeaving) this.recordLeaving(known);
        if (pause !== undefined) this.recordPause(known, pause);
        if (load === undefined) return;
        known.load = load;
        known.loadReportedAt = performance.now();
    }

    /**
     * Records a complete response, or the first event of a stream; `slowness` is its time relative to the expected one.
     */
    recordSuccess(target: Target, slowness: number, route = ""): void {
        this.options.onOutcome?.(target, route, false, this.isCold(target) ? undefined : slowness);
        knownTarget(target).unreachableCount = 0;
        if (this.isRegistered(target)) {
            this.health.recordSuccess(target.name, slowness, this.comparableNames(target));
        }
    }

    /** Records an attempt that failed because of the target. */
    recordFailure(target: Target, route = ""): void {
        this.options.onOutcome?.(target, route, true, undefined);
        if (this.isRegistered(target)) this.health.recordFailure(target.name, this.eligibleNames(target));
    }

    /** Records that a target says that it leaves: it is draining, whatever its registration says. */
    private recordLeaving(known: KnownTarget): void {
        const { id, state } = known.registration;
        if (!this.leaving.add(known.registration)) return;
        known.registration = { ...known.registration, state: "draining" };
        if (state === "available") this.onChange("draining", id, { source: "response" });
    }

    /** Records the pause that a target requests. It says nothing about the target's health and ends by itself. */
    private recordPause(known: KnownTarget, pause: RequestedPause): void {
        const decision = decidePause(pause);
        if (decision.kind === "ignored") {
            this.onChange("pause ignored", known.name, { text: decision.text });
            return;
        }
        const { milliseconds, requestedMs } = decision;
        const now = performance.now();
        if (known.pausedUntil <= now) this.onChange("paused", known.name, { requestedMs, pauseMs: milliseconds });
        known.pausedUntil = Math.max(known.pausedUntil, now + milliseconds);
    }

    /** Records that something was received from a target, which ends its silence. */
    recordHeard(target: Target): void {
        knownTarget(target).silence.recordHeard();
    }

    /**
     * Records that an attempt has received nothing since a time, on the monotonic clock in milliseconds. If the target has
     * sent nothing to other attempts either, it counts as silent. One silence is one failure, however many attempts wait.
     */
    recordSilent(target: Target, since: number): void {
        if (!this.isRegistered(target)) return;
        const evidence = knownTarget(target).silence.record(since);
        const silentMs = Math.round(performance.now() - since);
        if (evidence?.isNew) this.onChange("silent", target.name, { silentMs });
        if (evidence?.isFailure) this.health.recordFailure(target.name, this.eligibleNames(target));
    }

    /**
     * Records that a request was taken from a target that had sent it nothing since a time, on the monotonic clock in
     * milliseconds. The silence was recorded. If the target sends nothing to other requests either, that says as much about
     * its version as one failed answer, however many requests are taken from it.
     */
    recordLeft(target: Target, route: string, since: number): void {
        const isFailedAnswer = knownTarget(target).silence.recordLeft(since);
        this.recordInconclusive(target);
        if (isFailedAnswer) this.options.onOutcome?.(target, route, true, undefined);
    }

    /** Whether a target has started anew under its id, so that its earlier start has ended. */
    hasStartedAnew(target: Target): boolean {
        return this.targets.find(target.name) !== undefined && !this.isRegistered(target);
    }

    /** Whether this is the registration of its id that holds. Attempts at an earlier one say nothing about the later one. */
    private isRegistered(target: Target): boolean {
        return this.targets.find(target.name) === target;
    }

    /** Records an attempt that was not answered before the request's deadline. It says little about the health. */
    recordExpired(target: Target, route = ""): void {
        this.options.onOutcome?.(target, route, true, undefined);
        this.recordInconclusive(target);
    }

    /** Records an attempt that says nothing about the target's health. */
    recordInconclusive(target: Target): void {
        if (this.isRegistered(target)) this.health.recordInconclusive(target.name);
    }

    /** Records a refused or reset connection. The target may have restarted, so it counts as cold. */
    recordUnreachable(target: Target): void {
        const known = knownTarget(target);
        known.unreachableCount += 1;
        const pause = UNREACHABLE_PAUSE_MS * 2 ** Math.min(6, known.unreachableCount - 1);
        known.unreachableUntil = performance.now() + Math.min(LONGEST_UNREACHABLE_PAUSE_MS, pause);
        this.extendColdPeriod(known, this.configuration()?.service(known.registration.service)?.coldStartMs ?? 0);
        this.recordInconclusive(known);
        this.onChange("unreachable", known.name, { pauseMs: Math.min(LONGEST_UNREACHABLE_PAUSE_MS, pause) });
    }

    /** The bucket of a target that names a limit, at the rate of this gateway's present part of it. */
    private limitBucketOf(target: Target): TokenBucket | undefined {
        return knownTarget(target).rate.limitBucketAt(this.options.limitPartOf?.(target));
    }

    private eligibleNames(target: Target): readonly string[] {
        return this.eligible(target.registration.service).map(({ name }) => name);
    }

    /**
     * The targets with which a target is compared to find out whether it is slow. One without a limit takes the load that
     * others may not get, and is not slow for being slower than those.
     */
    private comparableNames(target: Target): readonly string[] {
        if (this.options.limitPartOf?.(target) !== undefined) return this.eligibleNames(target);
        const unlimited = this.eligible(target.registration.service).filter(
            other => this.options.limitPartOf?.(other) === undefined,
        );
        return unlimited.map(({ name }) => name);
    }

    private add(registration: TargetRegistration): void {
        const target = this.targets.takeLapsed(registration) ?? createTarget(registration);
        target.registration = registration;
        this.targets.add(target);
        this.extendColdPeriod(target, registration.coldRemainingMs);
    }

    /** Starts or extends a cold period. The rate is this gateway's part of the target's cold request rate. */
    private extendColdPeriod(target: KnownTarget, remainingMs: number): void {
        const service = this.configuration()?.service(target.registration.service);
        const period = {
            remainingMs,
            perSecond: service?.coldRequestsPerSecond ?? 0,
            gatewayCount: this.gatewayCount(),
        };
        const perSecond = target.rate.extendColdPeriod(period, this.isCold(target));
        if (perSecond !== undefined) this.onChange("cold", target.name, { remainingMs, perSecond });
    }
}
