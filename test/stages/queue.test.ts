/** A stage queue with scripted targets that fail, are slow or have no memory left, on a paused clock. */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { pause } from "../../src/model/pause.js";
import type { PieceJob, PieceResult } from "../../src/stages/index.js";
import { RETRY_ALLOWANCE, RETRIES_PER_PIECE, type StageQueue } from "../../src/stages/queue.js";
import { make, queueOf, register, settle, STEP_MS, TargetFleet } from "./fleet.js";
import { piecesOf } from "./pieces.js";

beforeEach(() => vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout", "performance"] }));
afterEach(() => vi.useRealTimers());

/** Makes the pieces of one request and releases the results at once. */
async function makeOne(
    queue: StageQueue,
    count: number,
    id: string,
    targetMs?: number,
): Promise<readonly PieceResult[]> {
    const results = await make(queue, piecesOf(id, count, { targetMs }));
    queue.release(results.flatMap(result => (result.kind === "made" ? [result.handle] : [])));
    return results;
}

describe("pieces that a target does not make", () => {
    it.each<[string, "error" | "noRoom"]>([
        ["sometimes fail, over many requests", "error"],
        ["sometimes find no memory, over many requests", "noRoom"],
    ])("are retried when they %s", async (_, reason) => {
        const fleet = new TargetFleet();
        fleet.add("a").reasonOf = call => (call % 8 === 1 ? reason : undefined);
        const queue = queueOf(fleet);
        const lost: PieceResult[] = [];
        for (let request = 0; request < 60; request += 1) {
            const results = await settle(makeOne(queue, 4, `r${request}`));
            lost.push(...results.filter(({ kind }) => kind === "lost"));
        }
        expect(lost).toEqual([]);
    });

    it("are made once results unknown to the queue have expired", async () => {
        const fleet = new TargetFleet();
        const target = fleet.add("a");
        const start = performance.now();
        target.reasonOf = () => (performance.now() - start < 600 ? "noRoom" : undefined);
        const large = piecesOf("r", 4, { resultBytes: 200_000 });
        const results = await settle(make(queueOf(fleet), large));
        expect(results.map(({ kind }) => kind)).toEqual(["made", "made", "made", "made"]);
        // One call at once, one too early, and one for each piece.
        expect(target.callSizes.length).toBeLessThanOrEqual(6);
    });

    it("are made by a restarted target, which holds no earlier results", async () => {
        const fleet = new TargetFleet();
        const target = fleet.add("a");
        const queue = queueOf(fleet);
        const large = (id: string): readonly PieceJob[] => piecesOf(id, 4, { resultBytes: 200_000 });
        // The target keeps these results until they expire, as nobody releases them.
        await settle(make(queue, large("before")));
        register(fleet.directory, target, 2);
        const results = await settle(make(queue, large("after")));
        expect(results.map(({ kind }) => kind)).toEqual(["made", "made", "made", "made"]);
    });

    it("are given up when most calls fail", async () => {
        const fleet = new TargetFleet();
        const target = fleet.add("a");
        target.reasonOf = () => "error";
        const queue = queueOf(fleet);
        const pieces = 60 * 4;
        for (let request = 0; request < 60; request += 1) await settle(makeOne(queue, 4, `r${request}`));
        expect(target.pieces).toBeGreaterThan(pieces);
        expect(target.pieces).toBeLessThanOrEqual(pieces + RETRY_ALLOWANCE + pieces * RETRIES_PER_PIECE);
    });
});

/** A budget that only pieces refill leaves a service with few requests without retries for minutes after a trouble. */
describe("pieces after the retries of their service were used up", () => {
    it("are made with another call when theirs fails, once a window has passed", async () => {
        const fleet = new TargetFleet();
        const failing = fleet.add("a");
        failing.reasonOf = () => "error";
        const queue = queueOf(fleet);
        for (let request = 0; request < 40; request += 1) await settle(makeOne(queue, 4, `r${request}`));
        await settle(pause(11_000));
        const callsBefore = failing.callSizes.length;
        failing.reasonOf = call => (call > callsBefore + 1 ? undefined : "error");
        const results = await settle(makeOne(queue, 4, "later"));
        expect(results.map(({ kind }) => kind)).toEqual(["made", "made", "made", "made"]);
    });
});

describe("a target that is slower than configured", () => {
    /** Sends requests at a rate that one fast target can serve, with a request waiting from time to time. */
    async function load(queue: StageQueue, requests: number): Promise<void> {
        const made: Promise<unknown>[] = [];
        for (let request = 0; request < requests; request += 1) {
            made.push(makeOne(queue, 3, `r${request}`, 120));
            await vi.advanceTimersByTimeAsync(25);
        }
        await settle(Promise.all(made));
    }

    it.each<[string, number]>([
        ["answers late", 350],
        ["answers after the call timeout", 500],
        ["no longer answers", 60_000],
    ])("and %s gets single pieces only, from time to time", async (_, callMs) => {
        const fleet = new TargetFleet();
        const slow = fleet.add("a");
        const fast = fleet.add("b");
        const queue = queueOf(fleet);
        slow.callMs = callMs;
        // The fast target takes slightly longer than configured, so that pieces wait.
        fast.callMs = 27;
        // The first calls measure the slowness.
        await load(queue, 20);
        const before = slow.callSizes.length;
        await load(queue, 400);
        const later = slow.callSizes.slice(before);
        expect(Math.max(...later)).toBe(1);
        expect(later.length).toBeLessThanOrEqual(8);
    });

    it("and has not answered gets at most one piece in a call, even if all pieces can wait", async () => {
        const fleet = new TargetFleet();
        const unresponsive = fleet.add("a");
        unresponsive.callMs = 60_000;
        const queue = queueOf(fleet);
        const patient = (id: string): Promise<unknown> =>
            make(queue, piecesOf(id, 4, { targetMs: 20_000, deadlineMs: 30_000 }));
        void patient("first");
        expect(unresponsive.callSizes).toEqual([4]);
        const fast = fleet.add("b");
        // The first call times out, and its pieces are made elsewhere.
        for (let step = 0; step < 400 && fast.pieces === 0; step += 1) await vi.advanceTimersByTimeAsync(STEP_MS);
        expect(fast.pieces).toBeGreaterThan(0);
        for (let request = 0; request < 10; request += 1) void patient(`r${request}`);
        await vi.advanceTimersByTimeAsync(400);
        expect(Math.max(0, ...unresponsive.callSizes.slice(1))).toBeLessThanOrEqual(1);
    });

    it("is used again once it is fast again", async () => {
        const fleet = new TargetFleet();
        const slow = fleet.add("a");
        fleet.add("b");
        const queue = queueOf(fleet);
        slow.callMs = 350;
        await load(queue, 30);
        slow.callMs = 20;
        await load(queue, 160);
        const before = slow.pieces;
        await settle(Promise.all(Array.from({ length: 20 }, (_unused, index) => makeOne(queue, 2, `s${index}`))));
        expect(slow.pieces - before).toBeGreaterThan(10);
    });

    it("still serves if there is no other target", async () => {
        const fleet = new TargetFleet();
        fleet.add("a").callMs = 200;
        const queue = queueOf(fleet);
        for (let request = 0; request < 6; request += 1) {
            const results = await settle(makeOne(queue, 2, `r${request}`));
            expect(results.map(({ kind }) => kind)).toEqual(["made", "made"]);
        }
    });
});

describe("pieces that wait", () => {
    it("have their bytes between zones computed once for each zone and stage of a request", async () => {
        const fleet = new TargetFleet();
        fleet.add("a");
        fleet.add("b");
        let asked = 0;
        const queue = queueOf(fleet, () => (asked += 1));
        const inputs = ["c:1/1", "c:1/2"];
        const requests = Array.from({ length: 30 }, (_, index) =>
            make(queue, piecesOf(`r${index}`, 4, { targetMs: 20_000, deadlineMs: 30_000, inputs, isLastUse: false })),
        );
        await settle(Promise.all(requests));
        expect(asked).toBeLessThanOrEqual(requests.length * inputs.length);
    });
});

describe("results that calls in progress have read", () => {
    it.each<[string, number, number]>([
        ["kept by a holder with free memory", 1_000, 0],
        ["released early by a holder that is short of memory", 200_000, 4],
    ])("are %s, and released once in all", async (_, resultBytes, early) => {
        const fleet = new TargetFleet();
        fleet.add("a");
        const queue = queueOf(fleet);
        const results = await settle(make(queue, piecesOf("r", 4, { resultBytes })));
        const handles = results.flatMap(result => (result.kind === "made" ? [result.handle] : []));
        queue.releaseEarly(handles);
        await vi.advanceTimersByTimeAsync(100);
        expect(fleet.released).toHaveLength(early);
        queue.release(handles);
        await vi.advanceTimersByTimeAsync(100);
        expect([...fleet.released].sort()).toEqual([...handles].sort());
    });
});

describe("inputs of pieces", () => {
    it.each<[string, number | undefined, readonly string[]]>([
        ["count as read during a call", undefined, ["c:1/1"]],
        ["do not count as read by a target that cannot be reached", 300, []],
    ])("%s", async (_, unreachableAfterMs, expected) => {
        const fleet = new TargetFleet();
        const target = fleet.add("a");
        target.unreachableAfterMs = unreachableAfterMs;
        target.callMs = 300;
        const pieces = piecesOf("r", 4, { targetMs: 20_000, deadlineMs: 30_000, inputs: ["c:1/1"] });
        void make(queueOf(fleet), pieces);
        await vi.advanceTimersByTimeAsync(290);
        expect(fleet.inputsRead).toEqual(expected);
    });
});
