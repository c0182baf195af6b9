export { equalKeys } from "./authentication.js";
export { Channel } from "./channel.js";
export { ConnectNetwork, splitAddress, type TlsFiles } from "./connection.js";
export * from "./generated/parsleyrun/link_pb.js";
export * from "./link.js";
export { MemoryNetwork, type MemoryNetworkOptions } from "./memory.js";
