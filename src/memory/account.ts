/**
 * The memory that a process holds for bytes which others send it.
 *
 * Each party has a share of one maximum. A party may hold more than its share as long as the sum of all fits. When it does
 * not, the party that exceeds its share by the largest factor gives way, with its largest holding first. So one sender of
 * too much loses its own bytes, and the small holdings of others stay.
 */

import { BlockPool } from "./blocks.js";

/** All parties. */
export const MEMORY_PARTIES = ["targets", "callers", "gateways", "store", "operators"] as const;

/** Who sends the bytes. */
export type MemoryParty = (typeof MEMORY_PARTIES)[number];

/** Parts of the maximum, by party; their sum is 1. */
export type MemoryShares = Readonly<Record<MemoryParty, number>>;

/** A holding that was given up because the maximum was reached. */
export interface GivenUpHolding {
    readonly party: MemoryParty;
    /** Bytes of the holding, and of all holdings of its party and of the process before it was given up. */
    readonly bytes: number;
    readonly partyBytes: number;
    readonly totalBytes: number;
}

/** Options of an account. */
export interface MemoryAccountOptions {
    readonly maximumBytes: number;
    readonly shares?: MemoryShares;
    readonly onGivenUp?: (holding: GivenUpHolding) => void;
}

/** Bytes that each holding counts beside its content: the objects of its connection, request and buffers. */
export const HOLDING_BYTES = 1_024;

/**
 * Part of the maximum that one party may retain, so that the others keep room for what they must not lose. A holding is
 * retained only if as much room as it takes stays free, so that large holdings leave room for small ones.
 */
const RETAINED_SHARE = 0.5;

const SHARES: MemoryShares = { targets: 0.4, callers: 0.3, gateways: 0.15, store: 0.1, operators: 0.05 };

/** The bytes that one request, response or call holds. */
export interface MemoryHolding {
    /** Bytes that are held; 0 once it is closed. */
    readonly bytes: number;
    /** Whether the bytes must not be held any longer: the holding was closed or had to give way. */
    readonly isClosed: boolean;
    /** Changes the number of bytes. Returns whether they may be held; otherwise the holding is closed. */
    resize(bytes: number): boolean;
    /**
     * Keeps the holding from giving way, since its bytes are needed until it is closed. Returns false if its party already
     * retains too much; the holding then stays as it was.
     */
    retain(): boolean;
    /** Gives the bytes back. */
    close(): void;
}

/** The holdings of one process. */
export class MemoryAccount {
    /** Blocks for the content of holdings. */
    readonly blocks: BlockPool;
    private readonly parties: Readonly<Record<MemoryParty, PartyHoldings>>;

    private constructor(private readonly options: Required<MemoryAccountOptions>) {
        const partyOf = (party: MemoryParty): PartyHoldings =>
            new PartyHoldings(party, options.shares[party], options.maximumBytes * RETAINED_SHARE);
        this.blocks = BlockPool.create(options.maximumBytes);
        this.parties = {
            targets: partyOf("targets"),
            callers: partyOf("callers"),
            gateways: partyOf("gateways"),
            store: partyOf("store"),
            operators: partyOf("operators"),
        };
    }

    static create(options: MemoryAccountOptions): MemoryAccount {
        return new MemoryAccount({ shares: SHARES, onGivenUp: () => undefined, ...options });
    }

    get maximumBytes(): number {
        return this.options.maximumBytes;
    }

    /** Bytes held for all parties. */
    get totalBytes(): number {
        return Object.values(this.parties).reduce((sum, { bytes }) => sum + bytes, 0);
    }

    /** Bytes held for a party. */
    bytesOf(party: MemoryParty): number {
        return this.parties[party].bytes;
    }

    /**
     * Opens a holding. `giveWay` is called once if the holding has to give way, after it was closed; it must free the bytes.
     * A new holding may itself have to give way at once.
     */
    open(party: MemoryParty, giveWay: () => void): MemoryHolding {
        const holding: Holding = new Holding(this.parties[party], giveWay, () => this.makeRoom(holding));
        holding.resize(0);
        return holding;
    }

    /** Closes holdings until the sum fits. Returns whether the holding that has grown is still open. */
    private makeRoom(grown: Holding): boolean {
        while (!grown.isClosed && this.totalBytes > this.options.maximumBytes) this.giveUp(this.findLargest() ?? grown);
        return !grown.isClosed;
    }

    private giveUp(holding: Holding): void {
        const { party, bytes } = holding;
        const { totalBytes } = this;
        const partyBytes = party.bytes;
        holding.close();
        this.options.onGivenUp({ party: party.name, bytes, partyBytes, totalBytes });
        holding.giveWay();
    }

    /** The largest holding that can give way, of the party that exceeds its share by the largest factor. */
    private findLargest(): Holding | undefined {
        const parties = Object.values(this.parties).sort((left, right) => right.excess - left.excess);
        for (const party of parties) {
            const largest = party.findLargest();
            if (largest !== undefined) return largest;
        }
        return undefined;
    }
}

/** The holdings of one party. */
class PartyHoldings {
    bytes = 0;
    private retainedBytes = 0;
    private readonly open = new Set<Holding>();

    constructor(
        readonly name: MemoryParty,
        private readonly share: number,
        private readonly maximumRetainedBytes: number,
    ) {}

    /** Bytes in relation to the party's share. */
    get excess(): number {
        return this.bytes / this.share;
    }

    resize(holding: Holding, before: number, after: number): void {
        this.bytes += after - before;
        if (holding.isRetained) this.retainedBytes += after - before;
        if (after > 0) this.open.add(holding);
        else this.open.delete(holding);
    }

    /** Counts a holding as retained. Returns false if there is no room for it. */
    retain({ bytes }: Holding): boolean {
        if (this.retainedBytes + 2 * bytes > this.maximumRetainedBytes) return false;
        this.retainedBytes += bytes;
        return true;
    }

    findLargest(): Holding | undefined {
        let largest: Holding | undefined;
        for (const holding of this.open) {
            if (!holding.isRetained && holding.bytes > (largest?.bytes ?? 0)) largest = holding;
        }
        return largest;
    }
}

class Holding implements MemoryHolding {
    bytes = 0;
    isClosed = false;
    isRetained = false;

    constructor(
        readonly party: PartyHoldings,
        readonly giveWay: () => void,
        private readonly makeRoom: () => boolean,
    ) {}

    resize(bytes: number): boolean {
        if (this.isClosed) return false;
        const isLarger = bytes + HOLDING_BYTES > this.bytes;
        this.setBytes(bytes + HOLDING_BYTES);
        return isLarger ? this.makeRoom() : true;
    }

    retain(): boolean {
        if (!this.isClosed) this.isRetained ||= this.party.retain(this);
        return this.isRetained;
    }

    close(): void {
        if (this.isClosed) return;
        this.isClosed = true;
        this.setBytes(0);
    }

    private setBytes(bytes: number): void {
        this.party.resize(this, this.bytes, bytes);
        this.bytes = bytes;
    }
}
