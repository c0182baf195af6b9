/** The log of requests whose callers left: without it, the reason why such a request was sent to a target stays unknown. */
import { afterEach, describe, expect, it, vi } from "vitest";
import { AcceptRun } from "../../src/gateway/acceptrun.js";
import { Deployment } from "./harness.js";
import { RawCaller, requestHead } from "./rawcaller.js";

let deployment: Deployment | undefined;
let caller: RawCaller | undefined;

afterEach(async () => {
    caller?.close();
    await deployment?.close();
});

describe("the log line of a request whose caller left", () => {
    it("tells when the request was sent and when the end of its connection was read", async () => {
        deployment = await Deployment.start({ bookings: 1 });
        const target = deployment.target("bookings-0");
        target.behaviour = () => ({ kind: "silent" });
        caller = await RawCaller.connect(deployment.callers[0] ?? "");
        caller.write(requestHead("GET", "/check/1", "left"));
        await vi.waitFor(() => expect(target.arrivals).toHaveLength(1));
        caller.close();
        await vi.waitFor(() => expect(deployment?.linesOf("request ended", "left")).toHaveLength(1));
        const [line] = deployment.linesOf("request ended", "left");
        expect(line).toMatchObject({ outcome: "cancelled", departure: { acceptingMs: 0, waitedMs: 0 } });
        const { sentMs, leftMs } = line?.departure as Readonly<Record<string, number>>;
        expect(sentMs).toBeLessThanOrEqual(leftMs ?? -1);
    });
});

describe("the time for which connections have been accepted without a pause", () => {
    const turn = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

    afterEach(() => vi.useRealTimers());

    it.each([
        { case: "one turn", turns: 1, milliseconds: 0 },
        { case: "each of several turns", turns: 5, milliseconds: 40 },
    ])("counts from the first connection if $case accepted one", async ({ turns, milliseconds }) => {
        vi.useFakeTimers({ toFake: ["performance"] });
        const run = AcceptRun.create();
        for (let number = 0; number < turns; number += 1) {
            if (number > 0) vi.advanceTimersByTime(10);
            await turn();
            run.recordAccepted();
        }
        expect(run.milliseconds).toBe(milliseconds);
        await turn();
        await turn();
        await turn();
        expect(run.milliseconds).toBe(0);
    });
});
