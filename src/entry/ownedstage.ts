/**
 * A non-idempotent stage: attempts go to the owner of the key's slot and nowhere else.
 *
 * The owner runs a key at most once and answers each attempt with the same result, so the same key may be sent to it
 * again at any time. An attempt whose fate is not known leaves the stage in doubt until an owner has answered.
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

/** Waits for a new slot table or a new link grow from the first to the longest. */
const FIRST_WAIT_MS = 10;
const LONGEST_WAIT_MS = 100;

/** Refusals after which another attempt can be admitted, by the same owner or the next one. */
const PASSING_REFUSALS: ReadonlySet<RefusalReason> = new Set<RefusalReason>([
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

/** The owner of a key's slot in the newest known table, if this entry has a link to that incarnation of it. */
export function findOwner(run: RequestRun, stage: Stage, idempotencyKey: string): LinkedOwner | undefined {
    const table = run.parts.slots.find(stage.service);
    if (table === undefined || table.slots.length === 0) return undefined;
    const slot = slotOf(run.account.name, idempotencyKey, stage.name, table.slots.length);
    const owner = table.slots[slot];
    if (owner === undefined) return undefined;
    const target = run.parts.targets.find(owner.target);
    if (target === undefined || target.incarnation !== owner.incarnation) return undefined;
    return { target, slot, epoch: owner.epoch };
}

/** Runs a non-idempotent stage to its end, or to the deadline. */
export function runOwnedStage(
    run: RequestRun,
    stage: Stage,
    idempotencyKey: string,
    payload: string,
): Promise<StageEnd> {
    return new OwnedStage(run, stage, idempotencyKey, payload).run();
}

class OwnedStage {
    private inDoubt: "linkLost" | "deadline" | undefined;
    private lastRefusal: Extract<StageOutcome, { kind: "refused" }> | undefined;
    private nextWait = FIRST_WAIT_MS;
    private silence: number;

    constructor(
        private readonly request: RequestRun,
        private readonly stage: Stage,
        private readonly key: string,
        private readonly payload: string,
    ) {
        this.silence = request.parts.silence.limit(`${stage.service}/${stage.operation}`, stage.costMilliseconds);
    }

    async run(): Promise<StageEnd> {
        for (;;) {
            const stop = this.reasonToStop();
            if (stop !== undefined) return stop;
            const owner = this.findUsableOwner();
            const end = owner === undefined ? undefined : await this.tryOwner(owner);
            if (end !== undefined) return end;
            await this.wait();
        }
    }

    private reasonToStop(): StageEnd | undefined {
        const { request } = this;
        if (this.inDoubt !== undefined) {
            if (!request.deadline.passed()) return undefined;
            return { kind: "unknown", reason: this.inDoubt, message: `no answer from the owner of ${this.stage.name}` };
        }
        if (request.signal.aborted) return failedStage("cancelled", "the caller has gone");
        if (request.parts.quarantine.contains(request.fingerprint)) {
            return refusedStage("quarantined", "this content was in flight on targets that were lost");
        }
        if (!request.deadline.passed()) return undefined;
        return this.lastRefusal ?? refusedStage("noTarget", `no owner for the key's slot of ${this.stage.service}`);
    }

    /** New work goes to no target that is leaving or out; what is in doubt is asked of any owner. */
    private findUsableOwner(): LinkedOwner | undefined {
        const owner = findOwner(this.request, this.stage, this.key);
        if (owner === undefined || this.inDoubt !== undefined) return owner;
        const inService = this.request.parts.holder.current.isZoneInService(owner.target.zone);
        return inService && !owner.target.leaving ? owner : undefined;
    }

    private async tryOwner(owner: LinkedOwner): Promise<StageEnd | undefined> {
        const { request, stage } = this;
        const attempt = owner.target.run(
            {
                ...request.message(stage, this.payload),
                idempotencyKey: this.key,
                slot: owner.slot,
                slotEpoch: owner.epoch,
            },
            { deadline: request.deadline, silenceMilliseconds: this.silence },
        );
        if (attempt === undefined) return undefined;
        const version = owner.target.version;
        const outcome = await attempt.outcome;
        request.countAttempt(stage, version, outcome.kind, "reason" in outcome ? outcome.reason : "");
        return this.judge(owner.target, outcome);
    }

    private judge(target: TargetLink, outcome: AttemptOutcome): StageEnd | undefined {
        const { request } = this;
        if (outcome.kind === "refused") return this.judgeRefusal(outcome);
        request.ran = true;
        switch (outcome.kind) {
            case "completed":
                return this.complete(outcome);
            case "failed":
                request.withoutEffect.add(this.stage.name);
                return outcome;
            case "unknown":
                if (outcome.reason === "targetLost") {
                    request.parts.quarantine.recordLoss(request.fingerprint, target.name, this.stage.name);
                }
                return outcome;
            case "lost":
                this.inDoubt = "linkLost";
                return undefined;
            case "silent":
                this.inDoubt = "linkLost";
                this.silence *= 2;
                return undefined;
            case "abandoned":
                this.inDoubt ??= "deadline";
                return undefined;
        }
    }

    private judgeRefusal(outcome: Extract<StageOutcome, { kind: "refused" }>): StageEnd | undefined {
        this.lastRefusal = outcome;
        return PASSING_REFUSALS.has(outcome.reason) ? undefined : outcome;
    }

    private complete(outcome: Extract<StageOutcome, { kind: "completed" }>): StageEnd {
        const { request, stage } = this;
        request.applied.add(stage.name);
        request.costMilliseconds += outcome.costMilliseconds;
        if (!outcome.replayed) request.record("cost", outcome.costMilliseconds, stage.name);
        const output = parseOutput(outcome.output);
        if (output === undefined) return failedStage("malformedAnswer", "output is not JSON");
        return { kind: "completed", output: output.value };
    }

    private async wait(): Promise<void> {
        await pause(Math.min(this.nextWait, Math.max(1, this.request.deadline.remainingMs())));
        this.nextWait = Math.min(LONGEST_WAIT_MS, this.nextWait * 2);
    }
}
