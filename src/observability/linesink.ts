/**
 * Writes log lines to a file descriptor without ever holding up the process.
 *
 * Lines are gathered and written in the background. When the reader is slow, lines beyond the buffer are dropped and
 * counted, and the count is the next line that is written.
 */
import { write } from "node:fs";

/** Bytes that wait to be written at most; more lines are dropped. */
const MAXIMUM_BUFFERED_BYTES = 262_144;

/** Time in milliseconds for which lines are gathered before they are written. */
const GATHER_MS = 25;

/** Writes text to a descriptor; `done` is called once. */
export type WriteText = (text: string, done: (error: Error | null) => void) => void;

/** A writer for standard output, through the file system's worker threads. */
export const writeStandardOutput: WriteText = (text, done) => write(1, text, done);

/** Buffers lines. */
export class LineSink {
    private buffered: string[] = [];
    private bufferedBytes = 0;
    private dropped = 0;
    private writing = false;
    private timer: NodeJS.Timeout | undefined;

    private constructor(private readonly writeText: WriteText) {}

    static create(writeText: WriteText = writeStandardOutput): LineSink {
        return new LineSink(writeText);
    }

    /** Lines that were dropped since the last one that told of it. */
    get droppedLines(): number {
        return this.dropped;
    }

    /** Adds a line without its end. */
    write(line: string): void {
        if (this.bufferedBytes + line.length > MAXIMUM_BUFFERED_BYTES) {
            this.dropped += 1;
            return;
        }
        this.buffered.push(line);
        this.bufferedBytes += line.length + 1;
        this.timer ??= setTimeout(() => this.flush(), GATHER_MS);
    }

    /** Writes what is buffered. */
    flush(): void {
        clearTimeout(this.timer);
        this.timer = undefined;
        if (this.writing || this.buffered.length === 0) return;
        const lines = this.buffered;
        if (this.dropped > 0) lines.push(JSON.stringify({ message: "log lines dropped", count: this.dropped }));
        this.buffered = [];
        this.bufferedBytes = 0;
        this.dropped = 0;
        this.writing = true;
        this.writeText(`${lines.join("\n")}\n`, error => {
            this.writing = false;
            if (error !== null) this.dropped += lines.length;
            if (this.buffered.length > 0) this.timer ??= setTimeout(() => this.flush(), GATHER_MS);
        });
    }
}
