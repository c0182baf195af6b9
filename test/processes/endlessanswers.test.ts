/**
 * Answers without end, at the memory limit of a gateway's process. What a target sends must not end the process, since all
 * requests that it has taken would end with it.
 */
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { pause } from "./daemons.js";
import { Stage } from "./stage.js";

/** Limit of the heap in megabytes, as in `deploy/system.toml`. */
const HEAP_MEGABYTES = 192;

const HEAD = "HTTP/1.1 200 OK\r\nx-parsleyrun-server-stamp: s\r\nx-parsleyrun-request-id: ";

interface EndlessCase {
    readonly answer: string;
    readonly route: "check" | "draft";
    readonly service: "bookings" | "engines";
    readonly rest: string;
    readonly repeated: string;
    readonly count: number;
}

const bodies = [
    { answer: "chunks of 4 bytes", rest: "\r\ntransfer-encoding: chunked\r\n\r\n", repeated: "4\r\nbody\r\n" },
    { answer: "a body without a length", rest: "\r\n\r\n", repeated: "x" },
] as const;

const cases: readonly EndlessCase[] = [
    ...bodies.flatMap(body =>
        [1, 8, 100].map(count => ({ ...body, route: "check", service: "bookings", count }) as const),
    ),
    ...[1, 100].map(
        count =>
            ({
                answer: "events without ids",
                route: "draft",
                service: "engines",
                rest: "\r\ncontent-type: text/event-stream\r\n\r\n",
                repeated: "data: x\n\n",
                count,
            }) as const,
    ),
];

let stage: Stage;

beforeEach(async () => {
    stage = await Stage.start([`--max-old-space-size=${HEAP_MEGABYTES}`]);
});

afterEach(() => stage.close());

describe("a gateway process", () => {
    // Guards against a process that runs out of memory: a part of a body takes a hundred times the bytes of a short one.
    it.each(cases)(
        "outlives $count of $answer, and serves a neighbour",
        async endlessCase => {
            const { route, service, rest, repeated, count } = endlessCase;
            const usual = stage.target(service).behaviour;
            stage.target(service).behaviour = arrival =>
                arrival.id.startsWith("endless")
                    ? { kind: "endless", first: HEAD + arrival.id + rest, repeated }
                    : usual(arrival);
            const callers = await Promise.all(Array.from({ length: count }, () => stage.connect()));
            const answers = callers.map((caller, index) => caller.send(`/${route}/1`, `endless-${index}`));
            await pause(500);
            const neighbour = await (await stage.connect()).send("/public/1", "neighbour");
            expect(neighbour).toMatchObject({ status: 200, complete: true });
            for (const answer of await Promise.all(answers)) {
                expect(answer.status === 200 && answer.complete, "a success").toBe(false);
                expect(answer.status, stage.gateway.errors.slice(-600)).toBeDefined();
            }
            expect(await Promise.race([stage.gateway.ended, pause(50)])).toBeUndefined();
        },
        60_000,
    );
});
