/** One attempt of a stream: from sending the request to a target until its answer ends. */
import type { MemoryAccount } from "../memory/index.js";
import { withTimeout } from "../model/pause.js";
import type { AttemptOutcome, ResponseHead } from "./attempt.js";
import type { AttemptOptions } from "./attempts.js";
import type { StreamWriter } from "./delivery.js";
import type { ResponseMetadata } from "./dialect.js";
import { HeldBody, type HeldBodyOutcome } from "./heldbody.js";
import { isResponseTo } from "./results.js";
import type { ExchangeResult, RoutedRequest } from "./routedrequest.js";
import { forwardStream } from "./streamforwarding.js";
import { eventGapTimeoutMs, firstEventTimeoutMs } from "./streamtimeouts.js";
import type { Target } from "./target.js";

/** Size limit in bytes of a response that is no stream. */
const MAXIMUM_RESPONSE_BYTES = 4_194_304;

/** How an attempt ended. */
export type StreamAttemptEnd =
    | { readonly kind: "complete" }
    | { readonly kind: "unanswered"; readonly outcome: Exclude<AttemptOutcome, { kind: "answered" }> }
    /** The target has sent the answer to another request. */
    | { readonly kind: "misdirected" }
    /** The target states that it has not run the request. */
    | { readonly kind: "declined"; readonly head: ResponseHead; readonly metadata: ResponseMetadata }
    /** An answer with another status than 200. */
    | {
          readonly kind: "refused";
          readonly head: ResponseHead;
          readonly outcome: HeldBodyOutcome;
          readonly body: HeldBody;
      }
    /** The stream ended before its end. */
    | { readonly kind: "incomplete"; readonly result: ExchangeResult }
    /** The request goes on at another target. */
    | { readonly kind: "left" };

/** Options of sending the request of an attempt. */
type StreamSendOptions = Required<Pick<AttemptOptions, "signal" | "onOpen" | "onSending">>;

/** What an attempt depends on. */
export interface StreamAttemptOptions {
    /** Memory held for answers. */
    readonly memory: MemoryAccount;
    readonly request: RoutedRequest;
    readonly target: Target;
    /** Prompt tokens that the target has to process. */
    readonly promptTokens: number;
    readonly writer: StreamWriter;
    readonly send: (options: StreamSendOptions) => Promise<AttemptOutcome>;
    readonly readResponse: (head: ResponseHead) => ResponseMetadata;
    /** Whether the attempt may write an event, or else a comment, to the caller: another attempt may be in progress. */
    readonly claim: (attempt: StreamAttempt, isEvent: boolean) => boolean;
    readonly onFirstEvent: (attempt: StreamAttempt) => void;
    /** Called when something is received from the target. */
    readonly onHeard: () => void;
}

/** An attempt in progress. */
export class StreamAttempt {
    readonly startedAt = performance.now();
    readonly ended: Promise<void>;
    private heard = performance.now();
    private isSentValue = false;
    private hasHead = false;
    /** Whether the caller's connection is full, so that nothing is read from the target. */
    private isCallerBusy = false;
    private hasEventValue = false;
    private endValue: StreamAttemptEnd | undefined;
    private readonly abortController = new AbortController();

    private constructor(private readonly options: StreamAttemptOptions) {
        const signal = AbortSignal.any([options.request.signal, this.abortController.signal]);
        this.ended = this.run(signal).then(end => {
            if (this.endValue !== undefined && end.kind === "refused") end.body.release();
            this.endValue ??= end;
        });
    }

    static start(options: StreamAttemptOptions): StreamAttempt {
        return new StreamAttempt(options);
    }

    get target(): Target {
        return this.options.target;
    }

    get promptTokens(): number {
        return this.options.promptTokens;
    }

    /** How the attempt ended; undefined while it is in progress. */
    get end(): StreamAttemptEnd | undefined {
        return this.endValue;
    }

    /** Whether the request was sent; until then the target cannot have run it. */
    get isSent(): boolean {
        return this.isSentValue;
    }

    /** Whether an event was received. */
    get hasEvent(): boolean {
        return this.hasEventValue;
    }

    /** Monotonic time in milliseconds at which the target was last heard, or the request sent. */
    get heardAt(): number {
        return this.heard;
    }

    /** Time in milliseconds for which the target has sent nothing although the caller takes what it sends. */
    get silentMs(): number {
        return this.isCallerBusy ? 0 : performance.now() - this.heard;
    }

    /** Whether the target has been silent for longer than it usually is. */
    get isSilent(): boolean {
        return this.silentMs >= this.silenceTimeoutMs;
    }

    private get silenceTimeoutMs(): number {
        const { route } = this.options.request;
        return this.hasHead ? eventGapTimeoutMs(route) : firstEventTimeoutMs(route);
    }

    /** Resolves when the attempt has ended, or when its target is silent. */
    async endedOrSilent(): Promise<void> {
        while (this.end === undefined && !this.isSilent) {
            await withTimeout(this.ended, Math.max(1, this.silenceTimeoutMs - this.silentMs), undefined);
        }
    }

    /** Ends the attempt at once; nothing more of it is written. */
    leave(): void {
        this.endValue ??= { kind: "left" };
        this.abortController.abort();
    }

    private async run(signal: AbortSignal): Promise<StreamAttemptEnd> {
        const { memory, request, target, writer, send, readResponse, claim, onFirstEvent } = this.options;
        // Until then the target could not answer, though the connection may have taken long, or this process to see it.
        const resetSilence = (): void => void (this.heard = performance.now());
        const outcome = await send({
            signal,
            onOpen: resetSilence,
            onSending: () => {
                this.isSentValue = true;
                resetSilence();
            },
        });
        if (outcome.kind !== "answered") return { kind: "unanswered", outcome };
        const { head, body } = outcome;
        const metadata = readResponse(head);
        this.recordHeard();
        this.hasHead = true;
        if (!isResponseTo(request, metadata)) {
            body.discard();
            return { kind: "misdirected" };
        }
        if (head.status !== 200 && metadata.notExecuted) {
            body.discard();
            return { kind: "declined", head, metadata };
        }
        if (head.status !== 200) {
            const limits = { deadline: request.deadline, signal };
            const holding = { memory, party: "targets", maximumBytes: MAXIMUM_RESPONSE_BYTES } as const;
            return { kind: "refused", head, ...(await HeldBody.read(body, limits, holding)) };
        }
        const result = await forwardStream(request, head, body, writer, {
            memory,
            targetName: target.name,
            signal,
            claim: isEvent => this.end === undefined && claim(this, isEvent),
            onFirstEvent: () => {
                this.hasEventValue = true;
                onFirstEvent(this);
            },
            onChunk: () => this.recordHeard(),
            onCallerBusy: isBusy => {
                this.isCallerBusy = isBusy;
                this.heard = performance.now();
            },
        });
        return result === undefined ? { kind: "complete" } : { kind: "incomplete", result };
    }

    private recordHeard(): void {
        this.options.onHeard();
        // Not before the time that was recorded for the target, or the target would count as heard since.
        this.heard = performance.now();
    }
}
