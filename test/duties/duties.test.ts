/**
 * Reports of usage from several gateways: none twice, none missing, and the counts of all gateways in them.
 *
 * Guards against counts that are lost or doubled on their way to the holder, and against two holders.
 */
import { afterEach, describe, expect, it, vi } from "vitest";
import { pause } from "../../src/model/pause.js";
import { CONFIGURATION } from "../gateway/harness.js";
import { DutyDeployment, WINDOW_MS } from "./deployment.js";

const LONG_MS = 60_000;

let duties: DutyDeployment;

afterEach(async () => {
    await duties.close();
});

describe("usage reports", () => {
    it(
        "have the requests of all gateways once, in reports that are in time and follow each other",
        async () => {
            duties = await DutyDeployment.start(3);
            const statuses: number[] = [];
            for (let round = 0; round < 30; round += 1) {
                const answers = await Promise.all(
                    [0, 1, 2].map(gateway => duties.send(gateway, round % 2 ? "/check/a" : "/chat/a")),
                );
                statuses.push(...answers.map(({ status }) => status));
                await pause(50);
            }
            expect(statuses.every(status => status === 200)).toBe(true);
            await vi.waitFor(() => expect(duties.reported()).toEqual({ kettleby: 90 }), 8_000);
            duties.expectRules();
            duties.expectContiguous();
            for (const calls of duties.cloud.reports.values()) expect(calls).toHaveLength(1);
            expect(duties.deployment.linesOf("usage report given up")).toEqual([]);
        },
        LONG_MS,
    );

    it(
        "count a request once that is declined, repeated or answered with an error",
        async () => {
            duties = await DutyDeployment.start(1);
            duties.deployment.target("bookings-0").behaviour = () => ({ kind: "full" });
            duties.deployment.target("bookings-1").behaviour = () => ({ kind: "full" });
            expect((await duties.send(0, "/check/a")).status).toBe(503);
            duties.deployment.target("bookings-0").behaviour = () => ({ kind: "reset" });
            duties.deployment.target("bookings-1").behaviour = () => ({ kind: "reset" });
            expect((await duties.send(0, "/check/b")).status).toBe(502);
            await vi.waitFor(() => expect(duties.reported()).toEqual({ kettleby: 1 }), 8_000);
            await pause(3 * WINDOW_MS);
            expect(duties.reported()).toEqual({ kettleby: 1 });
            duties.expectRules();
        },
        LONG_MS,
    );
});

describe("orders for targets", () => {
    it(
        "are sent by the holder for services with limits, and no others",
        async () => {
            const [bookings, ...rest] = CONFIGURATION.Services;
            const Services = [{ ...bookings, Autoscale: { Min: 3, Max: 5, BootS: 2 } }, ...rest];
            duties = await DutyDeployment.start(2, { ...CONFIGURATION, Services });
            const orders = (): readonly unknown[] => duties.cloud.calls.filter(({ path }) => path === "/scale");
            await vi.waitFor(() => expect(orders()).toHaveLength(1), 8_000);
            await pause(2_000);
            expect(orders()).toMatchObject([
                { body: { Service: "bookings", Zone: "east", Desired: 3 }, holder: `gateway-${duties.holder()}` },
            ]);
            expect(duties.deployment.linesOf("targets ordered")).toMatchObject([{ desired: 3, registered: 2 }]);
        },
        LONG_MS,
    );
});
