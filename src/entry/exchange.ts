/**
 * Configuration over one link: what the other end has, and what is sent to it.
 *
 * Each end sends what the other lacks as soon as it knows, and repeats it while no acknowledgement comes, since a
 * message can be lost on a link that stays open.
 */
import type { ConfigurationHolder } from "../configuration/index.js";
import type { ConfigurationUpdate, Link } from "../link/index.js";

/** Time after which an update that was not acknowledged is sent again. */
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

    /** Starts the exchange by sending what the peer lacked at its hello. */
    static start(holder: ConfigurationHolder, link: Link): ConfigurationExchange {
        const exchange = new ConfigurationExchange(holder, link);
        exchange.sendNewer();
        return exchange;
    }

    /** Version that the peer has acknowledged. */
    get peerVersion(): number {
        return this.acknowledgedVersion;
    }

    /** Sends what was not sent yet. Called after each change of the holder. */
    sendNewer(): void {
        const transfer = this.holder.transferSince(this.sentVersion);
        if (transfer === undefined) return;
        this.sentVersion = transfer.version;
        this.sentAt = performance.now();
        this.link.send({ case: "configurationUpdate", value: { ...transfer, changes: [...transfer.changes] } });
    }

    /** Sends again what was not acknowledged in time. Called about once a second. */
    resendUnacknowledged(): void {
        if (this.acknowledgedVersion >= this.sentVersion || performance.now() - this.sentAt < RESEND_AFTER_MS) return;
        this.sentVersion = this.acknowledgedVersion;
        this.sendNewer();
    }

    /** The peer told which version it has in force. */
    recordPeerVersion(version: number): void {
        this.acknowledgedVersion = Math.max(this.acknowledgedVersion, version);
        this.sentVersion = Math.max(this.sentVersion, version);
    }

    /** The peer sent configuration. Closes the link when it cannot be read. */
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

    /** Tells the peer which version is in force here. */
    acknowledge(): void {
        this.link.send({ case: "acknowledge", value: { configurationVersion: this.holder.current.version } });
    }
}
