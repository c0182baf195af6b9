/** Claims of one agent: checks that a key belongs to a slot that the agent owns, and passes it to the registry. */
import { type RunStage, type Withdraw, Withdrawn_State } from "../link/index.js";
import { type Deadline, refusedStage, type Service, slotOf, type StageOutcome } from "../model/index.js";
import { Ownership, type OwnershipOptions } from "./ownership.js";
import { hashClaimKey, type ClaimedRun, type WithdrawalOutcome } from "./registry.js";

/** Fields of a message that identify its key. */
interface KeyFields {
    readonly account: string;
    readonly idempotencyKey: string;
    readonly stage: string;
    readonly slot: number;
}

/** Retry time of `notOwner` refusals, in milliseconds. */
const OWNER_RETRY_MS = 50;

/** Claims of one agent. */
export class Claims {
    private readonly ownership: Ownership;

    private constructor(options: OwnershipOptions) {
        this.ownership = Ownership.create(options);
    }

    /** Claims without slots; the agent acquires slots once the configuration defines some for the service. */
    static create(options: OwnershipOptions): Claims {
        return new Claims(options);
    }

    /** Numbers of the slots whose keys the agent admits now. */
    get ownedSlots(): readonly number[] {
        return this.ownership.currentSession?.registry.slotNumbers ?? [];
    }

    /** Updates the service's definition and whether this agent's zone is in service. */
    configure(service: Service | undefined, inService: boolean): void {
        this.ownership.configure(service, inService);
    }

    /** Runs a non-idempotent stage at most once for its key. */
    async run(message: RunStage, deadline: Deadline, claimed: ClaimedRun): Promise<StageOutcome> {
        const session = this.ownership.currentSession;
        if (session === undefined || !this.slotMatches(message)) {
            return refusedStage("notOwner", "this agent does not own the slot", OWNER_RETRY_MS);
        }
        const key = hashClaimKey(message.account, message.idempotencyKey, message.stage);
        return await session.registry.run({ slot: message.slot, epoch: message.slotEpoch, key }, deadline, claimed);
    }

    /** Returns whether a key was run. If it was not, it is withdrawn: attempts still in flight are refused. */
    withdraw(query: Withdraw): { readonly state: Withdrawn_State; readonly output: string } {
        const session = this.ownership.currentSession;
        if (session === undefined || !this.slotMatches(query)) return { state: Withdrawn_State.NOT_OWNER, output: "" };
        const key = hashClaimKey(query.account, query.idempotencyKey, query.stage);
        const outcome = session.registry.withdraw({ slot: query.slot, epoch: query.slotEpoch, key });
        return { state: withdrawnState(outcome), output: outcome.kind === "completed" ? outcome.output : "" };
    }

    /** Flushes the journal and releases all slots. */
    async stop(): Promise<void> {
        await this.ownership.stop();
    }

    /** Stops without flushing or releasing anything. */
    kill(): void {
        this.ownership.kill();
    }

    /** Whether a message has the right slot for its key; with a wrong slot, the key could run at two owners. */
    private slotMatches({ account, idempotencyKey, stage, slot }: KeyFields): boolean {
        const slots = this.ownership.table?.slots.length;
        return slots !== undefined && slotOf(account, idempotencyKey, stage, slots) === slot;
    }
}

function withdrawnState(outcome: WithdrawalOutcome): Withdrawn_State {
    switch (outcome.kind) {
        case "withdrawn":
            return Withdrawn_State.WITHDRAWN;
        case "running":
            return Withdrawn_State.RUNNING;
        case "completed":
            return Withdrawn_State.COMPLETED;
        case "unknown":
            return Withdrawn_State.UNKNOWN;
        case "notOwner":
            return Withdrawn_State.NOT_OWNER;
    }
}
