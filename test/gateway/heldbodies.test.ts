/**
 * Bodies that callers send are held within the memory of the process. Where there is no room, a request is refused before
 * it is sent, and one that was sent keeps its body. Otherwise many bodies together end the process, or a retry has no body.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { MemoryAccount } from "../../src/memory/index.js";
import type { Deployment } from "./harness.js";
import { startHeldMemory } from "./heldmemory.js";
import { RawCaller, requestHead } from "./rawcaller.js";

let deployment: Deployment;
let caller: RawCaller;
let memory: MemoryAccount;

beforeEach(async () => {
    ({ deployment, caller, memory } = await startHeldMemory({ bookings: 2 }));
});

afterEach(async () => {
    caller.close();
    await deployment.close();
});

/** Holds all of the memory but a number of bytes; below 0, more than is left. */
function fill(leftBytes: number): void {
    const holding = memory.open("callers", () => undefined);
    holding.retain();
    holding.resize(memory.maximumBytes - memory.totalBytes - leftBytes);
}

async function expectReason(reason: string): Promise<void> {
    await vi.waitFor(() => expect(deployment.linesOf("request ended", "request")[0]).toMatchObject({ reason }));
}

function arrivals(): number {
    return [...deployment.targets.values()].reduce((sum, target) => sum + target.arrivals.length, 0);
}

describe("a request for whose body there is no memory", () => {
    it.each([
        { state: "with a body", body: "x".repeat(9_000), leftBytes: 4_000 },
        { state: "without a body", body: "", leftBytes: 100 },
    ])("$state is refused with 503 and not sent", async ({ body, leftBytes }) => {
        fill(leftBytes);
        caller.write(requestHead("POST", "/book/1", "request", { "content-length": body.length }) + body);
        const [response] = await caller.read(1);
        expect(response?.status).toBe(503);
        expect(response?.headers.get("retry-after")).toBeDefined();
        expect(arrivals()).toBe(0);
        await expectReason("no memory for the body");
    });

    it("is refused with 503 while its body is being read", async () => {
        caller.write(requestHead("POST", "/book/1", "request", { "content-length": 9_000 }) + "x".repeat(8_000));
        await vi.waitFor(() => expect(memory.bytesOf("callers")).toBeGreaterThan(8_000));
        fill(-100);
        const [response] = await caller.read(1);
        expect(response?.status).toBe(503);
        expect(arrivals()).toBe(0);
    });
});

describe("a body", () => {
    it("is held until the response was given", async () => {
        let answer = (): void => undefined;
        const answered = new Promise<void>(resolve => (answer = resolve));
        for (const target of deployment.targets.values()) {
            target.behaviour = () => ({ kind: "answer", after: answered });
        }
        caller.write(requestHead("POST", "/book/1", "request", { "content-length": 9_000 }) + "x".repeat(9_000));
        await vi.waitFor(() => expect(arrivals()).toBe(1));
        fill(100);
        // The holding of a connection is as small as a new one and may give way first, without an effect on its request.
        const others = Array.from({ length: 3 }, () => memory.open("callers", () => undefined));
        expect(
            others.some(({ isClosed }) => isClosed),
            "a new holding in place of the sent body",
        ).toBe(true);
        answer();
        expect((await caller.read(1))[0]?.status).toBe(200);
        await vi.waitFor(() => expect(memory.totalBytes).toBeLessThan(memory.maximumBytes - 9_000));
    });

    it("in very many parts is rejected", async () => {
        caller.write(requestHead("POST", "/book/1", "request", { "transfer-encoding": "chunked" }));
        caller.write("1\r\nx\r\n".repeat(9_000));
        const [response] = await caller.read(1);
        expect(response).toMatchObject({ status: 413 });
        await expectReason("body has too many parts");
    });
});
