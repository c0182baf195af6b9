export * from "./directory.js";
export * from "./member.js";
export * from "./view.js";
export * from "./vmlist.js";
