/** The promises that a soak checks, from what callers and targets have seen. */

/** A caller's request with its answer; `status` is 0 if the connection ended without one. */
export interface CallerObservation {
    readonly id: string;
    readonly kind: RequestKind;
    /** Process that was asked: the name of the gateway and the number of its start. */
    readonly incarnation: string;
    readonly startedAt: number;
    readonly endedAt: number;
    readonly status: number;
    readonly body: string;
    readonly complete: boolean;
    /** Version of the configuration that added the route; undefined for routes that exist from the start. */
    readonly addedIn?: number;
}

/** A request as a target received it. */
export interface TargetObservation {
    readonly id: string;
    readonly service: string;
    readonly target: string;
    readonly at: number;
    /** Time at which the response ended or the target saw that the connection was closed; infinite if neither happened. */
    readonly until: number;
    /** Whether the target said that it did not run the request. */
    readonly isDeclined: boolean;
}

/** A target that was to get nothing any more, from the acknowledgement on. */
export interface DrainedTarget {
    readonly target: string;
    readonly at: number;
}

export type RequestKind = "book" | "check" | "draft" | "chat" | "staged" | "extra";

/** All that is known after a soak. */
export interface SoakRecord {
    readonly callers: readonly CallerObservation[];
    readonly targets: readonly TargetObservation[];
    readonly drained: readonly DrainedTarget[];
    /** Times at which a gateway or its way to the store was disturbed, and until when. */
    readonly disturbances: readonly { readonly from: number; readonly until: number }[];
    /** Requests to which a faulty target sent bytes without end or no answer, themselves or one of their pieces. */
    readonly replacedIds?: ReadonlySet<string>;
}

/** Events of each stream of the soak. */
export const STREAM_EVENTS = 6;

/** Time in milliseconds after which a drained target may get nothing, and after which a disturbance is over. */
const DRAIN_MS = 3_000;
const CONTACT_MS = 3_000;

const AT_MOST_ONCE: readonly RequestKind[] = ["book", "draft"];
const STREAMS: readonly RequestKind[] = ["draft", "chat", "staged"];
export const NOT_RUN_STATUSES = [408, 421, 429, 503];

/** The body of a complete answer. */
export function expectedBody(kind: RequestKind, id: string): string {
    if (!STREAMS.includes(kind)) return `answer to ${id}`;
    return Array.from(
        { length: STREAM_EVENTS },
        (_, index) => `id: ${index + 1}\ndata: event ${index + 1} of ${id}\n\n`,
    ).join("");
}

/** The broken promises, one line each; empty if all were kept. */
export function findBrokenPromises(record: SoakRecord): readonly string[] {
    return [...checkRuns(record), ...checkAnswers(record), ...checkDraining(record), ...checkConfiguration(record)];
}

function checkRuns({ callers, targets }: SoakRecord): readonly string[] {
    const runs = new Map<string, number>();
    for (const { id } of targets.filter(({ isDeclined }) => !isDeclined)) runs.set(id, (runs.get(id) ?? 0) + 1);
    const sent = new Set(callers.map(({ id }) => id));
    const received = new Set(targets.map(({ id }) => id));
    const unasked = [...received].filter(id => !sent.has(id)).map(id => `${id} reached a target and was not sent`);
    const broken = callers.flatMap(({ id, kind, status }) => {
        const count = runs.get(id) ?? 0;
        if (!AT_MOST_ONCE.includes(kind)) return [];
        if (count > 1) return [`${kind} ${id} reached targets ${count} times`];
        return count > 0 && NOT_RUN_STATUSES.includes(status) ? [`${kind} ${id} got ${status} and has run`] : [];
    });
    return [...unasked, ...broken];
}

function checkAnswers({ callers, replacedIds }: SoakRecord): readonly string[] {
    return callers.flatMap(({ id, kind, status, body, complete }) => {
        if (status !== 200) return [];
        const expected = expectedBody(kind, id);
        const meant = withoutComments(body);
        if (complete && meant !== expected) {
            return [`${kind} ${id} got another answer: ${JSON.stringify(body.slice(0, 80))}`];
        }
        // What a faulty target sends before it is left may reach the caller, and no bytes of other requests.
        const isPart = replacedIds?.has(id) === true ? !namesAnother(body, id) : expected.startsWith(meant);
        return isPart ? [] : [`${kind} ${id} got a part of another answer`];
    });
}

/** A stream without comments, which have no meaning. */
function withoutComments(body: string): string {
    return body.replace(/^(:.*\n)+\n/gm, "");
}

function namesAnother(body: string, id: string): boolean {
    return [...body.matchAll(/event \d+ of (\S+)/g)].some(([, named = ""]) => named !== id);
}

function checkDraining({ targets, drained, disturbances }: SoakRecord): readonly string[] {
    return drained.flatMap(({ target, at }) =>
        targets
            .filter(arrival => arrival.target === target && arrival.at > at + DRAIN_MS)
            .filter(arrival => !disturbances.some(({ from, until }) => from < arrival.at && until + CONTACT_MS > at))
            .map(arrival => `${arrival.id} reached ${target} ${Math.round(arrival.at - at)} ms after it was drained`),
    );
}

function checkConfiguration({ callers }: SoakRecord): readonly string[] {
    const extras = callers.filter(({ addedIn }) => addedIn !== undefined);
    return extras
        .filter(({ status }) => status === 404)
        .flatMap(late => {
            const earlier = extras.find(
                other =>
                    other.incarnation === late.incarnation &&
                    other.status === 200 &&
                    (other.addedIn ?? 0) >= (late.addedIn ?? 0) &&
                    other.endedAt < late.startedAt,
            );
            return earlier === undefined ? [] : [`${late.incarnation} went back behind version ${late.addedIn}`];
        });
}
