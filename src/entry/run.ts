/** A caller's request in progress at an entry, and the context that all requests of the entry share. */
import type { Admission, Quarantine } from "../admission/index.js";
import type { SlotDirectory } from "../claims/index.js";
import type { ConfigurationHolder } from "../configuration/index.js";
import {
    type ClientAccount,
    createRequestId,
    Deadline,
    hashText,
    type Pipeline,
    type Plan,
    type Stage,
    type StageOutcome,
} from "../model/index.js";
import type { DurationRecorder, Metrics } from "../observability/index.js";
import type { ChooseTarget, Health, RetryBudgets, VersionChooser } from "../routing/index.js";
import type { InactivityTimeouts } from "./inactivity.js";
import type { TargetLinks } from "./targets.js";
import type { VersionTrials } from "./trials.js";

/** A caller's request. */
export interface CallerRequest {
    /** Name of the account. */
    readonly account: string;
    readonly pipeline: string;
    /** Kind of request as named by the caller, for histograms and weights. */
    readonly kind: string;
    /** Needed when the pipeline has a non-idempotent stage. */
    readonly idempotencyKey?: string | undefined;
    readonly deadlineMilliseconds: number;
    /** Requests with a higher priority run first. */
    readonly priority: number;
    /** JSON value. */
    readonly input: unknown;
}

/** Receives each token once, in order. */
export type TokenListener = (index: number, token: string) => void;

/** Dependencies that all requests of one entry share. */
export interface ExecutionContext {
    /** The entry's zone. */
    readonly zone: string;
    readonly holder: ConfigurationHolder;
    readonly targets: TargetLinks;
    readonly slots: SlotDirectory;
    readonly admission: Admission;
    readonly quarantine: Quarantine;
    readonly health: Health;
    readonly retries: RetryBudgets;
    readonly versions: VersionChooser;
    readonly trials: VersionTrials;
    readonly timeouts: InactivityTimeouts;
    readonly chooseTarget: ChooseTarget;
    readonly metrics: Metrics;
    readonly recorder: DurationRecorder;
}

/** How a stage ended, after all of its attempts. */
export type StageEnd = Exclude<StageOutcome, { kind: "completed" }> | { readonly kind: "completed"; output: unknown };

/**
 * Fraction of the deadline of a request with a non-idempotent stage that is reserved for withdrawing its key, and the
 * maximum of that time. Without the reserve, the caller was answered up to 120 ms after the deadline.
 */
const WITHDRAWAL_FRACTION = 0.1;
const MAXIMUM_RESERVED_MS = 100;

/** Characters of a prompt that are used as its prefix when the caller gives none. */
const PREFIX_CHARACTERS = 256;

/** A request in progress. */
export class RequestRun {
    readonly id = createRequestId();
    readonly startedAt = performance.now();
    /** Deadline of the stages. */
    readonly deadline: Deadline;
    /** Deadline of the answer to the caller. */
    readonly answerDeadline: Deadline;
    /** JSON text of the input. */
    readonly inputText: string;
    /** Hash of the pipeline and the input, the same for every account. */
    readonly fingerprint: string;
    /** Hash of the prompt's prefix; empty when the input has no prompt. */
    readonly prefixHash: string;
    /** Whether an attempt of this submission was run or may have been run. */
    mayHaveRun = false;
    /** Names of non-idempotent stages that completed in this submission. */
    readonly appliedStages = new Set<string>();
    /** Names of non-idempotent stages that their slot owner reported as failed without effect. */
    readonly stagesWithoutEffect = new Set<string>();
    /** Parsed output of each completed stage. */
    readonly outputs: Record<string, unknown> = {};
    /** Time that targets reported for this request, in milliseconds. */
    costMilliseconds = 0;

    private constructor(
        readonly context: ExecutionContext,
        readonly request: CallerRequest,
        readonly account: ClientAccount,
        readonly plan: Plan,
        readonly pipeline: Pipeline,
        readonly signal: AbortSignal,
        readonly onToken: TokenListener | undefined,
    ) {
        const time = request.deadlineMilliseconds;
        const needsWithdrawal = pipeline.stages.some(stage => !stage.idempotent);
        const reserved = needsWithdrawal ? Math.min(MAXIMUM_RESERVED_MS, time * WITHDRAWAL_FRACTION) : 0;
        this.answerDeadline = Deadline.after(time);
        this.deadline = Deadline.after(time - reserved);
        this.inputText = JSON.stringify(request.input ?? null);
        this.fingerprint = hashText(`${pipeline.name}\n${this.inputText}`);
        this.prefixHash = hashPrefix(request.input);
    }

    /** Starts a request; its deadline is counted from now. */
    static start(
        context: ExecutionContext,
        request: CallerRequest,
        access: { readonly account: ClientAccount; readonly plan: Plan; readonly pipeline: Pipeline },
        signal: AbortSignal,
        onToken?: TokenListener,
    ): RequestRun {
        return new RequestRun(context, request, access.account, access.plan, access.pipeline, signal, onToken);
    }

    /** The fields of a RunStage message that are common to all attempts at a stage. */
    stageMessage(stage: Stage, payload: string) {
        return {
            requestId: this.id,
            account: this.account.name,
            kind: this.request.kind,
            pipeline: this.pipeline.name,
            stage: stage.name,
            service: stage.service,
            operation: stage.operation,
            remainingMilliseconds: Math.floor(this.deadline.remainingMs()),
            priority: this.request.priority,
            payload,
            maximumTokens: stage.maximumTokens,
            prefixHash: this.prefixHash,
            streaming: stage.streaming,
            idempotent: stage.idempotent,
            fingerprint: this.fingerprint,
            configurationVersion: this.context.holder.current.version,
        };
    }

    /** Records a duration of this request. */
    record(measure: string, milliseconds: number, stage?: string): void {
        const { account, plan, pipeline, request } = this;
        const labels = {
            account: account.name,
            plan: plan.name,
            kind: request.kind,
            pipeline: pipeline.name,
            measure,
            ...(stage === undefined ? {} : { stage }),
        };
        this.context.recorder.record(labels, milliseconds);
    }

    /** Counts the outcome of one attempt at a version of a service. */
    countAttempt(stage: Stage, version: string, outcome: string, reason: string): void {
        this.context.metrics.increment("attempt.outcomes", 1, { service: stage.service, version, outcome, reason });
    }
}

/** Payload of a stage as JSON text. */
export function stagePayload(inputText: string, previousText: string): string {
    return `{"input":${inputText},"previous":${previousText}}`;
}

/** The value of a JSON text; undefined when it is not JSON. */
export function parseOutput(text: string): { readonly value: unknown } | undefined {
    try {
        return { value: JSON.parse(text) as unknown };
    } catch {
        return undefined;
    }
}

function hashPrefix(input: unknown): string {
    if (typeof input !== "object" || input === null) return "";
    const { prefix, prompt } = input as { readonly prefix?: unknown; readonly prompt?: unknown };
    if (typeof prefix === "string") return hashText(prefix).slice(0, 16);
    return typeof prompt === "string" ? hashText(prompt.slice(0, PREFIX_CHARACTERS)).slice(0, 16) : "";
}
