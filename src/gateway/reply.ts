/** The response to one caller's request, unless it is an event stream, and what it means for the request's result. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { ResponseHead } from "./attempt.js";
import { sendGatewayResponse, sendTargetResponse } from "./delivery.js";
import { type HeldBody, NO_MEMORY } from "./heldbody.js";
import type { ExchangeResult } from "./routedrequest.js";

/** Responds to one request. */
export class Reply {
    private givenUp = false;
    private delivery = Promise.resolve();

    private constructor(
        private readonly request: IncomingMessage,
        private readonly response: ServerResponse,
        private readonly closesConnection: () => boolean,
    ) {}

    /** `closesConnection` says whether the response tells the caller to close the connection. */
    static to(request: IncomingMessage, response: ServerResponse, closesConnection: () => boolean): Reply {
        return new Reply(request, response, closesConnection);
    }

    /** Sends a target's complete response. Its bytes are held until the caller has taken them, or is gone. */
    forward(head: ResponseHead, body: HeldBody): ExchangeResult {
        if (body.failure !== undefined) return this.respond("failed", 502, NO_MEMORY);
        this.delivery = new Promise(resolve => {
            const finish = (): void => {
                this.response.off("finish", finish).off("close", finish);
                body.release();
                resolve();
            };
            this.response.on("finish", finish).on("close", finish);
            if (this.response.closed) finish();
        });
        body.whenGivenUp(() => {
            this.givenUp = true;
            // A response without a length would look complete if its connection ended in order.
            this.response.socket?.resetAndDestroy();
            this.response.destroy();
        });
        sendTargetResponse(this.response, head, body.bytes, this.closesConnection());
        return { outcome: "answered", status: head.status, reason: "complete" };
    }

    /** Waits until a forwarded response is no longer held, and returns the result of its request. */
    async delivered(result: ExchangeResult): Promise<ExchangeResult> {
        await this.delivery;
        return this.givenUp ? { ...result, outcome: "brokenOff", reason: NO_MEMORY } : result;
    }

    /** Refuses a request that no target has run. */
    refuse(reason: string, retryAfterMs: number): ExchangeResult {
        return this.respond("refused", 503, reason, retryAfterMs);
    }

    /** Rejects a request that is invalid or not allowed. */
    reject(status: number, reason: string): ExchangeResult {
        return this.respond("rejected", status, reason);
    }

    /** Responds with a result, unless its caller has left. */
    endWith(result: ExchangeResult): ExchangeResult {
        if (result.outcome === "cancelled") return result;
        return this.respond(result.outcome, result.status, result.reason);
    }

    /** Sends the gateway's own response. */
    respond(outcome: ExchangeResult["outcome"], status: number, reason: string, retryAfterMs?: number): ExchangeResult {
        // What follows on the connection could otherwise be the rest of this request.
        const isRead = this.request.complete || !hasBody(this.request);
        const closesConnection = this.closesConnection() || !isRead;
        sendGatewayResponse(this.response, { status, reason, retryAfterMs }, closesConnection);
        return { outcome, status, reason, retryAfterMs };
    }
}

/** Whether a request has a body. Node reports one without a body as complete only after it was passed on. */
function hasBody({ headers }: IncomingMessage): boolean {
    return headers["transfer-encoding"] !== undefined || Number(headers["content-length"] ?? 0) > 0;
}
