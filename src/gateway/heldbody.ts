/** Bodies of answers that are read into memory, and count as held until they are no longer needed. */
import { ByteCollector, type CollectionFailure, type MemoryAccount, type MemoryParty } from "../memory/index.js";
import type { AttemptLimits, BodyOutcome, BodyReadOptions, ResponseBody } from "./attempt.js";

/** Outcome of reading a body into memory. */
export type HeldBodyOutcome = BodyOutcome | { readonly kind: CollectionFailure };

/** Where the bytes of a body count, and how many it may have. */
export interface BodyHolding {
    readonly memory: MemoryAccount;
    readonly party: MemoryParty;
    readonly maximumBytes: number;
}

/** Time limits and callbacks of reading a body into memory. */
export type HeldBodyLimits = AttemptLimits &
    Pick<BodyReadOptions, "stallTimeoutMs"> & { readonly onBytes?: () => void };

/** Reason of a request whose answer had to give way to others. */
export const NO_MEMORY = "no memory for the answer";

const FAILURE_REASONS: Readonly<Record<CollectionFailure, string>> = {
    tooLong: "answer is too long",
    tooFragmented: "answer has too many small parts",
    noMemory: NO_MEMORY,
};

/** Why a body was not read to its end, for the log. */
export function bodyFailureReason({ kind }: HeldBodyOutcome): string {
    return kind in FAILURE_REASONS ? FAILURE_REASONS[kind as CollectionFailure] : `answer ${kind}`;
}

/** Whether a body cannot be accepted, whoever reads it. */
export function isUnacceptable({ kind }: HeldBodyOutcome): boolean {
    return kind === "tooLong" || kind === "tooFragmented";
}

/** The bytes of a body. They may have to give way until they are released. */
export class HeldBody {
    private readonly collector: ByteCollector;
    private onGivenUp: () => void;

    private constructor({ memory, party, maximumBytes }: BodyHolding, onFailed: () => void) {
        this.onGivenUp = onFailed;
        this.collector = ByteCollector.create(memory, party, { maximumBytes, onFailed: () => this.onGivenUp() });
    }

    /** Reads a body to its end, or until it is cut off. */
    static async read(
        body: ResponseBody,
        limits: HeldBodyLimits,
        holding: BodyHolding,
    ): Promise<{ readonly outcome: HeldBodyOutcome; readonly body: HeldBody }> {
        const held = new HeldBody(holding, () => body.discard());
        let isRead = false;
        try {
            const outcome = await body.read({
                ...limits,
                onChunk: chunk => {
                    limits.onBytes?.();
                    held.collector.add(chunk);
                    return undefined;
                },
            });
            isRead = outcome.kind === "complete";
            return { outcome: held.failure === undefined ? outcome : { kind: held.failure }, body: held };
        } finally {
            if (isRead) held.onGivenUp = () => undefined;
            else held.release();
        }
    }

    /** Why the bytes are not held; undefined while they are. */
    get failure(): CollectionFailure | undefined {
        return this.collector.failure;
    }

    /** The bytes; empty if they had to give way. */
    get bytes(): Buffer {
        return this.collector.bytes();
    }

    /** Sets what is called once if the bytes have to give way; it must free them. */
    whenGivenUp(onGivenUp: () => void): void {
        this.onGivenUp = onGivenUp;
    }

    /** Says that the bytes are no longer held. */
    release(): void {
        this.collector.close();
    }
}
