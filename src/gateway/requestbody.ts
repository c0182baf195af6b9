/**
 * Reads the whole body of a request, within limits and a deadline, and holds it.
 *
 * While it is read, it may have to give way to others. Once it was read it does not, since the request may be at a target
 * and needs the body to be sent to another one.
 */
import type { IncomingMessage } from "node:http";
import { ByteCollector, type MemoryAccount, type MemoryParty } from "../memory/index.js";
import type { Deadline } from "../model/index.js";
import { startTimeout } from "../model/timeout.js";

/** The bytes of a body, or why it was not read. */
export type RequestBodyOutcome =
    | { readonly kind: "read"; readonly bytes: Buffer }
    | { readonly kind: "tooLong" | "tooFragmented" | "noMemory" | "late" | "malformed" | "broken" };

/** Whose bytes a body counts as, and its limits. */
export interface RequestBodyOptions {
    readonly account: MemoryAccount;
    readonly party: MemoryParty;
    readonly maximumBytes: number;
    readonly deadline: Deadline;
}

/** Why a body could not be read to its end, by an error of its connection or of the parser. */
function outcomeOfError({ code = "" }: NodeJS.ErrnoException): RequestBodyOutcome {
    if (code === "HPE_CHUNK_EXTENSIONS_OVERFLOW") return { kind: "tooLong" };
    return { kind: code.startsWith("HPE_") ? "malformed" : "broken" };
}

/** The body of one request. */
export class RequestBody {
    /** Resolves when the body was read, or is not read further. */
    readonly outcome: Promise<RequestBodyOutcome>;
    private readonly collector: ByteCollector;
    private readonly cancelTimeout: () => void;
    private isFinished = false;
    private resolve: (outcome: RequestBodyOutcome) => void = () => undefined;

    private constructor(
        private readonly request: IncomingMessage,
        { account, party, maximumBytes, deadline }: RequestBodyOptions,
    ) {
        this.outcome = new Promise(resolve => (this.resolve = resolve));
        this.cancelTimeout = startTimeout(() => this.finish({ kind: "late" }), deadline.remainingMs());
        this.collector = ByteCollector.create(account, party, { maximumBytes, onFailed: () => this.fail() });
        if (Number(request.headers["content-length"] ?? 0) > maximumBytes) this.finish({ kind: "tooLong" });
        else if (this.collector.failure !== undefined) this.fail();
        else this.start();
    }

    /** Begins to read a body. Its bytes count as held until `close` is called. */
    static read(request: IncomingMessage, options: RequestBodyOptions): RequestBody {
        return new RequestBody(request, options);
    }

    /** Gives the bytes back, and stops reading. */
    close(): void {
        this.finish({ kind: "broken" });
        this.collector.close();
    }

    private start(): void {
        const { request, collector } = this;
        request.on("data", this.keep);
        request.on("end", () => {
            if (collector.failure === undefined && !collector.retain()) this.finish({ kind: "noMemory" });
            else this.finish({ kind: "read", bytes: collector.bytes() });
        });
        request.on("error", error => this.finish(outcomeOfError(error)));
        request.on("close", () => this.finish({ kind: "broken" }));
    }

    private readonly keep = (part: Buffer): void => void this.collector.add(part);

    private fail(): void {
        // The collector may fail while it is created.
        const failure = (this.collector as ByteCollector | undefined)?.failure;
        if (failure !== undefined) this.finish({ kind: failure });
    }

    private finish(outcome: RequestBodyOutcome): void {
        if (this.isFinished) return;
        this.isFinished = true;
        this.cancelTimeout();
        // The rest of the body is still read, since an unread rest would reset the connection, but not kept.
        this.request.off("data", this.keep);
        this.request.resume();
        if (outcome.kind !== "read") this.collector.close();
        this.resolve(outcome);
    }
}
