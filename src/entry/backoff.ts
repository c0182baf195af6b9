/** Jittered exponential backoff between attempts to open a link. */
import { InterruptiblePause } from "../model/pause.js";

const INITIAL_BACKOFF_MS = 50;
const MAXIMUM_BACKOFF_MS = 2_000;

/** A link that was open for this long starts the backoff over. */
const STABLE_LINK_MS = 1_000;

/** Waiting times of one connecting task. */
export class Backoff {
    private nextMilliseconds = INITIAL_BACKOFF_MS;
    private stopped = false;
    private readonly pause = InterruptiblePause.create();

    private constructor() {}

    static create(): Backoff {
        return new Backoff();
    }

    /** A link was open for a time. */
    linkClosed(openMilliseconds: number): void {
        if (openMilliseconds >= STABLE_LINK_MS) this.nextMilliseconds = INITIAL_BACKOFF_MS;
    }

    /** Ends a wait, and starts over: there is news that makes success likely. */
    reset(): void {
        this.nextMilliseconds = INITIAL_BACKOFF_MS;
        this.pause.end();
    }

    /** Ends a wait, for good. */
    stop(): void {
        this.stopped = true;
        this.pause.end();
    }

    /** Waits half to all of the present backoff, which then doubles. */
    async wait(): Promise<void> {
        if (this.stopped) return;
        const milliseconds = this.nextMilliseconds * (0.5 + Math.random() / 2);
        this.nextMilliseconds = Math.min(MAXIMUM_BACKOFF_MS, this.nextMilliseconds * 2);
        await this.pause.wait(milliseconds);
    }
}
