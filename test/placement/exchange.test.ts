/**
 * Requests through a gateway to stand-in targets that report their pace. Guards against figures that are read but do not
 * reach the choice, and against times to first events that do not reach the estimates.
 */
import { afterEach, describe, expect, it, vi } from "vitest";
import { Deployment } from "../gateway/harness.js";
import { EVENTS, expectWholeStream } from "../gateway/silentstreams.js";

let deployment: Deployment;

afterEach(() => deployment.close());

function arrivalsAt(name: string): number {
    return deployment.target(name).arrivals.length;
}

async function callInTurn(path: string, count: number): Promise<void> {
    for (let index = 0; index < count; index += 1) {
        const answer = await deployment.call({ path, id: `${path}-${index}` });
        if (path.startsWith("/chat")) expectWholeStream(answer);
    }
}

describe("engines that report their pace", () => {
    it("get fewer streams while they are slow", async () => {
        deployment = await Deployment.start({ engines: 3 });
        for (const [name, target] of deployment.targets) {
            target.behaviour = () => ({ kind: "stream", events: EVENTS });
            target.load = () => (name === "engines-0" ? "4,0,16,400" : "4,0,16,100");
        }
        await callInTurn("/chat/1", 60);
        expect(arrivalsAt("engines-0")).toBeLessThan(10);
        expect(arrivalsAt("engines-1")).toBeGreaterThan(15);
        expect(arrivalsAt("engines-2")).toBeGreaterThan(15);
    });

    it("get fewer streams if their first events are late, whatever pace they report", async () => {
        deployment = await Deployment.start({ engines: 3 });
        for (const [name, target] of deployment.targets) {
            const delayMs = name === "engines-0" ? 120 : 20;
            target.behaviour = () => ({ kind: "delayedStream", events: EVENTS, delayMs });
            target.load = () => "4,0,16,100";
        }
        await callInTurn("/chat/1", 90);
        expect(arrivalsAt("engines-0")).toBeLessThan(20);
        await vi.waitFor(() =>
            expect(deployment.linesOf("target speed changed")).toContainEqual(
                expect.objectContaining({ target: "engines-0", before: 1 }),
            ),
        );
    });
});

describe("targets of plain calls that report their pace", () => {
    it("get fewer calls while they are slow", async () => {
        deployment = await Deployment.start({ bookings: 3 });
        for (const [name, target] of deployment.targets) {
            target.load = () => (name === "bookings-0" ? "1,0,6,400" : "1,0,6,100");
        }
        await callInTurn("/check/1", 60);
        expect(arrivalsAt("bookings-0")).toBeLessThan(10);
        expect(arrivalsAt("bookings-1")).toBeGreaterThan(15);
        expect(arrivalsAt("bookings-2")).toBeGreaterThan(15);
    });
});
