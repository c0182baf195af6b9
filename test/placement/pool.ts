/** Targets, random numbers and a simulated pool for tests of the choice of targets. */
import { createTarget, type KnownTarget } from "../../src/gateway/knowntarget.js";
import type { TargetLoad } from "../../src/gateway/dialect.js";

/** A target without requests. */
export function idleTarget(name: string, change: Partial<KnownTarget> = {}): KnownTarget {
    const registration = {
        id: name,
        incarnation: 1,
        service: "engines",
        address: "10.0.0.1:80",
        zone: "a",
        version: "v1",
        slots: 16,
        state: "available" as const,
        coldRemainingMs: 0,
    };
    return { ...createTarget(registration), ...change };
}

/** A target that has reported its load `ageMs` ago. */
export function loadedTarget(name: string, load: Partial<TargetLoad>, ageMs = 0): KnownTarget {
    const reported = { running: 0, waiting: 0, slots: 16, pace: 1, ...load };
    return idleTarget(name, { load: reported, loadReportedAt: performance.now() - ageMs });
}

/** Uniform random numbers from a seed (mulberry32). */
export function seededRandom(seed: number): () => number {
    let state = seed >>> 0;
    return () => {
        state = (state + 0x6d2b79f5) >>> 0;
        let mixed = Math.imul(state ^ (state >>> 15), state | 1);
        mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
    };
}
