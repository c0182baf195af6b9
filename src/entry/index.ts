export { Entry, type EntryOptions, type ProcessVersion } from "./entry.js";
export type { CallerRequest, TokenListener } from "./run.js";
