/**
 * The keys of the slots that one owner holds: which are running, which have a result, which were withdrawn.
 *
 * A key's claim is committed before its run, so that after the owner's death nobody runs the key again. A duplicate joins
 * the run in progress or reads the stored result.
 */
import { randomBytes } from "node:crypto";
import {
    type Deadline,
    hashText,
    type RefusalReason,
    refusedStage,
    type StageOutcome,
    type UnknownReason,
} from "../model/index.js";
import { withTimeout } from "../model/pause.js";
import type { Metrics } from "../observability/index.js";
import type { Journal, PendingRecord } from "./journal.js";
import type { JournalRecord } from "./segment.js";

/** Largest result that is stored for later owners, in characters of JSON. */
const MAXIMUM_STORED_OUTPUT = 4_096;

/** Time for which attempts of a withdrawn key are refused: the longest deadline that an attempt may have left. */
const WITHDRAWAL_MS = 10_000;

/** Retry times of refusals, in milliseconds. */
const STORE_RETRY_MS = 1_000;
const OWNER_RETRY_MS = 50;

/** Time after its deadline at which an attempt is answered `unknown`, so that a refusal at the deadline comes first. */
const DEADLINE_GRACE_MS = 20;

/** Time for which claims and results are kept, in milliseconds. */
export const DEFAULT_RETENTION_MS = 24 * 3_600_000;

const CLAIM_WITHOUT_RESULT: StageOutcome = {
    kind: "unknown",
    reason: "claimWithoutResult",
    message: "an owner of the slot ended before it stored a result",
};

type Refusal = Extract<StageOutcome, { kind: "refused" }>;

/** How a claimed key is run. */
export interface ClaimedRun {
    /** Why new work is refused now, if it is. */
    refusal(): Refusal | undefined;
    /** Runs the key. A refusal means that nothing was sent to the target. */
    run(): Promise<StageOutcome>;
}

/** A key within its slot, as an attempt or a withdrawal names it. */
export interface ClaimKey {
    readonly slot: number;
    readonly epoch: number;
    /** Hash of account, idempotency key and stage. */
    readonly key: string;
}

/** What the registry says to a withdrawal. */
export type WithdrawalOutcome =
    | { readonly kind: "withdrawn" | "running" | "unknown" | "notOwner" }
    | { readonly kind: "completed"; readonly output: string };

type KeyState =
    | { readonly kind: "running"; readonly outcome: Promise<StageOutcome> }
    | { readonly kind: "final"; readonly outcome: StageOutcome; readonly at: number }
    | { readonly kind: "withdrawn"; readonly until: number };

interface SlotState {
    readonly epoch: number;
    readonly keys: Map<string, KeyState>;
    /** Until this point of the monotonic clock, keys without a claim may have been run by an earlier owner. */
    readonly uncertainUntil: number;
    draining: boolean;
}

/** Parts of the owner that the registry uses. */
export interface RegistryOptions {
    readonly journal: Journal;
    readonly metrics: Metrics;
    readonly retentionMilliseconds: number;
    /** Whether new keys run while the store cannot be reached. */
    readonly continueWithoutStore: () => boolean;
    /** Whether the owner's lease is valid now. */
    readonly leaseValid: () => boolean;
}

/** Hash of a key, as journals hold it. */
export function hashClaimKey(account: string, idempotencyKey: string, stage: string): string {
    return hashText(JSON.stringify([account, idempotencyKey, stage])).slice(0, 32);
}

/** The keys of one owner. */
export class Registry {
    private readonly slots = new Map<number, SlotState>();

    private constructor(private readonly options: RegistryOptions) {}

    /** A registry without slots. */
    static create(options: RegistryOptions): Registry {
        return new Registry(options);
    }

    /** Numbers of the slots whose keys are admitted. */
    get slotNumbers(): readonly number[] {
        return [...this.slots.keys()].sort((left, right) => left - right);
    }

    /** Epoch at which a slot's keys are admitted, if they are. */
    epochOf(slot: number): number | undefined {
        return this.slots.get(slot)?.epoch;
    }

    /** Admits a slot's keys, with what the journals of earlier owners say about them. */
    addSlot(slot: number, epoch: number, records: readonly JournalRecord[], uncertainMilliseconds = 0): void {
        const oldest = Date.now() - this.options.retentionMilliseconds;
        const keys = recordedKeys(records.filter(record => record.slot === slot && record.at >= oldest));
        const uncertainUntil = performance.now() + uncertainMilliseconds;
        this.slots.set(slot, { epoch, keys, uncertainUntil, draining: false });
    }

    /** Forgets a slot. Runs in progress go on. */
    removeSlot(slot: number): void {
        this.slots.delete(slot);
    }

    /** Refuses new keys of a slot and waits for its runs. */
    async drain(slot: number): Promise<void> {
        const state = this.slots.get(slot);
        if (state === undefined) return;
        state.draining = true;
        const running = [...state.keys.values()].filter(key => key.kind === "running");
        await Promise.all(running.map(key => key.outcome));
    }

    /** Ends a drain without giving the slot up. */
    resume(slot: number): void {
        const state = this.slots.get(slot);
        if (state !== undefined) state.draining = false;
    }

    /** Runs a key at most once, joins its run or answers its stored outcome. */
    async run(key: ClaimKey, deadline: Deadline, claimed: ClaimedRun): Promise<StageOutcome> {
        const slot = this.slots.get(key.slot);
        if (slot?.epoch !== key.epoch) return notOwner("this agent does not own the slot");
        const known = slot.keys.get(key.key);
        if (known?.kind === "running") {
            this.options.metrics.increment("claims.joined");
            return await answerBy(deadline, known.outcome.then(replayed));
        }
        if (known?.kind === "final") {
            this.options.metrics.increment("claims.replayed");
            return replayed(known.outcome);
        }
        const refusal = this.refusal(slot, known) ?? claimed.refusal();
        if (refusal !== undefined) return refusal;
        if (performance.now() < slot.uncertainUntil) {
            return this.unknown("claimWithoutResult", "an earlier owner may have run the key during a store outage");
        }
        const outcome = this.claimAndRun(slot, key, deadline, claimed);
        slot.keys.set(key.key, { kind: "running", outcome });
        return await answerBy(deadline, outcome);
    }

    /** Promises that a key was not and will not be run, unless it was. */
    withdraw(key: ClaimKey): WithdrawalOutcome {
        const slot = this.slots.get(key.slot);
        if (slot?.epoch !== key.epoch) return { kind: "notOwner" };
        const known = slot.keys.get(key.key);
        if (known?.kind === "running") return { kind: "running" };
        if (known?.kind === "final" && known.outcome.kind === "completed") {
            return { kind: "completed", output: known.outcome.output };
        }
        if (known?.kind === "final" && known.outcome.kind === "unknown") return { kind: "unknown" };
        // The service declined the key for good: it had no effect and is never run again.
        if (known?.kind === "final") return { kind: "withdrawn" };
        // Without a valid lease another agent may own the slot by now and may have run the key.
        if (!this.options.leaseValid()) return { kind: "notOwner" };
        if (performance.now() < slot.uncertainUntil) return { kind: "unknown" };
        slot.keys.set(key.key, { kind: "withdrawn", until: performance.now() + WITHDRAWAL_MS });
        return { kind: "withdrawn" };
    }

    /** Drops what is older than the retention time. */
    sweep(): void {
        const oldest = Date.now() - this.options.retentionMilliseconds;
        for (const { keys } of this.slots.values()) {
            for (const [key, state] of keys) {
                const expired =
                    (state.kind === "final" && state.at < oldest) ||
                    (state.kind === "withdrawn" && state.until <= performance.now());
                if (expired) keys.delete(key);
            }
        }
    }

    private refusal(slot: SlotState, known: KeyState | undefined): Refusal | undefined {
        if (known?.kind === "withdrawn" && known.until > performance.now()) {
            return refused("withdrawn", "the key was withdrawn", known.until - performance.now());
        }
        return slot.draining ? notOwner("the slot moves to another agent") : undefined;
    }

    private async claimAndRun(
        slot: SlotState,
        key: ClaimKey,
        deadline: Deadline,
        claimed: ClaimedRun,
    ): Promise<StageOutcome> {
        const claim = this.claimRecord(key);
        const refusal = await this.commit(claim, deadline);
        if (refusal?.kind === "unknown") return this.conclude(slot, claim, refusal);
        if (refusal !== undefined) {
            slot.keys.delete(key.key);
            return refusal;
        }
        const outcome = this.ownsStill(slot, key)
            ? await claimed.run()
            : notOwner("the slot was lost after the claim was committed");
        if (outcome.kind !== "refused") return this.conclude(slot, claim, outcome);
        // The key never ran; without this record a later owner would take its claim for a run.
        this.append({ ...claim, kind: "released" });
        slot.keys.delete(key.key);
        return outcome;
    }

    /** Commits the claim. Returns why the key must not run, or undefined when it may. */
    private async commit(claim: JournalRecord, deadline: Deadline): Promise<StageOutcome | undefined> {
        const pending = this.append(claim, this.options.continueWithoutStore());
        const committed = await settledBy(deadline, pending);
        switch (committed) {
            case "written":
            case "deferred":
                return undefined;
            case "unavailable":
                return refused("storeUnavailable", "the claim was not written", STORE_RETRY_MS);
            case "fenced":
                return notOwner("the slot was taken over");
            case "ended":
                return refused("stopping", "the agent ended", OWNER_RETRY_MS);
            case "timeout":
                if (pending.retract()) return refusedStage("deadline", "the claim was not sent to the store in time");
                return this.unknown("commitUnknown", "it is not known whether the claim was written");
        }
    }

    /** Remembers how a key ended; it never runs again. */
    private conclude(slot: SlotState, claim: JournalRecord, outcome: StageOutcome): StageOutcome {
        const record: JournalRecord = { ...claim, kind: "result", at: Date.now(), outcome };
        slot.keys.set(claim.key, { kind: "final", outcome, at: record.at });
        if (outcome.kind === "unknown") this.options.metrics.increment("claims.unknown", 1, { cause: outcome.reason });
        // A claim without a result answers `unknown`, which is what a later owner says of a result that is too large.
        if (outcome.kind === "completed" && outcome.output.length > MAXIMUM_STORED_OUTPUT) {
            this.options.metrics.increment("claims.resultTooLarge");
        } else {
            this.append(record);
        }
        return outcome;
    }

    private ownsStill(slot: SlotState, key: ClaimKey): boolean {
        return this.slots.get(key.slot) === slot && !this.options.journal.fenced;
    }

    private append(record: JournalRecord, deferrable = true): PendingRecord {
        return this.options.journal.append(record, { deferrable });
    }

    private claimRecord({ slot, key }: ClaimKey): JournalRecord {
        return { kind: "claim", claim: randomBytes(8).toString("hex"), slot, key, at: Date.now() };
    }

    private unknown(reason: UnknownReason, message: string): StageOutcome {
        return { kind: "unknown", reason, message };
    }
}

function refused(reason: RefusalReason, message: string, retryMilliseconds: number): Refusal {
    return refusedStage(reason, message, Math.ceil(retryMilliseconds));
}

function notOwner(message: string): Refusal {
    return refused("notOwner", message, OWNER_RETRY_MS);
}

/**
 * What records say about their keys, in any order: a slot that returned to an owner has its records spread over several
 * journals. A result decides; a claim that was neither released nor has a result may have run.
 */
function recordedKeys(records: readonly JournalRecord[]): Map<string, KeyState> {
    const released = new Set(records.filter(record => record.kind === "released").map(record => record.claim));
    const keys = new Map<string, KeyState>();
    for (const { kind, claim, key, at } of records) {
        if (kind === "claim" && !released.has(claim)) {
            keys.set(key, { kind: "final", outcome: CLAIM_WITHOUT_RESULT, at });
        }
    }
    for (const { key, at, outcome } of records) {
        if (outcome !== undefined) keys.set(key, { kind: "final", outcome, at });
    }
    return keys;
}

/** The outcome as a duplicate reads it. */
function replayed(outcome: StageOutcome): StageOutcome {
    return outcome.kind === "completed" ? { ...outcome, replayed: true } : outcome;
}

async function settledBy(
    deadline: Deadline,
    pending: PendingRecord,
): Promise<Awaited<PendingRecord["settled"]> | "timeout"> {
    return await withTimeout(pending.settled, deadline.remainingMs(), "timeout" as const);
}

/** The outcome, or `unknown` when the run goes on beyond the attempt's deadline. */
async function answerBy(deadline: Deadline, outcome: Promise<StageOutcome>): Promise<StageOutcome> {
    const late: StageOutcome = { kind: "unknown", reason: "deadline", message: "the run goes on beyond the deadline" };
    return await withTimeout(outcome, deadline.remainingMs() + DEADLINE_GRACE_MS, late);
}
