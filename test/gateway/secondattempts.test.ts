/**
 * Streams that are sent to a second target while the first one is silent: how they end, and what is known of both targets
 * afterwards. A silence that is not noted, a request that is sent twice without need, a retry that nothing was sent for, a
 * stream that nobody ends and a wrong count of waiting prompts are the failures.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { afterEach, describe, expect, it, vi } from "vitest";
import { pause } from "../../src/model/pause.js";
import type { Behaviour } from "../platform/standintarget.js";
import { type CallAnswer, CONFIGURATION, Deployment } from "./harness.js";
import { EVENTS, expectWholeStream, idsOf, scriptEngines } from "./silentstreams.js";

let deployment: Deployment;

afterEach(() => deployment.close());

/** A stream that is silent for a time after its head or after that many events. */
function silentAfter(milliseconds: number, after: "head" | number = 2): Extract<Behaviour, { kind: "stream" }> {
    return { kind: "stream", events: EVENTS, silence: { after, milliseconds } };
}

/** Name of the engine that got the request first. */
async function firstEngine(): Promise<string> {
    const hasArrived = ({ arrivals }: { readonly arrivals: readonly unknown[] }): boolean => arrivals.length > 0;
    await vi.waitFor(() => expect([...deployment.targets.values()].some(hasArrived)).toBe(true));
    return [...deployment.targets.values()].find(hasArrived)?.id ?? "";
}

describe("a silence", () => {
    it.each([
        { silence: "before the head", first: { kind: "delayedStream", events: EVENTS, delayMs: 1_100 } },
        { silence: "before the first event", first: silentAfter(1_100, "head") },
        { silence: "between events", first: silentAfter(1_100) },
    ] satisfies readonly { silence: string; first: Behaviour }[])("$silence is noted", async ({ first }) => {
        deployment = await Deployment.start({ engines: 2 });
        scriptEngines(deployment, first, { kind: "full" });
        expectWholeStream(await deployment.call({ path: "/chat/1" }));
        const target = await firstEngine();
        await vi.waitFor(() => expect(deployment.linesOf("target silent")).toMatchObject([{ target }]));
    });
});

describe("a target that is silent for good", () => {
    it("gets one stream that cannot be resumed, and the next ones go to the other", async () => {
        deployment = await Deployment.start({ engines: 2 });
        const dark = deployment.target("engines-0");
        dark.behaviour = () => ({ kind: "silent" });
        deployment.target("engines-1").behaviour = () => ({ kind: "stream", events: EVENTS });
        const send = (index: number): Promise<CallAnswer> =>
            deployment.call({ path: "/draft/1", id: `draft-${index}` });
        const first: Promise<CallAnswer>[] = [];
        for (let index = 0; dark.arrivals.length === 0 && index < 20; index += 1) {
            first.push(send(index));
            await pause(20);
        }
        await vi.waitFor(() => expect(deployment.linesOf("target silent")).toHaveLength(1), 2_000);
        for (let index = 100; index < 112; index += 1) expectWholeStream(await send(index));
        await Promise.all(first);
        await pause(1_200);
        for (let index = 200; index < 212; index += 1) expectWholeStream(await send(index));
        expect(dark.arrivals).toHaveLength(1);
    });
});

describe("a stream whose silent target was left for one that declines", () => {
    it.each([
        { begun: "begun", first: silentAfter(60_000), expected: { status: 200, complete: false } },
        { begun: "not begun", first: silentAfter(60_000, "head"), expected: { status: 502 } },
    ])("is ended at once if it has $begun", async ({ first, expected }) => {
        deployment = await Deployment.start({ engines: 2 });
        deployment.leaveRetries("engines", 1);
        scriptEngines(deployment, first, { kind: "full", after: pause(1_600) });
        const answered = deployment.call({ path: "/chat/1" });
        // A target that has started anew is left for another one that has taken the request.
        deployment.register("engines", await firstEngine(), { born: 2_000 });
        expect(await Promise.race([answered, pause(4_000)])).toMatchObject(expected);
        await vi.waitFor(() => {
            expect(deployment.linesOf("request ended")).toMatchObject([{ reason: "target was left" }]);
        });
    });
});

describe("a stream whose silent target breaks it after the second one was left", () => {
    it("goes on at the second target", async () => {
        deployment = await Deployment.start({ engines: 2 });
        const broken: Behaviour = { ...silentAfter(1_350), cutAfterBytes: 80 };
        const slow: Behaviour = { kind: "delayedStream", events: EVENTS, delayMs: 700 };
        scriptEngines(deployment, broken, slow, { kind: "stream", events: EVENTS });
        expectWholeStream(await deployment.call({ path: "/chat/1" }));
    });
});

describe("a target that is silent", () => {
    it("gets requests if a roll-out leaves no other", async () => {
        deployment = await Deployment.start({ engines: 1 });
        await deployment.addTarget("engines", "engines-1", { Version: "v2" });
        scriptEngines(deployment, { kind: "stream", events: EVENTS });
        const context = deployment.gateways[0]?.gateway.context;
        await vi.waitFor(() => expect(context?.targets.usable("engines")).toHaveLength(2));
        const rollout = { service: "engines", version: "v2", durationMs: 60_000, state: undefined, revision: 1 };
        context?.rollouts.put(rollout);
        context?.rollouts.stop(rollout);
        const silent = context?.targets.findByAddress(deployment.target("engines-0").address);
        if (silent === undefined) throw new Error("target is not registered");
        context?.targets.recordSilent(silent, performance.now());
        expectWholeStream(await deployment.call({ path: "/draft/1" }));
        expect(deployment.target("engines-0").arrivals).toHaveLength(1);
    });
});

describe("a stream whose target stays silent while the others are full for a moment", () => {
    it.each([
        { declined: "once", behaviours: [{ kind: "full" }] },
        { declined: "twice", behaviours: [{ kind: "full" }, { kind: "full" }] },
    ] satisfies readonly { declined: string; behaviours: readonly Behaviour[] }[])(
        "goes on there when it was declined $declined",
        async ({ behaviours }) => {
            deployment = await Deployment.start({ engines: 2 });
            scriptEngines(deployment, silentAfter(60_000), ...behaviours, { kind: "stream", events: EVENTS });
            expectWholeStream(await deployment.call({ path: "/chat/1" }));
        },
    );
});

describe("a stream that goes on at a second target", () => {
    const whole: Behaviour = { kind: "stream", events: EVENTS };

    it.each([
        { which: "its caller resumes", first: silentAfter(60_000, "head"), lastEventId: "2", ids: [3, 4] },
        { which: "has all its events and no end", first: silentAfter(60_000, EVENTS), ids: [1, 2, 3, 4] },
        {
            which: "its caller resumes after the last event",
            first: silentAfter(60_000, "head"),
            lastEventId: "4",
            ids: [],
        },
    ])("is whole when it is one that $which", async ({ first, lastEventId, ids }) => {
        deployment = await Deployment.start({ engines: 2 });
        scriptEngines(deployment, first, whole);
        const headers = lastEventId === undefined ? {} : { "last-event-id": lastEventId };
        const answer = await deployment.call({ path: "/chat/1", headers });
        expect(answer).toMatchObject({ status: 200, complete: true });
        expect(idsOf(answer)).toEqual(ids);
    });

    it.each([
        { silent: "the first", behaviours: [silentAfter(60_000), whole] },
        { silent: "the first two", behaviours: [silentAfter(60_000), { kind: "silent" }, whole] },
    ] satisfies readonly { silent: string; behaviours: readonly Behaviour[] }[])(
        "is whole when $silent of three are silent",
        async ({ behaviours }) => {
            const Routes = CONFIGURATION.Routes.map(route => ({ ...route, MaxAttempts: 3 }));
            deployment = await Deployment.start({ engines: 3 }, 1, { ...CONFIGURATION, Routes });
            scriptEngines(deployment, ...behaviours);
            expectWholeStream(await deployment.call({ path: "/chat/1" }));
        },
    );
});

describe("a stream whose silent target's registration lapses and returns", () => {
    it("goes on there when the second target takes the request and then declines it", async () => {
        deployment = await Deployment.start({ engines: 2 });
        scriptEngines(deployment, silentAfter(1_250), { kind: "full", after: pause(2_000) });
        const answered = deployment.call({ path: "/chat/1" });
        const targets = deployment.gateways[0]?.gateway.targets;
        const silent = targets?.findByAddress(deployment.target(await firstEngine()).address);
        if (silent === undefined) throw new Error("target is not registered");
        targets?.remove(silent.name);
        targets?.put(silent.registration);
        expectWholeStream(await answered);
    });
});

describe("an exception in one of two attempts", () => {
    it("ends the other one", async () => {
        deployment = await Deployment.start({ engines: 2 });
        scriptEngines(deployment, { kind: "silent" }, { kind: "stream", events: EVENTS });
        const targets = deployment.gateways[0]?.gateway.targets;
        if (targets === undefined) throw new Error("no gateway");
        vi.spyOn(targets, "recordReport").mockImplementationOnce(() => {
            throw new Error("odd response");
        });
        const answered = deployment.call({ path: "/chat/1" });
        const first = deployment.target(await firstEngine());
        expect((await answered).status).toBe(500);
        await vi.waitFor(() => expect(first.abandoned).toHaveLength(1), 300);
        for (const { address } of deployment.targets.values()) {
            expect(targets.findByAddress(address)?.outstanding).toBe(0);
        }
    });
});

describe("the prompts that wait at a target", () => {
    it.each([
        { end: "another stream has ended", second: undefined },
        { end: "another stream was left", second: { kind: "stream", events: EVENTS } },
    ] satisfies readonly { end: string; second: Behaviour | undefined }[])(
        "still count after $end",
        async ({ second }) => {
            deployment = await Deployment.start({ engines: 1 });
            scriptEngines(deployment, silentAfter(second === undefined ? 300 : 60_000), { kind: "silent" });
            const headers = { "x-parsleyrun-token-count": "1000,10" };
            const answered = deployment.call({ path: "/chat/1", id: "first", headers });
            await firstEngine();
            await pause(100);
            void deployment.call({ path: "/draft/1", id: "second", headers }).catch(() => undefined);
            const targets = deployment.gateways[0]?.gateway.targets;
            const waiting = (): number | undefined =>
                targets?.findByAddress(deployment.target("engines-0").address)?.pendingPromptTokens;
            await vi.waitFor(() => expect(waiting()).toBe(1_000));
            if (second !== undefined) (await deployment.addTarget("engines", "engines-1")).behaviour = () => second;
            expectWholeStream(await answered);
            expect(waiting()).toBe(1_000);
        },
    );
});

/** A process that listens and accepts nothing. Once its queue is full, connections to it are neither made nor refused. */
class UnconnectableListener {
    private constructor(
        private readonly process: ChildProcess,
        readonly address: string,
        private readonly queued: readonly Socket[],
    ) {}

    static async start(): Promise<UnconnectableListener> {
        const script = `const server = require("node:net").createServer().listen(0, "127.0.0.1", 1, () => {
            require("node:fs").writeSync(1, String(server.address().port));
            Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 20_000);
        });`;
        const child = spawn(process.execPath, ["-e", script], { stdio: ["ignore", "pipe", "inherit"] });
        const [port] = (await once(child.stdout, "data")) as [Buffer];
        const queued = Array.from({ length: 4 }, () => connect(Number(port.toString()), "127.0.0.1"));
        for (const socket of queued) socket.on("error", () => undefined);
        await new Promise(resolve => setTimeout(resolve, 100));
        return new UnconnectableListener(child, `127.0.0.1:${port.toString()}`, queued);
    }

    close(): void {
        for (const socket of this.queued) socket.destroy();
        this.process.kill("SIGKILL");
    }
}

function blockEventLoop(milliseconds: number): void {
    const until = performance.now() + milliseconds;
    while (performance.now() < until);
}

describe("a stream whose connection takes long", () => {
    it("is not sent to a second target when the gateway was delayed before it sent the request", async () => {
        deployment = await Deployment.start({ engines: 2 });
        scriptEngines(deployment, { kind: "stream", events: EVENTS });
        const targets = deployment.gateways[0]?.gateway.targets;
        if (targets === undefined) throw new Error("no gateway");
        const recordSent = targets.recordSent.bind(targets);
        const spy = vi.spyOn(targets, "recordSent").mockImplementationOnce((target, promptTokens) => {
            recordSent(target, promptTokens);
            // The connection is open long before the gateway learns of it.
            queueMicrotask(() => blockEventLoop(1_000));
        });
        expectWholeStream(await deployment.call({ path: "/chat/1" }));
        expect(spy).toHaveBeenCalledTimes(1);
    });

    it("keeps its attempt and its retry when the first target goes on before the second has a connection", async () => {
        deployment = await Deployment.start({ engines: 1 });
        deployment.leaveRetries("engines", 1);
        scriptEngines(deployment, silentAfter(1_000));
        const listener = await UnconnectableListener.start();
        try {
            const answered = deployment.call({ path: "/chat/1" });
            await firstEngine();
            await deployment.addTarget("engines", "engines-1", { Address: listener.address });
            expectWholeStream(await answered);
        } finally {
            listener.close();
        }
        await vi.waitFor(() => expect(deployment.linesOf("request ended")).toMatchObject([{ attempts: 1 }]));
        expect(deployment.linesOf("attempt left")).toMatchObject([{ target: "engines-1" }]);
        expect(deployment.gateways[0]?.gateway.context.retryBudgetOf("engines").available()).toBe(true);
    });
});
