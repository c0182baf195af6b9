export * from "./batch.js";
export * from "./order.js";
export * from "./piece.js";
export * from "./piececall.js";
export * from "./piecerouter.js";
export * from "./queue.js";
export * from "./run.js";
export * from "./schedule.js";
