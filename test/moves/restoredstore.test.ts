/** Guards against moves that stop when the store was restored from a copy. */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { MoveClock } from "../../src/moves/clock.js";
import { declareMove, decodeMove, type Move, MoveSession } from "../../src/moves/index.js";
import { StandInStore } from "../../src/standins/index.js";

const KEY = "moves/zone-east-1";

let store: StandInStore;

beforeEach(async () => {
    vi.useFakeTimers();
    store = StandInStore.create();
    const plan = { kind: "zone", direction: "out", before: "in" } as const;
    const order = { subject: "east", plan, doneByMilliseconds: 60_000, author: "operator", baseVersion: 0 };
    expect(await declareMove(store.client("operator"), [], order)).toMatchObject({ kind: "declared" });
});

afterEach(() => void vi.useRealTimers());

function storedMove(): Move | undefined {
    return decodeMove(store.peek(KEY)?.value ?? "");
}

describe("a move in a store that is restored from a copy", () => {
    it.each([
        { lost: "the latest steps", ageMs: 1_500 },
        { lost: "all that the controller wrote", ageMs: 3_500 },
        { lost: "the move", ageMs: 5_500 },
    ])("goes on from the controller's state when the store has lost $lost", async ({ ageMs }) => {
        const held = { fencing: 1, holder: "e1", held: () => true };
        await vi.advanceTimersByTimeAsync(2_000);
        const session = await MoveSession.begin(store.client("e1"), held, MoveClock.create(), KEY);
        for (const step of [1, 2, 3]) {
            await vi.advanceTimersByTimeAsync(1_000);
            expect(await session?.update({ step })).toBe(true);
        }
        store.restore(ageMs);
        expect([await session?.update({ step: 4 }), await session?.update({ step: 4 })]).toEqual([false, true]);
        expect(storedMove()).toMatchObject({ state: "open", step: 4, fencing: 1 });
        expect(await session?.finish("done", "reached")).toBe(true);
    });

    it("stops a controller whose successor has written it since the restoration", async () => {
        const held = { fencing: 1, holder: "e1", held: () => true };
        const session = await MoveSession.begin(store.client("e1"), held, MoveClock.create(), KEY);
        await session?.update({ step: 1 });
        store.restore(0);
        await MoveSession.begin(store.client("e2"), { ...held, fencing: 2, holder: "e2" }, MoveClock.create(), KEY);
        expect(await session?.update({ step: 2 })).toBe(false);
        expect(session?.held()).toBe(false);
    });
});
