/**
 * The promises that hold while nothing fails: all work is planned, and targets and connections are at most silent for a
 * while and then go on. Some of them hold beside faults as well.
 */
import {
    type CallerObservation,
    expectedBody,
    NOT_RUN_STATUSES,
    type RequestKind,
    type SoakRecord,
} from "./promises.js";

/** A piece of a stage as a target was asked for it. */
export interface PieceObservation {
    readonly id: string;
    readonly service: string;
    readonly piece: string;
    readonly target: string;
    readonly at: number;
}

/** Limits that the gateways and the callers were given. */
export interface SoakLimits {
    readonly deadlineMs: number;
    readonly stopGraceMs: number;
    /** Repeats that a service may get in a window: a fraction of its requests, and an allowance. */
    readonly retryFraction: number;
    readonly retryAllowance: number;
}

/** What else is known after a run. */
export interface SoundRecord extends SoakRecord {
    readonly limits: SoakLimits;
    readonly pieces: readonly PieceObservation[];
    /** Planned stops, with the process that got the signal. */
    readonly stops: readonly { readonly incarnation: string; readonly at: number }[];
    /** Times in which nothing passed between gateways and a target. */
    readonly heldLinks: readonly { readonly target: string; readonly from: number; readonly until: number }[];
    /** Changes of the configuration. */
    readonly changes: readonly { readonly version: number; readonly at: number }[];
    /** Time of the last requests, after everything has recovered, and the targets that are then available. */
    readonly recoveredAt: number;
    readonly availableTargets: readonly string[];
}

/** Longest time in milliseconds for which a resumed stream may still be at work at the target before. */
const LONGEST_OVERLAP_MS = 400;

/** Window in milliseconds in which repeats are counted. */
const RETRY_WINDOW_MS = 10_000;

/** Time in milliseconds before its deadline from which a request counts as having no time left. */
const DEADLINE_MARGIN_MS = 150;

/** Time in milliseconds in which a request that crosses the close of its connection ends. */
const CLOSE_SLACK_MS = 500;

/** Time in milliseconds in which a configuration reaches all gateways. */
const CONFIGURATION_MS = 3_000;

/** Part of the grace period after which a request may end unfinished, if it was sent soon after the signal. */
const GRACE_SHARE = 5 / 6;
const LATEST_AFTER_STOP_MS = 3_000;

/** Reason of a refusal that follows from a failed stage, which no target of these runs causes. */
const STAGE_FAILURE = "stage failed";

/** Service of the route of each kind of request. */
export const SERVICE_OF: Readonly<Record<RequestKind, string>> = {
    book: "bookings",
    check: "bookings",
    extra: "bookings",
    draft: "engines",
    chat: "engines",
    staged: "engines",
};

/** Broken promises of a run in which targets and connections were at most silent for a while. */
export function findUnsoundEnds(record: SoundRecord): readonly string[] {
    const runs = new Set(record.targets.filter(({ isDeclined }) => !isDeclined).map(({ id }) => id));
    return record.callers
        .filter(caller => !isWhole(caller) && !hadNoTimeLeft(caller, record) && !wasNotTaken(caller, runs, record))
        .map(({ id, kind, incarnation, status, body, startedAt, endedAt }) => {
            const targets = record.targets
                .filter(arrival => arrival.id === id)
                .map(
                    ({ target, at, until }) =>
                        `${target} from ${Math.round(at - startedAt)} to ${Math.round(until - startedAt)}`,
                );
            const end = `${kind} ${id} at ${incarnation} ended with ${status} after ${Math.round(endedAt - startedAt)} ms`;
            return `${end}, ${JSON.stringify(body.slice(-60))}; at targets: ${targets.join(", ")}`;
        });
}

/** Broken promises about repeated work and about the targets' later use, which hold beside faults as well. */
export function findExcessWork(record: SoundRecord): readonly string[] {
    return [...checkOverlaps(record), ...checkRetryBudgets(record), ...checkUse(record)];
}

function isWhole({ kind, id, status, body, complete }: CallerObservation): boolean {
    return status === 200 && complete && body === expectedBody(kind, id);
}

function hadNoTimeLeft(caller: CallerObservation, { limits, stops }: SoundRecord): boolean {
    if (caller.endedAt > caller.startedAt + limits.deadlineMs - DEADLINE_MARGIN_MS) return true;
    return stops.some(
        ({ incarnation, at }) =>
            incarnation === caller.incarnation &&
            caller.startedAt < at + LATEST_AFTER_STOP_MS &&
            caller.endedAt > at + limits.stopGraceMs * GRACE_SHARE,
    );
}

/** Whether the request was refused or its connection closed before it was run, or its route is not yet in force. */
function wasNotTaken(caller: CallerObservation, runs: ReadonlySet<string>, { changes }: SoundRecord): boolean {
    const { id, status, body, startedAt, endedAt, addedIn } = caller;
    if (runs.has(id)) return false;
    if (NOT_RUN_STATUSES.includes(status)) return !body.includes(STAGE_FAILURE);
    if (status === 0) return endedAt - startedAt < CLOSE_SLACK_MS;
    const change = changes.find(({ version }) => version === addedIn);
    return status === 404 && change !== undefined && startedAt < change.at + CONFIGURATION_MS;
}

function checkOverlaps({ callers, targets, heldLinks }: SoundRecord): readonly string[] {
    const chats = new Set(callers.filter(({ kind }) => kind === "chat").map(({ id }) => id));
    const works = targets.filter(({ id, isDeclined }) => chats.has(id) && !isDeclined);
    return [...groupBy(works, ({ id }) => id)].flatMap(([id, runs]) =>
        runs.flatMap((run, index) =>
            runs.slice(index + 1).flatMap(later => {
                const until = Math.min(run.until, later.until);
                // The end of the work cannot reach a target to which nothing passes.
                const heldMs = heldLinks
                    .filter(({ target }) => target === run.target)
                    .reduce((sum, held) => sum + overlapMs(held, { from: later.at, until }), 0);
                const bothMs = until - later.at - heldMs;
                if (bothMs <= LONGEST_OVERLAP_MS) return [];
                return [`chat ${id} was at work at ${run.target} and ${later.target} for ${Math.round(bothMs)} ms`];
            }),
        ),
    );
}

interface Span {
    readonly from: number;
    readonly until: number;
}

function overlapMs(first: Span, second: Span): number {
    return Math.max(0, Math.min(first.until, second.until) - Math.max(first.from, second.from));
}

/** An arrival of a request or a piece at a service, by a key that is the same for its repeats. */
interface Arrival {
    readonly service: string;
    readonly key: string;
    readonly at: number;
}

/** Arrivals by service, in their order. */
function arrivalsByService({ targets, pieces }: SoundRecord): ReadonlyMap<string, readonly Arrival[]> {
    const arrivals: readonly Arrival[] = [
        ...targets.map(({ service, id, at }) => ({ service, key: id, at })),
        ...pieces.map(({ service, id, piece, at }) => ({ service, key: `${id} ${piece}`, at })),
    ];
    return groupBy(
        arrivals.toSorted((first, second) => first.at - second.at),
        ({ service }) => service,
    );
}

function repeatsOf(arrivals: readonly Arrival[]): readonly Arrival[] {
    return [...groupBy(arrivals, ({ key }) => key).values()].flatMap(([, ...later]) => later);
}

/** Arrivals beyond the first of a request or piece, by service. */
export function countRepeats(record: SoundRecord): Readonly<Record<string, number>> {
    const services = [...arrivalsByService(record)];
    return Object.fromEntries(services.map(([service, arrivals]) => [service, repeatsOf(arrivals).length]));
}

function checkRetryBudgets(record: SoundRecord): readonly string[] {
    const { callers, limits } = record;
    // The budget is for requests. Repeated pieces are counted only for the report.
    const services = [...arrivalsByService({ ...record, pieces: [] })];
    return services.flatMap(([service, arrivals]) => {
        const repeatTimes = repeatsOf(arrivals).map(({ at }) => at);
        const requestTimes = callers
            .filter(({ kind }) => SERVICE_OF[kind] === service)
            .map(({ startedAt }) => startedAt);
        const windows = repeatTimes.map(at => {
            const ends = [at, at - RETRY_WINDOW_MS / 2, at - RETRY_WINDOW_MS];
            const requests = Math.max(...ends.map(until => countInWindow(requestTimes, until)));
            return { requests, count: countInWindow(repeatTimes, at) };
        });
        const excess = windows.find(
            ({ requests, count }) => count > limits.retryFraction * requests + limits.retryAllowance,
        );
        if (excess === undefined) return [];
        return [`${service} got ${excess.count} repeats in a window with ${excess.requests} requests`];
    });
}

function countInWindow(times: readonly number[], until: number): number {
    return times.filter(time => time > until - RETRY_WINDOW_MS && time <= until).length;
}

function groupBy<Item>(items: readonly Item[], keyOf: (item: Item) => string): ReadonlyMap<string, readonly Item[]> {
    const groups = new Map<string, Item[]>();
    for (const item of items) {
        const group = groups.get(keyOf(item));
        if (group === undefined) groups.set(keyOf(item), [item]);
        else group.push(item);
    }
    return groups;
}

/** Targets that were used in the run are used again. */
function checkUse({ targets, pieces, recoveredAt, availableTargets }: SoundRecord): readonly string[] {
    const namesOf = (isMeant: (at: number) => boolean): ReadonlySet<string> =>
        new Set([...targets, ...pieces].filter(({ at }) => isMeant(at)).map(({ target }) => target));
    const before = namesOf(at => at <= recoveredAt);
    const after = namesOf(at => at > recoveredAt);
    return availableTargets
        .filter(target => before.has(target) && !after.has(target))
        .map(target => `${target} was not used again`);
}
