/**
 * Blocks in which long bodies are collected.
 *
 * The runtime frees buffers some time after their last use. Bodies that come and go quickly would take many times the bytes
 * that are held, so their blocks are used again.
 */

/** Size of a block in bytes. */
export const BLOCK_BYTES = 65_536;

/** Blocks that are not in use. */
export class BlockPool {
    private readonly free: Buffer[] = [];

    private constructor(private readonly maximumFree: number) {}

    /** Keeps at most `maximumBytes` in blocks that are not in use. */
    static create(maximumBytes: number): BlockPool {
        return new BlockPool(Math.floor(maximumBytes / BLOCK_BYTES));
    }

    /** A block with arbitrary content. */
    take(): Buffer {
        return this.free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES);
    }

    /** Takes back blocks to which nothing refers any longer. */
    giveBack(blocks: readonly Buffer[]): void {
        this.free.push(...blocks.slice(0, Math.max(0, this.maximumFree - this.free.length)));
    }
}
