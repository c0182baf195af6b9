/**
 * State of the keys in the slots of one owner: running, ended with an outcome, or withdrawn.
 *
 * A key's claim is committed before its run, so that nobody runs the key again after the owner's death. A duplicate
 * joins the run in progress or gets the stored result.
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
const MAXIMUM_STORED_CHARACTERS = 4_096;

/** Time for which attempts of a withdrawn key are refused: the longest time that an attempt may have left. */
const WITHDRAWAL_LIFETIME_MS = 10_000;

/** Times after which a refused attempt may be retried, in milliseconds. */
const STORE_RETRY_MS = 1_000;
const OWNER_RETRY_MS = 50;

/** Time after its deadline at which an attempt ends as `unknown`, so that a refusal at the deadline comes first. */
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
    /** The refusal of new work, if it is refused now. */
    refusal(): Refusal | undefined;
    /** Runs the key. A refusal means that nothing was sent to the target. */
    run(): Promise<StageOutcome>;
}

/** A key in its slot, as an attempt or a withdrawal names it. */
export interface ClaimKey {
    readonly slot: number;
    readonly epoch: number;
    /** Hash of account, idempotency key and stage. */
    readonly key: string;
}

/** Result of a withdrawal. */
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
    /** Until this monotonic time, an earlier owner may have run keys without a claim. */
    readonly uncertainUntil: number;
    draining: boolean;
}

/** Parts and settings of the owner that the registry uses. */
export interface RegistryOptions {
    readonly journal: Journal;
    readonly metrics: Metrics;
    readonly retentionMilliseconds: number;
    /** Whether new keys run while the store cannot be reached. */
    readonly continueWithoutStore: () => boolean;
    /** Whether the owner's lease is valid now. */
    readonly leaseValid: () => boolean;
}

/** Hash of a key as stored in journals. */
export function hashClaimKey(account: string, idempotencyKey: string, stage: string): string {
    return hashText(JSON.stringify([account, idempotencyKey, stage])).slice(0, 32);
}

/** State of the keys of one owner. */
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

    /** Epoch of a slot; undefined if its keys are not admitted. */
    epochOf(slot: number): number | undefined {
        return this.slots.get(slot)?.epoch;
    }

    /** Starts to admit a slot's keys; `records` are those of the journals of earlier owners. */
    addSlot(slot: number, epoch: number, records: readonly JournalRecord[], uncertainMilliseconds = 0): void {
        const oldest = Date.now() - this.options.retentionMilliseconds;
        const keys = recordedKeys(records.filter(record => record.slot === slot && record.at >= oldest));
        const uncertainUntil = performance.now() + uncertainMilliseconds;
        this.slots.set(slot, { epoch, keys, uncertainUntil, draining: false });
    }

    /** Removes a slot. Runs in progress continue. */
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

    /** Runs a key at most once: runs it, joins the run in progress, or returns the stored outcome. */
    async run(key: ClaimKey, deadline: Deadline, claimed: ClaimedRun): Promise<StageOutcome> {
        const slot = this.slots.get(key.slot);
        if (slot?.epoch !== key.epoch) return notOwner("this agent does not own the slot");
        const known = slot.keys.get(key.key);
        if (known?.kind === "running") {
            this.options.metrics.increment("claims.joined");
            return await answerBy(deadline, known.outcome.then(asReplayed));
        }
        if (known?.kind === "final") {
            this.options.metrics.increment("claims.replayed");
            return asReplayed(known.outcome);
        }
        const refusal = this.refusal(slot, known) ?? claimed.refusal();
        if (refusal !== undefined) return refusal;
        if (performance.now() < slot.uncertainUntil) {
            return this.unknownOutcome(
                "claimWithoutResult",
                "an earlier owner may have run the key during a store outage",
            );
        }
        const outcome = this.claimAndRun(slot, key, deadline, claimed);
        slot.keys.set(key.key, { kind: "running", outcome });
        return await answerBy(deadline, outcome);
    }

    /** Withdraws a key that was not run, so that attempts in flight are refused. Otherwise returns the key's state. */
    withdraw(key: ClaimKey): WithdrawalOutcome {
        const slot = this.slots.get(key.slot);
        if (slot?.epoch !== key.epoch) return { kind: "notOwner" };
        const known = slot.keys.get(key.key);
        if (known?.kind === "running") return { kind: "running" };
        if (known?.kind === "final" && known.outcome.kind === "completed") {
            return { kind: "completed", output: known.outcome.output };
        }
        if (known?.kind === "final" && known.outcome.kind === "unknown") return { kind: "unknown" };
        // The service rejected the key: the run had no effect, and the key is never run again.
        if (known?.kind === "final") return { kind: "withdrawn" };
        // Without a valid lease, another agent may have taken over the slot and run the key.
        if (!this.options.leaseValid()) return { kind: "notOwner" };
        if (performance.now() < slot.uncertainUntil) return { kind: "unknown" };
        slot.keys.set(key.key, { kind: "withdrawn", until: performance.now() + WITHDRAWAL_LIFETIME_MS });
        return { kind: "withdrawn" };
    }

    /** Removes outcomes that are older than the retention time, and withdrawals that have expired. */
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
        const claim = this.createClaim(key);
        const refusal = await this.commit(claim, deadline);
        if (refusal?.kind === "unknown") return this.recordOutcome(slot, claim, refusal);
        if (refusal !== undefined) {
            slot.keys.delete(key.key);
            return refusal;
        }
        const outcome = this.stillOwns(slot, key)
            ? await claimed.run()
            : notOwner("the slot was lost after the claim was committed");
        if (outcome.kind !== "refused") return this.recordOutcome(slot, claim, outcome);
        // The key never ran. Without this record, a later owner would treat the claim as a run.
        this.append({ ...claim, kind: "released" });
        slot.keys.delete(key.key);
        return outcome;
    }

    /** Commits the claim. Returns an outcome if the key must not run, or undefined if it may. */
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
                return this.unknownOutcome("commitUnknown", "it is not known whether the claim was written");
        }
    }

    /** Records the outcome of a key, which then never runs again. */
    private recordOutcome(slot: SlotState, claim: JournalRecord, outcome: StageOutcome): StageOutcome {
        const record: JournalRecord = { ...claim, kind: "result", at: Date.now(), outcome };
        slot.keys.set(claim.key, { kind: "final", outcome, at: record.at });
        if (outcome.kind === "unknown") this.options.metrics.increment("claims.unknown", 1, { cause: outcome.reason });
        // A result that is too large is not stored; a later owner finds only the claim and returns `unknown`.
        if (outcome.kind === "completed" && outcome.output.length > MAXIMUM_STORED_CHARACTERS) {
            this.options.metrics.increment("claims.resultTooLarge");
        } else {
            this.append(record);
        }
        return outcome;
    }

    private stillOwns(slot: SlotState, key: ClaimKey): boolean {
        return this.slots.get(key.slot) === slot && !this.options.journal.fenced;
    }

    private append(record: JournalRecord, deferrable = true): PendingRecord {
        return this.options.journal.append(record, { deferrable });
    }

    private createClaim({ slot, key }: ClaimKey): JournalRecord {
        return { kind: "claim", claim: randomBytes(8).toString("hex"), slot, key, at: Date.now() };
    }

    private unknownOutcome(reason: UnknownReason, message: string): StageOutcome {
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
 * States of the keys in journal records. The records may be in any order, as a slot that returned to an owner has
 * records in several journals. A result is final. A claim that has no result and was not released may have run.
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

/** The outcome as a duplicate gets it. */
function asReplayed(outcome: StageOutcome): StageOutcome {
    return outcome.kind === "completed" ? { ...outcome, replayed: true } : outcome;
}

async function settledBy(
    deadline: Deadline,
    pending: PendingRecord,
): Promise<Awaited<PendingRecord["settled"]> | "timeout"> {
    return await withTimeout(pending.settled, deadline.remainingMs(), "timeout" as const);
}

/** Waits for the outcome; `unknown` if the run continues beyond the attempt's deadline. */
async function answerBy(deadline: Deadline, outcome: Promise<StageOutcome>): Promise<StageOutcome> {
    const late: StageOutcome = { kind: "unknown", reason: "deadline", message: "the run goes on beyond the deadline" };
    return await withTimeout(outcome, deadline.remainingMs() + DEADLINE_GRACE_MS, late);
}
