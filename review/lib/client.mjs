/** A client with one kept connection, which the platform forwards to a gateway of its zone. */
import { Agent, request } from "node:http";
import { randomBytes } from "node:crypto";

const CONNECT_TIMEOUT_MS = 1_000;

export class Client {
    constructor(fleet, zone, hash) {
        this.fleet = fleet;
        this.zone = zone;
        this.hash = hash;
    }

    /** Closes the kept connection. */
    close() {
        this.agent?.destroy();
        this.agent = undefined;
    }

    /** Sends one request. Resolves to what came of it; `status` is 0 without an answer. */
    async send({ method = "GET", host, path, key, deadlineMs, headers = {}, body, onSent }) {
        if (this.agent === undefined) {
            this.gateway = this.fleet.choose(this);
            if (this.gateway === undefined) return { status: 0, reason: "no gateway is ready" };
            this.agent = new Agent({ keepAlive: true, maxSockets: 1 });
        }
        const { gateway, agent } = this;
        const id = randomBytes(8).toString("hex");
        const sentAt = performance.now();
        onSent?.(id, gateway.name);
        const [ip, port] = gateway.frontend.split(":");
        const result = await new Promise(done => {
            const outgoing = request(
                {
                    agent,
                    host: ip,
                    port,
                    method,
                    path,
                    headers: {
                        "host": host,
                        "x-parsleyrun-request-id": id,
                        "x-parsleyrun-deadline-ms": deadlineMs,
                        ...(key === undefined ? {} : { authorization: `Token ${key}` }),
                        ...headers,
                    },
                },
                answer => {
                    const chunks = [];
                    answer.on("data", chunk => chunks.push(chunk));
                    answer.on("error", () => undefined);
                    answer.on("close", () =>
                        done({
                            status: answer.complete ? answer.statusCode : 0,
                            headers: answer.headers,
                            body: Buffer.concat(chunks).toString(),
                            reason: answer.complete ? "answered" : "cut in the answer",
                        }),
                    );
                },
            );
            const giveUp = setTimeout(() => outgoing.destroy(new Error("deadline")), deadlineMs + 100);
            outgoing.on("socket", socket => {
                if (!socket.connecting) return;
                const timer = setTimeout(() => outgoing.destroy(new Error("no connection")), CONNECT_TIMEOUT_MS);
                socket.once("connect", () => clearTimeout(timer));
                socket.once("close", () => clearTimeout(timer));
            });
            outgoing.on("error", error => done({ status: 0, reason: error.message }));
            outgoing.on("close", () => clearTimeout(giveUp));
            outgoing.end(body);
        });
        // The next request goes on a new connection, perhaps to another gateway.
        if (result.status === 0 || result.headers?.connection === "close") this.close();
        return { id, gateway: gateway.name, sentAt, answeredAt: performance.now(), ...result };
    }
}
