export * from "./agent.js";
export * from "./entry.js";
export { type RunningProcess } from "./process.js";
