/**
 * Whether a request may run: what its account's plan allows, and whether there is room and time for it.
 *
 * Access (unknown account or pipeline, not in plan) is separate from admission: it is an error of the caller, while a
 * refused admission may be repeated after the retry time.
 */
import type { Configuration } from "../configuration/index.js";
import type { ClientAccount, Pipeline, Plan, RefusalReason } from "../model/index.js";
import { seatRate, ShareBucket } from "./share.js";

/** Retry time when all places are taken; about the time in which one becomes free. */
const FULL_RETRY_MS = 100;

/** Retry time for a deadline that is too short; the same request has to come with a longer one. */
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

/** What admission refuses. */
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
          /** Ends the request's place. `notRun` gives its cost back to the plan. Called once. */
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

/** Expected target time of all stages, in milliseconds. */
export function pipelineCost(pipeline: Pipeline): number {
    return pipeline.stages.reduce((sum, stage) => sum + stage.costMilliseconds, 0);
}

/** Places and plan shares of one entry. */
export class Admission {
    private readonly buckets = new Map<string, ShareBucket>();
    private readonly startedAt = performance.now();
    private open = 0;

    private constructor(
        private readonly seats: number,
        private readonly maximumRequests: number,
    ) {}

    /** `seats` entries split each plan's share; at most `maximumRequests` are open at once. */
    static create(seats: number, maximumRequests: number): Admission {
        return new Admission(seats, maximumRequests);
    }

    /** Requests that are admitted and not released. */
    get openRequests(): number {
        return this.open;
    }

    /**
     * Admits a request of a plan, or refuses it. The time check uses the configured stage times and no measured ones:
     * measured times would stay high after an incident, as refused requests bring no new measurement.
     */
    admit(
        configuration: Configuration,
        plan: Plan,
        pipeline: Pipeline,
        remainingMilliseconds: number,
    ): AdmissionOutcome {
        if (this.open >= this.maximumRequests) {
            return refuse("overloaded", FULL_RETRY_MS, "the entry has its maximum number of open requests");
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
        this.open += 1;
        return { kind: "admitted", release: notRun => this.release(notRun ? bucket : undefined, cost) };
    }

    private release(refundTo: ShareBucket | undefined, cost: number): void {
        this.open -= 1;
        refundTo?.refund(cost);
    }

    /** The plan's bucket at its present rate; undefined without a common budget, when shares have no meaning. */
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
