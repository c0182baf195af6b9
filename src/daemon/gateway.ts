/** Starts a gateway process: listeners, store feed, log and metrics. Also stops it gracefully. */
import {
    type Dialect,
    type FeedSource,
    Gateway,
    GatewayFeed,
    type GatewayOptions,
    GatewayPeers,
    listenForCallers,
    RegistrationCleanup,
    listenForMetrics,
    listenForPeers,
    listenForReadiness,
    waitUntilQuiet,
} from "../gateway/index.js";
import {
    DecisionLog,
    EventLoopMonitor,
    HistogramSet,
    type LineFields,
    ProcessMetrics,
    renderMetrics,
} from "../observability/index.js";
import type { DutyOptions, DutyPlatform } from "../duties/index.js";
import { MEMORY_PARTIES, MemoryAccount } from "../memory/index.js";
import { runInBackground } from "../model/background.js";
import { Deadline } from "../model/index.js";
import { pause } from "../model/pause.js";
import { Follower, openRelayStream, Publisher, RelayedStore } from "../relay/index.js";
import type { GatewaySettings } from "../settings/index.js";
import type { CallCounter, Store } from "../store/index.js";
import { reportStoreCalls, type RunningProcess } from "./process.js";

/** Dependencies of a gateway process besides its settings. */
export interface GatewayEnvironment {
    readonly dialect: Dialect;
    readonly source: FeedSource;
    readonly store: Store;
    readonly writeRolloutState: GatewayOptions["writeRolloutState"];
    readonly ledger: CallCounter;
    readonly duties: DutyPlatform;
    readonly log: DecisionLog;
}

/** A running gateway process. */
export interface GatewayProcess extends RunningProcess {
    readonly gateway: Gateway;
    /** Stops gracefully. The grace period counts from `requestedAt`, a reading of the monotonic clock. */
    stop(requestedAt?: number): Promise<void>;
    /** Closes everything at once, without finishing open requests. */
    kill(): Promise<void>;
    /** Applies changed settings; changes to listeners need a restart. */
    reload(settings: GatewaySettings): void;
}

/**
 * Time after the stop signal for which new requests are still served. The load balancer needs it to stop routing to the
 * gateway, and callers need it to reconnect elsewhere.
 */
const DRAIN_MS = 2_600;

/** Maximum of that time as a fraction of the grace period, so that what was taken can end. */
const MAXIMUM_DRAIN_SHARE = 0.5;

/** Time before the end of the grace period at which the process ends, and its maximum as a fraction of the period. */
const STOP_MARGIN_MS = 400;
const MAXIMUM_STOP_MARGIN_SHARE = 0.05;

/** Time before that end at which open requests get a response, and its maximum as a fraction of the grace period. */
const RESPONSE_MARGIN_MS = 200;
const MAXIMUM_RESPONSE_MARGIN_SHARE = 0.025;

/** Time for removing the registration and writing the last log lines. */
const LAST_WRITES_MS = 200;

/** Time for a gateway that starts to learn what the others have observed. */
const LEARN_TIMEOUT_MS = 300;

/** Part of the memory that the process may use for bytes which others send it; the rest is for the runtime and the heap. */
const HELD_MEMORY_SHARE = 0.15;

/** Starts a gateway. It listens at once, and becomes ready when configuration and targets are known. */
export async function startGateway(
    initialSettings: GatewaySettings,
    environment: GatewayEnvironment,
): Promise<GatewayProcess> {
    const { dialect, source, store, writeRolloutState, ledger, log } = environment;
    let settings = initialSettings;
    const startedAt = performance.now();
    const metrics = ProcessMetrics.create(undefined);
    const durations = HistogramSet.create();
    const onChange = (change: string, fields: LineFields): void => {
        metrics.increment("changes", 1, { change });
        log.write(change, fields);
    };
    const recordProcess = (measure: string, kind: string, milliseconds: number): void =>
        durations.record({ account: "", plan: "", kind, pipeline: "", measure }, milliseconds);
    const memory = MemoryAccount.create({
        maximumBytes: settings.machine.memoryMegabytes * 1e6 * HELD_MEMORY_SHARE,
        onGivenUp: holding => onChange("memory given up", { ...holding }),
    });
    const eventLoop = EventLoopMonitor.start(
        ({ delayMs, processorMs }) => {
            recordProcess("eventLoopDelay", "", delayMs);
            onChange("event loop delayed", {
                delayMs: Math.round(delayMs),
                processorMs: Math.round(processorMs),
                residentBytes: process.memoryUsage.rss(),
                heldBytes: memory.totalBytes,
            });
        },
        meanDelayMs => gateway.recordEventLoopDelay(meanDelayMs),
    );
    const peers = GatewayPeers.create(
        {
            name: settings.name,
            zone: settings.zone,
            address: settings.peerAddress,
            capacity: {
                processors: settings.machine.processorShare * settings.machine.processorCores,
                linkMegabits: settings.machine.linkMegabits,
            },
        },
        source.gatewayPrefix,
    );
    const gateway = Gateway.create({
        dialect,
        zone: settings.zone,
        memory,
        peers,
        retries: { ...settings.retries, windowMs: settings.retries.windowSeconds * 1_000 },
        hedging: settings.hedging,
        stopGraceMs: settings.stopGraceSeconds * 1_000,
        rollouts: settings.rollouts,
        writeRolloutState,
        duties: dutyOptions(settings, environment),
        onDecision: (decision, fields) => {
            metrics.increment("decisions", 1, { decision });
            log.write(decision, fields);
        },
        onChange,
        onRequestEnd: (fields, route, milliseconds) => {
            const outcome = String(fields.outcome);
            metrics.increment("requests", 1, { outcome, reason: String(fields.reason), status: String(fields.status) });
            const account = String(fields.account ?? "");
            const pipeline = route?.name ?? "";
            durations.record({ account, plan: "", kind: outcome, pipeline, measure: "total" }, milliseconds);
            log.write("request ended", fields);
        },
        onPeerCall: (outcome, milliseconds) => recordProcess("peerCall", outcome, milliseconds),
        eventLoopDelayMs: () => eventLoop.recentDelayMs(),
    });
    let isStopping = false;
    let isEnded = false;
    const { descriptors } = settings.machine;
    const callers = await listenForCallers(gateway, settings.callerAddress, descriptors);
    const publisher = Publisher.create();
    const follower = Follower.start({
        self: peers.self,
        otherGateways: () => peers.others,
        revision: () => peers.revision,
        onFollowing: () => publisher.clear(),
        onChange,
        open: openRelayStream,
    });
    const peerCalls = await listenForPeers(gateway, settings.peerAddress, descriptors, response => {
        if (follower.isRelay) publisher.add(response);
        return follower.isRelay;
    });
    const otherListeners = [
        await listenForReadiness(memory, settings.readinessAddress, () => gateway.isReady),
        peerCalls,
    ];
    if (settings.metricsAddress !== undefined) {
        const render = (): string => {
            const counters = new Map([...metrics.totals(), ...Object.entries(reportStoreCalls(ledger))]);
            const { user, system } = process.cpuUsage();
            const { rss, heapUsed, external } = process.memoryUsage();
            const gauges = {
                open_requests: callers.openRequests,
                targets: gateway.targets.size,
                gateways: peers.count,
                processor_seconds: (user + system) / 1e6,
                resident_bytes: rss,
                heap_bytes: heapUsed,
                external_bytes: external,
                ...Object.fromEntries(MEMORY_PARTIES.map(party => [`held_bytes_${party}`, memory.bytesOf(party)])),
            };
            return renderMetrics(counters, gauges, durations.summary());
        };
        otherListeners.push(await listenForMetrics(memory, settings.metricsAddress, render));
    }
    const relayed = RelayedStore.create({
        direct: store,
        gatewayPrefix: source.gatewayPrefix,
        publisher,
        isRelay: () => follower.isRelay,
        subscription: () => follower.subscription,
    });
    const feed = GatewayFeed.start({ store: relayed, source, gateway, peers, onChange });
    const cleanup = RegistrationCleanup.start({ peers, store, onChange, ...gateway.peerSigns });
    if (!gateway.followsRollouts) {
        log.writeUnthrottled("part not in force", {
            part: "rollouts",
            missing: ["rollouts.share", "rollouts.allowance"],
        });
    }
    log.writeUnthrottled("started", { zone: settings.zone, callers: settings.callerAddress });
    const isInformed = feed.ready.then(async () => {
        // Not required: a gateway serves without the others, but may then repeat what they have learned.
        await Promise.race([feed.peersReady.then(() => gateway.gossip.learn()), pause(LEARN_TIMEOUT_MS)]);
        gateway.setInformed();
        log.writeUnthrottled("store followed", {
            afterMs: Math.round(performance.now() - startedAt),
            configuration: gateway.configuration?.version,
            targets: gateway.targets.size,
        });
    });
    // Other gateways send pieces to a registered gateway, so it registers only once it knows the targets.
    const onTaskFailure = (fields: LineFields): void => onChange("task failed unexpectedly", fields);
    runInBackground("registration", onTaskFailure, () =>
        isInformed.then(() =>
            peers.register(
                store,
                () => isStopping,
                onTaskFailure,
                () => log.writeUnthrottled("earlier process ended without a stop", {}),
            ),
        ),
    );

    const kill = async (): Promise<void> => {
        isStopping = true;
        isEnded = true;
        cleanup.stop();
        feed.stop();
        follower.stop();
        publisher.clear();
        eventLoop.stop();
        gateway.stop();
        log.flush();
        await Promise.all([callers, ...otherListeners].map(listener => listener.close()));
    };
    const stop = async (requestedAt = performance.now()): Promise<void> => {
        const graceMs = settings.stopGraceSeconds * 1_000;
        const margin = Math.min(STOP_MARGIN_MS, graceMs * MAXIMUM_STOP_MARGIN_SHARE);
        const deadline = Deadline.after(requestedAt + graceMs - margin - performance.now());
        const responseMargin = Math.min(RESPONSE_MARGIN_MS, graceMs * MAXIMUM_RESPONSE_MARGIN_SHARE);
        // One that was never ready has no callers to send elsewhere.
        const drainMs = gateway.isServing ? Math.min(DRAIN_MS, graceMs * MAXIMUM_DRAIN_SHARE) : 0;
        const takesUntil = Deadline.after(requestedAt + drainMs - performance.now());
        gateway.shutdown.begin(deadline.earlierBy(responseMargin), takesUntil);
        log.writeUnthrottled("stopping", { openRequests: callers.openRequests });
        gateway.enterPhase("draining");
        publisher.sendAway();
        isStopping = true;
        const unregistration = peers.unregister(store, () => isEnded);
        await pause(takesUntil.remainingMs());
        gateway.enterPhase("stopping");
        await Promise.race([Promise.all([unregistration, gateway.duties?.release()]), pause(LAST_WRITES_MS)]);
        // Requests of other gateways wait for the pieces that this one gathers.
        await waitUntilQuiet([callers, peerCalls], deadline);
        await callers.closeIdle(deadline);
        await waitUntilQuiet([callers, peerCalls], deadline);
        await gateway.duties?.flush();
        log.writeUnthrottled("stopped", { openRequests: callers.openRequests });
        await kill();
        await pause(LAST_WRITES_MS / 4);
    };
    const reload = (changed: GatewaySettings): void => {
        settings = changed;
        log.writeUnthrottled("settings reloaded", {});
    };
    return { name: settings.name, gateway, stop, kill, reload };
}

/** The duties that the settings enable; undefined without an address for calls. */
function dutyOptions(settings: GatewaySettings, { duties, store }: GatewayEnvironment): DutyOptions | undefined {
    if (settings.duties === undefined) return undefined;
    const { address, usageWindowSeconds, callsPerSecond, usageTolerance, usageDueSeconds } = settings.duties;
    const { leaseMilliseconds, resumeMilliseconds } = settings.duties;
    if (address === undefined) return undefined;
    return {
        ...duties,
        store,
        address,
        callsPerSecond,
        leaseMs: leaseMilliseconds,
        resumeMs: resumeMilliseconds,
        windowMs: usageWindowSeconds === undefined ? undefined : usageWindowSeconds * 1_000,
        usageTolerance,
        usageDueMs: usageDueSeconds * 1_000,
    };
}
