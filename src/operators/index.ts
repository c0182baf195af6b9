export { type ChangeContext } from "./change.js";
export * from "./handler.js";
export * from "./message.js";
export { type MoveOperations } from "./moves.js";
export { type AcknowledgedVersion, buildStatus, type StatusSources } from "./status.js";
