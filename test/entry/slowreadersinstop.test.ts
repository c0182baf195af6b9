/**
 * A planned stop of the callers' server while a caller has not taken its answer yet. Node takes such a connection for idle once
 * the response was ended, and the answer was cut off.
 */
import { createHash } from "node:crypto";
import { connect, type Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { Configuration, ConfigurationHolder } from "../../src/configuration/index.js";
import { CallerServer } from "../../src/entry/index.js";
import { pause } from "../../src/model/pause.js";
import { baseRecords, logger } from "./harness.js";

/** Longer than what a connection takes whose caller does not read. */
const LONG_OUTPUT = "x".repeat(20_000_000);

let server: CallerServer;
let socket: Socket;

afterEach(() => {
    socket.destroy();
    server.kill();
});

async function start(output: unknown): Promise<void> {
    const holder = ConfigurationHolder.create();
    const keyHash = createHash("sha256").update("api-key").digest("hex");
    const account = { kind: "account", name: "a1", value: { name: "a1", plan: "p", keyHash } } as const;
    holder.replace(Configuration.of(1, [...baseRecords, account]));
    server = await CallerServer.start({
        settings: {
            callerAddress: "127.0.0.1:0",
            defaultDeadlineMilliseconds: 4_000,
            maximumDeadlineMilliseconds: 10_000,
        },
        entry: {
            ready: true,
            handle: () => Promise.resolve({ kind: "done", output, stages: {}, costMilliseconds: 2 }),
        },
        configuration: holder,
        logger,
        metrics: { increment: () => undefined },
    });
    const [host = "", port = ""] = server.address.split(":");
    socket = connect(Number(port), host);
    socket.on("error", () => undefined);
}

function sendRequest(): void {
    const body = '{"input":{"prompt":"x"}}';
    socket.write(
        "POST /v1/pipelines/ask HTTP/1.1\r\nhost: a\r\nauthorization: Bearer api-key\r\nidempotency-key: k\r\n" +
            `content-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
    );
}

describe("a planned stop", () => {
    it.each([{ slowMs: 50 }, { slowMs: 400 }])(
        "lets a caller take its answer that reads $slowMs ms late",
        async ({ slowMs }) => {
            await start(LONG_OUTPUT);
            socket.pause();
            sendRequest();
            await pause(300);
            const stopped = server.stop();
            await pause(slowMs);
            let bytes = 0;
            socket.on("data", chunk => (bytes += chunk.length));
            const ended = new Promise(resolve => socket.once("close", resolve));
            socket.resume();
            await Promise.all([stopped, ended]);
            expect(bytes).toBeGreaterThan(LONG_OUTPUT.length);
        },
    );

    it.each([
        { case: "has sent nothing", requests: 0, part: "" },
        { case: "has taken its answer", requests: 1, part: "" },
        { case: "does not go on with its request", requests: 0, part: "POST /v1/pipelines/ask HT" },
        { case: "does not go on with its second request", requests: 1, part: "POST /v1/pipelines/ask HT" },
    ])("closes the connection of a caller that $case", async ({ requests, part }) => {
        await start("short");
        for (let request = 0; request < requests; request += 1) {
            sendRequest();
            await new Promise(resolve => socket.once("data", resolve));
        }
        socket.resume();
        const ended = new Promise(resolve => socket.once("close", resolve));
        socket.write(part);
        await pause(20);
        await Promise.all([server.stop(), ended]);
    });
});
