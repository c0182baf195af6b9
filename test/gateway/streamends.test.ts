/**
 * How a begun stream ends. It has no status by which its caller could be told that it is incomplete, so each end but the
 * last event has to be forced, and nothing that ends it sooner may be added unnoticed.
 */
import { afterEach, describe, expect, it, vi } from "vitest";
import { Deadline } from "../../src/model/index.js";
import type { Behaviour } from "../platform/standintarget.js";
import { type CallAnswer, CONFIGURATION, Deployment } from "./harness.js";

let deployment: Deployment;

afterEach(() => deployment.close());

interface EndCase {
    readonly end: string;
    readonly behaviour: Behaviour;
    readonly timeoutMs?: number;
    readonly deadlineMs?: number;
    readonly leaveAfterMs?: number;
    readonly stopDueMs?: number;
    readonly logged: Readonly<Record<string, unknown>>;
    readonly isWhole: boolean;
}

const endless = { kind: "stream", events: 4, silence: { after: 2, milliseconds: 60_000 } } as const;

const CASES: readonly EndCase[] = [
    {
        end: "its target completes it",
        behaviour: { kind: "stream", events: 4 },
        logged: { outcome: "answered", reason: "complete" },
        isWhole: true,
    },
    {
        end: "its target is silent and completes it",
        behaviour: { kind: "stream", events: 4, silence: { after: 2, milliseconds: 1_500 } },
        logged: { outcome: "answered", reason: "complete" },
        isWhole: true,
    },
    {
        end: "its target breaks it",
        behaviour: { kind: "stream", events: 4, cutAfterBytes: 60 },
        logged: { outcome: "brokenOff", reason: "stream broken at engines-0" },
        isWhole: false,
    },
    {
        end: "its deadline passes",
        behaviour: endless,
        deadlineMs: 1_200,
        logged: { outcome: "brokenOff", reason: "stream took too long" },
        isWhole: false,
    },
    {
        end: "the time limit of its route passes",
        behaviour: endless,
        timeoutMs: 1_200,
        logged: { outcome: "brokenOff", reason: "stream took too long" },
        isWhole: false,
    },
    {
        end: "its caller leaves",
        behaviour: endless,
        leaveAfterMs: 1_200,
        logged: { outcome: "cancelled", reason: "caller left" },
        isWhole: false,
    },
    {
        end: "a planned stop leaves no more time",
        behaviour: endless,
        stopDueMs: 1_200,
        logged: { outcome: "brokenOff", reason: "gateway stops" },
        isWhole: false,
    },
];

describe("a begun stream ends", () => {
    it.each(CASES)(
        "when $end",
        async ({ behaviour, timeoutMs, deadlineMs, leaveAfterMs, stopDueMs, logged, isWhole }) => {
            const Routes = CONFIGURATION.Routes.map(route => ({
                ...route,
                TimeoutMs: timeoutMs ?? 4_000,
                MaxAttempts: 1,
            }));
            deployment = await Deployment.start({ engines: 1 }, 1, { ...CONFIGURATION, Routes });
            const target = deployment.target("engines-0");
            target.behaviour = () => behaviour;
            const answered = deployment.call({
                path: "/chat/1",
                headers: { "x-parsleyrun-deadline-ms": String(deadlineMs ?? 4_000) },
                ...(leaveAfterMs === undefined ? {} : { leaveAfterMs }),
            });
            await vi.waitFor(() => expect(target.arrivals).toHaveLength(1));
            if (stopDueMs !== undefined) {
                deployment.gateways[0]?.gateway.context.shutdown.begin(Deadline.after(stopDueMs));
            }
            const answer: CallAnswer = await answered;
            expect(answer).toMatchObject({ status: 200, complete: isWhole });
            expect(answer.body).toContain("event 1 of");
            await vi.waitFor(() => expect(deployment.linesOf("request ended")).toMatchObject([logged]));
        },
    );
});
