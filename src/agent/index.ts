export { Agent, type AgentOptions } from "./agent.js";
export * from "./engine.js";
export { Gate, type GateLimits, type GateLoad, type GateOptions, type GateRequest, type GateRun } from "./gate.js";
