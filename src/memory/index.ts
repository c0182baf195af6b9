export * from "./account.js";
export * from "./collector.js";
export * from "./reader.js";
