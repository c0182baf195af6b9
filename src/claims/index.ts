export * from "./slot.js";
