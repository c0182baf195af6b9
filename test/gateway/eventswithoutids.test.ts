/**
 * Streams whose events have no ids. What the caller has of them cannot be named to another target, which would begin
 * anew: the caller would get a complete response joined from the events of two runs.
 */
import { afterEach, describe, expect, it } from "vitest";
import type { Behaviour } from "../platform/standintarget.js";
import { Deployment } from "./harness.js";
import { scriptEngines } from "./silentstreams.js";

const HEAD =
    "HTTP/1.1 200 OK\r\nx-parsleyrun-request-id: joined\r\nx-parsleyrun-server-stamp: s\r\n" +
    "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";

function chunk(text: string): string {
    return `${text.length.toString(16)}\r\n${text}\r\n`;
}

const UNNUMBERED = chunk("data: a\n\ndata: b\n\n");
const FILLER = chunk(": comment\n\n");

const cases: readonly { readonly end: string; readonly first: Behaviour; readonly isMoved: boolean }[] = [
    { end: "breaks after them", first: { kind: "raw", text: HEAD + UNNUMBERED }, isMoved: false },
    { end: "is silent after them", first: { kind: "rawThenSilent", text: HEAD + UNNUMBERED }, isMoved: false },
    {
        end: "has an event that does not follow",
        first: { kind: "raw", text: HEAD + UNNUMBERED + chunk("id: 1\n\nid: 1\n\n") },
        isMoved: false,
    },
    {
        end: "sends comments without end after them",
        first: { kind: "endless", first: HEAD + UNNUMBERED, repeated: FILLER },
        isMoved: false,
    },
    { end: "breaks after a comment only", first: { kind: "raw", text: HEAD + FILLER }, isMoved: true },
];

let deployment: Deployment;

afterEach(() => deployment.close());

describe("a stream of events without ids", () => {
    it.each(cases)("whose target $end is moved: $isMoved", async ({ first, isMoved }) => {
        deployment = await Deployment.start({ engines: 2 });
        scriptEngines(deployment, first, { kind: "stream", events: 2 });
        const { body, complete } = await deployment.call({ path: "/chat/1", id: "joined" });
        expect(body.includes("id: 2"), body.slice(0, 200)).toBe(isMoved);
        expect(complete).toBe(isMoved);
        const arrivals = [...deployment.targets.values()].flatMap(target => target.arrivals);
        expect(arrivals).toHaveLength(isMoved ? 2 : 1);
    });
});
