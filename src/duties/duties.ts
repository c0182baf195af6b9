/** The duties of one gateway: counts its requests, hands the counts over, and reports them while it holds the duties. */
import { randomBytes } from "node:crypto";
import type { GatewayPeers } from "../gateway/peers.js";
import type { LineFields } from "../observability/index.js";
import type { PeerCalls } from "../stages/index.js";
import type { Store } from "../store/index.js";
import type { CallPlatform } from "./calls.js";
import { FreezeWatch } from "./freezewatch.js";
import { HandOver } from "./handover.js";
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
    readonly windowMs: number;
    readonly usageTolerance: number;
    readonly usageDueMs: number;
}

/** What the duties need of the gateway. */
export interface DutyEnvironment {
    readonly peers: Pick<GatewayPeers, "self" | "others" | "all">;
    readonly peerCalls: Pick<PeerCalls, "call">;
    readonly onChange: (change: string, fields: LineFields) => void;
}

/** Time in milliseconds in which a gateway that stops hands its last counts over. */
const FLUSH_MS = 500;

/** The duties of one gateway. */
export class Duties {
    /** Counts a request that a target begins to run. */
    readonly countRun: CountRun;
    private readonly freezes: FreezeWatch;
    private readonly tenure: Tenure;
    private readonly handOver: HandOver;
    private readonly reporter: UsageReporter;

    private constructor(options: DutyOptions, { peers, peerCalls, onChange }: DutyEnvironment) {
        const { store, windowMs } = options;
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
        this.countRun = account => counter.count(account);
        this.tenure = Tenure.start({
            store,
            key: options.leaseKey,
            gateway,
            start,
            leaseMs: options.leaseMs,
            freezes: this.freezes,
            rank: () => (peers.all.some(({ name }) => name === gateway) ? this.handOver.rank : undefined),
            hearsHolder: () => this.handOver.hearsHolder,
            onTaken: () => this.handOver.announce(),
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
            fencing: () => this.tenure.fencing,
            onChange,
        });
        this.reporter = UsageReporter.start({
            ...options,
            key: options.usageKey,
            gateway,
            dueMs: options.usageDueMs,
            tenure: this.tenure,
            ledger,
            gateways: () => peers.all.map(({ name }) => name),
            now,
            onChange,
        });
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
        await this.reporter.finish();
        await this.tenure.release();
    }

    /** Hands the last counts over. */
    flush(): Promise<void> {
        return this.handOver.flush(FLUSH_MS);
    }

    /** Ends everything at once, as a crash of the process would. */
    stop(): void {
        this.tenure.abandon();
        this.reporter.stop();
        this.handOver.stop();
        this.freezes.stop();
    }
}
