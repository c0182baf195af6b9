/**
 * A version move: gives a new version more and more of a service's traffic, judges it at each step by what the entries
 * saw, and makes it the stable version. A version that fails, or of which too little is known by the set time, is taken
 * back: the stable version gets all traffic again.
 */
import type { ConfigurationRecord } from "../configuration/index.js";
import { pause } from "../model/pause.js";
import { type ChangeDependencies, SubjectRecordWriter } from "./change.js";
import { mergeEvidence, type RouteEvidence, type SplitEvidence, sumEvidence, VersionTests } from "./evidence.js";
import { type Move, rollbackMargin } from "./move.js";
import type { MoveSession } from "./session.js";

/** Shares after the first step. */
const SHARES = [0.25, 0.5, 1];

/** Answers of the candidate without which no step is passed. */
export const MINIMUM_STEP_ANSWERS = 100;

/** Part of a move's time that is spent at the steps if there is enough evidence; the rest is for evidence that is not. */
const STEPS_PART = 0.7;

/** Longest time at a step with enough evidence, so that a move with a late set time still ends soon. */
const LONGEST_STEP_MS = 300_000;

const POLL_MS = 200;

/** What version moves work on. */
export interface VersionMoveDependencies extends ChangeDependencies {
    /** What each entry that told it saw of the service's split. */
    readonly evidence: (service: string) => readonly SplitEvidence[];
    /** Why a version was stopped at an entry; undefined when it was not. */
    readonly stoppedReason: (service: string, version: string) => string | undefined;
    /** Gives a version no further traffic at any entry. */
    readonly stopVersion: (service: string, version: string, reason: string) => void;
}

interface Trial {
    readonly step: number;
    readonly tests: VersionTests;
    /** When the step began here. */
    readonly since: number;
}

type VersionPlan = Extract<Move["plan"], { kind: "version" }>;

/** Shares of the candidate, step by step. */
export function stepShares({ share }: VersionPlan): readonly number[] {
    return [share, ...SHARES.filter(next => next > share)];
}

/** Works on a version move until it has its result or the session ends. */
export async function runVersionMove(
    parts: VersionMoveDependencies,
    session: MoveSession,
    plan: VersionPlan,
): Promise<void> {
    const work = new VersionWork(parts, session, plan);
    while (session.held() && session.move.state !== "ended") {
        if (await work.advance()) return;
        await session.checkpoint();
        await pause(POLL_MS);
    }
}

class VersionWork {
    private readonly change: SubjectRecordWriter;
    private readonly shares: readonly number[];
    private trial: Trial | undefined;

    constructor(
        private readonly parts: VersionMoveDependencies,
        private readonly session: MoveSession,
        private readonly plan: VersionPlan,
    ) {
        this.change = SubjectRecordWriter.of(parts, session.move, "traffic");
        this.shares = stepShares(plan);
    }

    /** One look at the move. Returns whether it has its result. */
    async advance(): Promise<boolean> {
        const { state, step } = this.session.move;
        if (state === "takingBack") return await this.finishTakingBack();
        if (step >= this.shares.length) return await this.promote();
        return await this.tryStep(step);
    }

    private async tryStep(step: number): Promise<boolean> {
        const { session, plan } = this;
        const fraction = this.shares[step] ?? 0;
        const candidate = { version: plan.version, fraction };
        const set = await this.set({ service: session.move.subject, stable: plan.before, candidate });
        if (set === "ended") return true;
        const routes = this.evidence(fraction);
        const trial = this.trialOf(step);
        const failing = this.stopped() ?? trial.tests.evaluate(routes);
        if (failing !== undefined) {
            this.parts.stopVersion(session.move.subject, plan.version, failing);
            await session.startRollback(`version ${plan.version} fails at ${percent(fraction)}: ${failing}`);
        } else if (session.mustRollBack) {
            await session.startRollback(describeLack(sumEvidence(routes), fraction));
        } else if (set === "set" && this.passed(trial, routes)) {
            await session.update({ step: step + 1 });
        }
        return false;
    }

    private async promote(): Promise<boolean> {
        const { session, plan } = this;
        // The stop of the version may have been told after its last step was passed, before the promotion is made.
        const failing = this.stopped();
        if (failing !== undefined) {
            await session.startRollback(`version ${plan.version} fails at 100%: ${failing}`);
            return false;
        }
        const set = await this.set({ service: session.move.subject, stable: plan.version });
        if (set === "ended") return true;
        if (set === "set") return await session.finish("done", `version ${plan.version} is stable; every step passed`);
        if (session.mustRollBack) await session.startRollback("the promotion could not be stored in time");
        return false;
    }

    private async finishTakingBack(): Promise<boolean> {
        const { session, plan } = this;
        const { subject, reason } = session.move;
        const value = { service: subject, stable: plan.before };
        const restored = await this.change.restore({ kind: "traffic", name: subject, value }, () => session.held());
        if (restored.kind === "pending") return false;
        const by = restored.kind === "overridden" ? `; ${describeOverride(restored.by)}` : "";
        return await session.finish("takenBack", reason + by);
    }

    private async set(value: Extract<ConfigurationRecord, { kind: "traffic" }>["value"]): Promise<string> {
        const { session } = this;
        const record = { kind: "traffic", name: session.move.subject, value } as const;
        const set = await this.change.set(record, () => session.held());
        if (set.kind !== "overridden") return set.kind;
        return (await session.finish("takenBack", describeOverride(set.by))) ? "ended" : "pending";
    }

    private stopped(): string | undefined {
        return this.parts.stoppedReason(this.session.move.subject, this.plan.version);
    }

    /** What all entries saw with this step's split. */
    private evidence(fraction: number): readonly RouteEvidence[] {
        const told = this.parts.evidence(this.session.move.subject);
        return mergeEvidence(told.filter(each => each.version === this.plan.version && each.fraction === fraction));
    }

    /** A controller that takes over judges the step from its beginning, but spends the step's time again. */
    private trialOf(step: number): Trial {
        if (this.trial?.step !== step) {
            this.trial = { step, tests: VersionTests.create(), since: performance.now() };
        }
        return this.trial;
    }

    private passed({ tests, since }: Trial, routes: readonly RouteEvidence[]): boolean {
        const total = sumEvidence(routes);
        if (performance.now() - since < this.stepTime()) return false;
        return total.candidate.answers >= MINIMUM_STEP_ANSWERS && tests.hasPassed(total);
    }

    private stepTime(): number {
        const { doneByMilliseconds } = this.session.move;
        const time = doneByMilliseconds - rollbackMargin(doneByMilliseconds);
        return Math.min(LONGEST_STEP_MS, (time * STEPS_PART) / this.shares.length);
    }
}

function describeLack({ candidate }: RouteEvidence, fraction: number): string {
    return `not enough evidence: ${candidate.answers} answers at ${percent(fraction)}, ${candidate.failures} failed`;
}

function describeOverride({ author, version }: { readonly author: string; readonly version: number }): string {
    return `the traffic was changed by ${author} in version ${version}, which is left as it is`;
}

function percent(fraction: number): string {
    return `${Number((fraction * 100).toFixed(2))}%`;
}
