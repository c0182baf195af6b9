/** Batching, ranking and admission of a stage service, in single cases and in replayed loads. */
import fastCheck from "fast-check";
import { afterAll, describe, expect, it, vi } from "vitest";
import { Deadline } from "../../src/model/index.js";
import {
    admit,
    crossZoneBytes,
    fillBatch,
    forecastMs,
    fullCallMs,
    type QueueCapacity,
    rankForTarget,
    shouldDrop,
    sortKeyOf,
    type WaitingPiece,
    waitsForCloserTarget,
} from "../../src/stages/batch.js";

// The tables take their times when the file is loaded, so the clock stands still from here on.
vi.useFakeTimers();

afterAll(() => {
    vi.useRealTimers();
});

const CAPACITY: QueueCapacity = { targets: 4, batch: 7, callMs: 200, pieceMs: 24 };
const CALL_MS = fullCallMs(CAPACITY);

/** A piece that is queued now; `targetMs` and `deadlineMs` are milliseconds from now. */
function piece(targetMs: number, deadlineMs: number, rest: Partial<WaitingPiece> = {}): WaitingPiece {
    const now = performance.now();
    return {
        requestId: "r",
        priority: 1,
        targetTime: Deadline.after(targetMs),
        deadline: Deadline.after(deadlineMs),
        resultBytes: 1_000,
        fetches: 1,
        inputs: [],
        zone: "east",
        begun: false,
        queuedAt: now,
        ...rest,
    };
}

function many(
    count: number,
    target: number,
    deadline: number,
    rest: Partial<WaitingPiece> = {},
): readonly WaitingPiece[] {
    return Array.from({ length: count }, (_, index) => piece(target, deadline, { requestId: `w${index}`, ...rest }));
}

describe("forecasts", () => {
    it.each<[string, number, number, QueueCapacity, number]>([
        ["nothing waits", 0, 1, CAPACITY, CALL_MS],
        ["what waits fits into the same call", 5, 1, CAPACITY, CALL_MS + CALL_MS / 8],
        ["one full call waits", 7, 1, CAPACITY, CALL_MS + CALL_MS / 8 + CALL_MS / 4],
        ["one target is left", 7, 1, { ...CAPACITY, targets: 1 }, 2.5 * CALL_MS],
        ["a request fills two calls", 0, 8, CAPACITY, CALL_MS + CALL_MS / 4],
        ["no target is left", 0, 1, { ...CAPACITY, targets: 0 }, Number.POSITIVE_INFINITY],
    ])("add up the calls that go before and the own call when %s", (_, ahead, own, capacity, expected) => {
        expect(forecastMs(ahead, own, capacity)).toBeCloseTo(expected);
    });

    it("do not shrink with more work ahead or fewer targets", () => {
        fastCheck.assert(
            fastCheck.property(
                fastCheck.nat(200),
                fastCheck.nat(50),
                fastCheck.integer({ min: 2, max: 8 }),
                (ahead, more, targets) => {
                    const few = forecastMs(ahead, 1, { ...CAPACITY, targets });
                    expect(forecastMs(ahead + more, 1, { ...CAPACITY, targets })).toBeGreaterThanOrEqual(few);
                    expect(forecastMs(ahead, 1, { ...CAPACITY, targets: targets - 1 })).toBeGreaterThanOrEqual(few);
                },
            ),
            { seed: 1 },
        );
    });
});

describe("admission", () => {
    const idle: readonly WaitingPiece[] = [];
    it.each<{ load: string; waiting: readonly WaitingPiece[]; own: WaitingPiece; kind: string }>([
        { load: "no load", waiting: idle, own: piece(800, 5_000), kind: "onTime" },
        { load: "a short queue", waiting: many(10, 700, 5_000), own: piece(1_000, 5_000), kind: "onTime" },
        {
            load: "a queue that leaves room for late work",
            waiting: many(10, 700, 5_000),
            own: piece(100, 5_000),
            kind: "late",
        },
        { load: "a long queue", waiting: many(100, 700, 5_000), own: piece(900, 5_000), kind: "refused" },
        { load: "a long queue of late work", waiting: many(100, 50, 5_000), own: piece(900, 5_000), kind: "onTime" },
        {
            load: "a long queue, with stages made before",
            waiting: many(60, 700, 9_000),
            own: piece(900, 5_000, { begun: true }),
            kind: "late",
        },
        {
            load: "a long queue of less urgent work",
            waiting: many(100, 700, 5_000, { priority: 3 }),
            own: piece(900, 5_000, { priority: 0 }),
            kind: "onTime",
        },
    ])("under $load: $kind", ({ waiting, own, kind }) => {
        expect(admit(waiting, [own], CAPACITY, performance.now()).kind).toBe(kind);
    });

    it("gives refused callers a retry time of at least one full call", () => {
        const admission = admit(many(100, 700, 5_000), [piece(900, 5_000)], CAPACITY, performance.now());
        expect(admission).toMatchObject({ kind: "refused" });
        if (admission.kind === "refused") expect(admission.retryAfterMs).toBeGreaterThanOrEqual(CALL_MS);
    });
});

describe("ranking and batching", () => {
    it("ranks pieces that can be on time before late ones, and urgent before less urgent ones", () => {
        const late = piece(10, 5_000, { requestId: "late" });
        const soon = piece(600, 5_000, { requestId: "soon" });
        const urgent = piece(900, 5_000, { requestId: "urgent", priority: 0 });
        const ordered = rankForTarget([late, soon, urgent], performance.now(), CALL_MS, () => 0);
        expect(ordered.map(({ piece: { requestId } }) => requestId)).toEqual(["urgent", "soon", "late"]);
    });

    it("keeps the pieces of one request together", () => {
        const deadlines = { targetTime: Deadline.after(900), deadline: Deadline.after(5_000) };
        const pieces = ["b", "a", "b", "a"].map(requestId => piece(0, 0, { requestId, ...deadlines }));
        const ordered = rankForTarget(pieces, performance.now(), CALL_MS, () => 0);
        expect(ordered.map(({ piece: { requestId } }) => requestId)).toEqual(["a", "a", "b", "b"]);
    });

    it("fills a call up to its largest size and the target's free memory", () => {
        const pieces = many(9, 900, 5_000, { resultBytes: 400 });
        const ordered = pieces.map((waiting, sortKey) => ({ piece: waiting, sortKey }));
        expect(fillBatch(ordered, 7, 10_000)).toHaveLength(7);
        expect(fillBatch(ordered, 7, 1_000)).toHaveLength(2);
    });

    it.each<[string, Partial<WaitingPiece>, number, number, number, boolean]>([
        ["has slack and can move fewer bytes", {}, 2_000, 300_000, 0, true],
        ["moves little", {}, 2_000, 10_000, 0, false],
        ["has no better target", {}, 2_000, 300_000, 300_000, false],
        ["would be late", {}, 400, 300_000, 0, false],
        ["has waited long", { queuedAt: -10_000 }, 2_000, 300_000, 0, false],
    ])(
        "decides whether a piece that %s is held back for the zone of its data",
        (_, rest, target, crossing, least, expected) => {
            const waiting = piece(target, 5_000, rest);
            expect(waitsForCloserTarget(waiting, performance.now(), CALL_MS, crossing, least)).toBe(expected);
        },
    );
});

/**
 * Replays requests of ten pieces that each fetch 240 kB from one of three zones, on five targets in these zones.
 * Returns the share of pieces that fetched from another zone and the share that was made on time.
 */
function replayZones(piecesPerCall: number): { readonly crossed: number; readonly onTime: number } {
    const capacity = { targets: 5, batch: 30, callMs: 200, pieceMs: 6 };
    const callMs = fullCallMs(capacity);
    const zones = ["east", "east", "west", "west", "middle"];
    const freeAt = zones.map(() => 0);
    const start = performance.now();
    let seed = 11;
    const random = (): number => {
        seed = (seed * 16_807) % 2_147_483_647;
        return seed / 2_147_483_647;
    };
    let waiting: WaitingPiece[] = [];
    let [made, crossed, onTime] = [0, 0, 0];
    for (let time = 0; time < 20_000; time += 5) {
        // Three quarters of the throughput of full calls.
        if (random() < (0.75 * capacity.targets * capacity.batch * 5) / callMs / 10) {
            const zone = zones[Math.floor(random() * zones.length)] ?? "";
            const times = { targetTime: { at: start + time + 1_000 } as Deadline, queuedAt: start + time };
            const pieces = many(10, 0, 0, { requestId: `r${time}`, inputs: [zone], ...times });
            waiting.push(...pieces);
        }
        freeAt.forEach((free, target) => {
            if (free > time || waiting.length === 0) return;
            const now = start + time;
            const crossing = (next: WaitingPiece): number => (next.inputs[0] === zones[target] ? 0 : 240_000);
            const ordered = rankForTarget(waiting, now, callMs, next => crossing(next) * piecesPerCall);
            const batch = fillBatch(ordered, capacity.batch, Number.POSITIVE_INFINITY);
            const end = time + capacity.callMs + batch.length * capacity.pieceMs;
            freeAt[target] = end;
            made += batch.length;
            crossed += batch.filter(next => crossing(next) > 0).length;
            onTime += batch.filter(next => start + end <= next.targetTime.at).length;
            waiting = waiting.filter(next => !batch.includes(next));
        });
    }
    return { crossed: crossed / made, onTime: onTime / made };
}

describe("results in other zones", () => {
    it("are fetched less often, with no more late pieces, when the ranking takes zones into account", () => {
        const [zoneAware, zoneBlind] = [replayZones(30), replayZones(0)];
        expect(zoneAware.crossed).toBeLessThan(0.75 * zoneBlind.crossed);
        expect(zoneAware.onTime).toBeGreaterThan(zoneBlind.onTime - 0.01);
    });

    it.each<[string, number, boolean]>([
        ["can wait", 2_000, true],
        ["would be late", CALL_MS + 10, false],
    ])("put a piece behind others only within its slack: one that %s", (_, target, isBehind) => {
        const far = piece(target, 5_000, { requestId: "far" });
        const near = piece(target + 100, 5_000, { requestId: "near" });
        const crossing = ({ requestId }: WaitingPiece): number => (requestId === "far" ? 5_000_000 : 0);
        const [first] = rankForTarget([far, near], performance.now(), CALL_MS, crossing);
        expect(first?.piece.requestId).toBe(isBehind ? "near" : "far");
    });

    it("count as moved once for each piece that fetches them", () => {
        const made = piece(900, 5_000, { zone: "west", resultBytes: 60_000, fetches: 10 });
        expect(crossZoneBytes(made, "east", () => "east", 0)).toBe(600_000);
        expect(crossZoneBytes(made, "west", () => "east", 0)).toBe(0);
    });
});

describe("dropping of waiting pieces", () => {
    it.each<[string, WaitingPiece, number, boolean]>([
        ["can be on time", piece(900, 5_000), 500, false],
        ["are late and have room", piece(10, 5_000), 10, false],
        ["are late without room", piece(10, 1_500), 200, true],
        ["are late behind more than a call", piece(10, 5_000), 60, true],
        ["are late behind more than a call, although begun", piece(10, 5_000, { begun: true }), 60, true],
    ])("is decided for pieces that %s", (_, waiting, onTime, expected) => {
        expect(shouldDrop(waiting, performance.now(), onTime, CAPACITY)).toBe(expected);
    });
});

/**
 * Replays a burst against one stage service on a simulated clock: requests arrive at a steady rate with a burst in the
 * middle. Returns the number of requests and of those made on time.
 */
function replayBurst(policy: "feasibleFirst" | "firstCome"): { readonly onTime: number; readonly asked: number } {
    const start = performance.now();
    let seed = 7;
    const random = (): number => {
        seed = (seed * 16_807) % 2_147_483_647;
        return seed / 2_147_483_647;
    };
    const freeAt = Array.from({ length: CAPACITY.targets }, () => 0);
    let waiting: WaitingPiece[] = [];
    let [onTime, asked] = [0, 0];
    for (let time = 0; time < 20_000; time += 5) {
        const perSecond = time >= 4_000 && time < 9_000 ? 130 : 45;
        if (random() < (perSecond * 5) / 1_000) {
            asked += 1;
            const at = start + time;
            const arrived = piece(0, 0, {
                requestId: `r${asked}`,
                targetTime: { at: at + 700 } as Deadline,
                deadline: { at: at + 5_000 } as Deadline,
                queuedAt: at,
            });
            if (policy === "firstCome" || admit(waiting, [arrived], CAPACITY, at).kind !== "refused") {
                waiting.push(arrived);
            }
        }
        freeAt.forEach((free, target) => {
            if (free > time || waiting.length === 0) return;
            const now = start + time;
            const ordered =
                policy === "firstCome"
                    ? waiting.map((next, sortKey) => ({ piece: next, sortKey }))
                    : rankForTarget(waiting, now, CALL_MS, () => 0);
            const batch = fillBatch(ordered, CAPACITY.batch, Number.POSITIVE_INFINITY);
            const end = time + CAPACITY.callMs + batch.length * CAPACITY.pieceMs;
            freeAt[target] = end;
            onTime += batch.filter(({ targetTime: { at } }) => start + end <= at).length;
            waiting = waiting.filter(next => !batch.includes(next));
        });
    }
    return { onTime, asked };
}

describe("a burst above capacity", () => {
    it("leaves most requests on time, which first come, first served does not", () => {
        const feasibleFirst = replayBurst("feasibleFirst");
        const firstCome = replayBurst("firstCome");
        expect(feasibleFirst.asked).toBe(firstCome.asked);
        expect(feasibleFirst.onTime / feasibleFirst.asked).toBeGreaterThan(0.7);
        expect(feasibleFirst.onTime).toBeGreaterThan(1.5 * firstCome.onTime);
    });
});

it("the sort key of a piece does not depend on the time while it can be on time", () => {
    const waiting = piece(900, 5_000);
    const now = performance.now();
    expect(sortKeyOf(waiting, now, CALL_MS)).toBe(sortKeyOf(waiting, now + 100, CALL_MS));
});
