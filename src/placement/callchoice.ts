/**
 * Chooses the target of a plain call among targets that report their pace.
 *
 * Load pattern: targets that a noisy neighbour slows down for some hundred milliseconds. The expected time is the pace times
 * the part of the target's slots that is taken, so a target that is slow at the moment gets less until it is usual again.
 */
import { expectedLoad, type Target } from "../gateway/target.js";
import { weightedChoice } from "./enginechoice.js";
import { presentPace } from "./speedestimate.js";

/** Targets whose relative times differ by no more are nearly equal; a request of load at ten slots is that much. */
const EQUAL_RATIO = 0.1;

/** Expected time of a call at a target, as a multiple of its time at an idle target of usual pace. */
export function relativeCallTime(target: Target, zone: string, now: number): number {
    const { running, waiting } = expectedLoad(target);
    // As without paces: the round trip to another zone costs about as much as half a request of load.
    const otherZone = target.registration.zone === zone ? 0 : 0.5;
    return presentPace(target, now) * (1 + (running + waiting + otherZone) / Math.max(1, target.registration.slots));
}

/** The target with the lowest expected time; among nearly equal ones at random, weighted by how fast they are. */
export function fastestTarget(candidates: readonly Target[], zone: string, random: () => number): Target | undefined {
    const now = performance.now();
    const timed = candidates.map(target => ({ target, time: relativeCallTime(target, zone, now) }));
    const limit = (1 + EQUAL_RATIO) * Math.min(...timed.map(({ time }) => time));
    const nearlyEqual = timed.filter(({ time }) => time <= limit);
    return weightedChoice(nearlyEqual, ({ target, time }) => target.registration.slots / time, random)?.target;
}
