/**
 * Runs an idempotent stage: tries one target after another until an attempt completes.
 *
 * A refused attempt was not run and costs nothing, so the next target is tried at once. An attempt that failed, was
 * lost or timed out is retried at another target within the retry budget and the deadline. A silent attempt is left only
 * for such a retry, since its target may go on. A silent target is avoided; its silence counts once against it, however
 * many attempts notice it.
 */
import { failedStage, refusedStage, type FailureReason, type Stage, type StageOutcome } from "../model/index.js";
import { pause } from "../model/pause.js";
import type { Attempt, AttemptOutcome } from "./attempt.js";
import { parseOutput, type RequestRun, type StageEnd } from "./run.js";
import type { TargetLink } from "./targetlink.js";
import { TokenStream } from "./tokenstream.js";

/** Limits the load that one failing request can put on a service whose retry budget is full. */
const MAXIMUM_FAILED_ATTEMPTS = 4;

/** Fraction of the deadline that a request waits for a target, if nothing of it was run, before it is refused. */
const MAXIMUM_WAIT_FRACTION = 0.25;

/** Exponential backoff while waiting for a target. */
const INITIAL_WAIT_MS = 5;
const MAXIMUM_WAIT_MS = 80;

type Completed = Extract<StageOutcome, { kind: "completed" }>;

/** Runs an idempotent stage until it ends. Its tokens go to the caller when `forwardsTokens`. */
export function runIdempotentStage(
    run: RequestRun,
    stage: Stage,
    payload: string,
    forwardsTokens: boolean,
): Promise<StageEnd> {
    return new IdempotentStage(run, stage, payload, TokenStream.create(run, forwardsTokens)).run();
}

class IdempotentStage {
    /** Targets that refused or failed since the last wait. */
    private readonly tried = new Set<string>();
    private lastRefusal: Extract<StageOutcome, { kind: "refused" }> | undefined;
    private failedAttempts = 0;
    private nextWaitMilliseconds = INITIAL_WAIT_MS;
    private readonly startedAt = performance.now();

    constructor(
        private readonly requestRun: RequestRun,
        private readonly stage: Stage,
        private readonly payload: string,
        private readonly tokens: TokenStream,
    ) {}

    async run(): Promise<StageEnd> {
        this.requestRun.context.retries.deposit(this.requestRun.account.name, this.stage.service);
        for (;;) {
            const stop = this.findEnd();
            if (stop !== undefined) return stop;
            const target = this.chooseTarget();
            if (target === undefined) {
                await this.waitForTarget();
                continue;
            }
            const end = await this.tryTarget(target);
            if (end !== undefined) return end;
        }
    }

    /** The end of the stage, if no further attempt is to be made. */
    private findEnd(): StageEnd | undefined {
        const { requestRun } = this;
        if (requestRun.signal.aborted) return failedStage("cancelled", "the caller has gone");
        if (requestRun.context.quarantine.contains(requestRun.fingerprint)) return this.endQuarantined();
        if (!requestRun.mayHaveRun && this.waitedTooLong()) {
            return this.lastRefusal ?? refusedStage("noTarget", `no target of ${this.stage.service}`, MAXIMUM_WAIT_MS);
        }
        if (requestRun.deadline.passed()) return failedStage("deadline", `deadline passed in stage ${this.stage.name}`);
        return undefined;
    }

    private waitedTooLong(): boolean {
        const longestMilliseconds = MAXIMUM_WAIT_FRACTION * this.requestRun.request.deadlineMilliseconds;
        return this.requestRun.deadline.passed() || performance.now() - this.startedAt >= longestMilliseconds;
    }

    private endQuarantined(): StageEnd {
        const message = "this content was in flight on targets that were lost";
        return this.requestRun.mayHaveRun ? failedStage("quarantined", message) : refusedStage("quarantined", message);
    }

    private chooseTarget(): TargetLink | undefined {
        const { context } = this.requestRun;
        const usable = context.targets.usable(this.stage.service, context.holder);
        const untried = this.avoidSuspectedContent(
            context.health.withoutEjected(usable).filter(each => !this.tried.has(each.name)),
        );
        // A silent target is better than none.
        return (
            this.chooseAmong(untried.filter(target => target.allowsRequest(this.canMove()))) ??
            this.chooseAmong(untried)
        );
    }

    /** Chooses one of the given targets, of those that the traffic split allows. */
    private chooseAmong(untried: readonly TargetLink[]): TargetLink | undefined {
        const { context, prefixHash } = this.requestRun;
        const choice = { zone: context.zone, prefixHash, random: Math.random };
        const split = context.holder.current.find("traffic", this.stage.service);
        const versions = context.versions.allowedVersions(this.stage.service, split);
        if (versions === undefined) return context.chooseTarget(untried, choice);
        for (const version of versions) {
            const ofVersion = untried.filter(target => target.version === version);
            const target = context.chooseTarget(ofVersion, choice);
            if (target !== undefined) return target;
        }
        return undefined;
    }

    /**
     * If possible, sends content that was in flight on a lost target to one where no other such content is in flight.
     * Otherwise harmless content could share the next target with the actual cause of the crash as well.
     */
    private avoidSuspectedContent(targets: readonly TargetLink[]): readonly TargetLink[] {
        const { context, fingerprint } = this.requestRun;
        if (!context.quarantine.isSuspected(fingerprint)) return targets;
        const withoutSuspectedContent = targets.filter(
            target => !target.hasAttemptWithContent(other => context.quarantine.isSuspected(other)),
        );
        return withoutSuspectedContent.length > 0 ? withoutSuspectedContent : targets;
    }

    private async waitForTarget(): Promise<void> {
        await pause(Math.min(this.nextWaitMilliseconds, Math.max(1, this.requestRun.deadline.remainingMs())));
        this.nextWaitMilliseconds = Math.min(MAXIMUM_WAIT_MS, this.nextWaitMilliseconds * 2);
        this.tried.clear();
    }

    /** Makes one attempt. Returns the end of the stage, or undefined when another target is to be tried. */
    private async tryTarget(target: TargetLink): Promise<StageEnd | undefined> {
        const { context } = this.requestRun;
        const startedAt = performance.now();
        const resumed = this.tokens.receivedCount > 0;
        const attempt = this.send(target);
        this.tried.add(target.name);
        if (attempt === undefined) return undefined;
        const split = context.holder.current.find("traffic", this.stage.service);
        context.versions.recordSent(this.stage.service, split, target.version);
        context.health.recordSent(target.name);
        const version = target.version;
        const outcome = this.checkAnswer(await attempt.outcome);
        const reason = "reason" in outcome ? outcome.reason : "";
        this.requestRun.countAttempt(this.stage, version, outcome.kind, reason);
        // A resumed attempt does only part of the work, and the time at a cold target says nothing about its version.
        const comparable = !resumed && !target.cold;
        const isEvidence = outcome.kind !== "silent" || target.recordLeft(outcome.milliseconds);
        if (isEvidence) {
            this.recordTrialAnswer(version, outcome, comparable ? performance.now() - startedAt : undefined);
        }
        if (outcome.kind === "completed") {
            this.recordSuccess(target, resumed ? undefined : performance.now() - startedAt);
            return { kind: "completed", output: parseOutput(outcome.output)?.value };
        }
        return this.handleIncomplete(target, outcome);
    }

    private recordTrialAnswer(version: string, outcome: AttemptOutcome, milliseconds: number | undefined): void {
        const { requestRun, stage } = this;
        const classification = classifyForTrial(outcome);
        if (classification === undefined) return;
        const { service, name } = stage;
        const answer = {
            service,
            version,
            route: requestRun.pipeline.name,
            stage: name,
            account: requestRun.account.name,
        };
        const timed = classification === "answered" && milliseconds !== undefined ? { milliseconds } : {};
        requestRun.context.trials.record({ ...answer, failed: classification === "failed", ...timed });
    }

    private send(target: TargetLink): Attempt | undefined {
        const { requestRun, stage, tokens } = this;
        const key = `${stage.service}/${stage.operation}`;
        const { context } = requestRun;
        const inactivityMilliseconds = context.timeouts.timeout(key, stage.costMilliseconds);
        let longestGap = 0;
        let isDenied = false;
        const attempt: Attempt | undefined = target.startAttempt(
            { ...requestRun.stageMessage(stage, this.payload), resumeAfter: tokens.receivedCount },
            {
                deadline: requestRun.deadline,
                signal: requestRun.signal,
                inactivityMilliseconds,
                mayLeave: answersOthers => {
                    this.recordSilent(target, inactivityMilliseconds);
                    if (!this.mayRetrySilent(target, answersOthers)) return false;
                    if (context.retries.take(requestRun.account.name, stage.service)) return true;
                    if (!isDenied) context.metrics.increment("retry.denied", 1, { service: stage.service });
                    isDenied = true;
                    return false;
                },
                onAnswer: gap => {
                    longestGap = Math.max(longestGap, gap);
                },
                onTokens: (firstIndex, received) => {
                    if (tokens.receive(firstIndex, received)) return;
                    attempt?.giveUp(failedStage("truncatedAnswer", `tokens before ${firstIndex} are missing`));
                },
            },
        );
        void attempt?.outcome.then(outcome => {
            if (outcome.kind === "completed") context.timeouts.recordGap(key, longestGap);
            if (outcome.kind === "silent") context.timeouts.recordTimeout(key, stage.costMilliseconds);
        });
        return attempt;
    }

    /** Treats a completed attempt as failed when its output is not JSON or some of its tokens are missing. */
    private checkAnswer(outcome: AttemptOutcome): AttemptOutcome {
        if (outcome.kind !== "completed") return outcome;
        this.recordCost(outcome.costMilliseconds);
        if (parseOutput(outcome.output) === undefined) return failedStage("malformedAnswer", "output is not JSON");
        const missing = this.stage.streaming && outcome.tokens > this.tokens.receivedCount;
        return missing ? failedStage("truncatedAnswer", this.describeMissing(outcome)) : outcome;
    }

    private describeMissing(outcome: Completed): string {
        return `${this.tokens.receivedCount} of ${outcome.tokens} tokens arrived`;
    }

    private recordCost(milliseconds: number): void {
        this.requestRun.costMilliseconds += milliseconds;
        this.requestRun.record("cost", milliseconds, this.stage.name);
    }

    private handleIncomplete(target: TargetLink, outcome: Exclude<AttemptOutcome, Completed>): StageEnd | undefined {
        const { context } = this.requestRun;
        if (outcome.kind === "refused") {
            context.health.recordInconclusive(target.name);
            this.lastRefusal = outcome;
            return undefined;
        }
        this.requestRun.mayHaveRun = true;
        switch (outcome.kind) {
            case "failed":
                this.recordCost(outcome.costMilliseconds);
                return this.handleFailure(target, outcome);
            case "lost":
                return this.retry(target, outcome.message);
            case "silent":
                // The silence was recorded, and the retry taken, when the attempt was left.
                context.health.recordInconclusive(target.name);
                return this.countFailure(outcome.message);
            case "abandoned":
                context.health.recordInconclusive(target.name);
                return failedStage(outcome.cause, `given up in stage ${this.stage.name}`);
            case "unknown":
                return this.retry(target, outcome.message);
        }
    }

    private handleFailure(
        target: TargetLink,
        outcome: Extract<StageOutcome, { kind: "failed" }>,
    ): StageEnd | undefined {
        const { context, fingerprint } = this.requestRun;
        switch (outcome.reason) {
            case "rejectedByService":
            case "deadline":
            case "quarantined":
                context.health.recordInconclusive(target.name);
                return outcome;
            case "cancelled":
                // The agent cancels excess work of a target that turned cold; the work is not at fault.
                context.health.recordInconclusive(target.name);
                return this.countFailure(outcome.message);
            case "targetLost":
                context.quarantine.recordLoss(fingerprint, target.name, this.stage.name);
                return this.retry(target, outcome.message, outcome.reason);
            default:
                return this.retry(target, outcome.message, outcome.reason);
        }
    }

    /** Returns undefined if the retry budget allows an attempt at another target, otherwise the end of the stage. */
    private retry(target: TargetLink, message: string, reason: FailureReason = "linkLost"): StageEnd | undefined {
        const { requestRun, stage } = this;
        const { context } = requestRun;
        context.health.recordFailure(target.name, this.usableNames());
        if (context.quarantine.contains(requestRun.fingerprint)) return this.endQuarantined();
        if (this.failedAttempts + 1 < MAXIMUM_FAILED_ATTEMPTS && !requestRun.deadline.passed()) {
            if (context.retries.take(requestRun.account.name, stage.service)) return this.countFailure(message);
            context.metrics.increment("retry.denied", 1, { service: stage.service });
        }
        return failedStage("retriesExhausted", `${reason}: ${message}`);
    }

    /**
     * Whether a retry of a silent attempt may be made elsewhere, or again at a target that answers other attempts.
     * Otherwise nothing is better than to wait: the target may go on and complete the attempt.
     */
    private mayRetrySilent(target: TargetLink, answersOthers: boolean): boolean {
        if (this.failedAttempts + 1 >= MAXIMUM_FAILED_ATTEMPTS) return false;
        // Targets that refused before the silence may have room now.
        this.tried.clear();
        this.tried.add(target.name);
        return answersOthers || this.chooseTarget() !== undefined;
    }

    /** Records that an attempt has received nothing for its inactivity timeout, whether or not it is then left. */
    private recordSilent(target: TargetLink, milliseconds: number): void {
        const isFailure = target.recordSilent(milliseconds)?.isFailure === true;
        if (isFailure) this.requestRun.context.health.recordFailure(target.name, this.usableNames());
    }

    /** Whether an attempt could be left for one at another target. */
    private canMove(): boolean {
        const { context, account } = this.requestRun;
        const isAttemptLeft = this.failedAttempts + 1 < MAXIMUM_FAILED_ATTEMPTS;
        return isAttemptLeft && context.retries.available(account.name, this.stage.service);
    }

    private countFailure(message: string): StageEnd | undefined {
        this.failedAttempts += 1;
        if (this.failedAttempts < MAXIMUM_FAILED_ATTEMPTS) return undefined;
        return failedStage("retriesExhausted", message);
    }

    private recordSuccess(target: TargetLink, duration: number | undefined): void {
        const { context, fingerprint } = this.requestRun;
        this.requestRun.mayHaveRun = true;
        context.quarantine.recordCompletion(fingerprint, this.stage.name);
        if (duration === undefined || target.cold) {
            context.health.recordInconclusive(target.name);
            return;
        }
        const slowness = duration / Math.max(1, this.stage.costMilliseconds);
        context.health.recordSuccess(target.name, slowness, this.usableNames());
    }

    private usableNames(): readonly string[] {
        const { context } = this.requestRun;
        return context.targets.usable(this.stage.service, context.holder).map(target => target.name);
    }
}

/** How an attempt counts for its version in a trial; undefined when it does not count. */
function classifyForTrial(outcome: AttemptOutcome): "answered" | "failed" | undefined {
    switch (outcome.kind) {
        case "completed":
            return "answered";
        case "refused":
            return undefined;
        case "abandoned":
            // The deadline passed before the version answered, which counts as a failure.
            return outcome.cause === "deadline" ? "failed" : undefined;
        case "failed":
            return ["rejectedByService", "cancelled", "quarantined"].includes(outcome.reason) ? undefined : "failed";
        case "lost":
        case "silent":
        case "unknown":
            return "failed";
    }
}
