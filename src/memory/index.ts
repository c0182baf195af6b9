export * from "./account.js";
export * from "./collector.js";
