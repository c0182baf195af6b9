export * from "./store.js";
