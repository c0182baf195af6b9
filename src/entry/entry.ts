/** An entry owns callers' requests. This module composes its components, and starts and stops them. */
import { Admission, checkAccess, Quarantine, QUARANTINE_MS } from "../admission/index.js";
import type { SlotDirectory } from "../claims/index.js";
import type { ConfigurationHolder } from "../configuration/index.js";
import { type HelloInit, type Link, type Listener, type Network, Role } from "../link/index.js";
import type { Directory } from "../membership/index.js";
import type { SplitEvidence } from "../moves/evidence.js";
import { createIncarnation, refusedStage, type RequestOutcome } from "../model/index.js";
import { withTimeout } from "../model/pause.js";
import type { DurationRecorder, Metrics, StateLogger } from "../observability/index.js";
import { type ChooseTarget, chooseByLoad, Health, RetryBudgets, VersionChooser } from "../routing/index.js";
import type { EntrySettings } from "../settings/schema.js";
import { execute } from "./execution.js";
import { PeerOpenWork } from "./openwork.js";
import { type PeerNoticeBody, Peers } from "./peers.js";
import { type CallerRequest, type ExecutionContext, RequestRun, type TokenListener } from "./run.js";
import { InactivityTimeouts } from "./inactivity.js";
import { LinkLosses } from "./linklosses.js";
import type { TargetLinkContext } from "./targetlink.js";
import { TargetLinks } from "./targets.js";
import { VersionTrials, type VersionStop } from "./trials.js";

/** Interval at which links are maintained. */
const MAINTENANCE_INTERVAL_MS = 1_000;

/** Retry time of requests that this entry cannot serve; another entry may serve them at once. */
const RETRY_AFTER_MS = 100;

/** Options of an entry. */
export interface EntryOptions {
    readonly settings: EntrySettings;
    readonly network: Network;
    readonly configuration: ConfigurationHolder;
    readonly directory: Directory;
    readonly slots: SlotDirectory;
    readonly logger: StateLogger;
    readonly metrics: Metrics;
    readonly recorder: DurationRecorder;
    /** Routing policy; by load by default. */
    readonly chooseTarget?: ChooseTarget;
    /** Random when absent; given when the process has already published one. */
    readonly incarnation?: string;
}

/** Configuration version of a known process. */
export interface ProcessVersion {
    readonly name: string;
    readonly incarnation: string;
    /** 0 when the process has reported none. */
    readonly configurationVersion: number;
}

/** A running entry. */
export class Entry {
    readonly incarnation: string;
    private readonly context: ExecutionContext;
    private readonly targets: TargetLinks;
    private readonly peers: Peers;
    private readonly linkLosses: LinkLosses;
    private readonly peerOpenWork = PeerOpenWork.create();
    private readonly trials: VersionTrials;
    private listener: Listener | undefined;
    private readonly maintenanceTimer: NodeJS.Timeout;
    private readonly unsubscribe: () => void;
    private readonly openControllers = new Map<Promise<RequestOutcome>, AbortController>();
    private lastMessageNumber = 0;
    private leaving = false;

    private constructor(private readonly options: EntryOptions) {
        const { settings, configuration, directory, logger, metrics } = options;
        this.incarnation = options.incarnation ?? createIncarnation();
        const quarantine = Quarantine.create((fingerprint, losses) => this.announceLosses(fingerprint, losses));
        this.linkLosses = LinkLosses.create(quarantine);
        const health = Health.create((target, ejected, reason) => {
            metrics.increment(ejected ? "target.ejected" : "target.readmitted", 1, { target, reason });
            logger.info(`target ${target} is ${ejected ? "ejected" : "readmitted"}: ${reason}`);
        });
        this.targets = TargetLinks.start(directory, this.targetContext(), name => health.forget(name));
        const versions = VersionChooser.create();
        this.trials = VersionTrials.create({
            versions,
            holder: configuration,
            metrics,
            onStopped: stop => this.announceStop(stop),
        });
        this.context = {
            zone: settings.zone,
            holder: configuration,
            targets: this.targets,
            slots: options.slots,
            admission: Admission.create(settings.seat.count, settings.maximumRequests),
            quarantine,
            health,
            retries: RetryBudgets.create(),
            versions,
            trials: this.trials,
            timeouts: InactivityTimeouts.create(),
            chooseTarget: options.chooseTarget ?? chooseByLoad,
            metrics,
            recorder: options.recorder,
        };
        this.peers = this.startPeers(quarantine);
        this.unsubscribe = configuration.subscribe(() => this.configurationChanged());
        this.maintenanceTimer = setInterval(() => this.maintain(), MAINTENANCE_INTERVAL_MS);
    }

    /** Starts an entry. Rejects when its link address cannot be used. */
    static async start(options: EntryOptions): Promise<Entry> {
        const entry = new Entry(options);
        try {
            entry.listener = await options.network.listen(
                options.settings.linkAddress,
                () => entry.hello(),
                link => entry.accept(link),
            );
        } catch (error) {
            entry.kill();
            throw error;
        }
        return entry;
    }

    get name(): string {
        return this.options.settings.name;
    }

    /** Requests in progress. */
    get openRequests(): number {
        return this.openControllers.size;
    }

    /** Whether the entry serves callers: it has a configuration and is not stopping. */
    get ready(): boolean {
        return this.options.configuration.current.version > 0 && !this.leaving;
    }

    /**
     * Handles a request from admission to its outcome. The signal is aborted when the caller disconnects; idempotent
     * work is then cancelled. Tokens of the pipeline's last streaming stage go to `onToken`, in order and each once.
     */
    async handle(request: CallerRequest, signal: AbortSignal, onToken?: TokenListener): Promise<RequestOutcome> {
        const { configuration, settings } = this.options;
        if (configuration.current.version === 0) return this.refuseStarting(request);
        const access = checkAccess(configuration.current, request.account, request.pipeline);
        if (access.kind !== "allowed") return refusedStage("unsupported", access.kind, RETRY_AFTER_MS);
        const deadlineMilliseconds = Math.min(request.deadlineMilliseconds, settings.maximumDeadlineMilliseconds);
        const controller = new AbortController();
        const onAbort = (): void => controller.abort();
        signal.addEventListener("abort", onAbort, { once: true });
        if (signal.aborted) onAbort();
        const limitedRequest = { ...request, deadlineMilliseconds };
        const run = RequestRun.start(
            this.context,
            limitedRequest,
            access,
            controller.signal,
            catchListenerErrors(onToken, onAbort),
        );
        const outcome = execute(run, this.leaving);
        this.openControllers.set(outcome, controller);
        try {
            return await outcome;
        } finally {
            this.openControllers.delete(outcome);
            signal.removeEventListener("abort", onAbort);
        }
    }

    /** Each known process with the configuration version that it reported; this entry first. */
    processVersions(): readonly ProcessVersion[] {
        const { configuration, settings } = this.options;
        const others = [...this.peers.processes(), ...this.targets.all().map(link => link.process)];
        return [
            { name: settings.name, incarnation: this.incarnation, version: configuration.current.version },
            ...others,
        ].map(({ name, incarnation, version }) => ({ name, incarnation, configurationVersion: version }));
    }

    /** Stops the traffic of a version under trial, at this entry and at the others. */
    stopVersion(service: string, version: string, reason: string): void {
        this.trials.stop(service, version, reason);
    }

    /** Open work in a zone, here and as agents report it. Agents' reports include work of entries that have died. */
    countOpenWork(zone: string): number {
        return this.targets
            .all()
            .filter(link => link.zone === zone && link.connected)
            .reduce((sum, link) => sum + Math.max(link.outstanding, link.reported), 0);
    }

    /** Open work of another entry in a zone, if it reported it with at least this configuration version in force. */
    openWorkOf(entry: string, incarnation: string, zone: string, version: number): number | undefined {
        return this.peerOpenWork.find(entry, incarnation, zone, version);
    }

    /** Why a version under trial is stopped; undefined when it is not, as far as this entry knows. */
    stoppedReason(service: string, version: string): string | undefined {
        return this.trials.stoppedReason(service, version);
    }

    /** Evidence of this entry, and of those that reported to it, on a service's traffic split. */
    evidenceOf(service: string): readonly SplitEvidence[] {
        return this.trials.allEvidence(service);
    }

    /** Sends another entry this one's evidence on a service's traffic split. */
    announceEvidence(entry: string, service: string): void {
        const evidence = this.trials.ownEvidence(service);
        if (evidence === undefined) return;
        const { incarnation } = this;
        const routes = evidence.routes.map(({ route, candidate, stable }) => ({ route, candidate, stable }));
        this.peers.notify(entry, { case: "versionEvidence", value: { ...evidence, routes, incarnation } });
    }

    /** Sends another entry this one's open work in a zone. */
    announceOpenWork(entry: string, zone: string): void {
        const zones = [{ zone, attempts: this.countOpenWork(zone) }];
        const configurationVersion = this.options.configuration.current.version;
        const value = { incarnation: this.incarnation, configurationVersion, zones };
        this.peers.notify(entry, { case: "openWork", value });
    }

    /** Stops gracefully: refuses new requests, finishes open ones, then closes the links. */
    async stop(): Promise<void> {
        this.leaving = true;
        this.peers.announceLeaving("planned stop");
        this.targets.announceLeaving("planned stop");
        const timeoutMilliseconds = this.options.settings.maximumDeadlineMilliseconds;
        await withTimeout(Promise.allSettled(this.openControllers.keys()), timeoutMilliseconds, undefined);
        this.close("planned stop");
        await this.listener?.close();
    }

    /** Ends the entry at once and aborts its open requests. */
    kill(): void {
        this.leaving = true;
        for (const controller of this.openControllers.values()) controller.abort();
        this.close("entry ended");
        void this.listener?.close();
    }

    private close(reason: string): void {
        clearInterval(this.maintenanceTimer);
        this.unsubscribe();
        this.peers.stop(reason);
        this.targets.stop(reason);
    }

    private hello(): HelloInit {
        const { settings, configuration } = this.options;
        return {
            role: Role.ENTRY,
            name: settings.name,
            incarnation: this.incarnation,
            zone: settings.zone,
            vm: settings.vm,
            key: settings.systemKey,
            address: this.listener?.address ?? settings.linkAddress,
            configurationVersion: configuration.current.version,
        };
    }

    private targetContext(): TargetLinkContext {
        const { network, configuration, logger, metrics } = this.options;
        return {
            network,
            holder: configuration,
            logger,
            metrics,
            hello: () => this.hello(),
            coldLimit: service => configuration.current.find("service", service)?.coldConcurrency ?? 1,
            nextMessageNumber: () => {
                this.lastMessageNumber += 1;
                return this.lastMessageNumber;
            },
            onDisconnected: (target, incarnation, open) => this.linkLosses.linkLost(target.name, incarnation, open),
            onConnected: (target, incarnation) => this.linkLosses.linkRestored(target.name, incarnation),
        };
    }

    private startPeers(quarantine: Quarantine): Peers {
        const { network, configuration, directory, logger, metrics, settings } = this.options;
        const { trials } = this;
        return Peers.start({
            network,
            holder: configuration,
            directory,
            logger,
            metrics,
            hello: () => this.hello(),
            name: settings.name,
            address: settings.linkAddress,
            seedAddresses: settings.peers,
            onNotice: (peer, notice) => this.receiveNotice(peer, notice),
            initialNotices: function* () {
                for (const stop of trials.currentStops()) yield { case: "versionStopped", value: stop };
                for (const { fingerprint, losses, remainingMilliseconds } of quarantine.ownLosses()) {
                    yield { case: "quarantined", value: { fingerprint, deaths: losses, remainingMilliseconds } };
                }
            },
        });
    }

    private accept(link: Link): void {
        if (link.peer.role === Role.ENTRY) this.peers.accept(link);
        else link.close("entries accept links of entries only");
    }

    private receiveNotice(peer: string, notice: PeerNoticeBody): void {
        if (notice.case === "quarantined") {
            const { fingerprint, deaths, remainingMilliseconds } = notice.value;
            this.context.quarantine.recordPeerLosses(peer, fingerprint, deaths, remainingMilliseconds);
        } else if (notice.case === "versionStopped") {
            this.trials.receiveStop(notice.value);
        } else if (notice.case === "versionEvidence") {
            this.trials.receiveEvidence(peer, notice.value);
        } else if (notice.case === "openWork") {
            this.peerOpenWork.receive(peer, notice.value);
        }
    }

    private announceLosses(fingerprint: string, losses: number): void {
        const remainingMilliseconds = QUARANTINE_MS;
        this.options.metrics.increment("quarantine.losses");
        this.peers.broadcast({ case: "quarantined", value: { fingerprint, deaths: losses, remainingMilliseconds } });
    }

    private announceStop(stop: VersionStop): void {
        const { service, version, reason } = stop;
        this.options.metrics.increment("version.stopped", 1, { service, version });
        this.options.logger.warn(`version ${version} of ${service} is stopped: ${reason}`);
        this.peers.broadcast({ case: "versionStopped", value: stop });
    }

    private configurationChanged(): void {
        this.trials.configure();
        this.peers.configurationChanged();
        for (const link of this.targets.all()) link.configurationChanged();
    }

    private maintain(): void {
        this.peers.maintain();
        this.targets.maintain();
    }

    /**
     * Without a configuration it is not known whether the pipeline has non-idempotent stages. An earlier submission of
     * a request with a key may have been run, so such a request is not refused.
     */
    private refuseStarting(request: CallerRequest): RequestOutcome {
        if (request.idempotencyKey !== undefined) {
            return { kind: "unknown", reason: "ownerUnreachable", message: "the entry is starting" };
        }
        return refusedStage("starting", "the entry has no configuration yet", RETRY_AFTER_MS);
    }
}

/** Wraps a listener so that an error in it cancels the request and does not close the link that carries the tokens. */
function catchListenerErrors(onToken: TokenListener | undefined, onFailure: () => void): TokenListener | undefined {
    if (onToken === undefined) return undefined;
    return (index, token) => {
        try {
            onToken(index, token);
        } catch {
            onFailure();
        }
    };
}
