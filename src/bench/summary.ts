/** Computes the figures of one variant of a load case from the records of its requests. */
import { commonBudget, DEADLINE_MS, type Deployment, kindCost } from "./deployment.js";
import { quantile } from "./statistics.js";

/** Result of one caller's request, over all of its submissions. */
export interface RequestRecord {
    readonly id: string;
    readonly account: string;
    /** Index into the deployment's kinds. */
    readonly kind: number;
    /** Arrival in milliseconds of measured time. */
    readonly at: number;
    readonly submissions: number;
    /** `none` when no submission was answered in time. */
    readonly outcome: "done" | "refused" | "failed" | "unknown" | "none";
    readonly reason: string;
    /** Milliseconds from the arrival to the answer, as the caller sees it. */
    readonly duration: number;
    /** Milliseconds from the arrival to the first token; undefined when none came. */
    readonly firstToken: number | undefined;
    readonly tokenGaps: readonly number[];
    /** Whether a done answer has every token and stage output that belongs to the request. */
    readonly whole: boolean;
    /** Whether an answer holds output or tokens that belong to another request. */
    readonly crossed: boolean;
    /** Starts of the request at the stand-ins, over all stages. */
    readonly runs: number;
    /** Runs of its idempotency key. */
    readonly keyRuns: number;
}

/** Counts at the stand-ins. */
export interface StandInTotals {
    /** Target time by stage, in milliseconds. */
    readonly costByStage: Readonly<Record<string, number>>;
    /** Starts beyond the first of each stage of each request. */
    readonly extraRuns: number;
    /** Highest concurrency above the cold limit that a start reached on a cold target. */
    readonly coldOverrun: number;
    /** The same, only for starts after an earlier one told the agent that the target is cold. */
    readonly coldOverrunAfterNotice: number;
    /** Starts in a zone more than 3 s after operators took it out. */
    readonly startsInZoneOut: number;
}

/** Figures of one variant. */
export interface Summary {
    readonly requests: number;
    readonly weightedAttainment: number;
    readonly attainmentByKind: Readonly<Record<string, number>>;
    readonly attainmentByAccount: Readonly<Record<string, number>>;
    /** Milliseconds: p50, p95 and p99. */
    readonly firstToken: readonly number[];
    readonly duration: readonly number[];
    readonly durationByKind: Readonly<Record<string, readonly number[]>>;
    readonly tokenGapP95: number;
    /** Target time for each request, in milliseconds. */
    readonly costByStage: Readonly<Record<string, number>>;
    readonly extraAttempts: number;
    readonly coldOverrun: number;
    readonly coldOverrunAfterNotice: number;
    readonly startsInZoneOut: number;
    readonly doubled: number;
    readonly lost: number;
    readonly crossed: number;
    readonly untrueRefusals: number;
    readonly unknown: number;
    /** Largest excess of admitted cost over a plan's share in 3 s, as a fraction of the share. */
    readonly shareExceeded: number;
    readonly outcomes: Readonly<Record<string, number>>;
    /** Weighted attainment of the arrivals of each half second. */
    readonly timeline: readonly (readonly [number, number])[];
}

const SHARE_WINDOW_MS = 3_000;
const SHARE_BURST_MS = 1_000;
const STEP_MS = 500;

/** Whether a request was delivered once, whole and in time. */
export function isAttained(record: RequestRecord): boolean {
    const { outcome, whole, crossed, keyRuns, duration } = record;
    return outcome === "done" && whole && !crossed && keyRuns <= 1 && duration <= DEADLINE_MS;
}

/** Attained weight of the records as a fraction of their weight; 1 without records. */
export function attainment(deployment: Deployment, records: readonly RequestRecord[]): number {
    const weightOf = (record: RequestRecord): number => deployment.kinds[record.kind]?.weight ?? 0;
    const total = records.reduce((sum, record) => sum + weightOf(record), 0);
    const got = records.filter(isAttained).reduce((sum, record) => sum + weightOf(record), 0);
    return total === 0 ? 1 : got / total;
}

/**
 * Whether a request was refused although something ran for it. Earlier submissions of the same request may have run
 * idempotent stages, so after more than one submission only runs of its key count.
 */
export function isFalselyRefused(record: RequestRecord): boolean {
    if (record.outcome !== "refused") return false;
    return record.keyRuns > 0 || (record.submissions === 1 && record.runs > 0);
}

/** Whether an answer was lost: none came, or a done answer lacks a part or was never run. */
export function isLost(record: RequestRecord, booked: boolean): boolean {
    if (record.outcome === "none") return true;
    return record.outcome === "done" && (!record.whole || (booked && record.keyRuns === 0));
}

/** Summarises records. Integrity faults and costs cover all records, the rest those that arrive in measured time. */
export function summarise(deployment: Deployment, records: readonly RequestRecord[], totals: StandInTotals): Summary {
    const measured = records.filter(record => record.at >= 0);
    const done = measured.filter(record => record.outcome === "done");
    const booked = (record: RequestRecord): boolean =>
        deployment.kinds[record.kind]?.stages.some(stage => !stage.idempotent) === true;
    return {
        requests: measured.length,
        weightedAttainment: attainment(deployment, measured),
        attainmentByKind: byName(
            measured,
            record => deployment.kinds[record.kind]?.name ?? "",
            attainmentIn(deployment),
        ),
        attainmentByAccount: byName(measured, record => record.account, attainmentIn(deployment)),
        firstToken: quantiles(done.flatMap(record => record.firstToken ?? [])),
        duration: quantiles(done.map(record => record.duration)),
        durationByKind: byName(
            done,
            record => deployment.kinds[record.kind]?.name ?? "",
            group => quantiles(group.map(record => record.duration)),
        ),
        tokenGapP95: quantiles(done.flatMap(record => record.tokenGaps))[1] ?? 0,
        costByStage: Object.fromEntries(
            Object.entries(totals.costByStage).map(([name, cost]) => [name, cost / Math.max(1, records.length)]),
        ),
        extraAttempts: totals.extraRuns / Math.max(1, records.length),
        coldOverrun: totals.coldOverrun,
        coldOverrunAfterNotice: totals.coldOverrunAfterNotice,
        startsInZoneOut: totals.startsInZoneOut,
        doubled: records.filter(record => record.keyRuns > 1).length,
        lost: records.filter(record => isLost(record, booked(record))).length,
        crossed: records.filter(record => record.crossed).length,
        untrueRefusals: records.filter(isFalselyRefused).length,
        unknown: measured.filter(record => record.outcome === "unknown").length / Math.max(1, measured.length),
        shareExceeded: shareExceeded(deployment, measured),
        outcomes: byName(measured, outcomeName, group => group.length),
        timeline: timelineOf(deployment, measured),
    };
}

/** Whether a result was doubled, lost, crossed or falsely refused; no load excuses that. */
export function hasFaults(summary: Summary): boolean {
    return summary.doubled + summary.lost + summary.crossed + summary.untrueRefusals > 0;
}

function outcomeName({ outcome, reason }: RequestRecord): string {
    return reason === "" ? outcome : `${outcome}:${reason}`;
}

function attainmentIn(deployment: Deployment): (records: readonly RequestRecord[]) => number {
    return records => attainment(deployment, records);
}

function byName<Value>(
    records: readonly RequestRecord[],
    nameOf: (record: RequestRecord) => string,
    value: (group: readonly RequestRecord[]) => Value,
): Record<string, Value> {
    const names = [...new Set(records.map(nameOf))].sort();
    return Object.fromEntries(names.map(name => [name, value(records.filter(record => nameOf(record) === name))]));
}

function quantiles(values: readonly number[]): readonly number[] {
    if (values.length === 0) return [];
    const sorted = [...values].sort((left, right) => left - right);
    return [0.5, 0.95, 0.99].map(fraction => Math.round(quantile(sorted, fraction)));
}

/** The largest excess over a plan's share and its burst in any window, as a fraction of them. */
export function shareExceeded(deployment: Deployment, records: readonly RequestRecord[]): number {
    const last = Math.max(0, ...records.map(record => record.at));
    let worst = 0;
    for (const { name, share } of deployment.accounts) {
        const allowed = (share * commonBudget(deployment) * (SHARE_WINDOW_MS + SHARE_BURST_MS)) / 1_000;
        const admitted = records.filter(record => record.account === name && record.outcome !== "refused");
        for (let from = 0; from <= last; from += STEP_MS) {
            const inside = admitted.filter(record => record.at >= from && record.at < from + SHARE_WINDOW_MS);
            const cost = inside.reduce((sum, record) => sum + costOf(deployment, record), 0);
            worst = Math.max(worst, cost / allowed - 1);
        }
    }
    return worst;
}

function costOf(deployment: Deployment, record: RequestRecord): number {
    const kind = deployment.kinds[record.kind];
    return kind === undefined ? 0 : kindCost(kind);
}

function timelineOf(deployment: Deployment, records: readonly RequestRecord[]): readonly (readonly [number, number])[] {
    const last = Math.max(0, ...records.map(record => record.at));
    const points: (readonly [number, number])[] = [];
    for (let from = 0; from <= last; from += STEP_MS) {
        const inside = records.filter(record => record.at >= from && record.at < from + STEP_MS);
        if (inside.length > 0) points.push([from, attainment(deployment, inside)]);
    }
    return points;
}
