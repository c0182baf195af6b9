/** A piece of stage work and its result. */
import type { Deadline } from "../model/index.js";

/** A handle of a result. Handles are sent as a header, separated by commas. */
export const RESULT_HANDLE = /^[\x21-\x2b\x2d-\x7e]{1,1000}$/;

/** One piece that a request needs from a stage service. */
export interface PieceJob {
    readonly requestId: string;
    readonly service: string;
    /** Index of the stage in the request's route. */
    readonly stage: number;
    readonly index: number;
    /** Number of the request's pieces in this stage. */
    readonly pieces: number;
    /** Key of the request's input, for stages without inputs. */
    readonly key: string | undefined;
    /** Handles of the results that the piece needs. */
    readonly inputs: readonly string[];
    /** Whether no other stage needs the inputs. */
    readonly isLastUse: boolean;
    /** Approximate size of one input in bytes. */
    readonly inputBytes: number;
    /** Approximate size of the result in bytes. */
    readonly resultBytes: number;
    /** How often the result is fetched: once by each piece that needs it, or once by the engine. */
    readonly fetches: number;
    /** Priority rank of the request; 0 is the most urgent. */
    readonly priority: number;
    /** Time by which the request must be answered. */
    readonly deadline: Deadline;
    /** Time by which the piece must be made for the request to be on time. */
    readonly targetTime: Deadline;
    /** Zone in which the result is expected to be needed. */
    readonly zone: string;
    /** Whether other pieces of the request are made already; their results would be wasted if it were lost. */
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
    /** Not made here, as another gateway now gathers the service. */
    | "givenBack";

/** Outcome of a piece. */
export type PieceResult =
    | { readonly kind: "made"; readonly handle: string }
    | { readonly kind: "lost"; readonly reason: PieceLossReason; readonly retryAfterMs: number };

/** Makes pieces of one service. The results are in the order of the jobs. */
export type MakePieces = (jobs: readonly PieceJob[], signal: AbortSignal) => Promise<readonly PieceResult[]>;
