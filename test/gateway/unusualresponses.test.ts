/** Heads of responses that Node reads but does not send: they must not end the gateway, or leave the caller unanswered. */
import { afterEach, describe, expect, it } from "vitest";
import { Deployment } from "./harness.js";
import { RawCaller, requestHead } from "./rawcaller.js";

let deployment: Deployment;
let caller: RawCaller;

afterEach(async () => {
    caller.close();
    await deployment.close();
});

async function start(text: string): Promise<void> {
    deployment = await Deployment.start({ bookings: 1 });
    deployment.target("bookings-0").behaviour = ({ id }) =>
        id === "first" ? { kind: "raw", text } : { kind: "answer" };
    caller = await RawCaller.connect(deployment.callers[0] ?? "");
}

const OWN = "x-parsleyrun-request-id: first\r\nx-parsleyrun-server-stamp: s\r\n";

describe("a response whose head cannot be passed on", () => {
    it.each([
        { case: "a status of 000", line: "000 Nothing" },
        { case: "a status of 099", line: "099 Nothing" },
        { case: "a status of 999", line: "999 Much" },
        { case: "a control character", line: "200 O\x01K" },
        { case: "a byte that is no text", line: "200 O\x00K" },
        { case: "other characters", line: "200 Öffnen" },
        { case: "status 101", line: "101 Switching Protocols" },
        { case: "an upgrade", line: "101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: other" },
        { case: "a control character in a header", line: "200 OK\r\nfiller: a\x01b" },
        { case: "a delete character in a header", line: "200 OK\r\nfiller: a\x7fb" },
    ])("with $case is answered, and the gateway goes on", async ({ line }) => {
        await start(`HTTP/1.1 ${line}\r\n${OWN}content-length: 2\r\n\r\nok`);
        caller.write(requestHead("POST", "/book/1", "first", { "content-length": 0 }));
        expect(await caller.read(1)).toHaveLength(1);
        caller.close();
        const answer = await deployment.call({ path: "/check/1", id: "second" });
        expect(answer.status).toBe(200);
    });
});
