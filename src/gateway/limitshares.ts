/**
 * This gateway's shares of limits for all gateways together.
 *
 * Gateways do not agree on shares. Each divides a limit by the gateways that it has seen lately, also those that have
 * stopped: what they have used still counts, and they may use more until their grace period is over. A process that starts does
 * not know what the one before it, or the others in its absence, have used in the window, so it gets little of an
 * allowance until a window has passed.
 */
import { ASSUMED_GATEWAYS, type GatewayPeers } from "./peers.js";
import { partOfLimit } from "./targetlimits.js";

/** Fraction of an allowance that is shared; the rest is for processes that start and for an outdated number of gateways. */
const USE_RATIO = 0.6;

/**
 * Fraction of an allowance that processes share which have started in the last window, and the most that one of them gets:
 * a request that leaves a silent target and is then declined twice needs three retries.
 */
const FIRST_USE_RATIO = 0.3;
const MAXIMUM_FIRST_PART = 3;

/**
 * Gateways that such a process assumes for each one that it sees. With this, processes that start together and use their first
 * parts before they see each other use at most 0.4 of the allowance, however many they are.
 */
const UNSEEN_RATIO = 1.5;

/** Smallest part of an allowance as long as there is more than one part: a part below one retry is of no use by itself. */
const SMALLEST_PART = 1;

/** Times that shares depend on, in milliseconds. */
export interface LimitShareOptions {
    /** Length of the window in which an allowance may be used. */
    readonly windowMs: number;
    /** Longest time for which a gateway sends requests after it has removed its registration. */
    readonly stopGraceMs: number;
}

/** Interval in milliseconds at which gateways are forgotten that have left; each request asks for shares. */
const NAMES_INTERVAL_MS = 250;

type Peers = Pick<GatewayPeers, "self" | "otherNamesSince" | "registeredAt" | "revision">;

/** The other gateways that are registered or have left in the last `memoryMs`. */
class RecentGateways {
    private names: readonly string[] = [];
    private revision: number | undefined;
    private readAt = 0;

    private constructor(
        private readonly peers: Peers,
        private readonly memoryMs: number,
    ) {}

    static create(peers: Peers, memoryMs: number): RecentGateways {
        return new RecentGateways(peers, memoryMs);
    }

    /** Their names. The array stays the same until they change. */
    get otherNames(): readonly string[] {
        const now = performance.now();
        const { revision } = this.peers;
        if (this.revision === revision && now < this.readAt + NAMES_INTERVAL_MS) return this.names;
        const names = this.peers.otherNamesSince(now - this.memoryMs);
        const isSame = names.length === this.names.length && names.every((name, index) => name === this.names[index]);
        if (!isSame) this.names = names;
        this.revision = revision;
        this.readAt = now;
        return this.names;
    }

    /** Number of gateways with this one. */
    get count(): number {
        const known = this.otherNames.length + 1;
        return this.peers.registeredAt === undefined ? Math.max(ASSUMED_GATEWAYS, known) : known;
    }
}

/** This gateway's shares. */
export class LimitShares {
    /** Those that may have sent something in the last window, and those that may send something now. */
    private readonly inWindow: RecentGateways;
    private readonly atPresent: RecentGateways;

    private constructor(
        private readonly peers: Peers,
        private readonly windowMs: number,
        stopGraceMs: number,
    ) {
        this.inWindow = RecentGateways.create(peers, windowMs + stopGraceMs);
        this.atPresent = RecentGateways.create(peers, stopGraceMs);
    }

    static create(peers: Peers, { windowMs, stopGraceMs }: LimitShareOptions): LimitShares {
        return new LimitShares(peers, windowMs, stopGraceMs);
    }

    /** Number of gateways that share what may be used in a window. */
    get countInWindow(): number {
        return this.inWindow.count;
    }

    /** Number of gateways that share a rate. */
    get countAtPresent(): number {
        return this.atPresent.count;
    }

    /** Names of the other gateways that share a rate. The array stays the same until they change. */
    get otherNamesAtPresent(): readonly string[] {
        return this.atPresent.otherNames;
    }

    /** This gateway's part of what all gateways may use of `allowance` in one window, for the service. */
    partOfAllowance(service: string, allowance: number): number {
        const { registeredAt, self } = this.peers;
        if (registeredAt === undefined || performance.now() - registeredAt < this.windowMs) {
            const gateways = Math.max(ASSUMED_GATEWAYS, this.inWindow.count * UNSEEN_RATIO);
            return Math.min(MAXIMUM_FIRST_PART, (allowance * FIRST_USE_RATIO) / gateways);
        }
        return partOfLimit(service, allowance * USE_RATIO, self.name, this.inWindow.otherNames, SMALLEST_PART);
    }
}
