/** Reading of a request's whole body, within limits of size and time. */
import type { IncomingMessage } from "node:http";
import type { Deadline } from "../model/index.js";

/** The bytes, or why there are none. */
export type RequestBody = Buffer | "tooLong" | "late" | "broken";

/** Reads a body of at most `limit` bytes. */
export function readRequestBody(request: IncomingMessage, limit: number, deadline: Deadline): Promise<RequestBody> {
    const announced = Number(request.headers["content-length"] ?? 0);
    if (announced > limit) return Promise.resolve("tooLong");
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let size = 0;
        const finish = (outcome: RequestBody): void => {
            clearTimeout(timer);
            resolve(outcome);
        };
        const timer = setTimeout(() => finish("late"), deadline.remainingMs());
        request.on("data", (chunk: Buffer) => {
            size += chunk.length;
            if (size > limit) finish("tooLong");
            else chunks.push(chunk);
        });
        request.on("end", () => finish(Buffer.concat(chunks)));
        request.on("error", () => finish("broken"));
        request.on("close", () => finish("broken"));
    });
}
