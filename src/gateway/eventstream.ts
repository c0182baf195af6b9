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

const EMPTY = Buffer.alloc(0);

/**
 * Buffers the bytes of one stream until they form complete events. Each byte is searched once and copied a few times at
 * most: a target may send an event without an end in very small chunks, whose cost must not grow with what is buffered.
 */
export class EventSplitter {
    /** The bytes of the incomplete event, and room for more. */
    private buffer: Buffer = EMPTY;
    private size = 0;
    /** Where the search for the end of the event goes on, and where the line begins in which that is. */
    private searchStart = 0;
    private lineStart = 0;
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
        return this.size;
    }

    /** Whether the stream has had bytes that are not its next event; nothing after them is returned. */
    get isMalformed(): boolean {
        return this.malformed;
    }

    /** Adds bytes and returns the events that are now complete. */
    push(chunk: Buffer): readonly StreamEvent[] {
        if (this.malformed) return [];
        this.append(chunk);
        const idBefore = this.lastId;
        const events: StreamEvent[] = [];
        let start = 0;
        for (let end = this.findEventEnd(start); end > 0; end = this.findEventEnd(start)) {
            const bytes = this.buffer.subarray(start, end);
            const text = bytes.toString("latin1");
            const id = ID_FIELD.exec(text)?.[1]?.trimEnd();
            this.malformed = id === undefined ? !this.mayLackId(text) : !isAfter(id, this.lastId);
            if (this.malformed) break;
            this.lastId = id ?? this.lastId;
            events.push({ bytes, id, isComment: COMMENT.test(text) });
            start = end;
        }
        if (start > 0) this.drop(start);
        this.bytesSince = this.lastId === idBefore ? this.bytesSince + chunk.length : this.size;
        return events;
    }

    private append(chunk: Buffer): void {
        const size = this.size + chunk.length;
        if (this.size === 0) {
            this.buffer = chunk;
        } else {
            if (size > this.buffer.length) {
                const grown = Buffer.allocUnsafeSlow(Math.max(size, 2 * this.buffer.length));
                this.buffer.copy(grown, 0, 0, this.size);
                this.buffer = grown;
            }
            chunk.copy(this.buffer, this.size);
        }
        this.size = size;
    }

    /** Drops the first bytes. The rest has no room behind it, so that events which were returned are not overwritten. */
    private drop(count: number): void {
        this.buffer = this.buffer.subarray(count, this.size);
        this.size -= count;
        this.searchStart -= count;
        this.lineStart -= count;
    }

    /** Index after the blank line that ends the event starting at `start`; 0 if the event is incomplete. */
    private findEventEnd(start: number): number {
        const bytes = this.buffer.subarray(0, this.size);
        let index = bytes.indexOf(LINE_FEED, this.searchStart);
        for (; index >= 0; index = bytes.indexOf(LINE_FEED, index + 1)) {
            const lineEnd = index > this.lineStart && bytes[index - 1] === CARRIAGE_RETURN ? index - 1 : index;
            const isBlank = lineEnd === this.lineStart;
            this.lineStart = index + 1;
            this.searchStart = index + 1;
            if (isBlank && index > start) return index + 1;
        }
        this.searchStart = this.size;
        return 0;
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
