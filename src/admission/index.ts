export * from "./admission.js";
export * from "./quarantine.js";
export * from "./share.js";
