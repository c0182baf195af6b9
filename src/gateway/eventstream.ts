/**
 * Splits an event stream into events, so that callers get only complete events and a broken stream can be resumed after
 * the last one. In a stream with ids each event has one, and ids increase. Anything else is not part of the stream, such as
 * an error that a target writes in place of the rest, or the events of a run that has begun anew.
 */

/** A complete event with its terminating blank line. */
export interface StreamEvent {
    readonly bytes: Buffer;
    /** Value of its `id` field, if it has one. */
    readonly id: string | undefined;
    /** Whether it consists of comments, which say only that the connection is open. */
    readonly isComment: boolean;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = /^id: ?(.*)$/m;
/** Lines that have no meaning; servers send them to keep a connection open. */
const COMMENT = /^(:.*\r?\n)+\r?\n$/;
/** Lines with a name and a value each. */
const FIELDS = /^([\w-]*:.*\r?\n)+\r?\n$/;

/** Buffers the bytes of one stream until they form complete events. */
export class EventSplitter {
    private buffered: Buffer = Buffer.alloc(0);
    private bytesSince = 0;
    private malformed = false;

    private constructor(private lastId: string | undefined) {}

    /** `lastId` is the id of the event after which the stream begins. */
    static create(lastId?: string): EventSplitter {
        return new EventSplitter(lastId);
    }

    /** Number of bytes since the last event with a new id. */
    get bytesSinceNewEvent(): number {
        return this.bytesSince;
    }

    /** Number of buffered bytes, which are not yet a complete event. */
    get pendingBytes(): number {
        return this.buffered.length;
    }

    /** Whether the stream has had bytes that are not its next event; nothing after them is returned. */
    get isMalformed(): boolean {
        return this.malformed;
    }

    /** Adds bytes and returns the events that are now complete. */
    push(chunk: Buffer): readonly StreamEvent[] {
        if (this.malformed) return [];
        this.buffered = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk]);
        const idBefore = this.lastId;
        const events: StreamEvent[] = [];
        let start = 0;
        for (let end = findEventEnd(this.buffered, start); end > 0; end = findEventEnd(this.buffered, start)) {
            const bytes = this.buffered.subarray(start, end);
            const text = bytes.toString("latin1");
            const id = ID_FIELD.exec(text)?.[1]?.trimEnd();
            this.malformed = id === undefined ? !this.mayLackId(text) : !isAfter(id, this.lastId);
            if (this.malformed) break;
            this.lastId = id ?? this.lastId;
            events.push({ bytes, id, isComment: COMMENT.test(text) });
            start = end;
        }
        this.buffered = this.buffered.subarray(start);
        this.bytesSince = this.lastId === idBefore ? this.bytesSince + chunk.length : this.buffered.length;
        return events;
    }

    private mayLackId(text: string): boolean {
        return COMMENT.test(text) || (this.lastId === undefined && FIELDS.test(text));
    }
}

/** Whether an event may follow another one. Ids increase; those that are no numbers differ. */
function isAfter(id: string, previousId: string | undefined): boolean {
    if (previousId === undefined) return true;
    const difference = Number(id) - Number(previousId);
    return Number.isNaN(difference) ? id !== previousId : difference > 0;
}

/** Index after the blank line that ends the event starting at `start`; 0 if the event is incomplete. */
function findEventEnd(bytes: Buffer, start: number): number {
    let lineStart = start;
    for (let index = bytes.indexOf(LINE_FEED, start); index >= 0; index = bytes.indexOf(LINE_FEED, index + 1)) {
        const lineEnd = index > lineStart && bytes[index - 1] === CARRIAGE_RETURN ? index - 1 : index;
        if (lineEnd === lineStart && index > start) return index + 1;
        lineStart = index + 1;
    }
    return 0;
}
