/**
 * What the silence of a target says about its health. Counted for each attempt that notices it, one silence ejects a sound
 * target; counted once for good, a target that stays silent is never ejected.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { Silence } from "../../src/routing/index.js";

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

const TIMEOUT_MS = 400;

describe("a silence", () => {
    interface Case {
        readonly name: string;
        /** Times in milliseconds at which an attempt notices that nothing has come for the timeout. */
        readonly noticedAt: readonly number[];
        /** Times in milliseconds at which the target is heard. */
        readonly heardAt: readonly number[];
        readonly failures: number;
        readonly silences: number;
    }

    it.each<Case>([
        { name: "noticed by several attempts", noticedAt: [400, 401, 500, 900], heardAt: [], failures: 1, silences: 1 },
        { name: "that goes on", noticedAt: [400, 1_000, 1_900, 2_800, 3_400], heardAt: [], failures: 3, silences: 1 },
        { name: "after another", noticedAt: [400, 450, 900, 950], heardAt: [460], failures: 2, silences: 2 },
        { name: "of one attempt only", noticedAt: [400, 800], heardAt: [100, 700], failures: 0, silences: 0 },
        { name: "noticed again after a while", noticedAt: [400, 1_500], heardAt: [], failures: 1, silences: 2 },
    ])("$name is $failures failures", ({ noticedAt, heardAt, failures, silences }) => {
        const silence = Silence.create();
        const startedAt = performance.now();
        const events = [
            ...noticedAt.map(at => ({ at, run: () => silence.record(performance.now() - TIMEOUT_MS) })),
            ...heardAt.map(at => ({ at, run: () => silence.recordHeard() })),
        ].sort((left, right) => left.at - right.at);
        const evidence = events.flatMap(({ at, run }) => {
            vi.advanceTimersByTime(startedAt + at - performance.now());
            return run() ?? [];
        });
        expect(evidence.filter(({ isFailure }) => isFailure)).toHaveLength(failures);
        expect(evidence.filter(({ isNew }) => isNew)).toHaveLength(silences);
    });
});

describe("the version of a target whose attempts are left", () => {
    interface Case {
        readonly silence: string;
        readonly isHeard: boolean;
        readonly silences: number;
        readonly failed: number;
    }

    const ATTEMPTS = 10;

    it.each<Case>([
        { silence: "one silence", isHeard: false, silences: 1, failed: 1 },
        { silence: "two silences", isHeard: false, silences: 2, failed: 2 },
        { silence: "slow answers while others are heard", isHeard: true, silences: 1, failed: ATTEMPTS },
    ])("has $failed failed answers after $silence", ({ isHeard, silences, failed }) => {
        const silence = Silence.create();
        let count = 0;
        for (let index = 0; index < silences; index += 1) {
            silence.recordHeard();
            const since = performance.now();
            vi.advanceTimersByTime(TIMEOUT_MS);
            for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
                if (isHeard) silence.recordHeard();
                vi.advanceTimersByTime(5);
                count += Number(silence.recordLeft(since));
            }
        }
        expect(count).toBe(failed);
    });
});

describe("a target that was silent", () => {
    interface Case {
        readonly state: string;
        readonly afterMs: number;
        readonly outstanding?: number;
        readonly isHeard?: boolean;
        readonly canMove?: boolean;
        readonly isAllowed: boolean;
    }

    it.each<Case>([
        { state: "is silent", afterMs: 500, isAllowed: false },
        { state: "may have gone on", afterMs: 1_100, isAllowed: true },
        { state: "has a request by which it may be heard", afterMs: 1_100, outstanding: 1, isAllowed: false },
        { state: "may have gone on, and the request cannot move", afterMs: 1_100, canMove: false, isAllowed: false },
        { state: "was long ago, and the request cannot move", afterMs: 6_100, canMove: false, isAllowed: true },
        { state: "was heard", afterMs: 0, outstanding: 9, isHeard: true, canMove: false, isAllowed: true },
    ])("gets a request that another can serve: $isAllowed, when it $state", options => {
        const { afterMs, outstanding = 0, isHeard = false, canMove = true, isAllowed } = options;
        const silence = Silence.create();
        silence.record(performance.now());
        vi.advanceTimersByTime(afterMs);
        if (isHeard) silence.recordHeard();
        expect(silence.allowsRequest(outstanding, canMove)).toBe(isAllowed);
    });
});
