/**
 * A connection from a caller.
 *
 * A connection that is closed while bytes from the caller are still unread is reset, and a reset discards the response
 * that is on its way. A connection is therefore closed for writing first, and what arrives is read and discarded until
 * the caller closes it too.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Maximum time in milliseconds for which a connection is read after it was closed for writing. */
const DISCARD_TIMEOUT_MS = 5_000;

/** Interval in milliseconds at which the bytes that were discarded are compared with their limit. */
const DISCARD_CHECK_MS = 50;

/** Number of requests that may wait behind another one before the connection is no longer read. */
const MAXIMUM_WAITING_REQUESTS = 16;

/** Serves one request, which was received at `receivedAt`, a reading of `performance.now()`. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse, receivedAt: number) => void;

interface ReceivedRequest {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly receivedAt: number;
}

/** One connection and its requests. */
export class Connection {
    /** The request that is being served, or was served last. */
    private request: IncomingMessage | undefined;
    private isServing = false;
    /** Pipelined requests that are served once the response before theirs has ended. */
    private waiting: ReceivedRequest[] = [];
    private isClosing = false;

    private constructor(
        private readonly socket: Socket,
        private readonly serve: RequestHandler,
        private readonly maximumDiscardedBytes: () => number,
    ) {}

    /**
     * Takes over how a connection is closed after its last response. `maximumDiscardedBytes` is how much of a request
     * is read after that.
     */
    static of(socket: Socket, serve: RequestHandler, maximumDiscardedBytes: () => number): Connection {
        const connection = new Connection(socket, serve, maximumDiscardedBytes);
        // Node resumes reading after each request that it has read.
        socket.on("resume", () => connection.pauseIfFull());
        const destroySoon = socket.destroySoon.bind(socket);
        // Node calls this when a response that closes the connection has ended.
        socket.destroySoon = (): void => {
            if (connection.isClosing) return;
            if (connection.expectsBytes) connection.closeInOrder();
            else destroySoon();
            connection.isClosing = true;
        };
        return connection;
    }

    /** Number of requests that have no whole response, or whose body is still being read. */
    get openRequests(): number {
        const isOpen = this.isServing || (this.isClosing && this.request?.complete === false);
        return this.waiting.length + (isOpen ? 1 : 0);
    }

    /** Serves a request after those before it, unless an earlier response closes the connection. */
    receive(request: IncomingMessage, response: ServerResponse): void {
        if (this.isClosing) {
            request.resume();
            return;
        }
        this.waiting.push({ request, response, receivedAt: performance.now() });
        if (this.isServing) this.pauseIfFull();
        else this.serveNext();
    }

    private pauseIfFull(): void {
        if (this.waiting.length >= MAXIMUM_WAITING_REQUESTS) this.socket.pause();
    }

    private serveNext(): void {
        const next = this.waiting.shift();
        if (next === undefined) return;
        if (this.waiting.length < MAXIMUM_WAITING_REQUESTS) this.socket.resume();
        const { request, response, receivedAt } = next;
        this.request = request;
        this.isServing = true;
        response.once("close", () => {
            this.isServing = false;
            if (!this.isClosing && !this.socket.destroyed) this.serveNext();
        });
        this.serve(request, response, receivedAt);
    }

    /** Whether the caller may have sent more than was read. */
    private get expectsBytes(): boolean {
        return this.request?.complete === false || this.waiting.length > 0;
    }

    private closeInOrder(): void {
        for (const { request } of this.waiting) request.resume();
        this.waiting = [];
        this.socket.resume();
        const endAt = performance.now() + DISCARD_TIMEOUT_MS;
        const maximumBytes = this.socket.bytesRead + this.maximumDiscardedBytes();
        const timer = setInterval(() => {
            if (performance.now() > endAt || this.socket.bytesRead > maximumBytes) this.socket.destroy();
        }, DISCARD_CHECK_MS);
        this.socket.once("close", () => clearInterval(timer));
        this.socket.end();
    }
}
