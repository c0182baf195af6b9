/**
 * Writes log lines to a file descriptor without ever blocking the process.
 *
 * Lines are buffered and written in the background. When the reader is slow, lines that do not fit into the buffer are
 * dropped and counted, and the next write ends with a line with the count.
 */
import { write } from "node:fs";

/** Size limit of the buffer; lines beyond it are dropped. */
const MAXIMUM_BUFFERED_BYTES = 262_144;

/** Time for which lines are buffered before they are written together. */
const FLUSH_DELAY_MS = 25;

/** Writes text to a file descriptor; `done` is called once. */
export type WriteText = (text: string, done: (error: Error | null) => void) => void;

/** Writes to standard output on the file system's worker threads. */
export const writeStandardOutput: WriteText = (text, done) => write(1, text, done);

/** Buffers lines and writes them in batches. */
export class LineSink {
    private buffered: string[] = [];
    private bufferedBytes = 0;
    private dropped = 0;
    private isWriting = false;
    private timer: NodeJS.Timeout | undefined;

    private constructor(private readonly writeText: WriteText) {}

    static create(writeText: WriteText = writeStandardOutput): LineSink {
        return new LineSink(writeText);
    }

    /** Number of lines dropped since the count was last written. */
    get droppedLines(): number {
        return this.dropped;
    }

    /** Buffers a line, given without a line break. */
    write(line: string): void {
        if (this.bufferedBytes + line.length > MAXIMUM_BUFFERED_BYTES) {
            this.dropped += 1;
            return;
        }
        this.buffered.push(line);
        this.bufferedBytes += line.length + 1;
        this.timer ??= setTimeout(() => this.flush(), FLUSH_DELAY_MS);
    }

    /** Writes the buffered lines, unless a write is in progress. */
    flush(): void {
        clearTimeout(this.timer);
        this.timer = undefined;
        if (this.isWriting || this.buffered.length === 0) return;
        const lines = this.buffered;
        if (this.dropped > 0) lines.push(JSON.stringify({ message: "log lines dropped", count: this.dropped }));
        this.buffered = [];
        this.bufferedBytes = 0;
        this.dropped = 0;
        this.isWriting = true;
        this.writeText(`${lines.join("\n")}\n`, error => {
            this.isWriting = false;
            if (error !== null) this.dropped += lines.length;
            if (this.buffered.length > 0) this.timer ??= setTimeout(() => this.flush(), FLUSH_DELAY_MS);
        });
    }
}
