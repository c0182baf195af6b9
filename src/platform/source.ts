/** Key prefixes and decoders of the gateway's objects in the platform's store, and what a gateway needs of the platform. */
import type { GatewayEnvironment } from "../daemon/gateway.js";
import type { FeedSource } from "../gateway/index.js";
import { decodeConfiguration, decodeRollout, decodeTarget, encodeRolloutStatus } from "./configuration.js";
import { platformDialect } from "./dialect.js";
import { callPlatform } from "./duties.js";
import { KIND } from "./names.js";
import { PlatformStore, type PlatformStoreOptions } from "./store.js";

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

/** What a gateway needs of the platform. `options` are those of the client of its store. */
export function platformEnvironment(options: PlatformStoreOptions): Omit<GatewayEnvironment, "log"> {
    const store = PlatformStore.create(options);
    return {
        dialect: platformDialect,
        source: platformSource,
        store,
        writeRolloutState: (rollout, state) =>
            store.writeStatus(
                `${KIND.rollouts}/${rollout.service}`,
                encodeRolloutStatus(rollout, state),
                rollout.revision,
            ),
        ledger: options.ledger,
        duties: { callPlatform, leaseKey: `${KIND.duties}/holder`, usageKey: `${KIND.duties}/usage` },
    };
}
