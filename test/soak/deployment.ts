/**
 * The deployment of a soak: real gateway processes on loopback, with stand-ins for the platform's store and the targets.
 * All connections of gateways pass through fault proxies: to the store, to targets and to other gateways.
 */
import { KIND } from "../../src/platform/names.js";
import { CONFIGURATION } from "../gateway/harness.js";
import { type Arrival, StandInTarget } from "../platform/standintarget.js";
import { StandInPlatform } from "../platform/standinplatform.js";
import { type Daemon, freeAddress, ProcessGroup, until } from "../processes/daemons.js";
import { EndlessParties } from "./endlessparties.js";
import type { ProcessObservation } from "./endlesspromises.js";
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

/** Slots that targets are registered with, and beside parties that send without end: then many answers are read at once. */
const USUAL_SLOTS = 6;
const MANY_SLOTS = 64;

/** Limit of the heap of a gateway beside such parties, as in `deploy/system.toml`, and memory of its machine, in megabytes. */
const HEAP_MEGABYTES = 192;
export const MACHINE_MEGABYTES = 350;

/** Longest body of a request in bytes beside such parties. */
const LONG_BODY_BYTES = 2_000_000;

/** Time in milliseconds between two readings of the memory of all processes. */
const MEMORY_READING_MS = 100;

/** Part of the ids of requests that no observed caller has sent. */
const UNOBSERVED = "-endless-";

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
    /** Address by which gateways know the target. */
    readonly address: string;
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
    /** Whether parties send without end, and processes have limits of their memory. */
    readonly isEndless: boolean;
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
    /** Parties that send without end, if there are any. */
    readonly parties: EndlessParties | undefined;
    private readonly processes: { readonly incarnation: string; readonly daemon: Daemon; ownEnd?: string }[] = [];
    private readonly memoryReading: NodeJS.Timeout;
    private isClosing = false;
    private unobservedCount = 0;
    private readonly arrivals = new Map<Arrival, TargetObservation>();
    private readonly standIns: StandInTarget[] = [];
    private readonly group = ProcessGroup.create();

    private constructor(
        private readonly options: DeploymentOptions,
        readonly platform: StandInPlatform,
    ) {
        this.parties = options.isEndless ? EndlessParties.start() : undefined;
        this.memoryReading = setInterval(() => {
            for (const { daemon } of this.processes) daemon.readPeak();
        }, MEMORY_READING_MS);
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
        this.isClosing = true;
        clearInterval(this.memoryReading);
        this.parties?.close();
        await this.group.close();
        this.platform.close();
        const gatewayProxies = this.gateways.flatMap(({ storeProxy, peerProxy }) => [storeProxy, peerProxy]);
        for (const proxy of [...this.targetProxies, ...gatewayProxies]) proxy.close();
        for (const standIn of this.standIns) standIn.close();
    }

    /** Requests that reached targets. */
    get targetObservations(): readonly TargetObservation[] {
        return [...this.arrivals.values()].filter(({ id }) => !id.includes(UNOBSERVED));
    }

    /** All gateway processes. */
    get processObservations(): readonly ProcessObservation[] {
        return this.processes.map(({ incarnation, daemon: { peakBytes }, ownEnd }) => ({
            incarnation,
            peakBytes,
            ownEnd,
        }));
    }

    /** An id of a request that is not observed. With `answerBytes`, a relay answers it with so many bytes. */
    unobservedId(answerBytes: number | undefined): string {
        this.unobservedCount += 1;
        const large = answerBytes === undefined ? "" : `-large-${answerBytes}`;
        return `${this.options.prefix}${UNOBSERVED}${this.unobservedCount}${large}-`;
    }

    /** What all gateway processes have written. */
    get output(): string {
        return this.processes.map(({ daemon }) => daemon.errors).join("");
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
        const { Limits } = CONFIGURATION;
        this.platform.put("config", "main", {
            ...CONFIGURATION,
            Limits: this.options.isEndless ? { ...Limits, MaxBodyBytes: LONG_BODY_BYTES } : Limits,
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
        const address = (await this.parties?.relay(id, proxy.address)) ?? proxy.address;
        standIn.address = address;
        const target = { id, service, standIn, proxy, address, isFull: false, isDark: false };
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
    register({ id, service, address }: SoakTarget, state: "available" | "draining"): void {
        const usualSlots = this.options.isEndless ? MANY_SLOTS : USUAL_SLOTS;
        const Slots = service === "engines" && this.options.hasFullEngines ? ENGINE_SLOTS : usualSlots;
        const entry = { Service: service, Address: address, Zone: "east", Version: "v1", Slots, State: state };
        this.platform.put("servers", id, { ...entry, ColdRemainingMs: 0, born: 1_000 });
    }

    private async addGateway(name: string): Promise<void> {
        const storeProxy = await FaultProxy.start(this.platform.address);
        const peerAddress = await freeAddress(RUN_HOST);
        const { limits, isEndless } = this.options;
        const settings = {
            name,
            zone: "east",
            callerAddress: await freeAddress(RUN_HOST),
            readinessAddress: await freeAddress(RUN_HOST),
            peerAddress,
            stopGraceSeconds: limits.stopGraceMs / 1_000,
            store: { address: storeProxy.address, timeoutMilliseconds: 400 },
            retries: { fractionOfRequests: limits.retryFraction, allowance: limits.retryAllowance },
            ...(isEndless ? { machine: { memoryMegabytes: MACHINE_MEGABYTES } } : {}),
        };
        const peerProxy = await FaultProxy.start(peerAddress);
        const daemon = this.spawn(name, settings);
        const gateway: RunningGateway = { name, settings, storeProxy, peerProxy, daemon, starts: 1, isChanging: false };
        this.gateways.push(gateway);
        this.watch(gateway);
    }

    private spawn(name: string, settings: RunningGateway["settings"]): Daemon {
        const nodeArguments = this.options.isEndless ? [`--max-old-space-size=${HEAP_MEGABYTES}`] : [];
        return this.group.spawn("gateway", name, settings, nodeArguments);
    }

    /** Notes if the gateway's process ends by itself, and starts it again unless a fault does. */
    private watch(gateway: RunningGateway): void {
        const { daemon, name, starts } = gateway;
        const process: (typeof this.processes)[number] = { incarnation: `${name} start ${starts}`, daemon };
        this.processes.push(process);
        void daemon.ended.then(async end => {
            if (this.isClosing || daemon.isAskedFor(end)) return;
            const reason = /FATAL ERROR: [^\n]*/.exec(daemon.errors)?.[0] ?? daemon.errors.slice(-200);
            process.ownEnd = `${end.signal ?? end.code}: ${reason}`;
            if (gateway.isChanging) return;
            gateway.isChanging = true;
            await this.startAgain(gateway);
            gateway.isChanging = false;
        });
    }

    /** Starts a gateway's process again after its end. Returns why it did not start; undefined if it did. */
    async startAgain(gateway: RunningGateway): Promise<unknown> {
        gateway.starts += 1;
        const daemon = this.spawn(gateway.name, gateway.settings);
        gateway.daemon = daemon;
        this.watch(gateway);
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
