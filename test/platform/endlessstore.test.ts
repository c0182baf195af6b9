/**
 * A store that sends without end, or far more than it may hold. It must not end the process that reads it, which goes on with
 * what it knows.
 */
import { createServer, type Server, type ServerResponse } from "node:http";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { PlatformStore } from "../../src/platform/store.js";
import { CallCounter, type FullView, type Store, StoreView } from "../../src/store/index.js";
import { listen } from "./listening.js";
import { entryText } from "./scriptedstore.js";

/** Bytes after which a stand-in stops, so that a failing run ends. */
const MAXIMUM_SENT_BYTES = 100_000_000;

let server: Server;
let store: PlatformStore;
let sentBytes: number;
let respond: (response: ServerResponse, after: string | null) => void;

beforeEach(async () => {
    sentBytes = 0;
    server = createServer((request, response) => {
        const { searchParams } = new URL(request.url ?? "/", "http://store");
        respond(response, searchParams.get("After"));
    });
    const address = await listen(server);
    store = PlatformStore.create({ address, timeoutMilliseconds: 20_000, ledger: CallCounter.create() });
});

afterEach(() => {
    store.close();
    server.closeAllConnections();
    server.close();
});

/** Sends a text again and again until the connection closes. */
function sendWithoutEnd(response: ServerResponse, text: string, piecesPerWrite: number): void {
    const writeNext = (): void => {
        if (response.destroyed || sentBytes > MAXIMUM_SENT_BYTES) return;
        response.socket?.cork();
        for (let piece = 0; piece < piecesPerWrite; piece += 1) response.write(text);
        response.socket?.uncork();
        sentBytes += text.length * piecesPerWrite;
        setImmediate(writeNext);
    };
    writeNext();
}

const entries = (text: string, count: number): string => Array.from({ length: count }, () => text).join(",");

const cases: readonly { answer: string; message: string; send: (response: ServerResponse, page: number) => void }[] = [
    {
        answer: "a body without end",
        message: "answer is too long",
        send: response => sendWithoutEnd(response, "x".repeat(65_536), 4),
    },
    {
        answer: "chunks of one byte without end",
        message: "answer has too many parts",
        send: response => sendWithoutEnd(response, "x", 1_000),
    },
    {
        answer: "very many values",
        message: "answer has too many values",
        send: response => response.end(`{"Entries":[${entries("[]", 1_500_000)}],"At":1}`),
    },
    {
        answer: "pages without end",
        message: "list is too long",
        send: (response, page) => {
            const names = Array.from({ length: 4 }, (_, index) => `p-${page}-${index}`);
            const page4 = names.map(name => entryText(name, 1, { text: "x".repeat(1_000_000) })).join(",");
            response.end(`{"Entries":[${page4}],"HasMore":true,"At":1}`);
        },
    },
];

describe("a list that is answered with", () => {
    it.each(cases)(
        "$answer fails as: $message",
        async ({ message, send }) => {
            let page = 0;
            respond = response => send(response, (page += 1));
            expect(await store.list("servers/")).toEqual({ kind: "unavailable", message });
            expect(sentBytes).toBeLessThan(MAXIMUM_SENT_BYTES);
        },
        30_000,
    );

    it("the registrations of 5,900 replicas and an object of the largest size is read", async () => {
        const spec = { Service: "s".repeat(100), Address: "127.0.0.1:1", Zone: "z".repeat(100), Version: "v" };
        const registrations = Array.from({ length: 5_900 }, (_, index) => entryText(`r-${index}`, 1, spec));
        const texts = [...registrations, entryText("zz", 1, { text: "x".repeat(1_048_000) })];
        respond = response => response.end(`{"Entries":[${texts.join(",")}],"At":1}`);
        const listed = await store.list("servers/");
        expect(listed.kind === "listed" ? listed.objects.length : listed).toBe(5_901);
    });

    it("an object that is far too large has no readable value", async () => {
        const text = entryText("a", 1, { text: "x".repeat(3_000_000) });
        respond = response => response.end(`{"Entries":[${text},${entryText("b", 1, {})}],"At":1}`);
        const listed = await store.list("servers/");
        expect(listed).toMatchObject({ kind: "listed", objects: [{ value: "" }, { value: "{}" }] });
    });
});

describe("a view of a store that reports more and more objects", () => {
    it.each([
        { kind: "very many", value: "{}", perWatch: 5_000 },
        { kind: "large", value: `{"text":"${"x".repeat(1_000_000)}"}`, perWatch: 4 },
    ])(
        "$kind ones keeps what it has, says so once, and takes others once there is room",
        async options => {
            const { value, perWatch } = options;
            let revision = 1;
            let removes = false;
            const keys: string[] = [];
            const scripted: Pick<Store, "list" | "watch"> = {
                list: () =>
                    Promise.resolve({
                        kind: "listed",
                        objects: [{ key: "p/first", version: 1, value: "{}" }],
                        revision,
                        era: 0,
                    }),
                watch: async () => {
                    await new Promise(resolve => setTimeout(resolve, 1));
                    const events = Array.from({ length: perWatch }, () => {
                        revision += 1;
                        const key = removes ? (keys.shift() ?? "") : `p/${revision}`;
                        if (!removes) keys.push(key);
                        return removes ? { key } : { key, object: { key, version: revision, value } };
                    });
                    return { kind: "changed", events, revision, era: 0 };
                },
            };
            const full: FullView[] = [];
            const view = StoreView.start({
                store: scripted as Store,
                prefix: "p/",
                onFull: report => full.push(report),
            });
            await vi.waitFor(() => expect(full).toHaveLength(1), 10_000);
            await vi.waitFor(() => expect(revision).toBeGreaterThan(perWatch * 10), 10_000);
            expect(full).toHaveLength(1);
            expect(view.objects.size).toBeLessThanOrEqual(20_000);
            expect([...view.objects.values()].reduce((sum, object) => sum + object.value.length, 0)).toBeLessThan(
                17_000_000,
            );
            expect(view.objects.has("p/first")).toBe(true);
            removes = true;
            await vi.waitFor(() => expect(view.objects.size).toBe(1), 10_000);
            removes = false;
            await vi.waitFor(() => expect(view.objects.size).toBeGreaterThan(1), 10_000);
            view.stop();
        },
        40_000,
    );
});
