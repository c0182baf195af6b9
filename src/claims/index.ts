export { type ClaimedRun, Claims, type ClaimsOptions } from "./claims.js";
export * from "./slot.js";
