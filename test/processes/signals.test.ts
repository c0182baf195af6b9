/**
 * Signals to a gateway process while callers use their connections: streams and calls are open, and kept connections carry
 * requests until they are closed. No signal may cut a request that was taken, or leave one without a response.
 */
import { afterEach, describe, expect, it } from "vitest";
import { pause } from "./daemons.js";
import type { RawAnswer, RawCaller } from "./rawcaller.js";
import { GRACE_MS, Stage } from "./stage.js";

let stage: Stage;

afterEach(() => stage.close());

/** Interval in milliseconds at which a kept connection carries requests, and their number on one connection. */
const REQUEST_INTERVAL_MS = 40;
const REQUESTS_PER_CONNECTION = 45;

/** Longest time in milliseconds for which a request may be on its way while the other side closes the connection. */
const CROSSING_MS = 50;

/** Time in milliseconds after SIGTERM for which the gateway takes new requests: half of its grace period. */
const DRAIN_MS = GRACE_MS / 2;

interface SentRequest {
    readonly id: string;
    readonly answer: RawAnswer;
}

/** Sends requests one after another on a kept connection until it is to be closed or has ended. */
async function useConnection(name: string, caller: RawCaller): Promise<readonly SentRequest[]> {
    const sent: SentRequest[] = [];
    while (sent.length < REQUESTS_PER_CONNECTION && !caller.isClosed) {
        const id = `kept-${name}-${sent.length}`;
        const answer = await caller.send("/check/1", id);
        sent.push({ id, answer });
        if (answer.status === undefined || answer.headers.connection === "close") break;
        await pause(REQUEST_INTERVAL_MS);
    }
    return sent;
}

/** A request without a response must have been on its way when the connection was closed, and must not be passed on. */
function expectAnswered({ id, answer }: SentRequest, statuses: readonly number[]): void {
    if (answer.status === undefined) {
        expect(answer.closedAfterMs, id).toBeLessThan(CROSSING_MS);
        expect(stage.arrivals(id)).toEqual([]);
        return;
    }
    expect(statuses, id).toContain(answer.status);
    expect(answer.complete, id).toBe(true);
}

interface SignalCase {
    readonly signals: string;
    /** What happens at each step; the steps are 100 ms apart. */
    readonly steps: readonly (() => void)[];
    readonly stops: boolean;
}

const hangUp = (): void => stage.gateway.signal("SIGHUP");
const terminate = (): void => stage.gateway.signal("SIGTERM");
const repeated = (count: number, step: () => void): readonly (() => void)[] => Array<() => void>(count).fill(step);
const change = (): void => stage.putConfiguration(14_000);
const changeSettings = (): void => {
    stage.writeSettings({ retries: { allowance: 10 }, stopGraceSeconds: 3 });
    hangUp();
};
const spoilSettings = (): void => {
    stage.writeSettings("name: [");
    hangUp();
};
const hangUpOften = (): void => repeated(5, hangUp).forEach(signal => signal());

const signalCases: readonly SignalCase[] = [
    { signals: "one SIGHUP", steps: [hangUp], stops: false },
    { signals: "a series of SIGHUPs", steps: repeated(12, hangUp), stops: false },
    { signals: "SIGHUPs at the same time", steps: repeated(12, hangUpOften), stops: false },
    { signals: "SIGHUPs with changed settings", steps: repeated(6, changeSettings), stops: false },
    { signals: "SIGHUPs with a file that is no settings file", steps: repeated(6, spoilSettings), stops: false },
    {
        signals: "SIGHUPs and changes of the configuration",
        steps: [hangUp, change, hangUp, change, hangUp],
        stops: false,
    },
    { signals: "SIGTERM", steps: [terminate], stops: true },
    { signals: "SIGTERM within a series of SIGHUPs", steps: [hangUp, hangUp, terminate, hangUp, hangUp], stops: true },
    {
        signals: "SIGTERM just after SIGHUP",
        steps: [() => [hangUp, terminate, hangUp].forEach(signal => signal())],
        stops: true,
    },
    { signals: "SIGTERM and changes of the configuration", steps: [change, terminate, change, change], stops: true },
    {
        signals: "SIGTERM, SIGHUPs with changed settings and changes of the configuration",
        steps: [change, changeSettings, terminate, changeSettings, change, spoilSettings, change],
        stops: true,
    },
];

describe("a gateway process", () => {
    // Guards against a signal that ends the process, or an unfinished stop, with what callers have sent.
    it.each(signalCases)(
        "serves what is open and what comes on kept connections under $signals",
        async ({ steps, stops }) => {
            stage = await Stage.start();
            const finite: Promise<RawAnswer>[] = [];
            const slow: Promise<RawAnswer>[] = [];
            for (const [route, group] of [
                ["chat", finite],
                ["draft", finite],
                ["check", slow],
                ["book", slow],
            ] as const) {
                const name = group === finite ? "finite" : "slow";
                for (let count = 0; count < 3; count += 1) {
                    const caller = await stage.connectKept();
                    group.push(caller.send(`/${route}/1`, `${name}-${route}-${count}`));
                }
            }
            const callers: RawCaller[] = [];
            for (let count = 0; count < 6; count += 1) callers.push(await stage.connectKept());
            const kept = callers.map((caller, index) => useConnection(String(index), caller));
            for (const step of steps) {
                step();
                await pause(100);
            }
            for (const answer of await Promise.all(finite)) {
                expect(answer).toMatchObject({ status: 200, complete: true, reset: false });
            }
            for (const answer of await Promise.all(slow)) {
                expect(answer).toMatchObject({ status: 200, complete: true, reset: false });
            }
            const sent = (await Promise.all(kept)).flat();
            for (const request of sent) expectAnswered(request, [200]);
            if (!stops) {
                expect(sent).toHaveLength(callers.length * REQUESTS_PER_CONNECTION);
                expect(await (await stage.connect()).send("/check/1", "after")).toMatchObject({ status: 200 });
                return;
            }
            expect(await stage.gateway.ended).toEqual({ code: 0, signal: null });
        },
        20_000,
    );

    // Guards against a stop that closes the connection of a request which it has had the time to read.
    it.each([
        { case: "while another request is open until the end", held: true, untilMs: GRACE_MS },
        { case: "while nothing else is open", held: false, untilMs: GRACE_MS },
    ])(
        "responds to requests on idle kept connections at any moment of a stop, $case",
        async ({ held, untilMs }) => {
            stage = await Stage.start();
            const stepMs = 20;
            const idle = await Promise.all(Array.from({ length: untilMs / stepMs }, () => stage.connectKept()));
            const open = held ? (await stage.connect()).send("/check/1", "silent-1") : undefined;
            if (held) await stage.waitForArrival("silent-1");
            terminate();
            const signalledAt = performance.now();
            const sent: Promise<SentRequest>[] = [];
            for (const [index, caller] of idle.entries()) {
                await pause(Math.max(0, signalledAt + index * stepMs - performance.now()));
                if (caller.isClosed) break;
                const id = `idle-${index}`;
                sent.push(caller.send("/check/1", id).then(answer => ({ id, answer })));
            }
            const requests = await Promise.all(sent);
            for (const request of requests) expectAnswered(request, [200, 503]);
            expect(requests.length).toBeGreaterThan(50);
            const unanswered = requests.filter(({ answer }) => answer.status === undefined);
            expect(unanswered.length).toBeLessThan(5);
            if (open !== undefined) expect(await open).toMatchObject({ status: 504, complete: true });
            expect(await stage.gateway.ended).toEqual({ code: 0, signal: null });
        },
        30_000,
    );

    // Guards against a stop that ends on a timer before it has read what arrived while the process was delayed.
    it.each([{ connections: "kept" }, { connections: "new" }])(
        "responds to requests on $connections connections that arrive while it is frozen at the end of a stop",
        async ({ connections }) => {
            stage = await Stage.start();
            const connect = (): Promise<readonly RawCaller[]> =>
                Promise.all(
                    Array.from({ length: 20 }, () => (connections === "kept" ? stage.connectKept() : stage.connect())),
                );
            const kept = connections === "kept" ? await connect() : [];
            terminate();
            await stage.gateway.logged('"stopping"');
            // Without open requests, the process ends once it takes no new ones.
            await pause(DRAIN_MS - 300);
            stage.gateway.signal("SIGSTOP");
            const callers = connections === "kept" ? kept : await connect();
            const answers = callers.map((caller, index) => caller.send("/check/1", `frozen-${index}`));
            await pause(600);
            stage.gateway.signal("SIGCONT");
            for (const answer of await Promise.all(answers)) {
                expect([200, 503]).toContain(answer.status);
                expect(answer).toMatchObject({ complete: true, headers: { connection: "close" } });
            }
            expect(await stage.gateway.ended).toEqual({ code: 0, signal: null });
        },
        20_000,
    );
});
