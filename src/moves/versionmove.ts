/**
 * A version move: a staged rollout of a new version. It raises the candidate's share of the service's traffic step by
 * step, tests the candidate at each step on the evidence of all entries, and makes it the stable version after the last
 * step. A version that fails, or that has too little evidence by the deadline, is rolled back: the stable version gets
 * all traffic again.
 */
import type { ConfigurationRecord } from "../configuration/index.js";
import { pause } from "../model/pause.js";
import { type ChangeDependencies, SubjectRecordWriter } from "./change.js";
import { mergeEvidence, type RouteEvidence, type SplitEvidence, sumEvidence, VersionTests } from "./evidence.js";
import { type Move, rollbackMargin } from "./move.js";
import type { MoveSession } from "./session.js";

/** Candidate's shares of the traffic after the first step. */
const LATER_SHARES = [0.25, 0.5, 1];

/** With fewer answers of the candidate, no step is passed. */
export const MINIMUM_STEP_ANSWERS = 100;

/** Fraction of a move's time that steps take with enough evidence; the rest is a reserve for late evidence. */
const STEPS_TIME_FRACTION = 0.7;

/** Maximum time of a step with enough evidence, so that a move with a distant deadline still ends soon. */
const MAXIMUM_STEP_MS = 300_000;

const POLL_MS = 200;

/** What version moves use. */
export interface VersionMoveDependencies extends ChangeDependencies {
    /** Evidence of the service's split from this entry and from each other entry that reported it. */
    readonly evidence: (service: string) => readonly SplitEvidence[];
    /** Why a version was stopped at any entry; undefined if it was not. */
    readonly stoppedReason: (service: string, version: string) => string | undefined;
    /** Stops the version's traffic at all entries. */
    readonly stopVersion: (service: string, version: string, reason: string) => void;
}

interface StepTrial {
    readonly step: number;
    readonly tests: VersionTests;
    /** When this controller started the step, by local time. */
    readonly startedAt: number;
}

type VersionPlan = Extract<Move["plan"], { kind: "version" }>;

/** Shares of the candidate, step by step. */
export function stepShares({ share }: VersionPlan): readonly number[] {
    return [share, ...LATER_SHARES.filter(next => next > share)];
}

/** Runs a version move until it ends or the session loses its lease. */
export async function runVersionMove(
    dependencies: VersionMoveDependencies,
    session: MoveSession,
    plan: VersionPlan,
): Promise<void> {
    const runner = new VersionMoveRunner(dependencies, session, plan);
    while (session.held() && session.move.state !== "ended") {
        if (await runner.advance()) return;
        await session.checkpoint();
        await pause(POLL_MS);
    }
}

class VersionMoveRunner {
    private readonly record: SubjectRecordWriter;
    private readonly shares: readonly number[];
    private trial: StepTrial | undefined;

    constructor(
        private readonly dependencies: VersionMoveDependencies,
        private readonly session: MoveSession,
        private readonly plan: VersionPlan,
    ) {
        this.record = SubjectRecordWriter.of(dependencies, session.move, "traffic");
        this.shares = stepShares(plan);
    }

    /** Checks the move once and acts on it. Returns whether the move has ended. */
    async advance(): Promise<boolean> {
        const { state, step } = this.session.move;
        if (state === "takingBack") return await this.finishRollback();
        if (step >= this.shares.length) return await this.promote();
        return await this.tryStep(step);
    }

    private async tryStep(step: number): Promise<boolean> {
        const { session, plan } = this;
        const fraction = this.shares[step] ?? 0;
        const candidate = { version: plan.version, fraction };
        const outcome = await this.setTraffic({ service: session.move.subject, stable: plan.before, candidate });
        if (outcome === "ended") return true;
        const routes = this.evidenceAt(fraction);
        const trial = this.trialAt(step);
        const failure = this.stoppedReason() ?? trial.tests.evaluate(routes);
        if (failure !== undefined) {
            this.dependencies.stopVersion(session.move.subject, plan.version, failure);
            await session.startRollback(`version ${plan.version} fails at ${percent(fraction)}: ${failure}`);
        } else if (session.mustRollBack) {
            await session.startRollback(describeMissingEvidence(sumEvidence(routes), fraction));
        } else if (outcome === "set" && this.hasPassed(trial, routes)) {
            await session.update({ step: step + 1 });
        }
        return false;
    }

    private async promote(): Promise<boolean> {
        const { session, plan } = this;
        // Another entry may have reported a stop of the version after the last step was passed.
        const failure = this.stoppedReason();
        if (failure !== undefined) {
            await session.startRollback(`version ${plan.version} fails at 100%: ${failure}`);
            return false;
        }
        const set = await this.setTraffic({ service: session.move.subject, stable: plan.version });
        if (set === "ended") return true;
        if (set === "set") return await session.finish("done", `version ${plan.version} is stable; every step passed`);
        if (session.mustRollBack) await session.startRollback("the promotion could not be stored in time");
        return false;
    }

    private async finishRollback(): Promise<boolean> {
        const { session, plan } = this;
        const { subject, reason } = session.move;
        const value = { service: subject, stable: plan.before };
        const restored = await this.record.restore({ kind: "traffic", name: subject, value }, () => session.held());
        if (restored.kind === "pending") return false;
        const by = restored.kind === "overridden" ? `; ${describeOverride(restored.by)}` : "";
        return await session.finish("takenBack", reason + by);
    }

    private async setTraffic(value: Extract<ConfigurationRecord, { kind: "traffic" }>["value"]): Promise<string> {
        const { session } = this;
        const record = { kind: "traffic", name: session.move.subject, value } as const;
        const outcome = await this.record.set(record, () => session.held());
        if (outcome.kind !== "overridden") return outcome.kind;
        return (await session.finish("takenBack", describeOverride(outcome.by))) ? "ended" : "pending";
    }

    private stoppedReason(): string | undefined {
        return this.dependencies.stoppedReason(this.session.move.subject, this.plan.version);
    }

    /** Evidence of all entries with the split of this fraction. */
    private evidenceAt(fraction: number): readonly RouteEvidence[] {
        const reported = this.dependencies.evidence(this.session.move.subject);
        return mergeEvidence(reported.filter(each => each.version === this.plan.version && each.fraction === fraction));
    }

    /** A controller that takes over uses all evidence of the step, but waits for the whole step time again. */
    private trialAt(step: number): StepTrial {
        if (this.trial?.step !== step) {
            this.trial = { step, tests: VersionTests.create(), startedAt: performance.now() };
        }
        return this.trial;
    }

    private hasPassed({ tests, startedAt }: StepTrial, routes: readonly RouteEvidence[]): boolean {
        const total = sumEvidence(routes);
        if (performance.now() - startedAt < this.requiredStepMilliseconds()) return false;
        return total.candidate.answers >= MINIMUM_STEP_ANSWERS && tests.hasPassed(total);
    }

    private requiredStepMilliseconds(): number {
        const { doneByMilliseconds } = this.session.move;
        const time = doneByMilliseconds - rollbackMargin(doneByMilliseconds);
        return Math.min(MAXIMUM_STEP_MS, (time * STEPS_TIME_FRACTION) / this.shares.length);
    }
}

function describeMissingEvidence({ candidate }: RouteEvidence, fraction: number): string {
    return `not enough evidence: ${candidate.answers} answers at ${percent(fraction)}, ${candidate.failures} failed`;
}

function describeOverride({ author, version }: { readonly author: string; readonly version: number }): string {
    return `the traffic was changed by ${author} in version ${version}, which is left as it is`;
}

function percent(fraction: number): string {
    return `${Number((fraction * 100).toFixed(2))}%`;
}
