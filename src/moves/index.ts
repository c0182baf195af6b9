export { MoveController, type ControllerOptions, type MoveView } from "./controller.js";
export * from "./declaration.js";
export * from "./move.js";
export { MoveSession } from "./session.js";
export { runZoneMove, type EntryWork, type ZoneMoveDependencies } from "./zonemove.js";
export * from "./evidence.js";
export { runVersionMove, type VersionMoveDependencies } from "./versionmove.js";
export { listOpenWork, type MoveReporter, reportToControllers, type WorkCounter } from "./work.js";
