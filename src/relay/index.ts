export { Follower } from "./follower.js";
export { CHANGES_PATH } from "./message.js";
export { Publisher } from "./publisher.js";
export { RelayedStore } from "./relayedstore.js";
export { openRelayStream } from "./stream.js";
