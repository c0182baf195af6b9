/**
 * What the gateway needs to know of the wire between callers, gateway and targets.
 *
 * An implementation translates header names and bodies and decides nothing; the gateway itself never sees a header name
 * that is particular to a platform.
 */
import type { IncomingHttpHeaders } from "node:http";

/** A part of a prompt that requests may share. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** What a caller's headers say about its request. */
export interface RequestMetadata {
    readonly requestId: string | undefined;
    /** Time that the caller will wait, in milliseconds. */
    readonly deadlineMs: number | undefined;
    readonly key: string | undefined;
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly promptParts: readonly PromptPart[];
    /** Number of pieces by stage. */
    readonly pieces: readonly number[];
    /** Identifies the request's input to stages. */
    readonly pieceKey: string;
    /** Id of the last event that the caller has. */
    readonly lastEventId: string | undefined;
}

/** What the gateway sets on an attempt. */
export interface AttemptHeaders {
    readonly remainingMs: number;
    readonly targetId: string;
    readonly accountName: string | undefined;
    /** 0 to 9; 0 is the most urgent. */
    readonly priority: number | undefined;
    /** Handles of stage results. */
    readonly inputs: readonly string[];
    /** Id of the last event that was delivered, when a stream is continued. */
    readonly lastEventId: string | undefined;
}

/** Load as a target told it. */
export interface TargetLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
}

/** What an answer's headers say. */
export interface ResponseMetadata {
    /** The request that the answer belongs to, as the target echoes it. */
    readonly requestId: string | undefined;
    /** Whether the target states that it has not run the request. */
    readonly notExecuted: boolean;
    /** Whether another target has the address now. */
    readonly wrongTarget: boolean;
    readonly load: TargetLoad | undefined;
}

/** One piece of a stage as a target is asked for it. */
export interface PieceRequest {
    readonly requestId: string;
    readonly stage: number;
    readonly index: number;
    readonly remainingMs: number;
    /** Key of the request's input, for stages without inputs. */
    readonly key: string | undefined;
    /** Handles of the results that the piece needs. */
    readonly inputs: readonly string[];
}

/** What became of a piece. */
export type PieceAnswer =
    | { readonly kind: "made"; readonly handle: string }
    | { readonly kind: "late" }
    | { readonly kind: "inputGone" }
    | { readonly kind: "noRoom" }
    | { readonly kind: "failed"; readonly reason: string };

/** A call to a target on the gateway's own account. */
export interface TargetCall {
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly headers: readonly string[];
    readonly body: Buffer | undefined;
}

/** Names and formats between callers, gateway and targets. */
export interface Dialect {
    readRequest(headers: IncomingHttpHeaders): RequestMetadata;
    /** A caller's raw headers as they go to a target, without those of the connection and with the gateway's own. */
    attemptHeaders(raw: readonly string[], attempt: AttemptHeaders): string[];
    readResponse(status: number, headers: IncomingHttpHeaders): ResponseMetadata;
    pieceCall(targetId: string, orders: readonly PieceRequest[]): TargetCall;
    /** The answers in the order of the orders, or undefined when the body cannot be read. */
    readPieces(body: string, count: number): readonly PieceAnswer[] | undefined;
    releaseCall(targetId: string, handles: readonly string[]): TargetCall;
    /** Address (`ip:port`) of the target that holds a result. */
    holderOf(handle: string): string;
}
