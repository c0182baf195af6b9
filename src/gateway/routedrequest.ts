/** A request that has passed routing, authentication and reading, and the result of a request. */
import type { Deadline } from "../model/index.js";
import type { Route } from "./configuration.js";
import type { RequestConnection } from "./connection.js";
import type { RequestMetadata } from "./dialect.js";

/** A routed request, as its stages and attempts need it. */
export interface RoutedRequest {
    readonly route: Route;
    /** The service that runs the request itself. */
    readonly service: string;
    readonly metadata: RequestMetadata;
    readonly accountName: string | undefined;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly method: string;
    /** Path with its query. */
    readonly path: string;
    /** Names and values in turn, as received. */
    readonly rawHeaders: readonly string[];
    /** The body; undefined when the caller sent none. */
    readonly body: Buffer | undefined;
    /** The end of the time that the caller and the route allow. */
    readonly ownDeadline: Deadline;
    /** The earlier of its own deadline and the end of a planned stop, which may begin meanwhile. */
    readonly deadline: Deadline;
    /** Monotonic time in milliseconds at which the request's head was read. */
    readonly receivedAt: number;
    /** What it has in common with other requests, for recognising requests that crash targets; computed when needed. */
    readonly traits: () => readonly string[];
    /** As `watchInput` of the caller's connection. */
    readonly watchInput: RequestConnection["watchInput"];
    /** Aborted when the caller closes its connection, or a planned stop leaves no more time. */
    readonly signal: AbortSignal;
}

/** Result of a request, for the log and the metrics. */
export interface ExchangeResult {
    readonly outcome: "answered" | "refused" | "rejected" | "failed" | "expired" | "cancelled" | "brokenOff";
    readonly status: number;
    readonly reason: string;
    /** Time in milliseconds after which a refused caller was told to come back. */
    readonly retryAfterMs?: number | undefined;
}
