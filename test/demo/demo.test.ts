/** The demo as a process, and the judgement of answers and bookings on which its figures rest. */
import { execFile } from "node:child_process";
import { promisify } from "node:util";
import { describe, expect, it } from "vitest";
import {
    type DemoRequest,
    expectedResponse,
    checkResponse,
    parseResponse,
    type Verdict,
} from "../../src/demo/caller.js";
import { summarise } from "../../src/demo/summary.js";
import type { Pipeline } from "../../src/model/index.js";

const stage = { costMilliseconds: 1, maximumTokens: 0, streaming: false, idempotent: true };
const pipeline: Pipeline = {
    name: "question",
    stages: [
        { ...stage, name: "encode", service: "encode", operation: "encode" },
        { ...stage, name: "generate", service: "generate", operation: "generate", streaming: true, maximumTokens: 8 },
    ],
};
const expected = expectedResponse(pipeline, { text: "a" });
const other = expectedResponse(pipeline, { text: "b" });
const tokens = expected.streamedText.match(/\S+ /g) ?? [];
const done = { outcome: "done", output: expected.output, stages: expected.stages };

function stream(texts: readonly string[], indexes = texts.map((_, index) => index), body: object = done): string {
    const events = texts.map((token, at) => `event: token\ndata: ${JSON.stringify({ index: indexes[at], token })}\n\n`);
    return `${events.join("")}event: outcome\ndata: ${JSON.stringify(body)}\n\n`;
}

describe("npm run demo", () => {
    // Guards against figures that are printed without a run, and against a process that does not end by itself.
    it("delivers every request once, runs each booking once and prints one line of JSON", async () => {
        const { stdout } = await promisify(execFile)("node", ["dist/demo/main.js", "--json"], { timeout: 25_000 });
        expect(stdout).toMatch(/^\{.*\}\n$/);
        const figures = JSON.parse(stdout) as Record<string, number>;
        const { requests = 0, refusedNotRun = 0 } = figures;
        expect(requests).toBeGreaterThan(100);
        expect(figures).toEqual({
            requests,
            deliveredOnceWholeInTime: requests - refusedNotRun,
            refusedNotRun,
            failed: 0,
            unknown: 0,
            bookingRuns: 8,
            wrongAnswers: 0,
        });
    });
});

describe("the judgement of an answer", () => {
    const cases: readonly (readonly [fault: string, text: string, kind: Verdict["kind"]])[] = [
        ["none", JSON.stringify(done), "delivered"],
        ["another request's output", JSON.stringify({ ...done, output: other.output }), "wrong"],
        ["another request's stage", JSON.stringify({ ...done, stages: other.stages }), "wrong"],
        ["a refusal without its promise", JSON.stringify({ outcome: "refused" }), "wrong"],
        ["a refusal", JSON.stringify({ outcome: "refused", notRun: true }), "refused"],
        ["a failure", JSON.stringify({ outcome: "failed" }), "failed"],
        ["an unknown outcome", JSON.stringify({ outcome: "unknown" }), "unknown"],
        ["an error of the caller", JSON.stringify({ error: "x" }), "failed"],
    ];

    it.each(cases)("with %s", (_, text, kind) => {
        expect(checkResponse(parseResponse(200, "application/json", text), expected).kind).toBe(kind);
    });

    const streams: readonly (readonly [fault: string, text: string, kind: Verdict["kind"]])[] = [
        ["none", stream(tokens), "delivered"],
        ["a missing token", stream(tokens.slice(1)), "wrong"],
        ["a repeated token", stream([...tokens.slice(0, 1), ...tokens]), "wrong"],
        ["a gap in the indexes", stream(tokens, [1, 2, 3, 4, 5, 6, 7, 8]), "wrong"],
        ["tokens of another request", stream(other.streamedText.match(/\S+ /g) ?? []), "wrong"],
    ];

    it.each(streams)("streamed with %s", (_, text, kind) => {
        expect(checkResponse(parseResponse(200, "text/event-stream", text), expected).kind).toBe(kind);
    });

    it("takes a stream without an outcome for incomplete", () => {
        const [incomplete = ""] = stream(tokens).split("event: outcome");
        expect(() => parseResponse(200, "text/event-stream", incomplete)).toThrow("without an outcome");
    });
});

describe("the summary", () => {
    const request: DemoRequest = { entry: "e", account: { name: "a", key: "k" }, pipeline, input: {}, streamed: false };
    const cases: readonly (readonly [string, readonly Verdict["kind"][], number | undefined, readonly string[]])[] = [
        ["a booking that ran once", ["delivered", "delivered"], 1, []],
        ["a booking that was refused", ["refused"], undefined, []],
        ["a booking that ran twice", ["delivered"], 2, ["a/key/book ran 2 times"]],
        ["a booking that did not run", ["delivered"], undefined, ["a/key/book was answered without a run"]],
        ["a refused booking that ran", ["refused"], 1, ["a/key/book was refused and ran"]],
        ["a lost answer", ["unknown"], 1, ["question at e: unknown: x"]],
        ["an answer to another request", ["wrong"], 1, ["question at e: wrong: x"]],
    ];

    it.each(cases)("names the problems of %s", (_, kinds, runs, problems) => {
        const sent = kinds.map(kind => ({
            request: { ...request, idempotencyKey: "key" },
            verdict: { kind, detail: "x", milliseconds: 1 },
        }));
        const summary = summarise(sent, new Map(runs === undefined ? [] : [["a/key/book", runs]]));
        expect(summary.problems).toEqual(problems);
        expect(summary.figures).toMatchObject({ requests: kinds.length, bookingRuns: runs ?? 0 });
    });

    it("names runs of a key that was not sent", () => {
        expect(summarise([], new Map([["stray", 1]])).problems).toEqual(["stray ran and was never sent"]);
    });
});
