/**
 * Splits an event stream into whole events, so that only complete events reach a caller and a broken stream can be
 * continued after the last of them.
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

/** Collects the bytes of one stream. */
export class EventSplitter {
    private buffered: Buffer = Buffer.alloc(0);

    private constructor() {}

    static create(): EventSplitter {
        return new EventSplitter();
    }

    /** Bytes that are not yet a complete event. */
    get pendingBytes(): number {
        return this.buffered.length;
    }

    /** Adds bytes and takes out the events that are complete now. */
    push(chunk: Buffer): readonly StreamEvent[] {
        this.buffered = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk]);
        const events: StreamEvent[] = [];
        let start = 0;
        for (let end = eventEnd(this.buffered, start); end > 0; end = eventEnd(this.buffered, start)) {
            const bytes = this.buffered.subarray(start, end);
            events.push({ bytes, id: ID_FIELD.exec(bytes.toString("latin1"))?.[1]?.trimEnd() });
            start = end;
        }
        this.buffered = this.buffered.subarray(start);
        return events;
    }
}

/** Position after the blank line that ends the event which begins at `start`; 0 if it is not complete. */
function eventEnd(bytes: Buffer, start: number): number {
    let lineStart = start;
    for (let index = bytes.indexOf(LINE_FEED, start); index >= 0; index = bytes.indexOf(LINE_FEED, index + 1)) {
        const lineEnd = index > lineStart && bytes[index - 1] === CARRIAGE_RETURN ? index - 1 : index;
        if (lineEnd === lineStart && index > start) return index + 1;
        lineStart = index + 1;
    }
    return 0;
}
