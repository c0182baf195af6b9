/**
 * Runs a non-idempotent stage. Attempts go only to the owner of the key's slot.
 *
 * The owner runs a key at most once and answers each attempt with the same result, so an entry may send it the same key
 * again at any time. After an attempt with an unknown outcome the stage is in doubt until an owner answers.
 */
import {
    failedStage,
    refusedStage,
    type RefusalReason,
    slotOf,
    type Stage,
    type StageOutcome,
} from "../model/index.js";
import { pause } from "../model/pause.js";
import type { AttemptOutcome } from "./attempt.js";
import { parseOutput, type RequestRun, type StageEnd } from "./run.js";
import type { TargetLink } from "./targetlink.js";

/** Exponential backoff while waiting for a new slot table or link. */
const INITIAL_WAIT_MS = 10;
const MAXIMUM_WAIT_MS = 100;

/** Refusals after which the same owner or the next one may accept another attempt. */
const RETRYABLE_REFUSALS: ReadonlySet<RefusalReason> = new Set<RefusalReason>([
    "notOwner",
    "overloaded",
    "cold",
    "starting",
    "stopping",
    "leaving",
    "zoneOut",
]);

/** The owner of a key's slot, with the link to it. */
export interface LinkedOwner {
    readonly target: TargetLink;
    readonly slot: number;
    readonly epoch: number;
}

/** The owner of a key's slot in the newest known slot table, if this entry is linked to that incarnation of it. */
export function findOwner(run: RequestRun, stage: Stage, idempotencyKey: string): LinkedOwner | undefined {
    const table = run.context.slots.find(stage.service);
    if (table === undefined || table.slots.length === 0) return undefined;
    const slot = slotOf(run.account.name, idempotencyKey, stage.name, table.slots.length);
    const owner = table.slots[slot];
    if (owner === undefined) return undefined;
    const target = run.context.targets.find(owner.target);
    if (target === undefined || target.incarnation !== owner.incarnation) return undefined;
    return { target, slot, epoch: owner.epoch };
}

/** Runs a non-idempotent stage until it ends or the deadline passes. */
export function runNonIdempotentStage(
    run: RequestRun,
    stage: Stage,
    idempotencyKey: string,
    payload: string,
): Promise<StageEnd> {
    return new NonIdempotentStage(run, stage, idempotencyKey, payload).run();
}

class NonIdempotentStage {
    private inDoubt: "linkLost" | "deadline" | undefined;
    private lastRefusal: Extract<StageOutcome, { kind: "refused" }> | undefined;
    private nextWaitMilliseconds = INITIAL_WAIT_MS;
    private inactivityMilliseconds: number;

    constructor(
        private readonly requestRun: RequestRun,
        private readonly stage: Stage,
        private readonly key: string,
        private readonly payload: string,
    ) {
        this.inactivityMilliseconds = requestRun.context.timeouts.timeout(
            `${stage.service}/${stage.operation}`,
            stage.costMilliseconds,
        );
    }

    async run(): Promise<StageEnd> {
        for (;;) {
            const stop = this.findEnd();
            if (stop !== undefined) return stop;
            const owner = this.findUsableOwner();
            const end = owner === undefined ? undefined : await this.tryOwner(owner);
            if (end !== undefined) return end;
            await this.wait();
        }
    }

    /** The end of the stage, if no further attempt is to be made. */
    private findEnd(): StageEnd | undefined {
        const { requestRun } = this;
        if (this.inDoubt !== undefined) {
            if (!requestRun.deadline.passed()) return undefined;
            return { kind: "unknown", reason: this.inDoubt, message: `no answer from the owner of ${this.stage.name}` };
        }
        if (requestRun.signal.aborted) return failedStage("cancelled", "the caller has gone");
        if (requestRun.context.quarantine.contains(requestRun.fingerprint)) {
            return refusedStage("quarantined", "this content was in flight on targets that were lost");
        }
        if (!requestRun.deadline.passed()) return undefined;
        return this.lastRefusal ?? refusedStage("noTarget", `no owner for the key's slot of ${this.stage.service}`);
    }

    /** An owner that is leaving or out of service gets no new work, but is asked again when the stage is in doubt. */
    private findUsableOwner(): LinkedOwner | undefined {
        const owner = findOwner(this.requestRun, this.stage, this.key);
        if (owner === undefined || this.inDoubt !== undefined) return owner;
        const zoneInService = this.requestRun.context.holder.current.isZoneInService(owner.target.zone);
        return zoneInService && !owner.target.leaving ? owner : undefined;
    }

    private async tryOwner(owner: LinkedOwner): Promise<StageEnd | undefined> {
        const { requestRun, stage } = this;
        const attempt = owner.target.startAttempt(
            {
                ...requestRun.stageMessage(stage, this.payload),
                idempotencyKey: this.key,
                slot: owner.slot,
                slotEpoch: owner.epoch,
            },
            { deadline: requestRun.deadline, inactivityMilliseconds: this.inactivityMilliseconds },
        );
        if (attempt === undefined) return undefined;
        const version = owner.target.version;
        const outcome = await attempt.outcome;
        requestRun.countAttempt(stage, version, outcome.kind, "reason" in outcome ? outcome.reason : "");
        return this.handleOutcome(owner.target, outcome);
    }

    private handleOutcome(target: TargetLink, outcome: AttemptOutcome): StageEnd | undefined {
        const { requestRun } = this;
        if (outcome.kind === "refused") return this.handleRefusal(outcome);
        requestRun.mayHaveRun = true;
        switch (outcome.kind) {
            case "completed":
                return this.complete(outcome);
            case "failed":
                requestRun.stagesWithoutEffect.add(this.stage.name);
                return outcome;
            case "unknown":
                if (outcome.reason === "targetLost") {
                    requestRun.context.quarantine.recordLoss(requestRun.fingerprint, target.name, this.stage.name);
                }
                return outcome;
            case "lost":
                this.inDoubt = "linkLost";
                return undefined;
            case "silent":
                this.inDoubt = "linkLost";
                this.inactivityMilliseconds *= 2;
                return undefined;
            case "abandoned":
                this.inDoubt ??= "deadline";
                return undefined;
        }
    }

    private handleRefusal(outcome: Extract<StageOutcome, { kind: "refused" }>): StageEnd | undefined {
        this.lastRefusal = outcome;
        return RETRYABLE_REFUSALS.has(outcome.reason) ? undefined : outcome;
    }

    private complete(outcome: Extract<StageOutcome, { kind: "completed" }>): StageEnd {
        const { requestRun, stage } = this;
        requestRun.appliedStages.add(stage.name);
        requestRun.costMilliseconds += outcome.costMilliseconds;
        if (!outcome.replayed) requestRun.record("cost", outcome.costMilliseconds, stage.name);
        const output = parseOutput(outcome.output);
        if (output === undefined) return failedStage("malformedAnswer", "output is not JSON");
        return { kind: "completed", output: output.value };
    }

    private async wait(): Promise<void> {
        await pause(Math.min(this.nextWaitMilliseconds, Math.max(1, this.requestRun.deadline.remainingMs())));
        this.nextWaitMilliseconds = Math.min(MAXIMUM_WAIT_MS, this.nextWaitMilliseconds * 2);
    }
}
