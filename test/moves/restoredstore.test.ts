/** Guards against moves that stop, or get a second result, when the store was restored from a copy. */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { MoveClock } from "../../src/moves/clock.js";
import {
    declareMove,
    decodeMove,
    type Move,
    MoveController,
    MoveSession,
    MOVES_PREFIX,
} from "../../src/moves/index.js";
import { pause } from "../../src/model/pause.js";
import { StandInStore } from "../../src/standins/index.js";
import { StoreView } from "../../src/store/index.js";
import { logger } from "../agent/harness.js";

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

    it.each([
        { lost: "that it ended", ageMs: 1_500 },
        { lost: "the move", ageMs: 4_000 },
    ])("keeps its result and is not run again when the store has lost $lost", async ({ ageMs }) => {
        const results: boolean[] = [];
        const views = ["e1", "e2"].map(name => StoreView.start({ store: store.client(name), prefix: MOVES_PREFIX }));
        await vi.advanceTimersByTimeAsync(10);
        const controllers = views.map((view, index) =>
            MoveController.start({
                store: store.client(`e${index + 1}`),
                view,
                name: `e${index + 1}`,
                incarnation: "1",
                membership: () => ({ targets: [], entries: [] }),
                logger,
                run: async session => {
                    await pause(2_000);
                    results.push(await session.finish(results.length === 0 ? "done" : "takenBack", "reached"));
                },
            }),
        );
        await vi.advanceTimersByTimeAsync(3_000);
        expect(storedMove()?.result).toMatchObject({ kind: "done" });
        store.restore(ageMs);
        expect(storedMove()?.state).not.toBe("ended");
        await vi.advanceTimersByTimeAsync(20_000);
        expect(storedMove()?.result).toMatchObject({ kind: "done" });
        expect(results).toEqual([true]);
        for (const controller of controllers) controller.kill();
        for (const view of views) view.stop();
    });
});
