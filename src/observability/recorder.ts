/** Interfaces through which the modules of a process count, record durations and log. */
import type { Logger } from "tslog";

/** Logger for state changes only; events that may be frequent are counted instead. */
export type StateLogger = Pick<Logger<unknown>, "debug" | "info" | "warn" | "error">;

/** Counters. */
export interface Metrics {
    /** Adds to a counter; each combination of tags is a series of its own. */
    increment(name: string, by?: number, tags?: Readonly<Record<string, string>>): void;
}

/** Labels of a duration. `stage` is absent for whole requests. */
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
