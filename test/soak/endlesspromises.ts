/** The promises that hold beside parties that send without end, from what callers, targets and processes have seen. */
import { type CallerObservation, expectedBody, type RequestKind } from "./promises.js";
import { findUnsoundEnds, SERVICE_OF, type SoundRecord } from "./soundpromises.js";

/** A gateway's process. */
export interface ProcessObservation {
    /** The name of the gateway and the number of its start. */
    readonly incarnation: string;
    /** Largest resident memory; 0 if it is not known. */
    readonly peakBytes: number;
    /** How the process ended by itself; undefined if it did not. */
    readonly ownEnd: string | undefined;
}

/** A time in which targets of a service sent bytes without end, or no answers. */
export interface TroubleSpan {
    readonly service: string;
    readonly from: number;
    readonly until: number;
}

/** What is known after a run with such parties. */
export interface EndlessRecord extends SoundRecord {
    readonly processes: readonly ProcessObservation[];
    readonly mostResidentBytes: number;
    readonly replacedIds: ReadonlySet<string>;
    readonly troubles: readonly TroubleSpan[];
}

/** Services whose targets a request of a kind needs beside that of its route. */
const STAGES_OF: Readonly<Partial<Record<RequestKind, readonly string[]>>> = { staged: ["encode", "rank"] };

/** `ContactMs`: time after a disruption in which its effects may last. */
const CONTACT_MS = 3_000;

/** Part of the share of all requests that each kind is served at least, by the rule `Starved`, and requests that show it. */
const LEAST_PART_SERVED = 0.25;
const REQUESTS_THAT_SHOW = 20;

/** Time in milliseconds after its deadline in which a request ends, and how many may take longer, by the rule `CONFIG`. */
const LATE_MS = 500;
const LEAST_LATE = 8;
const LARGEST_PART_LATE = 0.25;

/** Broken promises of a run beside parties that send without end. */
export function findEndlessFaults(record: EndlessRecord): readonly string[] {
    return [
        ...findProcessFaults(record),
        ...checkMemory(record),
        ...checkSoundRequests(record),
        ...checkDeadlines(record),
        ...checkStarved(record),
    ];
}

/** Processes that ended by themselves. */
export function findProcessFaults({ processes }: Pick<EndlessRecord, "processes">): readonly string[] {
    return processes.flatMap(({ incarnation, ownEnd }) =>
        ownEnd === undefined ? [] : [`${incarnation} ended by itself, ${ownEnd}`],
    );
}

function checkMemory({ processes, mostResidentBytes }: EndlessRecord): readonly string[] {
    return processes
        .filter(({ peakBytes }) => peakBytes > mostResidentBytes)
        .map(({ incarnation, peakBytes }) => `${incarnation} used ${Math.round(peakBytes / 1e6)} MB`);
}

/** Requests that only sound targets have answered end as in a run without failures. */
function checkSoundRequests(record: EndlessRecord): readonly string[] {
    return findUnsoundEnds({ ...record, callers: record.callers.filter(({ id }) => !record.replacedIds.has(id)) });
}

/** Requests that reach their deadline end then. */
function checkDeadlines({ callers, limits }: EndlessRecord): readonly string[] {
    const lasting = callers.filter(({ startedAt, endedAt }) => endedAt - startedAt > limits.deadlineMs);
    const late = lasting.filter(({ startedAt, endedAt }) => endedAt - startedAt > limits.deadlineMs + LATE_MS);
    if (late.length < LEAST_LATE || late.length <= LARGEST_PART_LATE * lasting.length) return [];
    return [
        `${late.length} of ${lasting.length} requests that reached their deadline ended more than ${LATE_MS} ms later`,
    ];
}

/** No kind of request goes unserved while all targets that it needs are sound. */
function checkStarved({ callers, troubles }: EndlessRecord): readonly string[] {
    const shareOfAll = shareServed(callers);
    const kinds = [...new Set(callers.map(({ kind }) => kind))];
    return kinds.flatMap(kind => {
        const services = [SERVICE_OF[kind], ...(STAGES_OF[kind] ?? [])];
        const spans = troubles.filter(({ service }) => services.includes(service));
        const sound = callers.filter(
            caller =>
                caller.kind === kind &&
                !spans.some(({ from, until }) => caller.endedAt > from && caller.startedAt < until + CONTACT_MS),
        );
        if (sound.length < REQUESTS_THAT_SHOW || shareServed(sound) >= LEAST_PART_SERVED * shareOfAll) return [];
        const shares = [shareServed(sound), shareOfAll].map(share => share.toFixed(2)).join(" of ");
        return [`${kind} was starved beside sound targets: ${shares}`];
    });
}

function shareServed(callers: readonly CallerObservation[]): number {
    const served = callers.filter(({ kind, id, status, complete, body }) => {
        return status === 200 && complete && body === expectedBody(kind, id);
    });
    return served.length / callers.length;
}
