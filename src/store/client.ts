/**
 * The object API over HTTP/1.1. A call that is refused, or whose connection cannot be made, changed nothing; a write
 * whose connection ends after it was made is `unknown`.
 */
import { Agent, type OutgoingHttpHeaders, request as httpRequest } from "node:http";
import { z } from "zod";
import type { CallKind, CallLedger } from "./ledger.js";
import type { ListOutcome, ReadOutcome, Store, StoreEvent, WatchOutcome, WriteOutcome } from "./store.js";

/** Settings of a store client. */
export interface HttpStoreOptions {
    /** host:port */
    readonly address: string;
    /** Time for one call; a watch has its own time in addition. */
    readonly timeoutMilliseconds: number;
    readonly ledger: CallLedger;
}

interface Call {
    readonly kind: CallKind;
    readonly method: string;
    readonly path: string;
    readonly headers?: OutgoingHttpHeaders;
    readonly body?: string;
    readonly timeoutMilliseconds: number;
}

/** `sent` tells whether the call may have reached the store. */
type Answer =
    | { readonly kind: "answered"; readonly status: number; readonly body: unknown }
    | { readonly kind: "unanswered"; readonly sent: boolean; readonly message: string };

const objectSchema = z.object({ key: z.string(), version: z.int().min(1), value: z.string() });
const listSchema = z.object({ objects: z.array(objectSchema), revision: z.int().min(0) });
const writtenSchema = z.object({ version: z.int().min(1) });
const watchSchema = z.object({
    events: z.array(z.object({ key: z.string(), object: objectSchema.optional() })),
    revision: z.int().min(0),
});

/**
 * Longest answer that is kept, in bytes. The members and slot tables of 5,900 replicas are a few megabytes; more means
 * that the other end is not the store.
 */
const MAXIMUM_ANSWER_BYTES = 64 * 1024 * 1024;

/** Errors that occur before a connection is made. */
const UNSENT_CODES = ["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "EADDRNOTAVAIL", "EMFILE"];

function failureOf(answer: Answer): { readonly kind: "unavailable"; readonly message: string } {
    if (answer.kind === "unanswered") return { kind: "unavailable", message: answer.message };
    const message = answer.status === 200 ? "malformed answer" : `status ${answer.status}`;
    return { kind: "unavailable", message };
}

/** The body of an answer with status 200, if it has the expected form. */
function bodyOf<Body>(answer: Answer, schema: z.ZodType<Body>): Body | undefined {
    if (answer.kind === "unanswered" || answer.status !== 200) return undefined;
    return schema.safeParse(answer.body).data;
}

function parse(text: string): unknown {
    try {
        return JSON.parse(text);
    } catch {
        return undefined;
    }
}

function objectPath(key: string): string {
    return `/objects/${key.split("/").map(encodeURIComponent).join("/")}`;
}

function condition(expectedVersion: number): OutgoingHttpHeaders {
    return expectedVersion === 0 ? { "if-none-match": "*" } : { "if-match": String(expectedVersion) };
}

/** Client of the object API. */
export class HttpStore implements Store {
    private readonly agent = new Agent({ keepAlive: true });

    private constructor(private readonly options: HttpStoreOptions) {}

    /** A client; connections are made when they are needed. */
    static create(options: HttpStoreOptions): HttpStore {
        return new HttpStore(options);
    }

    async read(key: string): Promise<ReadOutcome> {
        const answer = await this.call({ ...this.get("read"), path: objectPath(key) });
        if (answer.kind === "answered" && answer.status === 404) return { kind: "missing" };
        const object = bodyOf(answer, objectSchema);
        return object?.key === key ? { kind: "found", object } : failureOf(answer);
    }

    async list(prefix: string): Promise<ListOutcome> {
        const answer = await this.call({ ...this.get("list"), path: `/objects?${new URLSearchParams({ prefix })}` });
        const body = bodyOf(answer, listSchema);
        return body === undefined ? failureOf(answer) : { kind: "listed", ...body };
    }

    async write(key: string, value: string, expectedVersion: number): Promise<WriteOutcome> {
        return this.change("write", "PUT", key, expectedVersion, JSON.stringify({ value }));
    }

    async remove(key: string, expectedVersion: number): Promise<WriteOutcome> {
        return this.change("remove", "DELETE", key, expectedVersion);
    }

    async watch(prefix: string, revision: number, timeoutMilliseconds: number): Promise<WatchOutcome> {
        const query = { prefix, revision: String(revision), timeoutMilliseconds: String(timeoutMilliseconds) };
        const time = timeoutMilliseconds + this.options.timeoutMilliseconds;
        const path = `/watch?${new URLSearchParams(query)}`;
        const answer = await this.call({ ...this.get("watch"), path, timeoutMilliseconds: time });
        const body = bodyOf(answer, watchSchema);
        if (body === undefined) return failureOf(answer);
        const events = body.events.map(({ key, object }): StoreEvent =>
            object === undefined ? { key } : { key, object },
        );
        return { kind: "changed", events, revision: body.revision };
    }

    /** Closes all connections. */
    close(): void {
        this.agent.destroy();
    }

    private get(kind: CallKind): Omit<Call, "path"> {
        return { kind, method: "GET", timeoutMilliseconds: this.options.timeoutMilliseconds };
    }

    private async change(
        kind: "write" | "remove",
        method: string,
        key: string,
        expectedVersion: number,
        body?: string,
    ): Promise<WriteOutcome> {
        const headers = condition(expectedVersion);
        const { timeoutMilliseconds } = this.options;
        const content = body === undefined ? {} : { body };
        const answer = await this.call({
            kind,
            method,
            path: objectPath(key),
            headers,
            timeoutMilliseconds,
            ...content,
        });
        if (answer.kind === "unanswered") {
            return { kind: answer.sent ? "unknown" : "unavailable", message: answer.message };
        }
        if (answer.status === 412) return { kind: "conflict" };
        const written = bodyOf(answer, writtenSchema);
        if (written !== undefined) return { kind: "written", version: written.version };
        // Only the statuses that the interface names promise that nothing was changed.
        const refused = [400, 413, 429, 503].includes(answer.status);
        return refused ? failureOf(answer) : { kind: "unknown", message: failureOf(answer).message };
    }

    private async call(call: Call): Promise<Answer> {
        const answer = await this.send(call);
        const expected = answer.kind === "answered" && [200, 404, 410, 412].includes(answer.status);
        this.options.ledger.record(call.kind, !expected);
        return answer;
    }

    private send(call: Call): Promise<Answer> {
        const { method, body } = call;
        const length = body === undefined ? {} : { "content-length": Buffer.byteLength(body) };
        const options = {
            method,
            agent: this.agent,
            headers: { ...call.headers, ...length, "content-type": "application/json" },
        };
        return new Promise(resolve => {
            const outgoing = httpRequest(`http://${this.options.address}${call.path}`, options, response => {
                const chunks: Buffer[] = [];
                let bytes = 0;
                response.on("data", (chunk: Buffer) => {
                    bytes += chunk.length;
                    if (bytes <= MAXIMUM_ANSWER_BYTES) chunks.push(chunk);
                    else response.destroy(new Error("answer is too long"));
                });
                response.on("error", fail);
                response.on("end", () => {
                    clearTimeout(timer);
                    const text = Buffer.concat(chunks).toString();
                    resolve({ kind: "answered", status: response.statusCode ?? 0, body: parse(text) });
                });
            });
            const timer = setTimeout(() => outgoing.destroy(new Error("no answer in time")), call.timeoutMilliseconds);
            const fail = (error: Error): void => {
                clearTimeout(timer);
                const code = "code" in error ? String(error.code) : "";
                resolve({ kind: "unanswered", sent: !UNSENT_CODES.includes(code), message: code || error.message });
            };
            outgoing.on("error", fail);
            outgoing.end(body);
        });
    }
}
