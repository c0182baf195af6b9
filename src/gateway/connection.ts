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

/** Serves one request. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** One connection and its requests. */
export class Connection {
    private responses = 0;
    /** The last request that was read, if only in part. */
    private request: IncomingMessage | undefined;
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
        const destroySoon = socket.destroySoon.bind(socket);
        // Node calls this when a response that closes the connection has ended.
        socket.destroySoon = (): void => {
            if (connection.request?.complete === false) connection.closeInOrder();
            else destroySoon();
        };
        return connection;
    }

    /** Number of requests that have no whole response, or whose body is still being read. */
    get openRequests(): number {
        const isDiscarding = this.isClosing && this.request?.complete === false;
        return this.responses + (isDiscarding ? 1 : 0);
    }

    /** Serves a request, unless an earlier response closes the connection. */
    receive(request: IncomingMessage, response: ServerResponse): void {
        if (this.isClosing) {
            request.resume();
            return;
        }
        this.request = request;
        this.responses += 1;
        response.once("close", () => (this.responses -= 1));
        this.serve(request, response);
    }

    private closeInOrder(): void {
        if (this.isClosing) return;
        this.isClosing = true;
        const endAt = performance.now() + DISCARD_TIMEOUT_MS;
        const maximumBytes = this.socket.bytesRead + this.maximumDiscardedBytes();
        const timer = setInterval(() => {
            if (performance.now() > endAt || this.socket.bytesRead > maximumBytes) this.socket.destroy();
        }, DISCARD_CHECK_MS);
        this.socket.once("close", () => clearInterval(timer));
        this.socket.end();
    }
}
