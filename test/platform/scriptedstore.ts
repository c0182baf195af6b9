/** A stand-in for the platform's store whose entries are given as text, so that they may be anything that JSON can hold. */
import { createServer, type Server } from "node:http";
import type { Socket } from "node:net";
import { listen } from "./listening.js";

interface Entry {
    readonly kind: string;
    /** Position in the order of names, which an odd entry may not have. */
    readonly position: string;
    readonly text: string;
    readonly revision: number;
}

const PAGE_SIZE = 2;

/** The text of a sound entry. */
export function entryText(name: string, revision: number, spec: unknown): string {
    return JSON.stringify({ Metadata: { Name: name, Revision: revision }, Spec: spec });
}

/** The store. Pages have two entries. */
export class ScriptedStore {
    address = "";
    revision = 10;
    readonly calls: string[] = [];
    /** Text of the answers to all lists; undefined for the entries. */
    listText: string | undefined;
    /** Text of the next answers to watches. */
    readonly watchTexts: string[] = [];
    private readonly listed: Entry[] = [];
    private readonly events: Entry[] = [];
    private readonly sockets = new Set<Socket>();
    private wake: () => void = () => undefined;

    private constructor(private readonly server: Server) {}

    static async start(): Promise<ScriptedStore> {
        const server = createServer((request, response) => {
            store.calls.push(`${request.method} ${request.url}`);
            const url = new URL(request.url ?? "/", "http://store");
            const [, , kind = "", name] = url.pathname.split("/");
            if (request.method !== "GET" || name !== undefined) {
                response.writeHead(request.method === "GET" ? 404 : 201).end("{}");
                return;
            }
            const since = url.searchParams.get("Watch");
            void (
                since === null
                    ? Promise.resolve(store.list(kind, url.searchParams.get("After") ?? ""))
                    : store.watch(kind, Number(since), Number(url.searchParams.get("WaitMs")))
            ).then(text => response.writeHead(200, { "content-type": "application/json" }).end(text));
        });
        const store: ScriptedStore = new ScriptedStore(server);
        server.on("connection", socket => {
            store.sockets.add(socket);
            socket.once("close", () => store.sockets.delete(socket));
        });
        store.address = await listen(server);
        return store;
    }

    close(): void {
        this.server.close();
        for (const socket of this.sockets) socket.destroy();
    }

    /** Removes the entries of lists. */
    clear(): void {
        this.listed.length = 0;
    }

    /** Adds an entry to lists. */
    add(kind: string, position: string, text: (revision: number) => string): void {
        this.revision += 1;
        this.listed.push({ kind, position, text: text(this.revision), revision: this.revision });
        this.listed.sort((left, right) => (left.position < right.position ? -1 : 1));
    }

    /** Reports changes to watches, all in one answer. */
    report(kind: string, ...texts: readonly ((revision: number) => string)[]): void {
        for (const text of texts) {
            this.revision += 1;
            this.events.push({ kind, position: "", text: text(this.revision), revision: this.revision });
        }
        this.wake();
    }

    private list(kind: string, after: string): string {
        if (this.listText !== undefined) return this.listText;
        const following = this.listed.filter(entry => entry.kind === kind && entry.position > after);
        const page = following.slice(0, PAGE_SIZE).map(({ text }) => text);
        const hasMore = following.length > PAGE_SIZE;
        return `{"Entries":[${page.join(",")}],"HasMore":${hasMore},"At":${this.revision}}`;
    }

    private async watch(kind: string, since: number, waitMs: number): Promise<string> {
        const scripted = this.watchTexts.shift();
        if (scripted !== undefined) return scripted;
        const end = performance.now() + waitMs;
        for (;;) {
            const events = this.events.filter(event => event.kind === kind && event.revision > since);
            if (events.length > 0 || performance.now() >= end) {
                const texts = events.map(({ text }) => `{"Object":${text}}`);
                return `{"events":[${texts.join(",")}],"At":${this.revision}}`;
            }
            await new Promise<void>(resolve => {
                const timer = setTimeout(resolve, Math.max(1, Math.min(20, end - performance.now())));
                this.wake = (): void => {
                    clearTimeout(timer);
                    resolve();
                };
            });
        }
    }
}
