/**
 * A controller writes a move only while it holds the move's lease, and never after its successor's session has begun.
 */
import { beforeEach, describe, expect, it } from "vitest";
import { MoveClock } from "../../src/moves/clock.js";
import { declareMove, decodeMove, type Move, MoveSession } from "../../src/moves/index.js";
import { StandInStore } from "../../src/standins/index.js";

const KEY = "moves/zone-east-1";

let store: StandInStore;

beforeEach(async () => {
    store = StandInStore.create();
    const plan = { kind: "zone", direction: "out", before: "in" } as const;
    const order = { subject: "east", plan, doneByMilliseconds: 60_000, author: "operator", baseVersion: 0 };
    expect(await declareMove(store.client("operator"), [], order)).toMatchObject({ kind: "declared" });
});

async function beginSession(name: string, fencing: number, lease = { held: true }): Promise<MoveSession> {
    const held = { fencing, holder: name, held: () => lease.held };
    const session = await MoveSession.begin(store.client(name), held, MoveClock.create(), KEY);
    if (session === undefined) throw new Error("the session did not begin");
    return session;
}

function storedMove(): Move | undefined {
    return decodeMove(store.peek(KEY)?.value ?? "");
}

describe("a move's session", () => {
    it("cannot write once its successor has begun, even if it still believes that it holds the lease", async () => {
        const paused = await beginSession("e1", 1);
        await beginSession("e2", 2);
        for (let attempt = 0; attempt < 3; attempt += 1) expect(await paused.finish("done", "late")).toBe(false);
        expect(paused.held()).toBe(false);
        expect(storedMove()).toMatchObject({ state: "open", fencing: 2 });
    });

    it("writes nothing after its lease has ended, even if nobody else has acquired it", async () => {
        const lease = { held: true };
        const session = await beginSession("e1", 1, lease);
        lease.held = false;
        expect(await session.finish("done", "late")).toBe(false);
        expect(storedMove()).toMatchObject({ state: "open" });
    });

    it("does not begin if the stored fencing number is higher", async () => {
        await beginSession("e2", 2);
        await expect(beginSession("e1", 1)).rejects.toThrow("did not begin");
    });

    it("continues after a lost answer, whether the write took effect or not", async () => {
        const session = await beginSession("e1", 1);
        for (const applied of [true, false]) {
            store.loseWriteAnswers(1, applied);
            expect(await session.update({})).toBe(applied);
            expect(session.held()).toBe(true);
        }
        expect(await session.finish("done", "reached")).toBe(true);
        expect(await session.finish("takenBack", "again")).toBe(false);
        expect(storedMove()?.result).toMatchObject({ kind: "done" });
    });
});
