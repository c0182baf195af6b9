/**
 * Targets as the gateway knows them: what the registry says, and what the gateway's own requests have shown.
 *
 * The directory decides which targets may be used at all: registered and available, in a zone that takes work, not
 * ejected, and, while cold, within this gateway's part of what a cold target bears.
 */
import { halfLifeWeight } from "../model/decay.js";
import { Health, TokenBucket } from "../routing/index.js";
import type { GatewayConfiguration } from "./configuration.js";
import type { TargetLoad } from "./dialect.js";

/** A target's registration. */
export interface TargetRegistration {
    readonly id: string;
    /** Wall-clock start of the target; tells incarnations of one id apart. */
    readonly incarnation: number;
    readonly service: string;
    /** `ip:port`. */
    readonly address: string;
    readonly zone: string;
    readonly version: string;
    readonly slots: number;
    readonly state: "available" | "draining";
    /** Remaining cold time in milliseconds when the record was written. */
    readonly coldRemainingMs: number;
}

/** A registered target and this gateway's view of it. */
export interface Target {
    readonly name: string;
    readonly registration: TargetRegistration;
    /** Open attempts of this gateway. */
    readonly outstanding: number;
    /** Load that the target told with its last answer, and when. */
    readonly load: TargetLoad | undefined;
    readonly loadReportedAt: number;
    /** Prompt tokens of this gateway's attempts whose first event has not come. */
    readonly pendingPromptTokens: number;
}

/** Part of what a cold target bears that is used; the rest allows for requests that are already on their way. */
const COLD_USE = 0.8;

/** Requests that a cold target may get at once from one gateway. */
const COLD_BURST = 2;

/** Time in milliseconds for which a target that could not be reached gets nothing, growing with each failure. */
const UNREACHABLE_PAUSE_MS = 250;
const LONGEST_UNREACHABLE_PAUSE_MS = 1_000;

/** Age in milliseconds at which a told load counts half. */
const LOAD_HALF_LIFE_MS = 300;

/** Running and waiting requests that a target is expected to have: own ones, and others' as told, weighted by age. */
export function expectedLoad({ load, loadReportedAt: loadAt, outstanding }: Target): {
    running: number;
    waiting: number;
} {
    const weight = halfLifeWeight(performance.now() - loadAt, LOAD_HALF_LIFE_MS);
    return {
        running: Math.max(outstanding, (load?.running ?? 0) * weight),
        waiting: (load?.waiting ?? 0) * weight,
    };
}

interface MutableTarget {
    readonly name: string;
    registration: TargetRegistration;
    outstanding: number;
    load: TargetLoad | undefined;
    loadReportedAt: number;
    pendingPromptTokens: number;
    coldUntil: number;
    coldBucket: TokenBucket | undefined;
    unreachableUntil: number;
    unreachableCount: number;
}

/** Changes that the directory reports, for the log. */
export type TargetChangeListener = (change: string, target: string, detail: Readonly<Record<string, unknown>>) => void;

/** The targets of all services. */
export class TargetDirectory {
    private readonly targets = new Map<string, MutableTarget>();
    private readonly byService = new Map<string, Set<MutableTarget>>();
    private readonly byAddress = new Map<string, MutableTarget>();
    private closedZones: ReadonlySet<string> = new Set();
    private readonly health: Health;

    private constructor(
        private readonly configuration: () => GatewayConfiguration | undefined,
        private readonly gatewayCount: () => number,
        private readonly onChange: TargetChangeListener,
    ) {
        this.health = Health.create((target, ejected, reason) => {
            onChange(ejected ? "ejected" : "readmitted", target, { reason });
        });
    }

    static create(
        configuration: () => GatewayConfiguration | undefined,
        gatewayCount: () => number,
        onChange: TargetChangeListener = () => undefined,
    ): TargetDirectory {
        return new TargetDirectory(configuration, gatewayCount, onChange);
    }

    get size(): number {
        return this.targets.size;
    }

    /** Adds a target or takes over its new registration. A record of an earlier incarnation is ignored. */
    put(record: TargetRegistration): void {
        const known = this.targets.get(record.id);
        if (known !== undefined && record.incarnation < known.registration.incarnation) return;
        const restarted = known !== undefined && record.incarnation > known.registration.incarnation;
        if (known === undefined || restarted || known.registration.service !== record.service) {
            this.remove(record.id);
            this.add(record);
            this.onChange(restarted ? "restarted" : "registered", record.id, { ...record });
            return;
        }
        if (known.registration.state !== record.state) this.onChange(record.state, record.id, {});
        this.forgetAddress(known);
        known.registration = record;
        this.byAddress.set(record.address, known);
        this.setCold(known, record.coldRemainingMs);
    }

    /** Removes a target that is gone. */
    remove(id: string): void {
        const known = this.targets.get(id);
        if (known === undefined) return;
        this.targets.delete(id);
        this.byService.get(known.registration.service)?.delete(known);
        this.forgetAddress(known);
        this.health.forget(id);
        this.onChange("removed", id, {});
    }

    /** Names of all registered targets. */
    names(): readonly string[] {
        return [...this.targets.keys()];
    }

    /** Sets the zones whose targets get nothing. */
    closeZones(zones: ReadonlySet<string>): void {
        for (const zone of zones) if (!this.closedZones.has(zone)) this.onChange("zoneClosed", zone, {});
        for (const zone of this.closedZones) if (!zones.has(zone)) this.onChange("zoneOpened", zone, {});
        this.closedZones = new Set(zones);
    }

    /** The target with an address; of several, the one that was registered last. */
    findByAddress(address: string): Target | undefined {
        return this.byAddress.get(address);
    }

    /** The targets of a service that may be used, whatever their load. */
    eligible(service: string): readonly Target[] {
        return [...(this.byService.get(service) ?? [])].filter(
            ({ registration: record }) => record.state === "available" && !this.closedZones.has(record.zone),
        );
    }

    /** The eligible targets that may get a request now. */
    usable(service: string): readonly Target[] {
        const now = performance.now();
        const admitted = this.health.withoutEjected(this.eligible(service)) as readonly MutableTarget[];
        const reachable = admitted.filter(target => target.unreachableUntil <= now);
        return reachable.filter(target => !this.isCold(target) || (target.coldBucket?.available() ?? true));
    }

    isCold(target: Target): boolean {
        return (this.targets.get(target.name)?.coldUntil ?? 0) > performance.now();
    }

    /** Counts an attempt that is being sent. */
    recordSent(target: Target, promptTokens = 0): void {
        const known = target as MutableTarget;
        known.outstanding += 1;
        known.pendingPromptTokens += promptTokens;
        if (this.isCold(known)) known.coldBucket?.take();
        this.health.recordSent(known.name);
    }

    /** The first byte of an answer has come, so the prompt has been read. */
    recordPromptRead(target: Target, promptTokens: number): void {
        const known = target as MutableTarget;
        known.pendingPromptTokens = Math.max(0, known.pendingPromptTokens - promptTokens);
    }

    /** An attempt is over. */
    recordEnded(target: Target): void {
        const known = target as MutableTarget;
        known.outstanding = Math.max(0, known.outstanding - 1);
    }

    recordLoad(target: Target, load: TargetLoad | undefined): void {
        if (load === undefined) return;
        const known = target as MutableTarget;
        known.load = load;
        known.loadReportedAt = performance.now();
    }

    /** A complete answer; `slowness` is its duration relative to what was expected. */
    recordSuccess(target: Target, slowness: number): void {
        (target as MutableTarget).unreachableCount = 0;
        this.health.recordSuccess(target.name, slowness, this.serviceNames(target));
    }

    /** An answer or a break that speaks against the target. */
    recordFailure(target: Target): void {
        this.health.recordFailure(target.name, this.serviceNames(target));
    }

    recordInconclusive(target: Target): void {
        this.health.recordInconclusive(target.name);
    }

    /** No connection could be made, or it was reset: the target may have restarted, and then it is cold. */
    recordUnreachable(target: Target): void {
        const known = target as MutableTarget;
        known.unreachableCount += 1;
        const pause = UNREACHABLE_PAUSE_MS * 2 ** Math.min(6, known.unreachableCount - 1);
        known.unreachableUntil = performance.now() + Math.min(LONGEST_UNREACHABLE_PAUSE_MS, pause);
        this.setCold(known, this.configuration()?.service(known.registration.service)?.coldStartMs ?? 0);
        this.onChange("unreachable", known.name, { pauseMs: Math.min(LONGEST_UNREACHABLE_PAUSE_MS, pause) });
    }

    private forgetAddress(target: MutableTarget): void {
        if (this.byAddress.get(target.registration.address) === target) {
            this.byAddress.delete(target.registration.address);
        }
    }

    private serviceNames(target: Target): readonly string[] {
        return this.eligible(target.registration.service).map(({ name }) => name);
    }

    private add(record: TargetRegistration): void {
        const target: MutableTarget = {
            name: record.id,
            registration: record,
            outstanding: 0,
            load: undefined,
            loadReportedAt: 0,
            pendingPromptTokens: 0,
            coldUntil: 0,
            coldBucket: undefined,
            unreachableUntil: 0,
            unreachableCount: 0,
        };
        this.targets.set(record.id, target);
        this.byAddress.set(record.address, target);
        const service = this.byService.get(record.service) ?? new Set();
        service.add(target);
        this.byService.set(record.service, service);
        this.setCold(target, record.coldRemainingMs);
    }

    /** Starts or prolongs a cold time. The rate is this gateway's part of what the target bears from all. */
    private setCold(target: MutableTarget, remainingMs: number): void {
        const service = this.configuration()?.service(target.registration.service);
        const rate = service?.coldRequestsPerSecond ?? 0;
        if (remainingMs <= 0 || rate <= 0) return;
        const until = performance.now() + remainingMs;
        if (until <= target.coldUntil) return;
        const wasCold = this.isCold(target);
        target.coldUntil = until;
        if (wasCold && target.coldBucket !== undefined) return;
        const share = (rate * COLD_USE) / Math.max(1, this.gatewayCount());
        target.coldBucket = TokenBucket.create({
            perSecond: share,
            capacity: Math.min(COLD_BURST, Math.max(1, share)),
        });
        this.onChange("cold", target.name, { remainingMs, perSecond: share });
    }
}
