/** The platform's header names, paths and kinds of stored objects. */

/** Headers of requests and responses, in lower case. */
export const HEADER = {
    requestId: "x-parsleyrun-request-id",
    /** Time in milliseconds for which the sender of a request waits. */
    deadlineMs: "x-parsleyrun-deadline-ms",
    /** Parts of the prompt in order, as ID:TOKENS, comma-separated. */
    promptParts: "x-parsleyrun-prefix-hash",
    lastEventId: "last-event-id",
    accountName: "x-parsleyrun-tenant",
    expectedTarget: "x-parsleyrun-expect-instance",
    /** Running requests, waiting requests and slots of a target, comma-separated. */
    targetLoad: "x-parsleyrun-server-load",
    /** Requests a second that a target takes from all gateways together. */
    targetLimit: "server-limit",
    /** In all answers of a target that leaves. */
    targetLeaving: "server-leaving",
    notExecuted: "x-parsleyrun-not-executed",
    model: "x-parsleyrun-model",
    /** Number of prompt tokens and maximum number of output tokens, comma-separated. */
    tokens: "x-parsleyrun-token-count",
    priority: "x-parsleyrun-request-priority",
    expectedModelVersion: "x-parsleyrun-expect-version",
    pinMs: "x-parsleyrun-pin-ms",
    /** A reservation at an engine. */
    reservation: "x-parsleyrun-hold",
    cacheBackup: "x-parsleyrun-kv-backup",
    cacheSource: "kv-from",
    cacheFetch: "kv-fetch",
    /** Number of pieces by stage, comma-separated. */
    pieces: "x-parsleyrun-pieces",
    pieceKey: "x-parsleyrun-piece-key",
    /** Handles of stage results, comma-separated. */
    inputs: "x-parsleyrun-inputs",
    authorization: "authorization",
    /** In all answers of the store: rises by one each time the store is restored from a copy. */
    storeEra: "store-era",
    dutyHolder: "x-parsleyrun-duty-holder",
    /** Rises with each change of a duty's holder. */
    fencingToken: "x-parsleyrun-fencing-token",
} as const;

/** Paths of calls to targets. */
export const PATH = { makePieces: "/stage-run", releaseResults: "/stage-free" } as const;

/** Paths of calls that are the duty of one gateway at a time. */
export const DUTY_PATH = { usage: "/usage", scale: "/scale" } as const;

/** Kinds of objects in the store. */
export const KIND = {
    configuration: "config",
    targets: "servers",
    /** Zones whose targets get no requests, by name. */
    closedZones: "evacuations",
    /** Requested changes of a service's version, by service. */
    rollouts: "rollouts",
    /** The gateways' own registrations. */
    gateways: "parsleyrun-gateways",
    /** The lease of the duties, and what its holders have to remember. */
    duties: "parsleyrun-duties",
} as const;
