/**
 * Callers that leave just before their request is sent: the end of their connection arrives in the same turn of the event
 * loop as what the gateway waits for, and may be read after it. No request may be sent then.
 */
import { connect, Socket } from "node:net";
import { afterEach, describe, expect, it, vi } from "vitest";
import { sendAttempt } from "../../src/gateway/attempt.js";
import { Deadline } from "../../src/model/index.js";
import { pause } from "../../src/model/pause.js";
import { StandInTarget } from "../platform/standintarget.js";
import { Deployment } from "./harness.js";
import { RawCaller, requestHead } from "./rawcaller.js";

let deployment: Deployment | undefined;
let caller: RawCaller | undefined;

afterEach(async () => {
    vi.restoreAllMocks();
    caller?.close();
    await deployment?.close();
    deployment = undefined;
});

function arrivals(): readonly string[] {
    return [...(deployment?.targets.values() ?? [])].flatMap(target => target.arrivals.map(({ id }) => id));
}

/** Calls back in the turn in which a connection to an address is begun, before the turn in which it is open. */
function whenConnecting(address: string, listener: () => void): void {
    const { connect } = Socket.prototype;
    const connectAndReport = function (this: Socket, ...parameters: unknown[]): Socket {
        const text = JSON.stringify(parameters);
        if (text.includes(`"port":${address.split(":")[1]}`)) setImmediate(listener);
        return Reflect.apply(connect, this, parameters) as Socket;
    };
    vi.spyOn(Socket.prototype, "connect").mockImplementation(connectAndReport as typeof connect);
}

describe("a caller that leaves while a connection to the target is opened", () => {
    it.each([
        { path: "/check/1", service: "bookings" },
        { path: "/book/1", service: "bookings" },
        { path: "/chat/1", service: "engines" },
        { path: "/draft/1", service: "engines" },
    ])("has no request sent to $path", async ({ path, service }) => {
        deployment = await Deployment.start({ [service]: 1 });
        caller = await RawCaller.connect(deployment.callers[0] ?? "");
        const leave = vi.fn(() => caller?.close());
        whenConnecting(deployment.target(`${service}-0`).address, leave);
        caller.write(requestHead("GET", path, "left"));
        await vi.waitFor(() => expect(deployment?.linesOf("request ended", "left")).toHaveLength(1));
        expect(leave).toHaveBeenCalledOnce();
        await pause(50);
        expect(arrivals()).toEqual([]);
        expect(deployment?.linesOf("request ended", "left")).toMatchObject([
            { outcome: "cancelled", reason: "caller left", attempts: 0 },
        ]);
    });
});

describe("an attempt that is aborted in the turn in which its connection opens", () => {
    it("sends nothing", async () => {
        const target = await StandInTarget.start("bookings-0");
        try {
            const abort = new AbortController();
            const request = { method: "GET", path: "/check/1", headers: [], body: undefined };
            const limits = { deadline: Deadline.after(2_000), signal: abort.signal };
            const attempt = sendAttempt({ ...request, address: target.address }, limits);
            // Opens in the same turn, after the connection of the attempt.
            const [host = "", port = ""] = target.address.split(":");
            const other = connect(Number(port), host);
            other.once("connect", () => abort.abort());
            expect(await attempt).toEqual({ kind: "cancelled", sent: false });
            await pause(50);
            expect(target.arrivals).toEqual([]);
            other.destroy();
        } finally {
            target.close();
        }
    });
});
