/** Checks the keys that processes and operators present. */
import { createHash, timingSafeEqual } from "node:crypto";

/** Compares two keys in constant time, so that timing does not reveal where they differ. */
export function equalKeys(left: string, right: string): boolean {
    const leftHash = createHash("sha256").update(left).digest();
    const rightHash = createHash("sha256").update(right).digest();
    return timingSafeEqual(leftHash, rightHash);
}
