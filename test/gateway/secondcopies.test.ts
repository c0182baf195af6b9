/**
 * A slow call is sent to a second target as well. The cases guard against calls that run twice although they may not be
 * repeated, answers of the wrong attempt, attempts that go on after the answer, repeats beside a copy, and copies beyond
 * what operators allow.
 */
import { afterEach, describe, expect, it, vi } from "vitest";
import type { Gateway } from "../../src/gateway/index.js";
import { Deadline } from "../../src/model/index.js";
import { pause } from "../../src/model/pause.js";
import type { Behaviour } from "../platform/standintarget.js";
import { CONFIGURATION, Deployment } from "./harness.js";

/** Time in milliseconds after which a copy is due: a tenth of the latency objective. */
const DUE_MS = 50;

/** Longest time of a copy in milliseconds, with the latencies that `learn` records. */
const LONGEST_COPY_MS = 80;

const NO_REPORT = {
    load: undefined,
    limitPerSecond: undefined,
    wrongTarget: false,
    isLeaving: false,
    pause: undefined,
};

const ALWAYS = { hedging: { fractionOfRequests: 1 } };

let deployment: Deployment;

afterEach(() => deployment.close());

interface Setup {
    readonly settings?: Readonly<Record<string, unknown>>;
    readonly maximumAttempts?: number;
    readonly requests?: number;
}

/** Starts three targets and a gateway that has seen enough requests for copies. */
async function start({ settings = ALWAYS, maximumAttempts = 2, requests = 100 }: Setup = {}): Promise<void> {
    const routes = CONFIGURATION.Routes.map(route =>
        route.Name === "check" ? { ...route, MaxAttempts: maximumAttempts } : route,
    );
    deployment = await Deployment.start({ bookings: 3 }, 1, { ...CONFIGURATION, Routes: routes }, settings);
    const hedging = deployment.gateways[0]?.gateway.context.hedging;
    for (let index = 0; index < requests; index += 1) {
        for (const route of ["check", "book"]) hedging?.latencies.record(route, LONGEST_COPY_MS / 2);
        hedging?.budgetOf("bookings").recordRequest();
        hedging?.budgetOf("bookings").recordAttempt(1_000);
    }
}

/** Sets how the attempts of each request are handled, in the order in which they arrive at any target. */
function script(...behaviours: readonly (() => Behaviour)[]): void {
    const counts = new Map<string, number>();
    for (const target of deployment.targets.values()) {
        target.behaviour = ({ id }) => {
            const count = counts.get(id) ?? 0;
            counts.set(id, count + 1);
            return behaviours[count]?.() ?? { kind: "answer" };
        };
    }
}

/** An answer that comes a time in milliseconds after its request has arrived. */
function answerAfter(milliseconds: number, body: string, status = 200): () => Behaviour {
    return () => ({ kind: "answer", body, status, after: pause(milliseconds) });
}

/** A refusal that comes a time in milliseconds after its request has arrived. */
function declineAfter(milliseconds: number): () => Behaviour {
    return () => ({ kind: "full", after: pause(milliseconds) });
}

/** Number of attempts that have arrived at targets. */
function arrivals(): number {
    return [...deployment.targets.values()].reduce((sum, target) => sum + target.arrivals.length, 0);
}

function abandoned(): readonly string[] {
    return [...deployment.targets.values()].flatMap(target => target.abandoned);
}

function copyLines(): readonly unknown[] {
    return deployment.lines
        .map(({ message, reason }) => (reason === undefined ? message : [message, reason]))
        .filter(line => String(line).startsWith("copy"));
}

/** Cases with the answer that the caller gets, the number of attempts and the lines about copies. */
const RACES: readonly {
    readonly name: string;
    readonly attempts: readonly (() => Behaviour)[];
    readonly status: number;
    readonly body: string;
    readonly left: number;
    readonly lines: readonly unknown[];
}[] = [
    {
        name: "the copy answers first",
        attempts: [answerAfter(1_000, "first"), answerAfter(0, "copy")],
        status: 200,
        body: "copy",
        left: 1,
        lines: ["copy sent", "copy won"],
    },
    {
        name: "the first attempt answers first",
        attempts: [answerAfter(DUE_MS + 30, "first"), answerAfter(1_000, "copy")],
        status: 200,
        body: "first",
        left: 1,
        lines: ["copy sent", ["copy lost", "first answered"]],
    },
    {
        name: "the copy has an answer of the caller's fault",
        attempts: [answerAfter(1_000, "first"), answerAfter(0, "copy", 404)],
        status: 404,
        body: "copy",
        left: 1,
        lines: ["copy sent", "copy won"],
    },
    {
        name: "the first attempt fails and the copy answers",
        attempts: [answerAfter(DUE_MS + 40, "first", 500), answerAfter(DUE_MS + 150, "copy")],
        status: 200,
        body: "copy",
        left: 0,
        lines: ["copy sent", "copy won"],
    },
    {
        name: "the copy fails and the first attempt answers",
        // A connection that its target resets counts among those that were closed early.
        attempts: [answerAfter(DUE_MS + 150, "first"), () => ({ kind: "reset" })],
        status: 200,
        body: "first",
        left: 1,
        lines: ["copy sent", ["copy lost", "failed"]],
    },
    {
        name: "the copy answers another request",
        attempts: [answerAfter(DUE_MS + 150, "first"), () => ({ kind: "otherAnswer" })],
        status: 200,
        body: "first",
        left: 0,
        lines: ["copy sent", ["copy lost", "failed"]],
    },
    {
        name: "the copy takes longer than it may",
        attempts: [answerAfter(DUE_MS + LONGEST_COPY_MS + 100, "first"), answerAfter(2_000, "copy")],
        status: 200,
        body: "first",
        left: 1,
        lines: ["copy sent", ["copy lost", "left"]],
    },
    {
        name: "both fail, the copy last",
        attempts: [answerAfter(DUE_MS + 40, "first", 500), answerAfter(DUE_MS + 150, "copy", 502)],
        status: 502,
        body: "copy",
        left: 0,
        lines: ["copy sent", ["copy lost", "targetFailed"]],
    },
    {
        name: "both fail, the first attempt last",
        attempts: [answerAfter(DUE_MS + 150, "first", 500), answerAfter(0, "copy", 502)],
        status: 500,
        body: "first",
        left: 0,
        lines: ["copy sent", ["copy lost", "targetFailed"]],
    },
];

/** What changes while a call waits at its first target, and why it is then not copied. */
const ARRANGEMENTS: readonly {
    readonly name: string;
    readonly arrange: (gateway: Gateway) => void;
    readonly reason: string;
}[] = [
    {
        name: "when a planned stop has begun",
        arrange: gateway => gateway.shutdown.begin(Deadline.after(5_000)),
        reason: "stopping",
    },
    {
        name: "when it is suspected of crashing targets",
        arrange: ({ context }) =>
            vi.spyOn(context.suspects, "admission").mockReturnValue({ kind: "trial", traits: ["part a"] }),
        reason: "request may crash targets",
    },
    {
        name: "when the other targets are silent",
        arrange: ({ targets }) => {
            for (const target of targets.usable("bookings")) targets.recordSilent(target, performance.now());
        },
        reason: "no other target",
    },
    {
        name: "when the other targets pause",
        arrange: ({ targets }) => {
            for (const target of targets.usable("bookings")) {
                targets.recordReport(target, { ...NO_REPORT, pause: { kind: "time", milliseconds: 1_000 } });
            }
        },
        reason: "no other target",
    },
    {
        name: "when the other targets are cold",
        arrange: ({ targets }) => void vi.spyOn(targets, "isCold").mockReturnValue(true),
        reason: "no other target",
    },
];

describe("a call and its copy", () => {
    it.each(RACES)("end when $name", async ({ attempts, status, body, left, lines }) => {
        await start();
        script(...attempts);
        const answer = await deployment.call({ path: "/check/1" });
        expect(answer).toMatchObject({ status, complete: true });
        expect(answer.body).toBe(body);
        // No third target gets the call.
        expect(arrivals()).toBe(2);
        await vi.waitFor(() => expect(abandoned()).toHaveLength(left), 500);
        expect(copyLines()).toEqual(lines);
        expect(deployment.linesOf("request ended")[0]).toMatchObject({ attempts: 2 });
    });

    it("are not repeated before both have failed, and then within the attempts of the route", async () => {
        await start({ maximumAttempts: 3 });
        script(answerAfter(DUE_MS + 40, "first", 500), answerAfter(DUE_MS + 400, "copy", 500), answerAfter(0, "third"));
        const call = deployment.call({ path: "/check/1" });
        await pause(DUE_MS + 120);
        expect(arrivals()).toBe(2);
        expect(await call).toMatchObject({ status: 200, body: "third" });
        expect(arrivals()).toBe(3);
    });

    it("are refused only if neither may have run", async () => {
        await start();
        deployment.leaveRetries("bookings", 1);
        script(declineAfter(DUE_MS + 40), answerAfter(DUE_MS + 100, "copy", 500));
        expect((await deployment.call({ path: "/check/1", id: "declined-and-failed" })).status).toBe(500);
        expect(arrivals()).toBe(2);
        expect(deployment.linesOf("request ended")[0]).toMatchObject({ outcome: "answered" });
    });

    it("are refused if both were declined", async () => {
        await start();
        deployment.leaveRetries("bookings", 1);
        script(declineAfter(DUE_MS + 40), declineAfter(DUE_MS));
        expect((await deployment.call({ path: "/check/1" })).status).toBe(503);
        expect(arrivals()).toBe(2);
        expect(deployment.linesOf("request ended")[0]).toMatchObject({ outcome: "refused" });
    });

    it("end without a promise if the copy was left and the first attempt is declined then", async () => {
        await start();
        deployment.leaveRetries("bookings", 1);
        script(declineAfter(DUE_MS + LONGEST_COPY_MS + 100), answerAfter(2_000, "copy"));
        expect((await deployment.call({ path: "/check/1" })).status).toBe(502);
    });

    it("are left when the caller leaves", async () => {
        await start();
        script(answerAfter(1_500, "first"), answerAfter(1_500, "copy"));
        await expect(deployment.call({ path: "/check/1", leaveAfterMs: DUE_MS + 40 })).rejects.toThrow();
        await vi.waitFor(() => expect(abandoned()).toHaveLength(2), 500);
        await vi.waitFor(() => expect(deployment.linesOf("request ended")).toHaveLength(1), 500);
        expect(deployment.linesOf("request ended")[0]).toMatchObject({ outcome: "cancelled" });
    });

    it("end with the request after an exception in one of them", async () => {
        await start();
        const gateway = deployment.gateways[0]?.gateway;
        if (gateway === undefined) throw new Error("no gateway");
        script(answerAfter(1_500, "first"), () => {
            vi.spyOn(gateway.targets, "recordReport").mockImplementationOnce(() => {
                throw new Error("fault in the program");
            });
            return answerAfter(0, "copy")();
        });
        expect((await deployment.call({ path: "/check/1" })).status).toBe(500);
        await vi.waitFor(() => expect(abandoned()).toHaveLength(1), 500);
        expect(deployment.linesOf("request failed unexpectedly")).toHaveLength(1);
        expect(gateway.targets.usable("bookings").map(({ outstanding }) => outstanding)).toEqual([0, 0, 0]);
    });

    it("end at the deadline of the call", async () => {
        await start();
        script(answerAfter(1_500, "first"), answerAfter(1_500, "copy"));
        const answer = await deployment.call({ path: "/check/1", headers: { "x-parsleyrun-deadline-ms": "300" } });
        expect(answer.status).toBe(504);
    });
});

describe("a slow call is not copied", () => {
    it.each([
        { name: "on a route that may not be repeated", path: "/book/1", setup: {}, lines: [] },
        { name: "without the section in the settings", path: "/check/1", setup: { settings: {} }, lines: [] },
        {
            name: "with a limit of 0",
            path: "/check/1",
            setup: { settings: { hedging: { fractionOfRequests: 0 } } },
            lines: [],
        },
        { name: "before enough is known of its route", path: "/check/1", setup: { requests: 29 }, lines: [] },
        {
            name: "when its route lets one target run it",
            path: "/check/1",
            setup: { maximumAttempts: 1 },
            lines: [["copy denied", "no attempt is left"]],
        },
        {
            name: "beyond the limit of copies",
            path: "/check/1",
            setup: { settings: { hedging: { fractionOfRequests: 0.01, fractionOfTargetTime: 1 } } },
            lines: [["copy denied", "no copy is left"]],
        },
        {
            name: "beyond the limit of the targets' time",
            path: "/check/1",
            setup: { settings: { hedging: { fractionOfRequests: 1, fractionOfTargetTime: 0.0005 } } },
            lines: [["copy denied", "no copy is left"]],
        },
    ])("$name", async ({ path, setup, lines }) => {
        await start(setup);
        script(answerAfter(250, "first"), answerAfter(0, "copy"));
        expect(await deployment.call({ path })).toMatchObject({ status: 200, body: "first" });
        expect(arrivals()).toBe(1);
        expect(copyLines()).toEqual(lines);
    });

    it.each(ARRANGEMENTS)("$name", async ({ arrange, reason }) => {
        await start();
        const gateway = deployment.gateways[0]?.gateway;
        if (gateway === undefined) throw new Error("no gateway");
        script(
            () => {
                arrange(gateway);
                return answerAfter(250, "first")();
            },
            answerAfter(0, "copy"),
        );
        expect(await deployment.call({ path: "/check/1" })).toMatchObject({ status: 200, body: "first" });
        expect(arrivals()).toBe(1);
        expect(copyLines()).toEqual([["copy denied", reason]]);
    });

    it("at a target that refuses connections, and its part of the limits is given back", async () => {
        await start({ settings: { hedging: { fractionOfRequests: 0.04 } }, requests: 49 });
        deployment.leaveRetries("bookings", 1);
        script(() => {
            for (const target of deployment.targets.values()) if (target.arrivals.length === 0) target.close();
            return answerAfter(250, "first")();
        });
        expect(await deployment.call({ path: "/check/1" })).toMatchObject({ status: 200, body: "first" });
        expect(copyLines()).toEqual(["copy sent", ["copy lost", "unsent"]]);
        const context = deployment.gateways[0]?.gateway.context;
        expect(context?.hedging?.budgetOf("bookings").available(1)).toBe(true);
        expect(context?.retryBudgetOf("bookings").available()).toBe(true);
    });

    it("without a retry left", async () => {
        await start();
        deployment.leaveRetries("bookings", 0);
        script(answerAfter(250, "first"), answerAfter(0, "copy"));
        expect(await deployment.call({ path: "/check/1" })).toMatchObject({ status: 200, body: "first" });
        expect(copyLines()).toEqual([["copy denied", "no retry is left"]]);
    });

    it("while its targets are busy", async () => {
        await start();
        // Three calls learn the loads; the free target would get the next one otherwise.
        for (const target of deployment.targets.values()) target.load = () => "6,2,6";
        script();
        const ids = ["a", "b", "c", "d", "e", "f"];
        await Promise.all(ids.map(id => deployment.call({ path: "/check/1", id })));
        expect([...deployment.targets.values()].map(target => target.arrivals.length)).not.toContain(0);
        script(answerAfter(250, "first"), answerAfter(0, "copy"));
        expect(await deployment.call({ path: "/check/1", id: "slow" })).toMatchObject({ status: 200, body: "first" });
        expect(copyLines()).toEqual([["copy denied", "targets are busy"]]);
    });
});

describe("a burst of slow calls", () => {
    it("gets no more copies than its share, and each one uses a retry", async () => {
        // With the nine calls, there are 100 requests. Of the 5 copies allowed, 60% are used.
        await start({ settings: { hedging: { fractionOfRequests: 0.05, fractionOfTargetTime: 1 } }, requests: 91 });
        const retriesBefore = retriesLeft();
        script(...Array.from({ length: 2 }, () => answerAfter(400, "answer")));
        const ids = Array.from({ length: 9 }, (_, index) => `request-${index}`);
        const answers = await Promise.all(ids.map(id => deployment.call({ path: "/check/1", id })));
        expect(answers.map(({ status }) => status)).toEqual(ids.map(() => 200));
        expect(deployment.linesOf("copy sent")).toHaveLength(3);
        const denials = deployment.linesOf("copy denied");
        expect(denials.map(({ reason }) => reason)).toEqual(Array.from({ length: 6 }, () => "no copy is left"));
        expect(arrivals()).toBe(12);
        // Nine requests add one retry.
        expect(retriesBefore - retriesLeft()).toBe(2);
    });
});

/** Number of retries that the service has left. */
function retriesLeft(): number {
    const budget = deployment.gateways[0]?.gateway.context.retryBudgetOf("bookings");
    let count = 0;
    while (budget?.available() === true) {
        budget.take();
        count += 1;
    }
    for (let retry = 0; retry < count; retry += 1) budget?.giveBack();
    return count;
}

describe("a route of which few calls are known", () => {
    /** Fraction of the latency objective in which calls to the service usually end. */
    const USUAL_SHARE = 0.1;

    it.each([
        { name: "is judged by the calls to its service", known: 30, lines: ["copy sent", "copy won"] },
        { name: "has no copies before enough is known of its service", known: 29, lines: [] },
    ])("$name", async ({ known, lines }) => {
        await start();
        const hedging = deployment.gateways[0]?.gateway.context.hedging;
        hedging?.latencies.keepOnly(new Set());
        for (let index = 0; index < known; index += 1) hedging?.serviceLatencies.record("bookings", USUAL_SHARE);
        script(answerAfter(300, "first"), answerAfter(0, "copy"));
        expect((await deployment.call({ path: "/check/a", id: "few-calls" })).status).toBe(200);
        expect(copyLines()).toEqual(lines);
    });
});
