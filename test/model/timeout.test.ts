/** A process that was delayed must not count its own delay as one of its peer: the data that has arrived is read first. */
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { NEVER_ABORTED, sendAttempt } from "../../src/gateway/attempt.js";
import { HeldBody } from "../../src/gateway/heldbody.js";
import { MemoryAccount } from "../../src/memory/index.js";
import { Deadline } from "../../src/model/index.js";
import { startTimeout } from "../../src/model/timeout.js";

/** Time in milliseconds for which the event loop is blocked; longer than the timeouts. */
const BLOCKED_MS = 400;
const TIMEOUT_MS = 150;

let server: Server;
let address: string;

function blockEventLoop(): void {
    const end = performance.now() + BLOCKED_MS;
    while (performance.now() < end);
}

beforeEach(async () => {
    // The response has left the server when the event loop is blocked.
    server = createServer((_request, response) => void response.end("answer", blockEventLoop));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
});

afterEach(() => {
    vi.useRealTimers();
    server.close();
    server.closeAllConnections();
});

describe("a timeout", () => {
    it("for a response lets it be read if it has arrived before", async () => {
        const limits = { deadline: Deadline.after(60_000), headTimeoutMs: TIMEOUT_MS, signal: NEVER_ABORTED };
        const request = { address, method: "GET", path: "/", headers: [], body: undefined };
        const attempt = await sendAttempt(request, limits);
        expect(attempt.kind).toBe("answered");
        if (attempt.kind !== "answered") return;
        const memory = MemoryAccount.create({ maximumBytes: 100_000 });
        const holding = { memory, party: "targets", maximumBytes: 1_000 } as const;
        const { outcome, body } = await HeldBody.read(attempt.body, limits, holding);
        expect([outcome.kind, body.bytes.toString()]).toEqual(["complete", "answer"]);
    });

    it("calls back once, after its time", async () => {
        vi.useFakeTimers();
        const callback = vi.fn();
        startTimeout(callback, 100);
        await vi.advanceTimersByTimeAsync(99);
        expect(callback).not.toHaveBeenCalled();
        await vi.advanceTimersByTimeAsync(2);
        expect(callback).toHaveBeenCalledOnce();
    });

    it("does not call back once it is cancelled", async () => {
        vi.useFakeTimers();
        const callback = vi.fn();
        const cancel = startTimeout(callback, 10);
        await vi.advanceTimersByTimeAsync(5);
        cancel();
        await vi.advanceTimersByTimeAsync(50);
        expect(callback).not.toHaveBeenCalled();
    });
});
