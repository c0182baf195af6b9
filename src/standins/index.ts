export * from "./engine.js";
export * from "./output.js";
export * from "./store.js";
export * from "./server.js";
