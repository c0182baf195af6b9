export * from "./configuration.js";
export * from "./holder.js";
