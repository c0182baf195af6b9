/**
 * Links to the other entries, exactly one for each pair.
 *
 * Of two entries, the one whose name sorts first opens the link. An entry also dials the addresses in its settings,
 * whose names it does not know, so that entries find each other while the store is unavailable. A link that the other
 * side opened is kept until one from the preferred side exists.
 */
import type { ConfigurationHolder } from "../configuration/index.js";
import { type HelloInit, type Link, type LinkBody, type LinkBodyInit, type Network, Role } from "../link/index.js";
import type { Directory } from "../membership/index.js";
import type { Metrics, StateLogger } from "../observability/index.js";
import { Backoff } from "./backoff.js";
import { ConfigurationExchange } from "./exchange.js";

/** A notice from another entry. */
export type PeerNoticeBody = Extract<LinkBody, { case: "peerNotice" }>["value"]["notice"];

type PeerNoticeInit = NonNullable<Extract<LinkBodyInit, { case: "peerNotice" }>["value"]["notice"]>;

/** Entries send each other their configuration version at this interval, which also shows that the link works. */
const HEARTBEAT_INTERVAL_MS = 2_000;

/** A link to an entry is closed when no message arrives for this time. */
const LINK_TIMEOUT_MS = 10_000;

/** Interval at which a dialer checks whether its entry is still linked. */
const LINK_CHECK_INTERVAL_MS = 500;

/** Dependencies of the links to other entries. */
export interface PeersContext {
    readonly network: Network;
    readonly holder: ConfigurationHolder;
    readonly directory: Directory;
    readonly logger: StateLogger;
    readonly metrics: Metrics;
    readonly hello: () => HelloInit;
    /** This entry's name and link address. */
    readonly name: string;
    readonly address: string;
    /** Addresses of other entries from the settings. */
    readonly seedAddresses: readonly string[];
    readonly onNotice: (peer: string, notice: PeerNoticeBody) => void;
    /** Notices to send to an entry when it connects. */
    readonly initialNotices: () => Iterable<PeerNoticeInit>;
}

interface Peer {
    readonly link: Link;
    readonly exchange: ConfigurationExchange;
    /** Whether the entry whose name sorts first opened the link. */
    readonly preferred: boolean;
    lastMessageAt: number;
    lastHeartbeatAt: number;
}

interface Dialer {
    readonly backoff: Backoff;
    stopped: boolean;
}

/** Configuration version that another entry last reported, and its incarnation. */
interface PeerVersion {
    readonly incarnation: string;
    readonly version: number;
}

/** The links to the other entries. */
export class Peers {
    private readonly links = new Map<string, Peer>();
    private readonly dialers = new Map<string, Dialer>();
    private readonly lastKnownVersions = new Map<string, PeerVersion>();
    private readonly seedAddresses: ReadonlySet<string>;
    private unsubscribe: () => void = () => undefined;
    private stopped = false;

    private constructor(private readonly context: PeersContext) {
        this.seedAddresses = new Set(context.seedAddresses.filter(address => address !== context.address));
    }

    /** Starts to dial the entries in the directory and in the settings. */
    static start(context: PeersContext): Peers {
        const created = new Peers(context);
        created.updateDialers();
        created.unsubscribe = context.directory.subscribe(() => created.updateDialers());
        return created;
    }

    /** Names of the linked entries. */
    get names(): readonly string[] {
        return [...this.links.keys()];
    }

    /** Accepts a link that another entry opened. */
    accept(link: Link): void {
        void this.serve(link, false);
    }

    /** Incarnation and configuration version of each entry that is present. */
    processes(): readonly { readonly name: string; readonly incarnation: string; readonly version: number }[] {
        const versions = new Map<string, PeerVersion>();
        for (const entry of this.context.directory.current.entries) {
            if (entry.name === this.context.name) continue;
            const last = this.lastKnownVersions.get(entry.name);
            const version = last?.incarnation === entry.incarnation ? last.version : 0;
            versions.set(entry.name, { incarnation: entry.incarnation, version });
        }
        for (const [name, { link, exchange }] of this.links) {
            versions.set(name, { incarnation: link.peer.incarnation, version: exchange.peerVersion });
        }
        return [...versions].map(([name, known]) => ({ name, ...known }));
    }

    /** Sends a notice to every linked entry. */
    broadcast(notice: PeerNoticeInit): void {
        for (const { link } of this.links.values()) link.send({ case: "peerNotice", value: { notice } });
    }

    /** Sends a notice to one entry, if it is linked. */
    notify(name: string, notice: PeerNoticeInit): void {
        this.links.get(name)?.link.send({ case: "peerNotice", value: { notice } });
    }

    /** Sends the newest configuration to every linked entry. */
    configurationChanged(): void {
        for (const { exchange } of this.links.values()) exchange.sendNewer();
    }

    /** Resends configuration, sends heartbeats and closes inactive links; called about once a second. */
    maintain(): void {
        const now = performance.now();
        for (const peer of this.links.values()) {
            peer.exchange.resendUnacknowledged();
            if (now - peer.lastMessageAt > LINK_TIMEOUT_MS) peer.link.close("no message for too long");
            if (now - peer.lastHeartbeatAt < HEARTBEAT_INTERVAL_MS) continue;
            peer.lastHeartbeatAt = now;
            peer.exchange.acknowledge();
        }
    }

    /** Tells every linked entry that this one stops. */
    announceLeaving(reason: string): void {
        for (const { link } of this.links.values()) link.send({ case: "leaving", value: { reason } });
    }

    /** Closes all links and stops dialing. */
    stop(reason: string): void {
        this.stopped = true;
        this.unsubscribe();
        for (const address of this.dialers.keys()) this.stopDialer(address);
        for (const { link } of this.links.values()) link.close(reason);
    }

    private updateDialers(): void {
        const wanted = new Set(this.seedAddresses);
        for (const entry of this.context.directory.current.entries) {
            if (this.context.name < entry.name) wanted.add(entry.address);
        }
        for (const address of this.dialers.keys()) {
            if (!wanted.has(address)) this.stopDialer(address);
        }
        for (const address of wanted) {
            if (!this.dialers.has(address)) void this.keepDialing(address);
        }
    }

    private stopDialer(address: string): void {
        const dialer = this.dialers.get(address);
        this.dialers.delete(address);
        if (dialer === undefined) return;
        dialer.stopped = true;
        dialer.backoff.stop();
    }

    private async keepDialing(address: string): Promise<void> {
        const dialer: Dialer = { backoff: Backoff.create(), stopped: false };
        this.dialers.set(address, dialer);
        while (!dialer.stopped) {
            if (this.isLinked(address)) {
                await new Promise(resolve => setTimeout(resolve, LINK_CHECK_INTERVAL_MS).unref());
                continue;
            }
            const outcome = await this.context.network.connect(address, this.context.hello());
            const openedAt = performance.now();
            if (outcome.kind === "connected") await this.serve(outcome.link, true);
            dialer.backoff.linkClosed(performance.now() - openedAt);
            await dialer.backoff.wait();
        }
    }

    private isLinked(address: string): boolean {
        return [...this.links.values()].some(peer => peer.link.peer.address === address);
    }

    /** Reads one link until it closes. */
    private async serve(link: Link, openedHere: boolean): Promise<void> {
        const peer = this.registerLink(link, openedHere);
        if (peer === undefined) return;
        try {
            for await (const body of link.messages) this.receive(peer, body);
        } catch (error) {
            this.context.logger.error(`link to entry ${link.peer.name} failed`, error);
            link.close("message could not be handled");
        }
        const reason = await link.closed;
        this.rememberVersion(peer);
        if (this.links.get(link.peer.name) !== peer) return;
        this.links.delete(link.peer.name);
        if (!this.stopped) this.context.logger.info(`link to entry ${link.peer.name} closed: ${reason}`);
    }

    /** Replaces the link to an entry by a new one, or closes the new one. Both ends decide alike. */
    private registerLink(link: Link, openedHere: boolean): Peer | undefined {
        const { name, incarnation, role } = link.peer;
        if (this.stopped || role !== Role.ENTRY || name === this.context.name) {
            link.close("not another entry");
            return undefined;
        }
        const preferred = openedHere === this.context.name < name;
        const existing = this.links.get(name);
        if (existing?.preferred === true && !preferred && existing.link.peer.incarnation === incarnation) {
            link.close("duplicate link");
            return undefined;
        }
        const now = performance.now();
        const exchange = ConfigurationExchange.start(this.context.holder, link);
        const peer: Peer = { link, exchange, preferred, lastMessageAt: now, lastHeartbeatAt: now };
        this.links.set(name, peer);
        existing?.link.close("replaced by another link");
        for (const notice of this.context.initialNotices()) link.send({ case: "peerNotice", value: { notice } });
        return peer;
    }

    private receive(peer: Peer, body: LinkBody): void {
        peer.lastMessageAt = performance.now();
        switch (body.case) {
            case "configurationUpdate":
                peer.exchange.receiveUpdate(body.value);
                break;
            case "acknowledge":
                peer.exchange.recordPeerVersion(body.value.configurationVersion);
                break;
            case "peerNotice":
                this.context.onNotice(peer.link.peer.name, body.value.notice);
                break;
            case "leaving":
                this.context.logger.info(`entry ${peer.link.peer.name} is leaving: ${body.value.reason}`);
                break;
            default:
                this.context.metrics.increment("link.unexpectedMessages", 1, { message: String(body.case) });
        }
    }

    private rememberVersion({ link, exchange }: Peer): void {
        this.lastKnownVersions.set(link.peer.name, {
            incarnation: link.peer.incarnation,
            version: exchange.peerVersion,
        });
    }
}
