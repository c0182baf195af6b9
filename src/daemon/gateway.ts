/** Composition of a gateway process: listeners, store feed, log and metrics, and its planned stop. */
import {
    type Dialect,
    type FeedSource,
    Gateway,
    GatewayFeed,
    GatewayPeers,
    listenForCallers,
    listenForMetrics,
    listenForPeers,
    listenForReadiness,
    waitUntil,
} from "../gateway/index.js";
import { DecisionLog, HistogramSet, type LineFields, ProcessMetrics, renderMetrics } from "../observability/index.js";
import { pause } from "../model/pause.js";
import type { GatewaySettings } from "../settings/index.js";
import type { CallLedger, Store } from "../store/index.js";
import { reportStoreCalls, type RunningProcess } from "./process.js";

/** What a gateway process is given besides its settings. */
export interface GatewayEnvironment {
    readonly dialect: Dialect;
    readonly source: FeedSource;
    readonly store: Store;
    readonly ledger: CallLedger;
    readonly log: DecisionLog;
}

/** A running gateway. */
export interface GatewayProcess extends RunningProcess {
    readonly gateway: Gateway;
    /** Closes everything at once, without finishing what is open. */
    kill(): Promise<void>;
    /** Takes over changed settings; those of listeners need a restart. */
    reload(settings: GatewaySettings): void;
}

/** Time in milliseconds after the signal to stop for which new requests are still served: the load balancer needs it
 * to take the gateway out, and callers to come back elsewhere. */
const DRAIN_MS = 2_600;

/** Time in milliseconds before the end of the grace time at which the process ends whatever is open. */
const STOP_MARGIN_MS = 400;

/** Time in milliseconds for removing the registration and writing the last lines. */
const LAST_WRITES_MS = 200;

/** Starts a gateway. It listens at once, and is ready when configuration and targets are known. */
export async function startGateway(first: GatewaySettings, environment: GatewayEnvironment): Promise<GatewayProcess> {
    const { dialect, source, store, ledger, log } = environment;
    let settings = first;
    const startedAt = performance.now();
    const metrics = ProcessMetrics.create(undefined);
    const durations = HistogramSet.create();
    const onChange = (change: string, fields: LineFields): void => {
        metrics.increment("changes", 1, { change });
        log.write(change, fields);
    };
    const peers = GatewayPeers.create(
        { name: settings.name, zone: settings.zone, address: settings.peerAddress },
        source.gatewayPrefix,
    );
    const gateway = Gateway.create({
        dialect,
        zone: settings.zone,
        peers,
        retries: settings.retries,
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
    });
    let stopped = false;
    let followed = false;
    const isReady = (): boolean =>
        followed && gateway.phase === "serving" && gateway.configuration !== undefined && gateway.targets.size > 0;
    const callers = await listenForCallers(gateway, settings.callerAddress);
    const others = [
        await listenForReadiness(settings.readinessAddress, isReady),
        await listenForPeers(gateway, settings.peerAddress),
    ];
    if (settings.metricsAddress !== undefined) {
        const render = (): string => {
            const counters = new Map([...metrics.totals(), ...Object.entries(reportStoreCalls(ledger))]);
            const gauges = {
                open_requests: callers.openRequests,
                targets: gateway.targets.size,
                gateways: peers.count,
            };
            return renderMetrics(counters, gauges, durations.summary());
        };
        others.push(await listenForMetrics(settings.metricsAddress, render));
    }
    const feed = GatewayFeed.start({ store, source, gateway, peers, onChange });
    log.always("started", { zone: settings.zone, callers: settings.callerAddress });
    void feed.ready.then(() => {
        followed = true;
        log.always("store followed", {
            afterMs: Math.round(performance.now() - startedAt),
            configuration: gateway.configuration?.version,
            targets: gateway.targets.size,
        });
    });
    // Other gateways send pieces to a registered one, so it has to know the targets first.
    void feed.ready.then(() => peers.register(store, () => stopped));

    const kill = async (): Promise<void> => {
        stopped = true;
        feed.stop();
        gateway.pieceRouter.stop();
        log.flush();
        await Promise.all([callers, ...others].map(listener => listener.close()));
    };
    const stop = async (): Promise<void> => {
        const graceEnd = performance.now() + settings.stopGraceSeconds * 1_000 - STOP_MARGIN_MS;
        log.always("stopping", { openRequests: callers.openRequests });
        gateway.enterPhase("draining");
        stopped = true;
        const unregistered = peers.unregister(store);
        await pause(DRAIN_MS);
        gateway.enterPhase("stopping");
        await waitUntil(() => callers.openRequests === 0, graceEnd - performance.now());
        await Promise.race([unregistered, pause(LAST_WRITES_MS)]);
        log.always("stopped", { openRequests: callers.openRequests });
        await kill();
        await pause(LAST_WRITES_MS / 4);
    };
    const reload = (changed: GatewaySettings): void => {
        settings = changed;
        log.always("settings reloaded", {});
    };
    return { name: settings.name, gateway, stop, kill, reload };
}
