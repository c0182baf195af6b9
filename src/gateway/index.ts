export * from "./configuration.js";
export * from "./dialect.js";
export * from "./feed.js";
export * from "./gateway.js";
export * from "./peers.js";
export * from "./server.js";
export { type Target, TargetDirectory, type TargetRegistration } from "./target.js";
