/**
 * Access check and admission of requests: whether the account's plan allows the pipeline, and whether there is capacity
 * and time for it.
 *
 * The two are separate: denied access (unknown account or pipeline, pipeline or stage not in the plan) is an error of
 * the caller, while a request that is not admitted may be sent again after the retry time.
 */
import type { Configuration } from "../configuration/index.js";
import type { ClientAccount, Pipeline, Plan, RefusalReason } from "../model/index.js";
import { seatRate, ShareBucket } from "./share.js";

/** Retry time when the entry has its maximum of open requests; about the time until one of them ends. */
const OVERLOAD_RETRY_MS = 100;

/** Retry time for a deadline that is too short; the request needs a longer deadline to be admitted. */
const DEADLINE_RETRY_MS = 1_000;

/** Outcome of the access check. */
export type AccessOutcome =
    | {
          readonly kind: "allowed";
          readonly account: ClientAccount;
          readonly plan: Plan;
          readonly pipeline: Pipeline;
      }
    | { readonly kind: "unknownAccount" }
    | { readonly kind: "unknownPipeline" }
    | { readonly kind: "notInPlan" };

/** A refused admission. */
export interface AdmissionRefusal {
    readonly kind: "refused";
    readonly reason: RefusalReason;
    readonly retryAfterMilliseconds: number;
    readonly message: string;
}

/** Outcome of admission. */
export type AdmissionOutcome =
    | {
          readonly kind: "admitted";
          /** Ends the request; call it once. If `notRun`, the plan gets the cost back. */
          readonly release: (notRun: boolean) => void;
      }
    | AdmissionRefusal;

/** Whether an account's plan allows a pipeline with all of its stages. */
export function checkAccess(configuration: Configuration, accountName: string, pipelineName: string): AccessOutcome {
    const account = configuration.find("account", accountName);
    if (account === undefined) return { kind: "unknownAccount" };
    const pipeline = configuration.find("pipeline", pipelineName);
    if (pipeline === undefined) return { kind: "unknownPipeline" };
    const plan = configuration.find("plan", account.plan);
    if (plan?.pipelines.includes(pipelineName) !== true) return { kind: "notInPlan" };
    const allowed = plan.stages.length === 0 || pipeline.stages.every(stage => plan.stages.includes(stage.name));
    return allowed ? { kind: "allowed", account, plan, pipeline } : { kind: "notInPlan" };
}

/** Expected time in milliseconds that all stages take on targets. */
export function pipelineCost(pipeline: Pipeline): number {
    return pipeline.stages.reduce((sum, stage) => sum + stage.costMilliseconds, 0);
}

/** Limits the open requests and enforces the plan shares of one entry. */
export class Admission {
    private readonly buckets = new Map<string, ShareBucket>();
    private readonly startedAt = performance.now();
    private openCount = 0;

    private constructor(
        private readonly seats: number,
        private readonly maximumRequests: number,
    ) {}

    /** `seats` is the number of entries that split each plan's share; `maximumRequests` limits the open requests. */
    static create(seats: number, maximumRequests: number): Admission {
        return new Admission(seats, maximumRequests);
    }

    /** Number of requests that are admitted and not released. */
    get openRequests(): number {
        return this.openCount;
    }

    /**
     * Admits or refuses a request of a plan. The time check uses configured stage times. Measured times would stay high
     * after an incident, as refused requests yield no new measurements.
     */
    admit(
        configuration: Configuration,
        plan: Plan,
        pipeline: Pipeline,
        remainingMilliseconds: number,
    ): AdmissionOutcome {
        if (this.openCount >= this.maximumRequests) {
            return refuse("overloaded", OVERLOAD_RETRY_MS, "the entry has its maximum number of open requests");
        }
        const cost = pipelineCost(pipeline);
        if (cost > remainingMilliseconds) {
            return refuse("deadline", DEADLINE_RETRY_MS, `the stages take about ${cost} ms`);
        }
        const bucket = this.bucketOf(configuration, plan);
        const draw = bucket?.draw(cost);
        if (draw?.kind === "exceeded") {
            return refuse("overShare", draw.retryAfterMilliseconds, `plan ${plan.name} is above its share`);
        }
        this.openCount += 1;
        return { kind: "admitted", release: notRun => this.release(notRun ? bucket : undefined, cost) };
    }

    private release(refundTo: ShareBucket | undefined, cost: number): void {
        this.openCount -= 1;
        refundTo?.refund(cost);
    }

    /** The plan's bucket at its current rate; undefined without a common budget, as shares then have no meaning. */
    private bucketOf(configuration: Configuration, plan: Plan): ShareBucket | undefined {
        const budget = configuration.find("budget", "common");
        if (budget === undefined) return undefined;
        const rate = seatRate(plan.share, budget.millisecondsPerSecond, this.seats);
        const existing = this.buckets.get(plan.name);
        existing?.setRate(rate);
        const bucket = existing ?? ShareBucket.create(rate, (performance.now() - this.startedAt) / 1_000);
        this.buckets.set(plan.name, bucket);
        return bucket;
    }
}

function refuse(reason: RefusalReason, retryAfterMilliseconds: number, message: string): AdmissionRefusal {
    return { kind: "refused", reason, retryAfterMilliseconds, message };
}
