export * from "./directory.js";
