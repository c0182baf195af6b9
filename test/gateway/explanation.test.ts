/** The log lines by which docs/OPERATIONS.md traces a failed request from its id to the cause. */
import { afterEach, describe, expect, it, vi } from "vitest";
import { DecisionLog, LineSink } from "../../src/observability/index.js";
import { CONFIGURATION, Deployment } from "./harness.js";

let deployment: Deployment;

afterEach(async () => {
    await deployment.close();
});

const STAGE_HEADERS = { "x-parsleyrun-pieces": "4,4", "x-parsleyrun-piece-key": "k" };

describe("a failed request", () => {
    it("that was refused for load leads to the queue that was too long", async () => {
        deployment = await Deployment.start({ engines: 1, encode: 1, rank: 1 });
        deployment.target("encode-0").callMs = 300;
        const headers = { ...STAGE_HEADERS, "x-parsleyrun-deadline-ms": "700" };
        const answers = await Promise.all(
            Array.from({ length: 60 }, (_, index) =>
                deployment.call({ path: "/staged/1", headers, id: `load-${index}` }),
            ),
        );
        const refused = answers.findIndex(({ status }) => status === 503);
        expect(refused).toBeGreaterThanOrEqual(0);
        await vi.waitFor(() => {
            const id = `load-${refused}`;
            expect(deployment.linesOf("request ended", id)).toMatchObject([{ outcome: "refused", configuration: 1 }]);
            const causes = [...deployment.linesOf("stage refused", id), ...deployment.linesOf("piece lost", id)];
            expect(causes.length).toBeGreaterThan(0);
        });
        const line = deployment.linesOf("stage refused")[0];
        expect(line).toMatchObject({ service: "encode", stage: 0, targets: 1 });
        expect(Number(line?.neededMs)).toBeGreaterThan(Number(line?.remainingMs) / 4);
    });

    it("that broke at a target leads to that target and what was delivered", async () => {
        deployment = await Deployment.start({ engines: 1 });
        deployment.target("engines-0").behaviour = () => ({ kind: "stream", events: 9, cutAfterBytes: 120 });
        expect((await deployment.call({ path: "/draft/1", id: "broken-1" })).complete).toBe(false);
        await vi.waitFor(() => {
            const [ended] = deployment.linesOf("request ended", "broken-1");
            expect(ended).toMatchObject({ outcome: "brokenOff", targets: ["engines-0"], attempts: 1 });
            const [broken] = deployment.linesOf("stream broken", "broken-1");
            expect(broken).toMatchObject({ target: "engines-0" });
            expect(Number(broken?.delivered)).toBeGreaterThan(0);
        });
    });

    it("that was rejected leads to the version of the configuration that decided", async () => {
        deployment = await Deployment.start({ bookings: 1 });
        deployment.platform.put("config", "main", { ...CONFIGURATION, Version: 8, Routes: [] });
        await vi.waitFor(() => expect(deployment.linesOf("configuration in force")).toHaveLength(2));
        expect((await deployment.call({ path: "/check/1", id: "rejected-1" })).status).toBe(404);
        await vi.waitFor(() => {
            expect(deployment.linesOf("request ended", "rejected-1")).toMatchObject([
                { outcome: "rejected", status: 404, configuration: 8 },
            ]);
        });
        expect(deployment.linesOf("configuration in force")[1]).toMatchObject({ version: 8, before: 1 });
    });

    it("is counted, with its duration, at the metrics address", async () => {
        deployment = await Deployment.start({ bookings: 1 });
        await deployment.call({ path: "/check/1" });
        const page = await (await fetch(`http://${deployment.metrics[0]}/metrics`)).text();
        expect(page).toMatch(/^parsleyrun_requests\{outcome="answered",reason="complete",status="200"\} 1$/m);
        expect(page).toMatch(
            /^parsleyrun_total_milliseconds_count\{account="kettleby",route="check",outcome="answered"\} 1$/m,
        );
        expect(page).toMatch(/^parsleyrun_store_calls\{kind="list"\} \d+$/m);
    });
});

describe("log lines", () => {
    it("are limited in rate, and suppressed lines are counted", async () => {
        deployment = await Deployment.start({ bookings: 1 });
        const written: string[] = [];
        const sink = LineSink.create((text, done) => {
            written.push(...text.trim().split("\n"));
            done(null);
        });
        const log = DecisionLog.create("p", sink);
        for (let index = 0; index < 5_000; index += 1) log.write("decision", { index });
        await new Promise(resolve => setTimeout(resolve, 60));
        log.write("later", {});
        sink.flush();
        await vi.waitFor(() => expect(written.at(-1)).toContain("later"));
        expect(written.length).toBeLessThan(1_000);
        expect(JSON.parse(written.at(-1) ?? "{}")).toMatchObject({ suppressed: expect.any(Number) as number });
    });

    it("never wait for a slow reader: lines over the buffer size are dropped and counted", async () => {
        deployment = await Deployment.start({ bookings: 1 });
        const written: string[] = [];
        let release: (() => void) | undefined;
        const sink = LineSink.create((text, done) => {
            written.push(text);
            release = () => done(null);
        });
        sink.write("first");
        sink.flush();
        for (let index = 0; index < 10_000; index += 1) sink.write("x".repeat(100));
        expect(sink.droppedLines).toBeGreaterThan(5_000);
        release?.();
        sink.flush();
        await vi.waitFor(() => expect(written[1]).toMatch(/"log lines dropped","count":\d+/));
    });
});
