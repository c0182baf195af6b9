/** Orders that arrive again: their pieces must not be made twice, since the first time may have released their inputs. */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { OpenOrders, type PeerOrder, type PieceResult } from "../../src/stages/index.js";
import { piecesOf } from "./pieces.js";

const MADE: PieceResult = { kind: "made", handle: "10.0.0.1:1/1" };

let runs: { readonly signal: AbortSignal; readonly finish: () => void }[];
let openOrders: OpenOrders;

function serve(order: PeerOrder, connection: AbortSignal): Promise<readonly PieceResult[]> {
    return openOrders.serve(
        order,
        connection,
        (_, signal) => new Promise(resolve => runs.push({ signal, finish: () => resolve([MADE]) })),
    );
}

function orderOf(requestId: string): PeerOrder {
    return { service: "encode", jobs: piecesOf(requestId, 1) };
}

beforeEach(() => {
    vi.useFakeTimers();
    runs = [];
    openOrders = OpenOrders.create();
});

afterEach(() => {
    vi.useRealTimers();
});

describe("an order", () => {
    it("that arrives again joins the one in progress", async () => {
        const [first, second] = [new AbortController(), new AbortController()];
        const answers = [serve(orderOf("a"), first.signal), serve(orderOf("a"), second.signal)];
        first.abort();
        await vi.advanceTimersByTimeAsync(5_000);
        expect(runs).toHaveLength(1);
        expect(runs[0]?.signal.aborted).toBe(false);
        runs[0]?.finish();
        expect(await Promise.all(answers)).toEqual([[MADE], [MADE]]);
    });

    it("that arrives again just after its connection closed joins the one in progress", async () => {
        const first = new AbortController();
        void serve(orderOf("a"), first.signal);
        first.abort();
        await vi.advanceTimersByTimeAsync(20);
        void serve(orderOf("a"), new AbortController().signal);
        await vi.advanceTimersByTimeAsync(5_000);
        expect(runs).toHaveLength(1);
        expect(runs[0]?.signal.aborted).toBe(false);
    });

    it("whose connections are all closed is cancelled", async () => {
        const first = new AbortController();
        void serve(orderOf("a"), first.signal);
        first.abort();
        await vi.advanceTimersByTimeAsync(200);
        expect(runs[0]?.signal.aborted).toBe(true);
    });

    it("runs again once it has ended, and beside other orders", async () => {
        const { signal } = new AbortController();
        void serve(orderOf("a"), signal);
        void serve(orderOf("b"), signal);
        runs[0]?.finish();
        await vi.advanceTimersByTimeAsync(0);
        void serve(orderOf("a"), signal);
        expect(runs).toHaveLength(3);
    });
});
