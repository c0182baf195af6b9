/** Tokens of one stage across its attempts: each is passed on once and in order. */
import type { RequestRun } from "./run.js";

/** The tokens of one streaming stage. */
export class TokenStream {
    private count = 0;
    private lastAt: number | undefined;

    private constructor(
        private readonly run: RequestRun,
        private readonly visible: boolean,
    ) {}

    /** A stream that passes its tokens to the caller when `visible`. */
    static create(run: RequestRun, visible: boolean): TokenStream {
        return new TokenStream(run, visible);
    }

    /** Number of tokens received; an attempt resumes after them. */
    get received(): number {
        return this.count;
    }

    /** Takes tokens. Those received before are skipped; returns false when some before them are missing. */
    take(firstIndex: number, tokens: readonly string[]): boolean {
        if (firstIndex > this.count) return false;
        const fresh = tokens.slice(this.count - firstIndex);
        if (fresh.length === 0) return true;
        this.measure();
        for (const token of fresh) {
            if (this.visible) this.run.onToken?.(this.count, token);
            this.count += 1;
        }
        return true;
    }

    private measure(): void {
        const now = performance.now();
        if (this.visible && this.lastAt === undefined) this.run.record("firstToken", now - this.run.startedAt);
        if (this.visible && this.lastAt !== undefined) this.run.record("tokenGap", now - this.lastAt);
        this.lastAt = now;
    }
}
