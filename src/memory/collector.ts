/**
 * Collects the parts of a body in one buffer.
 *
 * The parser hands over one object for each part, and each may keep the whole block in which it was read. A body of many
 * small parts would therefore take far more memory than its bytes, so the parts are copied and their number is limited too.
 */
import type { MemoryAccount, MemoryHolding, MemoryParty } from "./account.js";
import { BLOCK_BYTES } from "./blocks.js";

/** Why a body was not collected to its end. */
export type CollectionFailure =
    /** It has more bytes than are accepted. */
    | "tooLong"
    /** It has more parts than a body of its size has. */
    | "tooFragmented"
    /** Its holding had to give way. */
    | "noMemory";

/** Limits of a body. */
export interface CollectionLimits {
    readonly maximumBytes: number;
    /** Called once when the body must not be read further; `failure` then says why. */
    readonly onFailed: () => void;
}

/** Number of parts that a body may have whatever their size, and the mean size in bytes of those beyond that. */
const FREE_PARTS = 4_096;
const MINIMUM_MEAN_BYTES = 64;

/** Whether a body of a number of bytes has more parts than it may have. */
export function isFragmented(parts: number, bytes: number): boolean {
    return parts > FREE_PARTS + bytes / MINIMUM_MEAN_BYTES;
}

/** Smallest buffer in bytes. A longer body than `BLOCK_BYTES` is collected in blocks. */
const MINIMUM_CAPACITY = 1_024;

const EMPTY: Buffer = Buffer.alloc(0);

/** Collects the bytes of one body. */
export class ByteCollector {
    /** Full blocks. They are never handed out, so that they can be used again. */
    private blocks: Buffer[] = [];
    /** The buffer that is being filled: a block, or a smaller one. */
    private buffer = EMPTY;
    private bufferSize = 0;
    private isBlock = false;
    private isTaken = false;
    private size = 0;
    private parts = 0;
    private failureValue: CollectionFailure | undefined;
    /** Undefined while it is opened, when it may already have to give way. */
    private readonly holding: MemoryHolding | undefined;

    private constructor(
        private readonly account: MemoryAccount,
        party: MemoryParty,
        private readonly limits: CollectionLimits,
    ) {
        this.holding = account.open(party, () => this.fail("noMemory"));
    }

    /** The bytes count as those of `party` until `close` is called. */
    static create(account: MemoryAccount, party: MemoryParty, limits: CollectionLimits): ByteCollector {
        return new ByteCollector(account, party, limits);
    }

    /** Why no more bytes are taken; undefined while they are. */
    get failure(): CollectionFailure | undefined {
        return this.failureValue;
    }

    /** Adds a part. Returns whether it was taken. Nothing may be added after `bytes` was called. */
    add(part: Buffer): boolean {
        if (this.failureValue !== undefined || this.isTaken) return false;
        this.parts += 1;
        const size = this.size + part.length;
        if (size > this.limits.maximumBytes) return this.fail("tooLong");
        if (isFragmented(this.parts, size)) return this.fail("tooFragmented");
        for (let offset = 0; offset < part.length;) {
            if (this.bufferSize === this.buffer.length && !this.grow(part.length - offset)) return false;
            const copied = part.copy(this.buffer, this.bufferSize, offset);
            this.bufferSize += copied;
            offset += copied;
        }
        this.size = size;
        return true;
    }

    /** The bytes that were added. */
    bytes(): Buffer {
        this.isTaken = true;
        if (this.isBlock) {
            const joined = Buffer.concat([...this.blocks, this.buffer.subarray(0, this.bufferSize)], this.size);
            this.giveBlocksBack();
            this.buffer = joined;
            this.bufferSize = joined.length;
            this.holding?.resize(joined.length);
        }
        return this.buffer.subarray(0, this.bufferSize);
    }

    /** Keeps the bytes from giving way, since a request depends on them until they are closed. Returns whether it does. */
    retain(): boolean {
        return this.holding?.retain() === true;
    }

    /** Says that the bytes are no longer held. */
    close(): void {
        this.holding?.close();
        this.giveBlocksBack();
    }

    /** Makes room for at least one byte of a part of which `partBytes` are left. Returns whether there is memory for it. */
    private grow(partBytes: number): boolean {
        const capacity = Math.max(MINIMUM_CAPACITY, this.bufferSize + partBytes, 2 * this.buffer.length);
        if (!this.isBlock && capacity <= BLOCK_BYTES) {
            if (this.holding?.resize(capacity) !== true) return false;
            const grown = Buffer.allocUnsafeSlow(capacity);
            this.buffer.copy(grown, 0, 0, this.bufferSize);
            this.buffer = grown;
            return true;
        }
        const blockCount = this.blocks.length + (this.isBlock ? 2 : 1);
        if (this.holding?.resize(blockCount * BLOCK_BYTES) !== true) return false;
        const block = this.account.blocks.take();
        if (this.isBlock) {
            this.blocks.push(this.buffer);
            this.bufferSize = 0;
        } else {
            this.buffer.copy(block, 0, 0, this.bufferSize);
            this.isBlock = true;
        }
        this.buffer = block;
        return true;
    }

    private giveBlocksBack(): void {
        if (!this.isBlock) return;
        this.account.blocks.giveBack([...this.blocks, this.buffer]);
        this.blocks = [];
        this.buffer = EMPTY;
        this.bufferSize = 0;
        this.isBlock = false;
    }

    private fail(failure: CollectionFailure): false {
        this.failureValue = failure;
        this.giveBlocksBack();
        this.buffer = EMPTY;
        this.bufferSize = 0;
        this.size = 0;
        this.holding?.close();
        this.limits.onFailed();
        return false;
    }
}
