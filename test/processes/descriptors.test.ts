/**
 * A gateway process whose descriptors are used up by the connections of its callers. It must answer every request that it
 * has read, serve connections that it has, and go on once there are descriptors again.
 */
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { pause, until } from "./daemons.js";
import { RawCaller } from "./rawcaller.js";
import { Stage } from "./stage.js";

/** Descriptors that the process may have. At its start it has over eighty, for the modules that it reads. */
const DESCRIPTORS = 200;

/** Connections of callers, more than there are descriptors. */
const CALLERS = 260;

let stage: Stage;
let others: RawCaller[];

beforeEach(async () => {
    others = [];
    stage = await Stage.start([], {}, DESCRIPTORS);
});

afterEach(async () => {
    for (const caller of others) caller.close();
    await stage.close();
});

async function useUp(): Promise<void> {
    others = await Promise.all(Array.from({ length: CALLERS }, () => RawCaller.open(stage.callers)));
    await pause(300);
}

describe("a gateway process without free descriptors", () => {
    it("answers what it has read, on each connection that it has", async () => {
        const streams = await Promise.all(Array.from({ length: 5 }, () => stage.connectKept()));
        const running = streams.map((caller, index) => caller.send("/draft/1", `finite-${index}`));
        const slow = (await stage.connectKept()).send("/check/1", "slow");
        await stage.waitForArrival("finite-4");
        const kept = await Promise.all(Array.from({ length: 5 }, () => stage.connectKept()));
        await useUp();
        const answers = await Promise.all(
            kept.map((caller, index) => caller.send(index % 2 === 0 ? "/book/1" : "/check/1", `kept-${index}`)),
        );
        const news = await Promise.all(others.map((caller, index) => caller.send("/book/1", `new-${index}`)));
        // The system closes the connections that cannot be accepted; nothing of them was read.
        const taken = news.filter(({ status }) => status !== undefined);
        expect(taken.length).toBeLessThan(CALLERS);
        for (const answer of [...answers, ...taken]) expect([200, 502, 503]).toContain(answer.status);
        for (const answer of await Promise.all([...running, slow])) {
            expect(answer).toMatchObject({ status: 200, complete: true });
        }
        expect(await Promise.race([stage.gateway.ended, pause(50)])).toBeUndefined();
        for (const caller of others) caller.close();
        await until(
            "served again",
            async () => (await (await stage.connect()).send("/book/1", "again")).status === 200,
        );
    }, 60_000);
});
