/**
 * A stand-in for a replica of a plain service, as PROTOCOL.md describes it: it rejects a request for another instance, runs
 * the others, and answers with its stamp.
 */
import { createServer } from "node:http";
import { listen } from "./ports.mjs";

export class Replica {
    sockets = new Set();
    running = 0;
    /** Monotonic time in milliseconds until which the replica is cold. */
    coldUntil = 0;

    /**
     * `run` is called with each request that reaches the replica and returns its status, body, further headers and work in
     * milliseconds. With `isFramed` false the answer has no length and ends with its connection; with `resetAfter` the
     * connection is reset after so many of its characters.
     */
    constructor({ id, service, zone, version = "v1", slots = 6, run }) {
        this.id = id;
        this.registration = { Service: service, Zone: zone, Version: version, Slots: slots };
        this.run = run;
        this.born = Date.now();
        this.server = createServer((request, response) => {
            this.serve(request, response).catch(() => response.destroy());
        });
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.once("close", () => this.sockets.delete(socket));
        });
    }

    async start() {
        this.address = await listen(this.server);
    }

    get coldRemainingMs() {
        return Math.max(0, Math.round(this.coldUntil - performance.now()));
    }

    /** The replica's entry in the store. */
    entry(state = "available") {
        const { address: Address, born, registration } = this;
        return { ...registration, Address, State: state, ColdRemainingMs: this.coldRemainingMs, Seqno: 1, born };
    }

    /** Ends the process: no port listens any more, and open connections are reset. */
    stop() {
        this.server.close();
        for (const socket of this.sockets) socket.resetAndDestroy();
    }

    async serve(request, response) {
        const chunks = [];
        for await (const chunk of request) chunks.push(chunk);
        if (request.method === "GET" && request.url === "/healthz") {
            const cold = { "x-parsleyrun-cold-ms": String(this.coldRemainingMs) };
            response.writeHead(200, { "x-parsleyrun-instance-id": this.id, ...cold, "content-length": 0 }).end();
            return;
        }
        const expected = request.headers["x-parsleyrun-expect-instance"];
        if (expected !== undefined && expected !== this.id) {
            response.writeHead(421, { "x-parsleyrun-instance-id": this.id }).end();
            return;
        }
        const id = request.headers["x-parsleyrun-request-id"];
        if (id === undefined) {
            response.writeHead(400, { "x-parsleyrun-not-executed": "1" }).end();
            return;
        }
        const {
            status,
            workMs,
            body = "done",
            headers = {},
            isFramed = true,
            resetAfter,
        } = this.run({
            id,
            headers: request.headers,
            body: Buffer.concat(chunks).toString(),
            replica: this,
        });
        this.running += 1;
        await new Promise(done => setTimeout(done, workMs));
        this.running -= 1;
        response.useChunkedEncodingByDefault = false;
        response.writeHead(status, {
            "x-parsleyrun-request-id": id,
            "x-parsleyrun-server-stamp": `stamp.${this.id}`,
            "x-parsleyrun-server-load": `${this.running},0,${this.registration.Slots}`,
            ...(isFramed ? { "content-length": Buffer.byteLength(body) } : { connection: "close" }),
            ...headers,
        });
        if (resetAfter === undefined) response.end(body);
        else response.write(body.slice(0, resetAfter), () => response.socket.resetAndDestroy());
    }
}
