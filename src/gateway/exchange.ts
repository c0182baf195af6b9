/**
 * One caller's request from its head to the end of its answer.
 *
 * The order is: route and key, body, stages, then attempts at the request's own service. A request that must not be
 * repeated is sent once; what happens after that is told as it is. A refusal (429, 503) is given only while nothing of
 * the request itself was sent to a target.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { Deadline } from "../model/index.js";
import type { PieceLossReason, StageResult } from "../stages/index.js";
import { runStages } from "../stages/run.js";
import { type ResponseBody, type ResponseHead, readBody } from "./attempt.js";
import { Attempts } from "./attempts.js";
import { chooseService, type Route } from "./configuration.js";
import type { RequestMetadata } from "./dialect.js";
import { sendGatewayResponse, sendTargetResponse, StreamWriter } from "./delivery.js";
import { EventSplitter } from "./eventstream.js";
import type { GatewayContext } from "./gateway.js";
import type { ExchangeResult, RoutedRequest } from "./routedrequest.js";
import { callerWaitLimitMs, firstEventTimeoutMs, eventGapTimeoutMs } from "./streamtimeouts.js";
import { readRequestBody } from "./requestbody.js";
import type { Target } from "./target.js";

/** Wait in milliseconds after which a caller whose request found no target comes back. */
const NO_TARGET_RETRY_MS = 500;

/** Largest plain answer in bytes that is held until it is complete. */
const MAXIMUM_ANSWER_BYTES = 16_777_216;

/** Time in milliseconds that is left for the engine when the stages' results are there. */
const FIRST_EVENT_RESERVE_MS = 150;

/** The exchange of one request. */
export class Exchange {
    private readonly abort = new AbortController();
    private readonly receivedAt = performance.now();
    private route: Route | undefined;
    private accountName: string | undefined;
    private attempts: Attempts | undefined;
    private stagesMs = 0;
    /** Time in milliseconds from the request to its stream's first event. */
    private firstEventMs: number | undefined;

    private constructor(
        private readonly context: GatewayContext,
        private readonly request: IncomingMessage,
        private readonly response: ServerResponse,
    ) {
        response.on("close", () => {
            if (!response.writableFinished) this.abort.abort();
        });
    }

    /** Serves one request; resolves when its answer has been given or its connection closed. */
    static async serve(context: GatewayContext, request: IncomingMessage, response: ServerResponse): Promise<void> {
        const exchange = new Exchange(context, request, response);
        const facts = context.dialect.readRequest(request.headers);
        const end = await exchange.run(facts);
        context.onRequestEnd(
            {
                id: facts.requestId,
                route: exchange.route?.name,
                account: exchange.accountName,
                outcome: end.outcome,
                status: end.status,
                reason: end.reason,
                attempts: exchange.attempts?.count ?? 0,
                targets: exchange.attempts?.triedTargets ?? [],
                stagesMs: Math.round(exchange.stagesMs),
                firstEventMs: exchange.firstEventMs === undefined ? undefined : Math.round(exchange.firstEventMs),
                tookMs: Math.round(performance.now() - exchange.receivedAt),
                configuration: context.configuration()?.version,
            },
            exchange.route,
            performance.now() - exchange.receivedAt,
        );
    }

    private async run(facts: RequestMetadata): Promise<ExchangeResult> {
        const configuration = this.context.configuration();
        if (configuration === undefined) return this.refuse("starting", NO_TARGET_RETRY_MS);
        const headerBytes = this.request.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
        const { limits } = configuration.content;
        if (headerBytes > limits.headerBytes) return this.reject(431, "headers are too long");
        const route = configuration.matchRoute(this.request.headers.host ?? "", this.request.url ?? "/");
        if (route === undefined) return this.reject(404, "no route matches");
        this.route = route;
        const authentication = configuration.authenticate(facts.key);
        if (!route.isPublic && authentication.kind === "unknownKey") return this.reject(401, "unknown key");
        const account = authentication.kind === "account" ? authentication.account : undefined;
        this.accountName = account?.name;
        if (this.context.isStopping()) return this.refuse("stopping", 0);
        const deadline = this.deadlineOf(facts, route);
        const body = await readRequestBody(this.request, limits.bodyBytes, deadline);
        if (body === "tooLong") return this.reject(413, "body is too long");
        if (body === "late") return this.answerOwn("refused", 408, "body did not arrive in time");
        if (body === "broken") return { outcome: "cancelled", status: 0, reason: "caller left while sending" };
        const service = chooseService(route.services, Math.random);
        if (service === undefined) return this.refuse("route has no service", NO_TARGET_RETRY_MS);
        this.context.retryBudgetOf(service).deposit();
        return this.serveOrder({
            route,
            service,
            metadata: facts,
            accountName: account?.name,
            priority: account?.priority ?? route.priority,
            method: this.request.method ?? "GET",
            path: this.request.url ?? "/",
            rawHeaders: this.request.rawHeaders,
            body: body.length > 0 || this.request.headers["content-length"] !== undefined ? body : undefined,
            deadline,
            receivedAt: this.receivedAt,
            signal: this.abort.signal,
        });
    }

    private deadlineOf(facts: RequestMetadata, route: Route): Deadline {
        const spent = performance.now() - this.receivedAt;
        const longest = Math.min(facts.deadlineMs ?? Number.POSITIVE_INFINITY, route.timeoutMs);
        return Deadline.after(longest - spent);
    }

    private async serveOrder(order: RoutedRequest): Promise<ExchangeResult> {
        const attempts = Attempts.create(this.context, order);
        this.attempts = attempts;
        const prepared = await this.prepare(order, attempts);
        if (prepared.kind === "ended") return prepared.end;
        const { inputs, release } = prepared;
        try {
            return order.route.streaming
                ? await this.serveStream(order, attempts, inputs, release)
                : await this.serveCall(order, attempts, inputs);
        } finally {
            release();
        }
    }

    /** Runs the stages of a request, if it has any. */
    private async prepare(
        order: RoutedRequest,
        attempts: Attempts,
    ): Promise<
        | { readonly kind: "ready"; readonly inputs: readonly StageResult[]; readonly release: () => void }
        | { readonly kind: "ended"; readonly end: ExchangeResult }
    > {
        const { route, metadata: facts } = order;
        if (!route.stages.some((_, index) => (facts.pieces[index] ?? 0) > 0)) {
            return { kind: "ready", inputs: [], release: () => undefined };
        }
        const startedAt = performance.now();
        const latestReady = Deadline.after(route.latencyObjectiveMs - (startedAt - order.receivedAt));
        const outcome = await runStages({
            requestId: facts.requestId ?? "",
            stages: route.stages,
            pieces: facts.pieces,
            key: facts.pieceKey,
            priority: order.priority,
            deadline: this.firstEventDeadline(order),
            targetTimeOf: stage => this.context.stageReadyBy(route, stage, latestReady),
            expectedMs: stage => this.context.expectedStageMs(route, stage),
            zone: attempts.preferredZone(),
            make: this.context.makePieces,
            release: this.context.releaseResults,
            signal: order.signal,
        });
        this.stagesMs = performance.now() - startedAt;
        if (outcome.kind === "ready") return outcome;
        return { kind: "ended", end: this.endWithoutStages(order, outcome.reason, outcome.retryAfterMs) };
    }

    /** When a stream's first event has to be there, since its caller waits no longer. */
    private firstEventDeadline({ route, deadline, receivedAt }: RoutedRequest): Deadline {
        if (!route.streaming) return deadline;
        const patienceMs = callerWaitLimitMs(route);
        return deadline.limitedTo(receivedAt + patienceMs - FIRST_EVENT_RESERVE_MS - performance.now());
    }

    private endWithoutStages(order: RoutedRequest, reason: PieceLossReason, retryAfterMs: number): ExchangeResult {
        if (order.signal.aborted) return { outcome: "cancelled", status: 0, reason: "caller left" };
        return this.refuse(`stage ${reason}`, Math.max(retryAfterMs, NO_TARGET_RETRY_MS));
    }

    /** A plain call: the answer is held until it is complete. */
    private async serveCall(
        order: RoutedRequest,
        attempts: Attempts,
        inputs: readonly StageResult[],
    ): Promise<ExchangeResult> {
        let broken: ExchangeResult | undefined;
        let failure: { readonly head: ResponseHead; readonly bytes: Buffer } | undefined;
        while (broken === undefined || attempts.mayRetry()) {
            const target = await attempts.chooseTarget(inputs);
            if (target === undefined) break;
            const startedAt = performance.now();
            const sent = await attempts.send(target, { inputs });
            if (sent.kind !== "answered") {
                const end = attempts.handleUnanswered(target, sent);
                if (end === "again") continue;
                if (isFinal(end)) return this.finishOwn(broken === undefined ? end : mayHaveRun(end));
                broken = end;
                continue;
            }
            const facts = this.context.dialect.readResponse(sent.head.status, sent.head.headers);
            const { outcome, bytes } = await readBody(sent.body, order, MAXIMUM_ANSWER_BYTES);
            this.context.targets.recordEnded(target);
            if (facts.notExecuted) {
                attempts.handleDeclined(target, facts.wrongTarget);
                if (broken === undefined && !attempts.mayTryAnotherTarget()) {
                    return this.refuse("targets are full", NO_TARGET_RETRY_MS);
                }
                continue;
            }
            if (outcome.kind === "cancelled") return { outcome: "cancelled", status: 0, reason: "caller left" };
            const own = facts.requestId === undefined || facts.requestId === order.metadata.requestId;
            if (outcome.kind !== "complete" || !own) {
                this.context.targets.recordFailure(target);
                broken = {
                    outcome: "failed",
                    status: 502,
                    reason: own ? `answer ${outcome.kind}` : "answer of another",
                };
                if (outcome.kind === "expired") return this.answerOwn("expired", 504, "answer took too long");
                continue;
            }
            if (sent.head.status >= 500) {
                this.context.targets.recordFailure(target);
                failure = { head: sent.head, bytes };
                broken = { outcome: "failed", status: sent.head.status, reason: "target failed" };
                continue;
            }
            this.context.targets.recordSuccess(
                target,
                (performance.now() - startedAt) / order.route.latencyObjectiveMs,
            );
            return this.deliver(sent.head, bytes);
        }
        if (failure !== undefined) return this.deliver(failure.head, failure.bytes);
        if (broken !== undefined) return this.finishOwn(broken);
        return this.endWithoutTarget(order);
    }

    /** A generation: events are passed on as they come, and a broken stream is continued where the route allows it. */
    private async serveStream(
        order: RoutedRequest,
        attempts: Attempts,
        inputs: readonly StageResult[],
        releaseInputs: () => void,
    ): Promise<ExchangeResult> {
        const delivery = new StreamWriter(this.response, order.metadata.lastEventId, () =>
            this.context.closesConnections(),
        );
        let broken: ExchangeResult | undefined;
        while (broken === undefined || attempts.mayRetry()) {
            const target = await attempts.chooseTarget(inputs);
            if (target === undefined) break;
            const promptTokens = attempts.uncachedTokens(target);
            const headTimeoutMs = order.route.idempotent ? firstEventTimeoutMs(order.route) : undefined;
            const startedAt = performance.now();
            const sent = await attempts.send(target, { inputs, lastEventId: delivery.lastDeliveredId, headTimeoutMs });
            if (sent.kind !== "answered") {
                this.context.targets.recordPromptRead(target, promptTokens);
                const end = attempts.handleUnanswered(target, sent);
                if (end === "again") continue;
                if (isFinal(end)) return this.finishStream(delivery, broken === undefined ? end : mayHaveRun(end));
                broken = end;
                continue;
            }
            const facts = this.context.dialect.readResponse(sent.head.status, sent.head.headers);
            this.context.targets.recordLoad(target, facts.load);
            if (sent.head.status !== 200) {
                const { outcome, bytes } = await readBody(sent.body, order, MAXIMUM_ANSWER_BYTES);
                this.context.targets.recordPromptRead(target, promptTokens);
                this.context.targets.recordEnded(target);
                if (facts.notExecuted) {
                    if (sent.head.status === 409) return this.finishStream(delivery, broken ?? inputsGone());
                    attempts.handleDeclined(target, facts.wrongTarget);
                    if (broken === undefined && !attempts.mayTryAnotherTarget()) break;
                    continue;
                }
                if (sent.head.status >= 500) this.context.targets.recordFailure(target);
                broken = { outcome: "failed", status: sent.head.status, reason: "target failed" };
                const last = !attempts.mayRetry();
                if (outcome.kind === "complete" && last && !delivery.started) return this.deliver(sent.head, bytes);
                continue;
            }
            const outcome = await this.passOn(order, target, sent.head, sent.body, delivery, () => {
                this.firstEventMs ??= performance.now() - this.receivedAt;
                this.context.firstEventTimes.record(order.route.name, performance.now() - startedAt);
                this.context.targets.recordPromptRead(target, promptTokens);
                releaseInputs();
                this.context.targets.recordSuccess(
                    target,
                    (performance.now() - startedAt) / order.route.latencyObjectiveMs,
                );
            });
            this.context.targets.recordPromptRead(target, promptTokens);
            this.context.targets.recordEnded(target);
            if (outcome === undefined) return { outcome: "answered", status: 200, reason: "complete" };
            if (outcome.outcome === "cancelled" || outcome.outcome === "expired") {
                return this.finishStream(delivery, outcome);
            }
            this.context.targets.recordFailure(target);
            this.context.onDecision("stream broken", {
                id: order.metadata.requestId,
                target: target.name,
                reason: outcome.reason,
                delivered: delivery.lastDeliveredId,
            });
            broken = outcome;
        }
        if (broken !== undefined) return this.finishStream(delivery, broken);
        return this.endWithoutTarget(order);
    }

    /** Passes a stream on to its end; undefined when it is complete. */
    private async passOn(
        order: RoutedRequest,
        target: Target,
        head: ResponseHead,
        body: ResponseBody,
        delivery: StreamWriter,
        onFirstEvent: () => void,
    ): Promise<ExchangeResult | undefined> {
        const splitter = EventSplitter.create();
        let first = true;
        const { route } = order;
        const outcome = await body.read({
            deadline: order.deadline,
            signal: order.signal,
            stallTimeoutMs: route.idempotent ? eventGapTimeoutMs(route) : undefined,
            onChunk: chunk => {
                const events = splitter.push(chunk);
                if (events.length === 0) return undefined;
                if (first) onFirstEvent();
                first = false;
                return delivery.write(head, events);
            },
        });
        if (outcome.kind === "complete" && splitter.pendingBytes === 0) {
            delivery.end(head);
            return undefined;
        }
        switch (outcome.kind) {
            case "cancelled":
                return { outcome: "cancelled", status: 200, reason: "caller left" };
            case "expired":
                return { outcome: "expired", status: 504, reason: "stream took too long" };
            case "complete":
                return { outcome: "failed", status: 502, reason: "stream ended within an event" };
            default:
                return { outcome: "failed", status: 502, reason: `stream ${outcome.kind} at ${target.name}` };
        }
    }

    private endWithoutTarget(order: RoutedRequest): ExchangeResult {
        if (order.signal.aborted) return { outcome: "cancelled", status: 0, reason: "caller left" };
        return this.refuse("no target can be used", NO_TARGET_RETRY_MS);
    }

    private deliver(head: ResponseHead, bytes: Buffer): ExchangeResult {
        sendTargetResponse(this.response, head, bytes, this.context.closesConnections());
        return { outcome: "answered", status: head.status, reason: "complete" };
    }

    private refuse(reason: string, retryAfterMs: number): ExchangeResult {
        return this.answerOwn("refused", 503, reason, retryAfterMs);
    }

    /** Rejects a request that is wrong or not allowed. */
    private reject(status: number, reason: string): ExchangeResult {
        return this.answerOwn("rejected", status, reason);
    }

    private finishOwn(end: ExchangeResult): ExchangeResult {
        if (end.outcome === "cancelled") return end;
        return this.answerOwn(end.outcome, end.status, end.reason);
    }

    /** Ends a stream that is not complete: its connection is closed if anything of it was delivered. */
    private finishStream(delivery: StreamWriter, end: ExchangeResult): ExchangeResult {
        if (!delivery.started) return this.finishOwn(end);
        this.response.destroy();
        return end.outcome === "cancelled" ? end : { ...end, outcome: "brokenOff" };
    }

    private answerOwn(
        outcome: ExchangeResult["outcome"],
        status: number,
        reason: string,
        retryAfterMs?: number,
    ): ExchangeResult {
        const closing = this.context.closesConnections() || !this.request.complete;
        sendGatewayResponse(this.response, { status, reason, retryAfterMs }, closing);
        return { outcome, status, reason };
    }
}

function isFinal({ outcome }: ExchangeResult): boolean {
    return outcome === "cancelled" || outcome === "expired";
}

/** The end of a request of which an earlier attempt may have run: it is never told as not run. */
function mayHaveRun(end: ExchangeResult): ExchangeResult {
    return end.status === 503 ? { ...end, status: 504 } : end;
}

function inputsGone(): ExchangeResult {
    return { outcome: "failed", status: 503, reason: "results of stages are gone" };
}
