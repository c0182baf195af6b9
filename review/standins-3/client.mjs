/** A client: sends requests, each on a new connection, and tells how they ended. */
import { randomBytes } from "node:crypto";
import { request as httpRequest } from "node:http";

export const newId = () => randomBytes(8).toString("hex");

/** Sends a request. The outcome has the status, headers and body, or the error of the connection. */
export function send(port, { method = "GET", path, host, headers = {}, body, deadlineMs = 1_500 }) {
    const id = newId();
    const sentAt = performance.now();
    return new Promise(resolve => {
        const finish = outcome => {
            clearTimeout(timer);
            call.destroy();
            resolve({ id, sentAt, tookMs: performance.now() - sentAt, ...outcome });
        };
        const call = httpRequest(
            {
                host: "127.0.0.1",
                port,
                method,
                path,
                agent: false,
                headers: {
                    "host": host,
                    "x-parsleyrun-request-id": id,
                    "x-parsleyrun-deadline-ms": String(deadlineMs),
                    ...headers,
                    ...(body === undefined ? {} : { "content-length": Buffer.byteLength(body) }),
                },
            },
            response => {
                const parts = [];
                response.on("data", part => parts.push(part));
                response.on("error", error => finish({ status: response.statusCode, error: error.message }));
                response.on("end", () => {
                    const text = Buffer.concat(parts).toString();
                    finish({ status: response.statusCode, headers: response.headers, body: text });
                });
            },
        );
        const timer = setTimeout(() => finish({ error: "deadline" }), deadlineMs);
        call.on("error", error => finish({ error: error.message }));
        call.end(body);
    });
}
