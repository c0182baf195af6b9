export * from "./balancer.js";
export * from "./health.js";
export * from "./retry.js";
export * from "./silence.js";
export * from "./tokenbucket.js";
export * from "./version.js";
export * from "./windowbudget.js";
