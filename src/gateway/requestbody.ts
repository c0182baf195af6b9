/** Reads the whole body of a request, within a size limit and a deadline. */
import type { IncomingMessage } from "node:http";
import type { Deadline } from "../model/index.js";
import { startTimeout } from "../model/timeout.js";

/** The body, or why it was not read. */
export type RequestBody = Buffer | "tooLong" | "late" | "malformed" | "broken";

/** Why a body could not be read to its end, by an error of its connection or of the parser. */
function outcomeOfError({ code = "" }: NodeJS.ErrnoException): RequestBody {
    if (code === "HPE_CHUNK_EXTENSIONS_OVERFLOW") return "tooLong";
    return code.startsWith("HPE_") ? "malformed" : "broken";
}

/** Reads a body of at most `maximumBytes` bytes. */
export function readRequestBody(
    request: IncomingMessage,
    maximumBytes: number,
    deadline: Deadline,
): Promise<RequestBody> {
    const announcedBytes = Number(request.headers["content-length"] ?? 0);
    if (announcedBytes > maximumBytes) return Promise.resolve("tooLong");
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let size = 0;
        const finish = (outcome: RequestBody): void => {
            cancelTimeout();
            // The rest of the body is still read, since an unread rest would reset the connection, but not kept.
            request.off("data", keep);
            request.resume();
            resolve(outcome);
        };
        const keep = (chunk: Buffer): void => {
            size += chunk.length;
            if (size > maximumBytes) finish("tooLong");
            else chunks.push(chunk);
        };
        const cancelTimeout = startTimeout(() => finish("late"), deadline.remainingMs());
        request.on("data", keep);
        request.on("end", () => finish(Buffer.concat(chunks)));
        request.on("error", error => finish(outcomeOfError(error)));
        request.on("close", () => finish("broken"));
    });
}
