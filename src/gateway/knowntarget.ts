/** A target with what only the directory of targets reads and changes. */
import { Silence } from "../routing/index.js";
import type { TargetLoad } from "./dialect.js";
import type { Target, TargetRegistration } from "./target.js";
import { TargetRate } from "./targetrate.js";

/** A target with its changeable state. */
export interface KnownTarget extends Target {
    registration: TargetRegistration;
    outstanding: number;
    load: TargetLoad | undefined;
    loadReportedAt: number;
    pendingPromptTokens: number;
    readonly silence: Silence;
    readonly rate: TargetRate;
    unreachableUntil: number;
    unreachableCount: number;
    /** Monotonic time in milliseconds until which the target wants no requests of this gateway. */
    pausedUntil: number;
}

/** Creates the state of a target to which nothing was sent yet. */
export function createTarget(registration: TargetRegistration): KnownTarget {
    return {
        name: registration.id,
        registration,
        outstanding: 0,
        load: undefined,
        loadReportedAt: 0,
        pendingPromptTokens: 0,
        silence: Silence.create(),
        rate: TargetRate.create(),
        unreachableUntil: 0,
        unreachableCount: 0,
        pausedUntil: 0,
    };
}

/** The changeable state of a target. Callers of the directory have all their targets from it. */
export function knownTarget(target: Target): KnownTarget {
    return target as KnownTarget;
}
