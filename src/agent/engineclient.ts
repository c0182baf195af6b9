/** HTTP/1.1 client of a target. */
import { Agent, type IncomingMessage, request as httpRequest } from "node:http";
import { z } from "zod";
import { whenBrokenOff } from "../model/connectionreset.js";
import { invalidStatusReason, isFinalStatus } from "../model/finalstatus.js";
import type { Engine, EngineEvent, EngineLoad, EngineOrder, EngineRequest, OrderOutcome } from "./engine.js";
import { decodeEvent, eventOfStatus } from "./engineprotocol.js";

/** Maximum length of a line, and of an answer that is read as a whole, in characters. */
export const MAXIMUM_LINE_LENGTH = 1_048_576;

/** Timeout of load and order calls, in milliseconds. The caller's signal bounds executions. */
const SHORT_CALL_TIMEOUT_MS = 1_000;

const loadSchema = z.object({
    bootId: z.string(),
    cold: z.boolean(),
    running: z.int().min(0),
    queued: z.int().min(0),
    capacity: z.int().min(0),
});

interface Call {
    readonly method: string;
    readonly path: string;
    readonly body?: string;
    readonly signal: AbortSignal;
}

function isTerminal(event: EngineEvent): boolean {
    return event.kind !== "started" && event.kind !== "token";
}

/** The error's code, such as `ECONNREFUSED`, or its text when it has none. */
function errorCodeOf(error: unknown): string {
    return error instanceof Error && "code" in error ? String(error.code) : String(error);
}

/** The lines of an answer. Throws when a line is too long or the connection ends before the answer does. */
async function* linesOf(response: IncomingMessage): AsyncGenerator<string> {
    let rest = "";
    response.setEncoding("utf8");
    for await (const chunk of response.iterator({ destroyOnReturn: false })) {
        const lines = (rest + (chunk as string)).split("\n");
        rest = lines.pop() ?? "";
        if ([rest, ...lines].some(line => line.length > MAXIMUM_LINE_LENGTH)) throw new Error("line is too long");
        yield* lines;
    }
    if (rest !== "") yield rest;
}

async function textOf(response: IncomingMessage): Promise<string> {
    let text = "";
    response.setEncoding("utf8");
    for await (const chunk of response) {
        text += chunk as string;
        if (text.length > MAXIMUM_LINE_LENGTH) throw new Error("answer is too long");
    }
    return text;
}

/** The message of an error answer, or the start of its text when it is not in the usual format. */
function errorMessageOf(text: string): string {
    try {
        return z.object({ error: z.string() }).parse(JSON.parse(text)).error;
    } catch {
        return text.slice(0, 200);
    }
}

/** Client of one target. */
export class HttpEngine implements Engine {
    private readonly httpAgent = new Agent({ keepAlive: true });

    private constructor(private readonly address: string) {}

    /** A client of the target at an address (host:port). */
    static create(address: string): HttpEngine {
        return new HttpEngine(address);
    }

    /** Executes an operation. Aborting the signal closes the connection, which cancels the operation. */
    async *execute(request: EngineRequest, signal: AbortSignal): AsyncGenerator<EngineEvent> {
        if (signal.aborted) return yield { kind: "notStarted", message: "cancelled" };
        // A consumer that stops iterating cancels the execution too.
        const controller = new AbortController();
        const combinedSignal = AbortSignal.any([signal, controller.signal]);
        let complete = false;
        try {
            for await (const event of this.readEvents(request, combinedSignal)) {
                complete = isTerminal(event) && event.kind !== "lost";
                yield event;
            }
        } catch (error) {
            yield { kind: "lost", message: signal.aborted ? "cancelled" : errorCodeOf(error) };
        } finally {
            if (!complete) controller.abort();
        }
    }

    async load(): Promise<EngineLoad | undefined> {
        const signal = AbortSignal.timeout(SHORT_CALL_TIMEOUT_MS);
        try {
            const response = await this.call({ method: "GET", path: "/v1/load", signal });
            if (response.statusCode !== 200) {
                response.resume();
                return undefined;
            }
            return loadSchema.parse(JSON.parse(await textOf(response)));
        } catch {
            return undefined;
        }
    }

    async order(order: EngineOrder): Promise<OrderOutcome> {
        const signal = AbortSignal.timeout(SHORT_CALL_TIMEOUT_MS);
        try {
            const body = JSON.stringify(order);
            const response = await this.call({ method: "POST", path: "/v1/orders", body, signal });
            const message = errorMessageOf(await textOf(response));
            if (response.statusCode === 200) return { kind: "applied" };
            return { kind: response.statusCode === 409 ? "staleFencing" : "unavailable", message };
        } catch (error) {
            return { kind: "unavailable", message: errorCodeOf(error) };
        }
    }

    /** Closes idle connections. */
    close(): void {
        this.httpAgent.destroy();
    }

    private async *readEvents(request: EngineRequest, signal: AbortSignal): AsyncGenerator<EngineEvent> {
        let response: IncomingMessage;
        try {
            const body = JSON.stringify(request);
            response = await this.call({ method: "POST", path: "/v1/execute", body, signal });
        } catch (error) {
            if (errorCodeOf(error) !== "ECONNREFUSED") throw error;
            return yield { kind: "notStarted", message: "connection refused" };
        }
        const status = response.statusCode ?? 0;
        if (status !== 200) return yield eventOfStatus(status, errorMessageOf(await textOf(response)));
        for await (const line of linesOf(response)) {
            const event = decodeEvent(line);
            if (event === undefined) return yield { kind: "lost", message: "malformed line" };
            // Drains the response, so that the connection can be reused.
            if (isTerminal(event)) response.resume();
            yield event;
            if (isTerminal(event)) return;
        }
        yield { kind: "lost", message: "answer ended without a result" };
    }

    private call(call: Call): Promise<IncomingMessage> {
        const { method, signal } = call;
        const headers = { "content-type": "application/json", "content-length": Buffer.byteLength(call.body ?? "") };
        const options = { method, agent: this.httpAgent, headers };
        return new Promise((resolve, reject) => {
            let incoming: IncomingMessage | undefined;
            const outgoing = httpRequest(`http://${this.address}${call.path}`, options, response => {
                incoming = response;
                // A cancelled response may have no reader left to handle its error.
                response.on("error", () => undefined);
                whenBrokenOff(outgoing, response, error => response.destroy(error));
                if (isFinalStatus(response.statusCode)) return resolve(response);
                reject(new Error(invalidStatusReason(response.statusCode)));
                outgoing.destroy();
            });
            // After a complete response the connection is back in the HTTP agent's pool, or serves another call.
            const cancel = (): void => {
                if (!incoming?.complete) outgoing.destroy(new Error("cancelled or no answer in time"));
            };
            signal.addEventListener("abort", cancel);
            outgoing.on("close", () => {
                signal.removeEventListener("abort", cancel);
                // An upgrade of the connection closes it without another event.
                reject(new Error("connection closed"));
            });
            outgoing.on("error", reject);
            if (signal.aborted) cancel();
            else outgoing.end(call.body);
        });
    }
}
