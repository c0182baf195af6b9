/** Another writer's odd entry in the store names nothing to use. The others hold, and the process goes on. */
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { KIND } from "../../src/platform/names.js";
import { PlatformStore } from "../../src/platform/store.js";
import { CallCounter, type ListOutcome, type WatchOutcome } from "../../src/store/index.js";
import { entryText, ScriptedStore } from "./scriptedstore.js";

const DEPTH = 100_000;
const DEEP = "[".repeat(DEPTH) + "]".repeat(DEPTH);
const KINDS = Object.values(KIND);

let server: ScriptedStore;
let store: PlatformStore;

beforeEach(async () => {
    server = await ScriptedStore.start();
    store = PlatformStore.create({
        address: server.address,
        timeoutMilliseconds: 1_000,
        ledger: CallCounter.create(),
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
