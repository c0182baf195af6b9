/** A gateway process between stand-ins, for tests that send signals to it while callers use their connections. */
import { writeFileSync } from "node:fs";
import { expect } from "vitest";
import { stringify } from "yaml";
import { CONFIGURATION } from "../gateway/harness.js";
import { StandInPlatform } from "../platform/standinplatform.js";
import { StandInTarget } from "../platform/standintarget.js";
import { type Daemon, freeAddress, pause, ProcessGroup, until } from "./daemons.js";
import { RawCaller } from "./rawcaller.js";

/** Grace period of the gateway. */
export const GRACE_MS = 4_000;

/** Duration of a call for pieces: longer than new requests are served after the signal. */
export const STAGE_MS = 3_100;

/** Events of a finite stream, one each 100 ms, and duration of a slow call. */
const FINITE_EVENTS = 18;
const SLOW_MS = 1_500;

const SERVICES = ["bookings", "engines", "encode"];

/** Parts of a configuration beside those of `CONFIGURATION`, and limits of callers in place of its own. */
export interface FurtherParts {
    readonly Routes?: readonly unknown[];
    readonly Services?: readonly unknown[];
    readonly Tenants?: readonly unknown[];
    readonly Limits?: typeof CONFIGURATION.Limits;
}

/** Settings that differ from the usual ones. */
export type SettingsChange = Readonly<Record<string, unknown>>;

/** A gateway process with a target of each service, on routes whose time limits are longer than the grace period. */
export class Stage {
    callers = "";
    peers = "";
    private readonly group = ProcessGroup.create();
    private readonly targets: StandInTarget[] = [];
    private readonly open: RawCaller[] = [];
    gateway!: Daemon;
    private settings: Readonly<Record<string, unknown>> = {};
    private configurationVersion = 1;

    private constructor(readonly platform: StandInPlatform) {}

    /**
     * `change` changes settings of the gateway, and may depend on the store's address. `descriptors` is the number of
     * descriptors that it may have.
     */
    static async start(
        nodeArguments: readonly string[] = [],
        change: SettingsChange | ((storeAddress: string) => Promise<SettingsChange>) = {},
        descriptors?: number,
    ): Promise<Stage> {
        const stage = new Stage(await StandInPlatform.start());
        stage.putConfiguration();
        for (const service of SERVICES) {
            const target = await StandInTarget.start(`${service}-0`);
            target.behaviour = ({ id }) => {
                if (id.startsWith("silent")) return { kind: "silent" };
                if (id.startsWith("finite")) return { kind: "stream", events: FINITE_EVENTS, gapMs: 100 };
                if (id.startsWith("slow")) return { kind: "answer", after: pause(SLOW_MS) };
                if (id.startsWith("events")) return { kind: "stream", events: 1_000, gapMs: 100 };
                return service === "engines" ? { kind: "stream", events: 2 } : { kind: "answer" };
            };
            stage.targets.push(target);
            const record = { Service: service, Address: target.address, Zone: "east", Version: "v1", Slots: 64 };
            const state = { State: "available", ColdRemainingMs: 0, Seqno: 1, born: 1_000 };
            stage.platform.put("servers", target.id, { ...record, ...state });
        }
        stage.callers = await freeAddress();
        stage.peers = await freeAddress();
        const readiness = await freeAddress();
        stage.settings = {
            name: "gateway-1",
            zone: "east",
            callerAddress: stage.callers,
            readinessAddress: readiness,
            peerAddress: stage.peers,
            store: { address: stage.platform.address, timeoutMilliseconds: 300 },
            stopGraceSeconds: GRACE_MS / 1_000,
            ...(typeof change === "function" ? await change(stage.platform.address) : change),
        };
        stage.gateway = stage.group.spawn("gateway", "gateway", stage.settings, nodeArguments, descriptors);
        await until("ready", async () => (await fetch(`http://${readiness}`).catch(() => undefined))?.status === 200);
        return stage;
    }

    /** Writes the configuration as its next version, with a time limit of the routes, and with further parts. */
    putConfiguration(TimeoutMs = 15_000, further: FurtherParts = {}): void {
        const Routes = CONFIGURATION.Routes.map(route => ({ ...route, Host: "127.0.0.1", TimeoutMs }));
        const Services = CONFIGURATION.Services.map(service =>
            service.Name === "encode" ? { ...service, Segments: { ...service.Segments, CallMs: STAGE_MS } } : service,
        );
        this.platform.put("config", "main", {
            ...CONFIGURATION,
            Version: this.configurationVersion,
            Routes: [...Routes, ...(further.Routes ?? [])],
            Services: [...Services, ...(further.Services ?? [])],
            Tenants: [...CONFIGURATION.Tenants, ...(further.Tenants ?? [])],
            Limits: further.Limits ?? CONFIGURATION.Limits,
        });
        this.configurationVersion += 1;
    }

    /** Writes the settings file of the gateway, with changes, or a text that is no settings file. */
    writeSettings(change: Readonly<Record<string, unknown>> | string): void {
        const text = typeof change === "string" ? change : stringify({ ...this.settings, ...change });
        writeFileSync(this.gateway.file, text);
    }

    target(service: string): StandInTarget {
        const found = this.targets.find(({ id }) => id === `${service}-0`);
        if (found === undefined) throw new Error(`no target of ${service}`);
        return found;
    }

    /** The requests with an id that reached targets. */
    arrivals(id: string): StandInTarget["arrivals"] {
        return this.targets.flatMap(target => target.arrivals.filter(arrival => arrival.id === id));
    }

    /** Waits until a request has reached a target. */
    waitForArrival(id: string): Promise<void> {
        return until(`${id} is at a target`, () => this.arrivals(id).length > 0);
    }

    async connect(): Promise<RawCaller> {
        const caller = await RawCaller.open(this.callers);
        this.open.push(caller);
        return caller;
    }

    /** Opens a connection that has carried a request. */
    async connectKept(): Promise<RawCaller> {
        const caller = await this.connect();
        expect((await caller.send("/public/1", "kept")).status).toBe(200);
        return caller;
    }

    async close(): Promise<void> {
        for (const caller of this.open) caller.close();
        await this.group.close();
        this.platform.close();
        for (const target of this.targets) target.close();
    }
}
