/**
 * Holds the duties, or tries to. There is one lease in the store for all of them.
 *
 * A gateway tries only while no holder answers it: a few gateways at first, the others when that has lasted for long. A
 * gateway whose tenure has ended waits for the time within which the duties may not return to it.
 */
import { runInBackground } from "../model/background.js";
import type { LineFields } from "../observability/index.js";
import { Lease, type Store } from "../store/index.js";
import { CANDIDATES } from "./candidates.js";
import type { FreezeWatch } from "./freezewatch.js";

/**
 * Duration of the lease relative to the time within which duties may not return. A successor takes over after a second
 * to notice the loss and 1.25 durations, so that reports of windows that have just ended are still in time by default.
 */
const DURATION_RATIO = 1.5;

/** Durations without a holder after which all gateways try. */
const PATIENT_DURATIONS = 4;

/** Time in milliseconds between the first attempts of gateways that follow each other in the order. */
const TURN_MS = 200;

const CHECK_MS = 100;

/** Time in milliseconds before the end of the lease at which the last call ends. */
const EXPIRY_MARGIN_MS = 300;

/** Time that a candidate watches the lease beyond the time after which it is free. */
const WATCH_MARGIN_MS = 100;
const WATCH_DURATIONS = 1.25;

/** What a tenure depends on. */
export interface TenureOptions {
    readonly store: Store;
    readonly key: string;
    readonly gateway: string;
    readonly start: string;
    readonly leaseMs: number;
    readonly freezes: FreezeWatch;
    /** Place of this gateway in the order of candidates; undefined if it is not registered. */
    readonly rank: () => number | undefined;
    /** Whether a holder has lately answered this gateway. */
    readonly hearsHolder: () => boolean;
    readonly onTaken: (fencing: number) => void;
    readonly onChange: (change: string, fields: LineFields) => void;
}

/** The part of this gateway in holding the duties. */
export class Tenure {
    private lease: Lease | undefined;
    private isTrying = false;
    private isStopped = false;
    private notBefore: number;
    private unheardSince = performance.now();
    private readonly abort = new AbortController();
    private readonly timer: NodeJS.Timeout;

    private constructor(private readonly options: TenureOptions) {
        // An earlier process of this gateway may have held the duties until now.
        this.notBefore = performance.now() + options.leaseMs;
        this.timer = setInterval(() => this.check(), CHECK_MS);
        this.timer.unref();
    }

    static start(options: TenureOptions): Tenure {
        return new Tenure(options);
    }

    /** Duration of the lease in milliseconds. */
    get durationMs(): number {
        return this.options.leaseMs * DURATION_RATIO;
    }

    /** Fencing number of the present tenure; undefined if this gateway does not hold the duties. */
    get fencing(): number | undefined {
        return this.lease?.isHeld() === true ? this.lease.fencing : undefined;
    }

    /** Time in milliseconds in which a call has to end that begins now; 0 if none may be sent. */
    get actingMs(): number {
        const { lease } = this;
        if (lease?.isHeld() !== true || lease.renewedAt <= this.options.freezes.lastResumedAt) return 0;
        return Math.max(0, lease.remainingMs - EXPIRY_MARGIN_MS);
    }

    /** Ends the tenure, so that another gateway can follow at once, and does not try again. */
    async release(): Promise<void> {
        this.stop();
        await this.lease?.release();
    }

    /** Stops as a crash of the process would: the lease stays until it expires. */
    stop(): void {
        this.isStopped = true;
        this.abort.abort();
        clearInterval(this.timer);
    }

    /** As `stop`, and lets no further call begin. */
    abandon(): void {
        this.stop();
        this.lease?.abandon();
    }

    private check(): void {
        const now = performance.now();
        if (this.lease !== undefined || this.options.hearsHolder()) this.unheardSince = now;
        if (this.lease !== undefined || this.isTrying || now < this.notBefore) return;
        const rank = this.options.rank();
        if (rank === undefined) return;
        const unheardMs = now - this.unheardSince;
        const turnMs = rank < CANDIDATES ? rank * TURN_MS : PATIENT_DURATIONS * this.durationMs + rank * TURN_MS;
        if (unheardMs <= turnMs) return;
        this.isTrying = true;
        const onFailure = (fields: LineFields): void => this.options.onChange("task failed unexpectedly", fields);
        runInBackground("lease of duties", onFailure, () => this.tryOnce().finally(() => (this.isTrying = false)));
    }

    private async tryOnce(): Promise<void> {
        const { store, key, gateway, start, leaseMs, onTaken, onChange } = this.options;
        const outcome = await Lease.acquire({
            store,
            key,
            holder: gateway,
            incarnation: start,
            durationMilliseconds: this.durationMs,
            waitMilliseconds: this.durationMs * WATCH_DURATIONS + WATCH_MARGIN_MS,
            signal: this.abort.signal,
        });
        if (outcome.kind !== "acquired") {
            // Its holder may be out of reach of this gateway for long, and each read costs.
            this.notBefore = performance.now() + (outcome.kind === "held" ? this.durationMs : leaseMs / 3);
            return;
        }
        const { lease } = outcome;
        if (this.isStopped) return lease.release();
        this.lease = lease;
        const takenAt = performance.now();
        onChange("duty taken", { fencing: lease.fencing });
        onTaken(lease.fencing);
        void lease.ended.then(reason => {
            this.lease = undefined;
            this.notBefore = performance.now() + leaseMs;
            const heldMs = Math.round(performance.now() - takenAt);
            onChange("duty ended", { reason, fencing: lease.fencing, heldMs });
        });
    }
}
