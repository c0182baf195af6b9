/** Where the gateway's objects lie in the platform's store, and how they are read. */
import type { FeedSource } from "../gateway/index.js";
import { decodeConfiguration, decodeTarget } from "./configuration.js";
import { KIND } from "./names.js";

/** The platform's store as a source of what gateways follow. */
export const platformSource: FeedSource = {
    configurationPrefix: `${KIND.configuration}/`,
    targetPrefix: `${KIND.targets}/`,
    closedZonePrefix: `${KIND.closedZones}/`,
    gatewayPrefix: `${KIND.gateways}/`,
    decodeConfiguration,
    decodeTarget,
};
