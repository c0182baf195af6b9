/** Uniform random numbers from a seed: the key stream of a block cipher in counter mode. */
import { createCipheriv, createHash } from "node:crypto";

const BLOCK_BYTES = 65_536;

/** Numbers from 0 to below 1, the same for the same seed. */
export function createRandom(seed: number): () => number {
    const key = createHash("sha256").update(String(seed)).digest().subarray(0, 16);
    const cipher = createCipheriv("aes-128-ctr", key, Buffer.alloc(16));
    const zeros = Buffer.alloc(BLOCK_BYTES);
    let block = Buffer.alloc(0);
    let offset = 0;
    return () => {
        if (offset >= block.length) {
            block = cipher.update(zeros);
            offset = 0;
        }
        offset += 4;
        return block.readUInt32LE(offset - 4) / 2 ** 32;
    };
}
