/** Another writer's odd entry in the store names nothing to use. The others hold, and the process goes on. */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { KIND } from "../../src/platform/names.js";
import { PlatformStore } from "../../src/platform/store.js";
import { CallCounter, type ListOutcome, StoreView, type WatchOutcome } from "../../src/store/index.js";
import { entryText, ScriptedStore } from "./scriptedstore.js";

const DEPTH = 100_000;
const DEEP = "[".repeat(DEPTH) + "]".repeat(DEPTH);
const KINDS = Object.values(KIND);

/** Entries that can be named but not read, from their revision. */
const UNREADABLE: readonly (readonly [string, (revision: number) => string])[] = [
    ["no revision", () => '{"Metadata":{"Name":"b"},"Spec":{}}'],
    ["a revision that is too large", () => '{"Metadata":{"Name":"b","Revision":1e400},"Spec":{}}'],
    ["a revision that is not safe", () => '{"Metadata":{"Name":"b","Revision":1e300},"Spec":{}}'],
    ["a negative revision", () => '{"Metadata":{"Name":"b","Revision":-1},"Spec":{}}'],
    ["a fractional revision", () => '{"Metadata":{"Name":"b","Revision":1.5},"Spec":{}}'],
    ["a revision as text", revision => `{"Metadata":{"Name":"b","Revision":"${revision}"},"Spec":{}}`],
    ["a value nested very deep", revision => `{"Metadata":{"Name":"b","Revision":${revision}},"Spec":${DEEP}}`],
    ["a revision nested very deep", () => `{"Metadata":{"Name":"b","Revision":${DEEP}},"Spec":{}}`],
];

/** Entries that name nothing. */
const NAMELESS: readonly (readonly [string, string])[] = [
    ["null", "null"],
    ["a number", "7"],
    ["a text", '"x"'],
    ["a list", "[]"],
    ["a very deep list", DEEP],
    ["no metadata", "{}"],
    ["metadata that is null", '{"Metadata":null,"Spec":{}}'],
    ["metadata as its prototype only", '{"__proto__":{"Metadata":{"Name":"b","Revision":5}}}'],
    ["no name", '{"Metadata":{"Revision":5},"Spec":{}}'],
    ["an empty name", '{"Metadata":{"Name":"","Revision":5},"Spec":{}}'],
    ["a name that is a number", '{"Metadata":{"Name":7,"Revision":5},"Spec":{}}'],
    ["a name nested very deep", `{"Metadata":{"Name":${DEEP},"Revision":5},"Spec":{}}`],
    ["a name with half of a surrogate pair", '{"Metadata":{"Name":"b\\ud800","Revision":5},"Spec":{}}'],
    ["a name that is a dot", '{"Metadata":{"Name":".","Revision":5},"Spec":{}}'],
    ["a name that leads to the parent", '{"Metadata":{"Name":"..","Revision":5},"Spec":{}}'],
    ["a very long name", `{"Metadata":{"Name":"${"b".repeat(100_000)}","Revision":5},"Spec":{}}`],
];

let server: ScriptedStore;
let store: PlatformStore;

let ignored: string[];

beforeEach(async () => {
    ignored = [];
    server = await ScriptedStore.start();
    store = PlatformStore.create({
        address: server.address,
        timeoutMilliseconds: 1_000,
        ledger: CallCounter.create(),
        onEntryIgnored: (kind, reason) => ignored.push(`${kind}: ${reason}`),
    });
});

afterEach(() => {
    store.close();
    server.close();
});

function namesOf(outcome: ListOutcome | WatchOutcome): readonly string[] {
    const entries = outcome.kind === "listed" ? outcome.objects : outcome.kind === "changed" ? outcome.events : [];
    return entries.map(({ key }) => key.slice(key.indexOf("/") + 1));
}

const sound =
    (name: string) =>
    (revision: number): string =>
        entryText(name, revision, {});

describe.each(KINDS)("in the kind %s a value that is nested very deep", kind => {
    it.each(["Spec", "Status"])("does not end a list: %s", async part => {
        server.add(kind, "a", sound("a"));
        server.add(kind, "b", revision => `{"Metadata":{"Name":"b","Revision":${revision}},"${part}":${DEEP}}`);
        server.add(kind, "c", sound("c"));
        const listed = await store.list(`${kind}/`);
        expect(namesOf(listed)).toEqual(["a", "b", "c"]);
        const odd = listed.kind === "listed" ? listed.objects[1] : undefined;
        expect(part === "Spec" ? odd?.value : odd?.status).toBe("");
    });

    it.each(["Spec", "Status"])("does not end a watch: %s", async part => {
        server.report(
            kind,
            revision => `{"Metadata":{"Name":"b","Revision":${revision}},"${part}":${DEEP}}`,
            sound("c"),
        );
        const watched = await store.watch(`${kind}/`, 10, 100);
        expect(namesOf(watched)).toEqual(["b", "c"]);
    });
});

describe.each(KINDS)("in the kind %s an entry with", kind => {
    it.each(UNREADABLE)("%s in a list or as the last of a page names an object without a value", async (_, text) => {
        for (const before of [[], ["a"], ["a", "a2"]]) {
            server.clear();
            for (const name of before) server.add(kind, name, sound(name));
            server.add(kind, "b", text);
            for (const name of ["c", "d", "e"]) server.add(kind, name, sound(name));
            const listed = await store.list(`${kind}/`);
            expect(namesOf(listed)).toEqual([...before, "b", "c", "d", "e"]);
            const odd = listed.kind === "listed" ? listed.objects.find(({ key }) => key === `${kind}/b`) : undefined;
            expect(odd?.value).toBe("");
        }
        expect(ignored).toEqual([]);
    });

    it.each(UNREADABLE)("%s in a watch does not hide the other events", async (_, text) => {
        server.report(kind, sound("a"), text, sound("c"), sound("b"));
        const watched = await store.watch(`${kind}/`, 10, 100);
        expect(namesOf(watched)).toEqual(["a", "b", "c", "b"]);
        expect(watched).toMatchObject({ kind: "changed", revision: server.revision });
    });

    it.each(NAMELESS)("%s in a list or as the last of a page is ignored and reported once", async (_, text) => {
        for (const before of [[], ["a"], ["a", "a2"]]) {
            server.clear();
            for (const name of before) server.add(kind, name, sound(name));
            server.add(kind, "b", () => text);
            for (const name of ["c", "d", "e"]) server.add(kind, name, sound(name));
            expect([...new Set(namesOf(await store.list(`${kind}/`)))]).toEqual([...before, "c", "d", "e"]);
        }
        expect(ignored).toHaveLength(1);
        expect(ignored[0]?.length).toBeLessThan(200);
    });

    it.each(NAMELESS)("%s in a watch does not hide the other events", async (_, text) => {
        server.report(kind, sound("a"), () => text, sound("c"));
        const watched = await store.watch(`${kind}/`, 10, 100);
        expect(namesOf(watched)).toEqual(["a", "c"]);
        expect(watched).toMatchObject({ kind: "changed", revision: server.revision });
        expect(ignored).toHaveLength(1);
    });
});

describe("a view", () => {
    it("moves on past odd events, and an object that becomes readable again counts", async () => {
        server.add(KIND.targets, "a", sound("a"));
        server.add(KIND.targets, "b", sound("b"));
        const changes: string[] = [];
        const view = StoreView.start({
            store,
            prefix: `${KIND.targets}/`,
            watchMilliseconds: 200,
            onAvailability: ({ kind }) => changes.push(kind),
        });
        await view.ready;
        for (const [, text] of UNREADABLE) {
            server.report(KIND.targets, text);
            await vi.waitFor(() => expect(view.objects.get(`${KIND.targets}/b`)?.value).toBe(""));
            server.report(KIND.targets, () => "null", sound("b"));
            await vi.waitFor(() => expect(view.objects.get(`${KIND.targets}/b`)?.value).toBe("{}"));
            server.report(KIND.targets, text, sound("b"), text);
            await vi.waitFor(() => expect(view.objects.get(`${KIND.targets}/b`)?.value).toBe(""));
            server.report(KIND.targets, text, sound("b"));
            await vi.waitFor(() => expect(view.objects.get(`${KIND.targets}/b`)?.value).toBe("{}"));
        }
        view.stop();
        expect(changes).toEqual([]);
        expect(server.calls.filter(call => !call.includes("Watch"))).toHaveLength(1);
    });
});

describe("an answer of the store", () => {
    it.each([
        ["that is nested very deep", DEEP],
        ["whose entries are no list", '{"Entries":{},"HasMore":false,"At":5}'],
        ["without a revision", '{"Entries":[],"HasMore":false}'],
        ["with a revision that is too large", '{"Entries":[],"HasMore":false,"At":1e400}'],
        ["with more pages and no name to continue from", '{"Entries":[7],"HasMore":true,"At":5}'],
        ["that repeats its page", `{"Entries":[${entryText("a", 5, {})}],"HasMore":true,"At":5}`],
    ])("%s makes a list fail instead of ending it early", async (_, text) => {
        server.listText = text;
        expect((await store.list("servers/")).kind).toBe("unavailable");
    });

    it.each([
        ["that is nested very deep", DEEP],
        ["whose events are no list", '{"events":{},"At":5}'],
        ["without a revision", '{"events":[]}'],
    ])("%s makes a watch fail", async (_, text) => {
        server.watchTexts.push(text);
        expect((await store.watch("servers/", 1, 100)).kind).toBe("unavailable");
    });
});

describe("an object whose name holds characters of a path", () => {
    it.each(["../config/main", "a/b", "a?b", "a#b", "a b", "a%2fb", "a\n", "\u20ac"])(
        "%j is read and written under its own path",
        async name => {
            const key = `${KIND.rollouts}/${name}`;
            await store.read(key);
            await store.write(key, "{}", 3);
            await store.remove(key, 3);
            await store.writeStatus(key, {}, 3);
            const path = `/objects/${KIND.rollouts}/${encodeURIComponent(name)}`;
            const expected = [`GET ${path}`, `PUT ${path}`, `DELETE ${path}?Revision=3`, `PUT ${path}/status`];
            expect(server.calls).toEqual(expected);
        },
    );
});
