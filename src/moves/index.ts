export { MoveController, type ControllerOptions, type MoveView } from "./controller.js";
export * from "./declaration.js";
export * from "./move.js";
export { MoveSession } from "./session.js";
export { runZoneMove, type EntryWork, type ZoneMoveParts } from "./zonemove.js";
export { listOpenWork, reportOpenWork, type WorkCounter } from "./work.js";
