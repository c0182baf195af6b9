/**
 * The wire format between callers, gateway and targets.
 *
 * An implementation of `Dialect` only encodes and decodes headers and bodies. It keeps the header names of a platform
 * out of the gateway.
 */
import type { IncomingHttpHeaders } from "node:http";

/** A part of a prompt; requests may share parts. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** Metadata of a request, from the caller's headers. */
export interface RequestMetadata {
    readonly requestId: string | undefined;
    /** Time in milliseconds for which the caller waits. */
    readonly deadlineMs: number | undefined;
    readonly key: string | undefined;
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly promptParts: readonly PromptPart[];
    /** Number of pieces by stage. */
    readonly pieces: readonly number[];
    /** Key of the request's input to its stages. */
    readonly pieceKey: string;
    /** Id of the last event that the caller received. */
    readonly lastEventId: string | undefined;
}

/** Values of the headers that the gateway sets on an attempt. */
export interface AttemptHeaders {
    readonly remainingMs: number;
    readonly targetId: string;
    readonly accountName: string | undefined;
    /** 0 to 9; 0 is the most urgent. */
    readonly priority: number | undefined;
    /** Handles of stage results. */
    readonly inputs: readonly string[];
    /** Id of the last event that was delivered, when a stream is resumed. */
    readonly lastEventId: string | undefined;
}

/** Load as a target reports it. */
export interface TargetLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    /** How long work takes at this moment: 1 is usual, 2.5 two and a half times as long; undefined if not stated. */
    readonly pace?: number | undefined;
}

/** Time for which a target wants no requests of this gateway. */
export type RequestedPause =
    { readonly kind: "time"; readonly milliseconds: number } | { readonly kind: "unreadable"; readonly text: string };

/** Metadata of a response, from the target's headers. */
export interface ResponseMetadata {
    /** Id of the request that the response belongs to, as echoed by the target. */
    readonly requestId: string | undefined;
    /** Whether the target states that it has not run the request. */
    readonly notExecuted: boolean;
    /** Whether another target has the address now. */
    readonly wrongTarget: boolean;
    readonly load: TargetLoad | undefined;
    /** Requests a second that the target takes from all gateways together; undefined if it names no limit. */
    readonly limitPerSecond: number | undefined;
    /** Whether the target says that it leaves. */
    readonly isLeaving: boolean;
    /** Pause that a target requests as it turns a request away. */
    readonly pause: RequestedPause | undefined;
}

/** Request to a target for one piece of a stage. */
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

/** A target's answer for one piece. */
export type PieceAnswer =
    | { readonly kind: "made"; readonly handle: string }
    | { readonly kind: "late" }
    | { readonly kind: "inputGone" }
    | { readonly kind: "noRoom" }
    | { readonly kind: "failed"; readonly reason: string };

/** A call to a target that the gateway makes on its own behalf. */
export interface TargetCall {
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly headers: readonly string[];
    readonly body: Buffer | undefined;
}

/** Header names and message formats between callers, gateway and targets. */
export interface Dialect {
    readRequest(headers: IncomingHttpHeaders): RequestMetadata;
    /** The request id in a head that the parser has rejected; undefined if it has none that can be read. */
    findRequestId(head: Buffer): string | undefined;
    /** Raw headers of an attempt: the caller's without those of its connection, and the gateway's own. */
    attemptHeaders(raw: readonly string[], attempt: AttemptHeaders): string[];
    readResponse(status: number, headers: IncomingHttpHeaders): ResponseMetadata;
    pieceCall(targetId: string, requests: readonly PieceRequest[]): TargetCall;
    /** The answers in the order of the requests; undefined when the body is malformed. */
    readPieces(body: string, count: number): readonly PieceAnswer[] | undefined;
    releaseCall(targetId: string, handles: readonly string[]): TargetCall;
    /** Address (`ip:port`) of the target that holds a result. */
    holderOf(handle: string): string;
}
