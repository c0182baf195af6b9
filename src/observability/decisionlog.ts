/**
 * Log lines for decisions on requests and for changes of what a process believes.
 *
 * The rate is bounded: above it, lines are dropped and counted, and the count comes with the next line that is written.
 */
import { Logger } from "tslog";
import { TokenBucket } from "../routing/index.js";
import { LineSink } from "./linesink.js";

/** Lines a second on average, and at once. A request takes one to three lines. */
const LINES_PER_SECOND = 300;
const LINES_AT_ONCE = 600;

/** Fields of a line. */
export type LineFields = Readonly<Record<string, unknown>>;

/** Writes decisions and changes. */
export class DecisionLog {
    private readonly bucket = TokenBucket.create({ perSecond: LINES_PER_SECOND, capacity: LINES_AT_ONCE });
    private suppressed = 0;
    private readonly logger: Logger<unknown>;

    private constructor(
        process: string,
        private readonly sink: LineSink,
    ) {
        this.logger = new Logger({
            type: "hidden",
            // Finding the caller's position takes a stack trace for each line.
            hideLogPositionForProduction: true,
        });
        this.logger.attachTransport(entry => {
            const { 0: fields, 1: message } = entry as unknown as { 0: LineFields; 1: string };
            this.sink.write(JSON.stringify({ ...fields, time: new Date().toISOString(), process, message }));
        });
    }

    static create(process: string, sink: LineSink = LineSink.create()): DecisionLog {
        return new DecisionLog(process, sink);
    }

    /** Writes a line unless too many were written of late. */
    write(message: string, fields: LineFields): void {
        if (!this.bucket.tryTake()) {
            this.suppressed += 1;
            return;
        }
        const { suppressed } = this;
        this.suppressed = 0;
        this.logger.info(suppressed > 0 ? { ...fields, suppressed } : fields, message);
    }

    /** Writes a line whatever the rate, for start, stop and lost or regained dependencies. */
    writeUnthrottled(message: string, fields: LineFields): void {
        this.logger.info(fields, message);
    }

    /** Starts writing what is buffered. */
    flush(): void {
        this.sink.flush();
    }
}
