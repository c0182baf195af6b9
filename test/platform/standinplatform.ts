/**
 * A stand-in for the platform's object store on the loopback address. It implements the published protocol. Tests inject
 * faults through its members.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { listen, readAll } from "./listening.js";

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
    /** Replaces what callers write, by kind; tests put proxies in front of registered addresses with it. */
    replaceWritten: (kind: string, spec: unknown) => unknown = (_, spec) => spec;
    readonly calls: string[] = [];
    private readonly objects = new Map<string, Map<string, StoredEntry>>();
    private history: Change[] = [];
    private oldestRevision = 0;
    private revision = 1;
    private era = 1;
    private copy:
        { readonly objects: readonly [string, Map<string, StoredEntry>][]; readonly revision: number } | undefined;
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

    /** Takes a copy, to which `restore` returns. */
    takeCopy(): void {
        const objects = [...this.objects].map(([kind, entries]) => [kind, new Map(entries)] as const);
        this.copy = { objects: objects.map(([kind, entries]) => [kind, entries]), revision: this.revision };
    }

    /** Returns to the copy: what was written since is gone, and its revisions are given out again. */
    restore(): void {
        if (this.copy === undefined) throw new Error("there is no copy");
        this.objects.clear();
        for (const [kind, entries] of this.copy.objects) this.objects.set(kind, new Map(entries));
        this.revision = this.copy.revision;
        this.history = this.history.filter(change => change.revision <= this.revision);
        this.oldestRevision = Math.min(this.oldestRevision, this.revision);
        this.era += 1;
        this.cutConnections();
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
        response.setHeader("Store-Era", this.era);
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
                    ? answer(201, this.put(kind, created, this.replaceWritten(kind, sent?.Spec)))
                    : answer(409, conflicting);
            }
            case "PUT":
                if (existing === undefined) return answer(404, {});
                if (revision !== 0 && revision !== existing.Metadata.Revision) return answer(409, existing);
                return part === "status"
                    ? answer(200, this.put(kind, name ?? "", existing.Spec, sent?.Status))
                    : answer(200, this.put(kind, name ?? "", this.replaceWritten(kind, sent?.Spec), existing.Status));
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
            const since = Number(sinceRevision);
            if (since < this.oldestRevision || since > this.revision) return answer(410, {});
            const events = this.history.filter(change => change.kind === kind && change.revision > since);
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
