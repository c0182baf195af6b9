/** Key prefixes and decoders of the gateway's objects in the platform's store. */
import type { FeedSource } from "../gateway/index.js";
import { decodeConfiguration, decodeRollout, decodeTarget } from "./configuration.js";
import { KIND } from "./names.js";

/** The platform's store as the source of a gateway's feed. */
export const platformSource: FeedSource = {
    configurationPrefix: `${KIND.configuration}/`,
    targetPrefix: `${KIND.targets}/`,
    closedZonePrefix: `${KIND.closedZones}/`,
    gatewayPrefix: `${KIND.gateways}/`,
    decodeConfiguration,
    rolloutPrefix: `${KIND.rollouts}/`,
    decodeTarget,
    decodeRollout,
};
