/**
 * Counts the requests that targets began to run, by usage window and account.
 *
 * A request counts once, in the window in which its first run began. A plain call counts when it is sent, and no longer if
 * every target to which it was sent states that it has not run it.
 */
import { KEPT_WINDOWS, type UsageLedger } from "./usageledger.js";

/** What the counter depends on. */
export interface UsageCounterOptions {
    readonly gateway: string;
    /** Identifies the start of this process. */
    readonly start: string;
    readonly windowMs: number;
    readonly now: () => number;
    readonly ledger: UsageLedger;
}

/** Time in milliseconds after the end of a window at which its counts are complete: requests on the way to a count. */
const SETTLE_MS = 200;

interface OwnWindow {
    readonly counts: Map<string, number>;
    revision: number;
    isFinal: boolean;
    isChanged: boolean;
}

/** The counts of one gateway. */
export class UsageCounter {
    private readonly windows = new Map<number, OwnWindow>();
    private newestWindow: number | undefined;

    private constructor(private readonly options: UsageCounterOptions) {}

    static create(options: UsageCounterOptions): UsageCounter {
        return new UsageCounter(options);
    }

    /** Counts a request that begins to run; returns a function that takes the count back. */
    count(account: string): () => void {
        const window = this.windowOf(this.currentWindow);
        this.add(window, account, 1);
        return () => this.add(window, account, -1);
    }

    get currentWindow(): number {
        return Math.floor(this.options.now() / this.options.windowMs);
    }

    /** Enters the counts into the ledger. */
    update(): void {
        const { gateway, start, windowMs, now, ledger } = this.options;
        const current = this.currentWindow;
        ledger.advance(current);
        // Gateways without requests in a window also report it complete, so that nobody waits for them.
        const first = Math.max(this.newestWindow ?? current, current - KEPT_WINDOWS);
        for (let id = first; id <= current; id += 1) this.windowOf(id);
        this.newestWindow = current;
        for (const [windowId, window] of this.windows) {
            if (ledger.isClosed(windowId) || windowId <= current - KEPT_WINDOWS) {
                this.windows.delete(windowId);
                continue;
            }
            const hasEnded = now() >= (windowId + 1) * windowMs + SETTLE_MS;
            if (!window.isChanged && window.isFinal === hasEnded) continue;
            if (window.isChanged) window.revision += 1;
            window.isChanged = false;
            window.isFinal = hasEnded;
            const { revision, isFinal, counts } = window;
            ledger.put({ windowId, gateway, start, revision, isFinal, counts: Object.fromEntries(counts) });
        }
    }

    private windowOf(id: number): OwnWindow {
        const known = this.windows.get(id);
        if (known !== undefined) return known;
        const created = { counts: new Map<string, number>(), revision: 0, isFinal: false, isChanged: true };
        this.windows.set(id, created);
        return created;
    }

    private add(window: OwnWindow, account: string, change: number): void {
        window.counts.set(account, (window.counts.get(account) ?? 0) + change);
        window.isChanged = true;
    }
}

/** Counts a request that begins to run; returns a function that takes the count back. */
export type CountRun = (account: string) => () => void;

/** The count of one request, whose attempts may overlap. */
export class RequestUsage {
    private runs = 0;
    private takeBack: (() => void) | undefined;

    private constructor(
        private readonly countRun: CountRun | undefined,
        private readonly account: string | undefined,
    ) {}

    /** Without `countRun` or an account, nothing is counted. */
    static create(countRun: CountRun | undefined, account: string | undefined): RequestUsage {
        return new RequestUsage(countRun, account);
    }

    /** Records that a target may have begun to run the request. */
    recordRun(): void {
        this.runs += 1;
        if (this.account !== undefined) this.takeBack ??= this.countRun?.(this.account);
    }

    /** Records that an attempt which counts as a run was none. */
    recordNoRun(): void {
        if (this.runs === 0) return;
        this.runs -= 1;
        if (this.runs > 0) return;
        this.takeBack?.();
        this.takeBack = undefined;
    }
}
