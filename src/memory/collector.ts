/**
 * Collects the parts of a body in one buffer.
 *
 * The parser hands over one object for each part, and each may keep the whole block in which it was read. A body of many
 * small parts would therefore take far more memory than its bytes, so the parts are copied and their number is limited too.
 */
import type { MemoryAccount, MemoryHolding, MemoryParty } from "./account.js";

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

/** Smallest buffer in bytes. */
const MINIMUM_CAPACITY = 1_024;

const EMPTY = Buffer.alloc(0);

/** Collects the bytes of one body. */
export class ByteCollector {
    private buffer = EMPTY;
    private size = 0;
    private parts = 0;
    private failureValue: CollectionFailure | undefined;
    /** Undefined while it is opened, when it may already have to give way. */
    private readonly holding: MemoryHolding | undefined;

    private constructor(
        account: MemoryAccount,
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

    /** Adds a part. Returns whether it was taken. */
    add(part: Buffer): boolean {
        if (this.failureValue !== undefined) return false;
        const { maximumBytes } = this.limits;
        this.parts += 1;
        const size = this.size + part.length;
        if (size > maximumBytes) return this.fail("tooLong");
        if (isFragmented(this.parts, size)) return this.fail("tooFragmented");
        if (size > this.buffer.length) {
            const capacity = Math.min(maximumBytes, Math.max(MINIMUM_CAPACITY, size, 2 * this.buffer.length));
            if (this.holding?.resize(capacity) !== true) return false;
            const grown = Buffer.allocUnsafeSlow(capacity);
            this.buffer.copy(grown, 0, 0, this.size);
            this.buffer = grown;
        }
        part.copy(this.buffer, this.size);
        this.size = size;
        return true;
    }

    /** The bytes that were added. */
    bytes(): Buffer {
        return this.buffer.subarray(0, this.size);
    }

    /** Keeps the bytes from giving way, since a request depends on them until they are closed. Returns whether it does. */
    retain(): boolean {
        return this.holding?.retain() === true;
    }

    /** Says that the bytes are no longer held. */
    close(): void {
        this.holding?.close();
    }

    private fail(failure: CollectionFailure): false {
        this.failureValue = failure;
        this.buffer = EMPTY;
        this.size = 0;
        this.holding?.close();
        this.limits.onFailed();
        return false;
    }
}
