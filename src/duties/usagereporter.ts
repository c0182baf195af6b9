/** Reports usage while this gateway holds the duties: fixes the report of each window in the store, and then sends it. */
import { runInBackground } from "../model/background.js";
import { pause } from "../model/pause.js";
import type { LineFields } from "../observability/index.js";
import type { Store } from "../store/index.js";
import { CallPacer } from "./callpacer.js";
import type { CallPlatform, UsageCounts } from "./calls.js";
import type { Tenure } from "./tenure.js";
import { KEPT_WINDOWS, type UsageLedger } from "./usageledger.js";
import { decideWindow, type WindowDecision } from "./usageplan.js";
import { UsageRecord } from "./usagerecord.js";

const TICK_MS = 50;

/** Time in milliseconds after a call to the store that failed until the next one. */
const STORE_RETRY_MS = 300;

/** Longest wait for an answer; a slow platform may take most of the lease. */
const CALL_TIMEOUT_MS = 2_500;

/** Shortest time in which a call is begun; a renewal of the lease gives more. */
const SHORTEST_CALL_MS = 300;

/** Longest pause between calls that are not accepted, relative to the time in which a report is due: some must be left. */
const LONGEST_PAUSE_SHARE = 0.1;

/** What the reporter depends on. */
export interface UsageReporterOptions {
    readonly store: Store;
    readonly key: string;
    readonly address: string;
    readonly gateway: string;
    readonly callPlatform: CallPlatform;
    readonly callsPerSecond: number;
    readonly windowMs: number;
    readonly dueMs: number;
    readonly tenure: Pick<Tenure, "fencing" | "actingMs">;
    readonly ledger: UsageLedger;
    /** Names of the gateways whose counts are awaited. */
    readonly gateways: () => readonly string[];
    /** Milliseconds of true time. */
    readonly now: () => number;
    readonly onChange: (change: string, fields: LineFields) => void;
}

/** One tenure of this gateway. */
interface Term {
    readonly fencing: number;
    readonly takenAt: number;
    readonly record: UsageRecord;
}

/** Reports usage. */
export class UsageReporter {
    private term: Term | undefined;
    private isBusy = false;
    private isFinished = false;
    private storeRetryAt = Number.NEGATIVE_INFINITY;
    private readonly pacer: CallPacer;
    private readonly startedAt: number;
    private readonly lastSentAt = new Map<number, number>();
    private readonly timer: NodeJS.Timeout;

    private constructor(private readonly options: UsageReporterOptions) {
        this.pacer = CallPacer.create(options.callsPerSecond, options.dueMs * LONGEST_PAUSE_SHARE);
        this.startedAt = options.now();
        this.timer = setInterval(() => this.tick(), TICK_MS);
        this.timer.unref();
    }

    static start(options: UsageReporterOptions): UsageReporter {
        return new UsageReporter(options);
    }

    /** Begins nothing more, and resolves when no call is in progress: a later holder's calls must arrive after it. */
    async finish(): Promise<void> {
        this.isFinished = true;
        while (this.isBusy) await pause(TICK_MS);
    }

    stop(): void {
        this.isFinished = true;
        clearInterval(this.timer);
    }

    private tick(): void {
        const { tenure, store, key, now, onChange } = this.options;
        const { fencing } = tenure;
        if (fencing === undefined) this.term = undefined;
        else if (this.term?.fencing !== fencing) {
            this.term = { fencing, takenAt: now(), record: UsageRecord.create(store, key, fencing) };
        }
        const { term } = this;
        if (term === undefined || this.isBusy || this.isFinished || tenure.actingMs < SHORTEST_CALL_MS) return;
        this.isBusy = true;
        const onFailure = (fields: LineFields): void => onChange("task failed unexpectedly", fields);
        runInBackground("usage reports", onFailure, () => this.work(term).finally(() => (this.isBusy = false)));
    }

    private async work(term: Term): Promise<void> {
        const canUseStore = performance.now() >= this.storeRetryAt;
        if (!term.record.isLoaded) {
            if (canUseStore) this.noteStore((await term.record.load()).kind === "done");
            return;
        }
        const toFix = new Map<number, UsageCounts>();
        const toSend: number[] = [];
        for (const windowId of this.openWindows(term)) {
            const decision = this.decide(term, windowId);
            if (decision.kind === "giveUp") this.giveUp(term, windowId, decision.reason);
            if (decision.kind === "fix") toFix.set(windowId, this.options.ledger.totals(windowId));
            if (decision.kind === "send") toSend.push(windowId);
        }
        if (toFix.size > 0 && canUseStore) {
            const outcome = await term.record.fix(toFix);
            this.noteStore(outcome.kind === "done");
            if (outcome.kind !== "unavailable") return;
            for (const windowId of toFix.keys()) this.logFailure(windowId, `not fixed: ${outcome.message}`);
            return;
        }
        if (toSend.length === 0 || !this.pacer.mayCall) return;
        const lastSent = (id: number): number => this.lastSentAt.get(id) ?? Number.NEGATIVE_INFINITY;
        const [next] = toSend.sort((left, right) => lastSent(left) - lastSent(right) || left - right);
        if (next !== undefined) await this.send(term, next);
    }

    private noteStore(isAvailable: boolean): void {
        if (!isAvailable) this.storeRetryAt = performance.now() + STORE_RETRY_MS;
    }

    /** Windows that have ended and need a report. */
    private openWindows({ record }: Term): readonly number[] {
        const { now, windowMs, ledger } = this.options;
        const current = Math.floor(now() / windowMs);
        const started = Math.min(Math.floor(this.startedAt / windowMs), ledger.oldestWindow ?? current);
        const first = Math.max(
            current - KEPT_WINDOWS + 1,
            record.isNew ? started : Math.min(record.oldestWindow, current),
        );
        const ids = Array.from({ length: Math.max(0, current - first) }, (_, index) => first + index);
        return ids.filter(id => record.report(id)?.isAcknowledged !== true && !ledger.isClosed(id));
    }

    private endOf(windowId: number): number {
        return (windowId + 1) * this.options.windowMs;
    }

    private decide({ takenAt, record }: Term, windowId: number): WindowDecision {
        const { now, dueMs, ledger, gateways } = this.options;
        const complete = ledger.completeGateways(windowId);
        const endsAt = this.endOf(windowId);
        return decideWindow({
            now: now(),
            endsAt,
            dueAt: endsAt + dueMs,
            takenAt,
            isFixed: record.report(windowId) !== undefined,
            mayLackReports: record.mayLackReports,
            isComplete: gateways().every(name => complete.has(name)),
        });
    }

    private giveUp({ record }: Term, windowId: number, reason: string): void {
        const { ledger, now, onChange } = this.options;
        const counts = record.report(windowId)?.counts ?? ledger.totals(windowId);
        const afterMs = Math.round(now() - this.endOf(windowId));
        onChange("usage report given up", { windowId, reason, afterMs, ...summaryOf(counts) });
        ledger.close(windowId);
        this.lastSentAt.delete(windowId);
    }

    private async send(term: Term, windowId: number): Promise<void> {
        const { address, gateway, callPlatform, tenure, dueMs, now, ledger, gateways, onChange } = this.options;
        const report = term.record.report(windowId);
        if (report === undefined) return;
        this.lastSentAt.set(windowId, performance.now());
        const leftMs = this.endOf(windowId) + dueMs - now();
        const outcome = await callPlatform(
            { kind: "usage", windowId, counts: report.counts },
            {
                address,
                holder: gateway,
                fencing: term.fencing,
                timeoutMs: Math.max(1, Math.min(CALL_TIMEOUT_MS, leftMs, tenure.actingMs)),
                mayAct: () => tenure.fencing === term.fencing && tenure.actingMs > 0,
            },
        );
        if (outcome.kind !== "accepted") {
            this.pacer.recordNotAccepted(outcome.kind === "limited" ? outcome.retryAfterMs : undefined);
            this.logFailure(windowId, outcome.kind === "limited" ? "too many calls" : outcome.reason);
            return;
        }
        this.pacer.recordAccepted();
        const complete = ledger.completeGateways(windowId);
        onChange("usage reported", {
            windowId,
            fencing: term.fencing,
            afterMs: Math.round(now() - this.endOf(windowId)),
            missing: gateways().filter(name => !complete.has(name)).length,
            ...summaryOf(report.counts),
        });
        term.record.acknowledge(windowId);
        ledger.close(windowId);
        this.lastSentAt.delete(windowId);
    }

    private logFailure(windowId: number, reason: string): void {
        const { now, onChange } = this.options;
        onChange("usage report failed", { windowId, reason, afterMs: Math.round(now() - this.endOf(windowId)) });
    }
}

function summaryOf(counts: UsageCounts): LineFields {
    const values = Object.values(counts);
    return { accounts: values.length, requests: values.reduce((sum, count) => sum + count, 0) };
}
