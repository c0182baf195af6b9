/** A deployment on the loopback address: stand-in platform, stand-in targets and real gateways. */
import { type IncomingHttpHeaders, request } from "node:http";
import { expect, vi } from "vitest";
import { type GatewayProcess, startGateway } from "../../src/daemon/gateway.js";
import { DecisionLog, LineSink } from "../../src/observability/index.js";
import { KIND } from "../../src/platform/names.js";
import { platformEnvironment } from "../../src/platform/source.js";
import { gatewaySettingsSchema } from "../../src/settings/index.js";
import { CallCounter } from "../../src/store/index.js";
import { StandInTarget } from "../platform/standintarget.js";
import { StandInPlatform } from "../platform/standinplatform.js";
import { freeAddress } from "../processes/daemons.js";

/** A caller's request. */
export interface CallOptions {
    readonly path: string;
    readonly method?: string;
    readonly host?: string;
    readonly id?: string;
    readonly key?: string | undefined;
    readonly body?: string;
    readonly headers?: Readonly<Record<string, string>>;
    /** Time in milliseconds after which the caller closes its connection. */
    readonly leaveAfterMs?: number;
}

/** The response that the caller read. `complete` is false if the connection ended early. */
export interface CallAnswer {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: string;
    readonly complete: boolean;
}

/** A configuration with one route of each kind. */
export const CONFIGURATION = {
    Version: 1,
    Routes: [
        route("book", { Kind: "unsafe", Service: "bookings", MaxAttempts: 1 }),
        route("check", { Kind: "safe", Service: "bookings", MaxAttempts: 2 }),
        route("chat", { Kind: "streaming", Service: "engines", MaxAttempts: 2, Resumable: true, ItlTargetMs: 100 }),
        route("draft", { Kind: "streaming", Service: "engines", MaxAttempts: 1, Resumable: false, ItlTargetMs: 100 }),
        route("staged", {
            Kind: "streaming",
            Service: "engines",
            MaxAttempts: 1,
            Phases: [
                { Service: "encode", After: [], SizeBytes: 1_000 },
                { Service: "rank", After: [0], SizeBytes: 1_000 },
            ],
        }),
        route("public", { Kind: "safe", Service: "bookings", MaxAttempts: 2, Public: true }),
    ],
    Services: [
        { Name: "bookings", ColdStartS: 0, ColdPerS: 0 },
        { Name: "engines", ColdStartS: 3, ColdPerS: 10, Backend: { Slots: 64, KvCapacity: 100_000 } },
        { Name: "encode", Segments: stageCapacity(4) },
        { Name: "rank", Segments: stageCapacity(4) },
    ],
    Tenants: [{ Name: "kettleby", ApiKeys: ["good-key"] }],
    Limits: { MaxHeaderBytes: 4_096, MaxBodyBytes: 10_000, HeaderTimeoutMs: 1_000, IdleTimeoutMs: 5_000 },
};

function route(name: string, rest: Readonly<Record<string, unknown>>): Readonly<Record<string, unknown>> {
    const common = { Host: "desk.example", TimeoutMs: 2_000, TargetLatencyMs: 500, Priority: 1, Public: false };
    return { Name: name, PathPrefix: `/${name}/`, ...common, ...rest };
}

function stageCapacity(batch: number): Readonly<Record<string, number>> {
    return { Slots: 1, Queue: 2, Batch: batch, CallMs: 20, ItemMs: 1, HeadroomMb: 1, HandleTtlS: 4, LinkMbps: 1_000 };
}

/** A deployment; each test closes its own. */
export class Deployment {
    readonly targets = new Map<string, StandInTarget>();
    readonly gateways: GatewayProcess[] = [];
    readonly callers: string[] = [];
    readonly readiness: string[] = [];
    readonly metrics: string[] = [];
    /** Addresses for other gateways. */
    readonly peers: string[] = [];
    private readonly logs: DecisionLog[] = [];
    private readonly writtenLines: Readonly<Record<string, unknown>>[] = [];

    /** `furtherSettings` are those of all gateways beside what a deployment needs. */
    private constructor(
        readonly platform: StandInPlatform,
        private readonly furtherSettings: Readonly<Record<string, unknown>>,
    ) {}

    /** Starts the platform with a configuration, targets by service, and gateways; `settings` are added to theirs. */
    static async start(
        services: Readonly<Record<string, number>>,
        gateways = 1,
        configuration: unknown = CONFIGURATION,
        settings: Readonly<Record<string, unknown>> = {},
    ): Promise<Deployment> {
        const deployment = new Deployment(await StandInPlatform.start(), settings);
        deployment.platform.put("config", "main", configuration);
        for (const [service, count] of Object.entries(services)) {
            for (let index = 0; index < count; index += 1) await deployment.addTarget(service, `${service}-${index}`);
        }
        for (let index = 0; index < gateways; index += 1) await deployment.addGateway(`gateway-${index}`);
        await vi.waitFor(() => expect(deployment.platform.names(KIND.gateways)).toHaveLength(gateways), 3_000);
        for (let index = 0; index < gateways; index += 1) {
            await vi.waitFor(async () => expect(await deployment.isReady(index)).toBe(true), 3_000);
        }
        return deployment;
    }

    async addTarget(
        service: string,
        id: string,
        change: Readonly<Record<string, unknown>> = {},
    ): Promise<StandInTarget> {
        const target = await StandInTarget.start(id);
        this.targets.set(id, target);
        this.register(service, id, change);
        return target;
    }

    /** Writes a target's registration. */
    register(service: string, id: string, change: Readonly<Record<string, unknown>> = {}): void {
        this.platform.put("servers", id, {
            Service: service,
            Address: this.target(id).address,
            Zone: "east",
            Version: "v1",
            Slots: 6,
            State: "available",
            ColdRemainingMs: 0,
            Seqno: 1,
            born: 1_000,
            ...change,
        });
    }

    target(id: string): StandInTarget {
        const target = this.targets.get(id);
        if (target === undefined) throw new Error(`no target ${id}`);
        return target;
    }

    async addGateway(name: string): Promise<GatewayProcess> {
        const callers = await freeAddress();
        const readiness = await freeAddress();
        const peers = await freeAddress();
        const metrics = await freeAddress();
        const settings = gatewaySettingsSchema.parse({
            name,
            zone: "east",
            callerAddress: callers,
            readinessAddress: readiness,
            peerAddress: peers,
            metricsAddress: metrics,
            store: { address: this.platform.address, timeoutMilliseconds: 300 },
            rollouts: { share: 0.1, allowance: 50 },
            ...this.furtherSettings,
        });
        const sink = LineSink.create((text, done) => {
            for (const line of text.trim().split("\n")) {
                this.writtenLines.push(JSON.parse(line) as Readonly<Record<string, unknown>>);
            }
            done(null);
        });
        const store = { ...settings.store, ledger: CallCounter.create() };
        const log = DecisionLog.create(name, sink);
        this.logs.push(log);
        const gateway = await startGateway(settings, { ...platformEnvironment(store), log });
        this.gateways.push(gateway);
        this.callers.push(callers);
        this.readiness.push(readiness);
        this.metrics.push(metrics);
        this.peers.push(peers);
        return gateway;
    }

    async isReady(index = 0): Promise<boolean> {
        const response = await fetch(`http://${this.readiness[index]}/readyz`).catch(() => undefined);
        return response?.status === 200;
    }

    /** Leaves a gateway a number of retries for a service, and less than one more. */
    leaveRetries(service: string, count: number, gateway = 0): void {
        const budget = this.gateways[gateway]?.gateway.context.retryBudgetOf(service);
        while (budget?.available() === true) budget.take();
        for (let retry = 0; retry < count; retry += 1) budget?.giveBack();
    }

    /** Log lines of all gateways, those that are buffered included. */
    get lines(): readonly Readonly<Record<string, unknown>>[] {
        for (const log of this.logs) log.flush();
        return this.writtenLines;
    }

    /** Log lines with a message, optionally of one request. */
    linesOf(message: string, id?: string): readonly Readonly<Record<string, unknown>>[] {
        return this.lines.filter(line => line.message === message && (id === undefined || line.id === id));
    }

    async close(): Promise<void> {
        await Promise.all(this.gateways.map(gateway => gateway.kill()));
        this.platform.close();
        for (const target of this.targets.values()) target.close();
    }

    /** Sends a caller's request to a gateway. */
    call(options: CallOptions, gateway = 0): Promise<CallAnswer> {
        const [host = "", port = ""] = (this.callers[gateway] ?? "").split(":");
        const { key = "good-key" } = options;
        return new Promise((resolve, reject) => {
            const outgoing = request(
                {
                    host,
                    port,
                    path: options.path,
                    method: options.method ?? "POST",
                    agent: false,
                    headers: {
                        "host": options.host ?? "desk.example",
                        "x-parsleyrun-request-id": options.id ?? "request-1",
                        "x-parsleyrun-deadline-ms": "2000",
                        ...("key" in options && options.key === undefined ? {} : { authorization: `Token ${key}` }),
                        ...options.headers,
                    },
                },
                response => {
                    const chunks: Buffer[] = [];
                    response.on("data", (chunk: Buffer) => chunks.push(chunk));
                    response.on("error", () => undefined);
                    response.on("close", () => {
                        const { statusCode = 0, headers, complete } = response;
                        resolve({ status: statusCode, headers, body: Buffer.concat(chunks).toString(), complete });
                    });
                },
            );
            outgoing.on("error", reject);
            if (options.leaveAfterMs !== undefined) setTimeout(() => outgoing.destroy(), options.leaveAfterMs);
            outgoing.end(options.body);
        });
    }
}
