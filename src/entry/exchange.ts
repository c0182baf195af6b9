/**
 * Synchronizes the configuration over one link.
 *
 * Each end sends the changes that the other lacks, and resends them until they are acknowledged, since a message can be
 * lost on a link that stays open.
 */
import type { ConfigurationHolder } from "../configuration/index.js";
import type { ConfigurationUpdate, Link } from "../link/index.js";

/** Time after which an unacknowledged update is sent again. */
const RESEND_AFTER_MS = 1_000;

/** The configuration exchange of one link. */
export class ConfigurationExchange {
    private acknowledgedVersion: number;
    private sentVersion: number;
    private sentAt = Number.NEGATIVE_INFINITY;

    private constructor(
        private readonly holder: ConfigurationHolder,
        private readonly link: Link,
    ) {
        this.acknowledgedVersion = link.peer.configurationVersion;
        this.sentVersion = this.acknowledgedVersion;
    }

    /** Starts the exchange by sending the changes that are newer than the version in the peer's hello. */
    static start(holder: ConfigurationHolder, link: Link): ConfigurationExchange {
        const exchange = new ConfigurationExchange(holder, link);
        exchange.sendNewer();
        return exchange;
    }

    /** Newest version that the peer has acknowledged. */
    get peerVersion(): number {
        return this.acknowledgedVersion;
    }

    /** Sends changes that were not sent yet. Called after each change of the holder. */
    sendNewer(): void {
        const transfer = this.holder.transferSince(this.sentVersion);
        if (transfer === undefined) return;
        this.sentVersion = transfer.version;
        this.sentAt = performance.now();
        this.link.send({ case: "configurationUpdate", value: { ...transfer, changes: [...transfer.changes] } });
    }

    /** Resends changes that were not acknowledged in time. Called about once a second. */
    resendUnacknowledged(): void {
        if (this.acknowledgedVersion >= this.sentVersion || performance.now() - this.sentAt < RESEND_AFTER_MS) return;
        this.sentVersion = this.acknowledgedVersion;
        this.sendNewer();
    }

    /** Records the version that the peer has in force. */
    recordPeerVersion(version: number): void {
        this.acknowledgedVersion = Math.max(this.acknowledgedVersion, version);
        this.sentVersion = Math.max(this.sentVersion, version);
    }

    /** Applies an update from the peer. Closes the link when the update cannot be read. */
    receiveUpdate(update: ConfigurationUpdate): void {
        this.recordPeerVersion(update.version);
        try {
            this.holder.receive(update);
        } catch {
            this.link.close("configuration update cannot be read");
            return;
        }
        this.acknowledge();
    }

    /** Sends the peer the version that is in force here. */
    acknowledge(): void {
        this.link.send({ case: "acknowledge", value: { configurationVersion: this.holder.current.version } });
    }
}
