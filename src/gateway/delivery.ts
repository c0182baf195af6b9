/** The caller's side of answers: a target's whole answer, the gateway's own, and streams of whole events. */
import type { ServerResponse } from "node:http";
import type { ResponseHead } from "./attempt.js";
import type { StreamEvent } from "./eventstream.js";

/** Headers that concern the connection to the target. */
const CONNECTION_HEADERS = new Set(["connection", "keep-alive", "transfer-encoding", "trailer", "upgrade", "te"]);

/** A target's headers as they go to the caller. */
function answerHeaders(head: ResponseHead, closing: boolean): string[] {
    const headers: string[] = [];
    for (let index = 0; index + 1 < head.rawHeaders.length; index += 2) {
        const name = head.rawHeaders[index] ?? "";
        if (CONNECTION_HEADERS.has(name.toLowerCase())) continue;
        headers.push(name, head.rawHeaders[index + 1] ?? "");
    }
    if (closing) headers.push("connection", "close");
    return headers;
}

/**
 * Gives the caller a target's complete answer. A body that ended with its connection goes on in the same way: nobody can
 * tell whether its target ended it or crashed, and a length of our own would claim that it is whole.
 */
export function sendTargetResponse(
    response: ServerResponse,
    head: ResponseHead,
    bytes: Buffer,
    closing: boolean,
): void {
    const framed = head.headers["content-length"] !== undefined || head.headers["transfer-encoding"] !== undefined;
    const headers = answerHeaders(head, closing || !framed);
    if (!framed) response.useChunkedEncodingByDefault = false;
    else if (head.headers["content-length"] === undefined) headers.push("content-length", String(bytes.length));
    response.writeHead(head.status, head.statusText, headers);
    // A write before the end keeps the length from being added.
    if (!framed) response.write(bytes);
    response.end(framed ? bytes : undefined);
}

/** An answer of the gateway itself. */
export interface GatewayResponse {
    readonly status: number;
    readonly reason: string;
    /** Time in milliseconds after which the caller may come back. */
    readonly retryAfterMs: number | undefined;
}

/** Gives the caller an answer of the gateway itself, unless one has begun or the caller has left. */
export function sendGatewayResponse(
    response: ServerResponse,
    { status, reason, retryAfterMs }: GatewayResponse,
    closing: boolean,
): void {
    if (response.headersSent || response.destroyed) return;
    const body = Buffer.from(`${JSON.stringify({ reason })}\n`);
    const headers = ["content-type", "application/json", "content-length", String(body.length)];
    if (retryAfterMs !== undefined) headers.push("retry-after", (retryAfterMs / 1_000).toFixed(3));
    if (closing) headers.push("connection", "close");
    response.writeHead(status, headers);
    response.end(body);
}

/** The caller's side of a stream: one head, whole events, and the id after which a broken stream is continued. */
export class StreamWriter {
    started = false;
    private lastId: string | undefined;

    constructor(
        private readonly response: ServerResponse,
        private readonly callersLastId: string | undefined,
        private readonly closing: () => boolean,
    ) {}

    /** Id of the last event that was delivered in this answer. */
    get lastDeliveredId(): string | undefined {
        return this.started ? (this.lastId ?? this.callersLastId) : undefined;
    }

    /** Writes events; the promise resolves when the caller can take more. */
    write(head: ResponseHead, events: readonly StreamEvent[]): Promise<void> | undefined {
        this.begin(head);
        for (const { id } of events) this.lastId = id ?? this.lastId;
        const flowing = this.response.write(Buffer.concat(events.map(({ bytes }) => bytes)));
        if (flowing) return undefined;
        return new Promise(resolve => {
            this.response.once("drain", resolve);
            this.response.once("close", resolve);
        });
    }

    end(head: ResponseHead): void {
        this.begin(head);
        this.response.end();
    }

    private begin(head: ResponseHead): void {
        if (this.started) return;
        this.started = true;
        const headers = answerHeaders(head, this.closing());
        // A continued stream is longer or shorter than what its first target announced.
        const length = headers.findIndex((name, index) => index % 2 === 0 && name.toLowerCase() === "content-length");
        if (length >= 0) headers.splice(length, 2);
        this.response.writeHead(head.status, head.statusText, headers);
    }
}
