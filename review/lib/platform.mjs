/**
 * A stand-in for the platform's metadata store, as PROTOCOL.md describes it. Each gateway reaches it at an address of its
 * own, so that the store can tell who calls.
 */
import { createServer } from "node:http";
import { listen } from "./ports.mjs";

async function readJson(request) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString();
    return text === "" ? undefined : JSON.parse(text);
}

export class Platform {
    revision = 1;
    objects = new Map();
    history = [];
    servers = [];
    sockets = new Set();
    waiting = new Set();
    /** Callers that are partitioned from the store: none of their calls arrives, and no answer reaches them. */
    cutCallers = new Set();
    /** Called after a write of a gateway. */
    onWrite = () => undefined;

    /** Opens an address for one caller. */
    async listenFor(caller) {
        const server = createServer((request, response) => {
            this.serve(caller, request, response).catch(() => response.destroy());
        });
        server.on("connection", socket => {
            socket.caller = caller;
            this.sockets.add(socket);
            socket.once("close", () => this.sockets.delete(socket));
        });
        this.servers.push(server);
        return listen(server);
    }

    /** Partitions a caller from the store, so that neither side hears of the other. */
    cut(caller) {
        this.cutCallers.add(caller);
    }

    /** Ends the partition. What was on the way is lost. */
    heal(caller) {
        this.cutCallers.delete(caller);
        for (const socket of this.sockets) if (socket.caller === caller) socket.resetAndDestroy();
    }

    close() {
        for (const server of this.servers) server.close();
        for (const socket of this.sockets) socket.destroy();
    }

    find(kind, name) {
        return this.objects.get(kind)?.get(name);
    }

    /** Writes an object, as the operator, a replica or a gateway does. Returns it. */
    put(kind, name, spec, status) {
        const entries = this.objects.get(kind) ?? new Map();
        this.objects.set(kind, entries);
        const known = entries.get(name);
        this.revision += 1;
        const metadata = {
            Name: name,
            Revision: this.revision,
            Created: known?.Metadata.Created ?? this.revision,
            Finalizers: [],
            Deleting: false,
        };
        const object = { Metadata: metadata, Spec: spec, Status: status ?? known?.Status ?? null };
        entries.set(name, object);
        this.publish(kind, object, false);
        return object;
    }

    remove(kind, name) {
        const object = this.find(kind, name);
        if (object === undefined) return;
        this.revision += 1;
        this.objects.get(kind).delete(name);
        this.publish(kind, object, true);
    }

    publish(kind, object, isDeleted) {
        this.history.push({ revision: this.revision, kind, event: { Object: object, Deleted: isDeleted } });
        for (const watch of [...this.waiting]) if (watch.kind === kind) watch.wake();
    }

    async serve(caller, request, response) {
        const body = await readJson(request);
        if (this.cutCallers.has(caller)) return;
        const url = new URL(request.url, "http://store");
        const [, , kind, encodedName, part] = url.pathname.split("/");
        const name = decodeURIComponent(encodedName ?? "");
        const answer = (status, content) => {
            if (this.cutCallers.has(caller)) return;
            response.writeHead(status, { "content-type": "application/json" });
            response.end(JSON.stringify(content));
        };
        if (request.method === "GET") {
            if (name !== "") {
                const object = this.find(kind, name);
                return object === undefined ? answer(404, {}) : answer(200, object);
            }
            if (url.searchParams.has("Watch")) return this.watch(kind, url.searchParams, response, answer);
            const Entries = [...(this.objects.get(kind)?.values() ?? [])];
            return answer(200, { Entries, HasMore: false, At: this.revision });
        }
        const target = request.method === "POST" ? body.Metadata.Name : name;
        const known = this.find(kind, target);
        const revision = body?.Metadata?.Revision ?? (Number(url.searchParams.get("Revision")) || undefined);
        if (request.method === "POST" && known !== undefined) return answer(409, known);
        if (request.method !== "POST" && known === undefined) return answer(404, {});
        if (request.method !== "POST" && revision !== undefined && revision !== known.Metadata.Revision) {
            return answer(409, known);
        }
        if (request.method === "DELETE") {
            this.remove(kind, target);
            answer(200, known);
        } else if (part === "status") {
            answer(200, this.put(kind, target, known.Spec, body.Status));
        } else {
            answer(200, this.put(kind, target, body.Spec));
        }
        this.onWrite({ caller, method: request.method, kind, name: target, status: body?.Status });
    }

    async watch(kind, query, response, answer) {
        const since = Number(query.get("Watch"));
        const endsAt = performance.now() + Number(query.get("WaitMs") ?? 0);
        for (;;) {
            const events = this.history.filter(change => change.kind === kind && change.revision > since);
            if (events.length > 0 || performance.now() >= endsAt || response.closed) {
                return answer(200, { events: events.map(({ event }) => event), At: this.revision });
            }
            await new Promise(done => {
                const watch = { kind, socket: response.socket, wake: done };
                const finish = () => {
                    clearTimeout(timer);
                    this.waiting.delete(watch);
                    response.off("close", finish);
                    done();
                };
                watch.wake = finish;
                const timer = setTimeout(finish, Math.max(1, endsAt - performance.now()));
                response.once("close", finish);
                this.waiting.add(watch);
            });
        }
    }
}
