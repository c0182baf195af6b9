/** Encoding and decoding of orders between gateways. */
import fc from "fast-check";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { Deadline } from "../../src/model/index.js";
import {
    decodeAnswer,
    decodeOrder,
    decodeRelease,
    encodeOrder,
    encodeRelease,
    type PieceJob,
} from "../../src/stages/index.js";

const SEED = 20_261_204;

beforeEach(() => vi.useFakeTimers({ toFake: ["performance"] }));
afterEach(() => vi.useRealTimers());

const bytes = fc.integer({ min: 0, max: 10_000_000 });
const stage = fc.record({
    requestId: fc.string(),
    stage: fc.nat(20),
    pieces: fc.nat(100),
    key: fc.option(fc.string(), { nil: undefined }),
    inputs: fc.array(fc.string(), { maxLength: 5 }),
    isLastUse: fc.boolean(),
    inputBytes: bytes,
    resultBytes: bytes,
    fetches: fc.nat(50),
    priority: fc.nat(9),
    deadline: fc.integer({ min: 1, max: 60_000 }).map(milliseconds => Deadline.after(milliseconds)),
    targetTime: fc.integer({ min: 1, max: 60_000 }).map(milliseconds => Deadline.after(milliseconds)),
    zone: fc.string(),
    begun: fc.boolean(),
});

describe("an order", () => {
    it(`decodes to what was encoded (seed ${SEED})`, () => {
        fc.assert(
            fc.property(
                fc.string(),
                stage,
                fc.uniqueArray(fc.nat(200), { maxLength: 30 }),
                (service, common, indexes) => {
                    const jobs = indexes.map((index): PieceJob => ({ ...common, service, index }));
                    expect(decodeOrder(encodeOrder(service, jobs))).toEqual({ service, jobs });
                },
            ),
            { seed: SEED },
        );
    });

    it.each<[string, string]>([
        ["is not JSON", "{"],
        ["has no service", '{"indexes":[]}'],
        ["has pieces but no stage", '{"service":"encode","indexes":[0]}'],
    ])("that %s is refused", (_, text) => {
        expect(decodeOrder(text)).toBeUndefined();
    });
});

describe("an answer", () => {
    it.each<[string, string, number, boolean]>([
        ["of as many results as pieces", '{"waitMs":1,"results":[{"kind":"made","handle":"h"}]}', 1, true],
        ["of fewer results than pieces", '{"waitMs":1,"results":[{"kind":"made","handle":"h"}]}', 2, false],
        ["with an unknown reason", '{"waitMs":1,"results":[{"kind":"lost","reason":"x","retryAfterMs":0}]}', 1, false],
    ])("%s is accepted or refused", (_, text, pieces, accepted) => {
        expect(decodeAnswer(text, pieces) !== undefined).toBe(accepted);
    });
});

describe("an order to release results", () => {
    it.each([true, false])("decodes to what was encoded (early: %s)", isEarly => {
        const order = { service: "encode", handles: ["h/1", "h/2"], isEarly };
        expect(decodeRelease(encodeRelease(order))).toEqual(order);
    });
});
