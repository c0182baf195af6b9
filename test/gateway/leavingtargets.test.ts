/**
 * Targets that say in their answers that they leave, before the store says so or although it never does. A gateway that
 * does not read it goes on sending requests, which end with the target.
 */
import { afterEach, describe, expect, it, vi } from "vitest";
import { Deployment } from "./harness.js";

let deployment: Deployment;

afterEach(() => deployment.close());

const STAGES = { "x-parsleyrun-pieces": "2,1", "x-parsleyrun-piece-key": "key" };

interface LeavingCase {
    readonly how: string;
    readonly service: string;
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
}

const CASES: readonly LeavingCase[] = [
    { how: "the answer to a call", service: "bookings", path: "/check/1" },
    { how: "the answer to a call that may not be repeated", service: "bookings", path: "/book/1" },
    { how: "a stream", service: "engines", path: "/chat/1" },
    { how: "the answer to a call for pieces", service: "encode", path: "/staged/1", headers: STAGES },
];

function requestCount(id: string): number {
    const target = deployment.target(id);
    return target.arrivals.length + target.pieceCalls.length;
}

describe("a target that says that it leaves", () => {
    it.each(CASES)("in $how gets no further request", async ({ service, path, headers = {} }) => {
        deployment = await Deployment.start({ bookings: 2, engines: 2, encode: 2, rank: 1 });
        for (const [id, target] of deployment.targets) {
            if (id.startsWith("engines")) target.behaviour = () => ({ kind: "stream", events: 2 });
        }
        const leaving = deployment.target(`${service}-0`);
        leaving.isLeaving = true;
        const send = (id: string): Promise<unknown> => deployment.call({ path, id, headers });
        for (let index = 0; requestCount(leaving.id) === 0 && index < 40; index += 1) await send(`first-${index}`);
        expect(requestCount(leaving.id)).toBe(1);
        // A heartbeat that was written before the target decided to leave.
        deployment.register(service, leaving.id, { Seqno: 2 });
        await Promise.all(Array.from({ length: 12 }, (_, index) => send(`next-${index}`)));
        expect(requestCount(leaving.id)).toBe(1);
        expect(deployment.linesOf("target draining")).toMatchObject([{ target: leaving.id, source: "response" }]);
    });

    it("gets requests again once it has started anew", async () => {
        deployment = await Deployment.start({ bookings: 1 });
        const target = deployment.target("bookings-0");
        target.isLeaving = true;
        expect((await deployment.call({ path: "/check/1" })).status).toBe(200);
        expect((await deployment.call({ path: "/check/1", id: "request-2" })).status).toBe(503);
        target.isLeaving = false;
        deployment.register("bookings", "bookings-0", { born: 2_000 });
        await vi.waitFor(async () =>
            expect((await deployment.call({ path: "/check/1", id: "request-3" })).status).toBe(200),
        );
    });
});
