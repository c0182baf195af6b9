/** A caller: sends a request over HTTP, reads the answer or the stream of it, and compares it with the expected one. */
import type { Pipeline } from "../model/index.js";
import { expectedOutput } from "../standins/index.js";

/** One request of the demo. */
export interface DemoRequest {
    /** Address (host:port) of the entry. */
    readonly entry: string;
    /** Name of the account and the key that it authenticates with. */
    readonly account: { readonly name: string; readonly key: string };
    readonly pipeline: Pipeline;
    readonly input: object;
    /** Whether tokens are read as server-sent events. */
    readonly streamed: boolean;
    readonly idempotencyKey?: string;
}

/** What a caller read. `wrong` is an answer that differs from the expected one or breaks the interface's promises. */
export interface Verdict {
    readonly kind: "delivered" | "refused" | "failed" | "unknown" | "wrong";
    /** What was read, for verdicts other than `delivered`. */
    readonly detail: string;
    readonly milliseconds: number;
}

/** What an answer has to contain. */
export interface ExpectedResponse {
    readonly output: unknown;
    readonly stages: Readonly<Record<string, unknown>>;
    /** Text of the last streaming stage; empty when there is none. */
    readonly streamedText: string;
}

/** An answer as it was read. */
export interface ParsedResponse {
    readonly status: number;
    readonly body: unknown;
    /** Events before the last one; undefined for an answer that was not streamed. */
    readonly events?: readonly StreamEvent[];
}

interface StreamEvent {
    readonly name: string;
    readonly data: unknown;
}

interface ResponseBody {
    readonly outcome?: string;
    readonly output?: unknown;
    readonly stages?: unknown;
    readonly notRun?: unknown;
}

/** Deadline of each request; an answer after it does not count as delivered. */
const DEADLINE_MS = 4_000;
/** Time after the deadline until the caller gives up. */
const GRACE_MS = 2_000;

/** The answer of a pipeline of stand-in targets: each stage's output is a function of the input and the one before. */
export function expectedResponse(pipeline: Pipeline, input: object): ExpectedResponse {
    const stages: Record<string, unknown> = {};
    let previous: unknown = null;
    let streamedText = "";
    for (const { name, operation, maximumTokens, streaming } of pipeline.stages) {
        previous = JSON.parse(expectedOutput(operation, JSON.stringify({ input, previous }), maximumTokens));
        stages[name] = previous;
        if (streaming) streamedText = (previous as { readonly text: string }).text;
    }
    return { output: previous, stages, streamedText };
}

/** Sends a request and judges its answer. A broken connection counts as `unknown`, as callers have to take it. */
export async function sendRequest(request: DemoRequest): Promise<Verdict> {
    const startedAt = performance.now();
    const elapsed = (): number => performance.now() - startedAt;
    try {
        const answer = await fetchResponse(request);
        const verdict = checkResponse(answer, expectedResponse(request.pipeline, request.input));
        const milliseconds = elapsed();
        if (verdict.kind === "delivered" && milliseconds > DEADLINE_MS) {
            return { kind: "failed", detail: "the answer came after the deadline", milliseconds };
        }
        return { ...verdict, milliseconds };
    } catch (error) {
        return { kind: "unknown", detail: String(error), milliseconds: elapsed() };
    }
}

async function fetchResponse({ entry, account, pipeline, input, streamed, idempotencyKey }: DemoRequest) {
    const response = await fetch(`http://${entry}/v1/pipelines/${pipeline.name}`, {
        method: "POST",
        headers: {
            "authorization": `Bearer ${account.key}`,
            "content-type": "application/json",
            "parsleyrun-deadline-ms": String(DEADLINE_MS),
            "parsleyrun-kind": streamed ? "streamed" : "whole",
            ...(streamed ? { accept: "text/event-stream" } : {}),
            ...(idempotencyKey === undefined ? {} : { "idempotency-key": idempotencyKey }),
        },
        body: JSON.stringify({ input }),
        signal: AbortSignal.timeout(DEADLINE_MS + GRACE_MS),
    });
    return parseResponse(response.status, response.headers.get("content-type") ?? "", await response.text());
}

/** An answer from its status, content type and text. Throws when the text is incomplete. */
export function parseResponse(status: number, contentType: string, text: string): ParsedResponse {
    if (!contentType.startsWith("text/event-stream")) return { status, body: JSON.parse(text) };
    const events = text
        .split("\n\n")
        .filter(block => block !== "")
        .map(parseEvent);
    const last = events.pop();
    if (last?.name !== "outcome") throw new Error("the stream ended without an outcome");
    return { status, body: last.data, events };
}

function parseEvent(block: string): StreamEvent {
    const match = /^event: (\S+)\ndata: (.*)$/.exec(block);
    if (match === null) throw new Error(`malformed event: ${block}`);
    return { name: match[1] ?? "", data: JSON.parse(match[2] ?? "") };
}

/** Compares an answer with what was expected. */
export function checkResponse(answer: ParsedResponse, expected: ExpectedResponse): Omit<Verdict, "milliseconds"> {
    const body = answer.body as ResponseBody;
    const detail = JSON.stringify(answer.body);
    switch (body.outcome) {
        case "done":
            if (matchesExpectation(answer, body, expected)) return { kind: "delivered", detail: "" };
            return { kind: "wrong", detail: `expected ${JSON.stringify(expected.output)}, read ${detail}` };
        case "refused":
            return { kind: body.notRun === true ? "refused" : "wrong", detail };
        case "unknown":
            return { kind: "unknown", detail };
        default:
            return { kind: "failed", detail: `status ${answer.status}: ${detail}` };
    }
}

function matchesExpectation(
    { status, events }: ParsedResponse,
    { output, stages }: ResponseBody,
    expected: ExpectedResponse,
): boolean {
    return (
        status === 200 &&
        JSON.stringify(output) === JSON.stringify(expected.output) &&
        JSON.stringify(stages) === JSON.stringify(expected.stages) &&
        (events === undefined || textOf(events) === expected.streamedText)
    );
}

/** The streamed text; undefined when tokens are missing, repeated or out of order, or other events are among them. */
function textOf(events: readonly StreamEvent[]): string | undefined {
    const tokens: string[] = [];
    for (const { name, data } of events) {
        const { index, token } = data as { readonly index?: unknown; readonly token?: unknown };
        if (name !== "token" || index !== tokens.length || typeof token !== "string") return undefined;
        tokens.push(token);
    }
    return tokens.join("");
}
