/** One HTTP call to a store, and its outcome. */
import { type Agent, type IncomingHttpHeaders, type OutgoingHttpHeaders, request as httpRequest } from "node:http";
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
      }
    | { readonly kind: "unanswered"; readonly sent: boolean; readonly message: string };

/**
 * Longest response body that is read, in bytes. The registrations and slot tables of 5,900 replicas take a few
 * megabytes, so a longer body does not come from the store.
 */
const MAXIMUM_RESPONSE_BYTES = 64 * 1024 * 1024;

/** Why a call is unanswered whose response body was longer than allowed. */
export const ANSWER_TOO_LONG = "answer is too long";

/** Codes of errors that occur before a connection is made, so that the request was not sent. */
const CONNECT_ERROR_CODES = ["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "EADDRNOTAVAIL", "EMFILE"];

/** Sends a call to `address` (host:port). The `body` of a response that is not JSON is undefined. */
export async function sendCall(agent: Agent, address: string, call: StoreCall): Promise<StoreCallOutcome> {
    try {
        return await send(agent, address, call);
    } catch (error) {
        // Only the creation of the request throws, for an address, path or header that cannot be sent.
        return { kind: "unanswered", sent: false, message: error instanceof Error ? error.message : String(error) };
    }
}

function send(agent: Agent, address: string, call: StoreCall): Promise<StoreCallOutcome> {
    const { method, body } = call;
    const length = body === undefined ? {} : { "content-length": Buffer.byteLength(body) };
    const options = {
        method,
        agent,
        headers: { ...call.headers, ...length, "content-type": "application/json" },
    };
    return new Promise(resolve => {
        const outgoing = httpRequest(`http://${address}${call.path}`, options, response => {
            const chunks: Buffer[] = [];
            let bytes = 0;
            response.on("data", (chunk: Buffer) => {
                bytes += chunk.length;
                if (bytes <= (call.maximumBytes ?? MAXIMUM_RESPONSE_BYTES)) chunks.push(chunk);
                else response.destroy(new Error(ANSWER_TOO_LONG));
            });
            response.on("error", fail);
            response.on("end", () => {
                cancelTimeout();
                const text = Buffer.concat(chunks).toString();
                const { statusCode: status = 0, headers } = response;
                resolve({ kind: "answered", status, headers, body: parseJson(text) });
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
        // An upgrade of the connection closes it without another event.
        outgoing.on("close", () => fail(new Error("connection closed")));
        outgoing.end(body);
    });
}
