/** A stand-in for the platform's metadata store, on the real clock. It implements what the protocol page says. */
import { createServer } from "node:http";

const HISTORY = 5_000;

export class Store {
    constructor() {
        this.revision = 1;
        this.objects = new Map();
        this.history = [];
        this.waiting = new Set();
        this.sockets = new Set();
        this.calls = [];
    }

    static async start() {
        const store = new Store();
        store.server = createServer((request, response) => store.serve(request, response));
        store.server.keepAliveTimeout = 60_000;
        store.server.on("connection", socket => {
            store.sockets.add(socket);
            socket.once("close", () => store.sockets.delete(socket));
        });
        await new Promise(resolve => store.server.listen(0, "127.0.0.1", resolve));
        store.address = `127.0.0.1:${store.server.address().port}`;
        return store;
    }

    close() {
        this.server.close();
        for (const socket of this.sockets) socket.destroy();
    }

    kind(kind) {
        if (!this.objects.has(kind)) this.objects.set(kind, new Map());
        return this.objects.get(kind);
    }

    /** Writes a `Spec` as the operator, or as a replica for its own entry. Returns the time of the acknowledgement. */
    put(kind, name, spec) {
        const known = this.kind(kind).get(name);
        this.revision += 1;
        const metadata = {
            Name: name,
            Revision: this.revision,
            Created: known?.Metadata.Created ?? this.revision,
            Finalizers: [],
            Deleting: false,
        };
        this.change(kind, { Metadata: metadata, Spec: spec, Status: known?.Status }, false);
        return performance.now();
    }

    remove(kind, name) {
        const known = this.kind(kind).get(name);
        if (known === undefined) return undefined;
        this.revision += 1;
        const object = { ...known, Metadata: { ...known.Metadata, Revision: this.revision } };
        this.change(kind, object, true);
        return performance.now();
    }

    change(kind, object, deleted) {
        const name = object.Metadata.Name;
        if (deleted) this.kind(kind).delete(name);
        else this.kind(kind).set(name, object);
        this.history.push({ revision: object.Metadata.Revision, kind, Object: object, Deleted: deleted });
        if (this.history.length > HISTORY) this.history.shift();
        for (const watch of [...this.waiting]) watch.check();
    }

    /** Cuts off the watches of a kind that wait: their connections are closed in order. Returns their number. */
    cutWatches(kind) {
        const cut = [...this.waiting].filter(watch => watch.kind === kind);
        for (const watch of cut) watch.socket.end();
        return cut.length;
    }

    serve(request, response) {
        const parts = [];
        request.on("data", part => parts.push(part));
        request.on("end", () => {
            const url = new URL(request.url, "http://store");
            this.calls.push(`${request.method} ${request.url}`);
            const [, , kind, encoded, part] = url.pathname.split("/");
            const name = encoded === undefined ? undefined : decodeURIComponent(encoded);
            const text = Buffer.concat(parts).toString();
            const body = text === "" ? undefined : JSON.parse(text);
            const answer = (status, content) => {
                const bytes = Buffer.from(JSON.stringify(content ?? {}));
                response.writeHead(status, { "content-type": "application/json", "content-length": bytes.length });
                response.end(bytes);
            };
            if (request.method === "GET" && name === undefined) this.list(kind, url.searchParams, response, answer);
            else this.access(request.method, { kind, name, part, body, url }, answer);
        });
    }

    list(kind, query, response, answer) {
        const watch = query.get("Watch");
        if (watch === null) {
            const after = query.get("After") ?? "";
            const names = [...this.kind(kind).keys()].sort().filter(name => name > after);
            const page = names.slice(0, 500).map(name => this.kind(kind).get(name));
            answer(200, { Entries: page, HasMore: names.length > 500, At: this.revision });
            return;
        }
        const from = Number(watch);
        if ((this.history[0]?.revision ?? 0) > from + 1 && this.history.length === HISTORY) return answer(410, {});
        const events = () =>
            this.history
                .filter(change => change.kind === kind && change.revision > from)
                .map(({ Object: object, Deleted }) => ({ Object: object, Deleted }));
        const finish = () => {
            clearTimeout(timer);
            this.waiting.delete(waiting);
            if (!response.destroyed) answer(200, { events: events(), At: this.revision });
        };
        const waiting = { kind, socket: response.socket, check: () => events().length > 0 && finish() };
        const timer = setTimeout(finish, Number(query.get("WaitMs") ?? 0));
        response.on("close", () => {
            clearTimeout(timer);
            this.waiting.delete(waiting);
        });
        this.waiting.add(waiting);
        waiting.check();
    }

    access(method, { kind, name, part, body, url }, answer) {
        const objects = this.kind(kind);
        const target = name ?? body?.Metadata?.Name;
        const known = objects.get(target);
        if (method === "POST") {
            if (known !== undefined) return answer(409, known);
            this.put(kind, target, body.Spec);
            return answer(201, objects.get(target));
        }
        if (known === undefined) return answer(404, {});
        if (method === "GET") return answer(200, known);
        const expected = body?.Metadata?.Revision ?? (url.searchParams.get("Revision") || undefined);
        if (expected !== undefined && Number(expected) !== known.Metadata.Revision) return answer(409, known);
        if (method === "DELETE") {
            this.remove(kind, target);
            return answer(200, {});
        }
        this.revision += 1;
        const metadata = { ...known.Metadata, Revision: this.revision };
        const changed =
            part === "status"
                ? { ...known, Metadata: metadata, Status: body.Status }
                : { ...known, Metadata: metadata, Spec: body.Spec };
        this.change(kind, changed, false);
        return answer(200, changed);
    }
}
