/**
 * A stand-in for the platform on the loopback address: its object store and targets of each kind. It implements the
 * published protocol. Tests inject faults through its members and read the requests that reached the targets.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";

/** A request as a target received it. */
export interface Arrival {
    readonly id: string;
    readonly path: string;
    readonly method: string;
    readonly headers: IncomingMessage["headers"];
    readonly body: string;
    /** Monotonic time in milliseconds. */
    readonly at: number;
}

/** How a target handles a request. */
export type Behaviour =
    | { readonly kind: "answer"; readonly status?: number; readonly body?: string; readonly after?: Promise<void> }
    | { readonly kind: "stream"; readonly events: number; readonly gapMs?: number; readonly cutAfterBytes?: number }
    | { readonly kind: "delayedStream"; readonly events: number; readonly delayMs: number }
    /** Writes `first`, then `repeated` until the caller closes the connection. */
    | { readonly kind: "endless"; readonly first: string; readonly repeated: string }
    | { readonly kind: "full" }
    | { readonly kind: "inputsGone" }
    /** Writes the head of a response; then the target is down for `downMs`, and listens again at its address. */
    | { readonly kind: "crash"; readonly downMs: number }
    /** Writes bytes to the connection and closes it. */
    | { readonly kind: "raw"; readonly text: string }
    | { readonly kind: "reset" }
    | { readonly kind: "silent" }
    | { readonly kind: "truncate" }
    | { readonly kind: "notHttp" }
    | { readonly kind: "otherAnswer" }
    | { readonly kind: "extraAnswer" }
    | { readonly kind: "unframedReset" }
    | { readonly kind: "unframed" };

/** Time in milliseconds in which the head of a response arrives before its target crashes. */
const HEAD_TRANSIT_MS = 5;

/** Size in bytes of the parts in which endless answers are written. */
const ENDLESS_CHUNK_BYTES = 16_384;

async function listen(server: Server): Promise<string> {
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function readAll(request: IncomingMessage): Promise<string> {
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        request.on("data", (chunk: Buffer) => chunks.push(chunk));
        request.on("end", () => resolve(Buffer.concat(chunks).toString()));
    });
}

/** A replica of a service. */
export class StandInTarget {
    readonly arrivals: Arrival[] = [];
    /** Bodies of the calls for pieces. */
    readonly pieceCalls: { readonly Entries: readonly Record<string, unknown>[] }[] = [];
    readonly released: string[] = [];
    /** Ids of requests whose connection was closed before the response had ended. */
    readonly abandoned: string[] = [];
    address = "";
    /** Requests a second that the target names as its limit; undefined for none. */
    limitPerSecond: number | undefined;
    /** Number of times that the target has crashed. */
    crashCount = 0;
    /** Called when the target is back after a crash. */
    onRestart: () => void = () => undefined;
    behaviour: (arrival: Arrival) => Behaviour = () => ({ kind: "answer" });
    /** Bytes of endless answers that were written, and the number of their connections that callers closed. */
    endlessBytes = 0;
    endlessClosed = 0;
    /** Duration of one call for pieces, in milliseconds. */
    callMs = 20;
    /** Reason to return instead of results, by number of the call from 1; undefined for results. */
    pieceReasons: (call: number) => string | undefined = () => undefined;
    private readonly sockets = new Set<Socket>();
    /** Largest number of calls for pieces that were in progress at the same time. */
    mostCallsAtOnce = 0;
    private callsInProgress = 0;
    private madeCount = 0;

    private constructor(
        readonly id: string,
        private readonly server: Server,
    ) {}

    static async start(id: string): Promise<StandInTarget> {
        const server = createServer((request, response) => void target.serve(request, response));
        const target: StandInTarget = new StandInTarget(id, server);
        server.on("connection", socket => {
            target.sockets.add(socket);
            socket.on("error", () => undefined);
            socket.once("close", () => target.sockets.delete(socket));
        });
        target.address = await listen(server);
        return target;
    }

    close(): void {
        this.server.close();
        for (const socket of this.sockets) socket.destroy();
    }

    private limitHeader(): Readonly<Record<string, string>> {
        return this.limitPerSecond === undefined ? {} : { "server-limit": String(this.limitPerSecond) };
    }

    /** Closes the listener and resets all connections; listens again after a time. */
    crash(downMs: number): void {
        if (!this.server.listening) return;
        this.crashCount += 1;
        this.server.close();
        for (const socket of this.sockets) socket.resetAndDestroy();
        const [host = "", port = ""] = this.address.split(":");
        setTimeout(() => this.server.listen(Number(port), host, () => this.onRestart()), downMs);
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const body = await readAll(request);
        const expected = request.headers["x-parsleyrun-expect-instance"];
        if (expected !== undefined && expected !== this.id) {
            response.writeHead(421, { "x-parsleyrun-instance-id": this.id }).end();
            return;
        }
        if (request.url === "/stage-run") return this.makePieces(body, response);
        if (request.url === "/stage-free") {
            this.released.push(...(JSON.parse(body) as { Handles: string[] }).Handles);
            response.end();
            return;
        }
        const id = String(request.headers["x-parsleyrun-request-id"] ?? "");
        const { url: path = "", method = "", headers } = request;
        const arrival = { id, path, method, headers, body, at: performance.now() };
        this.arrivals.push(arrival);
        response.once("close", () => {
            if (!response.writableFinished) this.abandoned.push(id);
        });
        await this.behave(this.behaviour(arrival), arrival, response);
    }

    private async behave(behaviour: Behaviour, arrival: Arrival, response: ServerResponse): Promise<void> {
        const headers = {
            "x-parsleyrun-request-id": arrival.id,
            "x-parsleyrun-server-stamp": `stamp-${this.id}`,
            ...this.limitHeader(),
        };
        const socket = response.socket;
        switch (behaviour.kind) {
            case "answer":
                await behaviour.after;
                response.writeHead(behaviour.status ?? 200, headers).end(behaviour.body ?? `answer to ${arrival.id}`);
                return;
            case "stream":
                return this.stream(behaviour, arrival, response);
            case "delayedStream":
                await new Promise(resolve => setTimeout(resolve, behaviour.delayMs));
                return this.stream({ kind: "stream", events: behaviour.events }, arrival, response);
            case "endless":
                socket?.write(behaviour.first);
                return socket === null ? undefined : this.writeEndlessly(socket, behaviour.repeated);
            case "full":
                response.writeHead(503, { "x-parsleyrun-not-executed": "1" }).end();
                return;
            case "inputsGone":
                response.writeHead(409, { "x-parsleyrun-not-executed": "1" }).end();
                return;
            case "crash":
                response.writeHead(200, { ...headers, "content-type": "text/event-stream" });
                response.flushHeaders();
                setTimeout(() => this.crash(behaviour.downMs), HEAD_TRANSIT_MS);
                return;
            case "raw":
                socket?.end(behaviour.text);
                return;
            case "reset":
                socket?.resetAndDestroy();
                return;
            case "silent":
                return;
            case "truncate":
                response.writeHead(200, { ...headers, "content-length": 100 });
                response.write("half");
                setTimeout(() => socket?.destroy(), 5);
                return;
            case "notHttp":
                socket?.end("no answer in the protocol\r\n\r\n");
                return;
            case "otherAnswer":
                response.writeHead(200, { ...headers, "x-parsleyrun-request-id": "another" }).end("another's answer");
                return;
            case "unframedReset":
                socket?.write(
                    `HTTP/1.1 200 OK\r\nx-parsleyrun-request-id: ${arrival.id}\r\nx-parsleyrun-server-stamp: s\r\n` +
                        `connection: close\r\n\r\nhalf of the ans`,
                );
                setTimeout(() => socket?.resetAndDestroy(), 20);
                return;
            case "unframed":
                socket?.end(
                    `HTTP/1.1 200 OK\r\nx-parsleyrun-request-id: ${arrival.id}\r\nx-parsleyrun-server-stamp: s\r\n` +
                        `connection: close\r\n\r\nwhole answer`,
                );
                return;
            case "extraAnswer":
                socket?.end(
                    `HTTP/1.1 200 OK\r\nx-parsleyrun-request-id: ${arrival.id}\r\nx-parsleyrun-server-stamp: s\r\n` +
                        `content-length: 4\r\n\r\ngoodHTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nbad`,
                );
        }
    }

    private writeEndlessly(socket: Socket, repeated: string): void {
        const chunk = Buffer.from(repeated.repeat(Math.ceil(ENDLESS_CHUNK_BYTES / repeated.length)));
        const write = (): void => {
            while (!socket.destroyed && socket.write(chunk)) this.endlessBytes += chunk.length;
        };
        socket.on("drain", write);
        socket.once("close", () => (this.endlessClosed += 1));
        write();
    }

    private async stream(
        behaviour: Extract<Behaviour, { kind: "stream" }>,
        arrival: Arrival,
        response: ServerResponse,
    ): Promise<void> {
        response.writeHead(200, {
            "content-type": "text/event-stream",
            "x-parsleyrun-request-id": arrival.id,
            "x-parsleyrun-server-stamp": `stamp-${this.id}`,
            ...this.limitHeader(),
        });
        const first = Number(arrival.headers["last-event-id"] ?? 0) + 1;
        let bytesLeft = behaviour.cutAfterBytes ?? Number.POSITIVE_INFINITY;
        for (let id = first; id <= behaviour.events; id += 1) {
            const event = `id: ${id}\ndata: event ${id} of ${arrival.id}\n\n`;
            if (event.length > bytesLeft) {
                response.write(event.slice(0, bytesLeft));
                await new Promise(resolve => setTimeout(resolve, 10));
                response.socket?.resetAndDestroy();
                return;
            }
            bytesLeft -= event.length;
            response.write(event);
            await new Promise(resolve => setTimeout(resolve, behaviour.gapMs ?? 1));
        }
        response.end();
    }

    private async makePieces(body: string, response: ServerResponse): Promise<void> {
        const order = JSON.parse(body) as { readonly Entries: readonly Record<string, unknown>[] };
        this.pieceCalls.push(order);
        this.callsInProgress += 1;
        this.mostCallsAtOnce = Math.max(this.mostCallsAtOnce, this.callsInProgress);
        const reason = this.pieceReasons(this.pieceCalls.length);
        await new Promise(resolve => setTimeout(resolve, this.callMs));
        this.callsInProgress -= 1;
        const entries = order.Entries.map(() => {
            this.madeCount += 1;
            return reason === undefined ? { Handle: `${this.address}/${this.madeCount}` } : { Reason: reason };
        });
        const headers = { "content-type": "application/json", "x-parsleyrun-server-load": "1,0,1" };
        response.writeHead(200, { ...headers, ...this.limitHeader() });
        response.end(JSON.stringify({ Entries: entries }));
    }
}

interface StoredEntry {
    readonly Metadata: { readonly Name: string; readonly Revision: number };
    readonly Spec: unknown;
    readonly Status?: unknown;
}

interface Change {
    readonly revision: number;
    readonly kind: string;
    readonly Object: StoredEntry;
    readonly Deleted: boolean;
}

/** The object store. */
export class StandInPlatform {
    address = "";
    /** Whether all calls are refused. */
    down = false;
    /** Whether calls are accepted and never answered. */
    silent = false;
    /** Kinds of objects whose lists are refused. */
    readonly refusedKinds = new Set<string>();
    /** Whether writes are applied and their answers lost. */
    loseWriteAnswers = false;
    readonly calls: string[] = [];
    private readonly objects = new Map<string, Map<string, StoredEntry>>();
    private history: Change[] = [];
    private oldestRevision = 0;
    private revision = 1;
    private waitingWatches = new Set<() => void>();
    private readonly sockets = new Set<Socket>();

    private constructor(private readonly server: Server) {}

    static async start(): Promise<StandInPlatform> {
        const server = createServer((request, response) => void platform.serve(request, response));
        const platform: StandInPlatform = new StandInPlatform(server);
        server.on("connection", socket => {
            platform.sockets.add(socket);
            socket.once("close", () => platform.sockets.delete(socket));
        });
        platform.address = await listen(server);
        return platform;
    }

    close(): void {
        this.server.close();
        for (const wake of this.waitingWatches) wake();
        for (const socket of this.sockets) socket.destroy();
    }

    /** Closes all connections, as in an outage. */
    cutConnections(): void {
        for (const socket of this.sockets) socket.destroy();
    }

    /** Drops the history, so that watchers have to list again. */
    compact(): void {
        this.history = [];
        this.oldestRevision = this.revision;
        this.wake();
    }

    put(kind: string, name: string, spec: unknown, status?: unknown): StoredEntry {
        this.revision += 1;
        const object = { Metadata: { Name: name, Revision: this.revision }, Spec: spec, Status: status };
        const objects = this.objects.get(kind) ?? new Map<string, StoredEntry>();
        this.objects.set(kind, objects);
        objects.set(name, object);
        this.record(kind, object, false);
        return object;
    }

    remove(kind: string, name: string): boolean {
        const object = this.objects.get(kind)?.get(name);
        if (object === undefined) return false;
        this.revision += 1;
        this.objects.get(kind)?.delete(name);
        this.record(kind, object, true);
        return true;
    }

    status(kind: string, name: string): unknown {
        return this.objects.get(kind)?.get(name)?.Status;
    }

    names(kind: string): readonly string[] {
        return [...(this.objects.get(kind)?.keys() ?? [])];
    }

    private record(kind: string, object: StoredEntry, deleted: boolean): void {
        this.history.push({ revision: this.revision, kind, Object: object, Deleted: deleted });
        this.wake();
    }

    private wake(): void {
        const waitingWatches = this.waitingWatches;
        this.waitingWatches = new Set();
        for (const wake of waitingWatches) wake();
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const body = await readAll(request);
        this.calls.push(`${request.method} ${request.url}`);
        if (this.silent) return;
        if (this.down || [...this.refusedKinds].some(kind => request.url?.startsWith(`/objects/${kind}`))) {
            response.writeHead(503).end();
            return;
        }
        const url = new URL(request.url ?? "/", "http://store");
        const [, , kind = "", name, part] = url.pathname.split("/");
        const answer = (status: number, content: unknown): void => {
            if (request.method !== "GET" && this.loseWriteAnswers) response.socket?.destroy();
            else response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(content));
        };
        if (request.method === "GET" && name === undefined) return this.list(kind, url.searchParams, answer);
        const existing = this.objects.get(kind)?.get(name ?? "");
        const sent = body === "" ? undefined : (JSON.parse(body) as Partial<StoredEntry>);
        const revision = sent?.Metadata?.Revision ?? Number(url.searchParams.get("Revision") ?? 0);
        switch (request.method) {
            case "GET":
                return existing === undefined ? answer(404, {}) : answer(200, existing);
            case "POST": {
                const created = sent?.Metadata?.Name ?? "";
                const conflicting = this.objects.get(kind)?.get(created);
                return conflicting === undefined
                    ? answer(201, this.put(kind, created, sent?.Spec))
                    : answer(409, conflicting);
            }
            case "PUT":
                if (existing === undefined) return answer(404, {});
                if (revision !== 0 && revision !== existing.Metadata.Revision) return answer(409, existing);
                return part === "status"
                    ? answer(200, this.put(kind, name ?? "", existing.Spec, sent?.Status))
                    : answer(200, this.put(kind, name ?? "", sent?.Spec, existing.Status));
            default:
                if (existing !== undefined && revision !== 0 && revision !== existing.Metadata.Revision) {
                    return answer(409, existing);
                }
                return answer(this.remove(kind, name ?? "") ? 200 : 404, {});
        }
    }

    private async list(
        kind: string,
        query: URLSearchParams,
        answer: (status: number, content: unknown) => void,
    ): Promise<void> {
        const sinceRevision = query.get("Watch");
        if (sinceRevision === null) {
            return answer(200, {
                Entries: [...(this.objects.get(kind)?.values() ?? [])],
                HasMore: false,
                At: this.revision,
            });
        }
        const end = Date.now() + Number(query.get("WaitMs") ?? 0);
        for (;;) {
            if (Number(sinceRevision) < this.oldestRevision) return answer(410, {});
            const events = this.history.filter(
                change => change.kind === kind && change.revision > Number(sinceRevision),
            );
            if (events.length > 0 || Date.now() >= end) {
                return answer(200, {
                    events: events.map(({ Object, Deleted }) => ({ Object, Deleted })),
                    At: this.revision,
                });
            }
            await new Promise<void>(resolve => {
                const timer = setTimeout(resolve, Math.max(1, end - Date.now()));
                this.waitingWatches.add(() => {
                    clearTimeout(timer);
                    resolve();
                });
            });
        }
    }
}
