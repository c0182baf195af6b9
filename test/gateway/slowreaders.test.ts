/**
 * Guards against a target that counts as silent because what it sent cannot be passed on yet, and against parts that are
 * lost or mixed up as they are joined meanwhile.
 */
import { createServer } from "node:http";
import { afterEach, expect, it } from "vitest";
import { NEVER_ABORTED, sendAttempt } from "../../src/gateway/attempt.js";
import { Deadline } from "../../src/model/index.js";
import { pause } from "../../src/model/pause.js";
import { listen } from "../platform/listening.js";

const STALL_MS = 150;
const BUSY_MS = 500;

/** Parts of a long body, each with its number. */
const PARTS = Array.from({ length: 20_000 }, (_, index) => `${index};`);

const server = createServer((request, response) => {
    if (request.url === "/parts") {
        for (const part of PARTS) response.write(part);
        response.end();
        return;
    }
    response.write("first");
    setTimeout(() => response.end("last"), 20);
});

afterEach(() => void server.close());

it("a body is not stalled while its reader is busy", async () => {
    const request = { address: await listen(server), method: "GET", path: "/", headers: [], body: undefined };
    const limits = { deadline: Deadline.after(3_000), signal: NEVER_ABORTED };
    const attempt = await sendAttempt(request, limits);
    if (attempt.kind !== "answered") throw new Error(`attempt is ${attempt.kind}`);
    let received = "";
    const outcome = await attempt.body.read({
        ...limits,
        stallTimeoutMs: STALL_MS,
        onChunk: chunk => {
            received += chunk.toString();
            return pause(BUSY_MS);
        },
    });
    expect({ outcome, received }).toEqual({ outcome: { kind: "complete" }, received: "firstlast" });
});

it("a body of many small parts is whole, in few chunks, for a reader that is often busy", async () => {
    const request = { address: await listen(server), method: "GET", path: "/parts", headers: [], body: undefined };
    const limits = { deadline: Deadline.after(20_000), signal: NEVER_ABORTED };
    const attempt = await sendAttempt(request, limits);
    if (attempt.kind !== "answered") throw new Error(`attempt is ${attempt.kind}`);
    const chunks: string[] = [];
    const onChunk = (chunk: Buffer): Promise<void> => {
        chunks.push(chunk.toString());
        return pause(5);
    };
    const outcome = await attempt.body.read({ ...limits, onChunk });
    expect(outcome).toEqual({ kind: "complete" });
    expect(chunks.join("")).toBe(PARTS.join(""));
    expect(chunks.length).toBeLessThan(PARTS.length / 10);
});
