/**
 * Requests that find out whether a target that was silent has gone on. One that cannot move to a further target in time is
 * lost if the target is still silent, although another one would have served it.
 */
import { afterEach, describe, expect, it } from "vitest";
import { pause } from "../../src/model/pause.js";
import type { Target } from "../../src/gateway/target.js";
import type { Behaviour } from "../platform/standintarget.js";
import { CONFIGURATION, Deployment } from "./harness.js";
import { EVENTS, expectWholeStream } from "./silentstreams.js";

let deployment: Deployment;

afterEach(() => deployment.close());

const STREAM: Behaviour = { kind: "stream", events: EVENTS };

/** Time in milliseconds after which a target that was silent gets a request again. */
const SILENCE_PAUSE_MS = 1_000;

function targetOf(id: string): Target {
    const found = deployment.gateways[0]?.gateway.targets.findByAddress(deployment.target(id).address);
    if (found === undefined) throw new Error("target is not registered");
    return found;
}

/** Lets a target look silent, and another one look more expensive than the rest. */
function shape(silent: string, expensive: string): void {
    const targets = deployment.gateways[0]?.gateway.targets;
    targets?.recordSilent(targetOf(silent), performance.now());
    targets?.recordSent(targetOf(expensive), 20_000);
    deployment.target(silent).behaviour = () => ({ kind: "silent" });
    deployment.target(expensive).behaviour = () => STREAM;
}

async function start(engines: number, maximumAttempts: number): Promise<void> {
    const Routes = CONFIGURATION.Routes.map(route => ({ ...route, MaxAttempts: maximumAttempts }));
    deployment = await Deployment.start({ engines }, 1, { ...CONFIGURATION, Routes });
}

describe("a stream beside a target that was silent", () => {
    it.each([
        { which: "has one attempt", maximumAttempts: 1, deadlineMs: 2_000 },
        { which: "has no time for a second attempt", maximumAttempts: 2, deadlineMs: 800 },
    ])("goes to another one when it $which", async ({ maximumAttempts, deadlineMs }) => {
        await start(2, maximumAttempts);
        shape("engines-0", "engines-1");
        await pause(SILENCE_PAUSE_MS + 100);
        const headers = { "x-parsleyrun-deadline-ms": String(deadlineMs) };
        expectWholeStream(await deployment.call({ path: "/chat/1", headers }));
        expect(deployment.target("engines-0").arrivals).toEqual([]);
    });

    it("is not sent there as its last attempt", async () => {
        await start(3, 2);
        shape("engines-0", "engines-1");
        deployment.target("engines-2").behaviour = () => ({
            kind: "stream",
            events: EVENTS,
            silence: { after: 2, milliseconds: 60_000 },
        });
        await pause(SILENCE_PAUSE_MS / 2);
        expectWholeStream(await deployment.call({ path: "/chat/1" }));
        expect(deployment.target("engines-0").arrivals).toEqual([]);
    });

    it("is sent there first when it can still move, and is whole", async () => {
        await start(2, 2);
        shape("engines-0", "engines-1");
        await pause(SILENCE_PAUSE_MS + 100);
        expectWholeStream(await deployment.call({ path: "/chat/1" }));
        expect(deployment.target("engines-0").arrivals).toHaveLength(1);
    });
});

describe("a stream that cannot be resumed", () => {
    it.each(["declines it", "is silent as well"])(
        "is sent to a target that was silent a moment ago when the other one %s",
        async state => {
            await start(2, 1);
            const targets = deployment.gateways[0]?.gateway.targets;
            targets?.recordSilent(targetOf("engines-0"), performance.now());
            deployment.target("engines-0").behaviour = () => STREAM;
            if (state === "declines it") deployment.target("engines-1").behaviour = () => ({ kind: "full" });
            await pause(SILENCE_PAUSE_MS + 100);
            if (state === "is silent as well") targets?.recordSilent(targetOf("engines-1"), performance.now());
            expectWholeStream(await deployment.call({ path: "/draft/1" }));
            expect(deployment.target("engines-0").arrivals).toHaveLength(1);
        },
    );
});
