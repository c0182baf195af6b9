/** A target that is called over HTTP/1.1. */
import { Agent, type IncomingMessage, request as httpRequest } from "node:http";
import { z } from "zod";
import type { Engine, EngineEvent, EngineLoad, EngineOrder, EngineRequest, OrderOutcome } from "./engine.js";
import { decodeEvent, eventOfStatus } from "./engineprotocol.js";

/** Longest line and longest error answer that are read, in characters. */
export const MAXIMUM_LINE_LENGTH = 1_048_576;

/** Time for load reports and orders. Executions are bounded by their caller's signal. */
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

function codeOf(error: unknown): string {
    return error instanceof Error && "code" in error ? String(error.code) : String(error);
}

/** The lines of an answer. Throws when one is too long or the connection ends in the middle of the answer. */
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

function messageOf(text: string): string {
    try {
        return z.object({ error: z.string() }).parse(JSON.parse(text)).error;
    } catch {
        return text.slice(0, 200);
    }
}

/** Client of one target. */
export class HttpEngine implements Engine {
    private readonly agent = new Agent({ keepAlive: true });

    private constructor(private readonly address: string) {}

    /** A client of the target at an address (host:port). */
    static create(address: string): HttpEngine {
        return new HttpEngine(address);
    }

    /** Executes an operation. Aborting the signal closes the connection, which cancels the operation. */
    async *execute(request: EngineRequest, signal: AbortSignal): AsyncGenerator<EngineEvent> {
        if (signal.aborted) return yield { kind: "notStarted", message: "cancelled" };
        // Leaving the loop early cancels as well.
        const abort = new AbortController();
        const ended = AbortSignal.any([signal, abort.signal]);
        let complete = false;
        try {
            for await (const event of this.receive(request, ended)) {
                complete = isTerminal(event) && event.kind !== "lost";
                yield event;
            }
        } catch (error) {
            yield { kind: "lost", message: signal.aborted ? "cancelled" : codeOf(error) };
        } finally {
            if (!complete) abort.abort();
        }
    }

    async load(): Promise<EngineLoad | undefined> {
        const signal = AbortSignal.timeout(SHORT_CALL_TIMEOUT_MS);
        try {
            const response = await this.call({ method: "GET", path: "/v1/load", signal });
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
            const message = messageOf(await textOf(response));
            if (response.statusCode === 200) return { kind: "applied" };
            return { kind: response.statusCode === 409 ? "staleFencing" : "unavailable", message };
        } catch (error) {
            return { kind: "unavailable", message: codeOf(error) };
        }
    }

    /** Closes idle connections. */
    close(): void {
        this.agent.destroy();
    }

    private async *receive(request: EngineRequest, signal: AbortSignal): AsyncGenerator<EngineEvent> {
        let response: IncomingMessage;
        try {
            const body = JSON.stringify(request);
            response = await this.call({ method: "POST", path: "/v1/execute", body, signal });
        } catch (error) {
            if (codeOf(error) !== "ECONNREFUSED") throw error;
            return yield { kind: "notStarted", message: "connection refused" };
        }
        const status = response.statusCode ?? 0;
        if (status !== 200) return yield eventOfStatus(status, messageOf(await textOf(response)));
        for await (const line of linesOf(response)) {
            const event = decodeEvent(line);
            if (event === undefined) return yield { kind: "lost", message: "malformed line" };
            // The rest is read so that the connection can be used again.
            if (isTerminal(event)) response.resume();
            yield event;
            if (isTerminal(event)) return;
        }
        yield { kind: "lost", message: "answer ended without a result" };
    }

    private call(call: Call): Promise<IncomingMessage> {
        const { method, signal } = call;
        const headers = { "content-type": "application/json", "content-length": Buffer.byteLength(call.body ?? "") };
        const options = { method, agent: this.agent, headers };
        return new Promise((resolve, reject) => {
            let incoming: IncomingMessage | undefined;
            const outgoing = httpRequest(`http://${this.address}${call.path}`, options, response => {
                incoming = response;
                // A response that is cancelled may have no reader any more.
                response.on("error", () => undefined);
                resolve(response);
            });
            // After a complete response the connection belongs to the agent again, or to another call.
            const cancel = (): void => {
                if (!incoming?.complete) outgoing.destroy(new Error("cancelled or no answer in time"));
            };
            signal.addEventListener("abort", cancel);
            outgoing.on("close", () => signal.removeEventListener("abort", cancel));
            outgoing.on("error", reject);
            if (signal.aborted) cancel();
            else outgoing.end(call.body);
        });
    }
}
