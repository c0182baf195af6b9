/** Streams of scripted engines that fall silent, for the tests of what a gateway makes of a silence. */
import { expect } from "vitest";
import type { Behaviour } from "../platform/standintarget.js";
import type { CallAnswer, Deployment } from "./harness.js";

/** Number of events of a whole stream. */
export const EVENTS = 4;

/** Where a stream falls silent. */
export type Silence = "before the head" | "before the first event" | "between events";

export const SILENCES: readonly Silence[] = ["before the head", "before the first event", "between events"];

/** A stream that is silent once, for a time in milliseconds, and goes on to its end. */
export function silentStream(silence: Silence, milliseconds: number): Behaviour {
    switch (silence) {
        case "before the head":
            return { kind: "delayedStream", events: EVENTS, delayMs: milliseconds };
        case "before the first event":
            return { kind: "stream", events: EVENTS, silence: { after: "head", milliseconds } };
        case "between events":
            return { kind: "stream", events: EVENTS, silence: { after: 2, milliseconds } };
    }
}

/** Sets how the targets handle the next requests, in order of arrival; the last behaviour repeats. */
export function scriptEngines(deployment: Deployment, ...behaviours: readonly Behaviour[]): void {
    let arrivals = 0;
    for (const target of deployment.targets.values()) {
        target.behaviour = () => {
            arrivals += 1;
            return behaviours[Math.min(arrivals, behaviours.length) - 1] ?? { kind: "answer" };
        };
    }
}

/** Ids of the events that a caller got. */
export function idsOf({ body }: CallAnswer): readonly number[] {
    return [...body.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]));
}

/** Expects all events, once and in order, and a complete response. */
export function expectWholeStream(answer: CallAnswer): void {
    expect(answer).toMatchObject({ status: 200, complete: true });
    expect(idsOf(answer)).toEqual(Array.from({ length: EVENTS }, (_, index) => index + 1));
}
