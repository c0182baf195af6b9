/** Names of the platform: headers, paths and kinds of objects. */

/** Headers of requests and answers, in lower case. */
export const HEADER = {
    requestId: "x-parsleyrun-request-id",
    /** Time that the sender of a request will wait, in milliseconds. */
    deadlineMs: "x-parsleyrun-deadline-ms",
    /** Parts of a prompt in order, as ID:TOKENS. */
    promptParts: "x-parsleyrun-prefix-hash",
    lastEventId: "last-event-id",
    accountName: "x-parsleyrun-tenant",
    expectedTarget: "x-parsleyrun-expect-instance",
    /** Running requests, waiting requests and slots of a target. */
    targetLoad: "x-parsleyrun-server-load",
    notExecuted: "x-parsleyrun-not-executed",
    model: "x-parsleyrun-model",
    /** Prompt tokens and largest number of output tokens. */
    tokens: "x-parsleyrun-token-count",
    priority: "x-parsleyrun-request-priority",
    expectedModelVersion: "x-parsleyrun-expect-version",
    pinMs: "x-parsleyrun-pin-ms",
    /** A reserved place at an engine. */
    reservation: "x-parsleyrun-hold",
    cacheBackup: "x-parsleyrun-kv-backup",
    cacheSource: "kv-from",
    cacheFetch: "kv-fetch",
    /** Number of pieces by stage. */
    pieces: "x-parsleyrun-pieces",
    pieceKey: "x-parsleyrun-piece-key",
    /** Handles of stage results. */
    inputs: "x-parsleyrun-inputs",
    authorization: "authorization",
} as const;

/** Paths at targets. */
export const PATH = { makePieces: "/stage-run", releaseResults: "/stage-free" } as const;

/** Kinds of objects in the store. */
export const KIND = {
    configuration: "config",
    targets: "servers",
    /** Zones whose targets get nothing, by name. */
    closedZones: "evacuations",
    /** The gateways' own registrations. */
    gateways: "parsleyrun-gateways",
} as const;
