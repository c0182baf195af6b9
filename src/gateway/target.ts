/** A target as this gateway knows it: its registration, the gateway's own requests to it, and its load. */
import { halfLifeWeight } from "../model/decay.js";
import type { TargetLoad } from "./dialect.js";

/** Half-life in milliseconds of a reported load. */
const LOAD_HALF_LIFE_MS = 300;

/** A target's registration. */
export interface TargetRegistration {
    readonly id: string;
    /** Wall-clock start time of the target; distinguishes incarnations with the same id. */
    readonly incarnation: number;
    readonly service: string;
    /** `ip:port`. */
    readonly address: string;
    readonly zone: string;
    readonly version: string;
    readonly slots: number;
    readonly state: "available" | "draining";
    /** Remaining cold time in milliseconds when the registration was written. */
    readonly coldRemainingMs: number;
}

/** A target and its start; one that has started again does not go on with what the earlier start did. */
export type TargetStart = Pick<TargetRegistration, "id" | "incarnation">;

/** Key of a target's start. */
export function startKey({ id, incarnation }: TargetStart): string {
    return `${id} ${incarnation}`;
}

/** A registered target and its state as seen by this gateway. */
export interface Target {
    readonly name: string;
    readonly registration: TargetRegistration;
    /** Number of open attempts of this gateway. */
    readonly outstanding: number;
    /** Load that the target reported with its last response, and when. */
    readonly load: TargetLoad | undefined;
    readonly loadReportedAt: number;
    /** Prompt tokens of this gateway's attempts that wait for their first event. */
    readonly pendingPromptTokens: number;
}

/** Expected running and waiting requests at a target, from own attempts and from its reported load weighted by age. */
export function expectedLoad({ load, loadReportedAt: loadAt, outstanding }: Target): {
    running: number;
    waiting: number;
} {
    const weight = halfLifeWeight(performance.now() - loadAt, LOAD_HALF_LIFE_MS);
    return {
        running: Math.max(outstanding, (load?.running ?? 0) * weight),
        waiting: (load?.waiting ?? 0) * weight,
    };
}
