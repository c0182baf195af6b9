/** Identifiers of processes, requests and content. */
import { createHash, randomBytes } from "node:crypto";

/** A new random 64-bit hexadecimal id. A process creates one at its start, which tells it from its earlier runs. */
export function createIncarnation(): string {
    return randomBytes(8).toString("hex");
}

/** A new random request id, hexadecimal. */
export function createRequestId(): string {
    return randomBytes(12).toString("hex");
}

/** SHA-256 of the text, hexadecimal. */
export function hashText(text: string): string {
    return createHash("sha256").update(text).digest("hex");
}

/** The slot that an idempotency key hashes to; the same in every process that counts the same number of slots. */
export function slotOf(account: string, idempotencyKey: string, stage: string, slotCount: number): number {
    const digest = createHash("sha256")
        .update(JSON.stringify([account, idempotencyKey, stage]))
        .digest();
    return digest.readUInt32BE(0) % slotCount;
}
