/**
 * Usage reports through failures of holders, the store and the platform.
 *
 * Guards against reports that a change of holder loses, doubles or sends with other counts, and against calls of an earlier
 * holder that arrive after those of a later one.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { pause } from "../../src/model/pause.js";
import { DutyDeployment, DUE_MS, LEASE_MS, WINDOW_MS } from "./deployment.js";

const LONG_MS = 60_000;

let duties: DutyDeployment;

beforeEach(async () => {
    duties = await DutyDeployment.start(3);
});
afterEach(async () => {
    await duties.close();
});

/** Sends requests to some gateways, spread over a time. Returns their number. */
async function sendFor(milliseconds: number, gateways: readonly number[]): Promise<number> {
    const endAt = performance.now() + milliseconds;
    let sent = 0;
    while (performance.now() < endAt) {
        const answers = await Promise.all(gateways.map(gateway => duties.send(gateway, "/check/a")));
        expect(answers.map(({ status }) => status)).toEqual(gateways.map(() => 200));
        sent += answers.length;
        await pause(40);
    }
    return sent;
}

async function expectTotal(total: number): Promise<void> {
    await vi.waitFor(() => expect(duties.reported()).toEqual({ kettleby: total }), 3 * DUE_MS);
    duties.expectRules();
}

const others = (holder: number): readonly number[] => [0, 1, 2].filter(index => index !== holder);

describe("usage reports", () => {
    it(
        "have what a killed holder has counted, and go on in time",
        async () => {
            const holder = duties.holder();
            const before = await sendFor(2_500, [0, 1, 2]);
            await pause(500);
            await duties.deployment.gateways[holder]?.kill();
            const after = await sendFor(3_500, others(holder));
            await expectTotal(before + after);
            duties.expectContiguous();
            expect(duties.deployment.linesOf("usage report given up")).toEqual([]);
            expect(new Set(duties.cloud.calls.map(call => call.holder)).size).toBe(2);
        },
        LONG_MS,
    );

    it(
        "go on at once after a planned stop of the holder, with all its counts",
        async () => {
            const holder = duties.holder();
            const before = await sendFor(1_500, [0, 1, 2]);
            const stopped = duties.deployment.gateways[holder]?.stop();
            const after = await sendFor(2_000, others(holder));
            await stopped;
            await expectTotal(before + after);
            duties.expectContiguous();
            expect(duties.deployment.linesOf("duty ended")[0]).toMatchObject({ reason: "released" });
        },
        LONG_MS,
    );

    it(
        "are repeated unchanged and ever more slowly while the platform refuses or drops calls",
        async () => {
            const statuses = [429, 0, 503, 429, 500];
            let calls = 0;
            duties.cloud.answer = () => statuses[calls++] ?? 200;
            const sent = await sendFor(1_500, [0, 1, 2]);
            await expectTotal(sent);
            expect(duties.deployment.linesOf("usage report failed").length).toBeGreaterThanOrEqual(statuses.length);
            expect(duties.deployment.linesOf("usage report given up")).toEqual([]);
        },
        LONG_MS,
    );

    it(
        "are in time at a slow platform",
        async () => {
            duties.cloud.delayMs = 350;
            const sent = await sendFor(2_500, [0, 1, 2]);
            await expectTotal(sent);
            duties.expectContiguous();
            expect(duties.deployment.linesOf("usage report given up")).toEqual([]);
        },
        LONG_MS,
    );

    it(
        "are given up when the platform is down for too long, with few calls meanwhile",
        async () => {
            duties.cloud.answer = () => 503;
            await vi.waitFor(() => {
                expect(duties.deployment.linesOf("usage report given up").length).toBeGreaterThan(0);
            }, 4 * DUE_MS);
            expect(duties.cloud.calls.length).toBeLessThan(30);
            duties.cloud.answer = () => 200;
            await vi.waitFor(() => expect(duties.cloud.reports.size).toBeGreaterThan(3), 2 * DUE_MS);
            duties.expectRules();
        },
        LONG_MS,
    );

    it(
        "end while the store is down for longer than the lease, and go on after it",
        async () => {
            await vi.waitFor(() => expect(duties.cloud.calls.length).toBeGreaterThan(0), 2 * DUE_MS);
            duties.deployment.platform.down = true;
            await vi.waitFor(() => expect(duties.deployment.linesOf("duty ended")).toHaveLength(1), 4 * LEASE_MS);
            const calls = duties.cloud.calls.length;
            await pause(1_500);
            expect(duties.cloud.calls).toHaveLength(calls);
            duties.deployment.platform.down = false;
            await vi.waitFor(() => expect(duties.cloud.calls.length).toBeGreaterThan(calls + 2), 4 * DUE_MS);
            duties.expectRules();
        },
        LONG_MS,
    );

    it(
        "are never sent with other counts after the store has lost them",
        async () => {
            await sendFor(1_000, [0, 1, 2]);
            await vi.waitFor(() => expect(duties.cloud.reports.size).toBeGreaterThan(0), 2 * DUE_MS);
            duties.deployment.platform.takeCopy();
            await sendFor(2 * WINDOW_MS, [0, 1, 2]);
            duties.deployment.platform.restore();
            await sendFor(2 * WINDOW_MS, [0, 1, 2]);
            duties.expectRules();
            const holder = duties.holder();
            duties.deployment.platform.takeCopy();
            await sendFor(2 * WINDOW_MS, [0, 1, 2]);
            await duties.deployment.gateways[holder]?.kill();
            duties.deployment.platform.restore();
            const calls = duties.cloud.calls.length;
            await sendFor(2 * WINDOW_MS, others(holder));
            await vi.waitFor(() => expect(duties.cloud.calls.length).toBeGreaterThan(calls + 3), 4 * DUE_MS);
            duties.expectRules();
        },
        LONG_MS,
    );
});
