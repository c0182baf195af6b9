export { CallerServer, type CallerServerOptions, type OperatorHandler } from "./callers.js";
export { Entry, type EntryOptions, type ProcessVersion } from "./entry.js";
export type { CallerRequest, TokenListener } from "./run.js";
