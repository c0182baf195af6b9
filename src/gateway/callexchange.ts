/** Serves a plain call: goes from target to target until one has answered, and buffers the answer until it is complete. */
import type { StageResult } from "../stages/index.js";
import type { ResponseHead } from "./attempt.js";
import type { Attempts } from "./attempts.js";
import { CallAttempt, type CallEnd } from "./callattempt.js";
import type { GatewayContext } from "./gateway.js";
import type { HeldBody } from "./heldbody.js";
import { NO_TARGET_RETRY_MS } from "./holdbacks.js";
import type { Reply } from "./reply.js";
import { withoutRefusalStatus } from "./results.js";
import type { ExchangeResult, RoutedRequest } from "./routedrequest.js";
import type { Target } from "./target.js";

/** What a plain call depends on. */
export interface CallExchangeOptions {
    readonly context: GatewayContext;
    readonly request: RoutedRequest;
    readonly attempts: Attempts;
    readonly inputs: readonly StageResult[];
    readonly reply: Reply;
    /** Ends a request that was not sent. */
    readonly endUnsent: () => ExchangeResult;
}

/** One plain call. */
export class CallExchange {
    /** What the caller gets of a target that may have run the request, unless another one answers. */
    private failure: ExchangeResult | undefined;
    private errorResponse: { readonly head: ResponseHead; readonly body: HeldBody } | undefined;

    private constructor(private readonly options: CallExchangeOptions) {}

    static async serve(options: CallExchangeOptions): Promise<ExchangeResult> {
        const exchange = new CallExchange(options);
        try {
            return await exchange.run();
        } finally {
            exchange.errorResponse?.body.release();
        }
    }

    private async run(): Promise<ExchangeResult> {
        const { attempts, inputs } = this.options;
        while (this.failure === undefined || attempts.mayRetry()) {
            const target = await attempts.nextTarget(inputs);
            if (target === undefined) break;
            const result = this.settle(await this.attempt(target));
            if (result !== undefined) return result;
        }
        return this.endWithoutAnswer();
    }

    private attempt(target: Target): Promise<CallEnd> {
        const { context, request, attempts, inputs } = this.options;
        return CallAttempt.start({ context, request, attempts, target, inputs }).ended;
    }

    /** The result of the request after an attempt; undefined if it may be sent once more. */
    private settle(end: CallEnd): ExchangeResult | undefined {
        const { attempts, reply } = this.options;
        switch (end.kind) {
            case "answered":
                return reply.forward(end.head, end.body);
            case "final":
                return reply.endWith(this.failure === undefined ? end.result : withoutRefusalStatus(end.result));
            case "targetFailed":
                this.errorResponse?.body.release();
                this.errorResponse = end;
                this.failure = { outcome: "failed", status: end.head.status, reason: "target failed" };
                return undefined;
            case "failed":
                this.failure = end.result;
                return undefined;
            case "declined":
                if (this.failure !== undefined || attempts.mayTryAnotherTarget()) return undefined;
                return reply.refuse("targets are full", NO_TARGET_RETRY_MS);
            case "unsent":
            case "left":
                return undefined;
        }
    }

    private endWithoutAnswer(): ExchangeResult {
        const { reply, endUnsent } = this.options;
        const { errorResponse, failure } = this;
        if (errorResponse !== undefined) {
            this.errorResponse = undefined;
            return reply.forward(errorResponse.head, errorResponse.body);
        }
        return failure === undefined ? endUnsent() : reply.endWith(failure);
    }
}
