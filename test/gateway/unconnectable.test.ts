/** An address to which no connection can be made is an outcome of an attempt, not an exception that ends the process. */
import { Agent } from "node:http";
import { describe, expect, it } from "vitest";
import { NEVER_ABORTED, refusesConnections, sendAttempt, sendOnPooledConnection } from "../../src/gateway/attempt.js";
import { Deadline } from "../../src/model/index.js";

const ADDRESSES = [
    "",
    ":",
    "127.0.0.1",
    "127.0.0.1:",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:65536",
    "127.0.0.1:99999",
    "127.0.0.1:1e3",
    "127.0.0.1:80.5",
    "127.0.0.1:NaN",
    "127.0.0.1:80:80",
    "999.1.1.1:80",
    "1.1.1:80",
    "1.1.1.1.1:80",
    "host\u0000name:80",
];

describe.each(ADDRESSES)("the address %j", address => {
    const request = { address, method: "GET", path: "/", headers: [], body: undefined };
    const limits = { deadline: Deadline.after(1_000), signal: NEVER_ABORTED };

    it("is unreachable on a new connection", async () => {
        expect(await sendAttempt(request, limits)).toMatchObject({ kind: "unreachable" });
    });

    it("is unreachable on a pooled connection", async () => {
        const agent = new Agent({ keepAlive: true });
        expect(await sendOnPooledConnection(agent, request, limits)).toMatchObject({ kind: "unreachable" });
        agent.destroy();
    });

    it("refuses connections", async () => {
        expect(await refusesConnections(address)).toBe(true);
    });
});
