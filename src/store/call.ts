/** One HTTP call to a store, and its outcome. */
import { Agent, type IncomingHttpHeaders, type OutgoingHttpHeaders, request as httpRequest } from "node:http";
import { COLLECTION_FAILURE_TEXTS, MemoryAccount, readWhole } from "../memory/index.js";
import { whenBrokenOff } from "../model/connectionreset.js";
import { invalidStatusReason, isFinalStatus } from "../model/finalstatus.js";
import { parseJson } from "../model/json.js";
import { startTimeout } from "../model/timeout.js";

/** A request to a store. */
export interface StoreCall {
    readonly method: string;
    readonly path: string;
    readonly headers?: OutgoingHttpHeaders;
    readonly body?: string;
    readonly timeoutMilliseconds: number;
    /** Longest response body that is read. */
    readonly maximumBytes?: number;
}

/** The response to a call, or why there is none. `sent` tells whether the request may have reached the store. */
export type StoreCallOutcome =
    | {
          readonly kind: "answered";
          readonly status: number;
          readonly headers: IncomingHttpHeaders;
          readonly body: unknown;
          readonly bytes: number;
      }
    | { readonly kind: "unanswered"; readonly sent: boolean; readonly message: string };

/**
 * Longest response body that is read, in bytes, and most values that it may have. The registrations and slot tables of
 * 5,900 replicas take a few megabytes, so a longer body does not come from the store. A parsed value takes many times the
 * bytes of a short one.
 */
const MAXIMUM_RESPONSE_BYTES = 16 * 1024 * 1024;
const MAXIMUM_RESPONSE_VALUES = 1_000_000;

/** Bytes that all response bodies which are being read from one store may take together. */
const MAXIMUM_OPEN_BYTES = 2 * MAXIMUM_RESPONSE_BYTES;

const [COMMA, BRACKET, BRACE] = Buffer.from(",[{");

/** Why a call is unanswered whose response body was longer than allowed. */
export const ANSWER_TOO_LONG = COLLECTION_FAILURE_TEXTS.tooLong;

/** Codes of errors that occur before a connection is made, so that the request was not sent. */
const CONNECT_ERROR_CODES = ["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "EADDRNOTAVAIL", "EMFILE"];

/** The connections to one store, and the memory for its responses. */
export interface StoreConnections {
    /** host:port */
    readonly address: string;
    readonly agent: Agent;
    readonly memory: MemoryAccount;
}

/** Connections to the store at `address` (host:port), which are made on demand. */
export function connectionsTo(address: string): StoreConnections {
    const memory = MemoryAccount.create({ maximumBytes: MAXIMUM_OPEN_BYTES });
    return { address, agent: new Agent({ keepAlive: true }), memory };
}

/** Sends a call. The `body` of a response that is not JSON is undefined. */
export async function sendCall(connections: StoreConnections, call: StoreCall): Promise<StoreCallOutcome> {
    try {
        return await send(connections, call);
    } catch (error) {
        // Only the creation of the request throws, for an address, path or header that cannot be sent.
        return { kind: "unanswered", sent: false, message: error instanceof Error ? error.message : String(error) };
    }
}

function send({ address, agent, memory }: StoreConnections, call: StoreCall): Promise<StoreCallOutcome> {
    const { method, body } = call;
    const length = body === undefined ? {} : { "content-length": Buffer.byteLength(body) };
    const options = {
        method,
        agent,
        headers: { ...call.headers, ...length, "content-type": "application/json" },
    };
    return new Promise(resolve => {
        const outgoing = httpRequest(`http://${address}${call.path}`, options, response => {
            const maximumBytes = Math.min(call.maximumBytes ?? MAXIMUM_RESPONSE_BYTES, MAXIMUM_RESPONSE_BYTES);
            const limits = { account: memory, party: "store", maximumBytes } as const;
            const { statusCode: status, headers } = response;
            whenBrokenOff(outgoing, response, error => response.destroy(error));
            void readWhole(response, limits).then(read => {
                if (read.kind === "broken") fail(read.error ?? new Error("connection closed"));
                else if (read.kind !== "read") fail(new Error(COLLECTION_FAILURE_TEXTS[read.kind]));
                else if (hasTooManyValues(read.bytes)) fail(new Error("answer has too many values"));
                else if (!isFinalStatus(status)) fail(new Error(invalidStatusReason(status)));
                else {
                    cancelTimeout();
                    const body = parseJson(read.bytes.toString());
                    resolve({ kind: "answered", status, headers, body, bytes: read.bytes.length });
                }
                if (read.kind !== "read") outgoing.destroy();
            });
        });
        const cancelTimeout = startTimeout(
            () => outgoing.destroy(new Error("no answer in time")),
            call.timeoutMilliseconds,
        );
        const fail = (error: Error): void => {
            cancelTimeout();
            const code = "code" in error ? String(error.code) : "";
            resolve({ kind: "unanswered", sent: !CONNECT_ERROR_CODES.includes(code), message: code || error.message });
        };
        outgoing.on("error", fail);
        // An upgrade of the connection closes it without another event. A body that was read is handed over first.
        outgoing.on("close", () => setImmediate(() => fail(new Error("connection closed"))));
        outgoing.end(body);
    });
}

/** Whether a JSON text has more values than a store sends. Each value but the first follows one of these characters. */
function hasTooManyValues(bytes: Buffer): boolean {
    if (bytes.length <= MAXIMUM_RESPONSE_VALUES) return false;
    let values = 0;
    for (const byte of bytes) if (byte === COMMA || byte === BRACKET || byte === BRACE) values += 1;
    return values > MAXIMUM_RESPONSE_VALUES;
}
