export { Claims } from "./claims.js";
export { type AppendOutcome, Journal, type PendingRecord } from "./journal.js";
export { LEASE_DURATION_MS, leasePrefix } from "./ownerlease.js";
export { Ownership, type OwnershipOptions } from "./ownership.js";
export { hashClaimKey, type ClaimedRun, Registry, type RegistryOptions, type WithdrawalOutcome } from "./registry.js";
export { type JournalRecord, type JournalReference } from "./segment.js";
export * from "./slot.js";
export { JournalRecovery } from "./recovery.js";
