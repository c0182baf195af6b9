/**
 * An idempotent stage: attempts at one target after another until one completes.
 *
 * A refused attempt was not run and costs nothing, so the next target is tried at once. An attempt that failed, was
 * lost or stayed silent is repeated elsewhere within the retry budget and the deadline.
 */
import { failedStage, refusedStage, type FailureReason, type Stage, type StageOutcome } from "../model/index.js";
import { pause } from "../model/pause.js";
import type { Attempt, AttemptOutcome } from "./attempt.js";
import { parseOutput, type RequestRun, type StageEnd } from "./run.js";
import type { TargetLink } from "./targetlink.js";
import { TokenStream } from "./tokenstream.js";

/** Attempts at one stage that may fail; bounds what one request can do to a service whose budget is full. */
const MAXIMUM_FAILED_ATTEMPTS = 4;

/** Part of the deadline that a request of which nothing was run waits for a target before it is refused. */
const PATIENCE = 0.25;

/** Waits for a target grow from the first to the longest. */
const FIRST_WAIT_MS = 5;
const LONGEST_WAIT_MS = 80;

type Completed = Extract<StageOutcome, { kind: "completed" }>;

/** Runs an idempotent stage to its end. `visible` passes its tokens to the caller. */
export function runIdempotentStage(
    run: RequestRun,
    stage: Stage,
    payload: string,
    visible: boolean,
): Promise<StageEnd> {
    return new IdempotentStage(run, stage, payload, TokenStream.create(run, visible)).run();
}

class IdempotentStage {
    /** Targets that refused or failed since the last wait. */
    private readonly tried = new Set<string>();
    private lastRefusal: Extract<StageOutcome, { kind: "refused" }> | undefined;
    private failedAttempts = 0;
    private nextWait = FIRST_WAIT_MS;
    private readonly startedAt = performance.now();

    constructor(
        private readonly request: RequestRun,
        private readonly stage: Stage,
        private readonly payload: string,
        private readonly tokens: TokenStream,
    ) {}

    async run(): Promise<StageEnd> {
        this.request.parts.retries.deposit(this.request.account.name, this.stage.service);
        for (;;) {
            const stop = this.reasonToStop();
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

    private reasonToStop(): StageEnd | undefined {
        const { request } = this;
        if (request.signal.aborted) return failedStage("cancelled", "the caller has gone");
        if (request.parts.quarantine.contains(request.fingerprint)) return this.quarantined();
        if (!request.ran && this.outOfPatience()) {
            return this.lastRefusal ?? refusedStage("noTarget", `no target of ${this.stage.service}`, LONGEST_WAIT_MS);
        }
        if (request.deadline.passed()) return failedStage("deadline", `deadline passed in stage ${this.stage.name}`);
        return undefined;
    }

    private outOfPatience(): boolean {
        const patience = PATIENCE * this.request.request.deadlineMilliseconds;
        return this.request.deadline.passed() || performance.now() - this.startedAt >= patience;
    }

    private quarantined(): StageEnd {
        const message = "this content was in flight on targets that were lost";
        return this.request.ran ? failedStage("quarantined", message) : refusedStage("quarantined", message);
    }

    private chooseTarget(): TargetLink | undefined {
        const { parts, prefixHash } = this.request;
        const usable = parts.targets.usable(this.stage.service, parts.holder);
        const fresh = this.apartFromSuspects(
            parts.health.withoutEjected(usable).filter(each => !this.tried.has(each.name)),
        );
        const context = { zone: parts.zone, prefixHash, random: Math.random };
        const split = parts.holder.current.find("traffic", this.stage.service);
        const versions = parts.versions.allowedVersions(this.stage.service, split);
        if (versions === undefined) return parts.chooseTarget(fresh, context);
        for (const version of versions) {
            const ofVersion = fresh.filter(target => target.version === version);
            const target = parts.chooseTarget(ofVersion, context);
            if (target !== undefined) return target;
        }
        return undefined;
    }

    /**
     * Content that was in flight on a lost target goes, if possible, where no other such content is in flight.
     * Otherwise content that only shared a target with the cause of a crash could share the next one with it too.
     */
    private apartFromSuspects(targets: readonly TargetLink[]): readonly TargetLink[] {
        const { parts, fingerprint } = this.request;
        if (!parts.quarantine.isSuspected(fingerprint)) return targets;
        const apart = targets.filter(target => !target.hasContent(other => parts.quarantine.isSuspected(other)));
        return apart.length > 0 ? apart : targets;
    }

    private async waitForTarget(): Promise<void> {
        await pause(Math.min(this.nextWait, Math.max(1, this.request.deadline.remainingMs())));
        this.nextWait = Math.min(LONGEST_WAIT_MS, this.nextWait * 2);
        this.tried.clear();
    }

    /** Makes one attempt. Returns the end of the stage, or undefined when another target is to be tried. */
    private async tryTarget(target: TargetLink): Promise<StageEnd | undefined> {
        const { parts } = this.request;
        const startedAt = performance.now();
        const resumed = this.tokens.received > 0;
        const attempt = this.send(target);
        this.tried.add(target.name);
        if (attempt === undefined) return undefined;
        const split = parts.holder.current.find("traffic", this.stage.service);
        parts.versions.recordSent(this.stage.service, split, target.version);
        parts.health.recordSent(target.name);
        const version = target.version;
        const outcome = this.check(await attempt.outcome);
        const reason = "reason" in outcome ? outcome.reason : "";
        this.request.countAttempt(this.stage, version, outcome.kind, reason);
        // A resumed attempt does part of the work, and a cold target's time is not its version's.
        const comparable = !resumed && !target.cold;
        this.recordForTrial(version, outcome, comparable ? performance.now() - startedAt : undefined);
        if (outcome.kind === "completed") {
            this.countSuccess(target, resumed ? undefined : performance.now() - startedAt);
            return { kind: "completed", output: parseOutput(outcome.output)?.value };
        }
        return this.judge(target, outcome);
    }

    private recordForTrial(version: string, outcome: AttemptOutcome, milliseconds: number | undefined): void {
        const { request, stage } = this;
        const verdict = judgeForTrial(outcome);
        if (verdict === undefined) return;
        const { service, name } = stage;
        const answer = { service, version, route: request.pipeline.name, stage: name, account: request.account.name };
        const timed = verdict === "answered" && milliseconds !== undefined ? { milliseconds } : {};
        request.parts.trials.record({ ...answer, failed: verdict === "failed", ...timed });
    }

    private send(target: TargetLink): Attempt | undefined {
        const { request, stage, tokens } = this;
        const key = `${stage.service}/${stage.operation}`;
        let longestGap = 0;
        const attempt: Attempt | undefined = target.run(
            { ...request.message(stage, this.payload), resumeAfter: tokens.received },
            {
                deadline: request.deadline,
                signal: request.signal,
                silenceMilliseconds: request.parts.silence.limit(key, stage.costMilliseconds),
                onAnswer: gap => {
                    longestGap = Math.max(longestGap, gap);
                },
                onTokens: (firstIndex, received) => {
                    if (tokens.take(firstIndex, received)) return;
                    attempt?.giveUp(failedStage("truncatedAnswer", `tokens before ${firstIndex} are missing`));
                },
            },
        );
        void attempt?.outcome.then(outcome => {
            if (outcome.kind === "completed") request.parts.silence.answered(key, longestGap);
            if (outcome.kind === "silent") request.parts.silence.silent(key, stage.costMilliseconds);
        });
        return attempt;
    }

    /** Turns a completed attempt whose answer cannot be used into a failed one. */
    private check(outcome: AttemptOutcome): AttemptOutcome {
        if (outcome.kind !== "completed") return outcome;
        this.recordCost(outcome.costMilliseconds);
        if (parseOutput(outcome.output) === undefined) return failedStage("malformedAnswer", "output is not JSON");
        const missing = this.stage.streaming && outcome.tokens > this.tokens.received;
        return missing ? failedStage("truncatedAnswer", this.describeMissing(outcome)) : outcome;
    }

    private describeMissing(outcome: Completed): string {
        return `${this.tokens.received} of ${outcome.tokens} tokens arrived`;
    }

    private recordCost(milliseconds: number): void {
        this.request.costMilliseconds += milliseconds;
        this.request.record("cost", milliseconds, this.stage.name);
    }

    private judge(target: TargetLink, outcome: Exclude<AttemptOutcome, Completed>): StageEnd | undefined {
        const { parts } = this.request;
        if (outcome.kind === "refused") {
            parts.health.recordInconclusive(target.name);
            this.lastRefusal = outcome;
            return undefined;
        }
        this.request.ran = true;
        switch (outcome.kind) {
            case "failed":
                this.recordCost(outcome.costMilliseconds);
                return this.judgeFailure(target, outcome);
            case "lost":
                return this.retry(target, outcome.message);
            case "silent":
                return this.retry(target, outcome.message);
            case "abandoned":
                parts.health.recordInconclusive(target.name);
                return failedStage(outcome.cause, `given up in stage ${this.stage.name}`);
            case "unknown":
                return this.retry(target, outcome.message);
        }
    }

    private judgeFailure(target: TargetLink, outcome: Extract<StageOutcome, { kind: "failed" }>): StageEnd | undefined {
        const { parts, fingerprint } = this.request;
        switch (outcome.reason) {
            case "rejectedByService":
            case "deadline":
            case "quarantined":
                parts.health.recordInconclusive(target.name);
                return outcome;
            case "cancelled":
                // The agent cancels excess work of a target that turned cold; that is no fault of the work.
                parts.health.recordInconclusive(target.name);
                return this.countFailure(outcome.message);
            case "targetLost":
                parts.quarantine.recordLoss(fingerprint, target.name, this.stage.name);
                return this.retry(target, outcome.message, outcome.reason);
            default:
                return this.retry(target, outcome.message, outcome.reason);
        }
    }

    /** Lets the stage go on at another target if the retry budget allows it. */
    private retry(target: TargetLink, message: string, reason: FailureReason = "linkLost"): StageEnd | undefined {
        const { request, stage } = this;
        const { parts } = request;
        parts.health.recordFailure(target.name, this.usableNames());
        if (parts.quarantine.contains(request.fingerprint)) return this.quarantined();
        if (this.failedAttempts + 1 < MAXIMUM_FAILED_ATTEMPTS && !request.deadline.passed()) {
            if (parts.retries.take(request.account.name, stage.service)) return this.countFailure(message);
            parts.metrics.increment("retry.denied", 1, { service: stage.service });
        }
        return failedStage("retriesExhausted", `${reason}: ${message}`);
    }

    private countFailure(message: string): StageEnd | undefined {
        this.failedAttempts += 1;
        if (this.failedAttempts < MAXIMUM_FAILED_ATTEMPTS) return undefined;
        return failedStage("retriesExhausted", message);
    }

    private countSuccess(target: TargetLink, duration: number | undefined): void {
        const { parts, fingerprint } = this.request;
        this.request.ran = true;
        parts.quarantine.recordCompletion(fingerprint, this.stage.name);
        if (duration === undefined || target.cold) {
            parts.health.recordInconclusive(target.name);
            return;
        }
        const slowness = duration / Math.max(1, this.stage.costMilliseconds);
        parts.health.recordSuccess(target.name, slowness, this.usableNames());
    }

    private usableNames(): readonly string[] {
        const { parts } = this.request;
        return parts.targets.usable(this.stage.service, parts.holder).map(target => target.name);
    }
}

/** What an attempt says about its version; undefined when it says nothing. */
function judgeForTrial(outcome: AttemptOutcome): "answered" | "failed" | undefined {
    switch (outcome.kind) {
        case "completed":
            return "answered";
        case "refused":
            return undefined;
        case "abandoned":
            // The caller's deadline passed while the version worked: as good as no answer.
            return outcome.cause === "deadline" ? "failed" : undefined;
        case "failed":
            return ["rejectedByService", "cancelled", "quarantined"].includes(outcome.reason) ? undefined : "failed";
        case "lost":
        case "silent":
        case "unknown":
            return "failed";
    }
}
