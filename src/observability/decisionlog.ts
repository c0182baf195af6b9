/**
 * Log of decisions on requests and of changes in what a process knows about the system.
 *
 * The rate is limited: lines above it are dropped and counted, and the next line that is written carries the count.
 */
import { Logger } from "tslog";
import { TokenBucket } from "../routing/index.js";
import { LineSink } from "./linesink.js";

/** Limits on the average rate and on a burst. A request takes one to three lines. */
const LINES_PER_SECOND = 300;
const LINE_BURST = 600;

/** Fields of a log line. */
export type LineFields = Readonly<Record<string, unknown>>;

/** Writes log lines as JSON, with a rate limit. */
export class DecisionLog {
    private readonly bucket = TokenBucket.create({ perSecond: LINES_PER_SECOND, capacity: LINE_BURST });
    private suppressed = 0;
    private readonly logger: Logger<unknown>;

    private constructor(
        process: string,
        private readonly sink: LineSink,
    ) {
        this.logger = new Logger({
            type: "hidden",
            // Finding the source position of the caller takes a stack trace for each line.
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

    /** Writes a line unless the rate limit is reached. */
    write(message: string, fields: LineFields): void {
        if (!this.bucket.tryTake()) {
            this.suppressed += 1;
            return;
        }
        const { suppressed } = this;
        this.suppressed = 0;
        this.logger.info(suppressed > 0 ? { ...fields, suppressed } : fields, message);
    }

    /** Writes a line regardless of the rate limit; for start, stop, and lost or regained dependencies. */
    writeUnthrottled(message: string, fields: LineFields): void {
        this.logger.info(fields, message);
    }

    /** Starts to write the buffered lines. */
    flush(): void {
        this.sink.flush();
    }
}
