/**
 * Events that arrive in many parts. The parser hands each part over by itself, so a target that sends an event without an end in
 * parts of a few bytes keeps the event loop busy, and requests of others wait; an event in some thousand parts is sound.
 */
import { afterEach, expect, it } from "vitest";
import { Deployment } from "./harness.js";

const HEAD =
    "HTTP/1.1 200 OK\r\nx-parsleyrun-request-id: parts\r\nx-parsleyrun-server-stamp: s\r\n" +
    "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";

function chunks(text: string, size: number): string {
    const parts = text.match(new RegExp(`[^]{1,${size}}`, "g")) ?? [];
    return parts.map(part => `${part.length.toString(16)}\r\n${part}\r\n`).join("");
}

let deployment: Deployment;

afterEach(() => deployment.close());

it.each([
    { parts: 2_000, isWhole: true },
    { parts: 4_000, isWhole: true },
    { parts: 5_000, isWhole: false },
])("an event in $parts parts is passed on: $isWhole", async ({ parts, isWhole }) => {
    deployment = await Deployment.start({ engines: 1 });
    const event = `id: 1\ndata: ${"x".repeat(4 * parts - 14)}\n\n`;
    const text = `${HEAD}${chunks(event, 4)}0\r\n\r\n`;
    deployment.target("engines-0").behaviour = () => ({ kind: "raw", text });
    const { body, complete } = await deployment.call({ path: "/draft/1", id: "parts" });
    expect(complete && body === event).toBe(isWhole);
});
