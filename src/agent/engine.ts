/**
 * The interface of a target to its agent: it executes operations and accepts orders. Model engines and plain services
 * share it; docs/interfaces.md describes the protocol behind the HTTP implementation.
 */

/** An operation to execute. */
export interface EngineRequest {
    /** Unique at this target. */
    readonly id: string;
    readonly operation: string;
    /** JSON text. */
    readonly input: string;
    readonly maximumTokens: number;
    /** Operations with a higher priority run first. */
    readonly priority: number;
    /** Hash of the prompt's prefix; empty when there is none. */
    readonly prefixHash: string;
    /** Number of tokens that the caller already has; the stream continues after them. */
    readonly resumeAfter: number;
    readonly streaming: boolean;
    /** Key of a non-idempotent operation, as `account/key/stage`; empty otherwise. */
    readonly idempotencyKey: string;
}

/** An event of an execution at a target. The last event of each execution is terminal. */
export type EngineEvent =
    | { readonly kind: "started"; readonly bootId: string; readonly cold: boolean }
    | { readonly kind: "token"; readonly index: number; readonly token: string }
    /** Terminal: the whole output, as JSON text. */
    | {
          readonly kind: "completed";
          readonly output: string;
          readonly tokens: number;
          readonly costMilliseconds: number;
      }
    /** Terminal: the target did not start the operation; nothing was run. */
    | { readonly kind: "notStarted"; readonly message: string }
    /** Terminal: the target rejected the operation permanently; it had no effect. */
    | { readonly kind: "rejected"; readonly message: string }
    /** Terminal: the operation was started and failed; if non-idempotent, it may have had its effect. */
    | { readonly kind: "failed"; readonly message: string }
    /** Terminal: the connection ended without a result; the operation may have had its effect. */
    | { readonly kind: "lost"; readonly message: string };

/** A target's load report, which lags behind its state. */
export interface EngineLoad {
    /** Changes with each restart of the target. */
    readonly bootId: string;
    readonly cold: boolean;
    readonly running: number;
    readonly queued: number;
    /** Maximum number of concurrent runs, as the target states it. */
    readonly capacity: number;
}

/** An administrative order to a target. With enforced fencing, fencing numbers below the highest seen are refused. */
export interface EngineOrder {
    readonly fencing: number;
    readonly kind: "loadModel" | "loadAdapter" | "loadVersion" | "changeRole";
    readonly name: string;
}

/** Outcome of an order. */
export type OrderOutcome =
    | { readonly kind: "applied" }
    | { readonly kind: "staleFencing"; readonly message: string }
    | { readonly kind: "unavailable"; readonly message: string };

/** A target. */
export interface Engine {
    /** Executes an operation; aborting the signal cancels it at the target. */
    execute(request: EngineRequest, signal: AbortSignal): AsyncIterable<EngineEvent>;
    /** The last load report, or undefined when the target does not answer. */
    load(): Promise<EngineLoad | undefined>;
    order(order: EngineOrder): Promise<OrderOutcome>;
}
