/** Proof that the checks for runs beside parties that send without end find planted faults, and excuse what is no fault. */
import { describe, expect, it } from "vitest";
import { type EndlessRecord, findEndlessFaults } from "./endlesspromises.js";
import { type CallerObservation, expectedBody, type TargetObservation } from "./promises.js";

/** Requests one after the other, of which each takes 100 ms. */
function requestsOf(kind: CallerObservation["kind"], count: number): readonly CallerObservation[] {
    return Array.from({ length: count }, (_, index) => {
        const id = `${kind}-${index}`;
        const startedAt = 10_000 + 100 * index;
        const body = expectedBody(kind, id);
        const times = { startedAt, endedAt: startedAt + 100 };
        return { id, kind, incarnation: "gateway-0 start 1", ...times, status: 200, body, complete: true };
    });
}

/** Refusals of requests that were not run. */
function refused(callers: readonly CallerObservation[]): readonly CallerObservation[] {
    return callers.map(caller => ({ ...caller, status: 503, body: '{"reason":"no target can be used"}\n' }));
}

const calls = requestsOf("check", 30);
const bookings = requestsOf("book", 30);
const late = calls.map(call => ({ ...call, status: 504, body: "", endedAt: call.startedAt + 4_600 }));
const failed: readonly CallerObservation[] = requestsOf("check", 1).map(call => ({ ...call, status: 502, body: "" }));
const run: TargetObservation = {
    id: "check-0",
    service: "bookings",
    target: "bookings-0",
    at: 10_050,
    until: 10_090,
    isDeclined: false,
};
const process = { incarnation: "gateway-0 start 1", peakBytes: 340e6, ownEnd: undefined };

const kept: EndlessRecord = {
    callers: [...calls, ...bookings],
    targets: [],
    drained: [],
    disturbances: [],
    limits: { deadlineMs: 4_000, stopGraceMs: 5_000, retryFraction: 0.2, retryAllowance: 50 },
    pieces: [],
    stops: [],
    heldLinks: [],
    changes: [],
    recoveredAt: 20_000,
    availableTargets: [],
    processes: [process],
    mostResidentBytes: 350e6,
    replacedIds: new Set(),
    troubles: [],
};

const cases: readonly { readonly what: string; readonly record: Partial<EndlessRecord>; readonly found?: RegExp }[] = [
    { what: "processes within their limits", record: {} },
    {
        what: "a process that ended by itself",
        record: { processes: [{ ...process, ownEnd: "SIGABRT: heap out of memory" }] },
        found: /gateway-0 start 1 ended by itself, SIGABRT/,
    },
    {
        what: "a process beyond its memory",
        record: { processes: [{ ...process, peakBytes: 351e6 }] },
        found: /gateway-0 start 1 used 351 MB/,
    },
    { what: "a process whose memory is not known", record: { processes: [{ ...process, peakBytes: 0 }] } },
    {
        what: "a failure of a request that a sound target ran",
        record: { callers: failed, targets: [run] },
        found: /check check-0 .* 502/,
    },
    {
        what: "a failure of a request that a faulty target answered",
        record: { callers: failed, targets: [run], replacedIds: new Set([run.id]) },
    },
    {
        what: "requests that end after their deadline",
        record: { callers: late.slice(0, 8) },
        found: /8 of 8 requests that reached their deadline/,
    },
    { what: "few requests that end after their deadline", record: { callers: late.slice(0, 7) } },
    {
        what: "requests of which a quarter ends after their deadline",
        record: {
            callers: [
                ...late.slice(0, 8),
                ...late.slice(0, 24).map(call => ({ ...call, endedAt: call.endedAt - 400 })),
            ],
        },
    },
    {
        what: "a kind of request that is not served beside sound targets",
        record: { callers: [...requestsOf("chat", 30), ...refused(bookings)] },
        found: /book was starved beside sound targets: 0\.00 of 0\.50/,
    },
    {
        what: "few requests of a kind that are not served",
        record: { callers: [...requestsOf("chat", 30), ...refused(bookings.slice(0, 19))] },
    },
    {
        what: "a kind of request that is not served beside faulty targets",
        record: {
            callers: [...requestsOf("chat", 30), ...refused(bookings)],
            troubles: [{ service: "bookings", from: 9_000, until: 12_000 }],
        },
    },
    {
        what: "a kind of request that is not served beside faulty targets of another service",
        record: {
            callers: [...requestsOf("chat", 30), ...refused(bookings)],
            troubles: [{ service: "engines", from: 9_000, until: 12_000 }],
        },
        found: /book was starved/,
    },
    {
        what: "requests with stages beside a faulty stage",
        record: {
            callers: [...requestsOf("chat", 30), ...refused(requestsOf("staged", 30))],
            troubles: [{ service: "rank", from: 9_000, until: 12_000 }],
        },
    },
];

describe("the checks of a soak beside parties that send without end", () => {
    it.each(cases)("judge $what", ({ record, found }) => {
        const broken = findEndlessFaults({ ...kept, ...record });
        if (found === undefined) expect(broken).toEqual([]);
        else expect(broken.join()).toMatch(found);
    });
});
