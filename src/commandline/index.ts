export * from "./console.js";
export { run } from "./run.js";
