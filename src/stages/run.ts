/**
 * The stages of one request: each starts when the results that it needs are there.
 *
 * Results are given up as soon as nothing needs them, since they take room at the targets that made them.
 */
import type { RouteStage } from "../gateway/configuration.js";
import type { Deadline } from "../model/index.js";
import type { MakePieces, PieceJob, PieceLossReason } from "./piece.js";

/** What the stages of a request are run with. */
export interface RunStagesOptions {
    readonly requestId: string;
    readonly stages: readonly RouteStage[];
    /** Number of pieces by stage. */
    readonly pieces: readonly number[];
    readonly key: string;
    readonly priority: number;
    readonly deadline: Deadline;
    /** Time by which a stage has to be ready for the request to be on time. */
    readonly targetTimeOf: (stage: number) => Deadline;
    /** Expected time of a stage in milliseconds. */
    readonly expectedMs: (stage: number) => number;
    /** Zone in which the results will probably be needed. */
    readonly zone: string;
    readonly make: MakePieces;
    readonly release: (service: string, handles: readonly string[]) => void;
    readonly signal: AbortSignal;
}

/** A result that the request's own service needs. */
export interface StageResult {
    readonly handle: string;
    readonly bytes: number;
}

/** What running the stages came to. */
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
export async function runStages(order: RunStagesOptions): Promise<StagesOutcome> {
    const runs: Promise<StageOutcome>[] = [];
    const made = order.stages.map((): readonly string[] => []);
    const consumers = order.stages.map((_, index) => order.stages.filter(stage => stage.after.includes(index)).length);
    const unfinishedConsumers = [...consumers];
    const releaseStage = (index: number): void => {
        const service = order.stages[index]?.service;
        const handles = made[index] ?? [];
        made[index] = [];
        if (service !== undefined && handles.length > 0) order.release(service, handles);
    };
    order.stages.forEach((stage, index) => {
        runs.push(
            (async (): Promise<StageOutcome> => {
                const held = await Promise.all(holdsOf(order, index).flatMap(other => runs[other] ?? []));
                const withheld = held.find(outcome => "lost" in outcome);
                if (withheld !== undefined) return withheld;
                const before = await Promise.all(stage.after.flatMap(other => runs[other] ?? []));
                const broken = before.find(outcome => "lost" in outcome);
                if (broken !== undefined) return broken;
                const begun = made.some(handles => handles.length > 0);
                const outcome = await makeStage(order, stage, index, before, begun);
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
    const releaseAll = (): void => order.stages.forEach((_, index) => releaseStage(index));
    const lostAt = outcomes.findIndex(outcome => "lost" in outcome);
    const lost = outcomes[lostAt];
    if (lost !== undefined && "lost" in lost) {
        const started = made.some(handles => handles.length > 0) || outcomes.some(outcome => "handles" in outcome);
        releaseAll();
        return { kind: "lost", reason: lost.lost, stage: lostAt, retryAfterMs: lost.retryAfterMs, started };
    }
    const inputs = order.stages.flatMap((stage, index) =>
        consumers[index] === 0 ? (made[index] ?? []).map(handle => ({ handle, bytes: stage.resultBytes })) : [],
    );
    return { kind: "ready", inputs, release: releaseAll };
}

/** A chain counts as longer than a stage when it takes this many times as long. */
const LONGER_RATIO = 1.25;

/**
 * Stages without inputs that take much less time than another chain wait until that chain is about as short. Their
 * results would otherwise take room at their makers while the request waits for the chain, and room decides how many
 * requests can be in progress. The result names the stages to wait for.
 */
function holdsOf(order: RunStagesOptions, index: number): readonly number[] {
    const { stages, expectedMs, pieces } = order;
    if ((stages[index]?.after.length ?? 0) > 0 || (pieces[index] ?? 0) === 0) return [];
    const own = remainingMs(order, index);
    let holds: readonly number[] = [];
    let longest = -1;
    stages.forEach((stage, other) => {
        if (stage.after.length === 0 || other === index || (pieces[other] ?? 0) === 0) return;
        if (isAfter(stages, other, index)) return;
        const ownOther = remainingMs(order, other);
        const before = Math.max(...stage.after.map(earlier => ownOther + expectedMs(earlier)));
        if (ownOther > own * LONGER_RATIO || before <= own * LONGER_RATIO || ownOther <= longest) return;
        [holds, longest] = [stage.after, ownOther];
    });
    return holds;
}

/** Expected time in milliseconds from the start of a stage to the end of the longest chain that begins with it. */
function remainingMs(order: RunStagesOptions, index: number): number {
    const following = order.stages.flatMap((stage, other) =>
        stage.after.includes(index) ? [remainingMs(order, other)] : [],
    );
    return order.expectedMs(index) + Math.max(0, ...following);
}

/** Whether a stage needs, directly or not, the results of an earlier one. */
function isAfter(stages: readonly RouteStage[], stage: number, earlier: number): boolean {
    const after = stages[stage]?.after ?? [];
    return after.includes(earlier) || after.some(other => isAfter(stages, other, earlier));
}

async function makeStage(
    order: RunStagesOptions,
    stage: RouteStage,
    index: number,
    before: readonly StageOutcome[],
    begun: boolean,
): Promise<StageOutcome> {
    const count = order.pieces[index] ?? 0;
    if (count === 0) return { handles: [] };
    const inputs = before.flatMap(outcome => ("handles" in outcome ? outcome.handles : []));
    const target = order.targetTimeOf(index);
    const consumers = consumersOf(order, index);
    const fetches = consumers.length === 0 ? 1 : consumers.reduce((sum, pieces) => sum + pieces, 0);
    const isLastUse = stage.after.every(other => consumersOf(order, other).filter(pieces => pieces > 0).length === 1);
    const inputBytes = Math.max(0, ...stage.after.map(other => order.stages[other]?.resultBytes ?? 0));
    const jobs = Array.from({ length: count }, (_, piece): PieceJob => ({
        requestId: order.requestId,
        service: stage.service,
        stage: index,
        index: piece,
        pieces: count,
        key: inputs.length === 0 ? order.key : undefined,
        inputs,
        isLastUse,
        inputBytes,
        resultBytes: stage.resultBytes,
        fetches,
        priority: order.priority,
        deadline: order.deadline,
        targetTime: target,
        zone: order.zone,
        begun,
    }));
    const results = await order.make(jobs, order.signal);
    const handles = results.flatMap(result => (result.kind === "made" ? [result.handle] : []));
    const lost = results.find(result => result.kind === "lost");
    if (lost === undefined) return { handles };
    order.release(stage.service, handles);
    return { lost: lost.reason, retryAfterMs: lost.retryAfterMs };
}

/** Number of pieces of each stage that needs the results of a stage. */
function consumersOf(order: RunStagesOptions, index: number): readonly number[] {
    return order.stages.flatMap(({ after }, other) => (after.includes(index) ? [order.pieces[other] ?? 0] : []));
}
