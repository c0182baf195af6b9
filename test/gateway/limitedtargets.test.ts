/**
 * A target that names a limit gets more than it allows when gateways do not read the limit, or when each of them uses all
 * of it. The bound is what is allowed in any four seconds to all gateways together.
 */
import { afterEach, describe, expect, it } from "vitest";
import { pause } from "../../src/model/pause.js";
import { type CallAnswer, Deployment } from "./harness.js";

const WINDOW_MS = 4_000;
/** Time in milliseconds after the limit was first named from which it holds. */
const SETTLING_MS = 1_000;

function allowedInWindow(limitPerSecond: number): number {
    return (1.5 * limitPerSecond * WINDOW_MS) / 1_000 + 5;
}

let deployment: Deployment;

afterEach(() => deployment.close());

function mostInWindow(id: string, from: number): number {
    const times = deployment
        .target(id)
        .arrivals.map(({ at }) => at)
        .filter(at => at >= from);
    return Math.max(0, ...times.map(start => times.filter(at => at >= start && at < start + WINDOW_MS).length));
}

/** Sends requests at a steady rate, in turn to each gateway. */
async function sendFor(milliseconds: number, perSecond: number, gateways: number): Promise<readonly CallAnswer[]> {
    const answers: Promise<CallAnswer>[] = [];
    const startedAt = performance.now();
    for (let index = 0; performance.now() - startedAt < milliseconds; index += 1) {
        answers.push(deployment.call({ id: `request-${index}`, path: "/chat/1", body: "b" }, index % gateways));
        await pause(Math.max(0, startedAt + ((index + 1) * 1_000) / perSecond - performance.now()));
    }
    return Promise.all(answers);
}

describe("a limit that a target names", () => {
    it.each([
        { gateways: 3, limit: 1 },
        { gateways: 3, limit: 2.5 },
        { gateways: 8, limit: 1 },
    ])("of $limit a second is kept by $gateways gateways together", async ({ gateways, limit }) => {
        deployment = await Deployment.start({ engines: 4 }, gateways);
        for (const target of deployment.targets.values()) target.behaviour = () => ({ kind: "stream", events: 2 });
        for (const id of ["engines-0", "engines-1"]) deployment.target(id).limitPerSecond = limit;
        const startedAt = performance.now();
        const answers = await sendFor(SETTLING_MS + WINDOW_MS + 1_000, 32, gateways);
        for (const id of ["engines-0", "engines-1"]) {
            expect(mostInWindow(id, startedAt + SETTLING_MS)).toBeLessThanOrEqual(allowedInWindow(limit));
        }
        expect(answers.every(({ status, complete }) => status === 200 && complete)).toBe(true);
    });

    it("of all targets leads to refusals at once, with the time at which there is room", async () => {
        deployment = await Deployment.start({ engines: 2 }, 1);
        for (const target of deployment.targets.values()) {
            target.behaviour = () => ({ kind: "stream", events: 2 });
            target.limitPerSecond = 1;
        }
        const startedAt = performance.now();
        const answers = await sendFor(SETTLING_MS + WINDOW_MS, 20, 1);
        for (const id of ["engines-0", "engines-1"]) {
            expect(mostInWindow(id, startedAt + SETTLING_MS)).toBeLessThanOrEqual(allowedInWindow(1));
        }
        const refused = answers.filter(({ status }) => status === 503);
        expect(refused.length).toBeGreaterThan(answers.length / 2);
        expect(refused.every(({ headers }) => Number(headers["retry-after"]) > 0)).toBe(true);
        expect(answers.every(({ status }) => status === 200 || status === 503)).toBe(true);
    });

    it("is no longer kept once the target does not name it", async () => {
        deployment = await Deployment.start({ engines: 1 }, 2);
        const target = deployment.target("engines-0");
        target.behaviour = () => ({ kind: "stream", events: 2 });
        target.limitPerSecond = 2;
        await sendFor(1_000, 10, 2);
        target.limitPerSecond = undefined;
        await sendFor(1_500, 10, 2);
        const answers = await sendFor(1_000, 10, 2);
        expect(answers.filter(({ status }) => status === 200)).toHaveLength(answers.length);
    });
});
