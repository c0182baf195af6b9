/**
 * Traits of requests with prompt parts of any length. The ids are the callers' choice, and news with a trait that is too long
 * is rejected whole by the gateways that receive it.
 */
import { beforeEach, afterEach, describe, expect, it, vi } from "vitest";
import { Suspects } from "../../src/gateway/suspects.js";
import type { Target } from "../../src/gateway/target.js";
import { traitsOf } from "../../src/gateway/traits.js";

/** Longest trait in characters that other gateways, earlier versions among them, take. */
const MAXIMUM_TRAIT_LENGTH = 128;

beforeEach(() => {
    vi.useFakeTimers();
});
afterEach(() => {
    vi.useRealTimers();
});

function traitsOfParts(...ids: readonly string[]): readonly string[] {
    const promptParts = [...ids, "own"].map(id => ({ id, tokens: 100 }));
    return traitsOf({ method: "POST", path: "/draft/1", accountName: "kettleby", body: undefined, promptParts });
}

describe("the trait of a prompt part", () => {
    it.each([1, 8, 22, 23, 64, 128, 16_000])("with an id of %i digits is short, and differs from others", digits => {
        const [first, second, content] = traitsOfParts("a".repeat(digits), `${"a".repeat(digits - 1)}b`);
        expect(new Set([first, second, content]).size).toBe(3);
        for (const trait of [first, second, content]) {
            expect(trait?.length).toBeLessThanOrEqual(MAXIMUM_TRAIT_LENGTH);
        }
        expect(traitsOfParts("a".repeat(digits))[0]).toBe(first);
    });

    it.each([8, 64, 128, 1_000])("with an id of %i digits is taken over by other gateways", digits => {
        const [first, second] = [0, 1].map(index => Suspects.create(`gateway-${index}`));
        const traits = traitsOfParts("d".repeat(digits));
        for (const id of ["t1", "t2"]) {
            const target = { name: id, registration: { id, incarnation: 1 } } as Target;
            first?.recordCrash(target, { traits, isFirstCrash: true, ageMs: 10, tried: [] });
            vi.advanceTimersByTime(200);
        }
        expect(second?.merge(first?.news())).toBe(true);
        expect(second?.admission(() => traits)).toMatchObject({ kind: "trial" });
    });
});
