/**
 * How a process has ended, and what it holds, can be read from the log and the metrics. Otherwise a process that ends by
 * itself looks like connections that were cut for another reason.
 */
import { afterEach, describe, expect, it, vi } from "vitest";
import { MEMORY_PARTIES } from "../../src/memory/index.js";
import { Deployment } from "./harness.js";

let deployment: Deployment;

afterEach(() => deployment.close());

describe("the log of a gateway that starts again", () => {
    it.each([
        { end: "kill", lines: 1 },
        { end: "stop", lines: 0 },
    ] as const)("after a $end has $lines lines on an end without a stop", async ({ end, lines }) => {
        deployment = await Deployment.start({ bookings: 1 }, 1);
        await deployment.gateways[0]?.[end]();
        await deployment.addGateway("gateway-0");
        await vi.waitFor(async () => expect(await deployment.isReady(1)).toBe(true), 3_000);
        await vi.waitFor(() => expect(deployment.linesOf("store followed")).toHaveLength(2), 3_000);
        const found = (): readonly unknown[] => deployment.linesOf("earlier process ended without a stop");
        if (lines > 0) await vi.waitFor(() => expect(found()).toHaveLength(lines), 3_000);
        expect(found()).toHaveLength(lines);
    });
});

describe("the metrics of a gateway", () => {
    it("have the memory of the process, and what is held by party", async () => {
        deployment = await Deployment.start({ bookings: 1 }, 1);
        const page = await (await fetch(`http://${deployment.metrics[0]}/metrics`)).text();
        const value = (name: string): number => Number(new RegExp(`^parsleyrun_${name} (\\d+)$`, "m").exec(page)?.[1]);
        for (const name of ["resident_bytes", "heap_bytes", "external_bytes"]) {
            expect(value(name), name).toBeGreaterThan(0);
        }
        for (const party of MEMORY_PARTIES) expect(value(`held_bytes_${party}`), party).toBeGreaterThanOrEqual(0);
    });
});
