/**
 * What operators define: services, pipelines, plans, accounts, zones and the traffic shares of versions. All are
 * immutable values; the configuration (see `configuration/`) is a versioned collection of them.
 */

/** Back ends of one kind, such as the rerankers. */
export interface Service {
    readonly name: string;
    /** Model engines stream tokens and take orders; plain services answer one call. */
    readonly kind: "engine" | "plain";
    /** Number of slots that idempotency keys hash to. Services without non-idempotent operations have none. */
    readonly slots: number;
    /** What a slot owner does with new keys while the store cannot be reached. */
    readonly whenStoreUnavailable: "refuse" | "continue";
    /** Whether targets refuse orders with an old fencing number. */
    readonly fencing: "enforced" | "ignored";
    /** Concurrent work that one warm target bears. */
    readonly concurrency: number;
    /** Concurrent work that one cold target bears. */
    readonly coldConcurrency: number;
}

/** One step of a pipeline. */
export interface Stage {
    readonly name: string;
    readonly service: string;
    /** Operation that the target is asked for, such as `encode` or `book`. */
    readonly operation: string;
    readonly idempotent: boolean;
    readonly streaming: boolean;
    readonly maximumTokens: number;
    /** Expected target time of one run, in milliseconds; the unit of the common budget. */
    readonly costMilliseconds: number;
}

/** An ordered list of stages that a caller runs by name. */
export interface Pipeline {
    readonly name: string;
    readonly stages: readonly Stage[];
}

/** What the holders of a plan may use. */
export interface Plan {
    readonly name: string;
    readonly pipelines: readonly string[];
    /** Stage names that may run; empty means every stage of the allowed pipelines. */
    readonly stages: readonly string[];
    /** Fraction of the common budget, 0 to 1. */
    readonly share: number;
}

/** A customer, who holds one plan. */
export interface ClientAccount {
    readonly name: string;
    readonly plan: string;
    /** SHA-256 of the account's API key, hexadecimal. */
    readonly keyHash: string;
}

/** A zone and whether operators have taken it out of service. */
export interface AvailabilityZone {
    readonly name: string;
    readonly state: "in" | "out";
}

/** Fractions of a service's traffic by version; versions that are not named get none. */
export interface TrafficSplit {
    readonly service: string;
    /** Version that gets what the others leave. */
    readonly stable: string;
    /** Version under trial, with a fraction from 0 to 1. */
    readonly candidate?: { readonly version: string; readonly fraction: number };
}

/** A machine on the platform's list. */
export interface Vm {
    readonly name: string;
    readonly zone: string;
    readonly state: "live" | "leaving" | "gone";
}

/** One replica of a service, with the agent that guards it. */
export interface Target {
    readonly name: string;
    readonly service: string;
    readonly version: string;
    readonly zone: string;
    readonly vm: string;
    /** Address (host:port) of its agent. */
    readonly address: string;
    /** Incarnation of its agent. */
    readonly incarnation: string;
}

/** The common budget of target time that plans draw on. */
export interface Budget {
    /** Milliseconds of target time a second. */
    readonly millisecondsPerSecond: number;
}
