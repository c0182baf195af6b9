/** Reads a whole body into one buffer, within limits. */
import type { Readable } from "node:stream";
import type { MemoryAccount, MemoryParty } from "./account.js";
import { ByteCollector, type CollectionFailure } from "./collector.js";

/** The bytes of a body, or why it was not read to its end. */
export type ReadOutcome =
    | { readonly kind: "read"; readonly bytes: Buffer }
    | { readonly kind: CollectionFailure }
    | { readonly kind: "broken"; readonly error: Error | undefined };

/** Whose bytes a body counts as while it is read, and its limit. */
export interface ReadLimits {
    readonly account: MemoryAccount;
    readonly party: MemoryParty;
    readonly maximumBytes: number;
}

/** Texts for the failures of a body, for log lines and outcomes. */
export const COLLECTION_FAILURE_TEXTS: Readonly<Record<CollectionFailure, string>> = {
    tooLong: "answer is too long",
    tooFragmented: "answer has too many parts",
    noMemory: "no memory for the answer",
};

/** Reads a body to its end. After a failure it is not read further; the caller decides how its connection ends. */
export function readWhole(stream: Readable, { account, party, maximumBytes }: ReadLimits): Promise<ReadOutcome> {
    return new Promise(resolve => {
        const finish = (outcome: ReadOutcome): void => {
            stream.off("data", keep);
            collector.close();
            resolve(outcome);
        };
        const fail = (): void => {
            const failure = (collector as ByteCollector | undefined)?.failure;
            if (failure === undefined) return;
            stream.pause();
            finish({ kind: failure });
        };
        const keep = (part: Buffer): void => void collector.add(part);
        const collector = ByteCollector.create(account, party, { maximumBytes, onFailed: () => fail() });
        if (collector.failure !== undefined) {
            fail();
            return;
        }
        stream.on("data", keep);
        stream.on("end", () => finish({ kind: "read", bytes: collector.bytes() }));
        stream.on("error", error => finish({ kind: "broken", error }));
        stream.on("close", () => finish({ kind: "broken", error: undefined }));
    });
}
