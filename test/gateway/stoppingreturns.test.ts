/** When callers are told to come back whose requests a planned stop refuses. */
import { afterEach, describe, expect, it, vi } from "vitest";
import { Deadline } from "../../src/model/index.js";
import { pause } from "../../src/model/pause.js";
import { KIND } from "../../src/platform/names.js";
import { CONFIGURATION, Deployment } from "./harness.js";
import { RawCaller, requestHead } from "./rawcaller.js";

/** Times in seconds: allowance for the start of a process, spread of the returns, and tolerance for slow tests. */
const RESTART_S = 1.8;
const SPREAD_S = 1;
const TOLERANCE_S = 0.4;

const LONG_MS = 10_000;
const Routes = CONFIGURATION.Routes.map(route => ({ ...route, TimeoutMs: LONG_MS }));

/** A refusal by the first gateway, whose grace period of 8 s leaves 7.4 s for responses and takes requests for 2.6 s. */
interface ReturnCase {
    readonly case: string;
    readonly others: "none" | "one serves" | "one stops too" | "one has died and is registered";
    /** Time in milliseconds of the grace period that has passed when the request comes. */
    readonly spentMs: number;
    /** Deadline of the request that is open meanwhile. */
    readonly openMs: number;
    /** Expected time until this process ends, in seconds; undefined if the caller may come back at once. */
    readonly leftS: number | undefined;
}

const returnCases: readonly ReturnCase[] = [
    { case: "does not fit", others: "one serves", spentMs: 1_000, openMs: LONG_MS, leftS: undefined },
    { case: "is late", others: "one serves", spentMs: 4_000, openMs: LONG_MS, leftS: undefined },
    { case: "is late", others: "one has died and is registered", spentMs: 4_000, openMs: LONG_MS, leftS: undefined },
    { case: "does not fit", others: "none", spentMs: 1_000, openMs: 300, leftS: 1.6 },
    { case: "does not fit", others: "none", spentMs: 1_000, openMs: LONG_MS, leftS: 6.4 },
    { case: "is late", others: "none", spentMs: 3_000, openMs: 2_000, leftS: 2 },
    { case: "is late", others: "none", spentMs: 4_000, openMs: LONG_MS, leftS: 3.4 },
    { case: "is late", others: "one stops too", spentMs: 4_000, openMs: LONG_MS, leftS: 3.4 },
    { case: "is late", others: "none", spentMs: 7_000, openMs: LONG_MS, leftS: 0.4 },
];

let deployment: Deployment;
let open: RawCaller;
let slow: RawCaller | undefined;
let stops: Promise<void>[];

afterEach(async () => {
    open.close();
    slow?.close();
    await Promise.all(stops);
    await deployment.close();
});

interface StartOptions extends Omit<ReturnCase, "case" | "leftS"> {
    /** Headers of a request whose body does not come before the stop. */
    readonly slowHead?: Readonly<Record<string, string | number>>;
}

async function start({ others, openMs, spentMs, slowHead }: StartOptions): Promise<void> {
    stops = [];
    slow = undefined;
    deployment = await Deployment.start({ bookings: 1 }, others === "none" ? 1 : 2, { ...CONFIGURATION, Routes });
    open = await RawCaller.connect(deployment.callers[0] ?? "");
    deployment.target("bookings-0").behaviour = () => ({ kind: "silent" });
    const [stopping, other] = deployment.gateways;
    if (others === "one has died and is registered") await other?.kill();
    if (others === "one stops too") {
        stops.push(other?.stop() ?? Promise.resolve());
        await vi.waitFor(() => expect(deployment.platform.names(KIND.gateways)).toHaveLength(1));
        await pause(100);
    }
    open.write(requestHead("GET", "/book/1", "open", { "x-parsleyrun-deadline-ms": openMs }));
    await vi.waitFor(() => expect(deployment.target("bookings-0").arrivals).toHaveLength(1));
    if (slowHead !== undefined) {
        slow = await RawCaller.connect(deployment.callers[0] ?? "");
        slow.write(requestHead("POST", "/book/1", "slow", { "content-length": 4, ...slowHead }));
        await pause(50);
    }
    stops.push(stopping?.stop(performance.now() - spentMs) ?? Promise.resolve());
    await pause(20);
}

function expectReturn(retryAfter: unknown, leftS: number | undefined): void {
    const returnS = Number(retryAfter);
    if (leftS === undefined) {
        expect(returnS).toBe(0);
        return;
    }
    expect(returnS).toBeGreaterThan(leftS + RESTART_S - TOLERANCE_S);
    expect(returnS).toBeLessThanOrEqual(leftS + RESTART_S + SPREAD_S);
}

describe("a refusal by a gateway that stops", () => {
    // Guards against callers that come back at once and find nobody, or the same gateway, and against a needless wait.
    it.each(returnCases)(
        "of a request that $case after $spentMs ms, beside one of $openMs ms, other gateways: $others",
        async ({ leftS, ...returnCase }) => {
            await start(returnCase);
            const headers = { "x-parsleyrun-deadline-ms": String(LONG_MS) };
            const ids = ["late-1", "late-2", "late-3"];
            const answers = await Promise.all(ids.map(id => deployment.call({ path: "/check/1", id, headers })));
            const returns = answers.map(answer => answer.headers["retry-after"]);
            expect(answers.map(({ status }) => status)).toEqual([503, 503, 503]);
            for (const retryAfter of returns) expectReturn(retryAfter, leftS);
            // They do not all come back at once.
            if (leftS !== undefined) expect(new Set(returns).size).toBeGreaterThan(1);
            await vi.waitFor(() => expect(deployment.linesOf("request ended", "late-1")).toHaveLength(1));
            const [logged] = deployment.linesOf("request ended", "late-1");
            expect(logged).toMatchObject({ reason: "stopping", retryAfterMs: Math.round(Number(returns[0]) * 1_000) });
        },
        20_000,
    );

    // Guards against a request that counts itself among what keeps the process from ending.
    it("of a request that was taken before and is the last one", async () => {
        await start({ others: "none", spentMs: 2_300, openMs: 200, slowHead: { "x-parsleyrun-deadline-ms": LONG_MS } });
        await pause(500);
        slow?.write("body");
        const [answer] = (await slow?.read(1)) ?? [];
        expect(answer?.status).toBe(503);
        expectReturn(answer?.headers.get("retry-after"), 0);
    });

    // Guards against the same fault where a request was taken and its time ended before it was sent.
    it("of a request whose body has not come by the end of the time for responses", async () => {
        await start({ others: "none", spentMs: 0, openMs: 300, slowHead: {} });
        deployment.gateways[0]?.gateway.shutdown.begin(Deadline.after(100));
        const [answer] = (await slow?.read(1)) ?? [];
        expect(answer?.status).toBe(503);
        expectReturn(answer?.headers.get("retry-after"), 0);
    });
});
