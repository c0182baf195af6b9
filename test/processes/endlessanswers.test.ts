/**
 * Answers without end, at the memory limit of a gateway's process. What a target sends must not end the process, since all
 * requests that it has taken would end with it.
 */
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { Behaviour } from "../platform/standintarget.js";
import { pause, until } from "./daemons.js";
import { Stage } from "./stage.js";

/** Limit of the heap in megabytes, as in `deploy/system.toml`, and memory of the machine. */
const HEAP_MEGABYTES = 192;
const MEMORY_MEGABYTES = 350;

const HEAD = "HTTP/1.1 200 OK\r\nx-parsleyrun-server-stamp: s\r\nx-parsleyrun-request-id: ";
const EVENT_STREAM = "\r\ncontent-type: text/event-stream\r\n\r\n";

/** A body that a gateway accepts, almost as long as the longest one. */
const LONG_BODY = Buffer.alloc(4_100_000, "x");
const LARGE_EVENT = Buffer.from(`id: 1\ndata: ${"x".repeat(120_000)}`);

function chunkOf(event: string): Buffer {
    return Buffer.from(`${event.length.toString(16)}\r\n${event}\r\n`);
}

/** Chunks that fill the buffers of the connections, and chunks that are read thereafter. */
const LARGE_EVENTS = Array.from({ length: 120 }, (_, index) =>
    chunkOf(`id: ${index}\ndata: ${"x".repeat(60_000)}\n\n`),
);
const SMALL_EVENTS = Array.from({ length: 20_000 }, (_, index) => chunkOf(`id: ${200 + index}\ndata: x\n\n`));

interface AnswerCase {
    readonly answer: string;
    readonly route?: "check" | "draft";
    readonly rest: string;
    readonly repeated?: string;
    readonly bytes?: Buffer;
}

const CHUNKED = "\r\ntransfer-encoding: chunked\r\n";

const answers: readonly AnswerCase[] = [
    { answer: "chunks of 4 bytes", rest: `${CHUNKED}\r\n`, repeated: "4\r\nbody\r\n" },
    { answer: "a body without a length", rest: "\r\n\r\n", repeated: "x" },
    { answer: "events without ids", route: "draft", rest: EVENT_STREAM, repeated: "data: x\n\n" },
    {
        answer: "an event without an end in chunks of 4 bytes",
        route: "draft",
        rest: CHUNKED + EVENT_STREAM.slice(2) + "4\r\ndata\r\n1\r\n:\r\n",
        repeated: "4\r\nbody\r\n",
    },
];

/** Answers that are longer than what the process may hold for all of them, to callers that wait for them. */
const unfinished: readonly AnswerCase[] = [
    { answer: "a long body without its end", rest: "\r\ncontent-length: 4194304\r\n\r\n", bytes: LONG_BODY },
    { answer: "a large event without its end", route: "draft", rest: EVENT_STREAM, bytes: LARGE_EVENT },
];

/** Answers to callers that read nothing. */
const unread: readonly AnswerCase[] = [
    { answer: "long bodies", rest: `\r\ncontent-length: ${LONG_BODY.length}\r\n\r\n`, bytes: LONG_BODY },
    { answer: "long bodies of failures", rest: `\r\ncontent-length: ${LONG_BODY.length}\r\n\r\n`, bytes: LONG_BODY },
    {
        answer: "events in small chunks",
        route: "draft",
        rest: CHUNKED + EVENT_STREAM.slice(2),
        bytes: Buffer.concat([...LARGE_EVENTS, ...SMALL_EVENTS]),
    },
];

let stage: Stage;

beforeEach(async () => {
    stage = await Stage.start([`--max-old-space-size=${HEAP_MEGABYTES}`], {
        machine: { memoryMegabytes: MEMORY_MEGABYTES },
    });
});

afterEach(() => stage.close());

/** Lets targets give the answer of a case to all requests whose id begins with "endless". */
function answerWith({ route = "check", rest, repeated, bytes, answer }: AnswerCase): string {
    const target = stage.target(route === "check" ? "bookings" : "engines");
    const usual = target.behaviour;
    const head = answer.endsWith("failures") ? HEAD.replace("200 OK", "500 Failed") : HEAD;
    target.behaviour = (arrival): Behaviour => {
        if (!arrival.id.startsWith("endless")) return usual(arrival);
        const first = head + arrival.id + rest;
        return bytes === undefined
            ? { kind: "endless", first, repeated: repeated ?? "" }
            : { kind: "unfinished", first, bytes };
    };
    return `/${route}/1`;
}

async function expectNeighbourServed(): Promise<void> {
    const neighbour = await (await stage.connect()).send("/public/1", "neighbour");
    expect(neighbour, stage.gateway.errors.slice(-600)).toMatchObject({ status: 200, complete: true });
}

/** The process has not ended and has not used more memory than the machine has. */
async function expectSound(): Promise<void> {
    expect(await Promise.race([stage.gateway.ended, pause(50)])).toBeUndefined();
    expect(stage.gateway.peakResidentBytes() / 1e6).toBeLessThan(MEMORY_MEGABYTES);
}

describe("a gateway process", () => {
    // Guards against a process that runs out of memory: a part of a body takes a hundred times the bytes of a short one,
    // and all bodies that are read at the same time take more than the machine has.
    it.each([
        ...answers.flatMap(answer => [1, 8, 200].map(count => ({ ...answer, count }))),
        ...unfinished.map(answer => ({ ...answer, count: 200 })),
    ])(
        "outlives $count of $answer, and serves a neighbour",
        async ({ count, ...answerCase }) => {
            const path = answerWith(answerCase);
            const callers = await Promise.all(Array.from({ length: count }, () => stage.connect()));
            const received = callers.map((caller, index) => caller.send(path, `endless-${index}`));
            await pause(500);
            await expectNeighbourServed();
            for (const answer of await Promise.all(received)) {
                expect(answer.status === 200 && answer.complete, "a success").toBe(false);
                expect(answer.status, "a refusal").not.toBe(503);
                if (answerCase.route === undefined) expect(answer.status).toBeDefined();
            }
            await expectSound();
        },
        60_000,
    );

    // Guards against answers that leave the account when they are handed to a connection, where they are held until its
    // caller has read them.
    it.each(unread)(
        "outlives 200 callers that do not read $answer, and serves a neighbour",
        async answerCase => {
            const path = answerWith(answerCase);
            const callers = await Promise.all(Array.from({ length: 200 }, () => stage.connect()));
            for (const [index, caller] of callers.entries()) caller.sendUnread(path, `endless-${index}`);
            await until("all requests have reached targets", () =>
                callers.every((_, index) => stage.arrivals(`endless-${index}`).length > 0),
            );
            await pause(3_000);
            await expectNeighbourServed();
            await expectSound();
        },
        60_000,
    );
});
