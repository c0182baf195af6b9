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

/** Smallest buffer of an incomplete event in bytes. */
const MINIMUM_CAPACITY = 256;

/** Buffers the bytes of one stream until they form complete events. */
export class EventSplitter {
    /** Holds the incomplete event in its first `size` bytes. */
    private buffer: Buffer = EMPTY;
    private size = 0;
    /** Where the search for the end of the event goes on, and where the line begins in which it does. */
    private searched = 0;
    private lineStart = 0;
    private bytesSince = 0;
    private partsSince = 0;
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

    /** Number of parts in which the bytes since that event have come. */
    get partsSinceNewEvent(): number {
        return this.partsSince;
    }

    /** Number of buffered bytes, which are not yet a complete event. */
    get pendingBytes(): number {
        return this.size;
    }

    /** Number of bytes that the buffer takes. */
    get heldBytes(): number {
        return this.buffer.length;
    }

    /** Whether the stream has had bytes that are not its next event; nothing after them is returned. */
    get isMalformed(): boolean {
        return this.malformed;
    }

    /** Adds bytes and returns the events that are now complete. */
    push(chunk: Buffer): readonly StreamEvent[] {
        if (this.malformed) return [];
        const bytes = this.withPending(chunk);
        const idBefore = this.lastId;
        const events: StreamEvent[] = [];
        let start = 0;
        for (let end = this.findEventEnd(bytes, start); end > 0; end = this.findEventEnd(bytes, start)) {
            const event = bytes.subarray(start, end);
            const text = event.toString("latin1");
            const id = ID_FIELD.exec(text)?.[1]?.trimEnd();
            this.malformed = id === undefined ? !this.mayLackId(text) : !isAfter(id, this.lastId);
            if (this.malformed) break;
            this.lastId = id ?? this.lastId;
            events.push({ bytes: event, id, isComment: COMMENT.test(text) });
            start = end;
            this.searched = end;
            this.lineStart = end;
        }
        this.keepPending(bytes, start);
        const hasNewEvent = this.lastId !== idBefore;
        this.bytesSince = hasNewEvent ? this.size : this.bytesSince + chunk.length;
        this.partsSince = hasNewEvent ? 0 : this.partsSince + 1;
        return events;
    }

    /** The bytes of the incomplete event with a chunk behind them. */
    private withPending(chunk: Buffer): Buffer {
        if (this.size === 0) return chunk;
        const size = this.size + chunk.length;
        if (size > this.buffer.length) {
            const grown = Buffer.allocUnsafeSlow(Math.max(size, 2 * this.buffer.length));
            this.buffer.copy(grown, 0, 0, this.size);
            this.buffer = grown;
        }
        chunk.copy(this.buffer, this.size);
        return this.buffer.subarray(0, size);
    }

    /** Keeps the bytes from `start`. Complete events refer to the buffer before them, so that it is not written again. */
    private keepPending(bytes: Buffer, start: number): void {
        const isInBuffer = this.size > 0 && start === 0;
        this.size = bytes.length - start;
        if (!isInBuffer) {
            this.buffer = this.size === 0 ? EMPTY : Buffer.allocUnsafeSlow(Math.max(MINIMUM_CAPACITY, this.size));
            bytes.copy(this.buffer, 0, start);
        }
        this.searched -= start;
        this.lineStart -= start;
    }

    /** Index after the blank line that ends the event starting at `start`; 0 if the event is incomplete. */
    private findEventEnd(bytes: Buffer, start: number): number {
        for (
            let index = bytes.indexOf(LINE_FEED, this.searched);
            index >= 0;
            index = bytes.indexOf(LINE_FEED, index + 1)
        ) {
            const isAfterReturn = index > this.lineStart && bytes[index - 1] === CARRIAGE_RETURN;
            const lineEnd = isAfterReturn ? index - 1 : index;
            if (lineEnd === this.lineStart && index > start) return index + 1;
            this.lineStart = index + 1;
        }
        this.searched = bytes.length;
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
