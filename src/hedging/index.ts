export * from "./copybudget.js";
export * from "./copydecision.js";
export * from "./routelatencies.js";
