export * from "./call.js";
export { HttpStore, type HttpStoreOptions } from "./client.js";
export * from "./lease.js";
export type { LeaseRecord } from "./leaserecord.js";
export * from "./counter.js";
export * from "./era.js";
export * from "./store.js";
export * from "./view.js";
