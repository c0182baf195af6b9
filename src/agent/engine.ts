/**
 * A target as its agent sees it: something that executes operations and takes orders. Model engines and plain services
 * share this interface; docs/interfaces.md describes the protocol behind the HTTP implementation.
 */

/** One operation to execute. */
export interface EngineRequest {
    /** Unique for this target. */
    readonly id: string;
    readonly operation: string;
    /** JSON text. */
    readonly input: string;
    readonly maximumTokens: number;
    /** Higher runs first. */
    readonly priority: number;
    /** Hash of the prompt's prefix; empty when there is none. */
    readonly prefixHash: string;
    /** Number of tokens that the caller already holds; the stream continues after them. */
    readonly resumeAfter: number;
    readonly streaming: boolean;
    /** Key of a non-idempotent operation, as `account/key/stage`; empty otherwise. */
    readonly idempotencyKey: string;
}

/** What a target reports of an execution. The last event of each execution is one of the terminal ones. */
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
    /** Terminal: the target did not begin; nothing was run. */
    | { readonly kind: "notStarted"; readonly message: string }
    /** Terminal: the target declined the operation for good; it had no effect. */
    | { readonly kind: "rejected"; readonly message: string }
    /** Terminal: the target began and failed; a non-idempotent operation may have had its effect. */
    | { readonly kind: "failed"; readonly message: string }
    /** Terminal: the connection ended without a result; the operation may have had its effect. */
    | { readonly kind: "lost"; readonly message: string };

/** Load as the target reports it, with a lag. */
export interface EngineLoad {
    /** Changes with each restart of the target. */
    readonly bootId: string;
    readonly cold: boolean;
    readonly running: number;
    readonly queued: number;
    /** Concurrency that the target says it bears. */
    readonly capacity: number;
}

/** An order to a target. Targets that enforce fencing refuse numbers below the highest that they have seen. */
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
