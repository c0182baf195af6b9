/**
 * Runs the stages of one request; each starts when the results that it needs are ready.
 *
 * Results are released as soon as nothing needs them, since they occupy memory at the targets that made them.
 */
import type { RouteStage } from "../gateway/configuration.js";
import { type OnTaskFailure, runInBackground } from "../model/background.js";
import type { Deadline } from "../model/index.js";
import { withTimeout } from "../model/pause.js";
import type { MakePieces, PieceJob, PieceLossReason, PieceResult } from "./piece.js";

/** The stages of a request and what they are run with. */
export interface RunStagesOptions {
    readonly requestId: string;
    readonly stages: readonly RouteStage[];
    /** Number of pieces by stage. */
    readonly pieces: readonly number[];
    readonly key: string;
    readonly priority: number;
    readonly deadline: Deadline;
    /** Time by which a stage must be ready for the request to be on time. */
    readonly targetTimeOf: (stage: number) => Deadline;
    /** Expected duration of a stage in milliseconds. */
    readonly expectedMs: (stage: number) => number;
    /** Zone in which the results are expected to be needed. */
    readonly zone: string;
    readonly make: MakePieces;
    readonly release: (service: string, handles: readonly string[]) => void;
    /** Called with an exception that comes when the request no longer waits for its pieces. */
    readonly onTaskFailure: OnTaskFailure;
    readonly signal: AbortSignal;
}

/** A result that the request's engine needs. */
export interface StageResult {
    readonly handle: string;
    readonly bytes: number;
}

/** Outcome of running the stages. */
export type StagesOutcome =
    | { readonly kind: "ready"; readonly inputs: readonly StageResult[]; readonly release: () => void }
    | {
          readonly kind: "lost";
          readonly reason: PieceLossReason;
          readonly stage: number;
          readonly retryAfterMs: number;
          /** Whether any piece of the request was made. */
          readonly started: boolean;
      };

type StageOutcome = { readonly handles: readonly string[] } | { readonly lost: PieceLossReason; retryAfterMs: number };

/** Runs all stages of a request. */
export async function runStages(options: RunStagesOptions): Promise<StagesOutcome> {
    const runs: Promise<StageOutcome>[] = [];
    const made = options.stages.map((): readonly string[] => []);
    const consumers = options.stages.map(
        (_, index) => options.stages.filter(stage => stage.after.includes(index)).length,
    );
    const unfinishedConsumers = [...consumers];
    const releaseStage = (index: number): void => {
        const service = options.stages[index]?.service;
        const handles = made[index] ?? [];
        made[index] = [];
        if (service !== undefined && handles.length > 0) options.release(service, handles);
    };
    options.stages.forEach((stage, index) => {
        runs.push(
            (async (): Promise<StageOutcome> => {
                const awaited = await Promise.all(stagesToAwait(options, index).flatMap(other => runs[other] ?? []));
                const lostAwaited = awaited.find(outcome => "lost" in outcome);
                if (lostAwaited !== undefined) return lostAwaited;
                const inputOutcomes = await Promise.all(stage.after.flatMap(other => runs[other] ?? []));
                const lostInput = inputOutcomes.find(outcome => "lost" in outcome);
                if (lostInput !== undefined) return lostInput;
                const begun = made.some(handles => handles.length > 0);
                const outcome = await makeStage(options, stage, index, inputOutcomes, begun);
                if ("handles" in outcome) made[index] = outcome.handles;
                for (const other of stage.after) {
                    unfinishedConsumers[other] = (unfinishedConsumers[other] ?? 1) - 1;
                    if (unfinishedConsumers[other] === 0) releaseStage(other);
                }
                return outcome;
            })(),
        );
    });
    const outcomes = await Promise.all(runs);
    const releaseAll = (): void => options.stages.forEach((_, index) => releaseStage(index));
    const lostIndex = outcomes.findIndex(outcome => "lost" in outcome);
    const lost = outcomes[lostIndex];
    if (lost !== undefined && "lost" in lost) {
        const started = made.some(handles => handles.length > 0) || outcomes.some(outcome => "handles" in outcome);
        releaseAll();
        return { kind: "lost", reason: lost.lost, stage: lostIndex, retryAfterMs: lost.retryAfterMs, started };
    }
    const inputs = options.stages.flatMap((stage, index) =>
        consumers[index] === 0 ? (made[index] ?? []).map(handle => ({ handle, bytes: stage.resultBytes })) : [],
    );
    return { kind: "ready", inputs, release: releaseAll };
}

/** A chain counts as longer than another one if it takes this many times as long. */
const LONGER_RATIO = 1.25;

/**
 * Returns the stages that must finish before a stage without inputs starts. If another chain takes much longer, the
 * stage waits until about as much of that chain remains. Otherwise its results would occupy memory at their holders
 * while the request waits for the chain, and that memory limits how many requests can be in progress.
 */
function stagesToAwait(options: RunStagesOptions, index: number): readonly number[] {
    const { stages, expectedMs, pieces } = options;
    if ((stages[index]?.after.length ?? 0) > 0 || (pieces[index] ?? 0) === 0) return [];
    const ownMs = chainMs(options, index);
    let stagesBeforeLongest: readonly number[] = [];
    let longestMs = -1;
    stages.forEach((stage, other) => {
        if (stage.after.length === 0 || other === index || (pieces[other] ?? 0) === 0) return;
        if (dependsOn(stages, other, index)) return;
        const otherMs = chainMs(options, other);
        const withInputsMs = Math.max(...stage.after.map(earlier => otherMs + expectedMs(earlier)));
        if (otherMs > ownMs * LONGER_RATIO || withInputsMs <= ownMs * LONGER_RATIO || otherMs <= longestMs) return;
        [stagesBeforeLongest, longestMs] = [stage.after, otherMs];
    });
    return stagesBeforeLongest;
}

/** Expected time in milliseconds from the start of a stage to the end of the longest chain that starts with it. */
function chainMs(options: RunStagesOptions, index: number): number {
    const following = options.stages.flatMap((stage, other) =>
        stage.after.includes(index) ? [chainMs(options, other)] : [],
    );
    return options.expectedMs(index) + Math.max(0, ...following);
}

/** Whether a stage needs the results of an earlier one, directly or through others. */
function dependsOn(stages: readonly RouteStage[], stage: number, earlier: number): boolean {
    const after = stages[stage]?.after ?? [];
    return after.includes(earlier) || after.some(other => dependsOn(stages, other, earlier));
}

async function makeStage(
    options: RunStagesOptions,
    stage: RouteStage,
    index: number,
    inputOutcomes: readonly StageOutcome[],
    begun: boolean,
): Promise<StageOutcome> {
    const count = options.pieces[index] ?? 0;
    if (count === 0) return { handles: [] };
    const inputs = inputOutcomes.flatMap(outcome => ("handles" in outcome ? outcome.handles : []));
    const targetTime = options.targetTimeOf(index);
    const consumers = consumerPieces(options, index);
    const fetches = consumers.length === 0 ? 1 : consumers.reduce((sum, pieces) => sum + pieces, 0);
    const isLastUse = stage.after.every(
        other => consumerPieces(options, other).filter(pieces => pieces > 0).length === 1,
    );
    const inputBytes = Math.max(0, ...stage.after.map(other => options.stages[other]?.resultBytes ?? 0));
    const jobs = Array.from({ length: count }, (_, piece): PieceJob => ({
        requestId: options.requestId,
        service: stage.service,
        stage: index,
        index: piece,
        pieces: count,
        key: inputs.length === 0 ? options.key : undefined,
        inputs,
        isLastUse,
        inputBytes,
        resultBytes: stage.resultBytes,
        fetches,
        priority: options.priority,
        deadline: options.deadline,
        targetTime,
        zone: options.zone,
        begun,
    }));
    const results = await makeInTime(options, stage, jobs);
    if (results === undefined) return { lost: "late", retryAfterMs: 0 };
    const handles = results.flatMap(result => (result.kind === "made" ? [result.handle] : []));
    const lost = results.find(result => result.kind === "lost");
    if (lost === undefined) return { handles };
    options.release(stage.service, handles);
    return { lost: lost.reason, retryAfterMs: lost.retryAfterMs };
}

/**
 * Makes pieces. At the request's deadline, and when it is aborted, it returns undefined, and results that come later are
 * released: a call may still wait for a silent target then.
 */
async function makeInTime(
    { make, release, deadline, onTaskFailure, signal }: RunStagesOptions,
    { service }: RouteStage,
    jobs: readonly PieceJob[],
): Promise<readonly PieceResult[] | undefined> {
    const expiry = new AbortController();
    const making = make(jobs, AbortSignal.any([signal, expiry.signal]));
    let reportAbort = (): void => undefined;
    const aborted = new Promise<undefined>(resolve => (reportAbort = () => resolve(undefined)));
    signal.addEventListener("abort", reportAbort);
    if (signal.aborted) reportAbort();
    const results = await withTimeout(Promise.race([making, aborted]), deadline.remainingMs(), undefined);
    signal.removeEventListener("abort", reportAbort);
    if (results !== undefined) return results;
    expiry.abort();
    runInBackground("late stage results", onTaskFailure, async () => {
        const handles = (await making).flatMap(result => (result.kind === "made" ? [result.handle] : []));
        release(service, handles);
    });
    return undefined;
}

/** Number of pieces of each stage that needs the results of the given stage. */
function consumerPieces(options: RunStagesOptions, index: number): readonly number[] {
    return options.stages.flatMap(({ after }, other) => (after.includes(index) ? [options.pieces[other] ?? 0] : []));
}
