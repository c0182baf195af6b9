/** The duties of one gateway: counts its requests, hands the counts over, and reports them while it holds the duties. */
import { randomBytes } from "node:crypto";
import type { GatewayPeers } from "../gateway/peers.js";
import type { LineFields } from "../observability/index.js";
import type { PeerCalls } from "../stages/index.js";
import type { Store } from "../store/index.js";
import type { CallPlatform } from "./calls.js";
import { FreezeWatch } from "./freezewatch.js";
import { FleetLoads, type ZoneLoad } from "./fleetloads.js";
import { HandOver } from "./handover.js";
import { type ScaledZone, TargetOrders } from "./targetorders.js";
import { Tenure } from "./tenure.js";
import { TrueClock } from "./trueclock.js";
import { type CountRun, UsageCounter } from "./usagecounter.js";
import { UsageLedger } from "./usageledger.js";
import { UsageReporter } from "./usagereporter.js";

/** What the duties need of the platform. */
export interface DutyPlatform {
    readonly callPlatform: CallPlatform;
    /** Keys in the store of the lease and of the reports. */
    readonly leaseKey: string;
    readonly usageKey: string;
}

/** Settings of the duties, and what they need of the process. */
export interface DutyOptions extends DutyPlatform {
    readonly store: Store;
    readonly address: string;
    readonly callsPerSecond: number;
    readonly leaseMs: number;
    readonly resumeMs: number;
    /** Length of a usage window; undefined if usage is not reported. */
    readonly windowMs: number | undefined;
    readonly usageTolerance: number;
    readonly usageDueMs: number;
}

/** What the duties need of the gateway. */
export interface DutyEnvironment {
    readonly peers: Pick<GatewayPeers, "self" | "others" | "all">;
    readonly peerCalls: Pick<PeerCalls, "call">;
    /** Services that are scaled, by zone, and what this gateway has open at their targets. */
    readonly scaledZones: () => readonly (ScaledZone & Pick<ZoneLoad, "open">)[];
    readonly onChange: (change: string, fields: LineFields) => void;
}

/** Length in milliseconds of the windows in which gateways exchange messages where no usage is reported. */
const WINDOW_WITHOUT_REPORTS_MS = 5_000;

/** Time in milliseconds in which a gateway that stops hands its last counts over. */
const FLUSH_MS = 500;

/** Time in milliseconds for which the scaled zones are taken to be the same. */
const ASK_MS = 250;

/** The duties of one gateway. */
export class Duties {
    /** Counts a request that a target begins to run. */
    readonly countRun: CountRun | undefined;
    private readonly freezes: FreezeWatch;
    private readonly tenure: Tenure;
    private readonly handOver: HandOver;
    private readonly reporter: UsageReporter | undefined;
    private readonly orders: TargetOrders;

    private constructor(options: DutyOptions, { peers, peerCalls, onChange, ...environment }: DutyEnvironment) {
        const { store, windowMs = WINDOW_WITHOUT_REPORTS_MS } = options;
        const gateway = peers.self.name;
        const start = randomBytes(8).toString("hex");
        this.freezes = FreezeWatch.start(options.resumeMs);
        const clock = TrueClock.create(jumpMs => {
            // A machine that was suspended may look the same: its monotonic clock stood still.
            this.freezes.record();
            onChange("clock jumped", { jumpMs });
        });
        const now = (): number => clock.now();
        const ledger = UsageLedger.create();
        const counter = UsageCounter.create({ gateway, start, windowMs, now, ledger });
        const scaledZones = remembered(environment.scaledZones);
        const reportsUsage = options.windowMs !== undefined;
        this.countRun = reportsUsage ? account => counter.count(account) : undefined;
        const hasDuty = (): boolean => reportsUsage || scaledZones().length > 0;
        const gateways = (): readonly string[] => peers.all.map(({ name }) => name);
        this.tenure = Tenure.start({
            store,
            key: options.leaseKey,
            gateway,
            start,
            leaseMs: options.leaseMs,
            freezes: this.freezes,
            rank: () => (hasDuty() && gateways().includes(gateway) ? this.handOver.rank : undefined),
            hearsHolder: () => this.handOver.hearsHolder,
            onTaken: () => this.handOver.announce(),
            onChange,
        });
        const fleetLoads = FleetLoads.create();
        const { tenure } = this;
        this.orders = TargetOrders.start({
            ...options,
            gateway,
            tenure,
            loads: fleetLoads,
            gateways,
            zones: scaledZones,
            onChange,
        });
        this.handOver = HandOver.start({
            peers,
            peerCalls,
            start,
            ledger,
            counter,
            windowMs,
            tolerance: options.usageTolerance,
            fencing: () => tenure.fencing,
            fleetLoads,
            loads: () => scaledZones().map(({ service, zone, open }) => ({ service, zone, open })),
            orders: this.orders,
            onChange,
        });
        const reporterOptions = {
            ...options,
            windowMs,
            key: options.usageKey,
            gateway,
            dueMs: options.usageDueMs,
            tenure,
            ledger,
            gateways,
            now,
            onChange,
        };
        this.reporter = reportsUsage ? UsageReporter.start(reporterOptions) : undefined;
    }

    static start(options: DutyOptions, environment: DutyEnvironment): Duties {
        return new Duties(options, environment);
    }

    /** Takes a message of another gateway. Returns the answer, or undefined if the message is malformed. */
    receive(text: string): string | undefined {
        return this.handOver.receive(text);
    }

    /** Passes the duties on, for a planned stop. Requests are still counted and handed over. */
    async release(): Promise<void> {
        await Promise.all([this.reporter?.finish(), this.orders.finish()]);
        await this.tenure.release();
    }

    /** Hands the last counts over. */
    flush(): Promise<void> {
        return this.handOver.flush(FLUSH_MS);
    }

    /** Ends everything at once, as a crash of the process would. */
    stop(): void {
        this.tenure.abandon();
        this.reporter?.stop();
        this.orders.stop();
        this.handOver.stop();
        this.freezes.stop();
    }
}

/** Asks again only after a while: the answer takes a look at all targets. */
function remembered<Value>(ask: () => Value): () => Value {
    let last: { readonly value: Value; readonly at: number } | undefined;
    return () => {
        const now = performance.now();
        if (last === undefined || now - last.at >= ASK_MS) last = { value: ask(), at: now };
        return last.value;
    };
}
