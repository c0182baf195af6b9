/** A piece of stage work and what can become of it. */
import type { Deadline } from "../model/index.js";

/** One piece that a request needs from a stage service. */
export interface PieceJob {
    readonly requestId: string;
    readonly service: string;
    /** Index of the stage in the request's route. */
    readonly stage: number;
    readonly index: number;
    /** Number of pieces of the stage. */
    readonly pieces: number;
    /** Key of the request's input, for stages without inputs. */
    readonly key: string | undefined;
    /** Handles of the results that the piece needs. */
    readonly inputs: readonly string[];
    /** Whether nothing but this stage needs the inputs. */
    readonly isLastUse: boolean;
    /** Approximate size of one input in bytes. */
    readonly inputBytes: number;
    /** Approximate size of the result in bytes. */
    readonly resultBytes: number;
    /** Times that the result is fetched: once by each piece that needs it, or by the engine. */
    readonly fetches: number;
    /** Rank of the request; 0 is the most urgent. */
    readonly priority: number;
    /** When the request's answer has to be there. */
    readonly deadline: Deadline;
    /** When the piece has to be made for the request to be on time. */
    readonly targetTime: Deadline;
    /** Zone in which the result will probably be needed. */
    readonly zone: string;
    /** Whether pieces of the request were made before, which would be lost with it. */
    readonly begun: boolean;
}

/** Why a piece was not made. */
export type PieceLossReason =
    | "late"
    | "inputGone"
    | "failed"
    | "noRoom"
    | "noTarget"
    | "overloaded"
    | "cancelled"
    /** Not made here, since another gateway gathers now. */
    | "givenBack";

/** What became of a piece. */
export type PieceResult =
    | { readonly kind: "made"; readonly handle: string }
    | { readonly kind: "lost"; readonly reason: PieceLossReason; readonly retryAfterMs: number };

/** Makes pieces; the results have the order of the jobs. All jobs are for one service. */
export type MakePieces = (jobs: readonly PieceJob[], signal: AbortSignal) => Promise<readonly PieceResult[]>;
