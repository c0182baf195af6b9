/** Jittered exponential backoff between attempts to open a link. */
import { InterruptiblePause } from "../model/pause.js";

const INITIAL_BACKOFF_MS = 50;
const MAXIMUM_BACKOFF_MS = 2_000;

/** A link that was open for this long resets the backoff. */
const STABLE_LINK_MS = 1_000;

/** The backoff of one task that connects repeatedly. */
export class Backoff {
    private nextMilliseconds = INITIAL_BACKOFF_MS;
    private stopped = false;
    private readonly pause = InterruptiblePause.create();

    private constructor() {}

    static create(): Backoff {
        return new Backoff();
    }

    /** Called when a link closes; resets the backoff if the link was open long enough. */
    linkClosed(openMilliseconds: number): void {
        if (openMilliseconds >= STABLE_LINK_MS) this.nextMilliseconds = INITIAL_BACKOFF_MS;
    }

    /** Ends a wait and resets the backoff, because the next attempt is likely to succeed. */
    reset(): void {
        this.nextMilliseconds = INITIAL_BACKOFF_MS;
        this.pause.end();
    }

    /** Ends a wait; later waits return at once. */
    stop(): void {
        this.stopped = true;
        this.pause.end();
    }

    /** Waits a random 50% to 100% of the current backoff, which then doubles. */
    async wait(): Promise<void> {
        if (this.stopped) return;
        const milliseconds = this.nextMilliseconds * (0.5 + Math.random() / 2);
        this.nextMilliseconds = Math.min(MAXIMUM_BACKOFF_MS, this.nextMilliseconds * 2);
        await this.pause.wait(milliseconds);
    }
}
