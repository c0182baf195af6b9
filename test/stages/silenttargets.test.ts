/**
 * Targets of a stage that do not answer a call in time: silent once, slow, or silent for good. A call that was given up at
 * its timeout lost pieces that the target made a moment later, and one silence took the target out of use.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { PieceResult } from "../../src/stages/index.js";
import { make, queueOf, type ScriptedTarget, settle, TargetFleet } from "./fleet.js";
import { piecesOf } from "./pieces.js";

beforeEach(() => vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout", "performance"] }));
afterEach(() => vi.useRealTimers());

/** Time in milliseconds for which a target is silent that does not answer at all. */
const FOR_GOOD_MS = 600_000;

const DEADLINE_MS = 15_000;

function patientPieces(id: string, count: number): ReturnType<typeof piecesOf> {
    return piecesOf(id, count, { targetMs: 10_000, deadlineMs: DEADLINE_MS });
}

function handlesOf(results: readonly PieceResult[]): readonly string[] {
    return results.flatMap(result => (result.kind === "made" ? [result.handle] : []));
}

function reasonsOf(results: readonly PieceResult[]): readonly string[] {
    return results.flatMap(result => (result.kind === "lost" ? [result.reason] : []));
}

describe("pieces whose target does not answer in time", () => {
    interface Case {
        readonly name: string;
        readonly prepare: (first: ScriptedTarget, second: ScriptedTarget) => void;
        readonly targets: 1 | 2;
        /** Bounds of the time in milliseconds after which the pieces have their results. */
        readonly from: number;
        readonly to: number;
        readonly lost?: string;
        /** Most calls to all targets together. */
        readonly calls: number;
    }

    const silent =
        (milliseconds: number, calls = 1) =>
        (...targets: readonly ScriptedTarget[]): void => {
            for (const target of targets) target.callMsOf = call => (call <= calls ? milliseconds : undefined);
        };
    const firstSilent =
        (milliseconds: number) =>
        (first: ScriptedTarget): void =>
            silent(milliseconds)(first);

    it.each<Case>([
        { name: "silent once", prepare: silent(1_200), targets: 1, from: 1_200, to: 1_210, calls: 1 },
        {
            name: "silent once, beside a fast one",
            prepare: firstSilent(1_200),
            targets: 2,
            from: 455,
            to: 500,
            calls: 2,
        },
        { name: "slow", prepare: silent(1_800, 10), targets: 1, from: 1_800, to: 1_810, calls: 1 },
        { name: "slow, beside a slow one", prepare: silent(1_800, 10), targets: 2, from: 1_800, to: 1_810, calls: 2 },
        {
            name: "dark, beside a fast one",
            prepare: firstSilent(FOR_GOOD_MS),
            targets: 2,
            from: 455,
            to: 500,
            calls: 2,
        },
        // The answer may be lost with its connection although the target works.
        {
            name: "without its first answer",
            prepare: firstSilent(FOR_GOOD_MS),
            targets: 1,
            from: 2_000,
            to: 2_050,
            calls: 2,
        },
        {
            name: "dark, beside a dark one",
            prepare: silent(FOR_GOOD_MS, 10),
            targets: 2,
            from: DEADLINE_MS,
            to: DEADLINE_MS + 50,
            lost: "late",
            calls: 6,
        },
        {
            name: "silent and then reset",
            prepare: first => {
                first.callMsOf = call => (call === 1 ? 700 : undefined);
                first.reasonOf = call => (call === 1 ? "reset" : undefined);
            },
            targets: 1,
            from: 700,
            to: 1_100,
            calls: 2,
        },
    ])("are settled as long as one may answer: $name, $targets targets", async testCase => {
        const { prepare, targets, from, to, lost, calls } = testCase;
        const fleet = new TargetFleet();
        const [first, second] = [fleet.add("a"), targets === 2 ? fleet.add("b") : undefined];
        prepare(first, second ?? first);
        const queue = queueOf(fleet);
        const startedAt = performance.now();
        const results = await settle(make(queue, patientPieces("r", 2)));
        const tookMs = performance.now() - startedAt;
        expect(reasonsOf(results)).toEqual(lost === undefined ? [] : [lost, lost]);
        expect(tookMs).toBeGreaterThanOrEqual(from);
        expect(tookMs).toBeLessThanOrEqual(to);
        expect(first.callSizes.length + (second?.callSizes.length ?? 0)).toBeLessThanOrEqual(calls);
        expect(queue.length).toBe(0);
    });

    it("have their later results released, and the first kept", async () => {
        const fleet = new TargetFleet();
        const [silentTarget, fast] = [fleet.add("a"), fleet.add("b")];
        silentTarget.callMs = 1_200;
        const results = await settle(make(queueOf(fleet), patientPieces("r", 2)));
        expect(handlesOf(results)).toEqual(fast.made);
        await vi.advanceTimersByTimeAsync(1_000);
        expect(silentTarget.made).toHaveLength(2);
        expect(fleet.released).toEqual(silentTarget.made);
        expect(fleet.decisions).toEqual(["stage call silent", "silent stage call answered"]);
    });

    it("are lost at once when their request is cancelled, and results that come later are released", async () => {
        const fleet = new TargetFleet();
        const target = fleet.add("a");
        target.callMs = 1_200;
        const abort = new AbortController();
        const results = queueOf(fleet).make(patientPieces("r", 2), abort.signal);
        await vi.advanceTimersByTimeAsync(600);
        abort.abort();
        expect(reasonsOf(await results)).toEqual(["cancelled", "cancelled"]);
        await vi.advanceTimersByTimeAsync(1_000);
        expect(fleet.released).toEqual(target.made);
        expect(fleet.released).toHaveLength(2);
    });

    // The first call has read the inputs, and they may have been released since.
    it.each([
        { callMs: 1_200, lost: [], tookMs: 1_200 },
        { callMs: FOR_GOOD_MS, lost: ["inputGone"], tookMs: 2_000 },
    ])("and are gone elsewhere wait for a sound target: $callMs ms", async ({ callMs, lost, tookMs }) => {
        const fleet = new TargetFleet();
        fleet.add("a").callMs = callMs;
        fleet.add("b").reasonOf = () => "inputGone";
        const startedAt = performance.now();
        const results = await settle(make(queueOf(fleet), patientPieces("r", 1)));
        expect(reasonsOf(results)).toEqual(lost);
        expect(performance.now() - startedAt).toBeLessThan(tookMs + 50);
    });

    it("are not given back while a call of them is in progress", async () => {
        const fleet = new TargetFleet();
        const target = fleet.add("a");
        target.callMs = 1_200;
        const queue = queueOf(fleet);
        const results = make(queue, patientPieces("r", 2));
        await vi.advanceTimersByTimeAsync(600);
        expect(queue.length).toBe(2);
        queue.giveBack();
        expect(queue.length).toBe(0);
        expect(handlesOf(await settle(results))).toEqual(target.made);
    });
});

describe("a call that waits behind a silent one", () => {
    it("is closed when its pieces are made elsewhere, so that its target does not make them", async () => {
        const fleet = new TargetFleet();
        const dark = fleet.add("a");
        dark.callMs = FOR_GOOD_MS;
        const queue = queueOf(fleet);
        const results = ["r", "s"].map(id => make(queue, patientPieces(id, 4)));
        // Without another target, the second call follows the first silent one.
        for (let waitedMs = 0; waitedMs < 1_500; waitedMs += 100) await vi.advanceTimersByTimeAsync(100);
        expect(dark.callSizes).toEqual([4, 4]);
        fleet.add("b");
        expect(reasonsOf((await settle(Promise.all(results))).flat())).toEqual([]);
        expect(dark.closedCalls).toBe(1);
    });
});

describe("a target that was silent once", () => {
    /** Sends requests at a rate that both targets together can serve. */
    async function load(queue: ReturnType<typeof queueOf>, requests: number): Promise<void> {
        const results: Promise<readonly PieceResult[]>[] = [];
        for (let request = 0; request < requests; request += 1) {
            const made = make(queue, piecesOf(`r${request}`, 6));
            void made.then(each => queue.release(handlesOf(each)));
            results.push(made);
            await vi.advanceTimersByTimeAsync(25);
        }
        expect(reasonsOf((await settle(Promise.all(results))).flat())).toEqual([]);
    }

    it.each<[string, number, number, number]>([
        ["gets at least its part again", 1, 0.8, Number.POSITIVE_INFINITY],
        ["gets few pieces if it remains slow", 1_000, 0, 0.1],
    ])("%s", async (_, silentCalls, least, most) => {
        const fleet = new TargetFleet();
        const [first, second] = [fleet.add("a"), fleet.add("b")];
        const queue = queueOf(fleet);
        first.callMsOf = call => (call <= silentCalls ? 1_200 : undefined);
        await load(queue, 100);
        const before = [first.pieces, second.pieces];
        await load(queue, 100);
        const [firstPieces = 0, secondPieces = 1] = [first, second].map(({ pieces }, at) => pieces - (before[at] ?? 0));
        expect(firstPieces / secondPieces).toBeGreaterThanOrEqual(least);
        expect(firstPieces / secondPieces).toBeLessThanOrEqual(most);
    });

    it("gets no other piece while the silence may still end", async () => {
        const fleet = new TargetFleet();
        const [first, second] = [fleet.add("a"), fleet.add("b")];
        second.callMs = 27;
        const queue = queueOf(fleet);
        first.callMsOf = call => (call === 1 ? 1_400 : undefined);
        for (let request = 0; request < 55; request += 1) {
            void make(queue, piecesOf(`r${request}`, 3));
            await vi.advanceTimersByTimeAsync(25);
        }
        expect(first.callSizes).toHaveLength(1);
    });
});
