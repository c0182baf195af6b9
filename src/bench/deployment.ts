/** The two deployments that the load cases run: operators' lists, replicas of each service, and the request mix. */
import type { StandInEngineOptions } from "../standins/index.js";

export interface ServicePool {
    readonly name: string;
    readonly replicas: number;
    readonly engine: StandInEngineOptions;
}

/** A kind of request. */
export interface RequestKind {
    /** Name of its pipeline. */
    readonly name: string;
    /** Fraction of the requests. */
    readonly fraction: number;
    /** Weight in the attainment; higher for requests that may not be repeated. */
    readonly weight: number;
    readonly stages: readonly KindStage[];
}

/** A stage as in the operators' lists. */
export interface KindStage {
    readonly name: string;
    readonly service: string;
    readonly operation: string;
    readonly idempotent: boolean;
    readonly streaming: boolean;
    readonly maximumTokens: number;
    readonly costMilliseconds: number;
}

/** An account with a plan of its own. */
export interface AccountShare {
    readonly name: string;
    /** Fraction of the common budget, and of the requests. */
    readonly share: number;
}

export interface Deployment {
    readonly name: string;
    readonly zones: readonly string[];
    readonly entries: number;
    readonly pools: readonly ServicePool[];
    readonly kinds: readonly RequestKind[];
    readonly accounts: readonly AccountShare[];
    /** Mean arrival rate without a burst. */
    readonly requestsPerSecond: number;
}

/** Deadline of each request. */
export const DEADLINE_MS = 4_000;

/** Fraction of the budget that the mean load uses; the rest is headroom for bursts. */
export const MEAN_BUDGET_UTILIZATION = 0.6;

/** Factor on all times of a stand-in engine at a full batch, where its throughput is highest. */
export const FULL_BATCH_FACTOR = 1.3;

const COLD_CONCURRENCY = 1;
const COLD_FACTOR = 3;

/** Time after which a cold target is warm. */
export const COLD_DURATION_MS = 3_000;

const MS_PER_TOKEN = 40;

const callTimes: Readonly<Record<string, number>> = {
    encode: 50,
    retrieve: 80,
    rerank: 200,
    generate: 80,
    stock: 60,
    book: 120,
    publish: 120,
};

/** Mean tokens of an answer limited to `maximumTokens`; stand-ins generate between half of the limit and all of it. */
function meanTokens(maximumTokens: number): number {
    return 0.75 * maximumTokens;
}

function callStage(operation: string, service = operation): KindStage {
    const costMilliseconds = callTimes[operation] ?? 0;
    const idempotent = operation !== "book" && operation !== "publish";
    return { name: operation, service, operation, idempotent, streaming: false, maximumTokens: 0, costMilliseconds };
}

function generateStage(maximumTokens: number): KindStage {
    const costMilliseconds = (callTimes["generate"] ?? 0) + meanTokens(maximumTokens) * MS_PER_TOKEN;
    return { ...callStage("generate"), streaming: true, maximumTokens, costMilliseconds };
}

function pool(
    name: string,
    replicas: number,
    concurrency: number,
    operations: readonly string[] = [name],
): ServicePool {
    const engine = {
        operations,
        nonIdempotent: operations.filter(operation => !callStage(operation).idempotent),
        concurrency,
        coldConcurrency: COLD_CONCURRENCY,
        coldFactor: COLD_FACTOR,
        timePerCall: callTimes[name] ?? 0,
        timePerToken: name === "generate" ? MS_PER_TOKEN : 0,
        loadLagMilliseconds: 100,
        startsCold: false,
        warmAfterMilliseconds: COLD_DURATION_MS,
    };
    return { name, replicas, engine };
}

const accounts: readonly AccountShare[] = [
    { name: "large-1", share: 0.35 },
    { name: "large-2", share: 0.3 },
    { name: "small-1", share: 0.15 },
    { name: "small-2", share: 0.1 },
    { name: "small-3", share: 0.1 },
];

const zones = ["east", "middle", "west"];
const encode = callStage("encode");
const retrieve = callStage("retrieve");
const rerank = callStage("rerank");

const kettleby: Deployment = {
    name: "k",
    zones,
    entries: 3,
    pools: [
        pool("encode", 4, 2),
        pool("retrieve", 5, 2),
        pool("rerank", 4, 2),
        pool("generate", 8, 2),
        pool("book", 3, 2, ["stock", "book"]),
    ],
    kinds: [
        { name: "dispatch-plan", fraction: 0.25, weight: 1, stages: [encode, retrieve, rerank, generateStage(10)] },
        { name: "quick-question", fraction: 0.3, weight: 1, stages: [encode, retrieve, generateStage(4)] },
        { name: "stock-check", fraction: 0.25, weight: 1, stages: [encode, retrieve, callStage("stock", "book")] },
        { name: "book-heater", fraction: 0.2, weight: 5, stages: [encode, retrieve, callStage("book")] },
    ],
    accounts,
    requestsPerSecond: 50,
};

const magnolia: Deployment = {
    name: "c",
    zones,
    entries: 3,
    pools: [
        pool("encode", 4, 3),
        pool("retrieve", 4, 3),
        pool("rerank", 3, 3),
        pool("generate", 6, 3),
        pool("publish", 3, 3),
    ],
    kinds: [
        { name: "draft-correction", fraction: 0.2, weight: 1, stages: [encode, retrieve, rerank, generateStage(10)] },
        { name: "review", fraction: 0.25, weight: 1, stages: [encode, rerank, generateStage(5)] },
        { name: "reader-line", fraction: 0.35, weight: 1, stages: [encode, retrieve, generateStage(2)] },
        { name: "publish-entry", fraction: 0.2, weight: 5, stages: [encode, retrieve, callStage("publish")] },
    ],
    accounts,
    requestsPerSecond: 45,
};

/** The deployments by name. */
export const deployments: Readonly<Record<string, Deployment>> = { k: kettleby, c: magnolia };

/** Expected target time of a request, in milliseconds. */
export function kindCost(kind: RequestKind): number {
    return kind.stages.reduce((sum, stage) => sum + stage.costMilliseconds, 0);
}

/** The common budget in ms of target time a second: that of the mean load, divided by its fraction of the budget. */
export function commonBudget(deployment: Deployment): number {
    const mean = deployment.kinds.reduce((sum, kind) => sum + kind.fraction * kindCost(kind), 0);
    return (mean * deployment.requestsPerSecond) / MEAN_BUDGET_UTILIZATION;
}

/** The operators' lists. Without shares there is no common budget, and requests are served as they come. */
export function configurationLists(deployment: Deployment, shares: boolean): object {
    const pipelines = deployment.kinds.map(({ name, stages }) => ({ name, stages }));
    const names = pipelines.map(({ name }) => name);
    return {
        ...(shares ? { budget: { millisecondsPerSecond: commonBudget(deployment) } } : {}),
        services: deployment.pools.map(({ name, engine }) => ({
            name,
            kind: name === "book" || name === "publish" ? "plain" : "engine",
            slots: (engine.nonIdempotent ?? []).length > 0 ? 64 : 0,
            concurrency: engine.concurrency,
            coldConcurrency: engine.coldConcurrency,
        })),
        pipelines,
        plans: deployment.accounts.map(({ name, share }) => ({ name, pipelines: names, share })),
        accounts: deployment.accounts.map(({ name }) => ({ name, plan: name, key: `key-of-${name}` })),
    };
}
