/** Writes outcomes and errors to callers over HTTP. */
import type { ServerResponse } from "node:http";
import type { RequestOutcome } from "../model/index.js";

/** A caller that reads so slowly that more bytes are buffered is treated as disconnected. */
const MAXIMUM_BUFFERED_BYTES = 1024 * 1024;

/** The HTTP status of an outcome. */
export function statusOf(outcome: RequestOutcome): number {
    switch (outcome.kind) {
        case "done":
            return 200;
        case "refused":
            return outcome.reason === "overShare" ? 429 : 503;
        case "failed":
            return outcome.reason === "deadline" ? 504 : 502;
        case "unknown":
            return 500;
    }
}

/** The body of an outcome. */
export function bodyOf(outcome: RequestOutcome): object {
    switch (outcome.kind) {
        case "done": {
            const { output, stages, costMilliseconds } = outcome;
            return { outcome: "done", output, stages, costMilliseconds };
        }
        case "refused": {
            const { reason, message, retryAfterMilliseconds: retryAfterMs } = outcome;
            return { outcome: "refused", notRun: true, reason, retryAfterMs, message };
        }
        case "failed": {
            const { reason, message, effects } = outcome;
            return { outcome: "failed", reason, message, effects };
        }
        case "unknown":
            return { outcome: "unknown", reason: outcome.reason, message: outcome.message };
    }
}

/** Writes a JSON response and ends it. */
export function sendJson(
    response: ServerResponse,
    status: number,
    body: object,
    headers: Readonly<Record<string, string>> = {},
): void {
    if (response.headersSent || response.destroyed) return;
    const text = JSON.stringify(body);
    const length = Buffer.byteLength(text);
    response.writeHead(status, { "content-type": "application/json", "content-length": length, ...headers });
    response.end(text);
}

/** Writes an outcome as a JSON response. */
export function sendOutcome(response: ServerResponse, outcome: RequestOutcome): void {
    const retryAfterSeconds =
        outcome.kind === "refused" ? Math.max(1, Math.ceil(outcome.retryAfterMilliseconds / 1_000)) : 0;
    sendJson(
        response,
        statusOf(outcome),
        bodyOf(outcome),
        retryAfterSeconds > 0 ? { "retry-after": String(retryAfterSeconds) } : {},
    );
}

/**
 * A response as server-sent events. The status line is sent with the first token, so that a request that produces no
 * token is answered with the HTTP status of its outcome.
 */
export class EventStream {
    private constructor(
        private readonly response: ServerResponse,
        private readonly onOverflow: () => void,
    ) {}

    /** A stream over a response; `onOverflow` is called when the caller reads too slowly. */
    static create(response: ServerResponse, onOverflow: () => void): EventStream {
        return new EventStream(response, onOverflow);
    }

    writeToken(index: number, token: string): void {
        this.write("token", { index, token });
    }

    /** Writes the outcome and ends the response. */
    end(outcome: RequestOutcome): void {
        if (outcome.kind !== "done" && !this.response.headersSent) {
            sendOutcome(this.response, outcome);
            return;
        }
        this.write("outcome", bodyOf(outcome));
        if (!this.response.destroyed) this.response.end();
    }

    private write(event: string, data: object): void {
        const { response } = this;
        if (response.destroyed) return;
        if (!response.headersSent) {
            response.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-cache" });
        }
        response.write(`event: ${event}\ndata: ${JSON.stringify(data)}\n\n`);
        if (response.writableLength > MAXIMUM_BUFFERED_BYTES) this.onOverflow();
    }
}
