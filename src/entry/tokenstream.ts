/** The tokens of one stage across its attempts. Each is forwarded once and in order. */
import type { RequestRun } from "./run.js";

/** The tokens of one streaming stage. */
export class TokenStream {
    private count = 0;
    private lastAt: number | undefined;

    private constructor(
        private readonly run: RequestRun,
        private readonly forwards: boolean,
    ) {}

    /** Creates a stream that forwards its tokens to the caller when `forwards` is true. */
    static create(run: RequestRun, forwards: boolean): TokenStream {
        return new TokenStream(run, forwards);
    }

    /** Number of tokens received; the next attempt resumes after them. */
    get receivedCount(): number {
        return this.count;
    }

    /** Receives tokens and skips those received before. Returns false when there is a gap before them. */
    receive(firstIndex: number, tokens: readonly string[]): boolean {
        if (firstIndex > this.count) return false;
        const newTokens = tokens.slice(this.count - firstIndex);
        if (newTokens.length === 0) return true;
        this.recordTiming();
        for (const token of newTokens) {
            if (this.forwards) this.run.onToken?.(this.count, token);
            this.count += 1;
        }
        return true;
    }

    private recordTiming(): void {
        const now = performance.now();
        if (this.forwards && this.lastAt === undefined) this.run.record("firstToken", now - this.run.startedAt);
        if (this.forwards && this.lastAt !== undefined) this.run.record("tokenGap", now - this.lastAt);
        this.lastAt = now;
    }
}
