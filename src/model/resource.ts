/**
 * Records that operators define: services, pipelines, plans, accounts, zones and the traffic shares of versions. They
 * are immutable; the configuration (see `configuration/`) is a versioned collection of them.
 */

/** A group of targets of one kind, such as the rerankers. */
export interface Service {
    readonly name: string;
    /** An engine streams tokens and accepts orders; a plain service gives one answer to each call. */
    readonly kind: "engine" | "plain";
    /** Number of slots that idempotency keys hash to; 0 for services without non-idempotent operations. */
    readonly slots: number;
    /** What a slot owner does with new idempotency keys while the store cannot be reached. */
    readonly whenStoreUnavailable: "refuse" | "continue";
    /** Whether targets refuse orders with an outdated fencing number. */
    readonly fencing: "enforced" | "ignored";
    /** Maximum number of concurrent runs on one warm target. */
    readonly concurrency: number;
    /** Maximum number of concurrent runs on one cold target. */
    readonly coldConcurrency: number;
}

/** One step of a pipeline. */
export interface Stage {
    readonly name: string;
    readonly service: string;
    /** Operation that the target executes, such as `encode` or `book`. */
    readonly operation: string;
    readonly idempotent: boolean;
    readonly streaming: boolean;
    readonly maximumTokens: number;
    /** Expected target time of one run, in milliseconds, which is charged to the common budget. */
    readonly costMilliseconds: number;
}

/** An ordered list of stages that a caller runs by name. */
export interface Pipeline {
    readonly name: string;
    readonly stages: readonly Stage[];
}

/** What the accounts of a plan may use. */
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
    /** Version that gets the rest of the traffic. */
    readonly stable: string;
    /** Version under trial, with a fraction from 0 to 1. */
    readonly candidate?: { readonly version: string; readonly fraction: number };
}

/** A VM that the platform lists. */
export interface Vm {
    readonly name: string;
    readonly zone: string;
    readonly state: "live" | "leaving" | "gone";
}

/** One replica of a service, which is reached through its agent. */
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

/** The common budget of target time, of which each plan has a share. */
export interface Budget {
    /** Milliseconds of target time per second. */
    readonly millisecondsPerSecond: number;
}
