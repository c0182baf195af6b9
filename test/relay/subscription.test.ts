/** What a relay passes on, as a follower reads it, and which parts of it a view may take. */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { Publisher, RelayedStore } from "../../src/relay/index.js";
import { encodeMessage, type RelayMessage } from "../../src/relay/message.js";
import { Subscription } from "../../src/relay/subscription.js";
import type { Store, StoredObject } from "../../src/store/index.js";

const LIMIT_MS = 2_200;
const TIMEOUT_MS = 2_000;

/** Time in milliseconds by which a timeout may be late. */
const SLACK_MS = 10;

let subscription: Subscription;

function object(key: string, version: number): StoredObject {
    return { key, version, value: `${version}` };
}

function receive(...messages: readonly RelayMessage[]): boolean {
    return messages.map(message => subscription.receive(encodeMessage(message))).every(Boolean);
}

function listed(revision: number, era = 0): RelayMessage {
    return { kind: "listed", prefix: "p/", objects: [object("p/a", 5)], revision, era, ageMs: 0 };
}

function changed(from: number, revision: number, era = 0): RelayMessage {
    return {
        kind: "changed",
        prefix: "p/",
        events: [{ key: "p/a", object: object("p/a", revision) }],
        from,
        revision,
        era,
        ageMs: 0,
    };
}

beforeEach(() => {
    vi.useFakeTimers();
    subscription = Subscription.create();
});

afterEach(() => void vi.useRealTimers());

async function watch(revision: number, advanceMs = 0): Promise<unknown> {
    const outcome = subscription.watch("p/", revision, TIMEOUT_MS, LIMIT_MS);
    await vi.advanceTimersByTimeAsync(advanceMs);
    return outcome;
}

describe("a watch through a relay", () => {
    it.each([
        { case: "at the revision of the list", revision: 10, result: { revision: 12, events: 1 } },
        { case: "at the latest revision", revision: 12, result: { revision: 12, events: 0 } },
        { case: "ahead of the relay", revision: 20, result: { revision: 20, events: 0 } },
    ])("has the changes $case", async ({ revision, result }) => {
        receive(listed(10), changed(10, 12));
        const { events, ...rest } = result;
        expect(await watch(revision, TIMEOUT_MS + SLACK_MS)).toMatchObject({ ...rest, events: { length: events } });
    });

    it.each([
        { case: "between two answers of the store", revision: 11 },
        { case: "before the list", revision: 9 },
    ])("needs a list at a revision $case", async ({ revision }) => {
        receive(listed(10), changed(10, 12));
        expect(await watch(revision)).toBe("misaligned");
    });

    it("ends when the relay's knowledge is too old, or the relay ends", async () => {
        receive(listed(10));
        await vi.advanceTimersByTimeAsync(1_000);
        expect(await watch(10, LIMIT_MS - 1_000 + SLACK_MS)).toBeUndefined();
        receive({ kind: "confirmed", ages: { "p/": 100 } });
        const outcome = subscription.watch("p/", 10, TIMEOUT_MS, LIMIT_MS);
        subscription.end();
        expect(await outcome).toBeUndefined();
        expect(subscription.list("p/", LIMIT_MS)).toBeUndefined();
    });

    it("goes on for as long as the relay confirms that nothing has changed", async () => {
        receive(listed(10));
        for (let second = 0; second < 5; second += 1) {
            await vi.advanceTimersByTimeAsync(1_000);
            receive({ kind: "confirmed", ages: { "p/": 0 } });
        }
        const outcome = subscription.watch("p/", 10, TIMEOUT_MS, LIMIT_MS);
        await vi.advanceTimersByTimeAsync(1_000);
        receive({ kind: "confirmed", ages: { "p/": 0 } });
        await vi.advanceTimersByTimeAsync(1_000 + SLACK_MS);
        expect(await outcome).toMatchObject({ revision: 10, events: [] });
    });
});

describe("a stream of a relay", () => {
    it.each([
        { case: "bytes that are no message", text: "{}\n" },
        { case: "a step that follows no list", text: encodeMessage({ ...changed(10, 12) }) },
        { case: "a step that skips a revision", text: encodeMessage(listed(10)) + encodeMessage(changed(11, 12)) },
        { case: "a step back", text: encodeMessage(listed(10)) + encodeMessage(changed(10, 9)) },
        { case: "a step of another era", text: encodeMessage(listed(10)) + encodeMessage(changed(10, 12, 1)) },
        { case: "a negative age", text: encodeMessage({ kind: "confirmed", ages: { "p/": -1 } }) },
    ])("is left after $case", ({ text }) => {
        expect(subscription.receive(text)).toBe(false);
        expect(subscription.list("p/", LIMIT_MS)).toBeUndefined();
    });

    it("is read whatever its parts are", () => {
        const text = encodeMessage(listed(10)) + encodeMessage(changed(10, 12));
        for (const character of text) expect(subscription.receive(character)).toBe(true);
        expect(subscription.list("p/", LIMIT_MS)).toMatchObject({ revision: 12, objects: [{ version: 12 }] });
    });
});

// Guards against a relay that has not noticed that the store was restored, whose revisions look later than the new ones.
it("a list of an earlier era than the one that is known comes from the store instead", async () => {
    receive(listed(100, 1));
    const direct = {
        list: () => Promise.resolve({ kind: "listed", objects: [], revision: 7, era: 2 }),
        watch: () => Promise.resolve({ kind: "changed", events: [], revision: 7, era: 2 }),
    } as unknown as Store;
    let isFollowing = false;
    const store = RelayedStore.create({
        direct,
        gatewayPrefix: "p/",
        publisher: Publisher.create(),
        isRelay: () => false,
        subscription: () => (isFollowing ? subscription : undefined),
    });
    const settled = async (outcome: Promise<unknown>): Promise<unknown> => {
        await vi.advanceTimersByTimeAsync(TIMEOUT_MS + SLACK_MS);
        return outcome;
    };
    expect(await settled(store.list("p/"))).toMatchObject({ era: 2 });
    isFollowing = true;
    expect(await settled(store.list("p/"))).toMatchObject({ era: 2, revision: 7 });
    receive({ kind: "confirmed", ages: { "p/": 0 } });
    expect(await settled(store.watch("p/", 7, TIMEOUT_MS))).toMatchObject({ era: 2, revision: 7 });
});
