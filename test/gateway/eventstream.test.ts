/** A stream is split into the same complete events however its bytes are divided into chunks. */
import fastCheck from "fast-check";
import { afterEach, describe, expect, it, vi } from "vitest";
import { EventSplitter } from "../../src/gateway/eventstream.js";

describe("EventSplitter", () => {
    it.each<[string, string, readonly (string | undefined)[], number]>([
        ["two events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", ["1", "2"], 0],
        ["carriage returns", "id: 1\r\ndata: a\r\n\r\n", ["1"], 0],
        ["an event without id", "data: a\n\n", [undefined], 0],
        ["an event that is not complete", "id: 1\ndata: a\n\nid: 2\nda", ["1"], 8],
        ["a first line of another name", "weights: 3\nid: 4\ndata: a\n\n", ["4"], 0],
        ["an id in the data", "id: 5\ndata: id: 9\n\n", ["5"], 0],
    ])("reads %s", (_, text, ids, pending) => {
        const splitter = EventSplitter.create();
        expect(splitter.push(Buffer.from(text)).map(({ id }) => id)).toEqual(ids);
        expect(splitter.pendingBytes).toBe(pending);
    });

    it.each<[string, string, readonly (string | undefined)[], boolean]>([
        [
            "a comment between events",
            "id: 1\ndata: a\n\n: still here\n\nid: 2\ndata: b\n\n",
            ["1", undefined, "2"],
            false,
        ],
        ["an event without an id after one with an id", "id: 1\ndata: a\n\ndata: b\n\n", ["1"], true],
        ["an id that was there before", "id: 2\ndata: a\n\nid: 1\ndata: b\n\n", ["2"], true],
        ["the same id twice", "id: 1\ndata: a\n\nid: 1\ndata: b\n\n", ["1"], true],
        ["the same id twice, no number", "id: a\ndata: a\n\nid: a\ndata: b\n\n", ["a"], true],
        ["text", "the target has failed\n\n", [], true],
        ["a head", "HTTP/1.1 500 Failed\r\ncontent-length: 0\r\n\r\n", [], true],
        ["events after a head", "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: a\n\n", [], true],
    ])("stops at what is no event: %s", (_, text, ids, isMalformed) => {
        const splitter = EventSplitter.create();
        expect(splitter.push(Buffer.from(text)).map(({ id }) => id)).toEqual(ids);
        expect(splitter.isMalformed).toBe(isMalformed);
    });

    it.each<[string, readonly string[], number]>([
        ["an event without an end", ["id: 1\ndata: a\n\n", "id: 2\nda", "ta"], 10],
        ["events with an id that was there before", ["id: 1\ndata: a\n\n", "id: 1\ndata: b\n\n"], 15],
        ["events without an id", ["id: 1\ndata: a\n\n", "data: b\n\n"], 9],
        ["the event after which the stream begins", ["id: 0\ndata: a\n\n"], 15],
        ["new events", ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\nid"], 2],
    ])("counts the bytes since the last new event: %s", (_, chunks, bytes) => {
        const splitter = EventSplitter.create("0");
        for (const chunk of chunks) splitter.push(Buffer.from(chunk));
        expect(splitter.bytesSinceNewEvent).toBe(bytes);
    });

    it("gives the same bytes for every way to cut them", () => {
        const line = fastCheck.stringMatching(/^[a-z]{1,8}: [ -~é]{0,12}$/);
        const events = fastCheck.array(fastCheck.array(line, { minLength: 1, maxLength: 4 }), { maxLength: 8 });
        fastCheck.assert(
            fastCheck.property(events, fastCheck.array(fastCheck.integer({ min: 1, max: 20 })), (blocks, cuts) => {
                const bytes = Buffer.from(blocks.map(lines => `${lines.join("\n")}\n\n`).join(""));
                const splitter = EventSplitter.create();
                const received = [];
                let position = 0;
                for (const length of [...cuts, bytes.length]) {
                    received.push(...splitter.push(bytes.subarray(position, position + length)));
                    position = Math.min(bytes.length, position + length);
                }
                expect(received).toHaveLength(blocks.length);
                expect(Buffer.concat(received.map(event => event.bytes))).toEqual(bytes);
            }),
            { seed: 1, numRuns: 300 },
        );
    });
});

describe("an event without an end in very small chunks", () => {
    afterEach(() => vi.restoreAllMocks());

    // The work for each chunk must not grow with what is buffered: one such stream would hold up all requests for seconds.
    it.each([
        { case: "one line", text: "x" },
        { case: "many lines", text: "data: x\n" },
        { case: "many lines with carriage returns", text: "data: x\r\n" },
    ])("is searched once and copied a few times: $case", ({ text }) => {
        const bytes = Buffer.from(text.repeat(16_384 / text.length));
        const copied = [vi.spyOn(Buffer, "concat"), vi.spyOn(Buffer, "allocUnsafeSlow")];
        const searches = vi.spyOn(Buffer.prototype, "indexOf");
        const splitter = EventSplitter.create();
        for (let start = 0; start < bytes.length; start += 4) splitter.push(bytes.subarray(start, start + 4));
        expect(splitter.pendingBytes).toBe(bytes.length);
        const copiedBytes = copied.flatMap(spy => spy.mock.results.map(({ value }) => (value as Buffer).length));
        expect(copiedBytes.reduce((sum, length) => sum + length, 0)).toBeLessThanOrEqual(4 * bytes.length);
        expect(searches.mock.calls.length).toBeLessThanOrEqual(bytes.length / 2);
    });
});
