/** What the queue of a stage service gets from its gateway. */
import type { StageCapacity } from "../gateway/configuration.js";
import type { Target } from "../gateway/target.js";
import type { TargetDirectory } from "../gateway/targetdirectory.js";
import type { PieceJob } from "./piece.js";
import type { CallOutcome, PieceCallLimits } from "./piececall.js";

/** What a queue depends on. */
export interface StageQueueEnvironment {
    readonly targets: TargetDirectory;
    /** Those of the service's targets that this gatherer calls; all by default. */
    readonly ownTargets?: (targets: readonly Target[]) => readonly Target[];
    /** Number of gatherers of the service, among which limits for all are divided; 1 by default. */
    readonly gathererCount?: () => number;
    /** Asks a target to make pieces. */
    readonly callForPieces: (
        target: Target,
        pieces: readonly PieceJob[],
        limits: PieceCallLimits,
    ) => Promise<CallOutcome>;
    /** Tells a target that results are no longer needed. Resolves to the reason of a failure. */
    readonly releaseResults: (target: Target, handles: readonly string[]) => Promise<string | undefined>;
    /** The target that holds a result; undefined when it is not registered. */
    readonly holderOf: (handle: string) => Target | undefined;
    /** The last capacity that was configured; undefined until the service is. */
    readonly capacity: () => StageCapacity | undefined;
    /** Called with results that calls in progress have read and nothing else needs. */
    readonly onInputsRead: (handles: readonly string[]) => void;
    readonly onDecision: (decision: string, detail: Readonly<Record<string, unknown>>) => void;
}
