/** The record of a run: one line for each thing that was sent, answered or run. */
import { createWriteStream } from "node:fs";
import { fileURLToPath } from "node:url";

export class Record {
    constructor(file) {
        this.stream = createWriteStream(file);
        this.startedAt = performance.now();
    }

    /** The record beside a case's module. */
    static create(moduleUrl) {
        return new Record(fileURLToPath(new URL("record.txt", moduleUrl)));
    }

    write(what, fields) {
        const at = ((performance.now() - this.startedAt) / 1_000).toFixed(3);
        this.stream.write(`${at} ${what} ${JSON.stringify(fields)}\n`);
    }

    close() {
        return new Promise(resolve => this.stream.end(resolve));
    }
}
