export { type ChangeContext } from "./change.js";
export * from "./handler.js";
export * from "./message.js";
export { type AcknowledgedVersion, type StatusSources } from "./status.js";
