/**
 * Recovery of the journals of earlier owners by a new owner. It closes the journals that were not released cleanly, and
 * then reads them. They are closed first, as a record that is committed after the read would be missed.
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

    /** Creates a recovery that the signal ends. */
    static create(store: Store, service: string, successor: string, signal: AbortSignal): JournalRecovery {
        return new JournalRecovery(store, service, successor, signal);
    }

    /** Returns all records of a journal, oldest first, after closing it if needed. Undefined if the signal ended it. */
    async read(reference: JournalReference): Promise<readonly JournalRecord[] | undefined> {
        const records: JournalRecord[] = [];
        for (let index = 0; index < (reference.segments ?? Infinity); index += 1) {
            const segment = await this.readFinalSegment(reference, index);
            if (segment === undefined) return undefined;
            records.push(...segment.records);
            if (segment.closedBy !== "") break;
        }
        return records;
    }

    /**
     * Reads a segment that is final: nobody writes it again. Waits while the store is down or serves stale reads, and
     * while the segment is malformed, because keys whose claims it held must not run.
     */
    private async readFinalSegment(reference: JournalReference, index: number): Promise<Segment | undefined> {
        const key = segmentKey(this.service, reference.journal, index);
        while (!this.signal.aborted) {
            const read = await this.store.read(key);
            if (read.kind !== "unavailable") {
                const object = read.kind === "found" ? read.object : undefined;
                const segment = object === undefined ? EMPTY_SEGMENT : parseSegment(object.value);
                if (segment?.sealed === true || (segment?.closedBy ?? "") !== "") return segment;
                // The segments of a clean release are sealed, so an unsealed one is a stale read.
                const openSegment = reference.segments === undefined ? segment : undefined;
                if (openSegment !== undefined && (await this.close(key, object, openSegment))) {
                    return { ...openSegment, closedBy: this.successor };
                }
            }
            await pause(RETRY_PAUSE_MS);
        }
        return undefined;
    }

    /** Closes a segment on condition that it has the version that was read, so that the contents read are final. */
    private async close(key: string, object: StoredObject | undefined, segment: Segment): Promise<boolean> {
        const value = encodeSegment({ ...segment, closedBy: this.successor });
        const outcome = await this.store.write(key, value, object?.version ?? 0);
        return outcome.kind === "written";
    }
}
