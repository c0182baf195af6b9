/**
 * Serves one caller's request, from its head to the end of the response.
 *
 * The steps are: routing and authentication, reading the body, running the stages, then attempts at the request's own
 * service. A non-idempotent request is sent once, and the caller gets whatever comes of it. A refusal (429, 503) means
 * that the request itself was not sent to a target.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { describeError } from "../model/error.js";
import { Deadline } from "../model/index.js";
import type { LineFields } from "../observability/index.js";
import { MAXIMUM_PIECES, PIECE_BYTES, type PieceLossReason, type StageResult } from "../stages/index.js";
import { runStages } from "../stages/run.js";
import { Attempts } from "./attempts.js";
import { CallExchange } from "./callexchange.js";
import { chooseService, type Route } from "./configuration.js";
import type { RequestConnection } from "./connection.js";
import type { RequestMetadata } from "./dialect.js";
import { failResponse } from "./delivery.js";
import type { GatewayContext } from "./gateway.js";
import { NO_TARGET_RETRY_MS, STOPPING } from "./holdbacks.js";
import { Reply } from "./reply.js";
import type { ExchangeResult, RoutedRequest } from "./routedrequest.js";
import { StreamExchange } from "./streamexchange.js";
import { callerWaitLimitMs } from "./streamtimeouts.js";
import { RequestBody, type RequestBodyOutcome } from "./requestbody.js";
import { lazyTraitsOf } from "./traits.js";

/** Time in milliseconds after which a request may come back for whose body there was no memory. */
const NO_MEMORY_RETRY_MS = 1_000;

/** Time in milliseconds that the stages leave the engine before the caller stops waiting. */
const FIRST_EVENT_RESERVE_MS = 150;

/** A request as its connection hands it over. */
export interface IncomingExchange {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    /** Monotonic time in milliseconds at which the request's head was read. */
    readonly receivedAt: number;
    readonly connection: RequestConnection;
    /** Whether the response tells the caller to close the connection; asked when the response is sent. */
    readonly closesConnection: () => boolean;
}

/** How the stages of a request ended. */
type StagesEnd =
    | { readonly kind: "ready"; readonly inputs: readonly StageResult[]; readonly release: () => void }
    | { readonly kind: "ended"; readonly result: ExchangeResult };

/** One request and its response. */
export class Exchange {
    private readonly incoming: IncomingMessage;
    private readonly response: ServerResponse;
    private readonly receivedAt: number;
    /** Monotonic time in milliseconds at which the requests before it on its connection had ended. */
    private readonly servedAt = performance.now();
    private readonly connection: RequestConnection;
    private readonly closesConnection: () => boolean;
    private readonly abortController = new AbortController();
    private route: Route | undefined;
    private accountName: string | undefined;
    private body: RequestBody | undefined;
    private attempts: Attempts | undefined;
    private stagesMs = 0;
    /** Time in milliseconds from the request to its stream's first event. */
    private firstEventMs: number | undefined;
    /** Whether a planned stop has left no more time for the request. */
    private isCutByStop = false;
    private readonly cutByStop: Promise<"cut">;
    /** Monotonic time in milliseconds at which the request will probably have ended; 0 if it keeps nothing open. */
    private expectedEndAt = (): number => 0;
    private readonly reply: Reply;

    private constructor(
        private readonly context: GatewayContext,
        { request, response, receivedAt, connection, closesConnection }: IncomingExchange,
    ) {
        this.incoming = request;
        this.response = response;
        this.receivedAt = receivedAt;
        this.connection = connection;
        this.closesConnection = closesConnection;
        this.reply = Reply.to(request, response, closesConnection);
        let reportCut = (): void => undefined;
        this.cutByStop = new Promise(resolve => (reportCut = () => resolve("cut")));
        const cancelCut = context.shutdown.onDue(
            () => {
                this.isCutByStop = true;
                this.abortController.abort();
                reportCut();
            },
            () => this.expectedEndAt(),
        );
        response.on("close", cancelCut);
        connection.departure.abortWork(response, this.abortController);
    }

    /** Serves one request; resolves when the response was given or the connection closed. */
    static async serve(context: GatewayContext, incoming: IncomingExchange): Promise<void> {
        const exchange = new Exchange(context, incoming);
        const id = context.dialect.readRequest(incoming.request.headers).requestId;
        const handled = await exchange
            .handle()
            .catch((error: unknown) => exchange.endAfterException(id, error))
            .finally(() => exchange.body?.close());
        const given = handled.outcome === "cancelled" && exchange.isCutByStop ? exchange.endCut(handled) : handled;
        if (given.outcome === "answered") exchange.contain(() => exchange.attempts?.recordTimes());
        const tookMs = performance.now() - exchange.receivedAt;
        const result = await exchange.reply.delivered(given);
        context.onRequestEnd(
            {
                id,
                route: exchange.route?.name,
                account: exchange.accountName,
                outcome: result.outcome,
                status: result.status,
                reason: result.reason,
                retryAfterMs: result.retryAfterMs === undefined ? undefined : Math.round(result.retryAfterMs),
                attempts: exchange.attempts?.count ?? 0,
                targets: exchange.attempts?.triedTargets ?? [],
                stagesMs: Math.round(exchange.stagesMs),
                firstEventMs: exchange.firstEventMs === undefined ? undefined : Math.round(exchange.firstEventMs),
                tookMs: Math.round(tookMs),
                configuration: context.configuration()?.version,
                departure: result.outcome === "cancelled" ? exchange.departure() : undefined,
            },
            exchange.route,
            tookMs,
        );
    }

    /** For the log, how the request arrived and its caller left, in milliseconds before or after its head was read. */
    private departure(): LineFields {
        const { receivedAt, servedAt, connection } = this;
        const sentAt = this.attempts?.lastSentAt;
        const leftAt = connection.departure.at;
        return {
            connectionMs: Math.round(receivedAt - connection.openedAt),
            acceptingMs: Math.round(connection.acceptingMs),
            waitedMs: Math.round(servedAt - receivedAt),
            sentMs: sentAt === undefined ? undefined : Math.round(sentAt - receivedAt),
            leftMs: leftAt === undefined ? undefined : Math.round(leftAt - receivedAt),
        };
    }

    private async handle(): Promise<ExchangeResult> {
        const metadata = this.context.dialect.readRequest(this.incoming.headers);
        const configuration = this.context.configuration();
        if (configuration === undefined) return this.reply.refuse("starting", NO_TARGET_RETRY_MS);
        const headerBytes = this.incoming.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
        const { limits } = configuration.content;
        if (headerBytes > limits.headerBytes) return this.reply.reject(431, "headers are too long");
        const route = configuration.matchRoute(this.incoming.headers.host ?? "", this.incoming.url ?? "/");
        if (route === undefined) return this.reply.reject(404, "no route matches");
        this.route = route;
        const authentication = configuration.authenticate(metadata.key);
        if (!route.isPublic && authentication.kind === "unknownKey") return this.reply.reject(401, "unknown key");
        const account = authentication.kind === "account" ? authentication.account : undefined;
        this.accountName = account?.name;
        const { shutdown, requestTimes } = this.context;
        const ownDeadline = this.deadlineOf(metadata, route);
        const usualMs = requestTimes.usualMs(route.name);
        if (this.context.isStopping() || !shutdown.hasTimeFor(usualMs, ownDeadline)) {
            return this.reply.refuse(STOPPING, this.context.stopReturnMs());
        }
        if (metadata.pieces.some(count => count > MAXIMUM_PIECES)) return this.reply.reject(400, "too many pieces");
        const usualEndAt = this.receivedAt + usualMs;
        this.expectedEndAt = () => {
            const usualLeftMs = usualEndAt - performance.now();
            const isSent = (this.attempts?.count ?? 0) > 0;
            // One that was not sent and does not fit is refused.
            if (!isSent && !shutdown.hasTimeFor(usualLeftMs, ownDeadline)) return 0;
            // One that has taken longer than usual may last until its deadline.
            return usualLeftMs > 0 ? Math.min(usualEndAt, ownDeadline.at) : ownDeadline.at;
        };
        this.body = RequestBody.read(this.incoming, {
            account: this.context.memory,
            party: "callers",
            maximumBytes: limits.bodyBytes,
            deadline: ownDeadline,
        });
        const read = await Promise.race([this.body.outcome, this.cutByStop]);
        if (read === "cut") return { outcome: "cancelled", status: 0, reason: STOPPING };
        if (read.kind !== "read") return this.endWithoutBody(read.kind);
        const body = read.bytes;
        const service = chooseService(route.services, Math.random);
        if (service === undefined) return this.reply.refuse("route has no service", NO_TARGET_RETRY_MS);
        const content = {
            method: this.incoming.method ?? "GET",
            path: this.incoming.url ?? "/",
            accountName: account?.name,
            body: body.length > 0 || this.incoming.headers["content-length"] !== undefined ? body : undefined,
        };
        const traits = lazyTraitsOf({ ...content, promptParts: metadata.promptParts });
        this.context.retryBudgetOf(service).deposit();
        this.context.hedging?.budgetOf(service).recordRequest();
        return this.serveRouted({
            route,
            service,
            metadata,
            ...content,
            priority: account?.priority ?? route.priority,
            rawHeaders: this.incoming.rawHeaders,
            traits,
            ownDeadline,
            get deadline() {
                return shutdown.limit(ownDeadline);
            },
            receivedAt: this.receivedAt,
            watchInput: () => this.connection.watchInput(),
            signal: this.abortController.signal,
        });
    }

    /** Ends a request whose body was not read. It was not sent to a target. */
    private endWithoutBody(kind: Exclude<RequestBodyOutcome["kind"], "read">): ExchangeResult {
        switch (kind) {
            case "tooLong":
                return this.reply.reject(413, "body is too long");
            case "tooFragmented":
                return this.reply.reject(413, "body has too many parts");
            case "noMemory":
                return this.reply.refuse("no memory for the body", NO_MEMORY_RETRY_MS);
            case "late":
                return this.reply.respond("refused", 408, "body did not arrive in time");
            case "malformed":
                return this.reply.reject(400, "body is malformed");
            case "broken":
                return { outcome: "cancelled", status: 0, reason: "caller left while sending" };
        }
    }

    /** Ends a request whose handling has thrown, so that the others go on. Nobody knows whether a target has run it. */
    private endAfterException(id: string | undefined, error: unknown): ExchangeResult {
        this.context.onDecision("request failed unexpectedly", { id, error: describeError(error) });
        const result = { outcome: "failed", status: 500, reason: "unexpected error" } as const;
        failResponse(this.response, result.reason);
        return result;
    }

    /** Does what the response does not depend on: an exception in it is logged, and the request goes on. */
    private contain(task: () => void): void {
        try {
            task();
        } catch (error) {
            const id = this.context.dialect.readRequest(this.incoming.headers).requestId;
            this.context.onDecision("request failed unexpectedly", { id, error: describeError(error) });
        }
    }

    private deadlineOf(metadata: RequestMetadata, route: Route): Deadline {
        const spent = performance.now() - this.receivedAt;
        const longest = Math.min(metadata.deadlineMs ?? Number.POSITIVE_INFINITY, route.timeoutMs);
        return Deadline.after(longest - spent);
    }

    private async serveRouted(request: RoutedRequest): Promise<ExchangeResult> {
        const attempts = Attempts.create(this.context, request);
        this.attempts = attempts;
        try {
            return await this.prepareAndSend(request, attempts);
        } finally {
            this.contain(() => attempts.end());
        }
    }

    private async prepareAndSend(request: RoutedRequest, attempts: Attempts): Promise<ExchangeResult> {
        const holdBack = attempts.findHoldBack(this.expectedStagesMs(request));
        if (holdBack !== undefined) return this.reply.refuse(holdBack.reason, holdBack.retryAfterMs);
        const prepared = await this.runRequestStages(request, attempts);
        if (prepared.kind === "ended") return prepared.result;
        const { inputs, release } = prepared;
        try {
            return request.route.streaming
                ? await this.serveStream(request, attempts, inputs, release)
                : await this.serveCall(request, attempts, inputs);
        } finally {
            release();
        }
    }

    private expectedStagesMs({ route, metadata }: RoutedRequest): number {
        return route.stages.reduce((sum, _, index) => {
            const hasPieces = (metadata.pieces[index] ?? 0) > 0;
            return hasPieces ? sum + this.context.expectedStageMs(route, index) : sum;
        }, 0);
    }

    /** Runs the stages of a request, if it has any. */
    private async runRequestStages(request: RoutedRequest, attempts: Attempts): Promise<StagesEnd> {
        const { route, metadata } = request;
        const pieceCount = route.stages.reduce((sum, _, index) => sum + (metadata.pieces[index] ?? 0), 0);
        if (pieceCount === 0) return { kind: "ready", inputs: [], release: () => undefined };
        // An order for pieces goes out on a connection that is open, so nothing is read before it otherwise.
        await this.connection.catchUp();
        if (request.signal.aborted) {
            return { kind: "ended", result: { outcome: "cancelled", status: 0, reason: "caller left" } };
        }
        const holding = this.context.memory.open("callers", () => undefined);
        try {
            holding.resize(pieceCount * PIECE_BYTES);
            if (holding.retain()) return await this.runPieces(request, attempts);
            const result = this.reply.refuse("no memory for the pieces", NO_MEMORY_RETRY_MS);
            return { kind: "ended", result };
        } finally {
            holding.close();
        }
    }

    private async runPieces(request: RoutedRequest, attempts: Attempts): Promise<StagesEnd> {
        const { route, metadata } = request;
        const startedAt = performance.now();
        const latestReady = Deadline.after(route.latencyObjectiveMs - (startedAt - request.receivedAt));
        const outcome = await runStages({
            requestId: metadata.requestId ?? "",
            stages: route.stages,
            pieces: metadata.pieces,
            key: metadata.pieceKey,
            priority: request.priority,
            deadline: this.firstEventDeadline(request),
            targetTimeOf: stage => this.context.stageReadyBy(route, stage, latestReady),
            expectedMs: stage => this.context.expectedStageMs(route, stage),
            zone: attempts.preferredZone(),
            make: this.context.makePieces,
            release: (...results) => this.contain(() => this.context.releaseResults(...results)),
            onTaskFailure: fields =>
                this.context.onDecision("task failed unexpectedly", { id: metadata.requestId, ...fields }),
            signal: request.signal,
        });
        this.stagesMs = performance.now() - startedAt;
        if (outcome.kind === "ready") return outcome;
        return { kind: "ended", result: this.endAfterStageLoss(request, outcome.reason, outcome.retryAfterMs) };
    }

    /** Deadline of the stages: for a stream, early enough for the first event to reach a caller that still waits. */
    private firstEventDeadline({ route, deadline, receivedAt }: RoutedRequest): Deadline {
        if (!route.streaming) return deadline;
        const waitLimitMs = callerWaitLimitMs(route);
        return deadline.limitedTo(receivedAt + waitLimitMs - FIRST_EVENT_RESERVE_MS - performance.now());
    }

    private endAfterStageLoss(request: RoutedRequest, reason: PieceLossReason, retryAfterMs: number): ExchangeResult {
        if (request.signal.aborted) return { outcome: "cancelled", status: 0, reason: "caller left" };
        return this.reply.refuse(`stage ${reason}`, Math.max(retryAfterMs, NO_TARGET_RETRY_MS));
    }

    private serveCall(
        request: RoutedRequest,
        attempts: Attempts,
        inputs: readonly StageResult[],
    ): Promise<ExchangeResult> {
        const { context, reply } = this;
        const endUnsent = (): ExchangeResult => this.endUnsent(request, attempts);
        return CallExchange.serve({ context, request, attempts, inputs, reply, endUnsent });
    }

    private serveStream(
        request: RoutedRequest,
        attempts: Attempts,
        inputs: readonly StageResult[],
        releaseInputs: () => void,
    ): Promise<ExchangeResult> {
        return StreamExchange.serve({
            context: this.context,
            request,
            attempts,
            inputs,
            releaseInputs,
            response: this.response,
            reply: this.reply,
            closesConnection: this.closesConnection,
            isCutByStop: () => this.isCutByStop,
            onFirstEvent: milliseconds => (this.firstEventMs ??= milliseconds),
            endUnsent: () => this.endUnsent(request, attempts),
        });
    }

    /** Refuses a request that no target has run. */
    private endUnsent(request: RoutedRequest, attempts: Attempts): ExchangeResult {
        if (request.signal.aborted) return { outcome: "cancelled", status: 0, reason: "caller left" };
        const { holdBack } = attempts;
        if (holdBack !== undefined) return this.reply.refuse(holdBack.reason, holdBack.retryAfterMs);
        return this.reply.refuse("no target can be used", NO_TARGET_RETRY_MS);
    }

    /** Responds to a request for which a planned stop leaves no more time. */
    private endCut(result: ExchangeResult): ExchangeResult {
        if (this.response.destroyed || this.response.headersSent) return result;
        if ((this.attempts?.count ?? 0) === 0) return this.reply.refuse(STOPPING, this.context.stopReturnMs());
        return this.reply.respond("expired", 504, "gateway stops");
    }
}
