/**
 * What a new owner does with the journals of earlier owners: it closes those that were not released cleanly, then reads
 * them. Closing comes first, since a record that is committed after the read would be missed.
 */
import { pause } from "../model/pause.js";
import type { Store, StoredObject } from "../store/index.js";
import {
    EMPTY_SEGMENT,
    encodeSegment,
    type JournalReference,
    type JournalRecord,
    parseSegment,
    type Segment,
    segmentKey,
} from "./segment.js";

/** Pause before a read or a write is tried again, in milliseconds. */
const RETRY_PAUSE_MS = 100;

/** Reads journals of one service on behalf of one successor. */
export class JournalRecovery {
    private constructor(
        private readonly store: Store,
        private readonly service: string,
        private readonly successor: string,
        private readonly signal: AbortSignal,
    ) {}

    /** The signal ends all reading. */
    static create(store: Store, service: string, successor: string, signal: AbortSignal): JournalRecovery {
        return new JournalRecovery(store, service, successor, signal);
    }

    /** All records of a journal, oldest first, after closing it if needed. Undefined when the signal ended it. */
    async read(reference: JournalReference): Promise<readonly JournalRecord[] | undefined> {
        const records: JournalRecord[] = [];
        for (let index = 0; index < (reference.segments ?? Infinity); index += 1) {
            const segment = await this.finalSegment(reference, index);
            if (segment === undefined) return undefined;
            records.push(...segment.records);
            if (segment.closedBy !== "") break;
        }
        return records;
    }

    /**
     * A segment that nobody will write again. Waits as long as the store is down or serves an older state, and while
     * the segment is malformed, since keys whose claims it held must not run.
     */
    private async finalSegment(reference: JournalReference, index: number): Promise<Segment | undefined> {
        const key = segmentKey(this.service, reference.journal, index);
        while (!this.signal.aborted) {
            const read = await this.store.read(key);
            if (read.kind !== "unavailable") {
                const object = read.kind === "found" ? read.object : undefined;
                const segment = object === undefined ? EMPTY_SEGMENT : parseSegment(object.value);
                if (segment?.sealed === true || (segment?.closedBy ?? "") !== "") return segment;
                // Segments of a clean release are sealed; one that does not look so was served from an older state.
                const open = reference.segments === undefined ? segment : undefined;
                if (open !== undefined && (await this.close(key, object, open))) {
                    return { ...open, closedBy: this.successor };
                }
            }
            await pause(RETRY_PAUSE_MS);
        }
        return undefined;
    }

    /** The condition on the version makes the contents that were read the final ones. */
    private async close(key: string, object: StoredObject | undefined, segment: Segment): Promise<boolean> {
        const value = encodeSegment({ ...segment, closedBy: this.successor });
        const outcome = await this.store.write(key, value, object?.version ?? 0);
        return outcome.kind === "written";
    }
}
