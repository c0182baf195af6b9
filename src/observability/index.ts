export { EventLoopMonitor, type EventLoopDelay } from "./eventloop.js";
export { HistogramSet, type DurationSummary, type HistogramSetOptions, OVERFLOW_LABEL } from "./histogram.js";
export { createLogger } from "./logger.js";
export { createMetrics, ProcessMetrics } from "./metrics.js";
export * from "./recorder.js";
export * from "./decisionlog.js";
export * from "./linesink.js";
export * from "./metricspage.js";
