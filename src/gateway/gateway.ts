/**
 * The gateway: everything that the exchanges of one process share.
 *
 * It holds the configuration in force, the targets, this gateway's parts of the limits that hold for all gateways
 * together, and the queues of the stage services that it gathers.
 */
import type { LineFields } from "../observability/index.js";
import { RetryBudget } from "../routing/index.js";
import {
    callForPieces,
    type MakePieces,
    PieceRouter,
    releaseResults,
    StageQueue,
    StageSchedule,
} from "../stages/index.js";
import { Deadline } from "../model/index.js";
import { type ConfigurationContent, GatewayConfiguration, type Route } from "./configuration.js";
import type { Dialect } from "./dialect.js";
import { FirstEventTimes } from "./firstevent.js";
import type { GatewayPeers } from "./peers.js";
import { PrefixCacheTracker } from "./placement.js";
import { type Target, TargetDirectory } from "./target.js";

/** What exchanges work with. */
export interface GatewayContext {
    readonly dialect: Dialect;
    readonly zone: string;
    /** The configuration in force; undefined before the first one is known. */
    readonly configuration: () => GatewayConfiguration | undefined;
    readonly targets: TargetDirectory;
    /** The target that holds a stage result; undefined when it is not registered. */
    readonly holderOf: (handle: string) => Target | undefined;
    readonly prefixCaches: PrefixCacheTracker;
    readonly firstEventTimes: FirstEventTimes;
    /** This gateway's part of the repeats that a service may get. */
    readonly retryBudgetOf: (service: string) => RetryBudget;
    readonly makePieces: MakePieces;
    readonly releaseResults: (service: string, handles: readonly string[]) => void;
    /** Time by which a stage has to be ready when the request's first answer has to be there at `latest`. */
    readonly stageReadyBy: (route: Route, stage: number, latest: Deadline) => Deadline;
    /** Expected time of a stage in milliseconds, without a queue. */
    readonly expectedStageMs: (route: Route, stage: number) => number;
    /** Whether new requests are refused because the process is about to end. */
    readonly isStopping: () => boolean;
    /** Whether callers are told to close their connections. */
    readonly closesConnections: () => boolean;
    readonly onDecision: (decision: string, fields: LineFields) => void;
    readonly onRequestEnd: (fields: LineFields, route: Route | undefined, milliseconds: number) => void;
}

/** What a gateway is made of. */
export interface GatewayOptions {
    readonly dialect: Dialect;
    readonly zone: string;
    readonly peers: GatewayPeers;
    /** Repeats for each request, and beyond that in one window, from all gateways together. */
    readonly retries: { readonly fractionOfRequests: number; readonly allowance: number };
    readonly onDecision: (decision: string, fields: LineFields) => void;
    readonly onChange: (change: string, fields: LineFields) => void;
    readonly onRequestEnd: (fields: LineFields, route: Route | undefined, milliseconds: number) => void;
}

/** Phases of a gateway's life. */
export type GatewayPhase = "serving" | "draining" | "stopping";

/** Part of the allowed repeats that is used; the rest covers a view of the gateways' number that is out of date. */
const RETRY_USE = 0.6;

/** One gateway. */
export class Gateway {
    readonly context: GatewayContext;
    readonly targets: TargetDirectory;
    readonly gathering: PieceRouter;
    private currentPhase: GatewayPhase = "serving";
    private inForce: GatewayConfiguration | undefined;
    private readonly firstEventTimes = FirstEventTimes.create();
    private readonly budgets = new Map<string, RetryBudget>();
    private readonly queues = new Map<string, StageQueue>();
    private readonly schedule: StageSchedule;

    private constructor(private readonly options: GatewayOptions) {
        const { dialect, zone, peers, onDecision, onRequestEnd: onEnd, onChange } = options;
        const prefixMemory = PrefixCacheTracker.create();
        this.targets = TargetDirectory.create(
            () => this.inForce,
            () => peers.count,
            (change, target, detail) => {
                if (change === "removed" || change === "restarted") prefixMemory.forget(target);
                onChange(`target ${change}`, { target, ...detail });
            },
        );
        this.gathering = PieceRouter.create({
            self: peers.self.name,
            peers: () => peers.all,
            isGathering: () => this.phase === "serving",
            queueOf: service => this.queueOf(service),
            queues: () => this.queues,
            onDecision,
        });
        this.schedule = StageSchedule.create({
            capacity: service => this.inForce?.service(service)?.stage,
            waitMs: service => this.gathering.recentWaitMs(service),
        });
        this.context = {
            dialect,
            zone,
            configuration: () => this.inForce,
            targets: this.targets,
            holderOf: handle => this.holderOf(handle),
            prefixCaches: prefixMemory,
            firstEventTimes: this.firstEventTimes,
            retryBudgetOf: service => this.budgetOf(service),
            makePieces: (jobs, signal) => this.gathering.make(jobs, signal),
            releaseResults: (service, handles) => this.gathering.release(service, handles),
            stageReadyBy: (route, stage, latest) =>
                this.schedule.targetTimeOf(
                    route.stages,
                    stage,
                    latest.earlierBy(this.firstEventTimes.reserveMs(route.name)),
                ),
            expectedStageMs: (route, stage) => this.schedule.callMs(route.stages[stage]?.service ?? ""),
            isStopping: () => this.phase === "stopping",
            closesConnections: () => this.phase !== "serving",
            onDecision,
            onRequestEnd: onEnd,
        };
    }

    static create(options: GatewayOptions): Gateway {
        return new Gateway(options);
    }

    get configuration(): GatewayConfiguration | undefined {
        return this.inForce;
    }

    get phase(): GatewayPhase {
        return this.currentPhase;
    }

    /** Goes on to a later phase. */
    enterPhase(phase: GatewayPhase): void {
        this.currentPhase = phase;
        this.gathering.giveBack();
    }

    /** Puts a configuration in force unless it is older than the present one. */
    applyConfiguration(content: ConfigurationContent): void {
        const before = this.inForce?.version;
        if (before !== undefined && content.version <= before) return;
        this.inForce = GatewayConfiguration.of(content);
        this.options.onChange("configuration in force", { version: content.version, before });
    }

    /** The queue of a stage service at this gateway. */
    queueOf(service: string): StageQueue {
        const existing = this.queues.get(service);
        if (existing !== undefined) return existing;
        const { dialect, onDecision } = this.options;
        const created = StageQueue.create(service, {
            targets: this.targets,
            callForPieces: (...call) => callForPieces({ dialect, targets: this.targets }, ...call),
            releaseResults: (target, handles) => releaseResults(dialect, target, handles),
            holderOf: handle => this.holderOf(handle),
            capacity: () => this.inForce?.service(service)?.stage,
            onInputsRead: handles => this.releaseEarly(handles),
            onDecision,
        });
        this.queues.set(service, created);
        return created;
    }

    /** Tells the gatherers of the holders that results have been read for the last time. */
    private releaseEarly(handles: readonly string[]): void {
        const byService = new Map<string, string[]>();
        for (const handle of handles) {
            const service = this.holderOf(handle)?.registration.service;
            if (service === undefined) continue;
            byService.set(service, [...(byService.get(service) ?? []), handle]);
        }
        for (const [service, own] of byService) this.gathering.releaseEarly(service, own);
    }

    private holderOf(handle: string): Target | undefined {
        return this.targets.findByAddress(this.options.dialect.holderOf(handle));
    }

    private budgetOf(service: string): RetryBudget {
        const existing = this.budgets.get(service);
        if (existing !== undefined) return existing;
        const { retries, peers } = this.options;
        const created = RetryBudget.create({
            fractionOfRequests: retries.fractionOfRequests * RETRY_USE,
            perSecond: 0,
            maximum: Math.max(1, (retries.allowance * RETRY_USE) / peers.count),
        });
        this.budgets.set(service, created);
        return created;
    }
}
