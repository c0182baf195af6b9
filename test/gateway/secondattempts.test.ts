/**
 * Streams that are sent to a second target while the first one is silent: how they end, and what is known of both targets
 * afterwards. A silence that is not noted and a stream that nobody ends are the failures.
 */
import { afterEach, describe, expect, it, vi } from "vitest";
import { pause } from "../../src/model/pause.js";
import type { Behaviour } from "../platform/standintarget.js";
import { type CallAnswer, Deployment } from "./harness.js";

let deployment: Deployment;

afterEach(() => deployment.close());

const EVENTS = 4;

function silentStream(milliseconds: number, after: "head" | number = 2): Behaviour {
    return { kind: "stream", events: EVENTS, silence: { after, milliseconds } };
}

/** Sets how the engines handle the request in order of arrival; the last behaviour repeats. */
function scriptEngines(...behaviours: readonly Behaviour[]): void {
    let arrivals = 0;
    for (const target of deployment.targets.values()) {
        target.behaviour = () => {
            arrivals += 1;
            return behaviours[Math.min(arrivals, behaviours.length) - 1] ?? { kind: "answer" };
        };
    }
}

/** Name of the engine that got the request first. */
async function firstEngine(): Promise<string> {
    const hasArrived = ({ arrivals }: { readonly arrivals: readonly unknown[] }): boolean => arrivals.length > 0;
    await vi.waitFor(() => expect([...deployment.targets.values()].some(hasArrived)).toBe(true));
    return [...deployment.targets.values()].find(hasArrived)?.id ?? "";
}

function idsOf({ body }: CallAnswer): readonly number[] {
    return [...body.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]));
}

function expectWholeStream(answer: CallAnswer): void {
    expect(answer).toMatchObject({ status: 200, complete: true });
    expect(idsOf(answer)).toEqual(Array.from({ length: EVENTS }, (_, index) => index + 1));
}

describe("a silence", () => {
    it.each([
        { silence: "before the head", first: { kind: "delayedStream", events: EVENTS, delayMs: 1_100 } },
        { silence: "before the first event", first: silentStream(1_100, "head") },
        { silence: "between events", first: silentStream(1_100) },
    ] satisfies readonly { silence: string; first: Behaviour }[])("$silence is noted", async ({ first }) => {
        deployment = await Deployment.start({ engines: 2 });
        scriptEngines(first, { kind: "full" });
        expectWholeStream(await deployment.call({ path: "/chat/1" }));
        const target = await firstEngine();
        await vi.waitFor(() => expect(deployment.linesOf("target silent")).toMatchObject([{ target }]));
    });
});

describe("a stream whose silent target was left for one that declines", () => {
    it.each([
        { begun: "begun", first: silentStream(60_000), expected: { status: 200, complete: false } },
        { begun: "not begun", first: silentStream(60_000, "head"), expected: { status: 502 } },
    ])("is ended at once if it has $begun", async ({ first, expected }) => {
        deployment = await Deployment.start({ engines: 2 });
        deployment.leaveRetries("engines", 1);
        scriptEngines(first, { kind: "full", after: pause(1_600) });
        const answered = deployment.call({ path: "/chat/1" });
        // A target that has started anew is left for another one that has taken the request.
        deployment.register("engines", await firstEngine(), { born: 2_000 });
        expect(await Promise.race([answered, pause(4_000)])).toMatchObject(expected);
        await vi.waitFor(() => {
            expect(deployment.linesOf("request ended")).toMatchObject([{ reason: "target was left" }]);
        });
    });
});
