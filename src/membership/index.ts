export * from "./directory.js";
export * from "./registration.js";
export * from "./view.js";
export * from "./vmlist.js";
