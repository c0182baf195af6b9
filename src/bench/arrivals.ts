/**
 * Open-loop arrivals: each account's requests come on their own schedule, whatever the system answers. An account
 * alternates between quiet and busy periods, in which its arrivals are a Poisson process; the mean rate is kept.
 */
import * as fastCheck from "fast-check";
import type { Deployment } from "./deployment.js";

/** One request that a caller sends. */
export interface Arrival {
    readonly id: string;
    /** Milliseconds after the start of the measured time; negative while the system warms up. */
    readonly at: number;
    readonly account: string;
    /** Index into the deployment's kinds. */
    readonly kind: number;
    /** Text of the input; the same text is the same content to the system. */
    readonly text: string;
    /** How often the caller sends the request again after an answer other than done. */
    readonly resends: number;
}

/** A change of one account's rate. */
export interface RateChange {
    readonly account: string;
    readonly from: number;
    readonly until: number;
    readonly factor: number;
}

export interface ArrivalOptions {
    readonly deployment: Deployment;
    readonly seed: number;
    /** Start and end in milliseconds of measured time. */
    readonly from: number;
    readonly until: number;
    readonly rateChanges?: readonly RateChange[];
}

/** Factors on the mean rate in busy and quiet periods, and the mean lengths of these periods. */
const BUSY_FACTOR = 2;
const BUSY_MS = 400;
const QUIET_MS = 1_200;
const QUIET_FACTOR = (BUSY_MS + QUIET_MS - BUSY_FACTOR * BUSY_MS) / QUIET_MS;

/** Numbers drawn in one batch from the seeded generator. */
const BLOCK = 4_096;
const RANGE = 2 ** 30;

/** Uniform numbers in [0, 1), the same for the same seed. */
export function createUniform(seed: number): () => number {
    const arbitrary = fastCheck.noBias(fastCheck.integer({ min: 0, max: RANGE - 1 }));
    let block: readonly number[] = [];
    let blocks = 0;
    let next = 0;
    return () => {
        if (next === block.length) {
            block = fastCheck.sample(arbitrary, { seed: seed + 7_919 * blocks, numRuns: BLOCK });
            blocks += 1;
            next = 0;
        }
        const value = block[next] ?? 0;
        next += 1;
        return value / RANGE;
    };
}

/** The arrivals of all accounts in order of time. */
export function drawArrivals(options: ArrivalOptions): readonly Arrival[] {
    const arrivals = options.deployment.accounts.flatMap((_, index) => accountArrivals(options, index));
    return arrivals.sort((left, right) => left.at - right.at || (left.id < right.id ? -1 : 1));
}

function accountArrivals(options: ArrivalOptions, index: number): readonly Arrival[] {
    const { deployment, seed, from, until, rateChanges = [] } = options;
    const account = deployment.accounts[index];
    if (account === undefined) throw new Error(`deployment has no account at index ${index}`);
    const uniform = createUniform(seed * 1_000 + index);
    const perMillisecond = (deployment.requestsPerSecond * account.share) / 1_000;
    const changes = rateChanges.filter(change => change.account === account.name);
    const peak = Math.max(1, ...changes.map(change => change.factor)) * BUSY_FACTOR * perMillisecond;
    const busyAt = drawPeriods(uniform, from, until);
    const arrivals: Arrival[] = [];
    // Thinning: candidates arrive at the peak rate, and each is kept with probability `rate / peak`.
    for (let at = from + exponential(uniform) / peak; at < until; at += exponential(uniform) / peak) {
        const change = changes.find(each => at >= each.from && at < each.until);
        const rate = perMillisecond * (change?.factor ?? (busyAt(at) ? BUSY_FACTOR : QUIET_FACTOR));
        const kind = pickKind(deployment, uniform());
        if (uniform() * peak >= rate) continue;
        const id = `${account.name}-${arrivals.length}`;
        arrivals.push({ id, at, account: account.name, kind, text: `question ${id}`, resends: 0 });
    }
    return arrivals;
}

function exponential(uniform: () => number): number {
    return -Math.log(1 - uniform());
}

/** Draws busy and quiet periods; returns whether a time is in a busy one. */
function drawPeriods(uniform: () => number, from: number, until: number): (at: number) => boolean {
    const busy: { from: number; until: number }[] = [];
    let at = from + uniform() * QUIET_MS;
    while (at < until) {
        const end = at + exponential(uniform) * BUSY_MS;
        busy.push({ from: at, until: end });
        at = end + exponential(uniform) * QUIET_MS;
    }
    return time => busy.some(period => time >= period.from && time < period.until);
}

function pickKind(deployment: Deployment, draw: number): number {
    let sum = 0;
    for (const [index, kind] of deployment.kinds.entries()) {
        sum += kind.fraction;
        if (draw < sum) return index;
    }
    return deployment.kinds.length - 1;
}
