/**
 * Client of the object API over HTTP/1.1. A call that the store refuses, or whose connection cannot be made, changes
 * nothing. The outcome of a write whose connection fails after it was made is `unknown`.
 */
import type { OutgoingHttpHeaders } from "node:http";
import { z } from "zod";
import { connectionsTo, type StoreCallOutcome, sendCall, type StoreCall, type StoreConnections } from "./call.js";
import type { CallKind, CallCounter } from "./counter.js";
import { EraTracker } from "./era.js";
import type { ListOutcome, ReadOutcome, Store, StoreEvent, WatchOutcome, WriteOutcome } from "./store.js";

/** Options of a store client. */
export interface HttpStoreOptions {
    /** host:port */
    readonly address: string;
    /** Timeout of one call; a watch adds its own waiting time. */
    readonly timeoutMilliseconds: number;
    readonly callCounter: CallCounter;
}

interface CountedCall extends StoreCall {
    readonly kind: CallKind;
}

/** Header of all answers with the number of times that the store was restored from a copy. */
const ERA_HEADER = "store-era";

const objectSchema = z.object({ key: z.string(), version: z.int().min(1), value: z.string() });
const listSchema = z.object({ objects: z.array(objectSchema), revision: z.int().min(0) });
const writtenSchema = z.object({ version: z.int().min(1) });
const watchSchema = z.object({
    events: z.array(z.object({ key: z.string(), object: objectSchema.optional() })),
    revision: z.int().min(0),
});

function toUnavailable(answer: StoreCallOutcome): { readonly kind: "unavailable"; readonly message: string } {
    if (answer.kind === "unanswered") return { kind: "unavailable", message: answer.message };
    const message = answer.status === 200 ? "malformed answer" : `status ${answer.status}`;
    return { kind: "unavailable", message };
}

/** The body of a response with status 200, if it matches the schema. */
function bodyOf<Body>(answer: StoreCallOutcome, schema: z.ZodType<Body>): Body | undefined {
    if (answer.kind === "unanswered" || answer.status !== 200) return undefined;
    return schema.safeParse(answer.body).data;
}

function objectPath(key: string): string {
    return `/objects/${key.split("/").map(encodeURIComponent).join("/")}`;
}

function conditionHeaders(expectedVersion: number): OutgoingHttpHeaders {
    return expectedVersion === 0 ? { "if-none-match": "*" } : { "if-match": String(expectedVersion) };
}

/** Client of the object API. */
export class HttpStore implements Store {
    private readonly connections: StoreConnections;
    private readonly era = EraTracker.create(ERA_HEADER);

    private constructor(private readonly options: HttpStoreOptions) {
        this.connections = connectionsTo(options.address);
    }

    /** Creates a client, which connects on demand. */
    static create(options: HttpStoreOptions): HttpStore {
        return new HttpStore(options);
    }

    async read(key: string): Promise<ReadOutcome> {
        const answer = await this.call({ ...this.getRequest("read"), path: objectPath(key) });
        if (answer.kind === "answered" && answer.status === 404) return { kind: "missing", era: this.era.current };
        const object = bodyOf(answer, objectSchema);
        return object?.key === key ? { kind: "found", object, era: this.era.current } : toUnavailable(answer);
    }

    async list(prefix: string): Promise<ListOutcome> {
        const answer = await this.call({
            ...this.getRequest("list"),
            path: `/objects?${new URLSearchParams({ prefix })}`,
        });
        const body = bodyOf(answer, listSchema);
        return body === undefined ? toUnavailable(answer) : { kind: "listed", ...body, era: this.era.current };
    }

    async write(key: string, value: string, expectedVersion: number): Promise<WriteOutcome> {
        return this.sendChange("write", "PUT", key, expectedVersion, JSON.stringify({ value }));
    }

    async remove(key: string, expectedVersion: number): Promise<WriteOutcome> {
        return this.sendChange("remove", "DELETE", key, expectedVersion);
    }

    async watch(prefix: string, revision: number, timeoutMilliseconds: number): Promise<WatchOutcome> {
        const query = { prefix, revision: String(revision), timeoutMilliseconds: String(timeoutMilliseconds) };
        const totalTimeout = timeoutMilliseconds + this.options.timeoutMilliseconds;
        const path = `/watch?${new URLSearchParams(query)}`;
        const answer = await this.call({ ...this.getRequest("watch"), path, timeoutMilliseconds: totalTimeout });
        const body = bodyOf(answer, watchSchema);
        if (body === undefined) return toUnavailable(answer);
        const events = body.events.map(({ key, object }): StoreEvent =>
            object === undefined ? { key } : { key, object },
        );
        return { kind: "changed", events, revision: body.revision, era: this.era.current };
    }

    /** Closes all connections. */
    close(): void {
        this.connections.agent.destroy();
    }

    private getRequest(kind: CallKind): Omit<CountedCall, "path"> {
        return { kind, method: "GET", timeoutMilliseconds: this.options.timeoutMilliseconds };
    }

    private async sendChange(
        kind: "write" | "remove",
        method: string,
        key: string,
        expectedVersion: number,
        body?: string,
    ): Promise<WriteOutcome> {
        const headers = conditionHeaders(expectedVersion);
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
        if (written !== undefined) return { kind: "written", version: written.version, era: this.era.current };
        // The interface guarantees only for these statuses that nothing was changed.
        const refused = [400, 413, 429, 503].includes(answer.status);
        return refused ? toUnavailable(answer) : { kind: "unknown", message: toUnavailable(answer).message };
    }

    private async call(call: CountedCall): Promise<StoreCallOutcome> {
        const answer = this.era.check(await sendCall(this.connections, call));
        const expected = answer.kind === "answered" && [200, 404, 410, 412].includes(answer.status);
        this.options.callCounter.record(call.kind, !expected);
        return answer;
    }
}
