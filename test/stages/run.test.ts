/**
 * Exceptions while the pieces of a request are made. One that comes when nothing waits for the pieces any more, after the
 * request's deadline or its end, must not end the process with all other requests.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { Deadline } from "../../src/model/index.js";
import type { PieceResult } from "../../src/stages/index.js";
import { runStages, type RunStagesOptions } from "../../src/stages/run.js";
import { collectUnhandled } from "../input/system.js";
import { SERVICE } from "./pieces.js";

const DEADLINE_MS = 1_000;
const ERROR = new Error("a fault of the program");

let unhandled: ReturnType<typeof collectUnhandled>;

beforeEach(() => {
    vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout", "performance"] });
    unhandled = collectUnhandled();
});

afterEach(() => {
    unhandled.stop();
    vi.useRealTimers();
});

function optionsOf(change: Partial<RunStagesOptions>): RunStagesOptions {
    return {
        requestId: "r",
        stages: [{ service: SERVICE, after: [], resultBytes: 1_000 }] as unknown as RunStagesOptions["stages"],
        pieces: [1],
        key: "key",
        priority: 1,
        deadline: Deadline.after(DEADLINE_MS),
        targetTimeOf: () => Deadline.after(DEADLINE_MS),
        expectedMs: () => 20,
        zone: "east",
        make: () => Promise.resolve([]),
        release: () => undefined,
        onTaskFailure: () => undefined,
        signal: new AbortController().signal,
        ...change,
    };
}

/** Lets time pass, and rejections that nothing handles be reported. */
async function pass(milliseconds: number): Promise<void> {
    await vi.advanceTimersByTimeAsync(milliseconds);
    for (let turn = 0; turn < 3; turn += 1) await new Promise(resolve => setImmediate(resolve));
}

describe("an exception after the end of a request's stages", () => {
    interface Case {
        readonly name: string;
        readonly throwsAfterMs: number;
        readonly abortsAfterMs?: number;
        readonly throwsIn: "make" | "release";
    }

    it.each<Case>([
        { name: "as pieces are made after the deadline", throwsAfterMs: 1_500, throwsIn: "make" },
        { name: "as pieces are made after the caller left", throwsAfterMs: 500, abortsAfterMs: 200, throwsIn: "make" },
        { name: "as late results are released", throwsAfterMs: 1_500, throwsIn: "release" },
    ])("$name is reported once", async ({ throwsAfterMs, abortsAfterMs, throwsIn }) => {
        const abort = new AbortController();
        const make = (): Promise<readonly PieceResult[]> =>
            new Promise((resolve, reject) => {
                const settle = (): void => {
                    if (throwsIn === "make") reject(ERROR);
                    else resolve([{ kind: "made", handle: "h" } as PieceResult]);
                };
                setTimeout(settle, throwsAfterMs);
            });
        const release = (): void => {
            throw ERROR;
        };
        const onTaskFailure = vi.fn();
        const outcome = runStages(optionsOf({ make, release, onTaskFailure, signal: abort.signal }));
        if (abortsAfterMs !== undefined) setTimeout(() => abort.abort(), abortsAfterMs);
        await pass(DEADLINE_MS + 1_000);
        expect(await outcome).toMatchObject({ kind: "lost", reason: "late" });
        expect(unhandled.errors).toEqual([]);
        const error = expect.stringContaining(ERROR.message) as string;
        expect(onTaskFailure.mock.calls).toEqual([[{ task: "late stage results", error }]]);
    });
});
