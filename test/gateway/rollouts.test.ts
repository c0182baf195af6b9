/** Roll-outs: a bad version must get a small share of the requests only, and must not be kept. */
import { afterEach, describe, expect, it, vi } from "vitest";
import { Rollouts, type TrialLimits } from "../../src/gateway/rollouts.js";
import type { Target } from "../../src/gateway/target.js";
import { pause } from "../../src/model/pause.js";
import { CONFIGURATION, Deployment } from "./harness.js";

const GATEWAYS = 2;
const DURATION_SECONDS = 3;

let deployment: Deployment | undefined;

afterEach(async () => {
    await deployment?.close();
    deployment = undefined;
});

function targetOf(name: string, version: string): Target {
    const registration = { service: "engines", version, address: `${name}:1` };
    return { name, registration } as Target;
}

const oldTargets = Array.from({ length: 15 }, (_, index) => targetOf(`old-${index}`, "v1"));
const newTargets = Array.from({ length: 8 }, (_, index) => targetOf(`new-${index}`, "v2"));
const all = [...oldTargets, ...newTargets];

/** Limits of all gateways together, and the most that one of two gateways may send of a thousand attempts. */
const LIMITS: TrialLimits = { share: 0.1, allowance: 50 };
const MOST = 1_000 * LIMITS.share + LIMITS.allowance / GATEWAYS;

const shares: readonly {
    readonly case: string;
    readonly state: "inProgress" | "completed" | "reverted" | undefined;
    readonly candidates: readonly Target[];
    readonly eligible: readonly Target[];
    /** Bounds on the new version's attempts among a thousand. */
    readonly least: number;
    readonly most: number;
}[] = [
    { case: "requested", state: undefined, candidates: all, eligible: all, least: 60, most: MOST },
    { case: "in progress", state: "inProgress", candidates: all, eligible: all, least: 60, most: MOST },
    { case: "completed", state: "completed", candidates: all, eligible: all, least: 1_000, most: 1_000 },
    {
        case: "in progress while no old target can be used",
        state: "inProgress",
        candidates: newTargets,
        eligible: all,
        least: 0,
        most: MOST,
    },
    {
        case: "in progress without any old target",
        state: "inProgress",
        candidates: newTargets,
        eligible: newTargets,
        least: 1_000,
        most: 1_000,
    },
];

describe("the new version's share of attempts", () => {
    it.each(shares)("is bounded while the roll-out is $case", ({ state, candidates, eligible, least, most }) => {
        const rollouts = Rollouts.create(LIMITS, () => GATEWAYS);
        rollouts.put({ service: "engines", version: "v2", durationMs: 1_000, state, revision: 1 });
        const used = new Set<string>();
        let newAttempts = 0;
        for (let attempt = 0; attempt < 1_000; attempt += 1) {
            const allowed = rollouts.allowed("engines", candidates, () => eligible);
            const target = allowed[attempt % Math.max(1, allowed.length)];
            if (target === undefined) continue;
            rollouts.recordSent(target);
            if (target.registration.version !== "v2") continue;
            newAttempts += 1;
            used.add(target.name);
        }
        expect(newAttempts).toBeGreaterThanOrEqual(least);
        expect(newAttempts).toBeLessThanOrEqual(most);
        // A trial loads few targets, each about as much as an old one.
        if (most < 1_000) expect(used.size).toBeLessThanOrEqual(1);
    });

    it("loads a trial target like an old one while the allowance lasts, also where few attempts are made", () => {
        const rollouts = Rollouts.create(LIMITS, () => GATEWAYS);
        rollouts.put({ service: "engines", version: "v2", durationMs: 1_000, state: undefined, revision: 1 });
        const few = [...oldTargets.slice(0, 6), ...newTargets.slice(0, 3)];
        let newAttempts = 0;
        for (let attempt = 0; attempt < 60; attempt += 1) {
            const allowed = rollouts.allowed("engines", few, () => few);
            const target = allowed[attempt % allowed.length];
            if (target !== undefined) rollouts.recordSent(target);
            newAttempts += Number(target?.registration.version === "v2");
        }
        // The attempts are shared by six old targets and the trial target.
        expect(newAttempts).toBeGreaterThanOrEqual(Math.floor(60 / 7));
        expect(newAttempts).toBeLessThanOrEqual(60 * LIMITS.share + LIMITS.allowance / GATEWAYS);
    });

    it("is zero once the version was stopped, before the stored state says so", () => {
        const rollouts = Rollouts.create(LIMITS, () => GATEWAYS);
        const rollout = { service: "engines", version: "v2", durationMs: 1_000, state: undefined, revision: 1 };
        rollouts.put(rollout);
        rollouts.stop(rollout);
        for (let attempt = 0; attempt < 100; attempt += 1) {
            const allowed = rollouts.allowed("engines", all, () => all);
            expect(allowed).toEqual(oldTargets);
            rollouts.recordSent(oldTargets[0] ?? targetOf("none", "v1"));
        }
        // Operators may request the same version again.
        rollouts.remove("engines");
        rollouts.put(rollout);
        const tried = Array.from({ length: 100 }, () => {
            const [target] = rollouts.allowed("engines", all, () => all);
            if (target !== undefined) rollouts.recordSent(target);
            return target?.registration.version;
        });
        expect(tried).toContain("v2");
    });
});

describe("a gateway that starts", () => {
    it("takes no requests before it knows which versions were rolled back", async () => {
        deployment = await Deployment.start({ engines: 1 });
        deployment.platform.put(
            "rollouts",
            "engines",
            { Service: "engines", Target: "v1", DurationS: 1 },
            { State: "reverted", Target: "v1" },
        );
        deployment.platform.refusedKinds.add("rollouts");
        await deployment.addGateway("gateway-late");
        await pause(500);
        expect(await deployment.isReady(1)).toBe(false);
        expect((await deployment.call({ path: "/draft/1", id: "early" }, 1)).status).toBe(503);
        deployment.platform.refusedKinds.clear();
        await vi.waitFor(async () => expect(await deployment?.isReady(1)).toBe(true), 5_000);
        expect((await deployment.call({ path: "/draft/1" }, 1)).status).toBe(503);
        expect(deployment.target("engines-0").arrivals).toEqual([]);
    });
});

/** Sends requests in turn to the gateways until the stored state is decided. */
async function rollOut(
    behaviourOfNew: (id: string) => number,
): Promise<{ state: unknown; newArrivals: number; sent: number }> {
    deployment = await Deployment.start({ engines: 3 }, GATEWAYS, CONFIGURATION);
    const running = deployment;
    for (const target of running.targets.values()) target.behaviour = () => ({ kind: "stream", events: 2 });
    running.platform.put("rollouts", "engines", { Service: "engines", Target: "v2", DurationS: DURATION_SECONDS });
    await vi.waitFor(() => expect(running.linesOf("rollout")).toHaveLength(GATEWAYS));
    for (const id of ["engines-8", "engines-9"]) {
        const target = await running.addTarget("engines", id, { Version: "v2" });
        target.behaviour = arrival => {
            const delayMs = behaviourOfNew(arrival.id);
            if (delayMs < 0) return { kind: "answer", status: 500 };
            return { kind: "delayedStream", events: 2, delayMs };
        };
    }
    const isDecided = (): boolean =>
        ["completed", "reverted"].includes(
            (running.platform.status("rollouts", "engines") as { State?: string } | undefined)?.State ?? "",
        );
    const open: Promise<unknown>[] = [];
    let sent = 0;
    const end = performance.now() + 4 * DURATION_SECONDS * 1_000;
    while (!isDecided() && performance.now() < end) {
        open.push(running.call({ path: "/draft/1", id: `request-${sent}` }, sent % GATEWAYS));
        sent += 1;
        await pause(5);
    }
    await Promise.all(open);
    const newArrivals = [...running.targets]
        .filter(([id]) => id === "engines-8" || id === "engines-9")
        .reduce((sum, [, target]) => sum + target.arrivals.length, 0);
    const { State } = running.platform.status("rollouts", "engines") as { State: unknown };
    return { state: State, newArrivals, sent };
}

describe("a roll-out", () => {
    it.each([
        { case: "of a version that answers many times slower", behaviour: () => 400, state: "reverted" },
        { case: "of a version that fails", behaviour: () => -1, state: "reverted" },
        { case: "of a good version", behaviour: () => 0, state: "completed" },
    ])("$case is $state, and the version gets a small share until then", async ({ behaviour, state }) => {
        const result = await rollOut(behaviour);
        expect(result.state).toBe(state);
        expect(result.newArrivals).toBeLessThan(result.sent * LIMITS.share + LIMITS.allowance);
        if (state === "completed") return;
        // A version that was rolled back gets nothing.
        await vi.waitFor(() => {
            const reverted = deployment?.linesOf("rollout").filter(line => line.state === "reverted");
            expect(reverted).toHaveLength(GATEWAYS);
        });
        const arrivals = (): number =>
            ["engines-8", "engines-9"].reduce((sum, id) => sum + (deployment?.target(id).arrivals.length ?? 0), 0);
        const before = arrivals();
        for (let index = 0; index < 60; index += 1) {
            await deployment?.call({ path: "/draft/1", id: `after-${index}` }, index % GATEWAYS);
        }
        expect(arrivals()).toBe(before);
    });
});
