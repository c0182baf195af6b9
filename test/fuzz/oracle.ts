/**
 * Checks the guarantees to callers, independently of the mechanisms behind them: the oracle sees only what callers send
 * and read, what targets start, and which configuration versions processes apply.
 */
import type { RequestOutcome } from "../../src/model/index.js";

/** An operation that a target started. */
export interface ObservedStart {
    readonly at: number;
    readonly target: string;
    readonly zone: string;
    readonly operation: string;
    /** Unique text of the submission or of the key that the operation belongs to. */
    readonly marker: string;
    readonly idempotencyKey: string;
    /** Operations running at the target, this one included. */
    readonly running: number;
    /** How long the target has been cold, or undefined when it is warm. */
    readonly coldFor: number | undefined;
    readonly coldConcurrency: number;
    /** How long the agent has known that its zone is out, or undefined when it does not. */
    readonly zoneOutKnownFor: number | undefined;
}

/** One request as its caller sees it. */
export interface Submission {
    readonly number: number;
    readonly entry: string;
    readonly pipeline: string;
    readonly account: string;
    /** As targets see it: `account/key/stage`. */
    readonly key: string;
    readonly marker: string;
    readonly sentAt: number;
    readonly deadline: number;
    readonly nonIdempotent: boolean;
    readonly expected: unknown;
}

/** Time by which an agent has to notice that its target turned cold: it polls each second. */
const COLD_NOTICE_MS = 1_500;

/** Time after which a zone that was taken out gets no new work. */
const ZONE_OUT_MS = 3_000;

/** Tolerance for an answer after its deadline: one hop each way and one timer turn. */
const ANSWER_SLACK_MS = 100;

/** A plan's entitlement over all entries, in milliseconds of target time a second, with the burst of one second. */
export interface Entitlement {
    readonly account: string;
    readonly ratePerSecond: number;
    readonly costOfRequest: number;
}

/** Collects observations and the violations found in them. */
export class Oracle {
    readonly violations: string[] = [];
    private readonly starts: ObservedStart[] = [];
    private readonly submissions: Submission[] = [];
    private readonly zoneOutSince = new Map<string, number>();
    private readonly versions = new Map<string, number>();
    private readonly refusedKeys = new Map<string, number>();

    /** Records a request when it is sent. Sending a refused key again allows it to run. */
    recordSubmission(submission: Submission): void {
        this.submissions.push(submission);
        this.refusedKeys.delete(submission.key);
    }

    /** Checks the answer that a caller read. */
    checkAnswer(submission: Submission, outcome: RequestOutcome, at: number): void {
        const late = at - submission.sentAt - submission.deadline;
        if (late > ANSWER_SLACK_MS) this.report(submission, `was answered ${Math.round(late)} ms after its deadline`);
        if (outcome.kind === "done") this.checkDone(submission, outcome.output);
        if (outcome.kind === "refused") this.checkRefused(submission);
        if (outcome.kind === "failed" && submission.nonIdempotent) this.checkFailed(submission, outcome.effects);
    }

    /** Records and checks an operation that a target started. */
    recordStart(start: ObservedStart): void {
        this.starts.push(start);
        if (start.idempotencyKey !== "") this.checkAtMostOnce(start);
        this.checkCold(start);
        if (start.zoneOutKnownFor !== undefined && start.zoneOutKnownFor > ZONE_OUT_MS) {
            this.violations.push(`zone: ${start.target} took new work although its agent knew that its zone is out`);
        }
        const out = this.zoneOutSince.get(start.zone);
        if (out !== undefined && start.at - out > ZONE_OUT_MS) {
            this.violations.push(`zone: ${start.target} got new work ${Math.round(start.at - out)} ms after out`);
        }
    }

    /** Records an accepted change of a zone's state. */
    recordZoneState(name: string, state: "in" | "out", at: number): void {
        if (state === "in") this.zoneOutSince.delete(name);
        else if (!this.zoneOutSince.has(name)) this.zoneOutSince.set(name, at);
    }

    /** Restarts the time limit of zones that are out, as it holds only while processes can be reached. */
    restartZoneClocks(at: number): void {
        for (const [name, since] of this.zoneOutSince) this.zoneOutSince.set(name, Math.max(since, at));
    }

    /** Checks that a process's version did not go back; `serving` is whether it takes work. */
    checkVersion(process: string, version: number, serving: boolean): void {
        if (!serving) return;
        const before = this.versions.get(process) ?? 0;
        if (version < before) this.violations.push(`configuration: ${process} went back from ${before} to ${version}`);
        this.versions.set(process, Math.max(before, version));
    }

    /** Checks that in no window the requests of an account that ran cost more than its entitlement. */
    checkShares(entitlements: readonly Entitlement[]): void {
        const markers = new Set(this.starts.map(start => start.marker));
        for (const { account, ratePerSecond, costOfRequest } of entitlements) {
            const times = this.submissions
                .filter(submission => submission.account === account && markers.has(submission.marker))
                .map(submission => submission.sentAt);
            times.forEach((first, index) => {
                times.slice(index).forEach((last, count) => {
                    const allowed = ratePerSecond * ((last - first) / 1_000 + 1);
                    const used = (count + 1) * costOfRequest;
                    if (used > allowed + 1e-6) {
                        this.violations.push(`share: ${account} used ${used} of ${Math.round(allowed)} ms`);
                    }
                });
            });
        }
    }

    /** Reports a request that was never answered. */
    reportUnanswered(submission: Submission): void {
        this.report(submission, "was never answered");
    }

    /** Number of operations that were started for a marker. */
    startsOf(marker: string): number {
        return this.starts.filter(start => start.marker === marker).length;
    }

    private checkDone(submission: Submission, output: unknown): void {
        if (!this.isOwnAnswer(submission, output)) {
            this.report(submission, `read another answer than its own: ${JSON.stringify(output)}`);
        }
        if (submission.nonIdempotent && this.runsOf(submission.key) !== 1) {
            this.report(submission, `read done, but its key ran ${this.runsOf(submission.key)} times`);
        }
    }

    /** A duplicate of a non-idempotent request reads the result of the copy that ran. */
    private isOwnAnswer(submission: Submission, output: unknown): boolean {
        const copies = submission.nonIdempotent
            ? this.submissions.filter(other => other.key === submission.key && other.pipeline === submission.pipeline)
            : [submission];
        return copies.some(copy => JSON.stringify(copy.expected) === JSON.stringify(output));
    }

    private checkRefused(submission: Submission): void {
        const starts = this.startsOf(submission.marker);
        if (starts > 0) this.report(submission, `read not run, but ${starts} operations were started for it`);
        if (!submission.nonIdempotent) return;
        if (this.runsOf(submission.key) > 0) this.report(submission, "read not run, but its key had run");
        this.refusedKeys.set(submission.key, submission.number);
    }

    private checkFailed(submission: Submission, effects: "none" | "applied"): void {
        const ran = this.runsOf(submission.key) > 0;
        if (effects === "none" && ran) this.report(submission, "read failed without effects, but its key had run");
        if (effects === "applied" && !ran) this.report(submission, "read failed with effects, but its key had not run");
    }

    private checkAtMostOnce(start: ObservedStart): void {
        const runs = this.runsOf(start.idempotencyKey);
        if (runs > 1) this.violations.push(`at most once: key ${start.idempotencyKey} ran ${runs} times`);
        const refusal = this.refusedKeys.get(start.idempotencyKey);
        if (refusal !== undefined) {
            this.violations.push(`not run: key ${start.idempotencyKey} ran after request ${refusal} read not run`);
        }
    }

    private checkCold(start: ObservedStart): void {
        if (start.coldFor === undefined || start.coldFor < COLD_NOTICE_MS) return;
        if (start.running > start.coldConcurrency) {
            this.violations.push(`cold: ${start.target} runs ${start.running} while it bears ${start.coldConcurrency}`);
        }
    }

    private runsOf(key: string): number {
        return this.starts.filter(start => start.idempotencyKey === key).length;
    }

    private report(submission: Submission, what: string): void {
        this.violations.push(`request ${submission.number} (${submission.pipeline}, key ${submission.key}): ${what}`);
    }
}
