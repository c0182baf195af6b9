/** A stage queue with scripted targets that fail, are slow or have no memory left, on a paused clock. */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { StageCapacity } from "../../src/gateway/configuration.js";
import { type Target, TargetDirectory } from "../../src/gateway/target.js";
import { pause, withTimeout } from "../../src/model/pause.js";
import type { CallOutcome, PieceJob, PieceResult } from "../../src/stages/index.js";
import { MAXIMUM_RETRY_BURST, RETRIES_PER_PIECE, StageQueue } from "../../src/stages/queue.js";
import { piecesOf, SERVICE } from "./pieces.js";

const CAPACITY: StageCapacity = {
    slots: 1,
    batch: 4,
    callMs: 20,
    pieceMs: 1,
    memoryBytes: 1_000_000,
    resultLifetimeMs: 4_000,
};

/** Step in milliseconds by which the clock advances while a test waits. */
const STEP_MS = 5;

/** Longest time in milliseconds that a test waits for a result. */
const LONGEST_WAIT_MS = 60_000;

beforeEach(() => vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout", "performance"] }));
afterEach(() => vi.useRealTimers());

/** A target whose behaviour the test sets. */
class ScriptedTarget {
    /** Number of pieces in each call. */
    readonly callSizes: number[] = [];
    /** Duration of a call in milliseconds. */
    callMs = 20;
    /** Time in milliseconds after which connecting fails; undefined while the target can be reached. */
    unreachableAfterMs: number | undefined;
    /** Why the pieces of a call are not made, by number of the call. */
    reasonOf: (call: number) => "error" | "noRoom" | undefined = () => undefined;
    private madeCount = 0;

    constructor(
        readonly id: string,
        readonly address: string,
    ) {}

    get pieces(): number {
        return this.callSizes.reduce((sum, size) => sum + size, 0);
    }

    async call(pieces: readonly PieceJob[], timeoutMs: number, onSent: () => void): Promise<CallOutcome> {
        if (this.unreachableAfterMs !== undefined) {
            await pause(this.unreachableAfterMs);
            return { kind: "notSent", reason: "connection timed out" };
        }
        onSent();
        this.callSizes.push(pieces.length);
        const reason = this.reasonOf(this.callSizes.length);
        if ((await withTimeout(pause(this.callMs), timeoutMs, "late")) === "late") {
            return { kind: "gaveUp", reason: "no answer in time" };
        }
        const answers = pieces.map(() => {
            if (reason === "error") return { kind: "failed", reason } as const;
            if (reason === "noRoom") return { kind: "noRoom" } as const;
            this.madeCount += 1;
            return { kind: "made", handle: `${this.address}/${this.madeCount}` } as const;
        });
        return { kind: "answered", answers };
    }
}

/** The targets of one service, by name. */
class TargetFleet {
    readonly directory = TargetDirectory.create(
        () => undefined,
        () => 1,
    );
    /** Handles in the order of the release calls. */
    readonly released: string[] = [];
    /** Inputs that the queue reported as read and no longer needed. */
    readonly inputsRead: string[] = [];
    private readonly targets = new Map<string, ScriptedTarget>();

    add(id: string): ScriptedTarget {
        const target = new ScriptedTarget(id, `${id}:1`);
        this.targets.set(id, target);
        register(this.directory, target, 1);
        return target;
    }

    call(
        target: Target,
        pieces: readonly PieceJob[],
        timeoutMs: number,
        onSent: () => void = () => undefined,
    ): Promise<CallOutcome> {
        const scripted = this.targets.get(target.registration.id);
        if (scripted === undefined) throw new Error(`no target ${target.registration.id}`);
        return scripted.call(pieces, timeoutMs, onSent);
    }
}

/** Advances the clock until a promise settles. */
async function settle<Value>(promise: Promise<Value>): Promise<Value> {
    let pending = true;
    void promise.finally(() => (pending = false));
    const latest = performance.now() + LONGEST_WAIT_MS;
    while (pending && performance.now() < latest) await vi.advanceTimersByTimeAsync(STEP_MS);
    expect(pending).toBe(false);
    return promise;
}

function register(targets: TargetDirectory, { id, address }: ScriptedTarget, incarnation: number): void {
    targets.put({
        id,
        incarnation,
        service: SERVICE,
        address,
        zone: "east",
        version: "v1",
        slots: 1,
        state: "available",
        coldRemainingMs: 0,
    });
}

function queueOf(fleet: TargetFleet, onHolderAsked: () => void = () => undefined): StageQueue {
    return StageQueue.create(SERVICE, {
        targets: fleet.directory,
        callForPieces: (...call) => fleet.call(...call),
        releaseResults: (_, handles) => {
            fleet.released.push(...handles);
            return Promise.resolve(undefined);
        },
        holderOf: handle => {
            onHolderAsked();
            return fleet.directory.findByAddress(handle.split("/")[0] ?? "");
        },
        capacity: () => CAPACITY,
        onInputsRead: handles => void fleet.inputsRead.push(...handles),
        onDecision: () => undefined,
    });
}

function make(queue: StageQueue, pieces: readonly PieceJob[]): Promise<readonly PieceResult[]> {
    return queue.make(pieces, new AbortController().signal);
}

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
        expect(target.pieces).toBeLessThanOrEqual(pieces + MAXIMUM_RETRY_BURST + pieces * RETRIES_PER_PIECE);
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
