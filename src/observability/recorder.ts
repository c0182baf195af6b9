/** Counters, histograms and log lines of a process, as its parts use them. */
import type { Logger } from "tslog";

/** Log lines, for changes of state only; events that may be frequent are counted instead. */
export type StateLogger = Pick<Logger<unknown>, "debug" | "info" | "warn" | "error">;

/** Counters. */
export interface Metrics {
    /** Adds to a counter; tags tell its series apart. */
    increment(name: string, by?: number, tags?: Readonly<Record<string, string>>): void;
}

/** What a duration belongs to. `stage` is absent for whole requests. */
export interface DurationLabels {
    readonly account: string;
    readonly plan: string;
    readonly kind: string;
    readonly pipeline: string;
    readonly stage?: string;
    /** `total`, `firstToken`, `tokenGap`, `stage` (from a stage's first attempt to its result) or `cost`. */
    readonly measure: string;
}

/** Histograms of durations. */
export interface DurationRecorder {
    /** Records one duration in milliseconds. */
    record(labels: DurationLabels, milliseconds: number): void;
}
