export * from "./configuration.js";
export * from "./dialect.js";
export * from "./feed.js";
export * from "./gateway.js";
export * from "./peers.js";
export { RegistrationCleanup } from "./registrationcleanup.js";
export * from "./server.js";
export type { Target, TargetRegistration } from "./target.js";
export { TargetDirectory } from "./targetdirectory.js";
