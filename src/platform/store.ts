/** Implements `Store` on the platform's metadata store. Keys are `kind/name`, values are the JSON text of a `Spec`. */
import { z } from "zod";
import { decodeObject, EntryReader, revisionOf } from "./entries.js";
import {
    ANSWER_TOO_LONG,
    connectionsTo,
    type StoreCallOutcome,
    type CallKind,
    type CallCounter,
    EraTracker,
    type ListOutcome,
    type ReadOutcome,
    sendCall,
    type Store,
    type StoreCall,
    type StoreConnections,
    type StoredObject,
    type StoreEra,
    type WatchOutcome,
    type WriteOutcome,
} from "../store/index.js";
import { HEADER } from "./names.js";

/** Settings of the client. */
export interface PlatformStoreOptions {
    /** host:port */
    readonly address: string;
    /** Timeout of one call in milliseconds; a watch adds the time for which it waits. */
    readonly timeoutMilliseconds: number;
    readonly ledger: CallCounter;
    /** Called once for each entry that has no name and is ignored. */
    readonly onEntryIgnored?: (kind: string, reason: string) => void;
}

/** Maximum number of pages in one list, and of their bytes together; a page holds about 500 objects. */
const MAXIMUM_PAGES = 100;
const MAXIMUM_LIST_BYTES = 32 * 1024 * 1024;

/**
 * Longest answer of a watch that is read. A longer one has many versions of large objects, of which a list has the latest
 * only; all registrations of 5,900 targets take half of it.
 */
const MAXIMUM_WATCH_BYTES = 4 * 1024 * 1024;

const listSchema = z.object({ Entries: z.array(z.unknown()), HasMore: z.boolean().optional(), At: z.int() });
const watchSchema = z.object({ events: z.array(z.unknown()), At: z.int() });

/** Client of the platform's store. */
export class PlatformStore implements Store {
    private readonly connections: StoreConnections;
    private readonly era = EraTracker.create(HEADER.storeEra);

    private readonly entries: EntryReader;

    private constructor(private readonly options: PlatformStoreOptions) {
        this.connections = connectionsTo(options.address);
        this.entries = EntryReader.create((kind, reason) => options.onEntryIgnored?.(kind, reason));
    }

    static create(options: PlatformStoreOptions): PlatformStore {
        return new PlatformStore(options);
    }

    async read(key: string): Promise<ReadOutcome> {
        const answer = await this.call("read", { method: "GET", path: pathOf(key) });
        if (answer.kind === "answered" && answer.status === 404) return { kind: "missing", era: this.era.current };
        const object = decodeObject(kindOf(key), successBody(answer));
        return object === undefined ? unavailable(answer) : { kind: "found", object, era: this.era.current };
    }

    async list(prefix: string): Promise<ListOutcome> {
        const kind = kindOf(prefix);
        const objects: StoredObject[] = [];
        let revision: number | undefined;
        let firstEra: StoreEra | undefined;
        let after = "";
        let listBytes = 0;
        for (let page = 0; page < MAXIMUM_PAGES; page += 1) {
            const query = after === "" ? "" : `?After=${encodeURIComponent(after)}`;
            const answer = await this.call("list", { method: "GET", path: `/objects/${kind}${query}` });
            listBytes += answer.kind === "answered" ? answer.bytes : 0;
            if (listBytes > MAXIMUM_LIST_BYTES) return { kind: "unavailable", message: "list is too long" };
            const body = listSchema.safeParse(successBody(answer));
            if (!body.success) return unavailable(answer);
            const era = this.era.current;
            if (era !== (firstEra ??= era)) return { kind: "unavailable", message: "the store was restored" };
            // A watch from the first page's revision also reports the changes made while later pages were read.
            revision ??= body.data.At;
            const read = this.entries.readPage(kind, body.data.Entries, body.data.At);
            objects.push(...read.objects);
            if (body.data.HasMore !== true) return { kind: "listed", objects, revision, era };
            if (read.lastName === undefined || read.lastName === after) {
                return { kind: "unavailable", message: "page of a list has no name to continue from" };
            }
            after = read.lastName;
        }
        return { kind: "unavailable", message: "list has too many pages" };
    }

    async watch(prefix: string, revision: number, timeoutMilliseconds: number): Promise<WatchOutcome> {
        const kind = kindOf(prefix);
        const path = `/objects/${kind}?Watch=${revision}&WaitMs=${timeoutMilliseconds}`;
        const totalMilliseconds = timeoutMilliseconds + this.options.timeoutMilliseconds;
        const answer = await this.call("watch", {
            method: "GET",
            path,
            timeoutMilliseconds: totalMilliseconds,
            maximumBytes: MAXIMUM_WATCH_BYTES,
        });
        if (answer.kind === "unanswered" && answer.message === ANSWER_TOO_LONG) return { kind: "historyGone" };
        if (answer.kind === "answered" && answer.status === 410) return { kind: "historyGone" };
        const body = watchSchema.safeParse(successBody(answer));
        if (!body.success) return unavailable(answer);
        const events = this.entries.readEvents(kind, body.data.events, body.data.At);
        return { kind: "changed", events, revision: body.data.At, era: this.era.current };
    }

    async write(key: string, value: string, expectedVersion: number): Promise<WriteOutcome> {
        const [kind, name] = [kindOf(key), nameOf(key)];
        const spec: unknown = JSON.parse(value);
        const create = expectedVersion === 0;
        const metadata = create ? { Name: name } : { Name: name, Revision: expectedVersion };
        const path = create ? `/objects/${kind}` : pathOf(key);
        const body = JSON.stringify({ Metadata: metadata, Spec: spec });
        return this.writeOutcome(await this.call("write", { method: create ? "POST" : "PUT", path, body }));
    }

    async remove(key: string, expectedVersion: number): Promise<WriteOutcome> {
        const path = `${pathOf(key)}?Revision=${expectedVersion}`;
        return this.writeOutcome(await this.call("remove", { method: "DELETE", path }));
    }

    /** Replaces the status of an object if its version is `expectedVersion`. */
    async writeStatus(key: string, status: unknown, expectedVersion: number): Promise<WriteOutcome> {
        const metadata = { Name: nameOf(key), Revision: expectedVersion };
        const body = JSON.stringify({ Metadata: metadata, Status: status });
        return this.writeOutcome(await this.call("write", { method: "PUT", path: `${pathOf(key)}/status`, body }));
    }

    /** Closes all connections. */
    close(): void {
        this.connections.agent.destroy();
    }

    private async call(
        kind: CallKind,
        call: Omit<StoreCall, "timeoutMilliseconds"> & { readonly timeoutMilliseconds?: number },
    ): Promise<StoreCallOutcome> {
        const { timeoutMilliseconds, ledger } = this.options;
        const answer = this.era.check(await sendCall(this.connections, { timeoutMilliseconds, ...call }));
        ledger.record(kind, answer.kind !== "answered" || answer.status === 429 || answer.status >= 500);
        return answer;
    }

    private writeOutcome(answer: StoreCallOutcome): WriteOutcome {
        if (answer.kind === "unanswered") {
            return { kind: answer.sent ? "unknown" : "unavailable", message: answer.message };
        }
        const { status } = answer;
        if (status === 409 || status === 404) return { kind: "conflict" };
        if (status >= 200 && status < 300) {
            return { kind: "written", version: revisionOf(answer.body) ?? 0, era: this.era.current };
        }
        // The store answers 429 or 503 only if it has not applied the write.
        return { kind: status === 429 || status === 503 ? "unavailable" : "unknown", message: `status ${status}` };
    }
}

function kindOf(key: string): string {
    return key.slice(0, key.indexOf("/"));
}

function nameOf(key: string): string {
    return key.slice(key.indexOf("/") + 1);
}

/** The path of an object. Names may hold characters that would otherwise lead to another path. */
function pathOf(key: string): string {
    return `/objects/${kindOf(key)}/${encodeURIComponent(nameOf(key))}`;
}

function successBody(answer: StoreCallOutcome): unknown {
    return answer.kind === "answered" && answer.status >= 200 && answer.status < 300 ? answer.body : undefined;
}

function unavailable(answer: StoreCallOutcome): { readonly kind: "unavailable"; readonly message: string } {
    if (answer.kind === "unanswered") return { kind: "unavailable", message: answer.message };
    const isSuccess = answer.status >= 200 && answer.status < 300;
    return { kind: "unavailable", message: isSuccess ? "malformed answer" : `status ${answer.status}` };
}
