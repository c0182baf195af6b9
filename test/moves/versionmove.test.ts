/**
 * Version moves promote good versions, stop the traffic of bad ones within seconds, and end with exactly one result.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createRandom } from "../../src/bench/random.js";
import { type Answer, type AnswerFunction, Fleet } from "./harness.js";

let fleet: Fleet;
let random: () => number;

beforeEach(async () => {
    vi.useFakeTimers();
    random = createRandom(7);
    fleet = await Fleet.start();
    const value = { service: "generate", stable: "v1" };
    await fleet.change("operator", { kind: "traffic", name: "generate", value });
});

afterEach(() => {
    fleet.end();
    vi.useRealTimers();
});

function answer(failureRate: number, slowness = 1): Answer {
    return { failed: random() < failureRate, milliseconds: slowness * (20 - 10 * Math.log(1 - random())) };
}

/** v1 fails 0.3% of the requests throughout; `candidate` answers for v2. */
function withCandidate(candidate: AnswerFunction): AnswerFunction {
    return request => (request.version === "v1" ? answer(0.003) : candidate(request));
}

async function declareVersion(doneBy?: number, share?: number): Promise<void> {
    const outcome = fleet.declareVersion("v2", doneBy, share);
    await fleet.advance(50);
    expect(await outcome).toMatchObject({ kind: "declared" });
}

function traffic() {
    return fleet.firstAlive.holder.current.find("traffic", "generate");
}

function expectOneResult(kind: "done" | "takenBack", late = false): void {
    expect(fleet.move().result).toMatchObject({ kind, late });
    expect([...fleet.results.values()].map(seen => seen.size)).toEqual([1]);
    expect(traffic()).toEqual({ service: "generate", stable: kind === "done" ? "v2" : "v1" });
    expect(fleet.maximumExcess).toBeLessThanOrEqual(1 + 1e-6);
}

describe("a version move", () => {
    const cases: readonly { what: string; candidate: AnswerFunction; kind: "done" | "takenBack"; reason: RegExp }[] = [
        { what: "good", candidate: () => answer(0.003), kind: "done", reason: /every step passed/ },
        {
            what: "bad at once",
            candidate: () => answer(0.3),
            kind: "takenBack",
            reason: /fails at 5%: .* of .* answers failed, the stable version/,
        },
        {
            what: "bad after 25 s",
            candidate: ({ second }) => answer(second > 25 ? 0.3 : 0.003),
            kind: "takenBack",
            reason: /answers failed/,
        },
        {
            what: "bad on one route only",
            candidate: ({ route }) => answer(route === "small" ? 0.3 : 0.003),
            kind: "takenBack",
            reason: /answers failed/,
        },
        {
            what: "slow at once",
            candidate: () => answer(0.003, 3),
            kind: "takenBack",
            reason: /answers above the stable version's 95th percentile/,
        },
        {
            what: "slow only under load",
            candidate: ({ share }) => answer(0.003, share >= 0.5 ? 3 : 1),
            kind: "takenBack",
            reason: /fails at (50|100)%: .* answers above the stable version's 95th percentile/,
        },
    ];

    it.each(cases)("with a version that is $what ends as $kind", async ({ candidate, kind, reason }) => {
        fleet.startTraffic(withCandidate(candidate));
        await declareVersion();
        await fleet.advance(62_000);
        expectOneResult(kind);
        expect(fleet.move().result?.reason).toMatch(reason);
        if (kind === "takenBack") expect(fleet.lastCandidateAt - (fleet.stoppedAt ?? 0)).toBeLessThan(5_000);
    });

    it("stops a bad version at all entries although the store is down, so that it gets nothing after 5 s", async () => {
        let bad = false;
        fleet.startTraffic(withCandidate(() => answer(bad ? 0.3 : 0.003)));
        await declareVersion();
        await fleet.advance(5_000);
        fleet.store.setOutage(true);
        bad = true;
        await fleet.advance(30_000);
        expect(traffic()?.candidate?.version).toBe("v2");
        expect(fleet.stoppedAt).toBeDefined();
        expect(fleet.lastCandidateAt - (fleet.stoppedAt ?? 0)).toBeLessThan(1_000);
        fleet.store.setOutage(false);
        await fleet.advance(20_000);
        expectOneResult("takenBack");
        expect(fleet.move().result?.reason).toMatch(/answers failed/);
    });

    it("is rolled back at once when any entry stops the version, whatever the evidence of all entries together is", async () => {
        fleet.startTraffic(withCandidate(() => answer(0)));
        await declareVersion();
        await fleet.advance(2_000);
        const holder = fleet.controllingEntry();
        fleet.entries.find(entry => entry !== holder)?.trials.stop("generate", "v2", "route small: seen here");
        await fleet.advance(1_000);
        expectOneResult("takenBack");
        expect(fleet.move().result?.reason).toBe("version v2 fails at 5%: route small: seen here");
    });

    it("does not count a fault that affects both versions against the candidate", async () => {
        let failing = false;
        fleet.startTraffic(() => answer(failing ? 0.2 : 0.003));
        failing = true;
        await declareVersion(120_000);
        await fleet.advance(122_000);
        expectOneResult("done");
    });

    it.each([
        { what: "no traffic", traffic: false },
        { what: "traffic for a hundredth of the time", traffic: true },
    ])("with $what is rolled back for lack of evidence", async ({ traffic: some }) => {
        if (some) fleet.startTraffic(withCandidate(() => answer(0)));
        await declareVersion(60_000);
        await fleet.advance(600);
        for (const { versions } of fleet.entries) versions.stop("generate", "v2");
        await fleet.advance(61_000);
        expectOneResult("takenBack");
        expect(fleet.move().result?.reason).toMatch(/^not enough evidence: \d+ answers at 5%/);
    });

    it.each([0.01, 0.2])("keeps the candidate's first share at %s", async share => {
        fleet.startTraffic(withCandidate(() => answer(0)));
        await declareVersion(300_000, share);
        await fleet.advance(5_000);
        expect(traffic()?.candidate).toEqual({ version: "v2", fraction: share });
        await fleet.advance(100);
        expect(fleet.maximumExcess).toBeLessThanOrEqual(1 + 1e-6);
    });

    it("can be declared again for a version that was stopped", async () => {
        let rate = 0.3;
        fleet.startTraffic(withCandidate(() => answer(rate)));
        await declareVersion();
        await fleet.advance(20_000);
        expect(fleet.move().result).toMatchObject({ kind: "takenBack" });
        rate = 0;
        await declareVersion();
        await fleet.advance(62_000);
        expect(fleet.move()).toMatchObject({ number: 2, result: { kind: "done" } });
    });
});

describe("a version move has one result", () => {
    const times = [20, 60, 3_000, 14_000, 30_000];
    const cases = times.flatMap(at => [
        { at, kind: "done" as const, rate: 0.003 },
        { at, kind: "takenBack" as const, rate: 0.3 },
    ]);

    async function runWithFault(at: number, rate: number, fault: () => void): Promise<void> {
        const from = rate < 0.1 ? 0 : 35;
        fleet.startTraffic(withCandidate(({ second }) => answer(second > from ? rate : 0.003)));
        await declareVersion(90_000);
        await fleet.advance(Math.max(0, at - 50));
        fault();
        await fleet.advance(100_000);
    }

    it.each(cases)("when its controller dies after $at ms: $kind", async ({ at, kind, rate }) => {
        await runWithFault(at, rate, () => fleet.kill(fleet.controllingEntry()));
        expectOneResult(kind);
    });

    it.each(cases)("when its controller is paused past its lease after $at ms: $kind", async ({ at, kind, rate }) => {
        await runWithFault(at, rate, () => {
            const { client } = fleet.controllingEntry();
            client.pause();
            setTimeout(() => client.continue(), 8_000);
        });
        expectOneResult(kind);
    });

    it.each(cases)("when answers of the store are lost after $at ms: $kind", async ({ at, kind, rate }) => {
        await runWithFault(at, rate, () => {
            fleet.store.loseWriteAnswers(5, true);
            setTimeout(() => fleet.store.loseWriteAnswers(5, false), 500);
        });
        expectOneResult(kind);
    });

    it("recorded as late, when the store is down past the deadline", async () => {
        await runWithFault(30_000, 0.003, () => {
            fleet.store.setOutage(true);
            setTimeout(() => fleet.store.setOutage(false), 70_000);
        });
        await fleet.advance(10_000);
        expectOneResult("takenBack", true);
    });
});
