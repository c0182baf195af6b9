/** A request that cannot be written as HTTP is rejected; before, it ended the process with all open requests. */
import { connect } from "node:net";
import { afterEach, describe, expect, it, vi } from "vitest";
import { NEVER_ABORTED, sendAttempt } from "../../src/gateway/attempt.js";
import { Deadline } from "../../src/model/index.js";
import { StandInTarget } from "../platform/standintarget.js";
import { CONFIGURATION, Deployment } from "./harness.js";

let deployment: Deployment | undefined;

afterEach(async () => {
    await deployment?.close();
    deployment = undefined;
});

/** Sends a request as text, which may hold what `http.request` refuses; resolves to the status line. */
function callWithText(address: string, path: string): Promise<string> {
    const [host = "", port = ""] = address.split(":");
    return new Promise((resolve, reject) => {
        let text = "";
        const socket = connect(Number(port), host, () => {
            socket.write(
                `POST ${path} HTTP/1.1\r\nhost: desk.example\r\nx-parsleyrun-request-id: odd\r\n` +
                    "authorization: Token good-key\r\nconnection: close\r\ncontent-length: 0\r\n\r\n",
            );
        });
        socket.on("data", chunk => (text += chunk.toString()));
        socket.on("error", reject);
        socket.on("close", () => resolve(text.split("\r\n")[0] ?? ""));
    });
}

describe("a path that cannot be sent on", () => {
    it.each(["/check/\t1", "/check/\f1", "/book/\t1", "/chat/\t1", "/draft/\t1"])("%j is rejected", async path => {
        deployment = await Deployment.start({ bookings: 2, engines: 1 });
        const address = deployment.callers[0] ?? "";
        expect(await callWithText(address, path)).toBe("HTTP/1.1 400 Bad Request");
        const ended = (): unknown => deployment?.linesOf("request ended", "odd");
        await vi.waitFor(() => expect(ended()).toMatchObject([{ outcome: "rejected", attempts: 0 }]));
        // The targets are not blamed for it.
        expect((await deployment.call({ path: "/book/1", id: "sound" })).status).toBe(200);
        expect(deployment.linesOf("target unreachable")).toEqual([]);
    });
});

describe("an account whose name no header can hold", () => {
    it("has its requests rejected", async () => {
        const configuration = { ...CONFIGURATION, Tenants: [{ Name: "a\r\nb: c", ApiKeys: ["good-key"] }] };
        deployment = await Deployment.start({ bookings: 1 }, 1, configuration);
        expect((await deployment.call({ path: "/book/1" })).status).toBe(400);
        expect((await deployment.call({ path: "/public/1", key: undefined })).status).toBe(200);
    });
});

describe("an attempt", () => {
    it.each([
        { case: "a path with a control character", change: { path: "/\u0000" } },
        { case: "a path beyond Latin-1", change: { path: "/\u20ac" } },
        { case: "a method that is none", change: { method: "A B" } },
        { case: "a header with a line break", change: { headers: ["a", "b\r\nc: d"] } },
        { case: "a header beyond Latin-1", change: { headers: ["a", "\u20ac"] } },
        { case: "a header without a name", change: { headers: ["", "b"] } },
    ])("with $case is unsendable", async ({ change }) => {
        const target = await StandInTarget.start("a");
        const request = { address: target.address, method: "GET", path: "/", headers: [], body: undefined, ...change };
        const limits = { deadline: Deadline.after(1_000), signal: NEVER_ABORTED };
        expect(await sendAttempt(request, limits)).toMatchObject({ kind: "unsendable" });
        expect(target.arrivals).toEqual([]);
        target.close();
    });
});
