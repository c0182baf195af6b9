/**
 * Retries are taken from a budget that a gateway's requests share. One that is taken for nothing is missing for a request
 * that could have been answered at another target.
 */
import { afterEach, describe, expect, it, vi } from "vitest";
import type { Behaviour } from "../platform/standintarget.js";
import { Deployment } from "./harness.js";

let deployment: Deployment;

afterEach(() => deployment.close());

/** Sets how the first target of a service handles requests; the others handle them in `next`. */
function script(service: string, first: Behaviour, next: Behaviour): void {
    for (const [id, target] of deployment.targets) target.behaviour = () => (id === `${service}-0` ? first : next);
}

const CASES: readonly {
    readonly path: string;
    readonly service: string;
    readonly first: Behaviour;
    readonly next: Behaviour;
}[] = [
    { path: "/chat/1", service: "engines", first: { kind: "reset" }, next: { kind: "stream", events: 2 } },
    {
        path: "/chat/1",
        service: "engines",
        first: { kind: "answer", status: 500 },
        next: { kind: "stream", events: 2 },
    },
    { path: "/check/1", service: "bookings", first: { kind: "reset" }, next: { kind: "answer" } },
    { path: "/check/1", service: "bookings", first: { kind: "answer", status: 500 }, next: { kind: "answer" } },
];

describe("a retry is taken once", () => {
    it.each(CASES)("for $path after $first", async ({ path, service, first, next }) => {
        deployment = await Deployment.start({ [service]: 2 });
        script(service, first, next);
        deployment.leaveRetries(service, 1);
        // Which target comes first is chosen at random for calls.
        for (let index = 0; deployment.target(`${service}-0`).arrivals.length === 0; index += 1) {
            const answer = await deployment.call({ path, id: `request-${index}` });
            expect(answer).toMatchObject({ status: 200, complete: true });
        }
    });

    it("when the next target refuses connections, and is used for the one after it", async () => {
        deployment = await Deployment.start({ engines: 3 });
        script("engines", { kind: "reset" }, { kind: "stream", events: 2 });
        deployment.target("engines-1").close();
        deployment.leaveRetries("engines", 1);
        const answer = await deployment.call({ path: "/chat/1" });
        expect(answer).toMatchObject({ status: 200, complete: true });
        await vi.waitFor(() => expect(deployment.linesOf("target unreachable")).not.toHaveLength(0));
        expect(deployment.target("engines-2").arrivals).toHaveLength(1);
    });

    it("and returned when it was not used", async () => {
        deployment = await Deployment.start({ engines: 2 });
        const [first, second] = [deployment.target("engines-0"), deployment.target("engines-1")];
        first.behaviour = () => {
            first.close();
            return { kind: "reset" };
        };
        second.close();
        deployment.leaveRetries("engines", 1);
        const answer = await deployment.call({ path: "/chat/1", headers: { "x-parsleyrun-deadline-ms": "300" } });
        expect(answer.status).toBeGreaterThanOrEqual(500);
        expect(deployment.gateways[0]?.gateway.context.retryBudgetOf("engines").available()).toBe(true);
    });
});
