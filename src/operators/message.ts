/** Bodies of the operators' HTTP interface, shared by the entries that serve it and the command line that reads it. */
import type { ChangeSummary } from "../configuration/index.js";
import type { Vm } from "../model/index.js";
import type { DurationSummary } from "../observability/index.js";

/** Path prefix of the interface. */
export const OPERATOR_PREFIX = "/operator/v1/";

/** Kinds of errors; docs/operators.md lists them with their HTTP statuses. */
export type OperatorErrorKind =
    | "unauthenticated"
    | "notFound"
    | "methodNotAllowed"
    | "badRequest"
    | "tooLarge"
    | "invalidLists"
    | "conflict"
    | "behind"
    | "starting"
    | "storeUnavailable"
    | "unknown"
    | "internal";

/** The `error` field of every response that is not a success. */
export interface OperatorError {
    readonly kind: OperatorErrorKind;
    readonly message: string;
    /** What the operator can do next. */
    readonly next: string;
    /** Errors in the lists; lines are counted from 1. */
    readonly faults?: readonly { readonly line: number; readonly path: string; readonly message: string }[];
    /** Changes accepted since the version that the operator read. */
    readonly changes?: readonly ChangeSummary[];
    /** The operator's own changes, none of which was applied. */
    readonly own?: DifferenceSummary;
}

/** Names of records, each as `kind/name`. */
export interface DifferenceSummary {
    readonly set: readonly string[];
    readonly removed: readonly string[];
}

/** Response to a change. */
export interface ChangeResult {
    readonly kind: "accepted" | "unchanged" | "dryRun";
    /** Version that contains the change; for `dryRun`, the version that it would be based on. */
    readonly version: number;
    readonly difference: DifferenceSummary;
    readonly warnings: readonly string[];
}

/** Response to `GET configuration`. */
export interface ConfigurationBody {
    readonly version: number;
    /** YAML text of the lists. */
    readonly lists: string;
    readonly zones: readonly { readonly name: string; readonly state: "in" | "out" }[];
    readonly traffic: readonly {
        readonly service: string;
        readonly stable: string;
        readonly candidate?: { readonly version: string; readonly fraction: number };
    }[];
}

/** One process in a status. */
export interface ProcessStatus {
    readonly role: "entry" | "agent";
    readonly name: string;
    readonly zone: string;
    readonly vm: string;
    /** State of its VM; `unlisted` when the platform has never listed it. */
    readonly vmState: Vm["state"] | "unlisted";
    /** Configuration version that it has acknowledged; absent when none is known for this incarnation. */
    readonly version?: number;
    readonly reached: boolean;
}

/** Slots of one service in a status. */
export interface SlotStatus {
    readonly service: string;
    readonly slots: number;
    readonly owned: number;
    /** Number of slots by owner. */
    readonly owners: Readonly<Record<string, number>>;
}

/** Answer to `GET status`. */
export interface StatusBody {
    /** The entry that answers. */
    readonly entry: string;
    readonly configuration: {
        readonly version: number;
        /** Version that `reached` and `waitingFor` refer to. */
        readonly asked: number;
        /** Whether every known process whose VM is not gone has acknowledged the version. */
        readonly inForceEverywhere: boolean;
        /** Names of the processes that have not acknowledged it. */
        readonly waitingFor: readonly string[];
    };
    readonly store: { readonly available: boolean };
    readonly processes: readonly ProcessStatus[];
    readonly slots: readonly SlotStatus[];
    readonly zones: readonly { readonly name: string; readonly state: "in" | "out"; readonly targets: number }[];
}

/** A move in a response. */
export interface MoveBody {
    readonly id: string;
    readonly kind: "zone" | "version";
    /** The zone or service. */
    readonly name: string;
    /** Readable description of what was declared. */
    readonly order: string;
    readonly author: string;
    readonly state: "open" | "takingBack" | "ended";
    readonly withinSeconds: number;
    /** Time from acceptance to the result; for an open move, to the last stored state. */
    readonly elapsedSeconds: number;
    /** Why the move ended, or is being rolled back. */
    readonly reason: string;
    /** Absent while the move is open. */
    readonly result?: "done" | "takenBack";
    /** Whether the result was recorded after `withinSeconds`. */
    readonly late?: boolean;
}

/** Response to `GET moves`. */
export interface MovesBody {
    readonly moves: readonly MoveBody[];
}

/** Response to `POST moves` and `GET moves/<id>`. */
export interface MoveResponseBody {
    readonly move: MoveBody;
}

/** Response to `GET report`. */
export interface ReportBody {
    readonly entry: string;
    readonly counters: Readonly<Record<string, number>>;
    readonly durations: readonly DurationSummary[];
    /** Encoded histograms, for merging those of several entries. */
    readonly histograms: string;
}
