export * from "./calls.js";
export { Duties, type DutyEnvironment, type DutyOptions, type DutyPlatform } from "./duties.js";
export { DUTIES_PATH } from "./handover.js";
export type { ScaledZone } from "./targetorders.js";
export type { ReplicaBounds } from "./replicaplan.js";
export { type CountRun, RequestUsage } from "./usagecounter.js";
