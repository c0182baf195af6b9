/** Claims of one agent: its slots, its journal and the runs that they admit. */
import { type RunStage, type Withdraw, Withdrawn_State } from "../link/index.js";
import { type Deadline, refusedStage, type Service, type StageOutcome } from "../model/index.js";
import type { Metrics, StateLogger } from "../observability/index.js";
import type { Store } from "../store/index.js";

/** What the claims of an agent are made of. */
export interface ClaimsOptions {
    readonly store: Store;
    readonly service: string;
    readonly target: string;
    readonly incarnation: string;
    readonly logger: StateLogger;
    readonly metrics: Metrics;
}

/** How a claimed key is run. */
export interface ClaimedRun {
    /** Why new work is refused now, if it is. */
    refusal(): Extract<StageOutcome, { kind: "refused" }> | undefined;
    run(): Promise<StageOutcome>;
}

/** Claims of one agent. */
export class Claims {
    readonly ownedSlots: readonly number[] = [];

    private constructor(private readonly options: ClaimsOptions) {}

    static create(options: ClaimsOptions): Claims {
        return new Claims(options);
    }

    configure(service: Service | undefined, inService: boolean): void {
        this.options.logger.debug("configured", { service, inService });
    }

    run(message: RunStage, deadline: Deadline, run: ClaimedRun): Promise<StageOutcome> {
        this.options.logger.debug("refused", { message, deadline, run });
        return Promise.resolve(refusedStage("notOwner", "this agent owns no slots"));
    }

    withdraw(query: Withdraw): { state: Withdrawn_State; output: string } {
        this.options.logger.debug("not owner", query);
        return { state: Withdrawn_State.NOT_OWNER, output: "" };
    }

    stop(): Promise<void> {
        return Promise.resolve();
    }

    kill(): void {
        return;
    }
}
