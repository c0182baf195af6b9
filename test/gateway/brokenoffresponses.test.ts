/**
 * A response without a length or chunks ends with its connection. If the gateway breaks it off, the caller must see a reset:
 * after an orderly end, the part that has arrived would look complete.
 */
import { afterEach, describe, expect, it, vi } from "vitest";
import { Deadline } from "../../src/model/index.js";
import { pause } from "../../src/model/pause.js";
import type { Behaviour } from "../platform/standintarget.js";
import { Deployment } from "./harness.js";
import { RawCaller, requestHead } from "./rawcaller.js";

/** Longer than what a connection takes whose caller does not read. */
const LONG_BODY = "x".repeat(4_000_000);

let deployment: Deployment;
let caller: RawCaller;

afterEach(async () => {
    caller.close();
    await deployment.close();
});

async function start(behaviour: Behaviour): Promise<void> {
    deployment = await Deployment.start({ bookings: 1, engines: 1 });
    for (const target of deployment.targets.values()) target.behaviour = () => behaviour;
    caller = await RawCaller.connect(deployment.callers[0] ?? "");
}

function headOfVersion(version: "1.0" | "1.1", path: string): string {
    const head = requestHead("POST", path, "first", { "content-length": 0 });
    return head.replace("HTTP/1.1", `HTTP/${version}`);
}

const silentAfterTwo = { kind: "stream", events: 4, silence: { after: 2, milliseconds: 60_000 } } as const;

describe("a stream to a caller of HTTP/1.0", () => {
    it.each<{ readonly end: string; readonly behaviour: Behaviour; readonly stopDueMs?: number }>([
        { end: "its target breaks off", behaviour: { kind: "stream", events: 4, cutAfterBytes: 60 } },
        { end: "a planned stop leaves no more time", behaviour: silentAfterTwo, stopDueMs: 200 },
    ])("is reset when $end", async ({ behaviour, stopDueMs }) => {
        await start(behaviour);
        caller.write(headOfVersion("1.0", "/draft/1"));
        await vi.waitFor(() => expect(caller.text).toContain("id: 1\n"));
        if (stopDueMs !== undefined) {
            deployment.gateways[0]?.gateway.context.shutdown.begin(Deadline.after(stopDueMs));
        }
        expect(await caller.ended()).toBe("reset");
        await vi.waitFor(() => expect(deployment.linesOf("request ended")).toMatchObject([{ outcome: "brokenOff" }]));
    });

    it("ends in order when it is complete", async () => {
        await start({ kind: "stream", events: 4 });
        caller.write(headOfVersion("1.0", "/draft/1"));
        expect(await caller.ended()).toBe("end");
        expect(caller.text).toContain("id: 4\n");
    });
});

describe("a response that the caller has not taken when the gateway ends", () => {
    it.each<{ readonly length: string; readonly version: "1.0" | "1.1"; readonly behaviour: Behaviour }>([
        {
            length: "without a length",
            version: "1.1",
            behaviour: { kind: "withoutLength", body: LONG_BODY, ending: "end" },
        },
        { length: "a stream to HTTP/1.0", version: "1.0", behaviour: silentAfterTwo },
    ])("is reset, $length", async ({ version, behaviour }) => {
        await start(behaviour);
        caller.stopReading();
        caller.write(headOfVersion(version, behaviour.kind === "stream" ? "/draft/1" : "/check/1"));
        await pause(400);
        await deployment.gateways[0]?.kill();
        caller.continueReading();
        expect(await caller.ended()).toBe("reset");
        expect(caller.text.length).toBeLessThan(LONG_BODY.length);
    });
});
