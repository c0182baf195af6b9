/**
 * One HTTP request: to a target on a connection of its own, or to another gateway on a kept one.
 *
 * A fresh connection carries nothing of earlier requests: no late answers, no bytes after an answer, no connection that
 * the target closed or that went silent while it was idle. Whether anything was sent is known exactly, which decides
 * whether a request that must not be repeated may go to another target.
 */
import {
    type Agent,
    type ClientRequest,
    type IncomingHttpHeaders,
    type IncomingMessage,
    request,
    type RequestOptions,
} from "node:http";
import { connect, type Socket } from "node:net";
import type { Deadline } from "../model/index.js";

/** What is sent. */
export interface AttemptRequest {
    /** `ip:port`. */
    readonly address: string;
    readonly method: string;
    readonly path: string;
    /** Names and values in turn. */
    readonly headers: readonly string[];
    readonly body: Buffer | undefined;
}

/** Status and headers of an answer. */
export interface ResponseHead {
    readonly status: number;
    readonly statusText: string;
    readonly headers: IncomingHttpHeaders;
    /** Names and values in turn, as received. */
    readonly rawHeaders: readonly string[];
}

/** What sending came to. */
export type AttemptOutcome =
    /** No connection was made; nothing was sent. */
    | { readonly kind: "unreachable"; readonly reason: string }
    /** Something was sent and no answer's head came; the target may have run the request. */
    | { readonly kind: "broken"; readonly reason: string }
    /** The deadline passed before an answer's head. */
    | { readonly kind: "expired"; readonly sent: boolean }
    /** The caller went away. */
    | { readonly kind: "cancelled"; readonly sent: boolean }
    | { readonly kind: "answered"; readonly head: ResponseHead; readonly body: ResponseBody };

/** What reading a body to its end came to. */
export type BodyOutcome =
    | { readonly kind: "complete" }
    | { readonly kind: "broken"; readonly reason: string }
    | { readonly kind: "stalled" }
    | { readonly kind: "expired" }
    | { readonly kind: "cancelled" };

/**
 * Time in milliseconds for a connection to be made. Several round trips and a busy target's accept; a lost packet is
 * sent again only after a second, so another connection is quicker.
 */
export const CONNECT_TIMEOUT_MS = 300;

/** Reason of an attempt whose time for the answer's head has passed. */
export const NO_ANSWER_IN_TIME = "no answer in time";

/** Limits of one attempt. */
export interface AttemptLimits {
    readonly deadline: Deadline;
    /** Ends the attempt when the caller goes away. */
    readonly signal: AbortSignal;
    /** Longest wait in milliseconds for the answer's head; undefined for the whole deadline. */
    readonly headTimeoutMs?: number | undefined;
    /** Called when a connection has been made and the request is about to be sent. */
    readonly onConnected?: () => void;
}

/** Signal of attempts that nobody ends. */
export const NEVER_ABORTED: AbortSignal = new AbortController().signal;

/** Sends a request and waits for the head of its answer. */
export async function sendAttempt(order: AttemptRequest, limits: AttemptLimits): Promise<AttemptOutcome> {
    if (limits.signal.aborted) return { kind: "cancelled", sent: false };
    if (limits.deadline.passed()) return { kind: "expired", sent: false };
    const connection = await openConnection(order.address, limits);
    if (connection.kind !== "connected") return connection;
    const { socket } = connection;
    limits.onConnected?.();
    return sendOn({ createConnection: () => socket }, order, limits);
}

/**
 * Sends a request on a connection that is kept for the next one. This is for servers that answer in order and whole, and
 * for requests that may be sent again when the other end has closed an idle connection.
 */
export async function sendOnPooledConnection(
    agent: Agent,
    order: AttemptRequest,
    limits: AttemptLimits,
): Promise<AttemptOutcome> {
    if (limits.signal.aborted) return { kind: "cancelled", sent: false };
    if (limits.deadline.passed()) return { kind: "expired", sent: false };
    return sendOn({ agent, ...hostAndPort(order.address) }, order, limits);
}

type ConnectionOutcome =
    { readonly kind: "connected"; readonly socket: Socket } | Exclude<AttemptOutcome, { kind: "broken" | "answered" }>;

function openConnection(address: string, limits: AttemptLimits): Promise<ConnectionOutcome> {
    return new Promise(resolve => {
        const socket = connect(hostAndPort(address));
        socket.setNoDelay(true);
        const finish = (outcome: ConnectionOutcome): void => {
            clearTimeout(timer);
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
        const timer = setTimeout(
            () =>
                finish(
                    remaining <= CONNECT_TIMEOUT_MS
                        ? { kind: "expired", sent: false }
                        : { kind: "unreachable", reason: "connection timed out" },
                ),
            Math.min(CONNECT_TIMEOUT_MS, remaining),
        );
        limits.signal.addEventListener("abort", onAbort);
        socket.once("connect", () => finish({ kind: "connected", socket }));
        socket.once("error", error => finish({ kind: "unreachable", reason: error.message }));
    });
}

function sendOn(
    connection: Pick<RequestOptions, "agent" | "createConnection" | "host" | "port">,
    order: AttemptRequest,
    limits: AttemptLimits,
): Promise<AttemptOutcome> {
    return new Promise(resolve => {
        let settled = false;
        const finish = (outcome: AttemptOutcome): void => {
            if (settled) return;
            settled = true;
            clearTimeout(timer);
            limits.signal.removeEventListener("abort", onAbort);
            if (outcome.kind !== "answered") outgoing.destroy();
            resolve(outcome);
        };
        const onAbort = (): void => finish({ kind: "cancelled", sent: true });
        const remaining = limits.deadline.remainingMs();
        const headTimeout = limits.headTimeoutMs ?? Number.POSITIVE_INFINITY;
        const timer = setTimeout(
            () =>
                finish(
                    headTimeout < remaining
                        ? { kind: "broken", reason: NO_ANSWER_IN_TIME }
                        : { kind: "expired", sent: true },
                ),
            Math.min(headTimeout, remaining),
        );
        const outgoing: ClientRequest = request({
            method: order.method,
            path: order.path,
            headers: withHost(order),
            ...connection,
        });
        outgoing.once("socket", socket => {
            if (!socket.connecting) return;
            const connectTimer = setTimeout(
                () => finish({ kind: "unreachable", reason: "connection timed out" }),
                CONNECT_TIMEOUT_MS,
            );
            socket.once("connect", () => clearTimeout(connectTimer));
            socket.once("close", () => clearTimeout(connectTimer));
        });
        // An answer may come before the whole body was sent; what then goes wrong in sending changes nothing.
        outgoing.on("error", error => finish({ kind: "broken", reason: error.message }));
        outgoing.on("response", message => {
            const head: ResponseHead = {
                status: message.statusCode ?? 0,
                statusText: message.statusMessage ?? "",
                headers: message.headers,
                rawHeaders: message.rawHeaders,
            };
            finish({
                kind: "answered",
                head,
                body: ResponseBody.of(message, outgoing, connection.agent !== undefined),
            });
        });
        limits.signal.addEventListener("abort", onAbort);
        outgoing.end(order.body);
    });
}

function hostAndPort(address: string): { readonly host: string; readonly port: number } {
    const separator = address.lastIndexOf(":");
    return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}

/** An HTTP/1.1 request needs a host; one that is passed on has its caller's. */
function withHost({ headers, address }: AttemptRequest): string[] {
    const named = headers.some((name, index) => index % 2 === 0 && name.toLowerCase() === "host");
    return named ? [...headers] : ["host", address, ...headers];
}

/** How a body is read. */
export interface BodyReadOptions extends AttemptLimits {
    /** Longest time in milliseconds without a byte; undefined for no limit but the deadline. */
    readonly stallTimeoutMs?: number | undefined;
    /** Takes a chunk; a promise holds up the next one. */
    readonly onChunk: (chunk: Buffer) => Promise<void> | undefined;
}

/** The body of an answer, read once. */
export class ResponseBody {
    private failure: string | undefined;

    private constructor(
        private readonly message: IncomingMessage,
        private readonly outgoing: ClientRequest,
        private readonly isKept: boolean,
    ) {
        // A break can come before anybody reads.
        message.on("error", error => (this.failure ??= error.message));
        // A body without a length ends with its connection. The parser takes a reset for that end as well.
        if (!isDelimited(message)) message.socket.on("error", error => (this.failure ??= error.message));
    }

    /** `isKept` says whether the connection stays open after a complete answer. */
    static of(message: IncomingMessage, outgoing: ClientRequest, isKept: boolean): ResponseBody {
        return new ResponseBody(message, outgoing, isKept);
    }

    /** Closes the connection without reading further. */
    discard(): void {
        this.outgoing.destroy();
    }

    /** Reads to the end. Only a kept connection stays open, and only when the answer is complete. */
    read(reading: BodyReadOptions): Promise<BodyOutcome> {
        const { message } = this;
        return new Promise(resolve => {
            let settled = false;
            let stallTimer: NodeJS.Timeout | undefined;
            const finish = (outcome: BodyOutcome): void => {
                if (settled) return;
                settled = true;
                clearTimeout(deadlineTimer);
                clearTimeout(stallTimer);
                reading.signal.removeEventListener("abort", onAbort);
                if (outcome.kind !== "complete" || !this.isKept) this.outgoing.destroy();
                resolve(outcome);
            };
            const onAbort = (): void => finish({ kind: "cancelled" });
            const deadlineTimer = setTimeout(() => finish({ kind: "expired" }), reading.deadline.remainingMs());
            const armStallTimer = (): void => {
                if (reading.stallTimeoutMs === undefined) return;
                clearTimeout(stallTimer);
                stallTimer = setTimeout(() => finish({ kind: "stalled" }), reading.stallTimeoutMs);
            };
            const ended = (): void =>
                finish(
                    message.complete && this.failure === undefined
                        ? { kind: "complete" }
                        : { kind: "broken", reason: this.failure ?? "answer ended early" },
                );
            if (reading.signal.aborted) return onAbort();
            reading.signal.addEventListener("abort", onAbort);
            message.on("data", (chunk: Buffer) => {
                if (settled) return;
                armStallTimer();
                const held = reading.onChunk(chunk);
                if (held === undefined) return;
                message.pause();
                void held.then(() => message.resume());
            });
            message.on("end", ended);
            message.on("close", ended);
            armStallTimer();
            if (message.destroyed) ended();
        });
    }
}

function isDelimited({ headers }: IncomingMessage): boolean {
    return headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
}

/** Reads a body of limited size into memory. */
export async function readBody(
    body: ResponseBody,
    limits: AttemptLimits & Pick<BodyReadOptions, "stallTimeoutMs">,
    maximumBytes: number,
): Promise<{ readonly outcome: BodyOutcome; readonly bytes: Buffer }> {
    const chunks: Buffer[] = [];
    let size = 0;
    const outcome = await body.read({
        ...limits,
        onChunk: chunk => {
            size += chunk.length;
            if (size <= maximumBytes) chunks.push(chunk);
            else body.discard();
            return undefined;
        },
    });
    return { outcome, bytes: Buffer.concat(chunks) };
}
