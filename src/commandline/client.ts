/** Client of the operators' HTTP interface. */
import { request as httpRequest } from "node:http";
import { COLLECTION_FAILURE_TEXTS, MemoryAccount, readWhole } from "../memory/index.js";
import { whenBrokenOff } from "../model/connectionreset.js";
import { parseJson } from "../model/json.js";
import {
    type ChangeResult,
    type ConfigurationBody,
    type MoveResponseBody,
    type MovesBody,
    OPERATOR_PREFIX,
    type OperatorError,
    type ReportBody,
    type StatusBody,
} from "../operators/index.js";

/** Response timeout. An entry that retries after a lost store response can take a few seconds. */
const ANSWER_TIMEOUT_MS = 15_000;

/** Longest response that is read, in bytes. */
const MAXIMUM_ANSWER_BYTES = 64 * 1024 * 1024;

export type CallOutcome<Body> =
    | { readonly kind: "answered"; readonly body: Body }
    | { readonly kind: "refused"; readonly error: OperatorError }
    /** No entry could be reached; no request was sent. */
    | { readonly kind: "unreachable"; readonly message: string }
    /** A request was sent but got no usable response; a change may have been made. */
    | { readonly kind: "noAnswer"; readonly message: string };

/** Codes of errors that occur before a request is sent. */
const UNSENT_CODES = ["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "EADDRNOTAVAIL", "ENOTFOUND", "EAI_AGAIN"];

/** Sends each call to the first entry that can be reached. */
export class OperatorClient {
    private constructor(
        private readonly entries: readonly string[],
        private readonly key: string,
    ) {}

    /** Takes the addresses (host:port) of entries in order of preference. */
    static create(entries: readonly string[], key: string): OperatorClient {
        return new OperatorClient(entries, key);
    }

    configuration(): Promise<CallOutcome<ConfigurationBody>> {
        return this.call("GET", "configuration");
    }

    /** The status, with progress towards a version; by default the entry's current one. */
    status(version?: number): Promise<CallOutcome<StatusBody>> {
        return this.call("GET", version === undefined ? "status" : `status?version=${version}`);
    }

    applyLists(body: object): Promise<CallOutcome<ChangeResult>> {
        return this.call("POST", "lists", body);
    }

    changeZone(zone: string, body: object): Promise<CallOutcome<ChangeResult>> {
        return this.call("POST", `zones/${encodeURIComponent(zone)}`, body);
    }

    changeTraffic(service: string, body: object): Promise<CallOutcome<ChangeResult>> {
        return this.call("POST", `services/${encodeURIComponent(service)}/traffic`, body);
    }

    declareMove(body: object): Promise<CallOutcome<MoveResponseBody>> {
        return this.call("POST", "moves", body);
    }

    move(id: string): Promise<CallOutcome<MoveResponseBody>> {
        return this.call("GET", `moves/${encodeURIComponent(id)}`);
    }

    moves(): Promise<CallOutcome<MovesBody>> {
        return this.call("GET", "moves");
    }

    /** Requests the report of every entry. */
    reports(): Promise<readonly CallOutcome<ReportBody>[]> {
        return Promise.all(this.entries.map(entry => send<ReportBody>(entry, this.key, "GET", "report")));
    }

    private async call<Body>(method: string, path: string, body?: object): Promise<CallOutcome<Body>> {
        const messages: string[] = [];
        for (const entry of this.entries) {
            const outcome = await send<Body>(entry, this.key, method, path, body);
            if (outcome.kind !== "unreachable") return outcome;
            messages.push(outcome.message);
        }
        return { kind: "unreachable", message: messages.join("; ") };
    }
}

function send<Body>(
    entry: string,
    key: string,
    method: string,
    path: string,
    body?: object,
): Promise<CallOutcome<Body>> {
    const account = MemoryAccount.create({ maximumBytes: 2 * MAXIMUM_ANSWER_BYTES });
    return new Promise(resolve => {
        const fail = (error: Error): void => {
            const code = "code" in error ? String(error.code) : "";
            const message = `${entry}: ${code || error.message}`;
            resolve({ kind: UNSENT_CODES.includes(code) ? "unreachable" : "noAnswer", message });
        };
        const headers = { "authorization": `Bearer ${key}`, "content-type": "application/json" };
        const url = `http://${entry}${OPERATOR_PREFIX}${path}`;
        const request = httpRequest(url, { method, headers, timeout: ANSWER_TIMEOUT_MS }, response => {
            whenBrokenOff(request, response, error => response.destroy(error));
            void readWhole(response, { account, party: "operators", maximumBytes: MAXIMUM_ANSWER_BYTES }).then(read => {
                if (read.kind === "read") {
                    resolve(parseResponse(entry, response.statusCode ?? 0, read.bytes.toString()));
                } else if (read.kind === "broken") fail(read.error ?? new Error("connection closed"));
                else fail(new Error(COLLECTION_FAILURE_TEXTS[read.kind]));
                if (read.kind !== "read") request.destroy();
            });
        });
        request.on("timeout", () => request.destroy(new Error("no answer in time")));
        request.on("error", fail);
        request.end(body === undefined ? undefined : JSON.stringify(body));
    });
}

function parseResponse<Body>(entry: string, status: number, text: string): CallOutcome<Body> {
    const body = parseJson(text);
    if (status === 200 && typeof body === "object" && body !== null) return { kind: "answered", body: body as Body };
    const error = (body as { readonly error?: OperatorError } | undefined)?.error;
    if (error?.kind !== undefined) return { kind: "refused", error };
    return { kind: "noAnswer", message: `${entry}: status ${status} without an answer of the operators' interface` };
}
