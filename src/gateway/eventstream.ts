/**
 * Splits an event stream into events, so that callers get only complete events and a broken stream can be resumed after
 * the last one.
 */

/** A complete event with its terminating blank line. */
export interface StreamEvent {
    readonly bytes: Buffer;
    /** Value of its `id` field, if it has one. */
    readonly id: string | undefined;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = /^id: ?(.*)$/m;

/** Buffers the bytes of one stream until they form complete events. */
export class EventSplitter {
    private buffered: Buffer = Buffer.alloc(0);
    private bytesSince = 0;

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

    /** Adds bytes and returns the events that are now complete. */
    push(chunk: Buffer): readonly StreamEvent[] {
        this.buffered = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk]);
        const events: StreamEvent[] = [];
        let start = 0;
        for (
            let eventEndIndex = findEventEnd(this.buffered, start);
            eventEndIndex > 0;
            eventEndIndex = findEventEnd(this.buffered, start)
        ) {
            const bytes = this.buffered.subarray(start, eventEndIndex);
            events.push({ bytes, id: ID_FIELD.exec(bytes.toString("latin1"))?.[1]?.trimEnd() });
            start = eventEndIndex;
        }
        this.buffered = this.buffered.subarray(start);
        const newId = events.findLast(({ id }) => id !== undefined)?.id;
        this.bytesSince =
            newId === undefined || newId === this.lastId ? this.bytesSince + chunk.length : this.buffered.length;
        this.lastId = newId ?? this.lastId;
        return events;
    }
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
