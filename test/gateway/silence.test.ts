/**
 * What a silence says about its target and about the target's version. One silence that counts once for each request that it
 * holds up ejects a sound target, or takes back a good version.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { TargetDirectory, type TargetRegistration } from "../../src/gateway/target.js";

beforeEach(() => {
    vi.useFakeTimers();
});
afterEach(() => {
    vi.useRealTimers();
});

const REQUESTS = 10;
const EVENT_GAP_MS = 5;
const SILENCE_MS = 1_000;

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
        const options = { onOutcome: (...[, , failed]: readonly unknown[]) => void (failures += Number(failed)) };
        const directory = TargetDirectory.create(
            () => undefined,
            () => 1,
            () => undefined,
            options,
        );
        directory.put({ id: "target", incarnation: 1, address: "127.0.0.1:1" } as TargetRegistration);
        const target = directory.findByAddress("127.0.0.1:1");
        if (target === undefined) throw new Error("target is not registered");
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
