/**
 * Decides whether the candidates of a request are compared by speed or by constants, and chooses one of them.
 *
 * Load pattern: pools of which some or all targets report their pace. Where none of the candidates has done so lately, the
 * choice is the one by constants, with the same random numbers.
 */
import type { Target } from "../gateway/target.js";
import { fastestTarget } from "./callchoice.js";
import { chooseEngine } from "./enginechoice.js";
import { type EngineCost, engineCosts, type EngineKnowledge, type EngineRequest } from "./enginecost.js";
import { cheapestEngine, leastLoadedTarget } from "./placement.js";
import { reportsPace } from "./speedestimate.js";

/** A chosen engine. */
export interface ChosenEngine {
    readonly target: Target;
    /** Its cost; undefined if it was chosen by constants. */
    readonly cost: EngineCost | undefined;
}

/** Chooses the engine of a generation; `remainingMs` is the time until the latency objective. */
export function chooseEngineTarget(
    candidates: readonly Target[],
    request: EngineRequest,
    knowledge: EngineKnowledge,
    remainingMs: number,
    random: () => number,
): ChosenEngine | undefined {
    if (reportsPace(candidates, knowledge.now)) {
        const cost = chooseEngine(engineCosts(candidates, request, knowledge), remainingMs, random);
        return cost === undefined ? undefined : { target: cost.target, cost };
    }
    const target = cheapestEngine(candidates, request, knowledge.prefixCaches);
    return target === undefined ? undefined : { target, cost: undefined };
}

/** Chooses the target of a plain call. */
export function chooseCallTarget(
    candidates: readonly Target[],
    zone: string,
    random: () => number,
): Target | undefined {
    return reportsPace(candidates, performance.now())
        ? fastestTarget(candidates, zone, random)
        : leastLoadedTarget(candidates, zone, random);
}
