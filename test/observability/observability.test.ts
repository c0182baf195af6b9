import { createSocket } from "node:dgram";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { describe, expect, it, vi } from "vitest";
import {
    createLogger,
    createMetrics,
    type DurationLabels,
    HistogramSet,
    OVERFLOW_LABEL,
} from "../../src/observability/index.js";

function labels(account: string): DurationLabels {
    return { account, plan: "p", kind: "k", pipeline: "q", measure: "total" };
}

describe("HistogramSet", () => {
    it("summarises within 1% and merges an encoded set", () => {
        const [first, second] = [HistogramSet.create(), HistogramSet.create()];
        for (let value = 1; value <= 500; value += 1) first.record(labels("a"), value);
        for (let value = 501; value <= 1_000; value += 1) second.record(labels("a"), value);
        second.record({ ...labels("a"), stage: "s" }, 0.05);
        expect(first.merge(second.encode())).toBe(true);
        const [whole, stage] = first.summary();
        expect(whole?.count).toBe(1_000);
        for (const [actual, expected] of [
            [whole?.p50, 500],
            [whole?.p95, 950],
            [whole?.p99, 990],
            [whole?.max, 1_000],
        ]) {
            expect(Math.abs((actual ?? 0) / (expected ?? 1) - 1)).toBeLessThan(0.01);
        }
        expect(stage).toMatchObject({ labels: { stage: "s" }, count: 1, max: 0.05 });
    });

    it.each(["", "{}", '[[{"account":"a"},"x"]]', JSON.stringify([[labels("a"), "not a histogram"]])])(
        "adds nothing from the malformed text %s",
        text => {
            const set = HistogramSet.create();
            expect(set.merge(text)).toBe(false);
            expect(set.summary()).toEqual([]);
        },
    );

    // Callers choose some label values; the memory for them must stay bounded.
    it("merges label sets beyond the limit into one", () => {
        const set = HistogramSet.create({ maximumLabelSets: 2 });
        for (const account of ["a", "b", "c", "d", "a"]) set.record(labels(account), 5_000_000);
        const counts = set.summary().map(entry => [entry.labels.account, entry.count]);
        expect(counts).toEqual([
            ["a", 2],
            ["b", 1],
            [OVERFLOW_LABEL, 2],
        ]);
    });
});

describe("createMetrics", () => {
    it("keeps totals by tags and sends increments to the configured collector", async () => {
        const socket = createSocket("udp4").bind(0, "127.0.0.1");
        await once(socket, "listening");
        const received = once(socket, "message") as Promise<[Buffer]>;
        const address = `127.0.0.1:${(socket.address() as AddressInfo).port}`;
        const metrics = createMetrics({ address, prefix: "test." });
        metrics.increment("calls");
        metrics.increment("calls", 2, { z: "1", a: "2" });
        metrics.increment("calls", 3, { a: "2", z: "1" });
        expect([...metrics.totals()]).toEqual([
            ["calls", 1],
            ["calls{a=2,z=1}", 5],
        ]);
        await metrics.close();
        expect((await received)[0].toString()).toContain("test.calls");
        socket.close();
    });

    it("counts series beyond the limit without their tags", () => {
        const metrics = createMetrics({ prefix: "" });
        for (let index = 0; index < 6_000; index += 1) metrics.increment("calls", 1, { index: String(index) });
        expect(metrics.totals().size).toBe(5_001);
        expect(metrics.totals().get("calls")).toBe(1_000);
    });
});

describe("createLogger", () => {
    // Standard output is reserved for the output of commands.
    it.each(["json", "pretty"] as const)("writes %s lines at or above the level to standard error", format => {
        const errors = vi.spyOn(process.stderr, "write").mockReturnValue(true);
        const output = vi.spyOn(process.stdout, "write").mockReturnValue(true);
        const logger = createLogger({ level: "info", format }, "agent");
        logger.debug("hidden");
        logger.info("target is warm", { target: "t1" });
        logger.error("failed", new Error("reason"));
        const lines = errors.mock.calls.map(([text]) => String(text));
        const written = output.mock.calls.length;
        vi.restoreAllMocks();
        expect(written).toBe(0);
        expect(lines).toHaveLength(2);
        expect(lines[0]).toMatch(/target is warm.*t1/s);
        expect(lines[1]).toMatch(/failed.*reason/s);
        if (format === "json") expect(() => lines.map(line => JSON.parse(line) as unknown)).not.toThrow();
    });
});
