/**
 * What a silence says about its target and about the target's version. One silence that counts once for each request that it
 * holds up ejects a sound target, or takes back a good version. A silent target that gets many requests before it is heard
 * holds all of them up.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { Target, TargetRegistration } from "../../src/gateway/target.js";
import { TargetDirectory, type TargetDirectoryOptions, type TargetReport } from "../../src/gateway/targetdirectory.js";

beforeEach(() => {
    vi.useFakeTimers();
});
afterEach(() => {
    vi.useRealTimers();
});

const REQUESTS = 10;
const EVENT_GAP_MS = 5;
const SILENCE_MS = 1_000;

function directoryWithTarget(options: TargetDirectoryOptions = {}): {
    readonly directory: TargetDirectory;
    readonly target: Target;
} {
    const directory = TargetDirectory.create(
        () => undefined,
        () => 1,
        () => undefined,
        options,
    );
    directory.put({ id: "target", incarnation: 1, address: "127.0.0.1:1" } as TargetRegistration);
    const target = directory.findByAddress("127.0.0.1:1");
    if (target === undefined) throw new Error("target is not registered");
    return { directory, target };
}

/** What a response says about its target. */
function report({ isLeaving = false, pauseMs }: { isLeaving?: boolean; pauseMs?: number }): TargetReport {
    return {
        load: undefined,
        limitPerSecond: undefined,
        wrongTarget: false,
        isLeaving,
        pause: pauseMs === undefined ? undefined : { kind: "time", milliseconds: pauseMs },
    };
}

interface SilenceCase {
    readonly silence: string;
    /** Whether others of its requests are answered meanwhile. */
    readonly isHeard: boolean;
    readonly silences: number;
    readonly outcomes: number;
}

const CASES: readonly SilenceCase[] = [
    { silence: "one silence of the target", isHeard: false, silences: 1, outcomes: 1 },
    { silence: "two silences of the target", isHeard: false, silences: 2, outcomes: 2 },
    { silence: "slow answers of a target that is heard", isHeard: true, silences: 1, outcomes: REQUESTS },
];

describe("the version of a target from which requests are taken", () => {
    it.each(CASES)("is judged by $outcomes failed answers after $silence", ({ isHeard, silences, outcomes }) => {
        let failures = 0;
        const { directory, target } = directoryWithTarget({
            onOutcome: (_target, _route, failed) => (failures += Number(failed)),
        });
        for (let silence = 0; silence < silences; silence += 1) {
            const lastEvents = Array.from({ length: REQUESTS }, () => {
                directory.recordHeard(target);
                const at = performance.now();
                vi.advanceTimersByTime(EVENT_GAP_MS);
                return at;
            });
            vi.advanceTimersByTime(SILENCE_MS);
            for (const since of lastEvents) {
                if (isHeard) directory.recordHeard(target);
                vi.advanceTimersByTime(EVENT_GAP_MS);
                directory.recordSilent(target, since);
                directory.recordLeft(target, "chat", since);
            }
        }
        expect(failures).toBe(outcomes);
    });
});

describe("a target that has started anew", () => {
    const OUTCOMES: readonly {
        readonly outcome: string;
        readonly record: (to: TargetDirectory, from: Target) => void;
    }[] = [
        { outcome: "fail", record: (directory, target) => directory.recordFailure(target) },
        {
            outcome: "are silent",
            record: (directory, target) => {
                vi.advanceTimersByTime(2_000);
                directory.recordSilent(target, performance.now());
            },
        },
    ];

    it.each(OUTCOMES)("is not ejected because requests at its earlier start $outcome", ({ record }) => {
        const { directory, target } = directoryWithTarget();
        for (const id of ["target", "other"]) {
            directory.put({ id, incarnation: 2, address: "127.0.0.1:2", state: "available" } as TargetRegistration);
        }
        for (let failure = 0; failure < 3; failure += 1) record(directory, target);
        expect(directory.working(target.registration.service).map(({ name }) => name)).toEqual(["target", "other"]);
    });
});

describe("a target whose registration lapses and returns", () => {
    const registration = {
        id: "target",
        incarnation: 1,
        address: "127.0.0.1:1",
        state: "available",
    } as TargetRegistration;

    /** Asked once the registration has returned. */
    const CASES: readonly {
        readonly belief: string;
        readonly before?: (directory: TargetDirectory, target: Target) => void;
        readonly after?: (directory: TargetDirectory, target: Target) => void;
        readonly holds: (directory: TargetDirectory, target: Target) => boolean;
    }[] = [
        { belief: "the same start", holds: (directory, target) => !directory.hasStartedAnew(target) },
        {
            belief: "pausing",
            before: (directory, target) => directory.recordReport(target, report({ pauseMs: 5_000 })),
            holds: directory => directory.working("").length === 0,
        },
        {
            belief: "leaving, as it answers to an earlier request",
            after: (directory, target) => directory.recordReport(target, report({ isLeaving: true })),
            holds: directory => directory.eligible("").length === 0,
        },
        {
            belief: "silent to an earlier request",
            after: (directory, target) => directory.recordSilent(target, performance.now()),
            holds: directory => directory.withoutSilent(directory.working(""), true).length === 0,
        },
        {
            belief: "busy with an earlier request",
            before: (directory, target) => directory.recordSent(target),
            holds: directory => directory.working("")[0]?.outstanding === 1,
        },
    ];

    it.each(CASES)("still counts as $belief", ({ before, after, holds }) => {
        const { directory } = directoryWithTarget();
        directory.put({ ...registration, service: "" });
        const target = directory.findByAddress(registration.address);
        if (target === undefined) throw new Error("target is not registered");
        before?.(directory, target);
        directory.remove(registration.id);
        directory.put({ ...registration, service: "" });
        after?.(directory, target);
        expect(holds(directory, target)).toBe(true);
    });

    it("counts as nothing of it once it has started anew", () => {
        const { directory } = directoryWithTarget();
        directory.put({ ...registration, service: "" });
        const target = directory.findByAddress(registration.address);
        if (target === undefined) throw new Error("target is not registered");
        directory.recordSent(target);
        directory.recordReport(target, report({ isLeaving: true, pauseMs: 5_000 }));
        directory.remove(registration.id);
        directory.put({ ...registration, service: "", incarnation: 2 });
        expect(directory.working("")).toMatchObject([{ outstanding: 0 }]);
        expect(directory.hasStartedAnew(target)).toBe(true);
    });
});

describe("a target that was silent", () => {
    interface PreferenceCase {
        readonly state: string;
        readonly pauseMs: number;
        readonly isSent?: boolean;
        readonly isHeard?: boolean;
        readonly canMove?: boolean;
        readonly isPreferred: boolean;
    }

    it.each<PreferenceCase>([
        { state: "is silent", pauseMs: 500, isPreferred: false },
        { state: "may have gone on", pauseMs: 1_100, isPreferred: true },
        { state: "may have gone on, and the request cannot move", pauseMs: 1_100, canMove: false, isPreferred: false },
        { state: "was long ago, and the request cannot move", pauseMs: 6_100, canMove: false, isPreferred: true },
        { state: "has a request by which it may be heard", pauseMs: 1_100, isSent: true, isPreferred: false },
        { state: "was heard", pauseMs: 0, isSent: true, isHeard: true, isPreferred: true },
        {
            state: "was heard, and the request cannot move",
            pauseMs: 0,
            isHeard: true,
            canMove: false,
            isPreferred: true,
        },
    ])("gets a request beside others: $isPreferred, when it $state", options => {
        const { pauseMs, isSent = false, isHeard = false, canMove = true, isPreferred } = options;
        const { directory, target } = directoryWithTarget();
        directory.recordSilent(target, performance.now());
        vi.advanceTimersByTime(pauseMs);
        if (isSent) directory.recordSent(target);
        if (isHeard) directory.recordHeard(target);
        expect(directory.withoutSilent([target], canMove)).toEqual(isPreferred ? [target] : []);
    });
});
