/**
 * Reports of usage from several gateways: none twice, none missing, and the counts of all gateways in them.
 *
 * Guards against counts that are lost or doubled on their way to the holder, and against two holders.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { Deployment } from "../gateway/harness.js";
import { StandInCloud } from "../platform/standincloud.js";

const WINDOW_MS = 1_000;
const DUE_MS = 5_000;
const LEASE_MS = 800;
const LONG_MS = 60_000;

let cloud: StandInCloud;
let deployment: Deployment;

beforeEach(async () => {
    cloud = await StandInCloud.start();
});
afterEach(async () => {
    await deployment.close();
    cloud.close();
});

async function start(gateways: number): Promise<void> {
    const duties = {
        address: cloud.address,
        callsPerSecond: 50,
        leaseMilliseconds: LEASE_MS,
        resumeMilliseconds: 300,
        usageWindowSeconds: WINDOW_MS / 1_000,
        usageTolerance: 0.05,
        usageDueSeconds: DUE_MS / 1_000,
    };
    deployment = await Deployment.start({ bookings: 2, engines: 2 }, gateways, undefined, { duties });
    for (const id of ["engines-0", "engines-1"]) {
        deployment.target(id).behaviour = () => ({ kind: "stream", events: 3 });
    }
    await vi.waitFor(() => expect(deployment.linesOf("duty taken")).toHaveLength(1), 10_000);
}

/** Requests in all accepted reports, by account. A window counts once. */
function reported(): Readonly<Record<string, number>> {
    const sums: Record<string, number> = {};
    for (const [first] of cloud.reports.values()) {
        for (const [account, count] of Object.entries(first?.body.Counts ?? {})) {
            sums[account] = (sums[account] ?? 0) + count;
        }
    }
    return sums;
}

let sent = 0;

function send(gateway: number, path: string): Promise<{ readonly status: number }> {
    sent += 1;
    return deployment.call({ path, id: `request-${sent}`, body: "b" }, gateway);
}

/** Checks the rules that hold whatever fails. */
function expectRules(): void {
    const tokens = cloud.calls.map(({ token }) => token);
    expect(tokens).toEqual([...tokens].sort((left, right) => left - right));
    const holders = new Map<number, Set<string>>();
    for (const { token, holder } of cloud.calls) holders.set(token, (holders.get(token) ?? new Set()).add(holder));
    for (const names of holders.values()) expect(names.size).toBe(1);
    const contents = new Map<number, Set<string>>();
    for (const { body } of cloud.calls) {
        const id = body.WindowId ?? 0;
        contents.set(id, (contents.get(id) ?? new Set()).add(JSON.stringify(body.Counts)));
    }
    for (const texts of contents.values()) expect(texts.size).toBe(1);
}

describe("usage reports", () => {
    it(
        "have the requests of all gateways once, in reports that are in time and follow each other",
        async () => {
            await start(3);
            const statuses: number[] = [];
            for (let round = 0; round < 30; round += 1) {
                const answers = await Promise.all(
                    [0, 1, 2].map(gateway => send(gateway, round % 2 ? "/check/a" : "/chat/a")),
                );
                statuses.push(...answers.map(({ status }) => status));
                await new Promise(resolve => setTimeout(resolve, 50));
            }
            expect(statuses.every(status => status === 200)).toBe(true);
            await vi.waitFor(() => expect(reported()).toEqual({ kettleby: 90 }), 8_000);
            expectRules();
            const ids = [...cloud.reports.keys()];
            expect(ids).toEqual(ids.map((_, index) => (ids[0] ?? 0) + index));
            for (const [id, calls] of cloud.reports) {
                expect(calls).toHaveLength(1);
                const afterMs = (calls[0]?.at ?? 0) - (id + 1) * WINDOW_MS;
                expect(afterMs).toBeGreaterThan(0);
                expect(afterMs).toBeLessThan(DUE_MS);
            }
            expect(deployment.linesOf("usage report given up")).toEqual([]);
        },
        LONG_MS,
    );

    it(
        "count a request once that is declined, repeated or answered with an error",
        async () => {
            await start(1);
            deployment.target("bookings-0").behaviour = () => ({ kind: "full" });
            deployment.target("bookings-1").behaviour = () => ({ kind: "full" });
            expect((await send(0, "/check/a")).status).toBe(503);
            deployment.target("bookings-0").behaviour = () => ({ kind: "reset" });
            deployment.target("bookings-1").behaviour = () => ({ kind: "reset" });
            expect((await send(0, "/check/b")).status).toBe(502);
            await vi.waitFor(() => expect(reported()).toEqual({ kettleby: 1 }), 8_000);
            await new Promise(resolve => setTimeout(resolve, 3 * WINDOW_MS));
            expect(reported()).toEqual({ kettleby: 1 });
            expectRules();
        },
        LONG_MS,
    );
});
