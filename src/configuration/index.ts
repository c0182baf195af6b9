export * from "./configuration.js";
export * from "./feed.js";
export * from "./head.js";
export * from "./holder.js";
export * from "./lists.js";
export * from "./log.js";
export * from "./rendering.js";
