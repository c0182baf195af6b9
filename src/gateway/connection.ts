/**
 * A connection from a caller.
 *
 * A connection that is closed while bytes from the caller are still unread is reset, and a reset discards the response
 * that is on its way. A connection is therefore closed for writing first, and what arrives is read and discarded until
 * the caller closes it too.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { isFragmented, type MemoryAccount, type MemoryHolding, type MemoryParty } from "../memory/index.js";
import { readArrived, watchInput } from "../model/arrivedinput.js";
import { Departure } from "../model/departure.js";
import { hasMarkedEnd } from "./delivery.js";

/** Maximum time in milliseconds for which a connection is read after it was closed for writing. */
const DISCARD_TIMEOUT_MS = 5_000;

/** Interval in milliseconds at which the bytes that were discarded are compared with their limit. */
const DISCARD_CHECK_MS = 50;

/**
 * Requests that may wait behind another one, and the bytes since the first of them was read, before the connection is no
 * longer read. Only while it is read is it noticed that the caller has left. The limit is lower if a body comes in chunks,
 * since a chunk may take far more memory than its bytes.
 */
const MAXIMUM_WAITING_REQUESTS = 64;
const MAXIMUM_WAITING_BYTES = 262_144;
const MAXIMUM_WAITING_CHUNK_BYTES = 4_096;

/** What is known of the connection of a request. Times are readings of `performance.now()`. */
export interface RequestConnection {
    /** Whether requests wait behind this one now; a response that closes the connection leaves them without one. */
    readonly hasWaiting: boolean;
    /** Time at which the connection was accepted. */
    readonly openedAt: number;
    /** Time in milliseconds for which each turn of the event loop had accepted a connection by then. */
    readonly acceptingMs: number;
    readonly departure: Departure;
    /** As `watchInput` of `model/arrivedinput`, until the caller has left or too much waits. */
    readonly watchInput: () => () => Promise<void>;
    /** As `readArrived` of `model/arrivedinput`, until the caller has left or too much waits. */
    readonly catchUp: () => Promise<void>;
}

/** Serves one request, which was received at `receivedAt`, a reading of `performance.now()`. */
export type RequestHandler = (
    request: IncomingMessage,
    response: ServerResponse,
    receivedAt: number,
    connection: RequestConnection,
) => void;

/** Time in milliseconds for which an idle connection is kept beyond the announced time, in which a request may arrive. */
const IDLE_MARGIN_MS = 1_000;

/**
 * Memory in bytes that a request takes which waits, and factors from the bytes that were read to the memory that they take:
 * the names and values of a head are kept as one text each, and a chunk of a waiting body as one object each.
 */
const WAITING_REQUEST_BYTES = 8_192;
const HEAD_FACTOR = 2;
const CHUNKED_FACTOR = 64;

/** Most bytes that Node takes from a connection in one read, all of which it parses before anything else happens. */
const READ_BYTES = 65_536;

/** What a connection does with requests. */
export interface ConnectionOptions {
    readonly serve: RequestHandler;
    /** Where the bytes count that were read in advance, and whose they are. */
    readonly memory: MemoryAccount;
    readonly party: MemoryParty;
    /** How much of a request is read and discarded after its response. */
    readonly maximumDiscardedBytes: () => number;
    /** The time to announce for idle connections that is in force now, in milliseconds. */
    readonly idleTimeoutMs: () => number;
    /** Called when the connection was ended because there was no memory for what it had sent. */
    readonly onGivenWay: () => void;
    /** Called when the parser has rejected bytes that belong to no request that was handed over. */
    readonly onRejected: (rejection: Rejection) => void;
}

/** Bytes of a caller that the parser has rejected. */
export interface Rejection {
    /** Address of the caller (host:port). */
    readonly caller: string;
    /** Code of the parser's error. */
    readonly reason: string;
    /** Status that the caller gets; undefined if the connection ends after an earlier response. */
    readonly status: number | undefined;
    /** What has arrived of the rejected request, as far as it was in the last read. */
    readonly head: Buffer;
}

/** Status lines of the responses to bytes that are no request, by the code of Node's error; any other is a bad request. */
const REJECTIONS: Readonly<Record<string, string>> = {
    HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
    HPE_CHUNK_EXTENSIONS_OVERFLOW: "413 Payload Too Large",
    ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};

/** An error of the parser, with the bytes of the last read and the number of those that were parsed. */
type ParserError = NodeJS.ErrnoException & { readonly rawPacket?: Buffer; readonly bytesParsed?: number };

const HEAD_END = "\r\n\r\n";

/** Status line and header of the response to bytes for which there is no memory. */
const NO_MEMORY_REJECTION = "503 Service Unavailable\r\nretry-after: 1";

/** Status line of the response to CONNECT; connections to other servers are not offered. */
const CONNECT_REJECTION = "501 Not Implemented";

interface ReceivedRequest {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly receivedAt: number;
    /** The time that Node announces in the response for the idle connection. */
    readonly announcedIdleMs: number;
    /** Number of bytes that had been read from the connection when the head was read. */
    readonly bytesRead: number;
}

/** One connection and its requests. */
export class Connection implements RequestConnection {
    readonly openedAt = performance.now();
    readonly departure: Departure;
    /** The request that is being served, or was served last, and its response. */
    private request: IncomingMessage | undefined;
    private response: ServerResponse | undefined;
    private isServing = false;
    /** Pipelined requests that are served once the response before theirs has ended. */
    private waiting: ReceivedRequest[] = [];
    private isClosing = false;
    /** Whether what followed the requests was no request, or not in time. */
    private isMalformed = false;
    /** The error after which the parser reads nothing more. */
    private parserError: ParserError | undefined;
    /** Status line of the rejection that follows the last response. */
    private lastRejection: string | undefined;
    private idleSince = 0;
    private announcedIdleMs = 0;
    /** Bytes that had been read when the last request ended. */
    private endedBytesRead = 0;
    /** Undefined while it is opened, when it may already have to give way. */
    private holding: MemoryHolding | undefined;
    private hasGivenWay = false;

    private constructor(
        private readonly socket: Socket,
        private readonly server: Server,
        private readonly options: ConnectionOptions,
        readonly acceptingMs: number,
    ) {
        this.openHolding();
        this.departure = Departure.of(socket);
        socket.once("close", () => this.holding?.close());
    }

    /** Takes over how a connection is closed after its last response. `acceptingMs` is as in `RequestConnection`. */
    static of(socket: Socket, server: Server, options: ConnectionOptions, acceptingMs: number): Connection {
        const connection = new Connection(socket, server, options, acceptingMs);
        // Node resumes reading after each request that it has read.
        socket.on("resume", () => connection.pauseIfFull());
        // Node pauses reading once it has read a part of the body of a request that waits.
        socket.on("pause", () => {
            connection.measure();
            setImmediate(() => connection.resumeUnlessFull());
        });
        // Node calls this when a response that closes the connection has ended. Bytes of a next request may always be on
        // their way, or have been read as part of its head.
        socket.destroySoon = (): void => {
            if (!connection.isClosing) connection.closeInOrder();
        };
        return connection;
    }

    /** Number of requests that have no whole response, or whose body is still being read. */
    get openRequests(): number {
        const isOpen = this.isServing || (this.isClosing && this.request?.complete === false);
        return this.waiting.length + (isOpen ? 1 : 0);
    }

    get hasWaiting(): boolean {
        return this.waiting.length > 0;
    }

    watchInput(): () => Promise<void> {
        return watchInput(this.socket, () => this.departure.at !== undefined || this.isFull);
    }

    catchUp(): Promise<void> {
        return readArrived(this.socket, () => this.departure.at !== undefined || this.isFull);
    }

    /** Whether no request is open, and the connection is not being closed. */
    get isIdle(): boolean {
        return this.openRequests === 0 && !this.isClosing;
    }

    /** Whether a request was served. */
    get hasServed(): boolean {
        return this.request !== undefined;
    }

    /** Counts the bytes that were read in advance. What is read of the served request's body counts elsewhere. */
    measure(): void {
        if (this.isClosing || this.hasGivenWay) return;
        if (!this.isServing) {
            this.holding?.resize(HEAD_FACTOR * (this.socket.bytesRead - this.endedBytesRead));
            return;
        }
        const [first] = this.waiting;
        const waitingBytes = first === undefined ? 0 : this.socket.bytesRead - first.bytesRead;
        // The chunks may be in the same read as the head.
        const contentBytes = this.hasWaitingChunks
            ? CHUNKED_FACTOR * (waitingBytes + Math.min(READ_BYTES, this.socket.bytesRead))
            : HEAD_FACTOR * waitingBytes;
        this.holding?.resize(this.waiting.length * WAITING_REQUEST_BYTES + contentBytes);
    }

    /** Closes the connection at once. A response that ends with its connection must not look complete. */
    close(): void {
        const { isServing, response, socket } = this;
        const isBegun = isServing && response?.headersSent === true && !response.writableFinished;
        if (isBegun && !hasMarkedEnd(response)) socket.resetAndDestroy();
        else socket.destroy();
    }

    /** Ends an idle connection, to make room for others. */
    closeIdle(): void {
        this.isClosing = true;
        if (this.socket.bytesRead === this.endedBytesRead) this.socket.destroy();
        else this.socket.end(rejectionOf(NO_MEMORY_REJECTION), () => this.socket.destroy());
    }

    private openHolding(): void {
        this.hasGivenWay = false;
        this.holding = this.options.memory.open(this.options.party, () => this.giveWay());
    }

    /** Ends the connection, since Node keeps the requests that wait on it. One without such requests goes on. */
    private giveWay(): void {
        this.hasGivenWay = true;
        if (this.isClosing) return;
        if (this.waiting.length > 0) this.close();
        else if (!this.isServing) this.closeIdle();
        this.options.onGivenWay();
    }

    /** Stops reading. Returns a function that goes on, or undefined if the connection was not read. */
    suspendReading(): (() => void) | undefined {
        const { socket } = this;
        if (socket.isPaused() || socket.destroyed) return undefined;
        socket.pause();
        return () => {
            if (!this.isFull) socket.resume();
        };
    }

    /** Serves a request after those before it, unless an earlier response closes the connection. */
    receive(request: IncomingMessage, response: ServerResponse): void {
        if (this.isClosing) {
            request.resume();
            return;
        }
        if (this.hasGivenWay && this.isServing) {
            // There was no memory for a waiting request.
            this.isMalformed = true;
            this.lastRejection = NO_MEMORY_REJECTION;
            request.resume();
            this.socket.pause();
            return;
        }
        const { keepAliveTimeout: announcedIdleMs } = this.server;
        const { bytesRead } = this.socket;
        this.waiting.push({ request, response, receivedAt: performance.now(), announcedIdleMs, bytesRead });
        if (!this.isServing) {
            this.serveNext();
            return;
        }
        this.measure();
        this.pauseIfFull();
    }

    /** Answers CONNECT after the requests before it. Node has taken the parser and its listeners off the connection. */
    handleConnect(): void {
        this.socket.on("error", error => this.handleError(error));
        this.socket.on("end", () => this.socket.end());
        this.socket.on("drain", () => this.response?.emit("drain"));
        this.socket.resume();
        if (this.isClosing) return;
        this.isMalformed = true;
        this.lastRejection = CONNECT_REJECTION;
        if (!this.isServing) this.endWithRejection();
    }

    /** Closes the connection if it has been idle for as long as was announced and is configured now. */
    handleIdleTimeout(): void {
        const idleTimeoutMs = Math.max(this.announcedIdleMs, this.options.idleTimeoutMs()) + IDLE_MARGIN_MS;
        const remainingMs = this.idleSince + idleTimeoutMs - performance.now();
        if (remainingMs > 0) {
            this.socket.setTimeout(remainingMs);
            return;
        }
        // Timers run before sockets are read, so after a delay of this process a request may have arrived in time.
        const { bytesRead } = this.socket;
        setImmediate(() => {
            if (this.socket.bytesRead === bytesRead) this.socket.destroy();
        });
    }

    /** Handles an error of the connection or of the parser, after the requests that were read before it. */
    handleError(error: ParserError): void {
        const { code = "" } = error;
        // Such an error of the parser means that the caller has closed the connection.
        const isGone = !code.startsWith("HPE_") && code !== "ERR_HTTP_REQUEST_TIMEOUT";
        if (isGone || code === "HPE_INVALID_EOF_STATE" || !this.socket.writable) {
            if (!this.isClosing || isGone) this.socket.destroy();
            return;
        }
        if (code !== "ERR_HTTP_REQUEST_TIMEOUT") {
            this.parserError ??= error;
            this.reject(code);
            return;
        }
        // As with the idle timeout, the rest of the request may have arrived in time.
        const { bytesRead } = this.socket;
        setImmediate(() => {
            if (this.socket.bytesRead === bytesRead) this.reject(code);
        });
    }

    private reject(code: string): void {
        if (this.isClosing) return;
        const isFirst = !this.isMalformed;
        this.isMalformed = true;
        if (this.isServing) {
            // The bytes may belong to the body of the request that is being served, which ends with its own log line.
            if (isFirst && this.request?.complete === true) this.reportRejection(code);
            this.failUnreadBody();
            return;
        }
        this.lastRejection = REJECTIONS[code] ?? "400 Bad Request";
        if (isFirst) this.reportRejection(code);
        this.endWithRejection();
    }

    private reportRejection(reason: string): void {
        const { remoteAddress, remotePort } = this.socket;
        const status = this.lastRejection === undefined ? undefined : Number.parseInt(this.lastRejection, 10);
        const head = rejectedHead(this.parserError);
        this.options.onRejected({ caller: `${remoteAddress}:${remotePort}`, reason, status, head });
    }

    private endWithRejection(): void {
        const status = this.lastRejection;
        if (status !== undefined) {
            this.socket.write(rejectionOf(status));
        }
        this.closeInOrder();
    }

    /** Tells the reader of a body that the rest of it cannot be read. */
    private failUnreadBody(): void {
        const { request, parserError } = this;
        if (request === undefined || request.complete || parserError === undefined) return;
        // Without a listener, nobody waits for the body, and the error would be thrown here.
        if (request.listenerCount("error") > 0) request.emit("error", parserError);
    }

    private pauseIfFull(): void {
        if (this.isFull) this.socket.pause();
    }

    private resumeUnlessFull(): void {
        // While the caller does not read, its departure shows when the response is written.
        if (this.waiting.length > 0 && !this.isFull && !this.socket.writableNeedDrain) this.socket.resume();
    }

    /** Whether as many requests wait as are read in advance. */
    private get isFull(): boolean {
        const [first] = this.waiting;
        if (first === undefined) return false;
        const waitingBytes = this.socket.bytesRead - first.bytesRead;
        const maximumBytes = this.hasWaitingChunks ? MAXIMUM_WAITING_CHUNK_BYTES : MAXIMUM_WAITING_BYTES;
        return this.waiting.length >= MAXIMUM_WAITING_REQUESTS || waitingBytes >= maximumBytes;
    }

    /** Whether the body of a request that waits comes in chunks. */
    private get hasWaitingChunks(): boolean {
        return this.waiting.some(({ request }) => request.headers["transfer-encoding"] !== undefined);
    }

    private serveNext(): void {
        const next = this.waiting.shift();
        if (next === undefined) return;
        if (!this.isFull) this.socket.resume();
        const { request, response, receivedAt, announcedIdleMs } = next;
        this.request = request;
        this.response = response;
        this.isServing = true;
        response.once("close", () => {
            this.isServing = false;
            this.endedBytesRead = this.socket.bytesRead;
            this.idleSince = performance.now();
            this.announcedIdleMs = announcedIdleMs;
            if (this.isClosing || this.departure.at !== undefined || this.socket.destroyed) return;
            if (this.hasGivenWay) this.openHolding();
            if (this.isClosing) return;
            if (this.isMalformed && this.waiting.length === 0) this.endWithRejection();
            else this.serveNext();
        });
        this.options.serve(request, response, receivedAt, this);
        this.failUnreadBody();
    }

    private closeInOrder(): void {
        this.isClosing = true;
        this.closeIfFragmented();
        for (const { request } of this.waiting) request.resume();
        this.waiting = [];
        this.socket.resume();
        const endAt = performance.now() + DISCARD_TIMEOUT_MS;
        const maximumBytes = this.socket.bytesRead + this.options.maximumDiscardedBytes();
        const timer = setInterval(() => {
            if (performance.now() > endAt || this.socket.bytesRead > maximumBytes) this.socket.destroy();
        }, DISCARD_CHECK_MS);
        this.socket.once("close", () => clearInterval(timer));
        this.socket.end();
    }

    /** Ends the connection if the rest of a body that is discarded comes in very many parts, which take long to read. */
    private closeIfFragmented(): void {
        const { request } = this;
        if (request === undefined || request.complete) return;
        let parts = 0;
        let bytes = 0;
        request.on("data", (part: Buffer) => {
            parts += 1;
            bytes += part.length;
            if (isFragmented(parts, bytes)) this.socket.destroy();
        });
    }
}

/** What the last read holds of the head at which the parser has stopped. */
function rejectedHead({ rawPacket, bytesParsed = 0 }: Partial<ParserError> = {}): Buffer {
    if (rawPacket === undefined) return Buffer.alloc(0);
    const previousEnd = rawPacket.subarray(0, bytesParsed).lastIndexOf(HEAD_END);
    const start = previousEnd < 0 ? 0 : previousEnd + HEAD_END.length;
    const end = rawPacket.indexOf(HEAD_END, bytesParsed);
    return rawPacket.subarray(start, end < 0 ? undefined : end);
}

/** A response without a body that closes the connection. */
function rejectionOf(status: string): string {
    return `HTTP/1.1 ${status}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`;
}
