/** A stand-in for a replica. A case says what it does with a request. */
import { createServer } from "node:http";

export class Replica {
    constructor(id, serve) {
        this.id = id;
        this.serve = serve;
        this.sockets = new Set();
        this.isUp = false;
        this.port = 0;
        this.isLeaving = false;
    }

    static async start(id, serve) {
        const replica = new Replica(id, serve);
        await replica.listen();
        return replica;
    }

    get address() {
        return `127.0.0.1:${this.port}`;
    }

    async listen() {
        this.server = createServer((request, response) => this.receive(request, response));
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.on("error", () => undefined);
            socket.once("close", () => this.sockets.delete(socket));
        });
        await new Promise(resolve => this.server.listen(this.port, "127.0.0.1", resolve));
        this.port = this.server.address().port;
        this.isUp = true;
    }

    /** Ends as a killed process does: the address refuses connections, and the open ones are reset. */
    crash() {
        if (!this.isUp) return;
        this.isUp = false;
        this.server.close();
        for (const socket of this.sockets) socket.resetAndDestroy();
    }

    close() {
        this.isUp = false;
        this.server.close();
        for (const socket of this.sockets) socket.destroy();
    }

    receive(request, response) {
        const parts = [];
        request.on("error", () => undefined);
        response.on("error", () => undefined);
        request.on("data", part => parts.push(part));
        request.on("end", () => {
            const expected = request.headers["x-parsleyrun-expect-instance"];
            if (expected !== undefined && expected !== this.id) {
                response.writeHead(421, { "X-Parsleyrun-Instance-Id": this.id, "content-length": 0 }).end();
                return;
            }
            const id = request.headers["x-parsleyrun-request-id"];
            this.serve({ replica: this, id, request, response, body: Buffer.concat(parts) });
        });
    }

    headers(id, length) {
        return {
            "X-Parsleyrun-Request-Id": id,
            "X-Parsleyrun-Server-Stamp": `stamp.${this.id}.${id}`,
            // A replica that leaves says so in all its answers.
            ...(this.isLeaving ? { "Server-Leaving": "1" } : {}),
            ...(length === undefined ? {} : { "content-length": length }),
        };
    }
}
