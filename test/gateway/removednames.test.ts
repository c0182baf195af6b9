/**
 * Routes and services that a configuration no longer has. What a gateway kept for each name that it had ever seen grew with
 * each change for as long as its process ran.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { CONFIGURATION, Deployment } from "./harness.js";

let deployment: Deployment;

beforeEach(async () => {
    deployment = await Deployment.start({ bookings: 1, engines: 1 }, 1);
});

afterEach(() => deployment.close());

async function change(Version: number, routes: readonly string[], services: readonly string[]): Promise<void> {
    deployment.platform.put("config", "main", {
        ...CONFIGURATION,
        Version,
        Routes: CONFIGURATION.Routes.filter(({ Name }) => routes.includes(String(Name))),
        Services: CONFIGURATION.Services.filter(({ Name }) => services.includes(Name)),
    });
    await vi.waitFor(() => expect(deployment.gateways[0]?.gateway.configuration?.version).toBe(Version), 3_000);
}

describe("after a change that removes routes and services", () => {
    it("the times of removed routes are dropped, and the others kept", async () => {
        await deployment.call({ path: "/check/1", key: "good-key" });
        await deployment.call({ path: "/book/1", key: "good-key" });
        const context = deployment.gateways[0]?.gateway.context;
        const known = (route: string): readonly boolean[] =>
            [context?.requestTimes, context?.attemptTimes].map(times => Number.isFinite(times?.usualMs(route)));
        context?.firstEventTimes.record("chat", 1_000);
        context?.firstEventTimes.record("draft", 1_000);
        const initial = context?.firstEventTimes.reserveMs("none");
        for (const route of ["check", "book"]) expect(known(route), route).toEqual([true, true]);
        await change(2, ["check", "draft"], ["bookings", "engines"]);
        expect(known("check")).toEqual([true, true]);
        expect(known("book")).toEqual([false, false]);
        expect(context?.firstEventTimes.reserveMs("chat")).toBe(initial);
        expect(context?.firstEventTimes.reserveMs("draft")).not.toBe(initial);
    });

    it("a retry budget is dropped once it is unused, and otherwise kept", async () => {
        const budgetOf = (service: string): unknown => deployment.gateways[0]?.gateway.context.retryBudgetOf(service);
        deployment.gateways[0]?.gateway.context.retryBudgetOf("engines").deposit();
        const [bookings, engines, rank] = ["bookings", "engines", "rank"].map(budgetOf);
        await change(2, ["check"], ["bookings"]);
        expect(budgetOf("bookings")).toBe(bookings);
        expect(budgetOf("engines")).toBe(engines);
        expect(budgetOf("rank")).not.toBe(rank);
    });
});
