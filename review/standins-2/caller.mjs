/** A stand-in for a client: each call uses a new connection, unless an agent is given. */
import { request as httpRequest } from "node:http";

/** Sends a request. Resolves to the status (0 without one), the body, and whether the answer came to its end. */
export function call({ port, method = "POST", host, path, id, deadlineMs, headers = {}, body, agent = false }) {
    const sentAt = performance.now();
    return new Promise(resolve => {
        const result = { id, sentAt, status: 0, headers: {}, body: "", isComplete: false, error: undefined };
        const finish = () => {
            clearTimeout(timer);
            resolve({ ...result, tookMs: Math.round(performance.now() - sentAt) });
        };
        const bytes = body === undefined ? undefined : Buffer.from(body);
        const outgoing = httpRequest(
            {
                host: "127.0.0.1",
                port,
                method,
                path,
                agent,
                headers: {
                    "Host": host,
                    "X-Parsleyrun-Request-Id": id,
                    "X-Parsleyrun-Deadline-Ms": String(deadlineMs),
                    ...(bytes === undefined ? {} : { "content-length": bytes.length }),
                    ...headers,
                },
            },
            response => {
                result.status = response.statusCode;
                result.headers = response.headers;
                response.on("data", part => (result.body += part));
                response.on("error", error => (result.error ??= error.message));
                response.on("close", () => {
                    result.isComplete = response.complete && result.error === undefined;
                    finish();
                });
            },
        );
        const timer = setTimeout(() => {
            result.error ??= "deadline passed";
            outgoing.destroy();
            finish();
        }, deadlineMs);
        outgoing.on("error", error => {
            result.error ??= error.message;
            finish();
        });
        outgoing.end(bytes);
    });
}

export const pause = milliseconds => new Promise(resolve => setTimeout(resolve, Math.max(0, milliseconds)));
