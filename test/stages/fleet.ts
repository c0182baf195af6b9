/** Scripted targets of a stage queue that fail, are slow, silent or without memory, on a paused clock. */
import { expect, vi } from "vitest";
import type { StageCapacity } from "../../src/gateway/configuration.js";
import type { Target } from "../../src/gateway/target.js";
import { TargetDirectory } from "../../src/gateway/targetdirectory.js";
import { pause, withTimeout } from "../../src/model/pause.js";
import type { CallOutcome, PieceCallLimits, PieceJob, PieceResult } from "../../src/stages/index.js";
import { StageQueue } from "../../src/stages/queue.js";
import { SERVICE } from "./pieces.js";

const CAPACITY: StageCapacity = {
    slots: 1,
    batch: 4,
    callMs: 20,
    pieceMs: 1,
    memoryBytes: 1_000_000,
    resultLifetimeMs: 4_000,
};

/** Step in milliseconds by which the clock advances while a test waits. */
export const STEP_MS = 5;

/** Longest time in milliseconds that a test waits for a result. */
const LONGEST_WAIT_MS = 60_000;

/** A target whose behaviour the test sets. */
export class ScriptedTarget {
    /** Number of pieces in each call. */
    readonly callSizes: number[] = [];
    /** Duration of a call in milliseconds. */
    callMs = 20;
    /** Duration of one call, by its number from 1; undefined for `callMs`. */
    callMsOf: (call: number) => number | undefined = () => undefined;
    /** Number of calls that were closed before their answer. */
    closedCalls = 0;
    /** Time in milliseconds after which connecting fails; undefined while the target can be reached. */
    unreachableAfterMs: number | undefined;
    /** Why the pieces of a call are not made, by number of the call. */
    reasonOf: (call: number) => "error" | "noRoom" | "inputGone" | "reset" | undefined = () => undefined;
    /** Handles of the results. */
    readonly made: string[] = [];

    constructor(
        readonly id: string,
        readonly address: string,
    ) {}

    get pieces(): number {
        return this.callSizes.reduce((sum, size) => sum + size, 0);
    }

    async call(pieces: readonly PieceJob[], { deadline, signal, onSent }: PieceCallLimits): Promise<CallOutcome> {
        if (this.unreachableAfterMs !== undefined) {
            await pause(this.unreachableAfterMs);
            return { kind: "notSent", reason: "connection timed out" };
        }
        onSent();
        this.callSizes.push(pieces.length);
        const call = this.callSizes.length;
        const reason = this.reasonOf(call);
        const aborted = new Promise<"aborted">(resolve => signal.addEventListener("abort", () => resolve("aborted")));
        const worked = Promise.race([pause(this.callMsOf(call) ?? this.callMs), aborted]);
        const end = await withTimeout(worked, deadline.remainingMs(), "late");
        if (end === "late") return { kind: "gaveUp", reason: "no answer in time" };
        if (end === "aborted") {
            this.closedCalls += 1;
            return { kind: "cancelled" };
        }
        if (reason === "reset") return { kind: "failed", reason };
        const answers = pieces.map(() => {
            if (reason === "error") return { kind: "failed", reason } as const;
            if (reason !== undefined) return { kind: reason } as const;
            const handle = `${this.address}/${this.made.length + 1}`;
            this.made.push(handle);
            return { kind: "made", handle } as const;
        });
        return { kind: "answered", answers };
    }
}

/** The targets of one service, by name. */
export class TargetFleet {
    readonly directory = TargetDirectory.create(
        () => undefined,
        () => 1,
    );
    /** Handles in the order of the release calls. */
    readonly released: string[] = [];
    /** Messages of the decisions that the queue logged. */
    readonly decisions: string[] = [];
    /** Inputs that the queue reported as read and no longer needed. */
    readonly inputsRead: string[] = [];
    private readonly targets = new Map<string, ScriptedTarget>();

    add(id: string): ScriptedTarget {
        const target = new ScriptedTarget(id, `${id}:1`);
        this.targets.set(id, target);
        register(this.directory, target, 1);
        return target;
    }

    call(target: Target, pieces: readonly PieceJob[], limits: PieceCallLimits): Promise<CallOutcome> {
        const scripted = this.targets.get(target.registration.id);
        if (scripted === undefined) throw new Error(`no target ${target.registration.id}`);
        return scripted.call(pieces, limits);
    }
}

/** Advances the clock until a promise settles. */
export async function settle<Value>(promise: Promise<Value>): Promise<Value> {
    let pending = true;
    void promise.finally(() => (pending = false));
    const latest = performance.now() + LONGEST_WAIT_MS;
    while (pending && performance.now() < latest) await vi.advanceTimersByTimeAsync(STEP_MS);
    expect(pending).toBe(false);
    return promise;
}

export function register(targets: TargetDirectory, { id, address }: ScriptedTarget, incarnation: number): void {
    targets.put({
        id,
        incarnation,
        service: SERVICE,
        address,
        zone: "east",
        version: "v1",
        slots: 1,
        state: "available",
        coldRemainingMs: 0,
    });
}

export function queueOf(fleet: TargetFleet, onHolderAsked: () => void = () => undefined): StageQueue {
    return StageQueue.create(SERVICE, {
        targets: fleet.directory,
        callForPieces: (...call) => fleet.call(...call),
        releaseResults: (_, handles) => {
            fleet.released.push(...handles);
            return Promise.resolve(undefined);
        },
        holderOf: handle => {
            onHolderAsked();
            return fleet.directory.findByAddress(handle.split("/")[0] ?? "");
        },
        capacity: () => CAPACITY,
        onInputsRead: handles => void fleet.inputsRead.push(...handles),
        onDecision: decision => void fleet.decisions.push(decision),
    });
}

export function make(queue: StageQueue, pieces: readonly PieceJob[]): Promise<readonly PieceResult[]> {
    return queue.make(pieces, new AbortController().signal);
}
