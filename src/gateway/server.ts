/** The gateway's HTTP listeners: for callers, readiness checks, metrics and other gateways. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { DUTIES_PATH } from "../duties/index.js";
import type { MemoryAccount } from "../memory/index.js";
import { describeError } from "../model/error.js";
import { Deadline } from "../model/index.js";
import { pause } from "../model/pause.js";
import { endOfTurn } from "../model/turn.js";
import { CHANGES_PATH } from "../relay/message.js";
import {
    decodeOrder,
    decodeRelease,
    GIVEN_BACK,
    OpenOrders,
    PEER_PATHS,
    PIECE_BYTES,
    type PieceResult,
    PROGRESS_INTERVAL_MS,
} from "../stages/index.js";
import { AcceptRun } from "./acceptrun.js";
import type { ConnectionLimits } from "./configuration.js";
import { Connection, type ConnectionOptions, type Rejection } from "./connection.js";
import { failResponse } from "./delivery.js";
import { Exchange, type IncomingExchange } from "./exchange.js";
import type { Gateway } from "./gateway.js";
import { NEWS_PATH } from "./gossip.js";
import { OBSERVATIONS_PATH } from "./rolloutcontroller.js";
import { RequestBody, type RequestBodyOutcome } from "./requestbody.js";

/** Maximum size in bytes of a request head that is parsed; the configured limit is checked after that. */
const MAXIMUM_HEAD_BYTES = 131_072;

/** Interval in milliseconds at which connections are checked for timeouts. */
const SLOW_CALLER_CHECK_MS = 250;

/** Margin in milliseconds on top of the configured idle timeout, since callers measure idle time as well. */
const IDLE_SLACK_MS = 1_000;

/** Maximum time in milliseconds for a whole request to arrive. */
const REQUEST_TIMEOUT_MS = 60_000;

/** Size in bytes that is read of a request after its response at least, if the limit of bodies is smaller. */
const MINIMUM_DISCARD_LIMIT_BYTES = 1_048_576;

/** Maximum size in bytes of an order for pieces from another gateway. */
const MAXIMUM_ORDER_BYTES = 4_194_304;

/** Interval in milliseconds at which open requests are counted at the end of a stop. */
const OPEN_CHECK_MS = 20;

/** Turns of the event loop without an arrival after which everything was read; a turn accepts, the next one reads. */
const READ_TURNS = 3;

/** Time in milliseconds for an order to arrive; its sender gives up sooner. */
const ORDER_TIMEOUT_MS = 2_000;

/**
 * Interval in milliseconds at which the bytes are counted that connections have sent in advance, with few connections and
 * with many, which can send more between two counts.
 */
const MEASURE_MS = 250;
const MEASURE_OFTEN_MS = 25;
const MANY_CONNECTIONS = 64;

/** Descriptors that are reserved for files, and parts of the others that callers and other gateways may use. */
const RESERVED_DESCRIPTORS = 200;
const CALLERS_SHARE = 0.5;
const GATEWAYS_SHARE = 0.1;

/** Maximum number of connections for readiness checks, and for metrics. */
const MAXIMUM_CHECK_CONNECTIONS = 64;

/** What differs between listeners. */
type ListenerOptions = Pick<ConnectionOptions, "serve" | "memory" | "party"> &
    Partial<ConnectionOptions> & {
        readonly maximumConnections: number;
        /** Called when connections begin to be closed or refused because there are too many. */
        readonly onTooMany?: () => void;
    };

/** An HTTP server that tracks its connections and open requests. */
export class Listener {
    private readonly connections = new Map<Socket, Connection>();
    private measureTimer: NodeJS.Timeout | undefined;
    private readonly acceptRun = AcceptRun.create();
    private hasTooMany = false;
    /** Go on reading connections that are not read until memory is freed; undefined while all are read. */
    private resumeReading: (() => void)[] | undefined;
    /** Number of connections and requests that have arrived. */
    arrivals = 0;

    private constructor(
        readonly server: Server,
        private readonly options: ListenerOptions & Omit<ConnectionOptions, "onGivenWay">,
    ) {
        server.on("connection", socket => {
            this.arrivals += 1;
            if (!this.makeRoom()) {
                socket.destroy();
                return;
            }
            const onGivenWay = (): void => this.suspendReading();
            const { milliseconds: acceptingMs } = this.acceptRun;
            this.acceptRun.recordAccepted();
            const connection = Connection.of(socket, server, { ...options, onGivenWay }, acceptingMs);
            this.connections.set(socket, connection);
            this.measureLater();
            if (this.resumeReading !== undefined) this.suspend(connection);
            socket.setNoDelay(true);
            socket.once("close", () => this.connections.delete(socket));
        });
        server.on("request", (request: IncomingMessage, response: ServerResponse) => {
            this.arrivals += 1;
            this.connections.get(request.socket)?.receive(request, response);
        });
        // Without such a listener, Node closes the connection, also while an earlier request is served.
        server.on("connect", (_request, socket) => {
            this.connections.get(socket as Socket)?.handleConnect();
        });
        server.on("clientError", (error: Error, socket) => {
            this.connections.get(socket as Socket)?.handleError(error);
        });
        // Node closes a connection at its idle timeout only without such a listener.
        server.on("timeout", socket => this.connections.get(socket)?.handleIdleTimeout());
    }

    /** Number of requests that have not ended. */
    get openRequests(): number {
        let sum = 0;
        for (const { openRequests } of this.connections.values()) sum += openRequests;
        return sum;
    }

    /**
     * Ends idle connections while there is no room for one more: first the oldest one that has not sent a request, then the
     * oldest one that has. Returns false if all have open requests.
     */
    private makeRoom(): boolean {
        if (this.connections.size < this.options.maximumConnections) {
            this.hasTooMany &&= this.connections.size > this.options.maximumConnections / 2;
            return true;
        }
        if (!this.hasTooMany) this.options.onTooMany?.();
        this.hasTooMany = true;
        let oldest: readonly [Socket, Connection] | undefined;
        for (const entry of this.connections) {
            if (!entry[1].isIdle) continue;
            oldest ??= entry;
            if (entry[1].hasServed) continue;
            oldest = entry;
            break;
        }
        if (oldest === undefined) return false;
        const [socket, connection] = oldest;
        this.connections.delete(socket);
        connection.closeIdle();
        return true;
    }

    /**
     * Reads no connection until the connections that were ended for want of memory are freed. Node closes these only after
     * it has read all connections that have bytes, and the requests that it reads there take memory until then.
     */
    private suspendReading(): void {
        if (this.resumeReading !== undefined) return;
        this.resumeReading = [];
        for (const connection of this.connections.values()) this.suspend(connection);
        // Node closes connections after the callbacks of a turn, so they are closed before the next turn's.
        setImmediate(() => setImmediate(() => this.endSuspension()));
    }

    private suspend(connection: Connection): void {
        const resume = connection.suspendReading();
        if (resume !== undefined) this.resumeReading?.push(resume);
    }

    private endSuspension(): void {
        const resumed = this.resumeReading ?? [];
        this.resumeReading = undefined;
        for (const resume of resumed) resume();
    }

    private measureLater(): void {
        this.measureTimer ??= setTimeout(
            () => {
                this.measureTimer = undefined;
                for (const connection of this.connections.values()) connection.measure();
                if (this.connections.size > 0) this.measureLater();
            },
            this.connections.size > MANY_CONNECTIONS ? MEASURE_OFTEN_MS : MEASURE_MS,
        ).unref();
    }

    /** Listens at an address (host:port). */
    static async listen(server: Server, address: string, options: ListenerOptions): Promise<Listener> {
        const listener = new Listener(server, {
            maximumDiscardedBytes: () => MINIMUM_DISCARD_LIMIT_BYTES,
            idleTimeoutMs: () => server.keepAliveTimeout,
            onRejected: () => undefined,
            ...options,
        });
        const separator = address.lastIndexOf(":");
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(Number(address.slice(separator + 1)), address.slice(0, separator), resolve);
        });
        return listener;
    }

    /** Closes idle connections until a deadline, and between them reads what has arrived on the others. */
    async closeIdle(deadline: Deadline): Promise<void> {
        for (const [socket, connection] of [...this.connections]) {
            if (deadline.passed()) return;
            await endOfTurn();
            if (connection.openRequests === 0) socket.destroy();
        }
    }

    /** Closes the listener and all connections. */
    close(): Promise<void> {
        return new Promise(resolve => {
            // Node takes a connection for idle whose response has ended but was not taken by the caller, and closes it.
            for (const connection of this.connections.values()) connection.close();
            this.server.close(() => resolve());
            clearTimeout(this.measureTimer);
        });
    }
}

/** Serves callers. */
export async function listenForCallers(gateway: Gateway, address: string, descriptors: number): Promise<Listener> {
    const server = createServer({
        maxHeaderSize: MAXIMUM_HEAD_BYTES,
        connectionsCheckingInterval: SLOW_CALLER_CHECK_MS,
        requestTimeout: REQUEST_TIMEOUT_MS,
    });
    const limits = (): ConnectionLimits | undefined => gateway.configuration?.content.limits;
    server.on("connection", () => applyLimits(server, limits()));
    return Listener.listen(server, address, {
        ...limitsOf(gateway, "callers", descriptors, CALLERS_SHARE),
        serve: (request, response, receivedAt, connection) => {
            applyLimits(server, limits());
            const { context } = gateway;
            Exchange.serve(context, {
                request,
                response,
                receivedAt,
                connection,
                // Requests that were read get responses before a planned stop closes their connection.
                closesConnection: () => gateway.closesConnections && !connection.hasWaiting,
            }).catch((error: unknown) => {
                const id = context.dialect.readRequest(request.headers).requestId;
                context.onDecision("request failed unexpectedly", { id, error: describeError(error) });
                failResponse(response, "unexpected error");
            });
        },
        maximumDiscardedBytes: () => Math.max(MINIMUM_DISCARD_LIMIT_BYTES, limits()?.bodyBytes ?? 0),
        idleTimeoutMs: () => {
            applyLimits(server, limits());
            return server.keepAliveTimeout;
        },
    });
}

/** Limits of a listener whose connections may use a part of the descriptors of the process. */
function limitsOf(
    { context }: Gateway,
    party: "callers" | "gateways",
    descriptors: number,
    share: number,
): Omit<ListenerOptions, "serve"> {
    const maximumConnections = Math.floor((descriptors - RESERVED_DESCRIPTORS) * share);
    const onTooMany = (): void => context.onDecision("too many connections", { party, maximumConnections });
    const onRejected = ({ caller, reason, status, head }: Rejection): void =>
        context.onDecision("request not read", {
            id: context.dialect.findRequestId(head),
            party,
            caller,
            reason,
            status,
        });
    return { memory: context.memory, party, maximumConnections, onTooMany, onRejected };
}

function applyLimits(server: Server, limits: ConnectionLimits | undefined): void {
    if (limits === undefined) return;
    server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_SLACK_MS;
    server.headersTimeout = Math.min(REQUEST_TIMEOUT_MS, limits.headerTimeoutMs);
}

/** Serves readiness checks: 200 while the gateway accepts new connections, otherwise 503. */
export async function listenForReadiness(
    memory: MemoryAccount,
    address: string,
    ready: () => boolean,
): Promise<Listener> {
    return Listener.listen(createServer(), address, {
        memory,
        party: "operators",
        maximumConnections: MAXIMUM_CHECK_CONNECTIONS,
        serve: (_request, response) => {
            response.writeHead(ready() ? 200 : 503, { "content-length": 0 });
            response.end();
        },
    });
}

/** Serves the metrics page. */
export async function listenForMetrics(
    memory: MemoryAccount,
    address: string,
    render: () => string,
): Promise<Listener> {
    return Listener.listen(createServer(), address, {
        memory,
        party: "operators",
        maximumConnections: MAXIMUM_CHECK_CONNECTIONS,
        serve: (request, response) => {
            const found = request.url === "/metrics";
            response.writeHead(found ? 200 : 404, { "content-type": "text/plain; version=0.0.4" });
            response.end(found ? render() : "");
        },
    });
}

/**
 * Serves calls from other gateways. `follow` takes a response on which a gateway follows this one; it returns false if this
 * one may not be followed.
 */
export async function listenForPeers(
    gateway: Gateway,
    address: string,
    descriptors: number,
    follow: (response: ServerResponse) => boolean,
): Promise<Listener> {
    const openOrders = OpenOrders.create();
    return Listener.listen(createServer(), address, {
        ...limitsOf(gateway, "gateways", descriptors, GATEWAYS_SHARE),
        serve: (request, response, _receivedAt, connection) => {
            if (request.url === CHANGES_PATH) {
                if (gateway.phase === "serving" && follow(response)) return;
                response.writeHead(503, { "content-length": 0 });
                response.end();
                return;
            }
            servePeer(gateway, openOrders, { request, response, connection }).catch((error: unknown) => {
                const fields = { path: request.url, error: describeError(error) };
                gateway.context.onDecision("peer call failed unexpectedly", fields);
                failResponse(response, "unexpected error");
            });
        },
    });
}

/** A call from another gateway, as its connection hands it over. */
type PeerCall = Pick<IncomingExchange, "request" | "response" | "connection">;

async function servePeer(gateway: Gateway, openOrders: OpenOrders, call: PeerCall): Promise<void> {
    const body = RequestBody.read(call.request, {
        account: gateway.context.memory,
        party: "gateways",
        maximumBytes: MAXIMUM_ORDER_BYTES,
        deadline: Deadline.after(ORDER_TIMEOUT_MS),
    });
    try {
        const read = await body.outcome;
        if (read.kind === "read") await servePeerCall(gateway, openOrders, call, read.bytes.toString());
        else endUnreadPeerCall(call, read.kind);
    } finally {
        body.close();
    }
}

/** Ends a call whose body was not read. Its sender may take a 503 for the answer of a gateway that cannot take the call now. */
function endUnreadPeerCall({ request, response }: PeerCall, kind: Exclude<RequestBodyOutcome["kind"], "read">): void {
    if (kind !== "noMemory") {
        request.destroy();
        return;
    }
    response.writeHead(503, { "content-length": 0, "connection": "close" });
    response.end();
}

async function servePeerCall(gateway: Gateway, openOrders: OpenOrders, call: PeerCall, body: string): Promise<void> {
    const { request, response } = call;
    if (request.url === PEER_PATHS.make) return serveOrder(gateway, openOrders, call, body);
    if (request.url === OBSERVATIONS_PATH || request.url === NEWS_PATH) {
        const receiver = request.url === NEWS_PATH ? gateway.gossip : gateway.rolloutController;
        const answer = receiver.receive(body);
        response.writeHead(answer === undefined ? 400 : 200, { "content-type": "application/json" });
        response.end(answer ?? "");
        return;
    }
    if (request.url === DUTIES_PATH) {
        const answer = gateway.duties?.receive(body);
        response.writeHead(answer === undefined ? 400 : 200, { "content-type": "application/json" });
        response.end(answer ?? "");
        return;
    }
    const release = request.url === PEER_PATHS.release ? decodeRelease(body) : undefined;
    if (release !== undefined) gateway.pieceRouter.releaseHere(release);
    response.writeHead(release === undefined ? 400 : 200, { "content-length": 0 });
    response.end();
}

async function serveOrder(
    gateway: Gateway,
    openOrders: OpenOrders,
    { response, connection }: PeerCall,
    body: string,
): Promise<void> {
    const order = decodeOrder(body);
    if (order === undefined || gateway.phase === "stopping") {
        response.writeHead(order === undefined ? 400 : 503, { "content-length": 0 });
        response.end();
        return;
    }
    await connection.catchUp();
    if (connection.departure.at !== undefined) return;
    const holding = gateway.context.memory.open("gateways", () => undefined);
    holding.resize(order.jobs.length * PIECE_BYTES);
    if (!holding.retain()) {
        holding.close();
        response.writeHead(503, { "content-length": 0 });
        response.end();
        return;
    }
    const abort = new AbortController();
    connection.departure.abortWork(response, abort);
    response.writeHead(200, { "content-type": "application/json" });
    // Spaces before the JSON text show the other gateway that this one is still working on its order.
    response.write(" ");
    const progress = setInterval(() => response.write(" "), PROGRESS_INTERVAL_MS);
    let giveBack = (): void => undefined;
    const givenBack = new Promise<readonly PieceResult[]>(resolve => {
        giveBack = (): void => resolve(order.jobs.map(() => GIVEN_BACK));
    });
    // The other gateway would take this one for unreachable if its connection were closed instead.
    const cancelGiveBack = gateway.shutdown.onDue(giveBack);
    let results: readonly PieceResult[];
    try {
        const made = openOrders.serve(order, abort.signal, (...args) => gateway.pieceRouter.makeForPeer(...args));
        results = await Promise.race([made, givenBack]);
    } finally {
        holding.close();
        cancelGiveBack();
        clearInterval(progress);
    }
    response.end(JSON.stringify({ results, waitMs: gateway.pieceRouter.queueWaitMs(order.service) }));
}

/**
 * Waits until nothing is open, also once everything that has arrived was read, or until a deadline. Timers run before
 * sockets are read, so after a delay of this process requests may have arrived long ago.
 */
export async function waitUntilQuiet(listeners: readonly Listener[], deadline: Deadline): Promise<void> {
    const sumOf = (count: (listener: Listener) => number): number =>
        listeners.reduce((sum, listener) => sum + count(listener), 0);
    for (let quietTurns = 0; quietTurns < READ_TURNS && !deadline.passed();) {
        if (sumOf(({ openRequests }) => openRequests) > 0) {
            quietTurns = 0;
            await pause(Math.min(OPEN_CHECK_MS, deadline.remainingMs()));
            continue;
        }
        const before = sumOf(({ arrivals }) => arrivals);
        await endOfTurn();
        quietTurns = sumOf(({ arrivals }) => arrivals) === before ? quietTurns + 1 : 0;
    }
}
