/** A view of a store that was restored from a copy: what it believes, and when. */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { StandInStore } from "../../src/standins/index.js";
import { type ListOutcome, type Store, StoreView } from "../../src/store/index.js";

const SETTLE_MS = 3_000;

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

async function follow(): Promise<{ readonly standIn: StandInStore; readonly view: StoreView }> {
    const standIn = StandInStore.create();
    await standIn.client("writer").write("p/old", "1", 0);
    await vi.advanceTimersByTimeAsync(10_000);
    const view = StoreView.start({ store: standIn.client("view"), prefix: "p/", settleMilliseconds: SETTLE_MS });
    await vi.advanceTimersByTimeAsync(0);
    return { standIn, view };
}

describe("an object that the copy lacks", () => {
    it("is kept until the view settles, and then removed", async () => {
        const { standIn, view } = await follow();
        await standIn.client("writer").write("p/new", "1", 0);
        await vi.advanceTimersByTimeAsync(100);
        standIn.restore(5_000);
        await vi.advanceTimersByTimeAsync(SETTLE_MS - 100);
        expect([...view.objects.keys()]).toEqual(["p/old", "p/new"]);
        await vi.advanceTimersByTimeAsync(2_000);
        expect([...view.objects.keys()]).toEqual(["p/old"]);
        view.stop();
    });

    // Guards against a view that settles on a list from before an outage.
    it("and that is written again while the view cannot reach the store, is kept", async () => {
        const { standIn, view } = await follow();
        await standIn.client("writer").write("p/new", "1", 0);
        await vi.advanceTimersByTimeAsync(100);
        standIn.restore(5_000);
        await vi.advanceTimersByTimeAsync(500);
        standIn.setOutage(true, "view");
        await standIn.client("writer").write("p/new", "1", 0);
        await vi.advanceTimersByTimeAsync(2 * SETTLE_MS);
        expect([...view.objects.keys()]).toContain("p/new");
        standIn.setOutage(false, "view");
        await vi.advanceTimersByTimeAsync(3_000);
        expect([...view.objects.keys()]).toContain("p/new");
        view.stop();
    });
});

// Guards against a view that takes revisions of the earlier era for its own after an exception.
it("follows changes after an exception of a listener in the first list of an era", async () => {
    const { standIn, view } = await follow();
    const writer = standIn.client("writer");
    for (let index = 0; index < 5; index += 1) await writer.write(`p/lost-${index}`, "1", 0);
    await vi.advanceTimersByTimeAsync(100);
    let throws = true;
    view.subscribe(() => {
        if (throws) throw new Error("listener");
    });
    standIn.restore(5_000);
    await writer.write("p/old", "2", 1);
    await vi.advanceTimersByTimeAsync(100);
    throws = false;
    await writer.write("p/old", "3", 2);
    await vi.advanceTimersByTimeAsync(2_000);
    expect(view.objects.get("p/old")?.value).toBe("3");
    view.stop();
});

/** A store whose lists can be held up. */
function delayLists(store: Store): { readonly store: Store; hold: boolean; release: () => void } {
    let release = (): void => undefined;
    const released = new Promise<void>(resolve => (release = resolve));
    const delayed = {
        hold: false,
        release,
        store: {
            ...store,
            list: async (prefix: string): Promise<ListOutcome> => {
                if (delayed.hold) await released;
                return store.list(prefix);
            },
        },
    };
    return delayed;
}

// Guards against a view that believes a second copy at once, as it is about to settle on the first.
it("waits anew when the store is restored again while the view settles", async () => {
    const standIn = StandInStore.create();
    const writer = standIn.client("writer");
    await writer.write("p/old", "1", 0);
    await vi.advanceTimersByTimeAsync(10_000);
    const delayed = delayLists(standIn.client("view"));
    const view = StoreView.start({ store: delayed.store, prefix: "p/", settleMilliseconds: SETTLE_MS });
    await vi.advanceTimersByTimeAsync(0);
    standIn.restore(1_000);
    await vi.advanceTimersByTimeAsync(1_000);
    delayed.hold = true;
    await vi.advanceTimersByTimeAsync(SETTLE_MS);
    await writer.write("p/new", "1", 0);
    await vi.advanceTimersByTimeAsync(100);
    expect([...view.objects.keys()]).toContain("p/new");
    delayed.hold = false;
    standIn.restore(1_000);
    await vi.advanceTimersByTimeAsync(500);
    delayed.release();
    await vi.advanceTimersByTimeAsync(SETTLE_MS - 1_000);
    expect([...view.objects.keys()]).toContain("p/new");
    await vi.advanceTimersByTimeAsync(2_000);
    expect([...view.objects.keys()]).toEqual(["p/old"]);
    view.stop();
});

// Guards against objects that are kept for ever, as a listener has thrown while the view settled.
it("settles in all objects although a listener throws", async () => {
    const { standIn, view } = await follow();
    const writer = standIn.client("writer");
    for (const key of ["p/a", "p/b", "p/c"]) await writer.write(key, "1", 0);
    await vi.advanceTimersByTimeAsync(100);
    view.subscribe(({ object }) => {
        if (object === undefined) throw new Error("listener");
    });
    standIn.restore(5_000);
    await vi.advanceTimersByTimeAsync(SETTLE_MS + 10_000);
    expect([...view.objects.keys()]).toEqual(["p/old"]);
    view.stop();
});
