/**
 * The state that all requests of one gateway process share.
 *
 * This is the current configuration, the targets, this gateway's parts of the limits for all gateways together, and the
 * queues of the stage services whose pieces it gathers.
 */
import { Duties, type CountRun, type DutyOptions } from "../duties/index.js";
import { CopyBudget, RouteLatencies } from "../hedging/index.js";
import type { MemoryAccount } from "../memory/index.js";
import type { LineFields } from "../observability/index.js";
import { PrefixCacheTracker, SpeedEstimates } from "../placement/index.js";
import { WindowBudget } from "../routing/index.js";
import type { WriteOutcome } from "../store/index.js";
import {
    callForPieces,
    type MakePieces,
    PeerCalls,
    PieceRouter,
    releaseResults,
    StageQueue,
    StageSchedule,
} from "../stages/index.js";
import { Deadline } from "../model/index.js";
import { type ConfigurationContent, GatewayConfiguration, type Route, type StageCapacity } from "./configuration.js";
import type { Dialect } from "./dialect.js";
import { Gossip } from "./gossip.js";
import { Suspects } from "./suspects.js";
import { partOfLimit, TargetLimits } from "./targetlimits.js";
import { FirstEventTimes } from "./firstevent.js";
import { LimitQueue } from "./limitqueue.js";
import { LimitShares } from "./limitshares.js";
import type { GatewayPeer, GatewayPeers } from "./peers.js";
import type { RegistrationCleanupEnvironment } from "./registrationcleanup.js";
import { mayWithdraw, Rotation } from "./rotation.js";
import { RolloutController } from "./rolloutcontroller.js";
import { type Rollout, Rollouts, type RolloutState, type SeenRollout, type TrialLimits } from "./rollouts.js";
import { scaledZones } from "./scaledzones.js";
import { Shutdown } from "./shutdown.js";
import type { Target } from "./target.js";
import { TargetDirectory } from "./targetdirectory.js";
import { UsualTimes } from "./usualtimes.js";

/** Dependencies of an exchange. */
export interface GatewayContext {
    readonly dialect: Dialect;
    readonly zone: string;
    /** Memory held for bytes of targets, callers and other gateways. */
    readonly memory: MemoryAccount;
    /** The current configuration; undefined while the gateway does not know enough to serve requests. */
    readonly configuration: () => GatewayConfiguration | undefined;
    readonly targets: TargetDirectory;
    readonly rollouts: Rollouts;
    /** Requests that may crash targets. */
    readonly suspects: Suspects;
    readonly limitQueue: LimitQueue;
    /** The target that holds a stage result; undefined if it is not registered. */
    readonly holderOf: (handle: string) => Target | undefined;
    readonly prefixCaches: PrefixCacheTracker;
    readonly firstEventTimes: FirstEventTimes;
    /** Measured speeds of targets. */
    readonly speeds: SpeedEstimates;
    /** This gateway's retry budget for a service. */
    readonly retryBudgetOf: (service: string) => WindowBudget;
    /** What second copies of slow calls depend on; undefined if none may be sent. */
    readonly hedging: Hedging | undefined;
    readonly makePieces: MakePieces;
    readonly releaseResults: (service: string, handles: readonly string[]) => void;
    /** Time by which a stage has to be ready if the response or its first event is due at `latest`. */
    readonly stageReadyBy: (route: Route, stage: number, latest: Deadline) => Deadline;
    /** Expected time of a stage in milliseconds, without queueing. */
    readonly expectedStageMs: (route: Route, stage: number) => number;
    /** The time that a planned stop leaves for requests. */
    readonly shutdown: Shutdown;
    /** Milliseconds after which a request may come back that the stop refuses: 0 if another gateway is registered. */
    readonly stopReturnMs: () => number;
    /** Usual times from a request to the end of its response, and from its sending to a target to that end. */
    readonly requestTimes: UsualTimes;
    readonly attemptTimes: UsualTimes;
    /** Counts a request of an account that a target begins to run; undefined if requests are not counted. */
    readonly countRun: CountRun | undefined;
    /** Whether new requests are refused because the process is stopping. */
    readonly isStopping: () => boolean;
    readonly onDecision: (decision: string, fields: LineFields) => void;
    readonly onRequestEnd: (fields: LineFields, route: Route | undefined, milliseconds: number) => void;
}

/** The limits of second copies, and the latencies by which a call counts as slow. */
export interface Hedging {
    readonly latencies: RouteLatencies;
    /** Latencies by service, each as a multiple of its route's latency objective. */
    readonly serviceLatencies: RouteLatencies;
    readonly budgetOf: (service: string) => CopyBudget;
}

/** Settings and dependencies of a gateway. */
export interface GatewayOptions {
    readonly dialect: Dialect;
    readonly zone: string;
    readonly memory: MemoryAccount;
    readonly peers: GatewayPeers;
    /**
     * Retries allowed to all gateways together: a fraction of the requests, and an allowance beyond it in one window.
     */
    readonly retries: {
        readonly fractionOfRequests: number;
        readonly allowance: number;
        /** Length of the window in milliseconds. */
        readonly windowMs: number;
    };
    /**
     * Second copies of slow calls allowed to all gateways together: a fraction of the requests, and of the time of targets,
     * which is the same by default. Absent or with a fraction of 0, none are sent.
     */
    readonly hedging?:
        { readonly fractionOfRequests: number; readonly fractionOfTargetTime?: number | undefined } | undefined;
    /** Longest time in milliseconds from the start of a planned stop to the end of the process. */
    readonly stopGraceMs: number;
    /**
     * Bound on what a new version gets from all gateways together until its roll-out is decided; undefined if the gateway
     * does not follow roll-outs.
     */
    readonly rollouts: TrialLimits | undefined;
    /** Writes the state of a roll-out if the stored object has not changed. */
    readonly writeRolloutState: (rollout: SeenRollout, state: RolloutState) => Promise<WriteOutcome>;
    /** Duties that one gateway holds at a time; undefined if no gateway has any. */
    readonly duties?: DutyOptions | undefined;
    readonly onDecision: (decision: string, fields: LineFields) => void;
    readonly onChange: (change: string, fields: LineFields) => void;
    readonly onRequestEnd: (fields: LineFields, route: Route | undefined, milliseconds: number) => void;
    /** Called with the outcome and the duration of each call to another gateway. */
    readonly onPeerCall: (outcome: string, milliseconds: number) => void;
    /** Longest recent delay of this process's event loop in milliseconds, for the log. */
    readonly eventLoopDelayMs: () => number;
}

/** Lifecycle phases of a gateway, in order. */
export type GatewayPhase = "serving" | "draining" | "stopping";

/** This gateway's part of a limit, and what it was computed from. */
interface LimitPart {
    readonly perSecond: number;
    readonly otherNames: readonly string[];
    readonly part: number;
}

/**
 * Fraction of the retries and copies for each request that is used; the rest is a margin for requests that are counted
 * elsewhere.
 */
const USE_RATIO = 0.6;

/** Limits of a gateway that does not follow roll-outs. */
const NO_TRIALS: TrialLimits = { share: 0, allowance: 0 };

/** A gateway. */
export class Gateway {
    readonly context: GatewayContext;
    readonly targets: TargetDirectory;
    readonly pieceRouter: PieceRouter;
    readonly rolloutController: RolloutController;
    readonly gossip: Gossip;
    readonly shutdown = Shutdown.create();
    /** Undefined if no gateway has duties. */
    readonly duties: Duties | undefined;
    private readonly suspects: Suspects;
    private readonly limits: TargetLimits;
    private readonly limitShares: LimitShares;
    /** This gateway's parts of limits, by target; computed again when a limit or the gateways change. */
    private readonly limitParts = new Map<string, LimitPart>();
    private readonly peerCalls: PeerCalls;
    private readonly rollouts: Rollouts;
    private currentPhase: GatewayPhase = "serving";
    private informed = false;
    private isStoreLost = false;
    private currentConfiguration: GatewayConfiguration | undefined;
    private readonly firstEventTimes = FirstEventTimes.create();
    private readonly budgets = new Map<string, WindowBudget>();
    private readonly latencies = RouteLatencies.create();
    private readonly serviceLatencies = RouteLatencies.create();
    private readonly copyBudgets = new Map<string, CopyBudget>();
    private readonly queues = new Map<string, StageQueue>();
    private readonly schedule: StageSchedule;
    private readonly rotation: Rotation;

    private constructor(private readonly options: GatewayOptions) {
        const { dialect, zone, memory, peers, onDecision, onRequestEnd: onEnd, onChange } = options;
        this.peerCalls = PeerCalls.create(memory);
        this.rotation = Rotation.create(() => mayWithdraw(peers.self, peers.others));
        const { stopGraceMs, retries } = options;
        this.limitShares = LimitShares.create(peers, { windowMs: retries.windowMs, stopGraceMs });
        this.rollouts = Rollouts.create(options.rollouts ?? NO_TRIALS, () => this.limitShares.countInWindow);
        const prefixMemory = PrefixCacheTracker.create();
        const speeds = SpeedEstimates.create(onChange);
        this.targets = TargetDirectory.create(
            () => this.currentConfiguration,
            () => this.limitShares.countAtPresent,
            (change, target, detail) => {
                if (change === "removed" || change === "restarted") {
                    prefixMemory.forget(target);
                    speeds.forget(target);
                    this.limitParts.delete(target);
                }
                onChange(`target ${change}`, { target, ...detail });
            },
            {
                isExcluded: target =>
                    this.rollouts.isRolledBack(target) ||
                    (this.rollouts.isOnTrial(target) && this.isStageTarget(target)),
                onOutcome: (target, route, failed, slowness) =>
                    this.rolloutController.observe(target, route, failed, slowness),
                onLimit: (target, perSecond) => this.limits.observe(target.registration, perSecond),
                limitPartOf: target => this.limitPartOf(target),
            },
        );
        this.rolloutController = RolloutController.create({
            peers,
            peerCalls: this.peerCalls,
            rollouts: this.rollouts,
            isStoreLost: () => this.isStoreLost,
            writeState: options.writeRolloutState,
            onChange,
        });
        this.pieceRouter = PieceRouter.create({
            self: peers.self,
            otherGateways: () => peers.others,
            peerCalls: this.peerCalls,
            isGathering: () => this.phase === "serving",
            registrationRevision: () => `${peers.revision}/${this.targets.revision}`,
            targetNames: service => ({
                registered: this.targets.namesOf(service),
                usable: this.targets.working(service).map(({ name }) => name),
            }),
            holderOf: handle => this.holderOf(handle)?.name,
            queueOf: service => this.queueOf(service),
            queues: () => this.queues,
            onDecision,
            onPeerCall: options.onPeerCall,
            eventLoopDelayMs: options.eventLoopDelayMs,
        });
        this.suspects = Suspects.create(peers.self.name, () => this.gossip.spread(), onChange);
        this.limits = TargetLimits.create(
            () => this.gossip.spread(),
            (target, perSecond) =>
                onChange(perSecond === undefined ? "target unlimited" : "target limited", { target, perSecond }),
        );
        this.gossip = Gossip.start({
            peers,
            peerCalls: this.peerCalls,
            topics: { crashes: this.suspects, limits: this.limits },
            onChange,
        });
        this.duties =
            options.duties === undefined
                ? undefined
                : Duties.start(options.duties, {
                      peers,
                      peerCalls: this.peerCalls,
                      scaledZones: () => scaledZones(this.currentConfiguration, this.targets),
                      onChange,
                  });
        this.schedule = StageSchedule.create({
            capacity: service => this.currentConfiguration?.service(service)?.stage,
            waitMs: service => this.pieceRouter.recentWaitMs(service),
        });
        this.context = {
            dialect,
            zone,
            memory,
            configuration: () => (this.informed ? this.currentConfiguration : undefined),
            targets: this.targets,
            rollouts: this.rollouts,
            suspects: this.suspects,
            limitQueue: LimitQueue.create(this.targets),
            holderOf: handle => this.holderOf(handle),
            prefixCaches: prefixMemory,
            firstEventTimes: this.firstEventTimes,
            speeds,
            retryBudgetOf: service => this.budgetOf(service),
            hedging: this.hedging(),
            makePieces: (jobs, signal) => this.pieceRouter.make(jobs, signal),
            releaseResults: (service, handles) => this.pieceRouter.release(service, handles),
            stageReadyBy: (route, stage, latest) =>
                this.schedule.targetTimeOf(
                    route.stages,
                    stage,
                    latest.earlierBy(this.firstEventTimes.reserveMs(route.name)),
                ),
            expectedStageMs: (route, stage) => this.schedule.callMs(route.stages[stage]?.service ?? ""),
            shutdown: this.shutdown,
            // A gateway that stops removes its registration first.
            stopReturnMs: () => (peers.others.length > 0 ? 0 : this.shutdown.returnMs()),
            requestTimes: UsualTimes.create(),
            attemptTimes: UsualTimes.create(),
            countRun: this.duties?.countRun,
            isStopping: () => this.phase === "stopping",
            onDecision,
            onRequestEnd: onEnd,
        };
    }

    static create(options: GatewayOptions): Gateway {
        return new Gateway(options);
    }

    /** This gateway as others know it. */
    get self(): GatewayPeer {
        return this.options.peers.self;
    }

    /** Calls another gateway, and tells for how many milliseconds calls to it have gone unanswered. */
    get peerSigns(): Pick<RegistrationCleanupEnvironment, "probe" | "unansweredMs"> {
        return {
            probe: peer => this.gossip.compare(peer),
            unansweredMs: peer => this.peerCalls.unansweredMs(peer),
        };
    }

    get configuration(): GatewayConfiguration | undefined {
        return this.currentConfiguration;
    }

    get phase(): GatewayPhase {
        return this.currentPhase;
    }

    /** Whether the gateway follows roll-outs of new versions. */
    get followsRollouts(): boolean {
        return this.options.rollouts !== undefined;
    }

    /** Whether responses tell callers to close their connections. */
    get closesConnections(): boolean {
        return this.phase !== "serving" || this.rotation.isWithdrawn;
    }

    /** Whether the gateway serves new requests. */
    get isServing(): boolean {
        const knowsEnough = this.informed && this.currentConfiguration !== undefined && this.targets.size > 0;
        return knowsEnough && this.phase === "serving";
    }

    /** Whether the load balancer is to send new connections. */
    get isReady(): boolean {
        return this.isServing && !this.rotation.isWithdrawn;
    }

    /** Takes the mean delay in milliseconds of this process's timers over about a second. */
    recordEventLoopDelay(meanDelayMs: number): void {
        const change = this.rotation.update(meanDelayMs);
        if (change !== undefined) {
            this.options.onChange(`rotation ${change}`, { meanDelayMs: Math.round(meanDelayMs) });
        }
    }

    /** Called once all that decides where requests may go was read from the store; until then they are refused. */
    setInformed(): void {
        this.informed = true;
    }

    /** Records whether the store has stopped answering when it is asked for roll-outs. */
    setStoreLost(isLost: boolean): void {
        this.isStoreLost = isLost;
    }

    /** Enters a later phase. */
    enterPhase(phase: GatewayPhase): void {
        this.currentPhase = phase;
        this.pieceRouter.giveBack();
    }

    /** Ends what runs beside requests and closes idle connections to other gateways. */
    stop(): void {
        this.pieceRouter.stop();
        this.rolloutController.stop();
        this.gossip.stop();
        this.duties?.stop();
        this.peerCalls.close();
    }

    /** Replaces the current configuration if the version is higher. */
    applyConfiguration(content: ConfigurationContent): void {
        const previousVersion = this.currentConfiguration?.version;
        if (previousVersion !== undefined && content.version <= previousVersion) return;
        this.currentConfiguration = GatewayConfiguration.of(content);
        this.forgetRemoved(this.currentConfiguration);
        this.options.onChange("configuration in force", { version: content.version, before: previousVersion });
    }

    /** Drops what is known of routes and services by a name that the configuration no longer has. */
    private forgetRemoved(configuration: GatewayConfiguration): void {
        const routes = new Set(configuration.content.routes.map(({ name }) => name));
        const { requestTimes, attemptTimes, firstEventTimes } = this.context;
        for (const times of [requestTimes, attemptTimes, firstEventTimes, this.latencies]) times.keepOnly(routes);
        for (const budgets of [this.budgets, this.copyBudgets]) {
            for (const [service, budget] of budgets) {
                // A service may return within the window of its budget.
                if (configuration.service(service) === undefined && budget.isUnused) budgets.delete(service);
            }
        }
    }

    /** Applies a roll-out or a change of its state. `mayBeOlder` tells that the store may have lost a later state. */
    putRollout(rollout: Rollout, mayBeOlder = false): void {
        const before = this.rollouts.find(rollout.service);
        // A process that finds a roll-out when it starts does not know what was sent to the new version before.
        this.rollouts.put(rollout, mayBeOlder, !this.informed);
        this.rolloutController.follow();
        if (before?.version === rollout.version && before.storedState === rollout.state) return;
        const { service, version, state = "requested", durationMs } = rollout;
        this.options.onChange("rollout", { service, version, state, durationMs });
    }

    removeRollout(service: string): void {
        this.rollouts.remove(service);
        this.rolloutController.forget(service);
    }

    /** Returns this gateway's queue of a stage service; creates it if necessary. */
    queueOf(service: string): StageQueue {
        const existing = this.queues.get(service);
        if (existing !== undefined) return existing;
        const { dialect, memory, onDecision } = this.options;
        // Pieces of requests from before a change may still wait when the service is no longer configured.
        let lastCapacity: StageCapacity | undefined;
        const capacity = (): StageCapacity | undefined =>
            (lastCapacity = this.currentConfiguration?.service(service)?.stage ?? lastCapacity);
        const created = StageQueue.create(service, {
            targets: this.targets,
            ownTargets: targets => this.pieceRouter.ownTargets(service, targets),
            gathererCount: () => this.pieceRouter.gathererCount(service),
            callForPieces: (...call) => callForPieces({ dialect, targets: this.targets, memory }, ...call),
            releaseResults: (target, handles) => {
                this.targets.takeFromLimit(target);
                return releaseResults(dialect, target, handles);
            },
            holderOf: handle => this.holderOf(handle),
            capacity,
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
        for (const [service, serviceHandles] of byService) this.pieceRouter.releaseEarly(service, serviceHandles);
    }

    /** This gateway's part of the limit that a target names, in requests a second; undefined without a limit. */
    private limitPartOf(target: Target): number | undefined {
        const perSecond = this.limits.perSecond(target.registration);
        // Stage targets are called by one gateway, the gatherer of their service.
        if (perSecond === undefined || this.isStageTarget(target)) return perSecond;
        const { otherNamesAtPresent: otherNames } = this.limitShares;
        const known = this.limitParts.get(target.name);
        if (known?.perSecond === perSecond && known.otherNames === otherNames) return known.part;
        const part = partOfLimit(target.name, perSecond, this.options.peers.self.name, otherNames);
        this.limitParts.set(target.name, { perSecond, otherNames, part });
        return part;
    }

    private isStageTarget({ registration }: Target): boolean {
        return this.currentConfiguration?.service(registration.service)?.stage !== undefined;
    }

    private holderOf(handle: string): Target | undefined {
        return this.targets.findByAddress(this.options.dialect.holderOf(handle));
    }

    private budgetOf(service: string): WindowBudget {
        const existing = this.budgets.get(service);
        if (existing !== undefined) return existing;
        const { retries, onDecision } = this.options;
        const created = WindowBudget.create({
            windowMs: retries.windowMs,
            fractionOfRequests: retries.fractionOfRequests * USE_RATIO,
            allowance: () => this.limitShares.partOfAllowance(service, retries.allowance),
            onBeyondFraction: use =>
                onDecision("retry from the allowance", {
                    service,
                    gateways: this.limitShares.countInWindow,
                    ...use,
                    windowMs: retries.windowMs,
                }),
        });
        this.budgets.set(service, created);
        return created;
    }

    /** What second copies depend on; undefined if the settings allow none. */
    private hedging(): Hedging | undefined {
        const { hedging, retries } = this.options;
        if (hedging === undefined) return undefined;
        const { fractionOfRequests, fractionOfTargetTime = fractionOfRequests } = hedging;
        if (fractionOfRequests === 0 || fractionOfTargetTime === 0) return undefined;
        const budgetOptions = {
            windowMs: retries.windowMs,
            fractionOfRequests: fractionOfRequests * USE_RATIO,
            fractionOfTargetTime: fractionOfTargetTime * USE_RATIO,
        };
        return {
            latencies: this.latencies,
            serviceLatencies: this.serviceLatencies,
            budgetOf: service => {
                const budget = this.copyBudgets.get(service) ?? CopyBudget.create(budgetOptions);
                this.copyBudgets.set(service, budget);
                return budget;
            },
        };
    }
}
