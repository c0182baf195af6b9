/**
 * The deployment of a soak: real gateway processes on loopback, with stand-ins for the platform's store and the targets.
 * All connections of gateways pass through fault proxies: to the store, to targets and to other gateways.
 */
import { KIND } from "../../src/platform/names.js";
import { CONFIGURATION } from "../gateway/harness.js";
import { type Arrival, StandInTarget } from "../platform/standintarget.js";
import { StandInPlatform } from "../platform/standinplatform.js";
import { type Daemon, freeAddress, ProcessGroup, until } from "../processes/daemons.js";
import { type DrainedTarget, STREAM_EVENTS, type TargetObservation } from "./promises.js";
import { FaultProxy, RUN_HOST } from "./proxy.js";
import type { PieceObservation, SoakLimits } from "./soundpromises.js";

/** Number of targets by service: at least, and for each gateway beyond the usual number of gateways. */
const SERVICES: Readonly<Record<string, { readonly least: number; readonly perGateway: number }>> = {
    bookings: { least: 3, perGateway: 0.5 },
    engines: { least: 3, perGateway: 1 },
    encode: { least: 2, perGateway: 0.5 },
    rank: { least: 2, perGateway: 0.5 },
};
const USUAL_GATEWAYS = 3;

/** Requests that an engine takes at once; it declines more. */
const ENGINE_SLOTS = 8;

export interface RunningGateway {
    readonly name: string;
    readonly settings: Readonly<Record<string, unknown>>;
    readonly storeProxy: FaultProxy;
    readonly peerProxy: FaultProxy;
    daemon: Daemon;
    starts: number;
    isChanging: boolean;
}

export interface SoakTarget {
    readonly id: string;
    readonly service: string;
    readonly standIn: StandInTarget;
    readonly proxy: FaultProxy;
    /** Whether the target declines all requests at the moment. */
    isFull: boolean;
    /** Whether the target stays silent for good. */
    isDark: boolean;
}

/** How the deployment is made and what its targets do. */
export interface DeploymentOptions {
    /** Prefix of the names of requests and targets, so that none is taken for one of another run. */
    readonly prefix: string;
    readonly gateways: number;
    readonly limits: SoakLimits;
    readonly eventGapMs: number;
    /** Latency objective of the requests with stages, from which the time for the stages follows. */
    readonly stagedLatencyMs: number;
    /** Whether engines decline requests beyond their slots. */
    readonly hasFullEngines: boolean;
}

/** All processes, proxies and stand-ins, and what the targets have seen. */
export class SoakDeployment {
    readonly gateways: RunningGateway[] = [];
    /** Targets that are registered as available, by name. */
    readonly targets = new Map<string, SoakTarget>();
    /** Proxies of all targets that there ever were. */
    readonly targetProxies: FaultProxy[] = [];
    readonly drained: DrainedTarget[] = [];
    readonly pieces: PieceObservation[] = [];
    /** Changes of the configuration. */
    readonly changes: { readonly version: number; readonly at: number }[] = [];
    /** Version of the configuration; each adds a route. */
    version = 1;
    private readonly arrivals = new Map<Arrival, TargetObservation>();
    private readonly standIns: StandInTarget[] = [];
    private readonly group = ProcessGroup.create();
    private readonly daemons: Daemon[] = [];

    private constructor(
        private readonly options: DeploymentOptions,
        readonly platform: StandInPlatform,
    ) {
        platform.replaceWritten = (kind, spec) => (kind === KIND.gateways ? this.behindProxy(spec) : spec);
    }

    static async start(options: DeploymentOptions): Promise<SoakDeployment> {
        const deployment = new SoakDeployment(options, await StandInPlatform.start());
        await deployment.startAll().catch(async (error: unknown) => {
            await deployment.close();
            throw error;
        });
        return deployment;
    }

    private async startAll(): Promise<void> {
        this.writeConfiguration();
        for (const [service, { least, perGateway }] of Object.entries(SERVICES)) {
            const count = least + Math.ceil(Math.max(0, this.options.gateways - USUAL_GATEWAYS) * perGateway);
            for (let index = 0; index < count; index += 1) await this.addTarget(service, index);
        }
        for (let index = 0; index < this.options.gateways; index += 1) await this.addGateway(`gateway-${index}`);
        await this.untilReady();
    }

    async close(): Promise<void> {
        await this.group.close();
        this.platform.close();
        const gatewayProxies = this.gateways.flatMap(({ storeProxy, peerProxy }) => [storeProxy, peerProxy]);
        for (const proxy of [...this.targetProxies, ...gatewayProxies]) proxy.close();
        for (const standIn of this.standIns) standIn.close();
    }

    /** Requests that reached targets. */
    get targetObservations(): readonly TargetObservation[] {
        return [...this.arrivals.values()];
    }

    /** What all gateway processes have written. */
    get output(): string {
        return this.daemons.map(({ errors }) => errors).join("");
    }

    async untilReady(): Promise<void> {
        await Promise.all(
            this.gateways.map(({ name, settings }) => {
                const url = `http://${String(settings.readinessAddress)}/`;
                return until(`${name} is ready`, async () => {
                    const response = await fetch(url).catch(() => undefined);
                    return response?.status === 200;
                });
            }),
        );
    }

    /** Puts a configuration into force that has one more route. */
    changeConfiguration(): void {
        this.version += 1;
        this.writeConfiguration();
        this.changes.push({ version: this.version, at: performance.now() });
    }

    /** Writes a configuration whose version adds a route; earlier added routes stay. */
    private writeConfiguration(): void {
        const { limits, stagedLatencyMs } = this.options;
        const { deadlineMs } = limits;
        const common = {
            Host: "desk.example",
            TimeoutMs: deadlineMs,
            TargetLatencyMs: 500,
            Priority: 1,
            Public: false,
        };
        const extras = Array.from({ length: this.version - 1 }, (_, index) => {
            const name = `extra-${index + 2}`;
            return {
                ...common,
                Name: name,
                PathPrefix: `/${name}/`,
                Kind: "safe",
                Service: "bookings",
                MaxAttempts: 2,
            };
        });
        const routes = CONFIGURATION.Routes.map(route => ({
            ...route,
            TimeoutMs: deadlineMs,
            ...("Phases" in route ? { TargetLatencyMs: stagedLatencyMs } : {}),
        }));
        this.platform.put("config", "main", {
            ...CONFIGURATION,
            Version: this.version,
            Routes: [...routes, ...extras],
        });
    }

    /** Starts a target and registers it as available. */
    async addTarget(service: string, index: number): Promise<void> {
        const id = `${this.options.prefix}-${service}-${index}`;
        const standIn = await StandInTarget.start(id);
        this.standIns.push(standIn);
        const proxy = await FaultProxy.start(standIn.address);
        // Results are fetched at the address by which gateways know the target.
        standIn.address = proxy.address;
        const target = { id, service, standIn, proxy, isFull: false, isDark: false };
        this.observe(target);
        this.targets.set(id, target);
        this.targetProxies.push(proxy);
        this.register(target, "available");
    }

    private observe(target: SoakTarget): void {
        const { id: name, service, standIn } = target;
        let worksInProgress = 0;
        standIn.behaviour = arrival => {
            const at = performance.now();
            const isOverfull = service === "engines" && this.options.hasFullEngines && worksInProgress >= ENGINE_SLOTS;
            const isDeclined = target.isFull || isOverfull;
            const until = Number.POSITIVE_INFINITY;
            this.arrivals.set(arrival, { id: arrival.id, service, target: name, at, until, isDeclined });
            worksInProgress += 1;
            if (isDeclined) return { kind: "full" };
            const { eventGapMs: gapMs } = this.options;
            return service === "engines" ? { kind: "stream", events: STREAM_EVENTS, gapMs } : { kind: "answer" };
        };
        if (service === "engines" && this.options.hasFullEngines) {
            standIn.load = () => `${worksInProgress},0,${ENGINE_SLOTS}`;
        }
        standIn.onEnd = arrival => {
            worksInProgress -= 1;
            const observation = this.arrivals.get(arrival);
            if (observation !== undefined) this.arrivals.set(arrival, { ...observation, until: performance.now() });
        };
        standIn.onPieceCall = entries => {
            const at = performance.now();
            for (const { Id, Phase, Segment } of entries) {
                this.pieces.push({ id: String(Id), service, piece: `${Phase}.${Segment}`, target: name, at });
            }
        };
    }

    /** Writes a target's registration. */
    register({ id, service, proxy: { address } }: SoakTarget, state: "available" | "draining"): void {
        const Slots = service === "engines" && this.options.hasFullEngines ? ENGINE_SLOTS : 6;
        const entry = { Service: service, Address: address, Zone: "east", Version: "v1", Slots, State: state };
        this.platform.put("servers", id, { ...entry, ColdRemainingMs: 0, born: 1_000 });
    }

    private async addGateway(name: string): Promise<void> {
        const storeProxy = await FaultProxy.start(this.platform.address);
        const peerAddress = await freeAddress(RUN_HOST);
        const { limits } = this.options;
        const settings = {
            name,
            zone: "east",
            callerAddress: await freeAddress(RUN_HOST),
            readinessAddress: await freeAddress(RUN_HOST),
            peerAddress,
            stopGraceSeconds: limits.stopGraceMs / 1_000,
            store: { address: storeProxy.address, timeoutMilliseconds: 400 },
            retries: { fractionOfRequests: limits.retryFraction, allowance: limits.retryAllowance },
        };
        const peerProxy = await FaultProxy.start(peerAddress);
        const daemon = this.group.spawn("gateway", name, settings);
        this.daemons.push(daemon);
        this.gateways.push({ name, settings, storeProxy, peerProxy, daemon, starts: 1, isChanging: false });
    }

    /** Starts a gateway's process again after its end. Returns why it did not start; undefined if it did. */
    async startAgain(gateway: RunningGateway): Promise<unknown> {
        gateway.starts += 1;
        const daemon = this.group.spawn("gateway", gateway.name, gateway.settings);
        this.daemons.push(daemon);
        gateway.daemon = daemon;
        return daemon.logged('"started"').then(
            () => undefined,
            (reason: unknown) => reason,
        );
    }

    /** A gateway's registration with the address of the proxy in front of it. */
    private behindProxy(spec: unknown): unknown {
        const { name } = spec as { readonly name: string };
        const gateway = this.gateways.find(each => each.name === name);
        return gateway === undefined ? spec : { ...(spec as object), address: gateway.peerProxy.address };
    }
}
