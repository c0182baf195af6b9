export * from "./deadline.js";
export * from "./identity.js";
export * from "./outcome.js";
export * from "./resource.js";
