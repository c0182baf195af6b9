/**
 * Sends one HTTP request: to a target on a new connection, or to another gateway on a pooled one.
 *
 * A new connection is free of the effects of earlier requests: late responses, extra bytes after a response, and a
 * connection that the target closed or that died while idle. It is also known exactly whether anything was sent, which
 * decides whether a non-idempotent request may go to another target.
 */
import { setMaxListeners } from "node:events";
import {
    type Agent,
    type ClientRequest,
    type IncomingHttpHeaders,
    type IncomingMessage,
    request,
    type RequestOptions,
} from "node:http";
import { connect, type Socket } from "node:net";
import { parseSocketAddress } from "../model/address.js";
import { whenBrokenOff } from "../model/connectionreset.js";
import { isFinalStatus } from "../model/finalstatus.js";
import { Deadline } from "../model/index.js";
import { startTimeout } from "../model/timeout.js";
import { endOfTurn } from "../model/turn.js";

/** The request to send. */
export interface AttemptRequest {
    /** `ip:port`. */
    readonly address: string;
    readonly method: string;
    readonly path: string;
    /** Names and values in turn. */
    readonly headers: readonly string[];
    readonly body: Buffer | undefined;
}

/** Status and headers of a response. */
export interface ResponseHead {
    readonly status: number;
    readonly statusText: string;
    readonly headers: IncomingHttpHeaders;
    /** Names and values in turn, as received. */
    readonly rawHeaders: readonly string[];
}

/** Outcome of sending a request. */
export type AttemptOutcome =
    /** No connection was made; nothing was sent. */
    | { readonly kind: "unreachable"; readonly reason: string }
    /** The request cannot be written as HTTP, to whichever target; nothing was sent. */
    | { readonly kind: "unsendable"; readonly reason: string }
    /** Something was sent but no response head came; the target may have run the request. */
    | { readonly kind: "broken"; readonly reason: string }
    /** The deadline passed before the response head came. */
    | { readonly kind: "expired"; readonly sent: boolean }
    /** The caller closed its connection. */
    | { readonly kind: "cancelled"; readonly sent: boolean }
    | { readonly kind: "answered"; readonly head: ResponseHead; readonly body: ResponseBody };

/** Outcome of reading a body to its end. */
export type BodyOutcome =
    | { readonly kind: "complete" }
    | { readonly kind: "broken"; readonly reason: string }
    | { readonly kind: "stalled" }
    | { readonly kind: "expired" }
    | { readonly kind: "cancelled" };

/**
 * Time in milliseconds to connect: several round trips and the accept of a busy target. TCP resends a lost SYN only
 * after a second, so a new connection is quicker.
 */
export const CONNECT_TIMEOUT_MS = 300;

/** Time in milliseconds in which a machine refuses a connection for which no process listens. */
const REFUSAL_TIMEOUT_MS = 100;

/**
 * Maximum number of bytes of a response until the end of its head, with provisional responses and empty lines, which the
 * parser does not limit.
 */
const MAXIMUM_HEAD_BYTES = 32_768;

/** Reason of an attempt whose response head did not come in time. */
export const NO_ANSWER_IN_TIME = "no answer in time";

/** Reason of an attempt whose response head exceeds the limit. */
export const HEAD_TOO_LONG = "response head is too long";

/** Code of the parser's error for a head that exceeds its own limit. */
const HEADER_OVERFLOW = "HPE_HEADER_OVERFLOW";

/** Reason of an attempt whose response head cannot be sent on. */
const INVALID_HEAD = "response head is invalid";

const HEADER_NAME = /^[\w!#$%&'*+.^`|~-]+$/;
/** Characters of a reason phrase that cannot be sent on. */
const CONTROL_CHARACTERS = /[\x00-\x08\x0a-\x1f\x7f]/g;

/** Time limits and callbacks of one attempt. */
export interface AttemptLimits {
    readonly deadline: Deadline;
    /** Aborts the attempt when the caller closes its connection. */
    readonly signal: AbortSignal;
    /** Maximum wait in milliseconds for the response head; undefined for the whole deadline. */
    readonly headTimeoutMs?: number | undefined;
    /** Called when a new connection is open. */
    readonly onOpen?: (() => void) | undefined;
    /** Called when the request is about to be sent on a new connection. */
    readonly onSending?: (() => void) | undefined;
    /**
     * Called when a new connection is open. The request is sent once what it returns has resolved, unless the attempt was
     * aborted by then; by default at the end of the turn of the event loop.
     */
    readonly beforeSending?: (() => Promise<void>) | undefined;
}

/** Signal of attempts that are not aborted. */
export const NEVER_ABORTED: AbortSignal = new AbortController().signal;
// All attempts in progress that are not aborted listen to it.
setMaxListeners(0, NEVER_ABORTED);

/** Sends a request on a new connection and waits for the response head. */
export async function sendAttempt(attemptRequest: AttemptRequest, limits: AttemptLimits): Promise<AttemptOutcome> {
    if (limits.signal.aborted) return { kind: "cancelled", sent: false };
    if (limits.deadline.passed()) return { kind: "expired", sent: false };
    const connection = await openConnection(attemptRequest.address, limits);
    if (connection.kind !== "connected") return connection;
    const { socket } = connection;
    limits.onSending?.();
    const outcome = await sendOnConnection({ createConnection: () => socket }, attemptRequest, limits);
    if (outcome.kind === "unsendable") socket.destroy();
    return outcome;
}

/**
 * Sends a request on a pooled connection. Use it for servers that respond completely and in order, and for requests
 * that may be sent again when the server has closed an idle connection.
 */
export async function sendOnPooledConnection(
    agent: Agent,
    attemptRequest: AttemptRequest,
    limits: AttemptLimits,
): Promise<AttemptOutcome> {
    if (limits.signal.aborted) return { kind: "cancelled", sent: false };
    if (limits.deadline.passed()) return { kind: "expired", sent: false };
    const address = parseSocketAddress(attemptRequest.address);
    if (address === undefined) return NO_SUCH_ADDRESS;
    return sendOnConnection({ agent, ...address }, attemptRequest, limits);
}

type ConnectionOutcome =
    | { readonly kind: "connected"; readonly socket: Socket }
    | Exclude<AttemptOutcome, { kind: "broken" | "answered" | "unsendable" }>;

/** Outcome for an address that is none. `connect` would throw for it, or ask for a host of that name. */
const NO_SUCH_ADDRESS = { kind: "unreachable", reason: "no connection can be made to this address" } as const;

function openConnection(text: string, limits: AttemptLimits): Promise<ConnectionOutcome> {
    const address = parseSocketAddress(text);
    if (address === undefined) return Promise.resolve(NO_SUCH_ADDRESS);
    return new Promise(resolve => {
        const socket = connect(address);
        socket.setNoDelay(true);
        let settled = false;
        const finish = (outcome: ConnectionOutcome): void => {
            if (settled) return;
            settled = true;
            cancelTimeout();
            limits.signal.removeEventListener("abort", onAbort);
            socket.removeAllListeners("connect");
            socket.removeAllListeners("error");
            if (outcome.kind !== "connected") {
                socket.on("error", () => undefined);
                socket.destroy();
            }
            resolve(outcome);
        };
        const onAbort = (): void => finish({ kind: "cancelled", sent: false });
        const remaining = limits.deadline.remainingMs();
        const cancelTimeout = startTimeout(
            () =>
                finish(
                    remaining <= CONNECT_TIMEOUT_MS
                        ? { kind: "expired", sent: false }
                        : { kind: "unreachable", reason: "connection timed out" },
                ),
            Math.min(CONNECT_TIMEOUT_MS, remaining),
        );
        limits.signal.addEventListener("abort", onAbort);
        const settle = (): void =>
            finish(limits.deadline.passed() ? { kind: "expired", sent: false } : { kind: "connected", socket });
        socket.once("connect", () => {
            cancelTimeout();
            limits.onOpen?.();
            // The caller may have left meanwhile, which another socket reports in the same turn.
            void (limits.beforeSending ?? endOfTurn)().then(settle);
        });
        socket.once("error", error => finish({ kind: "unreachable", reason: error.message }));
    });
}

/** Whether connections to an address are refused at once, as they are when no process listens there. */
export async function refusesConnections(address: string): Promise<boolean> {
    const outcome = await openConnection(address, {
        deadline: Deadline.after(REFUSAL_TIMEOUT_MS),
        signal: NEVER_ABORTED,
    });
    if (outcome.kind === "connected") outcome.socket.destroy();
    return outcome.kind === "unreachable";
}

function sendOnConnection(
    connection: Pick<RequestOptions, "agent" | "createConnection" | "host" | "port">,
    attemptRequest: AttemptRequest,
    limits: AttemptLimits,
): Promise<AttemptOutcome> {
    const created = createRequest({
        method: attemptRequest.method,
        path: attemptRequest.path,
        headers: headersWithHost(attemptRequest),
        ...connection,
    });
    if (created.kind === "unsendable") return Promise.resolve(created);
    const { outgoing } = created;
    return new Promise(resolve => {
        let settled = false;
        const finish = (outcome: AttemptOutcome): void => {
            if (settled) return;
            settled = true;
            cancelDeadline();
            cancelHeadTimeout?.();
            limits.signal.removeEventListener("abort", onAbort);
            outgoing.socket?.removeListener("data", countHeadBytes);
            if (outcome.kind !== "answered") outgoing.destroy();
            resolve(outcome);
        };
        const onAbort = (): void => finish({ kind: "cancelled", sent: true });
        const cancelDeadline = startTimeout(
            () => finish({ kind: "expired", sent: true }),
            limits.deadline.remainingMs(),
        );
        const cancelHeadTimeout =
            limits.headTimeoutMs === undefined
                ? undefined
                : startTimeout(() => finish({ kind: "broken", reason: NO_ANSWER_IN_TIME }), limits.headTimeoutMs);
        let headBytes = 0;
        const countHeadBytes = (chunk: Buffer): void => {
            headBytes += chunk.length;
            if (headBytes > MAXIMUM_HEAD_BYTES) finish({ kind: "broken", reason: HEAD_TOO_LONG });
        };
        outgoing.once("socket", socket => {
            socket.on("data", countHeadBytes);
            if (!socket.connecting) return;
            const cancelConnectTimeout = startTimeout(
                () => finish({ kind: "unreachable", reason: "connection timed out" }),
                CONNECT_TIMEOUT_MS,
            );
            socket.once("connect", cancelConnectTimeout);
            socket.once("close", cancelConnectTimeout);
        });
        // The response may come before the whole body was sent; `finish` then ignores errors of sending.
        outgoing.on("error", (error: NodeJS.ErrnoException) =>
            finish({ kind: "broken", reason: error.code === HEADER_OVERFLOW ? HEAD_TOO_LONG : error.message }),
        );
        outgoing.on("upgrade", (_message, socket) => {
            socket.destroy();
            finish({ kind: "broken", reason: INVALID_HEAD });
        });
        outgoing.on("response", message => {
            const head = responseHead(message);
            if (head === undefined) return finish({ kind: "broken", reason: INVALID_HEAD });
            finish({
                kind: "answered",
                head,
                body: ResponseBody.of(message, outgoing, connection.agent !== undefined),
            });
        });
        limits.signal.addEventListener("abort", onAbort);
        outgoing.end(attemptRequest.body);
    });
}

/** The head of a response; undefined if it cannot be sent on. The parser takes more than `writeHead` does. */
function responseHead(message: IncomingMessage): ResponseHead | undefined {
    const { statusCode: status, statusMessage = "", headers, rawHeaders } = message;
    const hasValidNames = rawHeaders.every((name, index) => index % 2 === 1 || HEADER_NAME.test(name));
    if (!isFinalStatus(status) || !hasValidNames) return undefined;
    return { status, statusText: statusMessage.replaceAll(CONTROL_CHARACTERS, ""), headers, rawHeaders };
}

/** Creates a request. Its path and headers may come from callers, targets and other writers of the store. */
function createRequest(
    options: RequestOptions,
): { readonly kind: "created"; readonly outgoing: ClientRequest } | Extract<AttemptOutcome, { kind: "unsendable" }> {
    try {
        return { kind: "created", outgoing: request(options) };
    } catch (error) {
        return { kind: "unsendable", reason: error instanceof Error ? error.message : String(error) };
    }
}

/** Adds the `Host` header that HTTP/1.1 requires, unless the caller's is among the headers. */
function headersWithHost({ headers, address }: AttemptRequest): string[] {
    const hasHost = headers.some((name, index) => index % 2 === 0 && name.toLowerCase() === "host");
    return hasHost ? [...headers] : ["host", address, ...headers];
}

/** Options of reading a body. */
export interface BodyReadOptions extends AttemptLimits {
    /** Maximum time in milliseconds between bytes; undefined for no limit but the deadline. */
    readonly stallTimeoutMs?: number | undefined;
    /** Receives a chunk. If it returns a promise, reading pauses until the promise resolves. */
    readonly onChunk: (chunk: Buffer) => Promise<void> | undefined;
}

/** The body of a response; it can be read once. */
export class ResponseBody {
    private failureReason: string | undefined;

    private constructor(
        private readonly message: IncomingMessage,
        private readonly outgoing: ClientRequest,
        private readonly isPooled: boolean,
    ) {
        // The connection can fail before `read` is called.
        message.on("error", error => (this.failureReason ??= error.message));
        // A body without a length ends when the connection closes. The parser takes a failure of it for that end as well.
        whenBrokenOff(outgoing, message, error => (this.failureReason ??= error.message));
    }

    /** `isPooled` says whether the connection stays open after a complete response. */
    static of(message: IncomingMessage, outgoing: ClientRequest, isPooled: boolean): ResponseBody {
        return new ResponseBody(message, outgoing, isPooled);
    }

    /** Whether the head says where the body ends; otherwise it ends with the connection. */
    get isDelimited(): boolean {
        return isDelimited(this.message);
    }

    /** Closes the connection without reading further. */
    discard(): void {
        this.outgoing.destroy();
    }

    /**
     * Reads to the end. The connection stays open only if it is pooled and the response is complete. Rejects with what
     * `onChunk` throws.
     */
    read(options: BodyReadOptions): Promise<BodyOutcome> {
        const { message } = this;
        return new Promise((resolve, reject) => {
            let settled = false;
            let cancelStallTimeout = (): void => undefined;
            const finish = (outcome: BodyOutcome): void => {
                if (settled) return;
                settled = true;
                cancelDeadline();
                cancelStallTimeout();
                options.signal.removeEventListener("abort", onAbort);
                if (outcome.kind !== "complete" || !this.isPooled) this.outgoing.destroy();
                resolve(outcome);
            };
            const onAbort = (): void => finish({ kind: "cancelled" });
            const cancelDeadline = startTimeout(() => finish({ kind: "expired" }), options.deadline.remainingMs());
            const armStallTimer = (): void => {
                if (options.stallTimeoutMs === undefined) return;
                cancelStallTimeout();
                cancelStallTimeout = startTimeout(() => finish({ kind: "stalled" }), options.stallTimeoutMs);
            };
            const onEnd = (): void =>
                finish(
                    message.complete && this.failureReason === undefined
                        ? { kind: "complete" }
                        : { kind: "broken", reason: this.failureReason ?? "answer ended early" },
                );
            if (options.signal.aborted) return onAbort();
            options.signal.addEventListener("abort", onAbort);
            let isJoining = false;
            /**
             * Joins the parts that have come while the reader is busy, and stops reading. An object for each part takes a
             * hundred times the bytes of a short one.
             */
            const joinParts = (): void => {
                if (settled || !message.isPaused()) return;
                isJoining = true;
                const joined = message.read() as Buffer | null;
                isJoining = false;
                // Reading from the message lets its connection be read.
                message.socket.pause();
                if (joined !== null) message.unshift(joined);
            };
            message.on("data", (chunk: Buffer) => {
                if (settled || isJoining) return;
                armStallTimer();
                try {
                    const chunkTaken = options.onChunk(chunk);
                    if (chunkTaken === undefined) return;
                    // While the reader is busy, nothing can be said of the target.
                    message.pause();
                    process.nextTick(joinParts);
                    cancelStallTimeout();
                    void chunkTaken.then(() => {
                        if (settled) return;
                        armStallTimer();
                        message.resume();
                        // What is still there is handed on first, and may make the reader busy again.
                        process.nextTick(() => {
                            if (!message.isPaused()) message.socket.resume();
                        });
                    });
                } catch (error) {
                    reject(error instanceof Error ? error : new Error(String(error)));
                    finish({ kind: "broken", reason: "chunk was not taken" });
                }
            });
            message.on("end", onEnd);
            message.on("close", onEnd);
            armStallTimer();
            if (message.destroyed) onEnd();
        });
    }
}

function isDelimited({ headers }: IncomingMessage): boolean {
    return headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
}
