/**
 * A header of few bytes names thousands of pieces, each an object that waits while its service has no usable target. They
 * count as held for their caller. Otherwise a few requests fill the heap and hold up the event loop for seconds.
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
    ({ deployment, caller, memory } = await startHeldMemory({ bookings: 1 }));
});

afterEach(async () => {
    caller.close();
    await deployment.close();
});

/** Bytes held for all but operators, among whom the connections of readiness checks count. */
function heldBytes(): number {
    return memory.totalBytes - memory.bytesOf("operators");
}

describe("the pieces of a request", () => {
    const stagedHead = requestHead("POST", "/staged/1", "request", {
        "content-length": 0,
        "x-parsleyrun-pieces": "4000,2000,4000",
    });

    it("are held while they wait, for the stages that the route has", async () => {
        caller.write(stagedHead);
        await vi.waitFor(() => expect(memory.bytesOf("callers")).toBeGreaterThan(6_000 * 1_000));
        expect(memory.bytesOf("callers")).toBeLessThan(7_000 * 1_024);
        caller.close();
        await vi.waitFor(() => expect(heldBytes()).toBe(0));
    });

    it("for which there is no memory are refused with 503", async () => {
        const waiting: RawCaller[] = [];
        const [address = ""] = deployment.callers;
        for (let index = 0; index < 8; index += 1) {
            const other = await RawCaller.connect(address);
            other.write(stagedHead);
            waiting.push(other);
        }
        await vi.waitFor(() =>
            expect(deployment.linesOf("request ended")[0]).toMatchObject({ reason: "no memory for the pieces" }),
        );
        expect(memory.bytesOf("callers")).toBeLessThanOrEqual(memory.maximumBytes / 2);
        for (const other of [caller, ...waiting]) other.close();
        await vi.waitFor(() => expect(heldBytes()).toBe(0));
        caller = await RawCaller.connect(address);
        caller.write(requestHead("POST", "/book/1", "next", { "content-length": 0 }));
        expect((await caller.read(1))[0]?.status).toBe(200);
    });
});
