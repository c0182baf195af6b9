/** A stand-in for the platform's store: objects, lists in one page, long-polling watches and conditional writes. */
import { createServer } from "node:http";
import { pause } from "./time.mjs";

/** Time in milliseconds of an answer on average, and the most by which one differs from that. */
const ANSWER_MS = 4;
const ANSWER_SPREAD_MS = 3;

const json = async (response, status, content) => {
    const body = Buffer.from(JSON.stringify(content));
    await pause(Math.round(ANSWER_MS + (2 * Math.random() - 1) * ANSWER_SPREAD_MS));
    response.writeHead(status, { "content-type": "application/json", "content-length": body.length });
    response.end(body);
};

const readBody = async request => {
    const parts = [];
    for await (const part of request) parts.push(part);
    return parts.length === 0 ? undefined : JSON.parse(Buffer.concat(parts).toString());
};

/** One store. `writes` has each change with its time, which is that of its acknowledgement. */
export class Store {
    revision = 100;
    objects = new Map();
    history = [];
    waiting = new Set();
    writes = [];
    onStatus = () => undefined;

    static async start(port = 0) {
        const store = new Store();
        store.server = createServer((request, response) => {
            store.serve(request, response).catch(() => response.destroy());
        });
        await new Promise(resolve => store.server.listen(port, "127.0.0.1", resolve));
        store.port = store.server.address().port;
        return store;
    }

    close() {
        this.server.closeAllConnections();
        this.server.close();
    }

    /** Creates or replaces an object as the operator or a replica does. Returns the time of the acknowledgement. */
    put(kind, name, spec) {
        const known = this.objects.get(`${kind}/${name}`);
        return this.change(kind, name, { spec, status: known?.Status ?? null });
    }

    remove(kind, name) {
        return this.change(kind, name, undefined);
    }

    change(kind, name, content) {
        const key = `${kind}/${name}`;
        const known = this.objects.get(key);
        this.revision += 1;
        const object =
            content === undefined
                ? known
                : {
                      Metadata: {
                          Name: name,
                          Revision: this.revision,
                          Created: known?.Metadata.Created ?? this.revision,
                          Finalizers: [],
                          Deleting: false,
                      },
                      Spec: content.spec,
                      Status: content.status,
                  };
        if (content === undefined) this.objects.delete(key);
        else this.objects.set(key, object);
        const event = { kind, revision: this.revision, event: { Object: object, Deleted: content === undefined } };
        this.history.push(event);
        const at = performance.now();
        this.writes.push({ at, kind, name, deleted: content === undefined });
        for (const watch of [...this.waiting]) if (watch.kind === kind) watch.answer();
        return at;
    }

    async serve(request, response) {
        const url = new URL(request.url, "http://127.0.0.1");
        const [, root, kind = "", encodedName, part] = url.pathname.split("/");
        if (root !== "objects") return json(response, 404, {});
        const name = encodedName === undefined ? undefined : decodeURIComponent(encodedName);
        const body = await readBody(request);
        if (request.method === "GET") return this.read(url, kind, name, response);
        return this.write(request.method, { kind, name, part, body, url, response });
    }

    read(url, kind, name, response) {
        if (name !== undefined) {
            const object = this.objects.get(`${kind}/${name}`);
            return object === undefined ? json(response, 404, {}) : json(response, 200, object);
        }
        const since = url.searchParams.get("Watch");
        if (since !== null) return this.watch(kind, Number(since), Number(url.searchParams.get("WaitMs")), response);
        const entries = [...this.objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, object]) => object);
        return json(response, 200, { Entries: entries, HasMore: false, At: this.revision });
    }

    watch(kind, since, waitMs, response) {
        const events = () => this.history.filter(event => event.kind === kind && event.revision > since);
        const answer = () => {
            clearTimeout(timer);
            this.waiting.delete(watch);
            json(response, 200, { events: events().map(({ event }) => event), At: this.revision });
        };
        const watch = { kind, response, answer };
        const timer = setTimeout(answer, waitMs);
        response.on("close", () => {
            clearTimeout(timer);
            this.waiting.delete(watch);
        });
        this.waiting.add(watch);
        if (events().length > 0) answer();
    }

    write(method, { kind, name, part, body, url, response }) {
        const target = name ?? body?.Metadata?.Name;
        const known = this.objects.get(`${kind}/${target}`);
        const condition = method === "DELETE" ? url.searchParams.get("Revision") : body?.Metadata?.Revision;
        if (method === "POST") {
            if (known !== undefined) return json(response, 409, known);
            this.change(kind, target, { spec: body.Spec, status: null });
            return json(response, 200, this.objects.get(`${kind}/${target}`));
        }
        if (known === undefined) return json(response, 404, {});
        const isOther = condition !== null && condition !== undefined && Number(condition) !== known.Metadata.Revision;
        if (isOther) return json(response, 409, known);
        if (method === "DELETE") {
            this.change(kind, target, undefined);
            return json(response, 200, known);
        }
        const status = part === "status" ? body.Status : known.Status;
        const spec = part === "status" ? known.Spec : body.Spec;
        this.change(kind, target, { spec, status });
        if (part === "status") this.onStatus(kind, target, status);
        return json(response, 200, this.objects.get(`${kind}/${target}`));
    }
}
