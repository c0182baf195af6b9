/** Checks of keys that processes and callers present. */
import { createHash, timingSafeEqual } from "node:crypto";

/** Whether two keys are equal; the time taken does not depend on where they differ. */
export function equalKeys(left: string, right: string): boolean {
    const leftHash = createHash("sha256").update(left).digest();
    const rightHash = createHash("sha256").update(right).digest();
    return timingSafeEqual(leftHash, rightHash);
}
