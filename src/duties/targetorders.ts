/** Orders numbers of targets while this gateway holds the duties. */
import { z } from "zod";
import { runInBackground } from "../model/background.js";
import { pause } from "../model/pause.js";
import type { LineFields } from "../observability/index.js";
import { CallPacer } from "./callpacer.js";
import type { CallPlatform } from "./calls.js";
import { type FleetLoads } from "./fleetloads.js";
import { desiredReplicas, historyMs, type LastOrder, type LoadSample, type ReplicaBounds } from "./replicaplan.js";
import type { Tenure } from "./tenure.js";

const TICK_MS = 500;

/** Longest wait for an answer, and longest pause between calls that are not accepted, in milliseconds. */
const CALL_TIMEOUT_MS = 2_500;
const LONGEST_PAUSE_MS = 1_000;

/** Shortest time in which a call is begun; a renewal of the lease gives more. */
const SHORTEST_CALL_MS = 300;

/** A service that is scaled, in one zone. */
export interface ScaledZone {
    readonly service: string;
    readonly zone: string;
    readonly bounds: ReplicaBounds;
    readonly registered: number;
    readonly slotsPerTarget: number;
    /** Whether its targets get no requests. */
    readonly isClosed: boolean;
}

/** An order as gateways tell each other, for the next holder. */
export const toldOrderSchema = z.object({
    service: z.string(),
    zone: z.string(),
    desired: z.int().min(0),
    ageMs: z.number().min(0),
});

type ToldOrder = Readonly<z.infer<typeof toldOrderSchema>>;

/** What the orders depend on. */
export interface TargetOrdersOptions {
    readonly address: string;
    readonly gateway: string;
    readonly callPlatform: CallPlatform;
    readonly callsPerSecond: number;
    readonly tenure: Pick<Tenure, "fencing" | "actingMs">;
    readonly loads: FleetLoads;
    readonly gateways: () => readonly string[];
    readonly zones: () => readonly ScaledZone[];
    readonly onChange: (change: string, fields: LineFields) => void;
}

interface History {
    samples: LoadSample[];
    knownSince: number;
}

/** Orders numbers of targets. */
export class TargetOrders {
    private readonly histories = new Map<string, History>();
    /** Orders that were accepted, by this holder or an earlier one. */
    private readonly orders = new Map<string, LastOrder & Pick<ScaledZone, "service" | "zone">>();
    private fencing: number | undefined;
    private isBusy = false;
    private isFinished = false;
    private readonly pacer: CallPacer;
    private readonly timer: NodeJS.Timeout;

    private constructor(private readonly options: TargetOrdersOptions) {
        this.pacer = CallPacer.create(options.callsPerSecond, LONGEST_PAUSE_MS);
        this.timer = setInterval(() => this.tick(), TICK_MS);
        this.timer.unref();
    }

    static start(options: TargetOrdersOptions): TargetOrders {
        return new TargetOrders(options);
    }

    /** The last orders, for other gateways. */
    get told(): readonly ToldOrder[] {
        const now = performance.now();
        return [...this.orders.values()].map(({ service, zone, desired, at }) => {
            return { service, zone, desired, ageMs: Math.round(now - at) };
        });
    }

    /** Takes over the orders of the holder. */
    learn(orders: readonly ToldOrder[]): void {
        if (this.options.tenure.fencing !== undefined) return;
        for (const { service, zone, desired, ageMs } of orders) {
            this.orders.set(keyOf({ service, zone }), { service, zone, desired, at: performance.now() - ageMs });
        }
    }

    /** Begins nothing more, and resolves when no call is in progress. */
    async finish(): Promise<void> {
        this.isFinished = true;
        while (this.isBusy) await pause(TICK_MS / 10);
    }

    stop(): void {
        this.isFinished = true;
        clearInterval(this.timer);
    }

    private tick(): void {
        const { tenure, onChange } = this.options;
        if (tenure.fencing !== this.fencing) this.histories.clear();
        this.fencing = tenure.fencing;
        if (this.fencing === undefined || this.isFinished) return;
        const zones = this.options.zones();
        this.sample(zones);
        if (this.isBusy || tenure.actingMs < SHORTEST_CALL_MS) return;
        this.isBusy = true;
        const onFailure = (fields: LineFields): void => onChange("task failed unexpectedly", fields);
        runInBackground("target orders", onFailure, () => this.order(zones).finally(() => (this.isBusy = false)));
    }

    private sample(zones: readonly ScaledZone[]): void {
        const { loads, gateways } = this.options;
        const now = performance.now();
        for (const scaled of zones) {
            const { open, isComplete } = this.demand(scaled, zones, loads, gateways());
            const history = this.histories.get(keyOf(scaled)) ?? { samples: [], knownSince: now };
            this.histories.set(keyOf(scaled), history);
            history.samples.push({ at: now, open, isComplete });
            const oldest = now - historyMs(scaled.bounds) - TICK_MS;
            history.samples = history.samples.filter(({ at }) => at > oldest);
        }
    }

    /** The load of a zone. That of closed zones goes to the open ones in equal parts. */
    private demand(
        { service, zone, isClosed }: ScaledZone,
        zones: readonly ScaledZone[],
        loads: FleetLoads,
        gateways: readonly string[],
    ): { open: number; isComplete: boolean } {
        const own = loads.total(service, zone, gateways);
        if (isClosed) return { ...own, open: 0 };
        const ofService = zones.filter(other => other.service === service);
        const openCount = ofService.filter(other => !other.isClosed).length;
        const closed = ofService.filter(other => other.isClosed);
        const moved = closed.reduce((sum, other) => sum + loads.total(service, other.zone, gateways).open, 0);
        return { ...own, open: own.open + moved / openCount };
    }

    private async order(zones: readonly ScaledZone[]): Promise<void> {
        for (const scaled of zones) {
            const history = this.histories.get(keyOf(scaled));
            if (history === undefined || !this.pacer.mayCall) continue;
            const { bounds, slotsPerTarget, registered } = scaled;
            const lastOrder = this.orders.get(keyOf(scaled));
            const now = performance.now();
            const desired = desiredReplicas({ now, bounds, ...history, slotsPerTarget, registered, lastOrder });
            if (desired !== (lastOrder?.desired ?? registered)) await this.send(scaled, desired);
        }
    }

    private async send(scaled: ScaledZone, desired: number): Promise<void> {
        const { address, gateway, callPlatform, tenure, onChange } = this.options;
        const { fencing } = this;
        const { service, zone, registered } = scaled;
        if (fencing === undefined || tenure.actingMs < SHORTEST_CALL_MS) return;
        const outcome = await callPlatform(
            { kind: "scale", service, zone, desired },
            {
                address,
                holder: gateway,
                fencing,
                timeoutMs: Math.min(CALL_TIMEOUT_MS, tenure.actingMs),
                mayAct: () => tenure.fencing === fencing && tenure.actingMs > 0,
            },
        );
        const open = Math.round(this.histories.get(keyOf(scaled))?.samples.at(-1)?.open ?? 0);
        const reason = outcome.kind === "failed" ? outcome.reason : outcome.kind;
        onChange("targets ordered", { service, zone, desired, registered, open, outcome: reason });
        if (outcome.kind === "accepted") {
            this.pacer.recordAccepted();
            this.orders.set(keyOf(scaled), { service, zone, desired, at: performance.now() });
        } else this.pacer.recordNotAccepted(outcome.kind === "limited" ? outcome.retryAfterMs : undefined);
    }
}

function keyOf({ service, zone }: Pick<ScaledZone, "service" | "zone">): string {
    return JSON.stringify([service, zone]);
}
